#include "session/service.h"

#include "common/log.h"
#include "platform/wire.h"
#include "session/commit_query.h"
#include "session/evacuation.h"
#include "session/fleet.h"
#include "session/rate.h"

#include <inttypes.h>

/* A read with a staleness bound must see data that are newer than the bound
   by this much, as the statement and its answer take time on the network. */
#define STALENESS_MARGIN_US (250 * USEC_PER_MSEC)
/* A statement is sent only if the lease lasts at least this long. */
#define LEASE_MARGIN_US (30 * USEC_PER_MSEC)
/* A draining endpoint gets its last statement this long before it may be
   gone: time on the network and in the endpoint's queue. */
#define DRAIN_MARGIN_US (1500 * USEC_PER_MSEC)
/* A statement that does not run is sent at most this many times. */
#define MAX_ATTEMPTS 8
/* Pause before a new connection to an endpoint that had no free one. */
#define NO_CONNECTION_PAUSE_US (50 * USEC_PER_MSEC)

static struct bstr
empty_text (void)
{
  return (struct bstr){ "", 0 };
}

bool
service_is_owned (const struct service *s)
{
  return fleet_owns_until (s->sessiond->fleet, s->id)
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
    fleet_set_primary_state (s->sessiond->fleet, s->id, LEASE_STABLE, s->term);
}

/* Results. */

/* Send the result of a statement to the process that sent it. */
static void
send_result_packet (struct service *s, const struct packet *to,
                    struct packet_result *result)
{
  struct packet m = { .kind = PACKET_RESULT };
  result->session = to->statement.session;
  result->sequence = to->statement.sequence;
  if (result->text.start == NULL)
    result->text = empty_text ();
  if (result->signature.start == NULL)
    result->signature = empty_text ();
  m.result = *result;
  if (!fleet_answer (s->sessiond->fleet, to, &m))
    sessiond_log_request (PART,
                          "event=result_dropped id=%s service=%s outcome=%s"
                          " reason=\"the process that sent it has ended\"",
                          LOG_TEXT (to->statement.id), s->name,
                          wire_outcome_name (result->outcome));
}

void
service_send_result (struct pending_statement *ps,
                     struct packet_result *result)
{
  struct service *s = ps->service;
  int64_t now = clock_now ();
  if (result->outcome != OUTCOME_OK || result->moved)
    sessiond_log_request (PART,
                          "event=result id=%s service=%s organisation=%s"
                          " outcome=%s moved=%d"
                          " waited_us=%" PRId64
                          " sent=%d attempts=%d retry_ms=%d"
                          " reason=\"%s\"",
                          LOG_TEXT (ps->statement->id), s->name,
                          LOG_TEXT (ps->statement->organisation),
                          wire_outcome_name (result->outcome), result->moved,
                          now - ps->arrived_at, ps->sent_at != 0, ps->attempts,
                          result->retry_ms, LOG_TEXT (result->text));
  send_result_packet (s, ps->message, result);
  if (ps->pooled_link != NULL)
    ps->pooled_link->pending = NULL;
  talloc_free (ps);
}

void
service_refuse (struct pending_statement *ps, enum outcome outcome,
                const char *reason, int retry_ms)
{
  struct packet_result r = { .outcome = outcome,
                             .text = bstr_from (reason),
                             .retry_ms = retry_ms };
  service_send_result (ps, &r);
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
  if (t->pooled_link != NULL)
    t->pooled_link->transaction = NULL;
  if (t->waiting != NULL)
    service_refuse (t->waiting, OUTCOME_ABORTED,
                    "the transaction was not opened", 0);
  talloc_free (t);
}

/* Drop the BEGIN of a transaction, which still waits for a token, is in the
   queue or at an endpoint. */
static void
drop_begin (struct transaction *t)
{
  struct service *s = t->service;
  if (rate_drop_begin (t))
    return;
  for (struct pending_statement **at = &s->queue; *at != NULL;
       at = &(*at)->next)
    if ((*at)->transaction == t)
      {
        struct pending_statement *ps = *at;
        *at = ps->next;
        talloc_free (ps);
        return;
      }
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    for (struct pooled_link *p = e->links; p != NULL; p = p->next)
      if (p->transaction == t)
        {
          TALLOC_FREE (p->pending);
          p->transaction = NULL;
          pool_close (p);
          return;
        }
}

void
service_abort_transaction (struct transaction *t)
{
  struct pooled_link *p = t->pooled_link;
  if (p == NULL)
    drop_begin (t);
  free_transaction (t);
  if (p == NULL)
    return;
  TALLOC_FREE (p->pending);
  if (!link_is_idle (p->link))
    {
      pool_close (p);
      return;
    }
  p->last_used = clock_now ();
  if (evacuation_use_of (p->endpoint) == EVACUATION_NONE)
    pool_close (p);
  else
    link_rollback (p->link);
}

/* Create the transaction that a BEGIN opens. */
static struct transaction *
create_transaction (struct pending_statement *ps)
{
  struct service *s = ps->service;
  struct transaction *t = talloc_zero (s, struct transaction);
  t->service = s;
  t->member = ps->message->sender.member;
  t->incarnation = ps->message->sender.incarnation;
  t->session = ps->statement->session;
  t->number = ps->statement->transaction;
  t->begin = ps;
  t->reads_only = ps->statement->is_read;
  t->idle_ms = ps->statement->idle_transaction_ms;
  t->last_used = clock_now ();
  t->next = s->transactions;
  s->transactions = t;
  return t;
}

