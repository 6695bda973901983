#include "daemon/group.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/call.h"
#include "daemon/group_object.h"
#include "daemon/peers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "group"
#define TICK_US (20 * USEC_PER_MSEC)

/* A poll without an answer for this long gets a new connection. */
#define POLL_TIMEOUT_US (1000 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT_MS 1000
/* A server that restarts refuses connections for less than this. */
#define REFUSED_US (300 * USEC_PER_MSEC)
/* Time to the next attempt after a refused connection. */
#define REFUSED_RETRY_US (100 * USEC_PER_MSEC)
/* Least time between two polls of one endpoint while a write waits for
   confirmation; it bounds the cost on a fast network. */
#define HURRY_US (1 * USEC_PER_MSEC)
/* Connections for polls and for commands of a change of primary. */
#define CONTROL_CONNECTIONS 2
/* Key of the advisory lock; any number that applications do not use. */
#define COMMAND_LOCK 1635414647

static void poll_endpoint (struct endpoint *e);
static void pump_failover (struct group *g);

/* ---- commands to one endpoint ------------------------------------------ */

#define COMMAND_MAX 5
/* A reset takes a round trip; this covers a slow one. */
#define COMMAND_RETRIES 100
#define COMMAND_RETRY_US (2 * USEC_PER_MSEC)

/* A chain of single statements, each in a transaction of its own, because
   ALTER SYSTEM refuses to run inside a transaction block.  The first one
   checks the fence marker under an advisory lock that lasts until the
   connection is released, so that a command of a replaced driver that
   arrives late is refused. */
struct command
{
  struct endpoint *endpoint;
  enum failover_action_kind kind;
  const char *sql[COMMAND_MAX];
  int count, next;
  int retries; /**< For want of a free connection. */
  int64_t sent_at;
};

static void run_next_statement (struct command *cmd,
                                struct pgsql_connection *c);
static void on_command_connection (void *data, struct pgsql_connection *c,
                                   const struct error *err);

static void
finish_command (struct command *cmd, bool ok,
                const struct endpoint_status *status)
{
  struct endpoint *e = cmd->endpoint;
  struct group *g = e->group;
  int64_t now = clock_now ();
  if (cmd->kind == FAILOVER_FENCE)
    failover_on_fenced (g->failover, e->index, ok, status, now);
  else if (cmd->kind == FAILOVER_PROMOTE)
    failover_on_promoted (g->failover, e->index, ok, now);
  if (status != NULL)
    group_on_status (e, status, cmd->sent_at);
  if (!ok)
    log_warn (PART, "endpoint command failed service=%s endpoint=%s kind=%d",
              g->service, e->name, (int)cmd->kind);
  talloc_free (cmd);
  pump_failover (g);
}

struct command_step
{
  struct command *cmd;
  struct pgsql_connection *connection;
};

static void
on_command_done (void *data, const struct pgsql_reply *reply)
{
  struct command_step *step = data;
  struct command *cmd = step->cmd;
  struct pgsql_connection *c = step->connection;
  struct endpoint_status status;
  talloc_free (step);
  if (reply->end == PGSQL_LOST || reply->end == PGSQL_NOT_SENT)
    {
      finish_command (cmd, false, NULL);
      return;
    }
  if (reply->end == PGSQL_DONE && cmd->next < cmd->count)
    {
      run_next_statement (cmd, c);
      return;
    }
  bool has_status = reply->end == PGSQL_DONE && reply->count > 0
                    && pgsql_parse_status (reply->results[0], &status);
  pgsql_release (c);
  finish_command (cmd, reply->end == PGSQL_DONE, has_status ? &status : NULL);
}

static void
run_next_statement (struct command *cmd, struct pgsql_connection *c)
{
  struct pgsql_statement statement = { cmd->sql[cmd->next++], NULL, 0 };
  struct command_step *step = talloc (cmd, struct command_step);
  *step = (struct command_step){ cmd, c };
  cmd->sent_at = clock_now ();
  pgsql_run (c, &statement, 1, on_command_done, step);
}

