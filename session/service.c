#include "session/service.h"

#include "common/log.h"
#include "platform/wire.h"
#include "session/commit_query.h"
#include "session/fleet.h"

#include <inttypes.h>

/* A bounded read is held to data this much newer than its bound, for the
   time that the statement and its answer are on their way. */
#define STALE_MARGIN_US (250 * USEC_PER_MSEC)
/* The lease must last at least this long when a statement is sent. */
#define LEASE_MARGIN_US (30 * USEC_PER_MSEC)
/* For a statement that is on its way, and its time in a queue there. */
#define DRAIN_MARGIN_US (1500 * USEC_PER_MSEC)
/* How often a statement that did not run is tried again here. */
#define MAX_ATTEMPTS 8
/* Pause before a connection is tried again at an endpoint without free
   ones. */
#define NO_CONNECTION_PAUSE_US (50 * USEC_PER_MSEC)

static struct bstr
empty (void)
{
  return (struct bstr){ "", 0 };
}

bool
service_is_owned (const struct service *s)
{
  return fleet_owns_until (s->relay->fleet, s->id)
         > clock_now () + LEASE_MARGIN_US;
}

void
service_set_phase (struct service *s, enum service_phase phase,
                   const char *reason)
{
  static const char *const names[]
      = { "foreign", "takeover", "serving", "handoff", "replacing" };
  if (s->phase == phase)
    return;
  log_info (PART,
            "event=phase service=%s from=%s to=%s term=%" PRIu64
            " primary=%s reason=\"%s\"",
            s->name, names[s->phase], names[phase], s->term,
            s->primary != NULL ? s->primary->id : "none", reason);
  s->phase = phase;
  s->phase_since = clock_now ();
  if (phase == SERVICE_SERVING)
    fleet_set_primary_state (s->relay->fleet, s->id, LEASE_STABLE);
  else if (phase == SERVICE_HANDOFF || phase == SERVICE_REPLACING)
    fleet_set_primary_state (s->relay->fleet, s->id, LEASE_CHANGING);
}

/* Results. */

static void
send_result (struct service *s, const struct packet *to,
             struct packet_result *result)
{
  struct packet m = { .kind = PACKET_RESULT };
  result->session = to->statement.session;
  result->sequence = to->statement.sequence;
  if (result->text.start == NULL)
    result->text = empty ();
  if (result->signature.start == NULL)
    result->signature = empty ();
  m.result = *result;
  fleet_send (s->relay->fleet, to->sender.member, &m);
}

void
service_give (struct work *w, struct packet_result *result)
{
  struct service *s = w->service;
  int64_t now = clock_now ();
  if (result->outcome != OUTCOME_OK || result->moved)
    relay_trace (PART,
                 "event=result id=%.*s service=%s organisation=%.*s"
                 " outcome=%s moved=%d"
                 " waited_us=%" PRId64 " sent=%d attempts=%d retry_ms=%d"
                 " reason=\"%.*s\"",
                 BSTR_ARG (w->s->id), s->name, BSTR_ARG (w->s->organisation),
                 wire_outcome_name (result->outcome), result->moved,
                 now - w->arrived, w->sent_at != 0, w->attempts,
                 result->retry_ms, BSTR_ARG (result->text));
  send_result (s, w->message, result);
  if (w->pooled != NULL)
    w->pooled->work = NULL;
  talloc_free (w);
}

void
service_refuse (struct work *w, enum outcome outcome, const char *reason,
                int retry_ms)
{
  struct packet_result r = { .outcome = outcome,
                             .text = bstr_from (reason),
                             .retry_ms = retry_ms };
  service_give (w, &r);
}

/* Transactions. */

struct transaction *
service_find_transaction (struct service *s, const struct packet *m,
                          uint64_t session)
{
  struct transaction *t = s->transactions;
  while (t != NULL
         && (t->member != m->sender.member
             || t->incarnation != m->sender.incarnation
             || t->session != session))
    t = t->next;
  return t;
}

static void
free_transaction (struct transaction *t)
{
  struct transaction **at = &t->service->transactions;
  while (*at != t)
    at = &(*at)->next;
  *at = t->next;
  if (t->pooled != NULL)
    t->pooled->transaction = NULL;
  if (t->waiting != NULL)
    service_refuse (t->waiting, OUTCOME_ABORTED,
                    "the transaction was not opened", 0);
  talloc_free (t);
}

