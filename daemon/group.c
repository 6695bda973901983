#include "daemon/group.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/call.h"
#include "daemon/primary.h"

#include <stdio.h>

#define PART "group"
/* Interval of on_tick; core/failover needs at most 50 ms. */
#define TICK_INTERVAL_US (20 * USEC_PER_MSEC)
/* A server that restarts refuses connections for less than this time. */
#define RESTART_REFUSAL_MAX_US (300 * USEC_PER_MSEC)

void
group_poll_replicas (struct group *g)
{
  for (int i = 0; i < g->endpoint_count; i++)
    if (!g->endpoints[i].poll_running && i != authority_primary (g->authority))
      endpoint_poll (&g->endpoints[i]);
}

static void
on_scheduled_dispatch (struct tevent_context *ev, struct tevent_immediate *im,
                       void *data)
{
  (void)ev, (void)im;
  struct group *g = data;
  g->dispatch_scheduled = false;
  call_dispatch (g);
}

void
group_schedule_dispatch (struct group *g)
{
  if (g->dispatch_scheduled)
    return;
  g->dispatch_scheduled = true;
  tevent_schedule_immediate (g->dispatch_immediate, g->daemon->ev,
                             on_scheduled_dispatch, g);
}

struct endpoint *
group_writable_primary (struct group *g, int64_t now)
{
  int index = authority_primary (g->authority);
  if (index == INDEX_NONE
      || authority_expiry (g->authority, authority_term (g->authority)) <= now)
    return NULL;
  return &g->endpoints[index];
}

/* Runs what the group does regularly: actions of core/failover, expiry and
   dispatch of calls, and creation of the idempotency table. */
static void
on_tick (void *data)
{
  struct group *g = data;
  struct endpoint *primary = group_writable_primary (g, clock_now ());
  primary_perform_actions (g);
  call_expire_queued (g);
  call_dispatch (g);
  if (primary != NULL)
    endpoint_ensure_schema (primary);
}

static void
on_poll_tick (void *data)
{
  struct group *g = data;
  if (g->retired && g->unconfirmed_writes == NULL)
    return;
  for (int i = 0; i < g->endpoint_count; i++)
    endpoint_poll (&g->endpoints[i]);
}

struct group *
group_find (struct daemon *d, struct bstr service)
{
  for (struct group *g = d->groups; g != NULL; g = g->next)
    if (!g->retired && bstr_equals_text (service, g->service))
      return g;
  return NULL;
}

struct organisation *
group_organisation (struct group *g, struct bstr name)
{
  for (struct organisation *o = g->organisations; o != NULL; o = o->next)
    if (bstr_equals_text (name, o->name))
      return o;
  return NULL;
}

/* Returns how many of an endpoint's connections this member may open for
   requests.  Each member needs one connection for polls, and the member that
   drives a change of primary needs more for its commands.  The rest is
   divided evenly; the remainder goes to the first members of the list.  A
   process outside the list gets the share of the last member. */
static int
connection_share (const struct daemon *d, int64_t connections)
{
  const struct cell_record *record = cell_record (d->cell);
  int members = record->member_count > 0 ? record->member_count : 1;
  int rank = members - 1;
  for (int i = 0; i < record->member_count; i++)
    if (record->members[i].id == d->id)
      rank = i;
  int for_requests
      = (int)connections - members - (ENDPOINT_CONTROL_CONNECTIONS - 1);
  int share = for_requests / members + (rank < for_requests % members ? 1 : 0);
  return share > 0 ? share : 1;
}

static void
apply_connection_share (struct group *g)
{
  int share = connection_share (g->daemon, g->values.connections);
  for (int i = 0; i < g->endpoint_count; i++)
    {
      pgsql_pool_set_limit (g->endpoints[i].pool, share);
      admission_limit_set_slots (g->endpoints[i].limit, share);
    }
}

void
group_on_members (struct daemon *d)
{
  const struct cell_record *record = cell_record (d->cell);
  uint64_t members[CELL_MAX_MEMBERS];
  for (int i = 0; i < record->member_count; i++)
    members[i] = record->members[i].id;
  for (struct group *g = d->groups; g != NULL; g = g->next)
    {
      failover_set_members (g->failover, members, record->member_count,
                            clock_now ());
      apply_connection_share (g);
    }
}

