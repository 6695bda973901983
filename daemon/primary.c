#include "daemon/primary.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/call.h"
#include "daemon/group_object.h"
#include "daemon/peers.h"

#include <inttypes.h>
#include <stdio.h>

#define PART "primary"

/* Passes a group record to authority and routing: its term, and, if it is
   stable and newer than the newest applied one, its primary. */
static void
apply_record (struct group *g, const struct group_record *r)
{
  authority_record_term (g->authority, r->term);
  if (r->phase != FAILOVER_STABLE || r->term <= g->opened_record.term)
    return;
  g->opened_record = *r;
  authority_record_opening (g->authority, r->term, r->primary,
                            r->branch_start);
  routing_set_primary (g->routing, r->primary, r->term, r->branch_start);
  log_info (PART, "term opened service=%s term=%" PRIu64 " primary=%s",
            g->service, r->term, g->endpoints[r->primary].name);
  call_recheck_unconfirmed (g);
  call_dispatch (g);
}

/** A request to the platform.  It prevents the freeing of its group until the
 * answer arrives. */
struct platform_call
{
  struct group *group;
  struct group_record record; /**< New record, for an update. */
};

static struct platform_call *
start_platform_call (struct group *g)
{
  struct platform_call *call = talloc_zero (g, struct platform_call);
  call->group = g;
  group_add_user (call, g);
  return call;
}

static void
on_update_done (void *data, const struct error *err,
                const struct platform_object *object)
{
  struct platform_call *call = data;
  struct group *g = call->group;
  struct group_record current;
  int64_t now = clock_now ();
  if (err->code == ERROR_NONE)
    {
      call->record.version = object->version;
      failover_on_update (g->failover, UPDATE_DONE, object->version, now);
      apply_record (g, &call->record);
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
  primary_perform_actions (g);
  talloc_free (call);
}

static void
update_object (struct group *g, const struct group_record *record)
{
  struct platform_call *call = start_platform_call (g);
  call->record = *record;
  char *name = group_object_name (call, g->service);
  struct bstr value = group_object_render (call, g, record);
  platform_put (g->daemon->platform, name, record->version, value,
                on_update_done, call);
}

static void
on_read_done (void *data, const struct error *err,
              const struct platform_object *object)
{
  struct platform_call *call = data;
  struct group *g = call->group;
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
  primary_perform_actions (g);
  talloc_free (call);
}

void
primary_read_object (struct group *g)
{
  struct platform_call *call = start_platform_call (g);
  char *name = group_object_name (call, g->service);
  platform_get (g->daemon->platform, name, on_read_done, call);
}

/* Releases this member's authority for all terms below @p term and asks the
   other members to do the same. */
static void
release_lower_terms (struct group *g, uint64_t term)
{
  log_info (PART, "releasing terms service=%s below=%" PRIu64, g->service,
            term);
  authority_release (g->authority, term - 1);
  authority_record_term (g->authority, term);
  failover_on_released (g->failover, g->daemon->id, term, clock_now ());
  peers_send_release (g->daemon, g->service, term);
}

static void
on_members_read (void *data, int64_t sent_at)
{
  struct platform_call *call = data;
  if (sent_at > 0)
    failover_on_members_read (call->group->failover, sent_at, clock_now ());
  primary_perform_actions (call->group);
  talloc_free (call);
}

/* Performs one action of core/failover. */
static void
perform_action (struct group *g, const struct failover_action *a)
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
      primary_read_object (g);
      break;
    case FAILOVER_FENCE:
      snprintf (sql, sizeof sql,
                "/* azurewind:fence */ ALTER SYSTEM SET primary_conninfo = "
                "'application_name=azurewind_fence_%" PRIu64 "'",
                a->term);
      endpoint_run_command (e, a->kind, a->term, sql);
      break;
    case FAILOVER_RELEASE:
      release_lower_terms (g, a->term);
      break;
    case FAILOVER_PROMOTE:
      log_info (PART, "promoting service=%s endpoint=%s term=%" PRIu64,
                g->service, e->name, a->term);
      snprintf (sql, sizeof sql,
                "/* azurewind:promote term=%" PRIu64
                " */ SELECT pg_promote(true, 5)",
                a->term);
      endpoint_run_command (e, a->kind, a->term, sql);
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
        endpoint_run_command (e, a->kind, a->term, sql);
        break;
      }
    case FAILOVER_POLL:
      endpoint_poll (e);
      break;
    case FAILOVER_READ_MEMBERS:
      peers_read_cell_object (g->daemon, on_members_read,
                              start_platform_call (g));
      break;
    }
}

void
primary_perform_actions (struct group *g)
{
  struct failover_action action;
  if (g->retired)
    return;
  if (failover_view_due (g->failover, clock_now ()))
    peers_send_view (g->daemon, g->service,
                     failover_view (g->failover, clock_now ()));
  while (
      failover_next (g->failover, clock_now (), daemon_random_id (), &action))
    perform_action (g, &action);
}

void
primary_on_object (struct daemon *d, const struct platform_object *object)
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
          primary_perform_actions (g);
        }
      talloc_free (name);
    }
}

void
primary_on_release (struct daemon *d, const char *service, uint64_t term)
{
  /* This includes groups that a newer configuration has replaced: their
     running writes must not be acknowledged for an older term either. */
  for (struct group *g = d->groups; g != NULL && term > 0; g = g->next)
    if (strcmp (g->service, service) == 0)
      {
        authority_release (g->authority, term - 1);
        authority_record_term (g->authority, term);
      }
}

void
primary_on_released (struct daemon *d, const char *service, uint64_t member,
                     uint64_t term)
{
  struct group *g = group_find (d, bstr_from (service));
  if (g == NULL)
    return;
  failover_on_released (g->failover, member, term, clock_now ());
  primary_perform_actions (g);
}

void
primary_on_view (struct daemon *d, const char *service,
                 const struct primary_view *view)
{
  struct group *g = group_find (d, bstr_from (service));
  if (g == NULL)
    return;
  failover_on_view (g->failover, view, clock_now ());
}
