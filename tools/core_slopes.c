/** @file
 * azurewind-core-slopes measures the processor time and memory of the modules
 * in core/ and of the codec of peer messages, in one process and in virtual
 * time, with a growing number of groups and organisations; also the sizes of
 * the peer messages and of the cell object.  Prints one line of tab-separated
 * fields for each measurement.
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
/* Index of the member whose modules are measured. */
#define SELF 0
#define MSEC INT64_C (1000)
#define SECOND INT64_C (1000000)
/* The periods of the daemon, as in daemon/group.c, daemon/peers.c and
   daemon/options.c. */
#define ITERATION_PERIOD_US (20 * MSEC)
#define POLL_PERIOD_US (250 * MSEC)
#define HEARTBEAT_PERIOD_US (500 * MSEC)
#define VIRTUAL_START_US (1000 * SECOND)
#define LEASE_US SECOND
#define HOLD_US (2 * SECOND)

/* Numbers as large as the random ids of a real cell, and times as large as a
   VM's clock gives them, so that the codec encodes them in full length. */
#define ID_BASE UINT64_C (0x5a17c3d200000000)
#define CONFIG_VERSION 70000

/** Modules of one group. */
struct group
{
  struct authority *authority;
  struct failover *failover;
  struct routing *routing;
  struct admission *writes, *reads;
};

/** What one member of a simulated cell keeps in core/. */
struct simulated_cell
{
  struct cell_record record;
  struct group *groups;
  int group_count;
  struct budget *budget;
  char (*organisation_names)[BUDGET_NAME_SIZE];
  int organisation_count; /**< Number of organisation_names. */
};

/* @return processor time of this process, us. */
static double
process_cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void
init_cell_record (struct cell_record *r)
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
create_group (struct simulated_cell *cell, struct group *g, int64_t now)
{
  uint64_t members[MEMBERS];
  struct group_record record = { .version = 1,
                                 .term = 7,
                                 .primary = 0,
                                 .candidate = INDEX_NONE,
                                 .base_term = 7 };
  for (int i = 0; i < MEMBERS; i++)
    members[i] = cell->record.members[i].id;
  g->authority = authority_create (
      cell, &(struct authority_options){ .endpoint_count = ENDPOINTS,
                                         .lease_us = LEASE_US,
                                         .confirm_replicas = 1 });
  g->failover = failover_create (
      cell,
      &(struct failover_options){ .endpoint_count = ENDPOINTS,
                                  .confirm_replicas = 1,
                                  .self = members[SELF],
                                  .lease_us = LEASE_US,
                                  .suspect_us = SECOND,
                                  .unreachable_us = 3 * SECOND,
                                  .driver_timeout_us = 3 * SECOND },
      now);
  g->routing = routing_create (
      cell, &(struct routing_options){ .endpoint_count = ENDPOINTS,
                                       .catch_up_us = 50 * MSEC,
                                       .stale_poll_us = 4 * POLL_PERIOD_US });
  struct admission_options queue = { .max_queued = 1000, .browse_share = 0.1 };
  g->writes = admission_create (cell, &queue);
  g->reads = admission_create (cell, &queue);
  failover_set_members (g->failover, members, MEMBERS, now);
  failover_on_record (g->failover, &record, now);
  authority_record_opening (g->authority, 7, 0, 0);
  routing_set_primary (g->routing, 0, 7, 0);
}

static struct simulated_cell *
create_cell (int groups, int organisations)
{
  struct simulated_cell *cell = talloc_zero (NULL, struct simulated_cell);
  init_cell_record (&cell->record);
  cell->group_count = groups;
  cell->groups = talloc_zero_array (cell, struct group, (unsigned)groups + 1);
  for (int i = 0; i < groups; i++)
    create_group (cell, &cell->groups[i], VIRTUAL_START_US);
  cell->budget = budget_create (
      cell, &(struct budget_options){ .self = cell->record.members[SELF].id,
                                      .resend_us = 100 * MSEC });
  cell->organisation_count = organisations;
  cell->organisation_names = talloc_zero_size (
      cell, sizeof *cell->organisation_names * ((unsigned)organisations + 1));
  for (int i = 0; i < organisations; i++)
    {
      snprintf (cell->organisation_names[i],
                sizeof cell->organisation_names[i],
                "lending-ledger-%03d/org-%03d", i / 8, i);
      budget_set_rate (cell->budget, cell->organisation_names[i], 400, 400,
                       VIRTUAL_START_US);
    }
  budget_freeze (cell->budget, &cell->record, true, VIRTUAL_START_US);
  for (int i = 0; i < organisations; i++)
    budget_allot (cell->budget, cell->record.version,
                  cell->organisation_names[i], 1.0 / MEMBERS,
                  VIRTUAL_START_US);
  budget_settle (cell->budget, cell->record.version, VIRTUAL_START_US);
  return cell;
}

