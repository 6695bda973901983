/** @file
 * Cost of the decision modules and of the peer codec in one process, in
 * virtual time, with a growing number of groups and organisations; sizes of
 * all peer messages and platform objects.  Prints one line of tab-separated
 * fields per measurement.
 */
#include "core/admission.h"
#include "core/authority.h"
#include "core/routing.h"
#include "core/settings.h"
#include "daemon/cell_object.h"
#include "proto/message.h"

#include <inttypes.h>
#include <popt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#define ENDPOINTS 3
#define MEMBERS CELL_MAX_MEMBERS
#define SELF 0
#define MSEC INT64_C (1000)
#define SECOND INT64_C (1000000)
/* The daemon's periods: daemon/group.c, daemon/peers.c, daemon/options.c. */
#define TICK_US (20 * MSEC)
#define POLL_US (250 * MSEC)
#define HEARTBEAT_US (500 * MSEC)
#define START_US (1000 * SECOND)
#define LEASE_US SECOND
#define HOLD_US (2 * SECOND)

/* Large numbers, as random ids and a clock since the start of a VM are, so
   that they are encoded in full length. */
#define ID_BASE UINT64_C (0x5a17c3d200000000)
#define CONFIG_VERSION 70000

struct group
{
  struct authority *authority;
  struct failover *failover;
  struct routing *routing;
  struct admission *writes, *reads;
};

struct world
{
  struct cell_record record;
  struct group *groups;
  int group_count;
  struct budget *budget;
  char (*names)[BUDGET_NAME_SIZE];
  int name_count;
};

static double
cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void
fill_record (struct cell_record *r)
{
  *r = (struct cell_record){ .version = CONFIG_VERSION,
                             .op = ID_BASE + 100,
                             .coordinator = ID_BASE,
                             .previous_settled = true,
                             .member_count = MEMBERS,
                             .previous_count = MEMBERS };
  for (int i = 0; i < MEMBERS; i++)
    {
      struct cell_member *m = &r->members[i];
      m->id = ID_BASE + (uint64_t)i;
      m->join_op = ID_BASE + 200;
      snprintf (m->name, sizeof m->name, "vm-kilimanjaro-%04d", i);
      snprintf (m->address, sizeof m->address, "tcp://10.20.%d.%d:7402", i,
                100 + i);
      r->previous[i] = *m;
    }
}

static void
create_group (struct world *w, struct group *g, int64_t now)
{
  uint64_t members[MEMBERS];
  struct group_record record = { .version = 1,
                                 .term = 7,
                                 .primary = 0,
                                 .candidate = INDEX_NONE,
                                 .base_term = 7 };
  for (int i = 0; i < MEMBERS; i++)
    members[i] = w->record.members[i].id;
  g->authority = authority_create (
      w, &(struct authority_options){ .endpoint_count = ENDPOINTS,
                                      .lease_us = LEASE_US,
                                      .confirm_replicas = 1 });
  g->failover = failover_create (
      w,
      &(struct failover_options){ .endpoint_count = ENDPOINTS,
                                  .confirm_replicas = 1,
                                  .self = members[SELF],
                                  .lease_us = LEASE_US,
                                  .suspect_us = SECOND,
                                  .unreachable_us = 3 * SECOND,
                                  .driver_timeout_us = 3 * SECOND },
      now);
  g->routing = routing_create (
      w, &(struct routing_options){ .endpoint_count = ENDPOINTS,
                                    .catch_up_us = 50 * MSEC,
                                    .stale_poll_us = 4 * POLL_US });
  struct admission_options queue = { .max_queued = 1000, .browse_share = 0.1 };
  g->writes = admission_create (w, &queue);
  g->reads = admission_create (w, &queue);
  failover_set_members (g->failover, members, MEMBERS, now);
  failover_on_record (g->failover, &record, now);
  authority_record_opening (g->authority, 7, 0, 0);
  routing_set_primary (g->routing, 0, 7, 0);
}