static void
on_command_retry (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct command *cmd = data;
  pgsql_acquire (cmd->endpoint->control_pool, on_command_connection, cmd);
}

static void
on_command_connection (void *data, struct pgsql_connection *c,
                       const struct error *err)
{
  struct command *cmd = data;
  if (c == NULL && err->code == ERROR_REFUSED
      && cmd->retries++ < COMMAND_RETRIES)
    {
      /* The connection of the command before is still being reset. */
      daemon_after (cmd->endpoint->group->daemon, cmd, COMMAND_RETRY_US,
                    on_command_retry, cmd);
      return;
    }
  if (c == NULL)
    {
      log_debug (PART, "no connection for a command endpoint=%s error=\"%s\"",
                 cmd->endpoint->name, err->text);
      finish_command (cmd, false, NULL);
      return;
    }
  run_next_statement (cmd, c);
}

/* Stops with a division by zero unless the marker is at most, or equal to,
   the term. */
static char *
check_statement (void *parent, bool equal, uint64_t term)
{
  return talloc_asprintf (
      parent,
      "/* azurewind:check %s=%" PRIu64 " */ SELECT pg_advisory_lock(%d), "
      "1 / (CASE WHEN coalesce(substring(current_setting('primary_conninfo')"
      " from 'azurewind_fence_([0-9]+)')::int, 0) %s %" PRIu64
      " THEN 1 ELSE 0 END)",
      equal ? "equal" : "max", term, COMMAND_LOCK, equal ? "=" : "<=", term);
}

static void
run_command (struct endpoint *e, enum failover_action_kind kind, uint64_t term,
             const char *main_sql)
{
  static const char reload[]
      = "/* azurewind:reload */ SELECT pg_reload_conf()";
  static const char receiver_stopped[]
      = "/* azurewind:receiver_stopped */ SELECT 1 / (CASE WHEN count(*) = 0 "
        "THEN 1 ELSE 0 END) FROM pg_stat_wal_receiver";
  struct command *cmd = talloc_zero (e->group, struct command);
  cmd->endpoint = e;
  cmd->kind = kind;
  cmd->sql[cmd->count++]
      = check_statement (cmd, kind == FAILOVER_PROMOTE, term);
  cmd->sql[cmd->count++] = talloc_strdup (cmd, main_sql);
  if (kind != FAILOVER_PROMOTE)
    cmd->sql[cmd->count++] = reload;
  if (kind == FAILOVER_FENCE)
    cmd->sql[cmd->count++] = receiver_stopped;
  cmd->sql[cmd->count++] = pgsql_status_sql ("poll");
  pgsql_acquire (e->control_pool, on_command_connection, cmd);
}

/* ---- polls -------------------------------------------------------------- */

void
group_on_failure (struct endpoint *e)
{
  routing_failed (e->group->routing, e->index, clock_now ());
}

static void
on_poll_done (void *data, const struct pgsql_reply *reply)
{
  struct endpoint *e = data;
  struct endpoint_status status;
  e->polling = false;
  if (reply->end == PGSQL_LOST || reply->end == PGSQL_NOT_SENT)
    {
      e->control = NULL;
      group_on_failure (e);
      return;
    }
  if (reply->end == PGSQL_DONE && reply->count > 0
      && pgsql_parse_status (reply->results[0], &status))
    group_on_status (e, &status, e->poll_sent_at);
  else
    log_warn (PART, "poll failed service=%s endpoint=%s error=\"%s\"",
              e->group->service, e->name, reply->message);
}

static void
on_refused_retry (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  poll_endpoint (data);
}

static void
on_poll_connection (void *data, struct pgsql_connection *c,
                    const struct error *err)
{
  struct endpoint *e = data;
  e->connecting = false;
  e->control = c;
  if (c == NULL)
    {
      log_debug (PART, "cannot connect service=%s endpoint=%s error=\"%s\"",
                 e->group->service, e->name, err->text);
      group_on_failure (e);
      if (err->code == ERROR_NOT_FOUND)
        {
          failover_on_refused (e->group->failover, e->index, clock_now ());
          daemon_after (e->group->daemon, e->group, REFUSED_RETRY_US,
                        on_refused_retry, e);
        }
      return;
    }
  poll_endpoint (e);
}

