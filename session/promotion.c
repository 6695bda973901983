#include "common/log.h"
#include "platform/objects.h"
#include "platform/store.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Longest wait for the answers of a survey once one endpoint answered. */
#define SURVEY_US (150 * USEC_PER_MSEC)
/* Pause between two questions to the same endpoint. */
#define STATUS_PERIOD_US (100 * USEC_PER_MSEC)
/* Time after the order at which the new primary may lead. */
#define FIRST_STATUS_US (500 * USEC_PER_MSEC)
#define CALL_TIMEOUT_MS 700
#define RETRY_US (120 * USEC_PER_MSEC)
/* A record that cannot be written for this time is left to a daemon that
   reaches the store. */
#define HAND_OVER_US (350 * USEC_PER_MSEC)
/* An order that has shown no effect is repeated after this. */
#define AWAIT_US (2500 * USEC_PER_MSEC)
/* A new owner waits this long for the record of a promotion, or until it is
   read if an earlier owner has announced one. */
#define RECORD_WAIT_US (300 * USEC_PER_MSEC)
/* A takeover without a primary that answers leads to a promotion. */
#define NO_PRIMARY_US (700 * USEC_PER_MSEC)
/* Transactions at a primary that is to leave have this long to end. */
#define HANDOFF_US (1000 * USEC_PER_MSEC)
/* A planned change that no replica is fit for is tried again after this. */
#define HANDOFF_RETRY_US (1000 * USEC_PER_MSEC)

/** A call to the platform; late answers of an older one are ignored. */
struct promotion_call
{
  struct service *service;
  uint64_t number;
};

static struct promotion_call *
begin_call (struct service *s)
{
  struct promotion_call *call = talloc_zero (s, struct promotion_call);
  call->service = s;
  call->number = ++s->calls;
  s->call_open = true;
  return call;
}

/* @return the service if the answer is still wanted. */
static struct service *
end_call (struct promotion_call *call)
{
  struct service *s = call->service;
  bool wanted = s->calls == call->number && s->call_open;
  talloc_free (call);
  if (!wanted)
    return NULL;
  s->call_open = false;
  return s;
}

static void
set_step (struct service *s, enum promotion_step step)
{
  static const char *const names[] = { "survey", "record", "order", "await" };
  s->step = step;
  s->step_since = clock_now ();
  s->next_status = 0;
  log_info (PART,
            "event=promotion step=%s service=%s target=%s token=%" PRIu64
            " since_ms=%" PRId64,
            names[step], s->name, s->target_id != NULL ? s->target_id : "none",
            s->token, (s->step_since - s->replace_at) / USEC_PER_MSEC);
}

static void
set_target (struct service *s, struct endpoint *e)
{
  s->target = e;
  TALLOC_FREE (s->target_id);
  if (e != NULL)
    s->target_id = talloc_strdup (s, e->id);
}

static struct endpoint *
find_endpoint (const struct service *s, const char *id)
{
  struct endpoint *e = s->endpoints;
  while (e != NULL && strcmp (e->id, id) != 0)
    e = e->next;
  return e;
}

void
promotion_cancel (struct service *s)
{
  s->call_open = false;
  s->calls++;
  set_target (s, NULL);
  s->token = 0;
}

void
promotion_start (struct service *s, bool planned, const char *reason)
{
  int64_t now = clock_now ();
  if (planned && now < s->replace_at + HANDOFF_RETRY_US)
    return;
  promotion_cancel (s);
  s->planned = planned;
  s->replace_at = now;
  service_set_phase (s, planned ? SERVICE_HANDOFF : SERVICE_REPLACING, reason);
  set_step (s, PROMOTION_SURVEY);
}

/* Record. */

static void
on_removed (void *data, const struct error *err, const json_t *body)
{
  (void)data, (void)body;
  if (err->code != ERROR_NONE && err->code != ERROR_NOT_FOUND)
    log_warn (PART, "event=record_not_removed code=%s reason=\"%s\"",
              error_name (err->code), err->text);
}

static void
remove_record (struct service *s, uint64_t revision)
{
  store_remove (s->relay->store, objects_promotion_kind (), s->name, revision,
                CALL_TIMEOUT_MS, on_removed, s->relay);
}

static void write_record (struct service *s, uint64_t revision);

static void
on_recorded (void *data, const struct error *err, const json_t *body)
{
  struct service *s = end_call (data);
  if (s == NULL || s->step != PROMOTION_RECORD)
    return;
  if (err->code == ERROR_NONE && objects_revision (body) > 0)
    {
      s->token = objects_revision (body);
      set_step (s, PROMOTION_ORDER);
    }
  else if (err->code == ERROR_CONFLICT && objects_revision (body) > 0)
    write_record (s, objects_revision (body));
  else
    {
      log_warn (PART, "event=record_failed service=%s code=%s reason=\"%s\"",
                s->name, error_name (err->code), err->text);
      s->next_status = clock_now () + RETRY_US;
    }
}