/* Passes the status of all endpoints to the modules, as after a poll. */
static void
report_endpoint_statuses (struct group *g, int64_t now)
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

/* Passes what the heartbeats of all other members carry to the modules. */
static void
receive_peer_heartbeats (struct simulated_cell *cell, int64_t now)
{
  for (int m = 1; m < MEMBERS; m++)
    {
      struct primary_view view = { .member = cell->record.members[m].id,
                                   .term = 7,
                                   .silence_us = 20 * MSEC,
                                   .reaches_majority = true,
                                   .received_at = now };
      for (int i = 0; i < cell->group_count; i++)
        failover_on_view (cell->groups[i].failover, &view, now);
      for (int i = 0; i < cell->organisation_count; i++)
        {
          struct budget_report report = { .from = view.member,
                                          .fraction = 1.0 / MEMBERS,
                                          .tokens = 50,
                                          .demand = 10 };
          memcpy (report.organisation, cell->organisation_names[i],
                  sizeof report.organisation);
          budget_on_report (cell->budget, &report, now);
        }
    }
}

/* Runs one iteration of the event loop.
   @return the number of actions other than polls; a quiet cell has none. */
static int
run_due_actions (struct simulated_cell *cell, int64_t now)
{
  struct failover_action action;
  struct budget_message message;
  int unexpected = 0;
  for (int i = 0; i < cell->group_count; i++)
    {
      struct group *g = &cell->groups[i];
      for (int n = 0;
           n < 8 && failover_next (g->failover, now, (uint64_t)now, &action);
           n++)
        unexpected += action.kind != FAILOVER_POLL;
      failover_view_due (g->failover, now);
    }
  for (int n = 0;
       n < 1000 && budget_next_message (cell->budget, now, &message); n++)
    unexpected++;
  return unexpected;
}

/* @return processor time of the modules per second of virtual time, us. */
static double
measure_core_cpu (struct simulated_cell *cell, int seconds, int *unexpected)
{
  double start = process_cpu_us ();
  for (int64_t t = 0; t < seconds * SECOND; t += ITERATION_PERIOD_US)
    {
      int64_t now = VIRTUAL_START_US + t;
      if (t % POLL_PERIOD_US < ITERATION_PERIOD_US)
        for (int i = 0; i < cell->group_count; i++)
          report_endpoint_statuses (&cell->groups[i], now);
      if (t % HEARTBEAT_PERIOD_US == 0)
        receive_peer_heartbeats (cell, now);
      *unexpected += run_due_actions (cell, now);
    }
  return (process_cpu_us () - start) / seconds;
}

/* @param silent number of members that the heartbeat reports as silent. */
static struct message
build_heartbeat (void *parent, const struct simulated_cell *cell, int silent)
{
  int64_t now = VIRTUAL_START_US * 1000;
  struct message m
      = { .type = MESSAGE_HEARTBEAT,
          .from = cell->record.members[SELF].id,
          .heartbeat = { .version = cell->record.version,
                         .settled = cell->record.version,
                         .sent_at = now,
                         .echo = now,
                         .silent_count = silent },
          .config_version = CONFIG_VERSION,
          .keys_version = CONFIG_VERSION,
          .view_count = cell->group_count < MESSAGE_MAX_VIEWS
                            ? cell->group_count
                            : MESSAGE_MAX_VIEWS,
          .report_count = cell->organisation_count < MESSAGE_MAX_REPORTS
                              ? cell->organisation_count
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
    budget_report (cell->budget, i, VIRTUAL_START_US, &m.reports[i]);
  for (int i = 0; i < silent; i++)
    m.heartbeat.silent[i] = ID_BASE + (uint64_t)i;
  return m;
}

/* Encodes and decodes the heartbeats that a member sends and receives.
   @return processor time for the heartbeats of one second, us. */
static double
measure_codec_cpu (const struct simulated_cell *cell, int seconds,
                   size_t *size)
{
  static const unsigned char key[SECRET_BYTES] = { 1 };
  const int per_second = (MEMBERS - 1) * (int)(SECOND / HEARTBEAT_PERIOD_US);
  struct error err = { 0 };
  double start = process_cpu_us ();
  for (int i = 0; i < seconds * per_second; i++)
    {
      void *scratch = talloc_new (NULL);
      struct message m = build_heartbeat (scratch, cell, 0), received;
      struct bstr bytes = message_encode (scratch, &m, key);
      *size = bytes.len;
      if (!message_decode (scratch, bytes, key, &received, &err))
        fprintf (stderr, "azurewind-core-slopes: %s\n", err.text);
      talloc_free (scratch);
    }
  return (process_cpu_us () - start) / seconds;
}

/* Prints the costs of a cell with these numbers of groups and organisations.
   @param what "group" or "organisation": what the cell has @p count of. */
static void
measure_cell (const char *what, int count, int groups, int organisations,
              int seconds)
{
  struct simulated_cell *cell = create_cell (groups, organisations);
  int unexpected = 0;
  size_t size = 0;
  double core = measure_core_cpu (cell, seconds, &unexpected);
  double codec = measure_codec_cpu (cell, seconds, &size);
  printf ("%s\t%d\t%.2f\t%zu\t%.2f\t%zu\n", what, count, core,
          talloc_total_size (cell), codec, size);
  if (unexpected > 0)
    fprintf (stderr,
             "azurewind-core-slopes: %s %d: %d actions in a quiet "
             "cell\n",
             what, count, unexpected);
  talloc_free (cell);
}

/* @return settings with services of 3 endpoints and 8 organisations each. */
static char *
render_settings (void *parent, int services)
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

/* Prints the processor time to parse settings, their size in memory and the
   length of their text. */
static void
measure_settings (int services)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct bstr text = bstr_from (render_settings (scratch, services));
  const int runs = 5;
  size_t size = 0;
  double start = process_cpu_us ();
  for (int i = 0; i < runs; i++)
    {
      struct settings *s = settings_parse (scratch, "tree", text, &err);
      if (s == NULL)
        fprintf (stderr, "azurewind-core-slopes: %s\n", err.text);
      size = s != NULL ? talloc_total_size (s) : 0;
      talloc_free (s);
    }
  printf ("settings\t%d\t%.0f\t%zu\t%zu\n", services,
          (process_cpu_us () - start) / runs, size, text.len);
  talloc_free (scratch);
}

