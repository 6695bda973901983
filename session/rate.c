#include "session/rate.h"

#include "common/log.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Time on the network between the entry daemon, the owner and the endpoint
   that the objective must also cover. */
#define NETWORK_US (10 * USEC_PER_MSEC)
/* Part of the objective, as a divisor, in which a statement must start.  Under
   overload all that wait start at their latest time, and the rest covers the
   times of the work, which vary widely. */
#define OBJECTIVE_DIVISOR 4
/* Period of the check for places that have moved beyond the timeout, and for
   tokens that a heartbeat of another daemon has freed. */
#define CHECK_US (20 * USEC_PER_MSEC)
/* One of this many statements that wait, or are refused, is logged. */
#define LOG_SAMPLE 16
#define REFUSAL_TEXT "over the organisation's rate"

struct rate
{
  struct sessiond *sessiond;
  struct rate_schedule *schedule;
  struct pending_statement *waiting; /**< In no order. */
  struct timer *timer;               /**< NULL: none is set. */
  int64_t timer_at;
  uint64_t wait_count;
  uint64_t refusal_count;
};

struct rate *
rate_create (struct sessiond *r)
{
  if (!r->options->rate_schedule)
    return NULL;
  struct rate *rate = talloc_zero (r, struct rate);
  rate->sessiond = r;
  rate->schedule = rate_schedule_create (rate, NULL);
  return rate;
}

static void
count_waiting (const struct rate *rate)
{
  *stats_counter (rate->sessiond->stats, "azurewind_rate_waiting", "")
      = (uint64_t)rate_schedule_waiting (rate->schedule);
}

/* Remove a statement from the list of those that wait. */
static void
unlink_statement (struct rate *rate, struct pending_statement *ps)
{
  struct pending_statement **at = &rate->waiting;
  while (*at != ps)
    at = &(*at)->next;
  *at = ps->next;
  ps->next = NULL;
  count_waiting (rate);
}

/* @return whether the organisation had a token; it is taken. */
static bool
take_token (const struct rate *rate, struct pending_statement *ps, int64_t now)
{
  struct sessiond *r = rate->sessiond;
  if (!limits_spend_token (r->limits, ps->statement->organisation_id, now))
    return false;
  ps->statement->is_counted = true;
  ++*stats_counter (r->stats, "azurewind_rate_tokens_total", "");
  if (limits_report_is_due (r->limits))
    fleet_schedule_heartbeats (r->fleet);
  return true;
}

/* Refuse a statement with the place that its caller is told. */
static void
refuse (struct rate *rate, struct pending_statement *ps, int64_t place,
        int64_t now)
{
  struct stats *stats = rate->sessiond->stats;
  /* A retry time of 0 would not be told. */
  int64_t us = place > now + USEC_PER_MSEC ? place - now : USEC_PER_MSEC;
  ++*stats_counter (stats, "azurewind_rate_refused_total", "");
  histogram_add (stats_histogram (stats, "azurewind_rate_place_us", ""),
                 (uint64_t)us);
  if (rate->refusal_count++ % LOG_SAMPLE == 0)
    sessiond_log_request (
        PART,
        "event=rate_refused id=%s service=%s organisation=%s place_us=%" PRId64
        " waited_us=%" PRId64 " repeat=%d waiting=%d count=%" PRIu64,
        LOG_TEXT (ps->statement->id), ps->service->name,
        LOG_TEXT (ps->statement->organisation), us, now - ps->arrived_at,
        ps->statement->is_repeat, rate_schedule_waiting (rate->schedule),
        rate->refusal_count);
  service_refuse_with_transaction (
      ps, OUTCOME_BUSY, REFUSAL_TEXT,
      (int)((us + USEC_PER_MSEC - 1) / USEC_PER_MSEC));
}

/* Refuse a statement that waited. */
static void
refuse_waiting (struct rate *rate, struct rate_request *request, int64_t now)
{
  struct pending_statement *ps = request->data;
  struct rate_supply supply;
  limits_get_supply (rate->sessiond->limits, request->organisation, now,
                     &supply);
  unlink_statement (rate, ps);
  refuse (rate, ps,
          rate_schedule_promise (rate->schedule, request, &supply, now), now);
}

/* Run the statements of an organisation whose tokens are there, and refuse
   those that cannot get theirs in time. */
static void
run_organisation (struct rate *rate, uint64_t organisation)
{
  struct limits *limits = rate->sessiond->limits;
  struct rate_request *request;
  struct rate_supply supply;
  int64_t now = clock_now ();
  for (;;)
    {
      limits_get_supply (limits, organisation, now, &supply);
      request = rate_schedule_pop (rate->schedule, organisation, &supply, now);
      if (request == NULL)
        break;
      struct pending_statement *ps = request->data;
      if (!take_token (rate, ps, now))
        {
          refuse_waiting (rate, request, now);
          continue;
        }
      unlink_statement (rate, ps);
      service_run_admitted (ps);
    }
  while ((request = rate_schedule_pop_late (rate->schedule, organisation,
                                            &supply, now))
         != NULL)
    refuse_waiting (rate, request, now);
}

static void on_timer (void *data);

/* Set the timer for the next token that a statement waits for. */
static void
set_timer (struct rate *rate)
{
  int64_t now = clock_now (), at = now + CHECK_US;
  uint64_t organisation;
  int index = 0;
  while (
      rate_schedule_next_organisation (rate->schedule, &index, &organisation))
    {
      struct rate_supply supply;
      limits_get_supply (rate->sessiond->limits, organisation, now, &supply);
      int64_t next
          = rate_schedule_next_at (rate->schedule, organisation, &supply, now);
      at = next < at ? next : at;
    }
  if (rate_schedule_waiting (rate->schedule) == 0)
    TALLOC_FREE (rate->timer);
  else if (rate->timer == NULL || at < rate->timer_at)
    {
      talloc_free (rate->timer);
      rate->timer_at = at;
      rate->timer = sessiond_call_after (
          rate->sessiond, rate,
          at > now + USEC_PER_MSEC ? at - now : USEC_PER_MSEC, on_timer, rate);
    }
}