static struct group *
create_group (struct daemon *d, const struct settings_service *service)
{
  struct group *g = talloc_zero (d, struct group);
  int64_t now = clock_now ();
  g->daemon = d;
  g->dispatch_immediate = tevent_create_immediate (g);
  g->service = talloc_strdup (g, service->name);
  g->values = service->values;
  g->endpoint_count = service->endpoint_count;
  int share = connection_share (d, g->values.connections);
  g->endpoints = talloc_zero_array (g, struct endpoint, g->endpoint_count);
  for (int i = 0; i < g->endpoint_count; i++)
    endpoint_create (g, i, service, share);
  g->authority = authority_create (
      g, &(struct authority_options){
             .endpoint_count = g->endpoint_count,
             .lease_us = g->values.lease_ms * USEC_PER_MSEC,
             .confirm_replicas = (int)g->values.confirm_replicas });
  g->failover = failover_create (
      g,
      &(struct failover_options){
          .endpoint_count = g->endpoint_count,
          .confirm_replicas = (int)g->values.confirm_replicas,
          .self = d->id,
          .lease_us = g->values.lease_ms * USEC_PER_MSEC,
          .suspect_us = g->values.suspect_ms * USEC_PER_MSEC,
          .unreachable_us = g->values.unreachable_ms * USEC_PER_MSEC,
          .refused_us = RESTART_REFUSAL_MAX_US,
          .driver_timeout_us = 3 * g->values.suspect_ms * USEC_PER_MSEC / 2 },
      now);
  g->routing = routing_create (
      g, &(struct routing_options){
             .endpoint_count = g->endpoint_count,
             .primary_only = d->options->baseline_primary_reads,
             .catch_up_us = g->values.catch_up_ms * USEC_PER_MSEC,
             .stale_poll_us = 4 * d->options->poll_ms * USEC_PER_MSEC });
  struct admission_options queue = { .fifo = d->options->baseline_fifo,
                                     .max_queued = 1000,
                                     .browse_share = 0.1 };
  g->writes = admission_create (g, &queue);
  g->reads = admission_create (g, &queue);
  daemon_add_repeating_timer (d, g, TICK_INTERVAL_US, on_tick, g);
  daemon_add_repeating_timer (d, g, d->options->poll_ms * USEC_PER_MSEC,
                              on_poll_tick, g);
  primary_read_object (g);
  on_poll_tick (g);
  return g;
}

/* Whether the settings that a group takes only when it is created are still
   the same; if not, a new group replaces it. */
static bool
has_same_fixed_settings (const struct group *g,
                         const struct settings_service *s)
{
  if (g->endpoint_count != s->endpoint_count)
    return false;
  for (int i = 0; i < g->endpoint_count; i++)
    if (strcmp (g->endpoints[i].name, s->endpoints[i].name) != 0
        || strcmp (g->endpoints[i].host, s->endpoints[i].host) != 0
        || g->endpoints[i].port != s->endpoints[i].port)
      return false;
  return g->values.lease_ms == s->values.lease_ms
         && g->values.confirm_replicas == s->values.confirm_replicas
         && g->values.suspect_ms == s->values.suspect_ms
         && g->values.unreachable_ms == s->values.unreachable_ms
         && g->values.catch_up_ms == s->values.catch_up_ms;
}