static void
poll_endpoint (struct endpoint *e)
{
  int64_t now = clock_now ();
  struct pgsql_statement statement = { pgsql_status_sql ("poll"), NULL, 0 };
  if (e->polling)
    {
      if (now - e->poll_sent_at < POLL_TIMEOUT_US)
        return;
      pgsql_abort (e->control);
      e->control = NULL;
      e->polling = false;
      group_on_failure (e);
    }
  if (e->control == NULL)
    {
      if (!e->connecting)
        {
          e->connecting = true;
          pgsql_acquire (e->control_pool, on_poll_connection, e);
        }
      return;
    }
  e->polling = true;
  e->poll_sent_at = now;
  pgsql_run (e->control, &statement, 1, on_poll_done, e);
}

static void
on_hurry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct endpoint *e = data;
  if (e->group->held != NULL && !e->polling)
    poll_endpoint (e);
}

void
group_hurry (struct group *g)
{
  for (int i = 0; i < g->endpoint_count; i++)
    if (!g->endpoints[i].polling && i != authority_primary (g->authority))
      poll_endpoint (&g->endpoints[i]);
}

/* An old primary that is back holds a branch of its own and must be rebuilt
   by an operator. */
static void
warn_if_replaced (const struct endpoint *e,
                  const struct endpoint_status *status)
{
  const struct group *g = e->group;
  bool was = endpoint_is_replaced (e);
  struct endpoint seen = *e;
  seen.status = *status;
  if (!was && endpoint_is_replaced (&seen))
    log_warn (PART,
              "replaced primary is back and must be rebuilt service=%s "
              "endpoint=%s term=%" PRIu64,
              g->service, e->name, status->term);
}

void
group_on_status (struct endpoint *e, const struct endpoint_status *status,
                 int64_t sent_at)
{
  struct group *g = e->group;
  int64_t now = clock_now ();
  warn_if_replaced (e, status);
  e->status = *status;
  e->answered_at = now;
  authority_observe (g->authority, e->index, status, sent_at);
  routing_observe (g->routing, e->index, status, now);
  failover_on_status (g->failover, e->index, status, now);
  call_recheck_held (g);
  if (g->held != NULL && e->index != authority_primary (g->authority))
    daemon_after (g->daemon, g, HURRY_US, on_hurry, e);
}

/* ---- the idempotency table ---------------------------------------------- */

static void
on_schema_done (void *data, const struct pgsql_reply *reply)
{
  struct command_step *step = data;
  struct command *cmd = step->cmd;
  struct group *g = cmd->endpoint->group;
  g->schema_running = false;
  if (reply->end == PGSQL_DONE)
    {
      g->schema_ready = true;
      log_info (PART, "idempotency table ready service=%s", g->service);
    }
  if (reply->end == PGSQL_DONE || reply->end == PGSQL_FAILED)
    pgsql_release (step->connection);
  talloc_free (cmd);
}

static void
on_schema_connection (void *data, struct pgsql_connection *c,
                      const struct error *err)
{
  (void)err;
  struct command *cmd = data;
  if (c == NULL)
    {
      cmd->endpoint->group->schema_running = false;
      talloc_free (cmd);
      return;
    }
  static const struct pgsql_statement create
      = { "CREATE TABLE IF NOT EXISTS azurewind_requests ("
          "organisation TEXT NOT NULL, key TEXT NOT NULL, digest TEXT NOT "
          "NULL, state TEXT NOT NULL, created TIMESTAMP NOT NULL DEFAULT "
          "CURRENT_TIMESTAMP, PRIMARY KEY (organisation, key))",
          NULL, 0 };
  struct command_step *step = talloc (cmd, struct command_step);
  *step = (struct command_step){ cmd, c };
  pgsql_run (c, &create, 1, on_schema_done, step);
}

static void
ensure_schema (struct group *g, struct endpoint *primary)
{
  if (g->schema_ready || g->schema_running)
    return;
  struct command *cmd = talloc_zero (g, struct command);
  cmd->endpoint = primary;
  g->schema_running = true;
  pgsql_acquire (primary->control_pool, on_schema_connection, cmd);
}