/* BEGIN is still in the queue, or at an endpoint. */
static void
forget_begin (struct transaction *t)
{
  struct service *s = t->service;
  for (struct work **at = &s->queue; *at != NULL; at = &(*at)->next)
    if ((*at)->transaction == t)
      {
        struct work *w = *at;
        *at = w->next;
        talloc_free (w);
        return;
      }
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    for (struct pooled *p = e->links; p != NULL; p = p->next)
      if (p->transaction == t)
        {
          TALLOC_FREE (p->work);
          p->transaction = NULL;
          pool_close (p);
          return;
        }
}

/* End a transaction that cannot go on, whatever it waits for; its link is
   rolled back if it still works. */
void
service_lose_transaction (struct transaction *t)
{
  struct pooled *p = t->pooled;
  if (p == NULL)
    forget_begin (t);
  free_transaction (t);
  if (p == NULL)
    return;
  TALLOC_FREE (p->work);
  if (!link_is_idle (p->link))
    pool_close (p);
  else
    link_rollback (p->link);
}

static struct transaction *
create_transaction (struct work *w)
{
  struct service *s = w->service;
  struct transaction *t = talloc_zero (s, struct transaction);
  t->service = s;
  t->member = w->message->sender.member;
  t->incarnation = w->message->sender.incarnation;
  t->session = w->s->session;
  t->reads_only = w->s->is_read;
  t->idle_ms = w->s->idle_transaction_ms;
  t->last_used = clock_now ();
  t->next = s->transactions;
  s->transactions = t;
  return t;
}

static void
take_values (struct transaction *t, const struct packet_statement *s)
{
  if (!s->has_values)
    return;
  TALLOC_FREE (t->values);
  t->value_count = s->value_count;
  t->values
      = talloc_array (t, struct session_value, (size_t)s->value_count + 1);
  for (int i = 0; i < s->value_count; i++)
    {
      t->values[i].name = bstr_copy (t->values, s->values[i].name);
      t->values[i].value = bstr_copy (t->values, s->values[i].value);
    }
}

/* Sending. */

static struct position
own_position (const struct service *s, struct position own)
{
  /* What an older term held beyond the branch was rolled back. */
  if (own.term != 0 && own.term < s->term)
    return s->branch;
  return own;
}

static struct position
required_position (const struct service *s, const struct packet_statement *m,
                   int64_t now)
{
  if (m->kind == ROUTE_PRIMARY || m->stale_ms == 0)
    return s->commit_history.newest;
  struct position bound = commit_history_at (
      &s->commit_history, now - m->stale_ms * USEC_PER_MSEC + STALE_MARGIN_US);
  if (m->kind == ROUTE_BOUNDED)
    return bound;
  return position_max (bound, own_position (s, m->own));
}

static void
run_on (struct work *w, struct pooled *p, struct position after)
{
  const struct packet_statement *m = w->s;
  struct transaction *t = w->transaction;
  struct link_request request = {
    .verb = m->verb,
    .reads_only = m->is_read,
    .in_transaction = t != NULL && t->pooled != NULL,
    .id = m->id,
    .text = m->text,
    .shape = m->shape,
    .arguments = m->arguments,
    .after = after,
    .values = t != NULL ? t->values : m->values,
    .value_count = t != NULL ? t->value_count : m->value_count,
  };
  w->pooled = p;
  w->sent_at = clock_now ();
  w->attempts++;
  p->work = w;
  p->last_used = w->sent_at;
  p->counts = true;
  p->endpoint->view.running++;
  link_run (p->link, &request);
}

static bool
needs_primary (const struct work *w)
{
  return !w->s->is_read;
}

/* An endpoint that leaves gets no work some time before it may be gone; also
   a primary that could not be replaced. */
static bool
has_left (const struct endpoint *e, int64_t now)
{
  int64_t limit
      = e->service->relay->options->drain_ms * USEC_PER_MSEC - DRAIN_MARGIN_US;
  return e->draining && now - e->draining_since > limit;
}

