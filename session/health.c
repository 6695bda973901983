/* Timeouts of statements and transactions, and the health of endpoints. */
#include "common/log.h"
#include "session/evacuation.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* A suspect endpoint that has not answered for this time fails: it gets no
   more statements.  Also the time limit of a probe. */
#define PROBE_TIMEOUT_US (350 * USEC_PER_MSEC)
/* The same while a promotion needs the answer of a slow replica. */
#define SLOW_PROBE_TIMEOUT_US (2500 * USEC_PER_MSEC)
/* This many refused connections in a row show that the endpoint's process is
   gone. */
#define MAX_REFUSALS 2
/* An answer that nobody waits for is lost after this time.  The connection is
   closed, which rolls back too. */
#define UNUSED_TIMEOUT_US (1 * USEC_PER_SEC)
/* Pause between probes of a failed endpoint. */
#define PROBE_PERIOD_US (400 * USEC_PER_MSEC)
/* An endpoint whose entry is missing for this time is removed.  Entries return
   sooner than this after an outage of the store. */
#define MISSING_TIMEOUT_US (2500 * USEC_PER_MSEC)

/* Refuse queued statements after three quarters of their timeout. */
static void
expire_queue (struct service *s, int64_t now)
{
  struct pending_statement **at = &s->queue;
  while (*at != NULL)
    {
      struct pending_statement *ps = *at;
      if (now - ps->arrived_at
          <= ps->statement->timeout_ms * USEC_PER_MSEC * 3 / 4)
        {
          at = &ps->next;
          continue;
        }
      *at = ps->next;
      service_refuse_with_transaction (ps, OUTCOME_BUSY,
                                       "no endpoint was free in time",
                                       evacuation_retry_ms (s, now));
      /* Refusing may change the queue. */
      at = &s->queue;
    }
}

/* End a statement that waits too long for its answer.
   @return whether it was ended; other connections may be closed then. */
static bool
expire_statement (struct pooled_link *p, struct pending_statement *ps,
                  int64_t now)
{
  struct link_loss loss
      = { .was_connected = true, .reason = "the answer is missing" };
  bool too_late
      = now - ps->arrived_at > ps->statement->timeout_ms * USEC_PER_MSEC;
  bool is_lost = ps->transaction == NULL && ps->statement->is_read
                 && hedge_answer_is_lost (p, now);
  if (!too_late && !is_lost)
    return false;
  struct transaction *t = p->transaction;
  bool continues = hedge_leave_link (ps, p);
  if (is_lost)
    hedge_report_loss (p, now);
  p->pending = NULL;
  p->transaction = NULL;
  pool_close (p);
  if (too_late && t == NULL)
    {
      if (!continues)
        ps->pooled_link = NULL;
      service_refuse (ps, OUTCOME_TIMEOUT, loss.reason, 0);
    }
  else if (!continues)
    service_fail_statement (ps, &loss);
  return true;
}

static void
mark_suspect (struct endpoint *e, int64_t now, const char *reason)
{
  if (e->suspect_since != 0)
    return;
  e->suspect_since = now;
  log_warn (PART,
            "event=endpoint_suspect service=%s endpoint=%s primary=%d "
            "reason=\"%s\"",
            e->service->name, e->id, e == e->service->primary, reason);
}

/* Ask the peers whether they reach an endpoint. */
static void
ask_peers_to_probe (struct endpoint *e)
{
  const struct config *config = e->service->sessiond->config;
  struct packet m = { .kind = PACKET_PROBE };
  if (config == NULL || config->organisation_count == 0)
    return;
  m.probe.service = bstr_from (e->service->name);
  m.probe.endpoint = bstr_from (e->id);
  m.probe.address = bstr_from (e->address);
  m.probe.organisation = config->organisations[0].name;
  fleet_broadcast (e->service->sessiond->fleet, &m);
}

/* @return whether an answer that nobody waits for is overdue, as that of
   ROLLBACK: the connection would never be free again. */
static bool
has_lost_answer (const struct pooled_link *p, int64_t now)
{
  return p->pending == NULL && p->transaction == NULL && !p->is_probe
         && !link_is_idle (p->link) && now - p->last_used > UNUSED_TIMEOUT_US;
}

static int64_t
probe_timeout (const struct endpoint *e)
{
  return promotion_awaits_answer (e->service, e) ? SLOW_PROBE_TIMEOUT_US
                                                 : PROBE_TIMEOUT_US;
}

