/* Reads whose answers are overdue or lost. */
#include "common/log.h"
#include "platform/wire.h"
#include "session/service.h"

#include <inttypes.h>

static struct hedging_read
describe_read (const struct pooled_link *p)
{
  const struct endpoint *e = p->endpoint;
  return (struct hedging_read){
    .view = &e->replica,
    .sent_at = p->sent_at,
    .high_us = latency_high (e->latency, p->kind),
    .answered_at = e->answered_at,
    .answered_sent_at = e->answered_sent_at,
  };
}

void
hedge_count_send (struct pending_statement *ps, const struct pooled_link *p)
{
  const char *label = p->is_second       ? "send=\"second\""
                      : ps->attempts > 0 ? "send=\"repeated\""
                                         : "send=\"first\"";
  ++*stats_counter (ps->service->sessiond->stats,
                    "azurewind_statement_sends_total", label);
  if (ps->attempts == 0)
    hedging_count_statement (ps->service->hedging);
}

/* @return whether the statement may be sent a second time while the first send
   is not answered. */
static bool
may_hedge (const struct pending_statement *ps)
{
  return ps->statement->is_read && ps->transaction == NULL && !ps->was_hedged;
}

bool
hedge_check (struct pooled_link *p, int64_t now)
{
  struct pending_statement *ps = p->pending;
  struct service *s = ps->service;
  struct hedging_read read = describe_read (p);
  if (!may_hedge (ps) || !hedging_is_due (s->hedging, &read, now))
    return false;
  const struct pooled_link *second = service_send_second (ps, now);
  if (second == NULL)
    return false;
  hedging_spend (s->hedging);
  sessiond_log_request (PART,
                        "event=hedged id=%s service=%s endpoint=%s second=%s"
                        " waited_us=%" PRId64 " high_us=%" PRId64,
                        LOG_TEXT (ps->statement->id), s->name, p->endpoint->id,
                        second->endpoint->id, now - p->sent_at, read.high_us);
  return true;
}

bool
hedge_answer_is_lost (const struct pooled_link *p, int64_t now)
{
  struct hedging_read read = describe_read (p);
  return hedging_is_lost (p->endpoint->service->hedging, &read, now);
}

void
hedge_report_loss (const struct pooled_link *p, int64_t now)
{
  const struct service *s = p->endpoint->service;
  ++*stats_counter (s->sessiond->stats, "azurewind_lost_answers_total", "");
  sessiond_log_request (
      PART,
      "event=answer_lost service=%s endpoint=%s waited_us=%" PRId64
      " high_us=%" PRId64 " wanted=%d",
      s->name, p->endpoint->id, now - p->sent_at,
      latency_high (p->endpoint->latency, p->kind), !p->is_unwanted);
}

/* @return whether the answer says that the statement did not run at this
   endpoint. */
static bool
did_not_run (enum outcome outcome)
{
  return outcome_is_refusal (outcome) || outcome == OUTCOME_NOT_PREPARED;
}

bool
hedge_take_answer (struct pooled_link *p, const struct link_answer *answer)
{
  struct pending_statement *ps = p->pending;
  struct pooled_link *other
      = ps->pooled_link == p ? ps->second_link : ps->pooled_link;
  const char *send = p->is_second ? "second" : "first";
  if (ps->second_link == NULL)
    return true;
  sessiond_log_request (
      PART,
      "event=hedge_answered id=%s service=%s endpoint=%s"
      " send=%s outcome=%s waited_us=%" PRId64,
      LOG_TEXT (ps->statement->id), ps->service->name, p->endpoint->id, send,
      wire_outcome_name (answer->outcome), clock_now () - p->sent_at);
  if (did_not_run (answer->outcome))
    {
      hedge_leave_link (ps, p);
      return false;
    }
  hedge_leave_link (ps, other);
  other->is_unwanted = true;
  ++*stats_counter (ps->service->sessiond->stats,
                    "azurewind_hedged_answers_total",
                    p->is_second ? "send=\"second\"" : "send=\"first\"");
  return true;
}

bool
hedge_leave_link (struct pending_statement *ps, struct pooled_link *p)
{
  if (ps->second_link == NULL)
    return false;
  if (ps->pooled_link == p)
    {
      ps->pooled_link = ps->second_link;
      ps->sent_at = ps->pooled_link->sent_at;
    }
  ps->second_link = NULL;
  p->pending = NULL;
  return true;
}