static struct endpoint *
choose_endpoint (struct service *s, struct work *w, struct position required,
                 int64_t now)
{
  struct replica_view views[SERVICE_MAX_ENDPOINTS];
  struct endpoint *endpoints[SERVICE_MAX_ENDPOINTS] = { NULL };
  int count = 0, index = 0;
  if (needs_primary (w))
    {
      struct endpoint *e = s->primary;
      return s->phase == SERVICE_SERVING && e != NULL && e->failed_since == 0
                     && e->refusals == 0 && !has_left (e, now)
                     && e->view.running < replicas_max_statements (&e->view)
                 ? e
                 : NULL;
    }
  for (struct endpoint *e = s->endpoints;
       e != NULL && count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      endpoints[count] = e;
      views[count] = e->view;
      views[count].is_primary = e == s->primary;
      /* An old primary that is being replaced still has all commits. */
      views[count].usable
          = e->listed && !e->wrong && e->failed_since == 0 && e->refusals == 0
            && (!e->draining
                || (e == s->primary && !w->transaction && !has_left (e, now)));
      count++;
    }
  /* What was acknowledged before is not known yet. */
  if (s->commit_history.newest.term == 0)
    return NULL;
  if (replicas_choose_for_read (views, count, required,
                                w->s->kind == ROUTE_PRIMARY, now, &index)
      != REPLICAS_FOUND)
    return NULL;
  return endpoints[index];
}

/* @return whether the statement was sent. */
static bool
try_work (struct service *s, struct work *w)
{
  int64_t now = clock_now ();
  struct position required = required_position (s, w->s, now);
  struct endpoint *e = choose_endpoint (s, w, required, now);
  if (e == NULL)
    return false;
  struct pooled *p
      = pool_acquire (e, w->s->organisation, w->s->values, w->s->value_count);
  if (p == NULL)
    return false;
  if (w->transaction != NULL)
    p->transaction = w->transaction;
  run_on (w, p,
          needs_primary (w) && w->s->verb != VERB_BEGIN
              ? (struct position){ 0, 0 }
              : required);
  return true;
}

void
service_dispatch (struct service *s)
{
  if (s->dispatching || s->phase < SERVICE_SERVING || !service_is_owned (s))
    return;
  s->dispatching = true;
  struct work **at = &s->queue;
  while (*at != NULL)
    {
      struct work *w = *at;
      if (try_work (s, w))
        *at = w->next;
      else
        at = &w->next;
    }
  s->dispatching = false;
}

/* Into the queue: by priority, then by arrival. */
static void
enqueue (struct work *w)
{
  struct work **at = &w->service->queue;
  while (*at != NULL
         && ((*at)->s->priority < w->s->priority
             || ((*at)->s->priority == w->s->priority
                 && (*at)->arrived <= w->arrived)))
    at = &(*at)->next;
  w->next = *at;
  *at = w;
  w->sent_at = 0;
  w->pooled = NULL;
}

void
service_refuse_start (struct work *w, enum outcome outcome, const char *reason,
                      int retry_ms)
{
  struct transaction *t = w->transaction;
  service_refuse (w, outcome, reason, retry_ms);
  if (t != NULL)
    free_transaction (t);
}

/* A statement did not run; try it again or give up truly. */
static void
repeat (struct work *w, enum outcome outcome, const char *reason)
{
  struct service *s = w->service;
  int64_t waited = clock_now () - w->arrived;
  if (w->pooled != NULL)
    w->pooled->work = NULL;
  w->pooled = NULL;
  if (w->transaction != NULL)
    w->transaction->pooled = NULL;
  if (w->attempts >= MAX_ATTEMPTS
      || waited > w->s->timeout_ms * USEC_PER_MSEC * 3 / 4)
    service_refuse_start (w, outcome, reason, 0);
  else
    {
      enqueue (w);
      service_dispatch (s);
    }
}

/* Answers. */

static void
stop_counting (struct pooled *p)
{
  if (p->counts)
    p->endpoint->view.running--;
  p->counts = false;
}