/* The record's revision is the fencing token: it grows with every change,
   and a later owner finds what was begun. */
static void
write_record (struct service *s, uint64_t revision)
{
  store_put (s->relay->store, objects_promotion_kind (), s->name, revision,
             objects_encode_promotion (s->relay->options->name, s->target_id),
             CALL_TIMEOUT_MS, on_recorded, begin_call (s));
}

static void
on_found (void *data, const struct error *err, const json_t *body)
{
  struct service *s = end_call (data);
  if (s == NULL)
    return;
  if (err->code != ERROR_NONE && err->code != ERROR_NOT_FOUND)
    {
      log_warn (PART, "event=record_unread service=%s code=%s reason=\"%s\"",
                s->name, error_name (err->code), err->text);
      return;
    }
  s->record_read = true;
  if (err->code == ERROR_NOT_FOUND)
    {
      promotion_tick (s, clock_now ());
      return;
    }
  char *id = objects_decode_promotion (s, body);
  struct endpoint *e = id != NULL ? find_endpoint (s, id) : NULL;
  if (e == NULL || e == s->primary)
    remove_record (s, objects_revision (body));
  else if (s->phase == SERVICE_TAKEOVER || s->phase == SERVICE_SERVING)
    {
      s->planned = false;
      s->replace_at = clock_now ();
      set_target (s, e);
      service_set_phase (s, SERVICE_REPLACING,
                         "an earlier owner began a promotion");
      set_step (s, PROMOTION_RECORD);
    }
  talloc_free (id);
}

void
promotion_resume (struct service *s)
{
  store_get (s->relay->store, objects_promotion_kind (), s->name,
             CALL_TIMEOUT_MS, on_found, begin_call (s));
}

/* The store may turn this daemon away and serve others; one of them can
   record the promotion.
   @return whether the service was handed over. */
static bool
hand_over_record (struct service *s, int64_t now)
{
  uint64_t peer = fleet_store_peer (s->relay->fleet);
  if (now - s->step_since < HAND_OVER_US || peer == 0)
    return false;
  log_warn (PART,
            "event=handover service=%s reason=\"only other daemons reach "
            "the store\"",
            s->name);
  fleet_release (s->relay->fleet, s->id, peer);
  service_stop (s, "the store cannot be reached from here");
  return true;
}

/* Order. */

static void
on_ordered (void *data, const struct error *err, const json_t *body)
{
  (void)body;
  struct service *s = end_call (data);
  if (s == NULL || s->step != PROMOTION_ORDER)
    return;
  if (err->code == ERROR_NONE)
    {
      set_step (s, PROMOTION_AWAIT);
      s->next_status = s->step_since + FIRST_STATUS_US;
      return;
    }
  log_warn (PART,
            "event=order_failed service=%s target=%s code=%s "
            "reason=\"%s\"",
            s->name, s->target_id, error_name (err->code), err->text);
  if (err->code == ERROR_CONFLICT && s->target != NULL)
    {
      service_endpoint_failed (s->target, "the platform says it is not up");
      set_step (s, PROMOTION_SURVEY);
    }
  else
    s->next_status = clock_now () + RETRY_US;
}

static void
order (struct service *s)
{
  store_promote (s->relay->store, s->name, s->target_id, s->token,
                 CALL_TIMEOUT_MS, on_ordered, begin_call (s));
}

/* Survey. */

static void
ask_status (struct endpoint *e, int64_t now)
{
  if (!e->probing && e->listed && !e->wrong && now >= e->next_status)
    {
      e->next_status = now + STATUS_PERIOD_US;
      pool_probe (e, true);
    }
}

/* @return the endpoint with the newest log among those that answered since
 * @p since. */
static struct endpoint *
find_successor (const struct service *s, int64_t since, bool *all_answered)
{
  struct replica_view views[SERVICE_MAX_ENDPOINTS];
  struct endpoint *endpoints[SERVICE_MAX_ENDPOINTS] = { NULL };
  int count = 0;
  *all_answered = true;
  for (struct endpoint *e = s->endpoints;
       e != NULL && count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      if (e == s->primary || !e->listed || e->wrong || e->draining)
        continue;
      if (e->status_at < since)
        *all_answered = false;
      endpoints[count] = e;
      views[count] = e->view;
      views[count].is_primary = false;
      views[count++].usable = e->status_at >= since;
    }
  int best = replicas_choose_successor (views, count);
  return best >= 0 ? endpoints[best] : NULL;
}

static bool
primary_is_quiet (const struct service *s)
{
  const struct endpoint *e = s->primary;
  if (e == NULL)
    return true;
  for (const struct pooled *p = e->links; p != NULL; p = p->next)
    if (p->work != NULL
        || (p->transaction != NULL && !p->transaction->reads_only))
      return false;
  return true;
}