/* Adopt the session values of a statement for its transaction. */
static void
copy_session_values (struct transaction *t, const struct packet_statement *s)
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

/* @return the position that contains the writes of a session up to @p own. */
static struct position
own_write_position (const struct service *s, struct position own)
{
  /* Writes of an older term beyond the branch point were rolled back. */
  if (own.term != 0 && own.term < s->term)
    return s->branch_point;
  return own;
}

struct position
service_required_position (const struct service *s,
                           const struct packet_statement *m, int64_t now)
{
  if (m->kind == ROUTE_PRIMARY || m->stale_ms == 0)
    return s->commit_history.newest;
  struct position bound = commit_history_at (&s->commit_history,
                                             now - m->stale_ms * USEC_PER_MSEC
                                                 + STALENESS_MARGIN_US);
  if (m->kind == ROUTE_BOUNDED)
    return bound;
  return position_max (bound, own_write_position (s, m->own));
}

/* Send a statement over a connection. */
static void
start_on_link (struct pending_statement *ps, struct pooled_link *p,
               struct position after)
{
  const struct packet_statement *m = ps->statement;
  struct transaction *t = ps->transaction;
  struct link_request request = {
    .verb = m->verb,
    .reads_only = m->is_read,
    .in_transaction = t != NULL && t->pooled_link != NULL,
    .id = m->id,
    .text = m->text,
    .shape = m->shape,
    .arguments = m->arguments,
    .after = after,
    .values = t != NULL ? t->values : m->values,
    .value_count = t != NULL ? t->value_count : m->value_count,
    .is_strict = pool_is_strict (p->endpoint),
  };
  p->pending = ps;
  p->sent_at = p->last_used = clock_now ();
  p->kind = ps->kind;
  p->is_second = ps->pooled_link != p;
  p->is_unwanted = false;
  capacity_count_send (p);
  hedge_count_send (ps, p);
  ps->attempts++;
  link_run (p->link, &request);
}

/* Send a statement to an endpoint. */
static void
run_on_link (struct pending_statement *ps, struct pooled_link *p,
             struct position after)
{
  ps->pooled_link = p;
  ps->sent_at = clock_now ();
  start_on_link (ps, p, after);
}

static bool
needs_primary (const struct pending_statement *ps)
{
  return !ps->statement->is_read;
}

/* @return whether the endpoint drains for so long that it may soon be gone and
   gets no more statements.  This includes a primary that could not be
   replaced. */
static bool
drain_time_is_over (const struct endpoint *e, int64_t now)
{
  int64_t limit = e->service->sessiond->options->drain_ms * USEC_PER_MSEC
                  - DRAIN_MARGIN_US;
  return e->draining && now - e->draining_since > limit;
}

/* Leave out the endpoint that runs a statement already, for its second send.
   Reads of the newest data have no other choice than the primary. */
static void
leave_out_running (struct replica_view *view, const struct endpoint *e,
                   const struct pending_statement *ps)
{
  bool must_be_primary
      = ps->statement->kind == ROUTE_PRIMARY && e == ps->service->primary;
  if (ps->pooled_link != NULL && ps->pooled_link->endpoint == e
      && !must_be_primary)
    view->running = replicas_max_statements (view);
}

/* @return the endpoint that is to run a statement, NULL if none can run it
   now. */
static struct endpoint *
choose_endpoint (struct service *s, struct pending_statement *ps,
                 struct position required, int64_t now)
{
  struct replica_view replicas[SERVICE_MAX_ENDPOINTS];
  struct endpoint *endpoints[SERVICE_MAX_ENDPOINTS] = { NULL };
  int count = 0, index = 0;
  if (needs_primary (ps))
    {
      struct endpoint *e = s->primary;
      struct replica_view view = { 0 };
      if (e != NULL)
        view = e->replica;
      view.is_primary = true;
      return s->phase == SERVICE_SERVING && e != NULL && e->failed_since == 0
                     && e->refusals == 0 && !drain_time_is_over (e, now)
                     && evacuation_use_of (e) == EVACUATION_ALL
                     && view.running < replicas_max_statements (&view)
                 ? e
                 : NULL;
    }
  for (struct endpoint *e = s->endpoints;
       e != NULL && count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      endpoints[count] = e;
      replicas[count] = e->replica;
      replicas[count].expected_us = capacity_expected_us (e, ps->kind);
      replicas[count].is_primary = e == s->primary;
      replicas[count].is_near
          = strcmp (e->failure_domain, s->sessiond->options->failure_domain)
            == 0;
      replicas[count].needs_connection
          = !pool_has_free_link (e, ps->statement->organisation);
      /* A draining primary still has all commits, so reads outside of
         transactions may go to it. */
      replicas[count].usable = e->is_listed && !e->is_wrong_endpoint
                               && e->failed_since == 0 && e->refusals == 0
                               && evacuation_use_of (e) == EVACUATION_ALL
                               && (!e->draining
                                   || (e == s->primary && !ps->transaction
                                       && !drain_time_is_over (e, now)));
      leave_out_running (&replicas[count], e, ps);
      count += replicas[count].usable;
    }
  /* The position of the newest acknowledged commit is not known yet. */
  if (s->commit_history.newest.term == 0)
    return NULL;
  if (replicas_choose_for_read (replicas, count, required,
                                ps->statement->kind == ROUTE_PRIMARY, now,
                                &index)
      != REPLICAS_FOUND)
    return NULL;
  return endpoints[index];
}