static void
heard (struct endpoint *e, struct position position)
{
  e->answered_at = clock_now ();
  e->suspect_since = 0;
  e->refusals = 0;
  e->reached_by = 0;
  e->asked_others = false;
  if (position.term != 0)
    e->view.position = position;
  if (e->failed_since != 0)
    {
      log_info (PART,
                "event=endpoint_regained service=%s endpoint=%s "
                "silent_ms=%" PRId64,
                e->service->name, e->id,
                (e->answered_at - e->failed_since) / USEC_PER_MSEC);
      e->failed_since = 0;
    }
}

static bool
is_write (const struct work *w)
{
  if (w->s->verb == VERB_COMMIT)
    return w->transaction != NULL && w->transaction->has_written;
  return !w->s->is_read && w->s->verb != VERB_BEGIN
         && w->s->verb != VERB_ROLLBACK;
}

static void
give_result (struct work *w, const struct link_answer *answer)
{
  struct service *s = w->service;
  struct packet_result r = {
    .outcome = answer->outcome,
    .text = answer->text,
    .rows = answer->rows,
    .row_count = answer->row_count,
    .signature = answer->signature,
    .position = answer->position,
  };
  bool commits = is_write (w) && w->s->verb != VERB_BEGIN
                 && (w->s->verb == VERB_COMMIT || w->transaction == NULL);
  if (commits && r.outcome == OUTCOME_OK)
    {
      /* Another owner may have replaced the primary meanwhile. */
      if (service_is_owned (s))
        commit_history_record (&s->commit_history, answer->position,
                               clock_now ());
      else if (s->leaving)
        {
          former_ask (s->relay->former, w, &r);
          return;
        }
      else
        {
          r.outcome = OUTCOME_UNKNOWN;
          r.text = bstr_from ("ownership was lost before the answer");
          r.row_count = 0;
        }
    }
  service_give (w, &r);
}

static void
run_waiting (struct transaction *t)
{
  struct work *w = t->waiting;
  t->waiting = NULL;
  if (w != NULL)
    run_on (w, t->pooled, (struct position){ 0, 0 });
}

static void
transaction_answer (struct pooled *p, struct work *w,
                    const struct link_answer *answer)
{
  struct transaction *t = w->transaction;
  bool ends = w->s->verb == VERB_COMMIT || w->s->verb == VERB_ROLLBACK;
  bool ok = answer->outcome == OUTCOME_OK;
  t->last_used = clock_now ();
  if (w->s->verb == VERB_BEGIN && ok)
    {
      t->pooled = p;
      give_result (w, answer);
      run_waiting (t);
      return;
    }
  if (ok && !ends && is_write (w))
    t->has_written = true;
  give_result (w, answer);
  if (ends || !ok)
    {
      p->transaction = NULL;
      free_transaction (t);
      if (answer->state != SESSION_IDLE)
        link_rollback (p->link);
    }
}

/* The statement did not run and may run elsewhere. */
static bool
may_repeat (const struct work *w, enum outcome outcome)
{
  if (w->transaction != NULL && w->s->verb != VERB_BEGIN)
    return false;
  return outcome == OUTCOME_BUSY || outcome == OUTCOME_BEHIND
         || outcome == OUTCOME_NOT_PRIMARY || outcome == OUTCOME_NOT_PREPARED;
}

static void
statement_answered (struct pooled *p, const struct link_answer *answer)
{
  struct endpoint *e = p->endpoint;
  struct service *s = e->service;
  struct work *w = p->work;
  stop_counting (p);
  if (w == NULL)
    return;
  if (answer->outcome == OUTCOME_OK && w->s->verb != VERB_BEGIN)
    replicas_record_latency (&e->view, clock_now () - w->sent_at);
  if (answer->outcome == OUTCOME_BEHIND)
    e->view.behind_at = clock_now ();
  if (answer->outcome == OUTCOME_NOT_PRIMARY && e == s->primary
      && s->phase == SERVICE_SERVING)
    {
      log_warn (PART, "event=primary_lost service=%s endpoint=%s id=%.*s",
                s->name, e->id, BSTR_ARG (w->s->id));
      s->primary = NULL;
      service_set_phase (s, SERVICE_TAKEOVER, "the primary lost the lead");
    }
  p->work = NULL;
  if (may_repeat (w, answer->outcome))
    {
      enum outcome outcome = answer->outcome;
      p->transaction = NULL;
      if (answer->state != SESSION_IDLE)
        link_rollback (p->link);
      else if (outcome == OUTCOME_NOT_PREPARED)
        pool_close (p);
      repeat (w, outcome, "no endpoint could run it");
      return;
    }
  if (w->transaction != NULL)
    transaction_answer (p, w, answer);
  else
    {
      give_result (w, answer);
      if (answer->state != SESSION_IDLE)
        link_rollback (p->link);
    }
}