/* ---- change of primary ---------------------------------------------------
 */

static void
apply_record (struct group *g, const struct group_record *r)
{
  authority_term_seen (g->authority, r->term);
  if (r->phase != FAILOVER_STABLE || r->term <= g->opened.term)
    return;
  g->opened = *r;
  authority_term_opened (g->authority, r->term, r->primary, r->branch_start);
  routing_set_primary (g->routing, r->primary, r->term, r->branch_start);
  log_info (PART, "term opened service=%s term=%" PRIu64 " primary=%s",
            g->service, r->term, g->endpoints[r->primary].name);
  call_recheck_held (g);
  call_dispatch (g);
}

struct record_update
{
  struct group *group;
  struct group_record record;
};

static void
on_update_done (void *data, const struct error *err,
                const struct platform_object *object)
{
  struct record_update *u = data;
  struct group *g = u->group;
  struct group_record current;
  int64_t now = clock_now ();
  if (err->code == ERROR_NONE)
    {
      u->record.version = object->version;
      failover_on_update (g->failover, UPDATE_DONE, object->version, now);
      apply_record (g, &u->record);
    }
  else if (err->code == ERROR_CONFLICT)
    {
      failover_on_update (g->failover, UPDATE_CONFLICT, 0, now);
      if (object != NULL && group_object_parse (object, g, &current))
        {
          failover_on_record (g->failover, &current, now);
          apply_record (g, &current);
        }
    }
  else
    failover_on_update (g->failover, UPDATE_LOST, 0, now);
  talloc_free (u);
  pump_failover (g);
}

static void
update_object (struct group *g, const struct group_record *record)
{
  struct record_update *u = talloc_zero (g, struct record_update);
  u->group = g;
  u->record = *record;
  char *name = group_object_name (u, g->service);
  struct bstr value = group_object_render (u, g, record);
  platform_put (g->daemon->platform, name, record->version, value,
                on_update_done, u);
}

static void
on_read_done (void *data, const struct error *err,
              const struct platform_object *object)
{
  struct group *g = data;
  struct group_record record
      = { .primary = INDEX_NONE, .candidate = INDEX_NONE };
  if (err->code == ERROR_NONE && object->version > 0
      && !group_object_parse (object, g, &record))
    log_error (PART, "group object is malformed service=%s", g->service);
  else if (err->code == ERROR_NONE || err->code == ERROR_NOT_FOUND)
    {
      failover_on_record (g->failover, &record, clock_now ());
      apply_record (g, &record);
    }
  pump_failover (g);
}

static void
read_object (struct group *g)
{
  char *name = group_object_name (g, g->service);
  platform_get (g->daemon->platform, name, on_read_done, g);
  talloc_free (name);
}

static void
release_term (struct group *g, uint64_t term)
{
  log_info (PART, "releasing terms service=%s below=%" PRIu64, g->service,
            term);
  authority_release (g->authority, term - 1);
  authority_term_seen (g->authority, term);
  failover_on_released (g->failover, g->daemon->id, term, clock_now ());
  peers_send_release (g->daemon, g->service, term);
}

static void
on_members_read (void *data, int64_t sent_at)
{
  struct group *g = data;
  failover_on_members_read (g->failover, sent_at, clock_now ());
  pump_failover (g);
}

