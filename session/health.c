#include "common/log.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Silence of an endpoint that calls for a probe. */
#define SUSPECT_US (220 * USEC_PER_MSEC)
/* And in multiples of its usual time, for slow ones. */
#define SUSPECT_LATENCIES 8
/* A suspect that has answered nothing for this time gets no work. */
#define PROBE_LIMIT_US (350 * USEC_PER_MSEC)
/* Connections refused in a row that show that the process is gone. */
#define REFUSALS_MAX 2
/* Pause between probes of an endpoint that gets no work. */
#define PROBE_PERIOD_US (400 * USEC_PER_MSEC)
/* Entries come back this soon after an outage of the store; an endpoint
   that is not listed again by then is gone. */
#define MISSING_US (2500 * USEC_PER_MSEC)

static int64_t
silence_limit (const struct endpoint *e)
{
  int64_t limit = e->view.latency_us * SUSPECT_LATENCIES;
  return limit > SUSPECT_US ? limit : SUSPECT_US;
}

static void
expire_queue (struct service *s, int64_t now)
{
  struct work **at = &s->queue;
  while (*at != NULL)
    {
      struct work *w = *at;
      if (now - w->arrived <= w->s->timeout_ms * USEC_PER_MSEC * 3 / 4)
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      service_refuse_start (w, OUTCOME_BUSY, "no endpoint was free in time",
                            0);
      /* Refusing may change the queue. */
      at = &s->queue;
    }
}

/* @return whether it was ended; other links may be gone then. */
static bool
expire_statement (struct pooled *p, struct work *w, int64_t now)
{
  struct endpoint *e = p->endpoint;
  struct link_loss loss = { OUTCOME_OK, true, "the answer is missing" };
  bool too_late = now - w->arrived > w->s->timeout_ms * USEC_PER_MSEC;
  /* The endpoint answers others: this answer was lost. */
  bool is_lost = w->transaction == NULL && w->s->is_read
                 && now - w->sent_at > silence_limit (e)
                 && e->answered_at > w->sent_at;
  if (!too_late && !is_lost)
    return false;
  struct transaction *t = p->transaction;
  p->work = NULL;
  p->transaction = NULL;
  pool_close (p);
  if (too_late && t == NULL)
    {
      w->pooled = NULL;
      service_refuse (w, OUTCOME_TIMEOUT, loss.reason, 0);
    }
  else
    service_lose_work (w, &loss);
  return true;
}

static void
suspect (struct endpoint *e, int64_t now, const char *reason)
{
  if (e->suspect_since != 0)
    return;
  e->suspect_since = now;
  log_warn (PART,
            "event=endpoint_suspect service=%s endpoint=%s primary=%d "
            "reason=\"%s\"",
            e->service->name, e->id, e == e->service->primary, reason);
}

static void
ask_others (struct endpoint *e)
{
  const struct config *config = e->service->relay->config;
  struct packet m = { .kind = PACKET_PROBE };
  if (config == NULL || config->organisation_count == 0)
    return;
  m.probe.service = bstr_from (e->service->name);
  m.probe.endpoint = bstr_from (e->id);
  m.probe.address = bstr_from (e->address);
  m.probe.organisation = config->organisations[0].name;
  fleet_broadcast (e->service->relay->fleet, &m);
}

static void
watch_links (struct endpoint *e, int64_t now)
{
  struct pooled *next;
  for (struct pooled *p = e->links; p != NULL; p = next)
    {
      struct work *w = p->work;
      next = p->next;
      if (w != NULL && w->sent_at > e->answered_at
          && now - w->sent_at > silence_limit (e))
        suspect (e, now, "no answer");
      if (p->is_probe && now - p->opened_at > PROBE_LIMIT_US)
        pool_close (p);
      else if (w != NULL && expire_statement (p, w, now))
        return;
    }
}

static void
watch_endpoint (struct endpoint *e, int64_t now)
{
  watch_links (e, now);
  if (e->failed_since != 0)
    {
      if (!e->probing && now >= e->next_probe && e->listed)
        {
          e->next_probe = now + PROBE_PERIOD_US;
          pool_probe (e, false);
        }
      return;
    }
  if (e->suspect_since == 0)
    return;
  if (e->refusals >= REFUSALS_MAX)
    service_endpoint_failed (e, "connections are refused");
  else if (now - e->suspect_since > PROBE_LIMIT_US)
    service_endpoint_failed (e, "silent");
  else if (!e->probing)
    {
      pool_probe (e, false);
      if (e == e->service->primary && !e->asked_others)
        {
          e->asked_others = true;
          ask_others (e);
        }
    }
}

/* The primary does not answer: another daemon may reach it, else a replica
   takes over. */
static void
watch_primary (struct service *s)
{
  struct endpoint *e = s->primary;
  if (s->phase != SERVICE_SERVING || s->leaving || e == NULL)
    return;
  if (e->failed_since != 0 && e->reached_by != 0 && e->refusals < REFUSALS_MAX
      && fleet_live_incarnation (s->relay->fleet, e->reached_by) != 0)
    {
      log_warn (PART,
                "event=handover service=%s endpoint=%s reason=\"only "
                "other daemons reach the primary\"",
                s->name, e->id);
      fleet_release (s->relay->fleet, s->id, e->reached_by);
      service_stop (s, "the primary cannot be reached from here");
    }
  else if (e->failed_since != 0)
    promotion_start (s, false, "the primary does not answer");
  else if (e->draining)
    promotion_start (s, true, "the primary is draining");
}

static void
remove_missing (struct service *s, int64_t now)
{
  struct endpoint **at = &s->endpoints;
  while (*at != NULL)
    {
      struct endpoint *e = *at;
      if (e->missing_since == 0 || now - e->missing_since < MISSING_US)
        {
          at = &e->next;
          continue;
        }
      log_info (PART, "event=endpoint_gone service=%s endpoint=%s", s->name,
                e->id);
      service_drop_links (e, "the endpoint is gone");
      if (s->target == e)
        s->target = NULL;
      if (s->primary == e)
        {
          s->primary = NULL;
          if (s->phase == SERVICE_SERVING)
            service_set_phase (s, SERVICE_TAKEOVER, "the primary is gone");
        }
      *at = e->next;
      talloc_free (e);
    }
}

static void
expire_transactions (struct service *s, int64_t now)
{
  struct transaction *next;
  for (struct transaction *t = s->transactions; t != NULL; t = next)
    {
      next = t->next;
      if (t->pooled != NULL && t->pooled->work == NULL
          && now - t->last_used > t->idle_ms * USEC_PER_MSEC)
        {
          relay_trace (PART,
                       "event=transaction_idle service=%s session=%" PRIu64,
                       s->name, t->session);
          service_lose_transaction (t);
        }
    }
}

void
service_tick (struct service *s, int64_t now)
{
  if (s->phase == SERVICE_FOREIGN)
    return;
  commit_history_sample (&s->commit_history, now);
  expire_queue (s, now);
  expire_transactions (s, now);
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    watch_endpoint (e, now);
  remove_missing (s, now);
  watch_primary (s);
  promotion_tick (s, now);
  service_dispatch (s);
}