static void
status_answered (struct pooled *p, const struct link_answer *answer)
{
  struct endpoint *e = p->endpoint;
  struct wire_status status;
  if (answer->outcome == OUTCOME_OK && answer->row_count > 0
      && wire_parse_status (answer->rows[0], &status))
    {
      e->status_at = clock_now ();
      e->status_primary = status.is_primary;
      e->status_term = status.term;
      e->view.position = status.received;
      log_info (PART,
                "event=status service=%s endpoint=%s primary=%d term=%" PRIu64
                " position=%" PRIu64 ".%" PRIu64,
                e->service->name, e->id, status.is_primary, status.term,
                status.received.term, status.received.number);
    }
  promotion_status (e->service, e);
}

void
service_answered (struct pooled *p, const struct link_answer *answer)
{
  struct service *s = p->endpoint->service;
  heard (p->endpoint, answer->position);
  p->last_used = clock_now ();
  if (answer->task == LINK_STATUS)
    status_answered (p, answer);
  else if (answer->task == LINK_STATEMENT)
    {
      statement_answered (p, answer);
      service_dispatch (s);
      return;
    }
  if (p->is_probe && link_is_idle (p->link))
    {
      p->is_probe = false;
      p->endpoint->probing = false;
    }
  service_dispatch (s);
}

/* Whether the statement ran is not known. */
void
service_lose_work (struct work *w, const struct link_loss *loss)
{
  struct transaction *t = w->transaction;
  bool not_run = loss->outcome != OUTCOME_OK || !loss->was_connected;
  w->pooled = NULL;
  if (t == NULL)
    {
      if (not_run || w->s->is_read)
        repeat (w, OUTCOME_BUSY, loss->reason);
      else
        service_refuse (w, OUTCOME_UNKNOWN, loss->reason, 0);
      return;
    }
  if (w->s->verb == VERB_BEGIN)
    {
      repeat (w, OUTCOME_BUSY, loss->reason);
      return;
    }
  t->pooled = NULL;
  /* Without its COMMIT the endpoint rolls back. */
  service_refuse (w,
                  w->s->verb == VERB_COMMIT && t->has_written
                      ? OUTCOME_UNKNOWN
                      : OUTCOME_ABORTED,
                  loss->reason, 0);
  free_transaction (t);
}

void
service_lost (struct pooled *p, const struct link_loss *loss)
{
  struct endpoint *e = p->endpoint;
  struct work *w = p->work;
  struct transaction *t = p->transaction;
  int64_t now = clock_now ();
  if (loss->outcome == OUTCOME_NO_CONNECTION)
    e->no_connection_until = now + NO_CONNECTION_PAUSE_US;
  else if (loss->outcome == OUTCOME_WRONG_ENDPOINT)
    {
      e->wrong = true;
      log_warn (PART,
                "event=wrong_endpoint service=%s endpoint=%s "
                "address=%s",
                e->service->name, e->id, e->address);
    }
  else if (loss->outcome == OUTCOME_OK)
    {
      if (!loss->was_connected)
        e->refusals++;
      if (e->suspect_since == 0)
        e->suspect_since = now;
      relay_trace (PART,
                   "event=link_lost service=%s endpoint=%s connected=%d "
                   "reason=\"%s\"",
                   e->service->name, e->id, loss->was_connected, loss->reason);
    }
  p->work = NULL;
  p->transaction = NULL;
  if (w != NULL)
    service_lose_work (w, loss);
  else if (t != NULL)
    {
      t->pooled = NULL;
      free_transaction (t);
    }
}