static void
perform (struct group *g, const struct failover_action *a)
{
  bool at_endpoint = a->endpoint >= 0 && a->endpoint < g->endpoint_count;
  struct endpoint *e = &g->endpoints[at_endpoint ? a->endpoint : 0];
  char sql[256];
  switch (a->kind)
    {
    case FAILOVER_UPDATE:
      log_info (PART,
                "updating group object service=%s term=%" PRIu64 " phase=%d",
                g->service, a->record.term, (int)a->record.phase);
      update_object (g, &a->record);
      break;
    case FAILOVER_READ:
      read_object (g);
      break;
    case FAILOVER_FENCE:
      snprintf (sql, sizeof sql,
                "/* azurewind:fence */ ALTER SYSTEM SET primary_conninfo = "
                "'application_name=azurewind_fence_%" PRIu64 "'",
                a->term);
      run_command (e, a->kind, a->term, sql);
      break;
    case FAILOVER_RELEASE:
      release_term (g, a->term);
      break;
    case FAILOVER_PROMOTE:
      log_info (PART, "promoting service=%s endpoint=%s term=%" PRIu64,
                g->service, e->name, a->term);
      snprintf (sql, sizeof sql,
                "/* azurewind:promote term=%" PRIu64
                " */ SELECT pg_promote(true, 5)",
                a->term);
      run_command (e, a->kind, a->term, sql);
      break;
    case FAILOVER_FOLLOW:
      {
        struct endpoint *primary = &g->endpoints[a->record.primary];
        snprintf (sql, sizeof sql,
                  "/* azurewind:follow primary=%s:%d */ ALTER SYSTEM SET "
                  "primary_conninfo = 'host=%s port=%d "
                  "application_name=azurewind_fence_%" PRIu64 "'",
                  primary->host, primary->port, primary->host, primary->port,
                  a->term);
        run_command (e, a->kind, a->term, sql);
        break;
      }
    case FAILOVER_POLL:
      poll_endpoint (e);
      break;
    case FAILOVER_READ_MEMBERS:
      peers_read_members (g->daemon, on_members_read, g);
      break;
    }
}

static void
pump_failover (struct group *g)
{
  struct failover_action action;
  if (g->retired)
    return;
  if (failover_view_due (g->failover, clock_now ()))
    peers_send_view (g->daemon, g->service,
                     failover_view (g->failover, clock_now ()));
  while (failover_next (g->failover, clock_now (), daemon_unique (), &action))
    perform (g, &action);
}

struct endpoint *
group_writable (struct group *g, int64_t now)
{
  int index = authority_primary (g->authority);
  if (index == INDEX_NONE
      || authority_expiry (g->authority, authority_term (g->authority)) <= now)
    return NULL;
  return &g->endpoints[index];
}

static void
on_tick (void *data)
{
  struct group *g = data;
  struct endpoint *primary = group_writable (g, clock_now ());
  pump_failover (g);
  call_expire (g);
  call_dispatch (g);
  if (primary != NULL)
    ensure_schema (g, primary);
}

static void
on_poll_tick (void *data)
{
  struct group *g = data;
  if (g->retired && g->held == NULL)
    return;
  for (int i = 0; i < g->endpoint_count; i++)
    poll_endpoint (&g->endpoints[i]);
}

/* ---- events from peers and the platform ----------------------------------
 */

bool
endpoint_is_replaced (const struct endpoint *e)
{
  const struct endpoint_status *s = &e->status;
  return s->term > 0 && !s->in_recovery
         && s->term < authority_term (e->group->authority);
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

void
group_on_object (struct daemon *d, const struct platform_object *object)
{
  struct group_record record;
  for (struct group *g = d->groups; g != NULL; g = g->next)
    {
      char *name = group_object_name (g, g->service);
      if (!g->retired && bstr_equals_text (object->name, name)
          && group_object_parse (object, g, &record))
        {
          failover_on_record (g->failover, &record, clock_now ());
          apply_record (g, &record);
          pump_failover (g);
        }
      talloc_free (name);
    }
}

void
group_on_release (struct daemon *d, const char *service, uint64_t term)
{
  /* Also groups that a newer configuration replaced: their running writes
     must not be acknowledged for an older term either. */
  for (struct group *g = d->groups; g != NULL && term > 0; g = g->next)
    if (strcmp (g->service, service) == 0)
      {
        authority_release (g->authority, term - 1);
        authority_term_seen (g->authority, term);
      }
}

void
group_on_released (struct daemon *d, const char *service, uint64_t member,
                   uint64_t term)
{
  struct group *g = group_find (d, bstr_from (service));
  if (g == NULL)
    return;
  failover_on_released (g->failover, member, term, clock_now ());
  pump_failover (g);
}

void
group_on_view (struct daemon *d, const char *service,
               const struct primary_view *view)
{
  struct group *g = group_find (d, bstr_from (service));
  if (g == NULL)
    return;
  failover_on_view (g->failover, view, clock_now ());
}

/* This member's part of an endpoint's connections.  One connection of each
   member is for polls; what the division leaves goes to the first members,
   but for the ones that a driver needs for its commands. */
static int
endpoint_share (const struct daemon *d, int64_t connections)
{
  const struct cell_record *record = cell_record (d->cell);
  int members = record->member_count > 0 ? record->member_count : 1;
  int rank = members - 1;
  for (int i = 0; i < record->member_count; i++)
    if (record->members[i].id == d->id)
      rank = i;
  int data = (int)connections - members - (CONTROL_CONNECTIONS - 1);
  int share = data / members + (rank < data % members ? 1 : 0);
  return share > 0 ? share : 1;
}

static void
apply_share (struct group *g)
{
  int share = endpoint_share (g->daemon, g->values.connections);
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
      apply_share (g);
    }
}