static struct organisation *
create_organisation (struct group *g, const char *name)
{
  static const char *const classes[CLASS_COUNT]
      = { "write", "session", "browse" };
  static const char *const outcomes[3] = { "not_run", "ran", "unknown" };
  struct stats *stats = g->daemon->stats;
  struct organisation *o = talloc_zero (g, struct organisation);
  char labels[256];
  o->name = talloc_strdup (o, name);
  o->budget_name = talloc_asprintf (o, "%s/%s", g->service, name);
  int used = snprintf (labels, sizeof labels,
                       "service=\"%s\",organisation=\"%s\"", g->service, name);
  char *rest = labels + used;
  size_t room = sizeof labels - (size_t)used;
  o->rate_limited
      = stats_counter (stats, "azurewind_rate_limited_total", labels);
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      snprintf (rest, room, ",class=\"%s\"", classes[i]);
      o->latency[i]
          = stats_histogram (stats, "azurewind_latency_microseconds", labels);
    }
  for (int i = 0; i < 3; i++)
    {
      snprintf (rest, room, ",outcome=\"%s\"", outcomes[i]);
      o->outcomes[i]
          = stats_counter (stats, "azurewind_requests_total", labels);
    }
  snprintf (rest, room, ",served_by=\"replica\"");
  o->reads_replica = stats_counter (stats, "azurewind_reads_total", labels);
  snprintf (rest, room, ",served_by=\"primary\"");
  o->reads_primary = stats_counter (stats, "azurewind_reads_total", labels);
  o->next = g->organisations;
  g->organisations = o;
  return o;
}

static void
update_group (struct group *g, const struct settings_service *service)
{
  struct daemon *d = g->daemon;
  int64_t now = clock_now ();
  g->values = service->values;
  TALLOC_FREE (g->open_organisation);
  if (service->open_organisation != NULL)
    g->open_organisation = talloc_strdup (g, service->open_organisation);
  for (int i = 0; i < g->endpoint_count; i++)
    {
      bool leaving = service->endpoints[i].leaving;
      routing_set_leaving (g->routing, i, leaving);
      failover_set_leaving (g->failover, i, leaving, now);
    }
  /* Organisations stay in memory because running calls point to them; those
     that the settings do not contain any more are disabled. */
  for (struct organisation *o = g->organisations; o != NULL; o = o->next)
    o->values.enabled = false;
  for (int i = 0; i < service->organisation_count; i++)
    {
      const struct settings_organisation *s = &service->organisations[i];
      struct organisation *o = group_organisation (g, bstr_from (s->name));
      if (o == NULL)
        o = create_organisation (g, s->name);
      o->values = s->values;
      budget_set_rate (d->budget, o->budget_name, s->values.rate,
                       s->values.burst, now);
    }
  apply_connection_share (g);
}

/** Talloc child of a user of a group; user_count includes the user until this
 * is freed. */
struct group_user
{
  struct group *group;
};

static int
group_user_destructor (struct group_user *u)
{
  u->group->user_count--;
  return 0;
}

void
group_add_user (void *user, struct group *g)
{
  struct group_user *u = talloc (user, struct group_user);
  u->group = g;
  g->user_count++;
  talloc_set_destructor (u, group_user_destructor);
}

void
group_free_retired (struct daemon *d)
{
  struct group **at = &d->groups;
  while (*at != NULL)
    {
      struct group *g = *at;
      if (!g->retired || g->user_count > 0)
        {
          at = &g->next;
          continue;
        }
      *at = g->next;
      talloc_free (g);
    }
}

/* Only the members of a service's cell may use its budgets and its
   connections. */
static bool
belongs_to_own_cell (const struct daemon *d, const struct settings_service *s)
{
  return strcmp (s->cell, d->options->cell) == 0;
}

void
group_apply_settings (struct daemon *d)
{
  for (struct group *g = d->groups; g != NULL; g = g->next)
    {
      const struct settings_service *s
          = settings_find_service (d->settings, bstr_from (g->service));
      if (s == NULL || !belongs_to_own_cell (d, s)
          || !has_same_fixed_settings (g, s))
        g->retired = true;
    }
  for (int i = 0; i < d->settings->service_count; i++)
    {
      const struct settings_service *s = &d->settings->services[i];
      struct group *g = group_find (d, bstr_from (s->name));
      if (!belongs_to_own_cell (d, s))
        continue;
      if (g == NULL)
        {
          g = create_group (d, s);
          g->next = d->groups;
          d->groups = g;
        }
      update_group (g, s);
    }
  if (d->groups == NULL)
    log_warn (PART, "no service of the configuration belongs to cell=%s",
              d->options->cell);
  group_free_retired (d);
  group_on_members (d);
}