/* Prints the encoded size of a message. */
static void
print_size (const char *name, const struct message *m)
{
  static const unsigned char key[SECRET_BYTES] = { 1 };
  void *scratch = talloc_new (NULL);
  printf ("size\t%s\t%zu\n", name, message_encode (scratch, m, key).len);
  talloc_free (scratch);
}

static void
print_control_message_sizes (const struct simulated_cell *cell, uint64_t from)
{
  void *scratch = talloc_new (NULL);
  struct bstr record = cell_object_render (scratch, &cell->record);
  struct message release
      = { .type = MESSAGE_RELEASE, .from = from, .version = 8 };
  struct message fetch
      = { .type = MESSAGE_FETCH, .from = from, .version = CONFIG_VERSION };
  struct message join = { .type = MESSAGE_JOIN,
                          .from = from,
                          .member = cell->record.members[SELF] };
  struct message freeze = { .type = MESSAGE_FREEZE,
                            .from = from,
                            .version = cell->record.version,
                            .value = record };
  struct message allot = { .type = MESSAGE_ALLOT,
                           .from = from,
                           .version = cell->record.version };
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
              cell->organisation_names[i]);
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
  struct simulated_cell *empty = create_cell (0, 0);
  struct simulated_cell *one_group = create_cell (1, 0);
  struct simulated_cell *full = create_cell (1, 8);
  struct message m = build_heartbeat (scratch, empty, 0);
  print_size ("heartbeat, no group, no organisation", &m);
  m = build_heartbeat (scratch, empty, 1);
  print_size ("heartbeat, one member silent", &m);
  m = build_heartbeat (scratch, one_group, 0);
  print_size ("heartbeat, 1 group, no organisation", &m);
  m = build_heartbeat (scratch, full, 0);
  print_size ("heartbeat, 1 group, 8 organisations", &m);
  m = (struct message){ .type = MESSAGE_BUDGET,
                        .from = from,
                        .budget = { .kind = BUDGET_GRANT,
                                    .from = from,
                                    .to = from + 1,
                                    .version = CONFIG_VERSION,
                                    .id = from } };
  memcpy (m.budget.organisation, full->organisation_names[0],
          sizeof m.budget.organisation);
  print_size ("need, grant, grant_ack", &m);
  print_control_message_sizes (full, from);
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
  /* Heartbeats carry at most MESSAGE_MAX_VIEWS groups and MESSAGE_MAX_REPORTS
     organisations; above that they do not grow any further. */
  for (int n = 1; n <= 64; n *= 2)
    measure_cell ("group", n, n, 0, seconds);
  for (int n = 1; n <= 64; n *= 2)
    measure_cell ("organisation", n, 0, n, seconds);
  for (int n = 1; n < 667; n *= 4)
    measure_settings (n);
  measure_settings (667);
  print_sizes ();
  status = EXIT_SUCCESS;
done:
  poptFreeContext (context);
  return status;
}