static struct world *
create_world (int groups, int organisations)
{
  struct world *w = talloc_zero (NULL, struct world);
  fill_record (&w->record);
  w->group_count = groups;
  w->groups = talloc_zero_array (w, struct group, (unsigned)groups + 1);
  for (int i = 0; i < groups; i++)
    create_group (w, &w->groups[i], START_US);
  w->budget = budget_create (
      w, &(struct budget_options){ .self = w->record.members[SELF].id,
                                   .resend_us = 100 * MSEC });
  w->name_count = organisations;
  w->names
      = talloc_zero_size (w, sizeof *w->names * ((unsigned)organisations + 1));
  for (int i = 0; i < organisations; i++)
    {
      snprintf (w->names[i], sizeof w->names[i],
                "lending-ledger-%03d/org-%03d", i / 8, i);
      budget_set_rate (w->budget, w->names[i], 400, 400, START_US);
    }
  budget_freeze (w->budget, &w->record, true, START_US);
  for (int i = 0; i < organisations; i++)
    budget_allot (w->budget, w->record.version, w->names[i], 1.0 / MEMBERS,
                  START_US);
  budget_settle (w->budget, w->record.version, START_US);
  return w;
}

static void
poll_group (struct group *g, int64_t now)
{
  for (int i = 0; i < ENDPOINTS; i++)
    {
      struct endpoint_status status
          = { .in_recovery = i > 0,
              .term = 7,
              .received = (uint64_t)now,
              .replayed = (uint64_t)now,
              .primary_age_us = i > 0 ? 10 * MSEC : 0 };
      authority_record_status (g->authority, i, &status, now - MSEC);
      failover_on_status (g->failover, i, &status, now);
      routing_record_status (g->routing, i, &status, now);
    }
}

static void
hear_peers (struct world *w, int64_t now)
{
  for (int m = 1; m < MEMBERS; m++)
    {
      struct primary_view view = { .member = w->record.members[m].id,
                                   .term = 7,
                                   .silence_us = 20 * MSEC,
                                   .reaches_majority = true,
                                   .received_at = now };
      for (int i = 0; i < w->group_count; i++)
        failover_on_view (w->groups[i].failover, &view, now);
      for (int i = 0; i < w->name_count; i++)
        {
          struct budget_report report = { .from = view.member,
                                          .fraction = 1.0 / MEMBERS,
                                          .tokens = 50,
                                          .demand = 10 };
          memcpy (report.organisation, w->names[i],
                  sizeof report.organisation);
          budget_on_report (w->budget, &report, now);
        }
    }
}

/* @return actions other than polls: none are due in a quiet cell. */
static int
tick (struct world *w, int64_t now)
{
  struct failover_action action;
  struct budget_message message;
  int unexpected = 0;
  for (int i = 0; i < w->group_count; i++)
    {
      struct group *g = &w->groups[i];
      for (int n = 0;
           n < 8 && failover_next (g->failover, now, (uint64_t)now, &action);
           n++)
        unexpected += action.kind != FAILOVER_POLL;
      failover_view_due (g->failover, now);
    }
  for (int n = 0; n < 1000 && budget_next_message (w->budget, now, &message);
       n++)
    unexpected++;
  return unexpected;
}

/* @return processor time per second of virtual time, us. */
static double
run_core (struct world *w, int seconds, int *unexpected)
{
  double start = cpu_us ();
  for (int64_t t = 0; t < seconds * SECOND; t += TICK_US)
    {
      int64_t now = START_US + t;
      if (t % POLL_US < TICK_US)
        for (int i = 0; i < w->group_count; i++)
          poll_group (&w->groups[i], now);
      if (t % HEARTBEAT_US == 0)
        hear_peers (w, now);
      *unexpected += tick (w, now);
    }
  return (cpu_us () - start) / seconds;
}