/* Send a statement if an endpoint has room for it.
   @return whether it was sent. */
static bool
try_dispatch (struct service *s, struct pending_statement *ps)
{
  int64_t now = clock_now ();
  struct position required = service_required_position (s, ps->statement, now);
  struct endpoint *e = choose_endpoint (s, ps, required, now);
  if (e == NULL)
    return false;
  struct pooled_link *p = pool_acquire (e, ps->statement);
  if (p == NULL)
    return false;
  if (ps->transaction != NULL)
    p->transaction = ps->transaction;
  run_on_link (ps, p,
               needs_primary (ps) && ps->statement->verb != VERB_BEGIN
                   ? (struct position){ 0, 0 }
                   : required);
  return true;
}

void
service_dispatch (struct service *s)
{
  if (s->dispatching || s->reads_only || s->phase < SERVICE_SERVING
      || !service_is_owned (s))
    return;
  s->dispatching = true;
  hedge_dispatch (s);
  struct pending_statement **at = &s->queue;
  while (*at != NULL)
    {
      struct pending_statement *ps = *at;
      if (try_dispatch (s, ps))
        *at = ps->next;
      else
        at = &ps->next;
    }
  s->dispatching = false;
}

/* Insert a statement into the queue, ordered by priority, then by arrival. */
static void
enqueue (struct pending_statement *ps)
{
  struct pending_statement **at = &ps->service->queue;
  while (*at != NULL
         && ((*at)->statement->priority < ps->statement->priority
             || ((*at)->statement->priority == ps->statement->priority
                 && (*at)->arrived_at <= ps->arrived_at)))
    at = &(*at)->next;
  ps->next = *at;
  *at = ps;
  ps->sent_at = 0;
  ps->pooled_link = NULL;
}

void
service_refuse_with_transaction (struct pending_statement *ps,
                                 enum outcome outcome, const char *reason,
                                 int retry_ms)
{
  struct transaction *t = ps->transaction;
  service_refuse (ps, outcome, reason, retry_ms);
  if (t != NULL)
    free_transaction (t);
}

static void redirect_statement (struct pending_statement *ps);

/* A statement did not run: queue it again, or refuse it after too many
   attempts or three quarters of its timeout.  A reader has it sent to the
   owner instead, which knows all endpoints. */
static void
retry_statement (struct pending_statement *ps, enum outcome outcome,
                 const char *reason)
{
  struct service *s = ps->service;
  int64_t waited = clock_now () - ps->arrived_at;
  if (ps->pooled_link != NULL)
    ps->pooled_link->pending = NULL;
  ps->pooled_link = NULL;
  if (ps->transaction != NULL)
    ps->transaction->pooled_link = NULL;
  if (s->reads_only)
    redirect_statement (ps);
  else if (ps->attempts >= MAX_ATTEMPTS
           || waited > ps->statement->timeout_ms * USEC_PER_MSEC * 3 / 4)
    service_refuse_with_transaction (ps, outcome, reason, 0);
  else
    {
      enqueue (ps);
      service_dispatch (s);
    }
}

/* Answers. */

/* Record that an endpoint has answered: it is neither suspect nor failed any
   more. */