void
service_drop_links (struct endpoint *e, const char *reason)
{
  bool dispatching = e->service->dispatching;
  /* What is repeated must not open new links here. */
  e->service->dispatching = true;
  while (e->links != NULL)
    {
      struct pooled *p = e->links;
      struct link_loss loss = { OUTCOME_OK, true, reason };
      struct work *w = p->work;
      struct transaction *t = p->transaction;
      p->work = NULL;
      p->transaction = NULL;
      pool_close (p);
      if (w != NULL)
        service_lose_work (w, &loss);
      else if (t != NULL)
        {
          t->pooled = NULL;
          free_transaction (t);
        }
    }
  e->service->dispatching = dispatching;
}

void
service_endpoint_failed (struct endpoint *e, const char *reason)
{
  int64_t now = clock_now ();
  if (e->failed_since != 0)
    return;
  e->failed_since = now;
  e->next_probe = now;
  log_warn (PART,
            "event=endpoint_failed service=%s endpoint=%s primary=%d "
            "reason=\"%s\" answered_ms_ago=%" PRId64,
            e->service->name, e->id, e == e->service->primary, reason,
            e->answered_at != 0 ? (now - e->answered_at) / USEC_PER_MSEC : -1);
  service_drop_links (e, reason);
}

void
service_serve (struct service *s, struct endpoint *primary, uint64_t term,
               struct position position)
{
  int64_t now = clock_now ();
  if (term != s->term || s->commit_history.newest.term == 0)
    {
      s->branch = position;
      commit_history_restart (&s->commit_history, s->branch, now);
    }
  s->term = term;
  s->primary = primary;
  primary->failed_since = 0;
  primary->suspect_since = 0;
  service_set_phase (s, SERVICE_SERVING, "the primary is known");
  service_dispatch (s);
}

/* Arrivals. */

/* Time until a statement that needs the primary is likely to start; -1: it
   will not be known. */
static int64_t
expected_wait (const struct service *s, const struct work *w, int64_t now)
{
  int64_t ahead = 0;
  if (s->phase == SERVICE_REPLACING || s->phase == SERVICE_HANDOFF)
    {
      int64_t left = s->replace_at + PROMOTION_US - now;
      return needs_primary (w) ? (left > 0 ? left : PROMOTION_US / 4) : 0;
    }
  if (s->phase != SERVICE_SERVING || s->primary == NULL)
    return 0;
  for (const struct work *q = s->queue; q != NULL; q = q->next)
    if (needs_primary (q) == needs_primary (w)
        && q->s->priority <= w->s->priority)
      ahead++;
  int slots = 0;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e->failed_since == 0 && (e == s->primary || !needs_primary (w)))
      slots += e->view.slots;
  return slots > 0 ? ahead * s->primary->view.latency_us / slots : 0;
}

static void
start_work (struct service *s, struct work *w)
{
  int retry_ms = 0;
  int64_t now = w->arrived;
  if (w->s->organisation_id != 0
      && !limits_take_token (s->relay->limits, w->s->organisation_id, now,
                             &retry_ms))
    {
      service_refuse_start (w, OUTCOME_BUSY, "over the organisation's rate",
                            retry_ms);
      return;
    }
  if (limits_report_is_due (s->relay->limits))
    fleet_schedule_heartbeats (s->relay->fleet);
  int64_t wait = expected_wait (s, w, now);
  if (wait > w->s->timeout_ms * USEC_PER_MSEC / 2)
    {
      service_refuse_start (w, OUTCOME_BUSY, "cannot be served in time",
                            (int)(wait / USEC_PER_MSEC));
      return;
    }
  enqueue (w);
  service_dispatch (s);
}

static void
continue_transaction (struct transaction *t, struct work *w)
{
  struct service *s = t->service;
  if (!s->leaving && !service_is_owned (s))
    {
      service_refuse (w, OUTCOME_ABORTED, "ownership was lost", 0);
      service_lose_transaction (t);
      return;
    }
  w->transaction = t;
  take_values (t, w->s);
  t->last_used = w->arrived;
  if (t->pooled == NULL)
    t->waiting = w;
  else if (t->pooled->work != NULL)
    service_refuse (w, OUTCOME_MALFORMED, "a statement is still running", 0);
  else
    run_on (w, t->pooled, (struct position){ 0, 0 });
}