static struct message
heartbeat (void *parent, const struct world *w, int silent)
{
  int64_t now = START_US * 1000;
  struct message m
      = { .type = MESSAGE_HEARTBEAT,
          .from = w->record.members[SELF].id,
          .heartbeat = { .version = w->record.version,
                         .settled = w->record.version,
                         .sent_at = now,
                         .echo = now,
                         .silent_count = silent },
          .config_version = CONFIG_VERSION,
          .keys_version = CONFIG_VERSION,
          .view_count = w->group_count < MESSAGE_MAX_VIEWS ? w->group_count
                                                           : MESSAGE_MAX_VIEWS,
          .report_count = w->name_count < MESSAGE_MAX_REPORTS
                              ? w->name_count
                              : MESSAGE_MAX_REPORTS };
  m.views = talloc_zero_array (parent, struct message_view, MESSAGE_MAX_VIEWS);
  for (int i = 0; i < m.view_count; i++)
    {
      snprintf (m.views[i].group, sizeof m.views[i].group,
                "lending-ledger-%03d", i);
      m.views[i].view = (struct primary_view){ .term = 7,
                                               .silence_us = 120 * MSEC,
                                               .reaches_majority = true };
    }
  m.reports
      = talloc_zero_array (parent, struct budget_report, MESSAGE_MAX_REPORTS);
  for (int i = 0; i < m.report_count; i++)
    budget_report (w->budget, i, START_US, &m.reports[i]);
  for (int i = 0; i < silent; i++)
    m.heartbeat.silent[i] = ID_BASE + (uint64_t)i;
  return m;
}

/* @return processor time for the heartbeats that a member sends and receives
   in a second, us. */
static double
run_codec (const struct world *w, int seconds, size_t *size)
{
  static const unsigned char key[SECRET_BYTES] = { 1 };
  const int per_second = (MEMBERS - 1) * (int)(SECOND / HEARTBEAT_US);
  struct error err = { 0 };
  double start = cpu_us ();
  for (int i = 0; i < seconds * per_second; i++)
    {
      void *scratch = talloc_new (NULL);
      struct message m = heartbeat (scratch, w, 0), received;
      struct bstr bytes = message_encode (scratch, &m, key);
      *size = bytes.len;
      if (!message_decode (scratch, bytes, key, &received, &err))
        fprintf (stderr, "azurewind-core-slopes: %s\n", err.text);
      talloc_free (scratch);
    }
  return (cpu_us () - start) / seconds;
}

static void
measure (const char *what, int count, int groups, int organisations,
         int seconds)
{
  struct world *w = create_world (groups, organisations);
  int unexpected = 0;
  size_t size = 0;
  double core = run_core (w, seconds, &unexpected);
  double codec = run_codec (w, seconds, &size);
  printf ("%s\t%d\t%.2f\t%zu\t%.2f\t%zu\n", what, count, core,
          talloc_total_size (w), codec, size);
  if (unexpected > 0)
    fprintf (stderr,
             "azurewind-core-slopes: %s %d: %d actions in a quiet "
             "cell\n",
             what, count, unexpected);
  talloc_free (w);
}

/* A tree of services with 3 endpoints and 8 organisations each. */
static char *
settings_text (void *parent, int services)
{
  char *text = talloc_strdup (parent, "[defaults]\nrate = 400\n");
  for (int i = 0; i < services; i++)
    {
      text = talloc_asprintf_append_buffer (
          text,
          "[services.lending-ledger-%03d]\ndatabase = \"ledger\"\n"
          "user = \"azurewind\"\n",
          i);
      for (int e = 0; e < ENDPOINTS; e++)
        text = talloc_asprintf_append_buffer (
            text,
            "[services.lending-ledger-%03d.endpoints.db-%d]\n"
            "host = \"10.%d.%d.%d\"\nport = 5432\n"
            "place = \"moshi-shop\"\n",
            i, e + 1, i / 200, i % 200, e + 1);
      for (int o = 0; o < 8; o++)
        text = talloc_asprintf_append_buffer (
            text,
            "[services.lending-ledger-%03d.organisations.org-%03d]\n"
            "rate = %d\n",
            i, o, 100 + o);
    }
  return text;
}

static void
measure_settings (int services)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct bstr text = bstr_from (settings_text (scratch, services));
  const int runs = 5;
  size_t size = 0;
  double start = cpu_us ();
  for (int i = 0; i < runs; i++)
    {
      struct settings *s = settings_parse (scratch, "tree", text, &err);
      if (s == NULL)
        fprintf (stderr, "azurewind-core-slopes: %s\n", err.text);
      size = s != NULL ? talloc_total_size (s) : 0;
      talloc_free (s);
    }
  printf ("settings\t%d\t%.0f\t%zu\t%zu\n", services,
          (cpu_us () - start) / runs, size, text.len);
  talloc_free (scratch);
}

static void
print_size (const char *name, const struct message *m)
{
  static const unsigned char key[SECRET_BYTES] = { 1 };
  void *scratch = talloc_new (NULL);
  printf ("size\t%s\t%zu\n", name, message_encode (scratch, m, key).len);
  talloc_free (scratch);
}