static void
record_endpoint_answer (struct endpoint *e, struct position position)
{
  e->answered_at = clock_now ();
  e->suspect_since = 0;
  e->refusals = 0;
  e->reached_by = 0;
  e->has_asked_peers = false;
  if (position.term != 0)
    e->replica.position = position;
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

/* @return whether the statement may have changed data. */
static bool
is_write (const struct pending_statement *ps)
{
  if (ps->statement->verb == VERB_COMMIT)
    return ps->transaction != NULL && ps->transaction->has_written;
  return !ps->statement->is_read && ps->statement->verb != VERB_BEGIN
         && ps->statement->verb != VERB_ROLLBACK;
}

/* Send the caller an endpoint's answer.  A commit that finished after
   ownership was lost is not acknowledged without the current owner. */
static void
deliver_answer (struct pending_statement *ps, const struct link_answer *answer)
{
  struct service *s = ps->service;
  struct packet_result r = {
    .outcome = answer->outcome,
    .text = answer->text,
    .rows = answer->rows,
    .row_count = answer->row_count,
    .signature = answer->signature,
    .position = answer->position,
  };
  bool commits
      = is_write (ps) && ps->statement->verb != VERB_BEGIN
        && (ps->statement->verb == VERB_COMMIT || ps->transaction == NULL);
  if (commits && r.outcome == OUTCOME_OK)
    {
      /* If ownership was lost, the next owner may have replaced the
         primary. */
      if (service_is_owned (s))
        commit_history_record (&s->commit_history, answer->position,
                               clock_now ());
      else if (s->releasing)
        {
          commit_queries_add (s->sessiond->commit_queries, ps, &r);
          return;
        }
      else
        {
          r.outcome = OUTCOME_UNKNOWN;
          r.text = bstr_from ("ownership was lost before the answer");
          r.row_count = 0;
        }
    }
  service_send_result (ps, &r);
}

/* Run the statement that arrived before BEGIN was answered. */
static void
run_waiting_statement (struct transaction *t)
{
  struct pending_statement *ps = t->waiting;
  t->waiting = NULL;
  if (ps != NULL && !evacuation_ends_transaction (t, ps))
    run_on_link (ps, t->pooled_link, (struct position){ 0, 0 });
}

/* Leave the connection of a statement that has ended to others: close it if it
   cannot be used, or roll its transaction back if that is still open. */
static void
release_link (struct pooled_link *p, const struct link_answer *answer)
{
  if (answer->is_last || answer->outcome == OUTCOME_NOT_PREPARED)
    pool_close (p);
  else if (answer->state != SESSION_IDLE)
    link_rollback (p->link);
}

/* Handle the answer to a statement of a transaction. */
static void
handle_transaction_answer (struct pooled_link *p, struct pending_statement *ps,
                           const struct link_answer *answer)
{
  struct transaction *t = ps->transaction;
  bool ends = ps->statement->verb == VERB_COMMIT
              || ps->statement->verb == VERB_ROLLBACK;
  bool ok = answer->outcome == OUTCOME_OK;
  t->last_used = clock_now ();
  if (ps->statement->verb == VERB_BEGIN && ok)
    {
      t->pooled_link = p;
      t->begin = NULL;
      deliver_answer (ps, answer);
      run_waiting_statement (t);
      return;
    }
  if (ok && !ends && is_write (ps))
    t->has_written = true;
  deliver_answer (ps, answer);
  if (ends || !ok)
    {
      p->transaction = NULL;
      free_transaction (t);
      release_link (p, answer);
    }
}

/* @return whether the statement did not run and may run at another
   endpoint. */
static bool
may_retry (const struct pending_statement *ps, enum outcome outcome)
{
  if (ps->transaction != NULL && ps->statement->verb != VERB_BEGIN)
    return false;
  return outcome == OUTCOME_BUSY || outcome == OUTCOME_BEHIND
         || outcome == OUTCOME_NOT_PRIMARY || outcome == OUTCOME_NOT_PREPARED;
}

/* @return whether a result fits into a message to the entry daemon. */
static bool
result_fits (const struct link_answer *answer)
{
  size_t bytes = 0;
  for (int i = 0; i < answer->row_count; i++)
    bytes += answer->rows[i].len;
  return answer->row_count <= PACKET_MAX_ROWS && bytes <= PACKET_MAX_ROW_BYTES;
}

/* Record what the answer to a statement shows of its endpoint. */
static void
record_statement_answer (struct pooled_link *p,
                         const struct link_answer *answer)
{
  struct endpoint *e = p->endpoint;
  const struct pending_statement *ps = p->pending;
  int64_t now = clock_now ();
  if (p->sent_at > e->answered_sent_at)
    e->answered_sent_at = p->sent_at;
  if (answer->outcome == OUTCOME_OK
      && (ps == NULL || ps->statement->verb != VERB_BEGIN))
    {
      replicas_record_latency (&e->replica, now - p->sent_at);
      latency_record (e->latency, p->kind, now - p->sent_at, now);
      capacity_record (p, now - p->sent_at, now);
    }
  if (answer->outcome == OUTCOME_BEHIND)
    e->replica.behind_at = now;
}

/* Handle the answer to a statement of a caller: repeat the statement elsewhere
   if it did not run, or send its result. */
static void
handle_statement_answer (struct pooled_link *p,
                         const struct link_answer *answer)
{
  struct endpoint *e = p->endpoint;
  struct service *s = e->service;
  struct pending_statement *ps = p->pending;
  struct link_answer too_large = {
    .task = answer->task,
    .outcome = OUTCOME_FAILED,
    .text = bstr_from ("the result is too large"),
    .state = answer->state,
    .position = answer->position,
    .is_last = answer->is_last,
  };
  capacity_count_end (p);
  if (!result_fits (answer))
    answer = &too_large;
  record_statement_answer (p, answer);
  if (ps == NULL)
    {
      p->is_unwanted = false;
      release_link (p, answer);
      return;
    }
  if (answer->outcome == OUTCOME_NOT_PRIMARY && e == s->primary
      && s->phase == SERVICE_SERVING)
    {
      log_warn (PART, "event=primary_lost service=%s endpoint=%s id=%s",
                s->name, e->id, LOG_TEXT (ps->statement->id));
      s->primary = NULL;
      service_set_phase (s, SERVICE_TAKEOVER, "the primary lost the lead");
    }
  if (!hedge_take_answer (p, answer))
    {
      release_link (p, answer);
      return;
    }
  p->pending = NULL;
  if (may_retry (ps, answer->outcome))
    {
      enum outcome outcome = answer->outcome;
      p->transaction = NULL;
      ps->pooled_link = NULL;
      release_link (p, answer);
      retry_statement (ps, outcome, "no endpoint could run it");
      return;
    }
  if (ps->transaction != NULL)
    handle_transaction_answer (p, ps, answer);
  else
    {
      deliver_answer (ps, answer);
      release_link (p, answer);
    }
}

/* Handle the answer to a ROLLBACK that no caller waits for. */
static void
handle_rollback_answer (struct pooled_link *p,
                        const struct link_answer *answer)
{
  if (answer->outcome == OUTCOME_OK)
    return;
  /* The transaction may still be open; a closed connection rolls back. */
  sessiond_log_request (PART,
                        "event=rollback_refused service=%s endpoint=%s"
                        " outcome=%s state=%d",
                        p->endpoint->service->name, p->endpoint->id,
                        wire_outcome_name (answer->outcome), answer->state);
  pool_close (p);
}

static void
handle_status_answer (struct pooled_link *p, const struct link_answer *answer)
{
  struct endpoint *e = p->endpoint;
  struct wire_status status;
  if (answer->outcome == OUTCOME_OK && answer->row_count > 0
      && wire_parse_status (answer->rows[0], &status))
    {
      e->status_at = clock_now ();
      e->status_is_primary = status.is_primary;
      e->status_term = status.term;
      e->replica.position = status.received;
      log_info (PART,
                "event=status service=%s endpoint=%s primary=%d term=%" PRIu64
                " position=%" PRIu64 ".%" PRIu64,
                e->service->name, e->id, status.is_primary, status.term,
                status.received.term, status.received.number);
    }
  promotion_handle_status (e->service, e);
}

void
service_handle_answer (struct pooled_link *p, const struct link_answer *answer)
{
  struct service *s = p->endpoint->service;
  record_endpoint_answer (p->endpoint, answer->position);
  p->last_used = clock_now ();
  if (answer->task == LINK_STATUS)
    handle_status_answer (p, answer);
  else if (answer->task == LINK_STATEMENT)
    {
      handle_statement_answer (p, answer);
      service_dispatch (s);
      return;
    }
  else if (answer->task == LINK_ROLLBACK)
    {
      handle_rollback_answer (p, answer);
      service_dispatch (s);
      return;
    }
  if (p->is_probe && link_is_idle (p->link))
    {
      p->is_probe = false;
      p->endpoint->is_probing = false;
    }
  service_dispatch (s);
}

void
service_fail_statement (struct pending_statement *ps,
                        const struct link_loss *loss)
{
  struct transaction *t = ps->transaction;
  bool not_run = loss->outcome != OUTCOME_OK || !loss->was_connected;
  ps->pooled_link = NULL;
  if (t == NULL)
    {
      if (not_run || ps->statement->is_read)
        retry_statement (ps, OUTCOME_BUSY, loss->reason);
      else
        service_refuse (ps, OUTCOME_UNKNOWN, loss->reason, 0);
      return;
    }
  if (ps->statement->verb == VERB_BEGIN)
    {
      retry_statement (ps, OUTCOME_BUSY, loss->reason);
      return;
    }
  t->pooled_link = NULL;
  bool may_be_kept = loss->may_be_kept && !ps->statement->is_read;
  bool commits = ps->statement->verb == VERB_COMMIT && t->has_written;
  /* An endpoint that did not receive COMMIT rolls back. */
  service_refuse (ps,
                  commits || may_be_kept ? OUTCOME_UNKNOWN : OUTCOME_ABORTED,
                  loss->reason, 0);
  free_transaction (t);
}

void
service_handle_link_loss (struct pooled_link *p, const struct link_loss *loss)
{
  struct endpoint *e = p->endpoint;
  struct pending_statement *ps = p->pending;
  struct transaction *t = p->transaction;
  int64_t now = clock_now ();
  if (loss->outcome == OUTCOME_NO_CONNECTION)
    {
      e->no_connection_until = now + NO_CONNECTION_PAUSE_US;
      pool_limit_connections (e, now);
    }
  else if (loss->outcome == OUTCOME_WRONG_ENDPOINT)
    {
      e->is_wrong_endpoint = true;
      log_warn (PART,
                "event=wrong_endpoint service=%s endpoint=%s "
                "address=%s",
                e->service->name, e->id, e->address);
    }
  else if (loss->outcome == OUTCOME_OK)
    {
      if (!loss->was_connected)
        e->refusals++;
      if (e->suspect_since == 0 && !loss->is_doubtful)
        e->suspect_since = now;
      sessiond_log_request (
          PART,
          "event=link_lost service=%s endpoint=%s connected=%d "
          "reason=\"%s\"",
          e->service->name, e->id, loss->was_connected, loss->reason);
    }
  bool continues = ps != NULL && hedge_leave_link (ps, p);
  p->pending = NULL;
  p->transaction = NULL;
  if (continues)
    return;
  if (ps != NULL)
    service_fail_statement (ps, loss);
  else if (t != NULL)
    {
      t->pooled_link = NULL;
      free_transaction (t);
    }
}

void
service_drop_links (struct endpoint *e, const char *reason)
{
  bool dispatching = e->service->dispatching;
  /* Statements that are repeated must not open new connections to this
     endpoint. */
  e->service->dispatching = true;
  while (e->links != NULL)
    {
      struct pooled_link *p = e->links;
      struct link_loss loss = { .was_connected = true, .reason = reason };
      struct pending_statement *ps = p->pending;
      struct transaction *t = p->transaction;
      if (ps != NULL && hedge_leave_link (ps, p))
        ps = NULL;
      p->pending = NULL;
      p->transaction = NULL;
      pool_close (p);
      if (ps != NULL)
        service_fail_statement (ps, &loss);
      else if (t != NULL)
        {
          t->pooled_link = NULL;
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
  e->next_probe_at = now;
  log_warn (PART,
            "event=endpoint_failed service=%s endpoint=%s primary=%d "
            "reason=\"%s\" answered_ms_ago=%" PRId64,
            e->service->name, e->id, e == e->service->primary, reason,
            e->answered_at != 0 ? (now - e->answered_at) / USEC_PER_MSEC : -1);
  service_drop_links (e, reason);
}

void
service_set_primary (struct service *s, struct endpoint *primary,
                     uint64_t term, struct position position)
{
  int64_t now = clock_now ();
  if (term != s->term || s->commit_history.newest.term == 0)
    {
      s->branch_point = position;
      commit_history_restart (&s->commit_history, s->branch_point, now);
    }
  s->term = term;
  s->least_term = 0;
  s->primary = primary;
  primary->failed_since = 0;
  primary->suspect_since = 0;
  service_set_phase (s, SERVICE_SERVING, "the primary is known");
  service_dispatch (s);
}

/* Arrival of statements. */

/* @return the expected time until a statement starts, in microseconds; 0: at
   once, or not known. */
static int64_t
expected_wait (const struct service *s, const struct pending_statement *ps,
               int64_t now)
{
  int64_t ahead = 0;
  if (s->phase == SERVICE_REPLACING || s->phase == SERVICE_HANDOFF)
    {
      int64_t left = s->promotion_decided_at + EXPECTED_PROMOTION_US - now;
      return needs_primary (ps) ? (left > 0 ? left : EXPECTED_PROMOTION_US / 4)
                                : 0;
    }
  if (s->phase != SERVICE_SERVING || s->primary == NULL)
    return 0;
  for (const struct pending_statement *q = s->queue; q != NULL; q = q->next)
    if (needs_primary (q) == needs_primary (ps)
        && q->statement->priority <= ps->statement->priority)
      ahead++;
  int64_t slots = 0;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e->failed_since == 0 && (e == s->primary || !needs_primary (ps)))
      slots += e->replica.slots;
  return slots > 0 ? ahead * s->primary->replica.latency_us / slots : 0;
}

/* Queue a new statement that has its token, or refuse it because of its
   expected wait. */
static void
admit_statement (struct service *s, struct pending_statement *ps)
{
  int64_t wait = expected_wait (s, ps, clock_now ());
  if (wait > ps->statement->timeout_ms * USEC_PER_MSEC / 2)
    {
      service_refuse_with_transaction (ps, OUTCOME_BUSY,
                                       "cannot be served in time",
                                       (int)(wait / USEC_PER_MSEC));
      return;
    }
  enqueue (ps);
  service_dispatch (s);
}

/* Run a statement of an open transaction. */
static void
continue_transaction (struct transaction *t, struct pending_statement *ps)
{
  struct service *s = t->service;
  if (!s->releasing && !service_is_owned (s))
    {
      service_refuse (ps, OUTCOME_ABORTED, "ownership was lost", 0);
      service_abort_transaction (t);
      return;
    }
  ps->transaction = t;
  copy_session_values (t, ps->statement);
  t->last_used = ps->arrived_at;
  if (t->pooled_link == NULL)
    t->waiting = ps;
  else if (t->pooled_link->pending != NULL)
    service_refuse (ps, OUTCOME_MALFORMED, "a statement is still running", 0);
  else if (!evacuation_ends_transaction (t, ps))
    run_on_link (ps, t->pooled_link, (struct position){ 0, 0 });
}

/* Answer a BEGIN that was sent again: its transaction goes on. */
static void
repeat_begin (struct transaction *t, struct pending_statement *ps)
{
  const struct packet_statement *m = ps->statement;
  struct packet_result opened = { .outcome = OUTCOME_OK };
  sessiond_log_request (PART,
                        "event=begin_repeated id=%s service=%s"
                        " session=%" PRIu64 " transaction=%" PRIu64 " open=%d",
                        LOG_TEXT (m->id), t->service->name, t->session,
                        t->number, t->begin == NULL);
  copy_session_values (t, m);
  t->last_used = ps->arrived_at;
  if (t->begin == NULL)
    {
      service_send_result (ps, &opened);
      return;
    }
  /* The entry daemon waits for the answer to the newest copy. */
  t->begin->statement->sequence = m->sequence;
  talloc_free (ps);
}

/* End a transaction that is over for its caller, as a later statement of the
   session shows: its end did not arrive. */
static void
end_left_transaction (struct transaction *t, const struct packet_statement *m)
{
  sessiond_log_request (PART,
                        "event=transaction_left service=%s session=%" PRIu64
                        " transaction=%" PRIu64 " newest=%" PRIu64 " id=%s",
                        t->service->name, t->session, t->number,
                        m->transaction, LOG_TEXT (m->id));
  service_abort_transaction (t);
}

static struct pending_statement *
create_statement (struct service *s, struct packet *m)
{
  struct pending_statement *ps = talloc_zero (s, struct pending_statement);
  ps->service = s;
  ps->message = talloc_steal (ps, m);
  ps->statement = &m->statement;
  ps->kind = latency_kind ((int)m->statement.kind, m->statement.verb,
                           m->statement.shape);
  ps->arrived_at = clock_now ();
  return ps;
}

void
service_handle_statement (struct service *s, struct packet *m)
{
  struct pending_statement *ps = create_statement (s, m);
  struct transaction *t
      = service_find_transaction (s, m, m->statement.session);
  uint64_t number = ps->statement->transaction;
  bool is_begin = ps->statement->verb == VERB_BEGIN;
  bool is_same = t != NULL && t->number == number;
  if (is_same && ps->statement->in_transaction)
    {
      continue_transaction (t, ps);
      return;
    }
  if (is_same && is_begin)
    {
      repeat_begin (t, ps);
      return;
    }
  if (t != NULL && t->number <= number)
    {
      end_left_transaction (t, ps->statement);
      t = NULL;
    }
  if (ps->statement->in_transaction || (is_begin && t != NULL))
    {
      service_refuse (ps, OUTCOME_ABORTED, "the transaction is gone", 0);
      return;
    }
  if (s->phase == SERVICE_NOT_OWNED || s->releasing || !service_is_owned (s))
    {
      struct packet_result r = { .moved = true };
      service_send_result (ps, &r);
      return;
    }
  if (is_begin)
    {
      ps->transaction = create_transaction (ps);
      copy_session_values (ps->transaction, ps->statement);
    }
  if (!evacuation_refuses (s, ps, ps->arrived_at)
      && rate_admit (ps, expected_wait (s, ps, ps->arrived_at)))
    admit_statement (s, ps);
}

/* Bounded reads at near replicas. */

/* @return the replica that is to run a read whose position is @p required,
   NULL if none can run it now. */
static struct endpoint *
choose_near_replica (struct service *s, const struct pending_statement *ps,
                     struct position required, int64_t now)
{
  struct replica_view replicas[SERVICE_MAX_ENDPOINTS];
  struct endpoint *endpoints[SERVICE_MAX_ENDPOINTS] = { NULL };
  int count = 0, index = 0;
  for (struct endpoint *e = s->endpoints;
       e != NULL && count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      endpoints[count] = e;
      replicas[count] = e->replica;
      replicas[count].expected_us = capacity_expected_us (e, ps->kind);
      replicas[count].is_near = true;
      /* The owner alone fills the slots of the primary, which has the writes
         to run.  The owner may also know a better endpoint than a suspect
         one. */
      replicas[count].usable = e->is_listed && !e->claims_primary
                               && !e->draining && !e->is_wrong_endpoint
                               && e->failed_since == 0 && e->suspect_since == 0
                               && e->refusals == 0
                               && evacuation_use_of (e) == EVACUATION_ALL;
      leave_out_running (&replicas[count], e, ps);
      count += replicas[count].usable;
    }
  return replicas_choose_for_read (replicas, count, required, false, now,
                                   &index)
                 == REPLICAS_FOUND
             ? endpoints[index]
             : NULL;
}

/* @return whether it is known which position the read requires.
   @param required set to that position. */
static bool
find_required_position (const struct service *s,
                        const struct packet_statement *m, int64_t now,
                        struct position *required)
{
  static const struct position none = { 0, 0 };
  return m->is_read && !m->in_transaction && m->verb != VERB_BEGIN
         && m->kind != ROUTE_PRIMARY
         && commit_history_read_position (
             &s->commit_history,
             now - m->stale_ms * USEC_PER_MSEC + STALENESS_MARGIN_US,
             m->kind == ROUTE_READ_YOUR_WRITES ? m->own : none, required);
}

/* @return a connection to a near replica for a read, NULL if none can run it
   now.
   @param required set to the position that the read requires. */
static struct pooled_link *
acquire_near_replica (struct service *s, const struct pending_statement *ps,
                      struct position *required)
{
  int64_t now = clock_now ();
  struct endpoint *e = NULL;
  if (s->sessiond->leaving_since == 0
      && find_required_position (s, ps->statement, now, required))
    e = choose_near_replica (s, ps, *required, now);
  return e != NULL ? pool_acquire (e, ps->statement) : NULL;
}

void
service_run_admitted (struct pending_statement *ps)
{
  struct service *s = ps->service;
  struct position required;
  if (!s->reads_only)
    {
      admit_statement (s, ps);
      return;
    }
  struct pooled_link *p = acquire_near_replica (s, ps, &required);
  if (p != NULL)
    run_on_link (ps, p, required);
  else
    redirect_statement (ps);
}

struct pooled_link *
service_send_second (struct pending_statement *ps, int64_t now)
{
  struct service *s = ps->service;
  struct position required;
  struct pooled_link *p = NULL;
  if (s->reads_only)
    p = acquire_near_replica (s, ps, &required);
  else if (s->phase >= SERVICE_SERVING && !s->releasing
           && service_is_owned (s))
    {
      required = service_required_position (s, ps->statement, now);
      struct endpoint *e = choose_endpoint (s, ps, required, now);
      if (e != NULL)
        p = pool_acquire (e, ps->statement);
    }
  if (p == NULL)
    return NULL;
  ps->second_link = p;
  ps->was_hedged = true;
  start_on_link (ps, p, required);
  return p;
}

void
service_handle_read (struct service *s, struct packet *m)
{
  struct pending_statement *ps = create_statement (s, m);
  struct position required;
  struct pooled_link *p = acquire_near_replica (s, ps, &required);
  ++*stats_counter (s->sessiond->stats, "azurewind_reader_statements_total",
                    p != NULL ? "ran=\"1\"" : "ran=\"0\"");
  if (p == NULL)
    {
      redirect_statement (ps);
      return;
    }
  if (!rate_admit (ps, 0))
    return;
  ps->statement->is_counted = true;
  run_on_link (ps, p, required);
}

void
service_handle_session_end (struct service *s, const struct packet *m)
{
  struct transaction *t = service_find_transaction (s, m, m->session);
  if (t != NULL)
    service_abort_transaction (t);
}

/* Have the entry daemon send the statement to the owner of the service; only
   for statements that did not run and for reads. */
static void
redirect_statement (struct pending_statement *ps)
{
  struct transaction *t = ps->transaction;
  struct packet_result moved
      = { .moved = true, .is_counted = ps->statement->is_counted };
  ps->pooled_link = NULL;
  service_send_result (ps, &moved);
  if (t != NULL)
    free_transaction (t);
}

/* Have all statements that are queued or wait for a token sent to the next
   owner. */
static void
redirect_queue (struct service *s)
{
  for (struct pending_statement *ps; (ps = rate_take_waiting (s)) != NULL;)
    redirect_statement (ps);
  while (s->queue != NULL)
    {
      struct pending_statement *ps = s->queue;
      s->queue = ps->next;
      redirect_statement (ps);
    }
}

/* Close all connections to an endpoint of a service that is no longer owned:
   BEGIN and reads outside of transactions go to the next owner, other
   statements are refused. */
static void
end_all_links (struct endpoint *e, const char *reason)
{
  while (e->links != NULL)
    {
      struct pooled_link *p = e->links;
      struct pending_statement *ps = p->pending;
      struct transaction *t = p->transaction;
      if (ps != NULL && hedge_leave_link (ps, p))
        ps = NULL;
      bool commits = ps != NULL && is_write (ps)
                     && (t == NULL || ps->statement->verb == VERB_COMMIT);
      bool may_move = ps != NULL && ps->statement->is_read && t == NULL;
      p->pending = NULL;
      p->transaction = NULL;
      pool_close (p);
      if (ps != NULL)
        {
          ps->pooled_link = NULL;
          if (may_move || ps->statement->verb == VERB_BEGIN)
            {
              redirect_statement (ps);
              continue;
            }
          service_refuse (ps, commits ? OUTCOME_UNKNOWN : OUTCOME_ABORTED,
                          reason, 0);
        }
      if (t != NULL)
        {
          t->pooled_link = NULL;
          free_transaction (t);
        }
    }
}

void
service_stop (struct service *s, const char *reason)
{
  promotion_cancel (s);
  service_set_phase (s, SERVICE_NOT_OWNED, reason);
  redirect_queue (s);
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    end_all_links (e, reason);
  while (s->transactions != NULL)
    free_transaction (s->transactions);
  while (s->endpoints != NULL)
    {
      struct endpoint *e = s->endpoints;
      s->endpoints = e->next;
      capacity_stop (e);
      talloc_free (e);
    }
  s->primary = NULL;
  s->term = 0;
  s->least_term = 0;
  s->lineage = (struct replica_lineage){ 0 };
  s->is_record_open = false;
  s->is_record_closing = false;
  s->record_era = 0;
  s->releasing = false;
  s->has_move_failed = false;
  memset (&s->commit_history, 0, sizeof s->commit_history);
}

bool
service_confirm_commit (struct service *s, struct position position)
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
service_release (struct service *s, uint64_t successor)
{
  if (s->phase == SERVICE_NOT_OWNED || s->releasing)
    return;
  s->releasing = true;
  s->releasing_since = clock_now ();
  promotion_cancel (s);
  /* Without a member that can take it over, this daemon owns it until the
     transactions end. */
  if (fleet_has_successor (s->sessiond->fleet))
    fleet_release (s->sessiond->fleet, s->id, successor);
  redirect_queue (s);
}

int
service_pending_count (const struct service *s)
{
  int count = commit_queries_count (s->sessiond->commit_queries, s)
              + rate_waiting_count (s);
  for (const struct pending_statement *ps = s->queue; ps != NULL;
       ps = ps->next)
    count++;
  for (const struct transaction *t = s->transactions; t != NULL; t = t->next)
    count++;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    for (const struct pooled_link *p = e->links; p != NULL; p = p->next)
      count += p->pending != NULL && p->pending->transaction == NULL
               && p->pending->pooled_link == p;
  return count;
}