static void
on_timer (void *data)
{
  struct rate *rate = data;
  uint64_t organisation;
  int index = 0;
  rate->timer = NULL;
  while (
      rate_schedule_next_organisation (rate->schedule, &index, &organisation))
    run_organisation (rate, organisation);
  set_timer (rate);
}

void
rate_supply_changed (struct rate *rate)
{
  if (rate != NULL && rate->waiting != NULL)
    set_timer (rate);
}

/* @return the mean time of a statement at the service's endpoints. */
static int64_t
expected_work (const struct service *s)
{
  int64_t sum = 0, count = 0;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e->failed_since == 0 && e->replica.latency_us > 0)
      {
        sum += e->replica.latency_us;
        count++;
      }
  return count > 0 ? sum / count : 0;
}

static void
fill_request (struct pending_statement *ps, int64_t queue_us)
{
  const struct packet_statement *m = ps->statement;
  int64_t timeout = m->timeout_ms * USEC_PER_MSEC;
  int64_t latest = m->target_ms * USEC_PER_MSEC / OBJECTIVE_DIVISOR - queue_us
                   - expected_work (ps->service) - NETWORK_US;
  if (latest > timeout / 2)
    latest = timeout / 2;
  ps->rate = (struct rate_request){
    .organisation = m->organisation_id,
    .is_repeat = m->is_repeat,
    .priority = m->priority,
    .latest_start = ps->arrived_at + (latest > 0 ? latest : 0),
    .expires_at = ps->arrived_at + timeout / 2,
    .returns_until = ps->arrived_at + timeout,
    .data = ps,
  };
}

/* Admit a statement by the schedule.
   @return as rate_admit. */
static bool
admit_by_schedule (struct rate *rate, struct pending_statement *ps,
                   int64_t queue_us)
{
  struct sessiond *r = rate->sessiond;
  uint64_t organisation = ps->statement->organisation_id;
  int64_t now = ps->arrived_at, place;
  struct rate_supply supply;
  struct rate_request *displaced;
  limits_count_request (r->limits, organisation, now);
  if (limits_report_is_due (r->limits))
    fleet_schedule_heartbeats (r->fleet);
  limits_get_supply (r->limits, organisation, now, &supply);
  fill_request (ps, queue_us);
  enum rate_verdict verdict = rate_schedule_add (
      rate->schedule, &ps->rate, &supply, now, &place, &displaced);
  if (displaced != NULL)
    refuse_waiting (rate, displaced, now);
  if (verdict == RATE_RUN && take_token (rate, ps, now))
    return true;
  if (verdict != RATE_WAIT)
    {
      refuse (rate, ps, place, now);
      return false;
    }
  ps->next = rate->waiting;
  rate->waiting = ps;
  count_waiting (rate);
  ++*stats_counter (r->stats, "azurewind_rate_waits_total", "");
  if (rate->wait_count++ % LOG_SAMPLE == 0)
    sessiond_log_request (
        PART,
        "event=rate_wait id=%s service=%s organisation=%s place_us=%" PRId64
        " repeat=%d waiting=%d count=%" PRIu64,
        LOG_TEXT (ps->statement->id), ps->service->name,
        LOG_TEXT (ps->statement->organisation), place - now,
        ps->statement->is_repeat, rate_schedule_waiting (rate->schedule),
        rate->wait_count);
  set_timer (rate);
  return false;
}

bool
rate_admit (struct pending_statement *ps, int64_t queue_us)
{
  struct sessiond *r = ps->service->sessiond;
  int retry_ms = 0;
  if (ps->statement->organisation_id == 0 || ps->statement->is_counted)
    return true;
  if (r->rate != NULL)
    return admit_by_schedule (r->rate, ps, queue_us);
  if (!limits_take_token (r->limits, ps->statement->organisation_id,
                          ps->arrived_at, &retry_ms))
    {
      service_refuse_with_transaction (ps, OUTCOME_BUSY, REFUSAL_TEXT,
                                       retry_ms);
      return false;
    }
  if (limits_report_is_due (r->limits))
    fleet_schedule_heartbeats (r->fleet);
  return true;
}

struct pending_statement *
rate_take_waiting (struct service *s)
{
  struct rate *rate = s->sessiond->rate;
  struct pending_statement *ps = rate != NULL ? rate->waiting : NULL;
  while (ps != NULL && ps->service != s)
    ps = ps->next;
  if (ps != NULL)
    {
      rate_schedule_remove (rate->schedule, &ps->rate);
      unlink_statement (rate, ps);
    }
  return ps;
}

bool
rate_drop_begin (const struct transaction *t)
{
  struct rate *rate = t->service->sessiond->rate;
  struct pending_statement *ps = rate != NULL ? rate->waiting : NULL;
  while (ps != NULL && ps->transaction != t)
    ps = ps->next;
  if (ps == NULL)
    return false;
  rate_schedule_remove (rate->schedule, &ps->rate);
  unlink_statement (rate, ps);
  talloc_free (ps);
  return true;
}

int
rate_waiting_count (const struct service *s)
{
  const struct rate *rate = s->sessiond->rate;
  int count = 0;
  for (const struct pending_statement *ps
       = rate != NULL ? rate->waiting : NULL;
       ps != NULL; ps = ps->next)
    count += ps->service == s;
  return count;
}