static void
survey (struct service *s, int64_t now)
{
  bool all_answered;
  bool quiet = !s->planned || primary_is_quiet (s);
  if (!quiet && now - s->replace_at < HANDOFF_US)
    return;
  if (!quiet)
    service_drop_links (s->primary, "the primary is being replaced");
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e != s->primary && !e->draining && e->status_at < s->step_since)
      ask_status (e, now);
  struct endpoint *best = find_successor (s, s->step_since, &all_answered);
  if (best == NULL || (!all_answered && now - s->step_since < SURVEY_US))
    {
      if (s->planned && now - s->replace_at > 2 * HANDOFF_US)
        service_set_phase (s, SERVICE_SERVING, "no replica is fit");
      return;
    }
  if (s->planned
      && position_compare (best->view.position, s->commit_history.newest) < 0)
    {
      if (now - s->replace_at > HANDOFF_US + HANDOFF_RETRY_US)
        service_set_phase (s, SERVICE_SERVING, "no replica has caught up");
      else
        set_step (s, PROMOTION_SURVEY);
      return;
    }
  set_target (s, best);
  set_step (s, PROMOTION_RECORD);
}

static void
await (struct service *s, int64_t now)
{
  if (s->target == NULL)
    {
      set_step (s, PROMOTION_SURVEY);
      return;
    }
  if (now >= s->next_status || s->target->claims_primary)
    ask_status (s->target, now);
  if (now - s->step_since > AWAIT_US)
    set_step (s, PROMOTION_ORDER);
}

static void
find_primary (struct service *s, int64_t now)
{
  struct endpoint *best = NULL;
  uint64_t newest = s->term;
  bool all_answered = true;
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    {
      if (!e->listed || e->wrong)
        continue;
      if (e->status_at < s->phase_since)
        {
          all_answered = false;
          ask_status (e, now);
          continue;
        }
      if (e->status_term > newest)
        newest = e->status_term;
      if (e->status_primary
          && (best == NULL || e->status_term > best->status_term))
        best = e;
    }
  bool waited = now - s->phase_since > SURVEY_US;
  /* An order of an earlier owner may still take effect. */
  if (!s->record_read
      && (now - s->phase_since < RECORD_WAIT_US
          || fleet_is_changing (s->relay->fleet, s->id)))
    {
      if (!s->call_open)
        promotion_resume (s);
      return;
    }
  if (best != NULL && best->status_term >= newest && (all_answered || waited))
    service_serve (s, best, best->status_term, best->view.position);
  else if (now - s->phase_since > NO_PRIMARY_US && s->endpoints != NULL)
    promotion_start (s, false, "no primary answers");
}

void
promotion_status (struct service *s, struct endpoint *e)
{
  int64_t now = clock_now ();
  if (s->leaving)
    return;
  if (s->phase == SERVICE_TAKEOVER)
    find_primary (s, now);
  else if (s->phase == SERVICE_REPLACING || s->phase == SERVICE_HANDOFF)
    {
      if (s->step == PROMOTION_SURVEY)
        survey (s, now);
      else if (s->step == PROMOTION_AWAIT && e == s->target
               && e->status_primary && e->status_term > s->term)
        {
          struct endpoint *old = s->primary;
          log_info (PART,
                    "event=promoted service=%s endpoint=%s term=%" PRIu64
                    " took_ms=%" PRId64,
                    s->name, e->id, e->status_term,
                    (now - s->replace_at) / USEC_PER_MSEC);
          if (old != NULL)
            service_drop_links (old, "the primary was replaced");
          remove_record (s, s->token);
          promotion_cancel (s);
          service_serve (s, e, e->status_term, e->view.position);
        }
    }
}

void
promotion_tick (struct service *s, int64_t now)
{
  if (s->leaving)
    return;
  if (s->phase == SERVICE_TAKEOVER)
    {
      find_primary (s, now);
      return;
    }
  if (s->phase != SERVICE_HANDOFF && s->phase != SERVICE_REPLACING)
    return;
  if (!s->planned && s->primary != NULL && s->primary->failed_since == 0
      && s->step < PROMOTION_ORDER && s->target == NULL)
    {
      promotion_cancel (s);
      service_set_phase (s, SERVICE_SERVING, "the primary answers again");
      return;
    }
  switch (s->step)
    {
    case PROMOTION_SURVEY:
      survey (s, now);
      break;
    case PROMOTION_RECORD:
      if (!s->call_open && now >= s->next_status && service_is_owned (s)
          && !hand_over_record (s, now))
        write_record (s, 0);
      break;
    case PROMOTION_ORDER:
      if (!s->call_open && now >= s->next_status && service_is_owned (s)
          && fleet_confirmed_since (s->relay->fleet, s->id, s->replace_at))
        order (s);
      break;
    default:
      await (s, now);
      break;
    }
}