/* Find overdue answers, and close probes that got none. */
static void
check_links (struct endpoint *e, int64_t now)
{
  struct pooled_link *next;
  for (struct pooled_link *p = e->links; p != NULL; p = next)
    {
      struct pending_statement *ps = p->pending;
      next = p->next;
      if (ps != NULL && p->sent_at > e->answered_at
          && now - p->sent_at > replicas_silence_limit (&e->replica))
        mark_suspect (e, now, "no answer");
      if (p->is_probe && now - p->opened_at > probe_timeout (e))
        pool_close (p);
      else if (has_lost_answer (p, now))
        {
          sessiond_log_request (
              PART, "event=unused_link_lost service=%s endpoint=%s",
              e->service->name, e->id);
          pool_close (p);
        }
      else if (p->is_unwanted && hedge_answer_is_lost (p, now))
        {
          hedge_report_loss (p, now);
          pool_close (p);
        }
      else if (ps != NULL && expire_statement (p, ps, now))
        return;
      else if (ps != NULL)
        {
          hedge_check (p, now);
          next = p->next;
        }
    }
}

/* Probe a suspect or failed endpoint, and mark a suspect one as failed. */
static void
check_endpoint (struct endpoint *e, int64_t now)
{
  check_links (e, now);
  /* No promotion needs to know whether a replica answers that it cannot
     choose.  After the evacuation it is judged by its next answers. */
  if (e != e->service->primary && evacuation_use_of (e) != EVACUATION_ALL)
    {
      e->suspect_since = 0;
      e->refusals = 0;
      return;
    }
  if (e->failed_since != 0)
    {
      if (!e->is_probing && now >= e->next_probe_at && e->is_listed)
        {
          e->next_probe_at = now + PROBE_PERIOD_US;
          pool_probe (e, false);
        }
      return;
    }
  if (e->suspect_since == 0)
    return;
  if (e->refusals >= MAX_REFUSALS)
    service_endpoint_failed (e, "connections are refused");
  else if (now - e->suspect_since > PROBE_TIMEOUT_US)
    service_endpoint_failed (e, "silent");
  else if (!e->is_probing)
    {
      pool_probe (e, false);
      if (e == e->service->primary && !e->has_asked_peers)
        {
          e->has_asked_peers = true;
          ask_peers_to_probe (e);
        }
    }
}

/* Replace a primary that drains or does not answer.  If a peer reaches it
   while this daemon does not, release the service to that peer instead. */
static void
check_primary (struct service *s, int64_t now)
{
  struct endpoint *e = s->primary;
  if (s->phase != SERVICE_SERVING || s->releasing || e == NULL)
    return;
  if (e->failed_since != 0 && e->reached_by != 0 && e->refusals < MAX_REFUSALS
      && fleet_live_incarnation (s->sessiond->fleet, e->reached_by) != 0)
    {
      log_warn (PART,
                "event=handover service=%s endpoint=%s reason=\"only "
                "other daemons reach the primary\"",
                s->name, e->id);
      fleet_release (s->sessiond->fleet, s->id, e->reached_by);
      service_stop (s, "the primary cannot be reached from here");
    }
  else if (e->failed_since != 0)
    promotion_start (s, false, "the primary does not answer");
  else if (e->draining)
    promotion_start (s, true, "the primary is draining");
  else if (evacuation_moves_primary (s, now))
    promotion_start (s, true, "the failure domain is evacuated");
}

/* Remove endpoints whose entries have been missing for too long. */
static void
remove_missing (struct service *s, int64_t now)
{
  struct endpoint **at = &s->endpoints;
  while (*at != NULL)
    {
      struct endpoint *e = *at;
      if (e->missing_since == 0 || now - e->missing_since < MISSING_TIMEOUT_US)
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
      capacity_stop (e);
      talloc_free (e);
    }
}

/* End transactions whose callers have been idle for too long. */
static void
expire_transactions (struct service *s, int64_t now)
{
  struct transaction *next;
  for (struct transaction *t = s->transactions; t != NULL; t = next)
    {
      next = t->next;
      if (t->pooled_link != NULL && t->pooled_link->pending == NULL
          && now - t->last_used > t->idle_ms * USEC_PER_MSEC)
        {
          sessiond_log_request (
              PART, "event=transaction_idle service=%s session=%" PRIu64,
              s->name, t->session);
          service_abort_transaction (t);
        }
    }
}

void
service_tick (struct service *s, int64_t now)
{
  if (s->phase == SERVICE_NOT_OWNED)
    return;
  /* The history of a reader grows by the owner's reports only. */
  if (!s->reads_only)
    commit_history_sample (&s->commit_history, now);
  expire_queue (s, now);
  expire_transactions (s, now);
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    check_endpoint (e, now);
  remove_missing (s, now);
  evacuation_tick (s, now);
  if (s->reads_only)
    return;
  check_primary (s, now);
  promotion_tick (s, now);
  service_dispatch (s);
}