static void
print_control_sizes (const struct world *w, uint64_t from)
{
  void *scratch = talloc_new (NULL);
  struct bstr record = cell_object_render (scratch, &w->record);
  struct message release
      = { .type = MESSAGE_RELEASE, .from = from, .version = 8 };
  struct message fetch
      = { .type = MESSAGE_FETCH, .from = from, .version = CONFIG_VERSION };
  struct message join = { .type = MESSAGE_JOIN,
                          .from = from,
                          .member = w->record.members[SELF] };
  struct message freeze = { .type = MESSAGE_FREEZE,
                            .from = from,
                            .version = w->record.version,
                            .value = record };
  struct message allot
      = { .type = MESSAGE_ALLOT, .from = from, .version = w->record.version };
  allot.fractions = talloc_zero_array (scratch, struct message_fraction, 8);
  snprintf (release.name, sizeof release.name, "lending-ledger-000");
  snprintf (fetch.name, sizeof fetch.name, "azurewind/config");
  print_size ("release, released", &release);
  print_size ("fetch", &fetch);
  print_size ("snapshot, without the value", &fetch);
  print_size ("join", &join);
  print_size ("freeze, 8 members", &freeze);
  print_size ("holdings, allot, 0 organisations", &allot);
  for (int i = 0; i < 8; i++)
    snprintf (allot.fractions[i].organisation, BUDGET_NAME_SIZE, "%s",
              w->names[i]);
  allot.fraction_count = 8;
  print_size ("holdings, allot, 8 organisations", &allot);
  printf ("size\tcell object, 8 members\t%zu\n", record.len);
  talloc_free (scratch);
}

static void
print_sizes (void)
{
  void *scratch = talloc_new (NULL);
  uint64_t from = ID_BASE;
  struct world *empty = create_world (0, 0);
  struct world *one_group = create_world (1, 0);
  struct world *full = create_world (1, 8);
  struct message m = heartbeat (scratch, empty, 0);
  print_size ("heartbeat, no group, no organisation", &m);
  m = heartbeat (scratch, empty, 1);
  print_size ("heartbeat, one member silent", &m);
  m = heartbeat (scratch, one_group, 0);
  print_size ("heartbeat, 1 group, no organisation", &m);
  m = heartbeat (scratch, full, 0);
  print_size ("heartbeat, 1 group, 8 organisations", &m);
  m = (struct message){ .type = MESSAGE_BUDGET,
                        .from = from,
                        .budget = { .kind = BUDGET_GRANT,
                                    .from = from,
                                    .to = from + 1,
                                    .version = CONFIG_VERSION,
                                    .id = from } };
  memcpy (m.budget.organisation, full->names[0], sizeof m.budget.organisation);
  print_size ("need, grant, grant_ack", &m);
  print_control_sizes (full, from);
  talloc_free (empty);
  talloc_free (one_group);
  talloc_free (full);
  talloc_free (scratch);
}

int
main (int argc, const char **argv)
{
  int seconds = 60, status = EXIT_FAILURE;
  struct poptOption options[] = { { "seconds", 't', POPT_ARG_INT, &seconds, 0,
                                    "virtual time of each measurement", "S" },
                                  POPT_AUTOHELP POPT_TABLEEND };
  poptContext context
      = poptGetContext ("azurewind-core-slopes", argc, argv, options, 0);
  int rc = poptGetNextOpt (context);
  if (rc != -1 || seconds <= 0)
    {
      fprintf (stderr, "azurewind-core-slopes: invalid option\n");
      goto done;
    }
  if (sodium_init () < 0)
    goto done;
  /* Above MESSAGE_MAX_VIEWS and MESSAGE_MAX_REPORTS heartbeats stop to
     grow. */
  for (int n = 1; n <= 64; n *= 2)
    measure ("group", n, n, 0, seconds);
  for (int n = 1; n <= 64; n *= 2)
    measure ("organisation", n, 0, n, seconds);
  for (int n = 1; n < 667; n *= 4)
    measure_settings (n);
  measure_settings (667);
  print_sizes ();
  status = EXIT_SUCCESS;
done:
  poptFreeContext (context);
  return status;
}