/* ---- settings ------------------------------------------------------------
 */

static void
create_endpoint (struct group *g, int index,
                 const struct settings_service *service)
{
  const struct settings_endpoint *s = &service->endpoints[index];
  struct endpoint *e = &g->endpoints[index];
  int share = endpoint_share (g->daemon, g->values.connections);
  e->group = g;
  e->index = index;
  e->name = talloc_strdup (g, s->name);
  e->host = talloc_strdup (g, s->host);
  e->port = s->port;
  struct pgsql_pool_options options = {
    .ev = g->daemon->ev,
    .host = e->host,
    .port = e->port,
    .database = service->database,
    .user = service->user,
    .limit = share,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
  };
  e->pool = pgsql_pool_create (g, &options);
  options.limit = CONTROL_CONNECTIONS;
  e->control_pool = pgsql_pool_create (g, &options);
  e->limit = admission_limit_create (g, share);
}

static struct group *
create_group (struct daemon *d, const struct settings_service *service)
{
  struct group *g = talloc_zero (d, struct group);
  int64_t now = clock_now ();
  g->daemon = d;
  g->service = talloc_strdup (g, service->name);
  g->values = service->values;
  g->endpoint_count = service->endpoint_count;
  g->endpoints = talloc_zero_array (g, struct endpoint, g->endpoint_count);
  for (int i = 0; i < g->endpoint_count; i++)
    create_endpoint (g, i, service);
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
          .refused_us = REFUSED_US,
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
  daemon_every (d, g, TICK_US, on_tick, g);
  daemon_every (d, g, d->options->poll_ms * USEC_PER_MSEC, on_poll_tick, g);
  read_object (g);
  on_poll_tick (g);
  return g;
}

static bool
same_endpoints (const struct group *g, const struct settings_service *s)
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
  /* Organisations stay in memory because running calls point to them; one
     that is gone from the settings is disabled. */
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
  apply_share (g);
}

static void
free_retired (struct daemon *d)
{
  struct group **at = &d->groups;
  while (*at != NULL)
    {
      struct group *g = *at;
      if (!g->retired || g->running > 0 || g->held != NULL
          || admission_queued (g->writes) + admission_queued (g->reads) > 0)
        {
          at = &g->next;
          continue;
        }
      *at = g->next;
      talloc_free (g);
    }
}

/* Only the members of a service's cell may hold its budgets and
   connections. */
static bool
is_own_service (const struct daemon *d, const struct settings_service *s)
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
      if (s == NULL || !is_own_service (d, s) || !same_endpoints (g, s))
        g->retired = true;
    }
  for (int i = 0; i < d->settings->service_count; i++)
    {
      const struct settings_service *s = &d->settings->services[i];
      struct group *g = group_find (d, bstr_from (s->name));
      if (!is_own_service (d, s))
        continue;
      if (g == NULL)
        {
          g = create_group (d, s);
          g->next = d->groups;
          d->groups = g;
        }
      update_group (g, s);
    }
  free_retired (d);
  group_on_members (d);
}