void
service_statement (struct service *s, struct packet *m)
{
  struct work *w = talloc_zero (s, struct work);
  w->service = s;
  w->message = talloc_steal (w, m);
  w->s = &m->statement;
  w->arrived = clock_now ();
  struct transaction *t
      = service_find_transaction (s, m, m->statement.session);
  if (w->s->in_transaction)
    {
      if (t != NULL)
        continue_transaction (t, w);
      else
        service_refuse (w, OUTCOME_ABORTED, "the transaction is gone", 0);
      return;
    }
  if (t != NULL)
    service_lose_transaction (t);
  if (s->phase == SERVICE_FOREIGN || s->leaving || !service_is_owned (s))
    {
      struct packet_result r = { .moved = true };
      service_give (w, &r);
      return;
    }
  if (w->s->verb == VERB_BEGIN)
    {
      w->transaction = create_transaction (w);
      take_values (w->transaction, w->s);
    }
  start_work (s, w);
}

void
service_abandon (struct service *s, const struct packet *m)
{
  struct transaction *t = service_find_transaction (s, m, m->session);
  if (t != NULL)
    service_lose_transaction (t);
}

/* Statements that did not run, and reads, may run at the next owner. */
static void
move_work (struct work *w)
{
  struct transaction *t = w->transaction;
  struct packet_result moved = { .moved = true };
  w->pooled = NULL;
  service_give (w, &moved);
  if (t != NULL)
    free_transaction (t);
}

static void
move_queue (struct service *s)
{
  while (s->queue != NULL)
    {
      struct work *w = s->queue;
      s->queue = w->next;
      move_work (w);
    }
}

static void
stop_links (struct endpoint *e, const char *reason)
{
  while (e->links != NULL)
    {
      struct pooled *p = e->links;
      struct work *w = p->work;
      struct transaction *t = p->transaction;
      bool commits = w != NULL && is_write (w)
                     && (t == NULL || w->s->verb == VERB_COMMIT);
      bool may_move = w != NULL && w->s->is_read && t == NULL;
      p->work = NULL;
      p->transaction = NULL;
      pool_close (p);
      if (w != NULL)
        {
          w->pooled = NULL;
          if (may_move || w->s->verb == VERB_BEGIN)
            {
              move_work (w);
              continue;
            }
          service_refuse (w, commits ? OUTCOME_UNKNOWN : OUTCOME_ABORTED,
                          reason, 0);
        }
      if (t != NULL)
        {
          t->pooled = NULL;
          free_transaction (t);
        }
    }
}

void
service_stop (struct service *s, const char *reason)
{
  promotion_cancel (s);
  service_set_phase (s, SERVICE_FOREIGN, reason);
  move_queue (s);
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    stop_links (e, reason);
  while (s->transactions != NULL)
    free_transaction (s->transactions);
  while (s->endpoints != NULL)
    {
      struct endpoint *e = s->endpoints;
      s->endpoints = e->next;
      talloc_free (e);
    }
  s->primary = NULL;
  s->term = 0;
  s->leaving = false;
  memset (&s->commit_history, 0, sizeof s->commit_history);
}

bool
service_note_commit (struct service *s, struct position position)
{
  bool is_kept
      = s->phase == SERVICE_SERVING
        || (s->phase == SERVICE_HANDOFF && s->step == PROMOTION_SURVEY);
  if (!is_kept || position.term != s->term)
    return false;
  commit_history_record (&s->commit_history, position, clock_now ());
  return true;
}

void
service_leave (struct service *s, uint64_t successor)
{
  if (s->phase == SERVICE_FOREIGN || s->leaving)
    return;
  s->leaving = true;
  s->leaving_since = clock_now ();
  promotion_cancel (s);
  /* With nobody to take it over it is kept until the transactions end. */
  if (fleet_has_successor (s->relay->fleet))
    fleet_release (s->relay->fleet, s->id, successor);
  move_queue (s);
}

int
service_pending (const struct service *s)
{
  int count = former_pending (s->relay->former, s);
  for (const struct work *w = s->queue; w != NULL; w = w->next)
    count++;
  for (const struct transaction *t = s->transactions; t != NULL; t = t->next)
    count++;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    for (const struct pooled *p = e->links; p != NULL; p = p->next)
      count += p->work != NULL && p->work->transaction == NULL;
  return count;
}
