#include "session/callers.h"

#include "common/log.h"
#include "core/entry_wait.h"
#include "core/session.h"
#include "net/stream.h"
#include "platform/wire.h"
#include "session/directory.h"
#include "session/fleet.h"

#include <inttypes.h>
#include <malloc.h>

#define PART "front"

/* A caller's connection is closed if sent bytes or keep-alive probes stay
   unacknowledged for this time. */
#define CALLER_TIMEOUT_MS 15000
/* Maximum time that a statement waits for its service to have an owner. */
#define OWNER_WAIT_US (300 * USEC_PER_MSEC)
/* Retry time in the answer to a caller whose service has no owner.  Together
   with OWNER_WAIT_US this is the duration of one lease. */
#define NO_OWNER_RETRY_MS 700
/* With the setting entry_wait: most statements that wait for an owner at a
   time, and bytes of these together. */
#define ENTRY_WAIT_MAX 1024
#define ENTRY_WAIT_MAX_BYTES ((size_t)16 << 20)
/* Statements of one service that waited and are unanswered at a time. */
#define ENTRY_WAIT_WINDOW 8
/* Time from the end of a lease until the next owner runs statements: its claim
   and the grants take a heartbeat each, and it looks for the primary. */
#define TAKEOVER_US (500 * USEC_PER_MSEC)
/* A statement counts as the repeat of a refused one if it comes this much
   before, or after, the time that its caller was told. */
#define RETRY_EARLY_US (20 * USEC_PER_MSEC)
#define RETRY_LATE_US (100 * USEC_PER_MSEC)
/* Error text of a statement that is refused because the daemon ends. */
#define ENDING_TEXT "the daemon ends"
/* Maximum time that START waits for the first configuration of a process.  A
   refusal would cost the caller one of its few attempts. */
#define FIRST_CONFIG_WAIT_US (300 * USEC_PER_MSEC)
/* A configuration that may be out of date is used for this time; a new one
   reaches all members sooner.  Meanwhile, a database or key that it does not
   contain gets OUTCOME_BUSY instead of a denial; afterwards, every database
   does. */
#define UNCERTAIN_CONFIG_US (1 * USEC_PER_SEC)
/* Retry time in the answer to a statement that gets OUTCOME_BUSY for this
   reason. */
#define UNCERTAIN_CONFIG_RETRY_MS 500
/* The owner enforces the time-out of a statement; the session waits this much
   longer for the answer to arrive. */
#define TIMEOUT_MARGIN_US (120 * USEC_PER_MSEC)
/* Period of the checks of statements that were sent or wait for an owner. */
#define TICK_US (50 * USEC_PER_MSEC)
/* Maximum number of lines that a caller may send before its running statement
   is answered. */
#define MAX_QUEUED_LINES 64
/* Bytes that a statement may gain on its way to an endpoint: AFTER with a
   position, and the name of a prepared statement. */
#define MAX_ADDED_BYTES 80
/* Period of the checks of messages that have begun. */
#define SWEEP_US (1 * USEC_PER_SEC)
/* Initial size of the table of sessions; it grows by doubling. */
#define INITIAL_SLOTS 64
/* The low bits of a session number are its slot in the table, the high bits
   count the uses of the slot, so that a number is never used again. */
#define SLOT_BITS 20
#define SLOT_MASK ((UINT64_C (1) << SLOT_BITS) - 1)

/** A statement that was or will be sent to the owner of its service. */
struct forwarded_statement
{
  struct forwarded_statement *next;
  struct caller *caller;
  struct packet message;
  struct statement statement; /**< Statement as the caller sent it. */
  uint64_t member;            /**< Receiver; 0: it waits for an owner. */
  uint64_t incarnation;       /**< Incarnation of the receiver. */
  int64_t arrived_at;
  bool is_begin; /**< BEGIN, which has been answered to the caller already. */
  bool needs_owner;            /**< A reader could not run it. */
  struct entry_wait_item wait; /**< Used while it waits for an owner. */
  bool is_paced; /**< It has waited and takes a place in the window. */
};

/** A line from the caller that waits for the running statement. */
struct queued_line
{
  struct queued_line *next;
  struct bstr line;
};

/** A caller's connection and its session. */
struct caller
{
  struct callers *callers;
  struct stream *stream;
  uint64_t number;   /**< Session number, unique in this process. */
  uint64_t sequence; /**< Number of the newest statement sent to an owner. */
  /** Number of the session's newest transaction; 0: there was none. */
  uint64_t transaction;
  struct session *session;
  bool is_started; /**< The caller's database and key were accepted. */
  /** Until when START waits for the first configuration; 0: it does not
   * wait. */
  int64_t start_until;
  struct bstr database;
  struct bstr key;
  struct route route; /**< Copy that stays valid during a transaction. */
  struct bstr organisation;
  uint64_t organisation_id; /**< 0: the caller has no valid key. */
  /** When the caller of a refused statement was told to come back; 0: none was
   * refused since one was served. */
  int64_t retry_at;
  /** Statements without a result: at most one whose answer the caller waits
   * for, and before it the BEGIN of its transaction. */
  struct forwarded_statement *forwarded;
  struct queued_line *queued_lines;
  /** Member that runs the open or newest transaction; 0: its BEGIN waits for
   * an owner, or there was none yet. */
  uint64_t transaction_member;
  uint64_t transaction_incarnation;
  /** Outcome of a BEGIN that failed at the owner; OUTCOME_OK: none failed. */
  enum outcome begin_outcome;
  int begin_retry_ms;
  struct bstr begin_text;
  struct memory_client memory; /**< Bytes held for the caller. */
  bool is_paused;              /**< The stream is paused. */
  bool is_over;                /**< It holds more than a session may. */
  /** Since when the caller has sent a part of a message, as the checks have
   * seen it; 0: it was not seen. */
  int64_t half_since;
};

/** All sessions of callers at this session daemon. */
struct callers
{
  struct sessiond *sessiond;
  struct stream_server *server;
  struct caller **slots;
  uint64_t *generations; /**< How often each slot was used. */
  unsigned slot_count;
  int session_count;
  /** Statements that wait for an owner; NULL: without the setting
   * entry_wait. */
  struct entry_wait *waiting;
  bool is_ending;                  /**< callers_end_all was called. */
  struct tevent_immediate *relief; /**< Closes callers that hold too much. */
  bool relief_is_due;
};

static void schedule_relief (struct callers *f);
static void handle_line (struct caller *c, struct bstr line);

static struct caller *
find_caller (const struct callers *f, uint64_t number)
{
  uint64_t slot = number & SLOT_MASK;
  struct caller *c = slot < f->slot_count ? f->slots[slot] : NULL;
  return c != NULL && c->number == number ? c : NULL;
}

static void
count_result (struct caller *c, const struct forwarded_statement *w,
              enum outcome outcome)
{
  struct stats *stats = c->callers->sessiond->stats;
  char labels[400];
  snprintf (labels, sizeof labels,
            "organisation=\"%s\",database=\"%s\",outcome=\"%s\"",
            LOG_TEXT (bstr_cut (c->organisation, OPTION_MAX_NAME)),
            LOG_TEXT (bstr_cut (c->database, OPTION_MAX_NAME)),
            wire_outcome_name (outcome));
  ++*stats_counter (stats, "azurewind_statements_total", labels);
  snprintf (labels, sizeof labels, "database=\"%s\"",
            LOG_TEXT (bstr_cut (c->database, OPTION_MAX_NAME)));
  histogram_add (stats_histogram (stats, "azurewind_statement_us", labels),
                 (uint64_t)(clock_now () - w->arrived_at));
}

/* Memory of callers. */

/* Record the bytes that a caller holds.  A caller that holds too much is
   closed from the event loop, as its state is in use here. */
static void
record_memory (struct caller *c, enum memory_use use, size_t bytes)
{
  struct callers *f = c->callers;
  switch (memory_client_set (f->sessiond->memory, &c->memory, use, bytes))
    {
    case MEMORY_CLIENT_OVER:
      c->is_over = true;
      schedule_relief (f);
      break;
    case MEMORY_TOTAL_OVER:
      schedule_relief (f);
      break;
    default:
      break;
    }
}

/* Pause or resume reading from the caller. */
static void
update_reading (struct caller *c)
{
  bool may_read
      = memory_client_may_read (c->callers->sessiond->memory, &c->memory);
  if (c->stream == NULL || may_read != c->is_paused)
    return;
  c->is_paused = !may_read;
  c->half_since = 0;
  if (c->is_paused)
    stream_pause (c->stream);
  else
    stream_resume (c->stream);
}

/* @return the bytes that a statement holds here until it is answered. */
static size_t
statement_bytes (const struct forwarded_statement *w)
{
  const struct packet_statement *s = &w->message.statement;
  return s->text.len + s->shape.len + s->arguments.len;
}

/* Answers to the caller. */

/* Send what was written, and free it. */
static void
send_lines (struct caller *c, struct buffer *out)
{
  stream_send (c->stream, buffer_bytes (out));
  buffer_clear (out);
}

static void
answer_complete (struct caller *c)
{
  struct buffer out = { .parent = c };
  wire_add_complete (&out, bstr_from ("-"));
  wire_add_ready (&out, c->session->state, (struct position){ 0, 0 });
  send_lines (c, &out);
}

static void
answer_error_bytes (struct caller *c, enum outcome outcome, struct bstr text,
                    int retry_ms)
{
  struct buffer out = { .parent = c }, reason = { .parent = c };
  buffer_add (&reason, text);
  if (retry_ms > 0)
    buffer_add_format (&reason, "; retry-after-ms=%d", retry_ms);
  wire_add_error (&out, outcome, buffer_bytes (&reason));
  wire_add_ready (&out, c->session->state, (struct position){ 0, 0 });
  send_lines (c, &out);
  buffer_clear (&reason);
}

static void
answer_error (struct caller *c, enum outcome outcome, const char *text,
              int retry_ms)
{
  answer_error_bytes (c, outcome, bstr_from (text), retry_ms);
}

static void
answer_result (struct caller *c, const struct packet_result *r)
{
  struct buffer out = { .parent = c };
  for (int i = 0; i < r->row_count; i++)
    wire_add_row (&out, r->rows[i]);
  wire_add_complete (&out, r->signature);
  wire_add_ready (&out, c->session->state, r->position);
  send_lines (c, &out);
}

/* Statements that are sent to owners. */

static void
remove_statement (struct forwarded_statement *w)
{
  struct forwarded_statement **at = &w->caller->forwarded;
  while (*at != w)
    at = &(*at)->next;
  *at = w->next;
  record_memory (w->caller, MEMORY_RUNNING,
                 w->caller->memory.bytes[MEMORY_RUNNING]
                     - statement_bytes (w));
  talloc_free (w);
}

/* A statement that waited was answered or will not be: another one may be sent
   in its place. */
static void
leave_window (struct forwarded_statement *w)
{
  if (w->is_paced)
    entry_wait_done (w->caller->callers->waiting, w->wait.service);
  w->is_paced = false;
}

static int
forwarded_destructor (struct forwarded_statement *w)
{
  if (w->wait.is_waiting)
    entry_wait_remove (w->caller->callers->waiting, &w->wait);
  leave_window (w);
  return 0;
}

/* @return whether a statement of the caller has not been answered. */
static bool
has_unanswered_statement (const struct caller *c)
{
  for (const struct forwarded_statement *w = c->forwarded; w != NULL;
       w = w->next)
    if (!w->is_begin)
      return true;
  return false;
}

static void
handle_queued_lines (struct caller *c)
{
  struct callers *f = c->callers;
  uint64_t number = c->number;
  while (c->queued_lines != NULL && !has_unanswered_statement (c)
         && c->memory.bytes[MEMORY_UNSENT] < CALLER_PAUSE_BYTES)
    {
      struct queued_line *q = c->queued_lines;
      c->queued_lines = q->next;
      record_memory (c, MEMORY_QUEUED,
                     c->memory.bytes[MEMORY_QUEUED] - q->line.len);
      handle_line (c, q->line);
      /* The line may have ended the session. */
      if (find_caller (f, number) != c)
        return;
      talloc_free (q);
    }
  update_reading (c);
}

/* Keep the error of a BEGIN that was answered already. */
static void
set_begin_error (struct caller *c, enum outcome outcome, struct bstr text,
                 int retry_ms)
{
  c->begin_outcome = outcome;
  c->begin_retry_ms = retry_ms;
  struct bstr old = c->begin_text;
  c->begin_text = bstr_copy (c, text);
  talloc_free ((char *)old.start);
}

/* Stop waiting for the result of the open transaction's BEGIN, as a later
   statement of the transaction has one: the owner has opened the transaction,
   or never will.  What becomes of that BEGIN from now on, such as its
   time-out, says nothing about later statements of the session. */
static void
drop_unanswered_begin (struct caller *c)
{
  struct forwarded_statement *w = c->forwarded;
  if (w == NULL || !w->is_begin)
    return;
  sessiond_log_request (PART,
                        "event=begin_dropped id=%s database=%s"
                        " waited_us=%" PRId64 " sent=%d"
                        " reason=\"a later statement has a result\"",
                        LOG_TEXT (w->message.statement.id),
                        LOG_TEXT (c->database), clock_now () - w->arrived_at,
                        w->member != 0);
  remove_statement (w);
}

/* Record the result of a statement, and remove it. */
static void
end_statement (struct forwarded_statement *w, enum outcome outcome,
               struct position position)
{
  struct caller *c = w->caller;
  count_result (c, w, outcome);
  session_record_result (c->session, &w->statement, outcome, position);
  if (w->message.statement.in_transaction)
    drop_unanswered_begin (c);
  remove_statement (w);
}

/* Answer a statement with an error, and remove it.  A failed BEGIN was
   answered already: its error is kept for the next statement of the
   transaction. */
static void
fail_statement_bytes (struct forwarded_statement *w, enum outcome outcome,
                      struct bstr text, int retry_ms)
{
  struct caller *c = w->caller;
  sessiond_log_request (
      PART,
      "event=refused id=%s database=%s outcome=%s waited_us=%" PRId64
      " sent=%d retry_ms=%d reason=\"%s\"",
      LOG_TEXT (w->message.statement.id), LOG_TEXT (c->database),
      wire_outcome_name (outcome), clock_now () - w->arrived_at,
      w->member != 0, retry_ms, LOG_TEXT (text));
  if (outcome == OUTCOME_BUSY && retry_ms > 0 && w->member != 0)
    c->retry_at = clock_now () + retry_ms * USEC_PER_MSEC;
  if (w->is_begin)
    {
      set_begin_error (c, outcome, text, retry_ms);
      remove_statement (w);
      /* The statement that follows BEGIN cannot run either. */
      if (c->forwarded != NULL)
        fail_statement_bytes (c->forwarded, outcome, c->begin_text, retry_ms);
      return;
    }
  end_statement (w, outcome, (struct position){ 0, 0 });
  answer_error_bytes (c, outcome, text, retry_ms);
  handle_queued_lines (c);
}

static void
fail_statement (struct forwarded_statement *w, enum outcome outcome,
                const char *text, int retry_ms)
{
  fail_statement_bytes (w, outcome, bstr_from (text), retry_ms);
}

/* @return whether a reader may run the statement: a read outside of
   transactions that may miss the newest commits. */
static bool
suits_reader (const struct forwarded_statement *w)
{
  const struct packet_statement *s = &w->message.statement;
  return s->is_read && !s->in_transaction && !w->is_begin && !w->needs_owner
         && s->kind != ROUTE_PRIMARY && s->stale_ms > 0;
}

/* @return whether a statement of the transaction was sent behind its BEGIN.
   The transaction then runs at the receiver of both or nowhere, and the BEGIN
   is not sent again: the receiver may have run the statement, and may have
   ended the transaction since. */
static bool
has_sent_statement (const struct forwarded_statement *begin)
{
  return begin->next != NULL && begin->next->member != 0;
}

/* Wait for the results of a BEGIN and the statement behind it again, as their
   receiver, which was silent, is heard.
   @return false if it is not heard. */
static bool
resume_transaction (struct forwarded_statement *begin)
{
  struct caller *c = begin->caller;
  if (fleet_live_incarnation (c->callers->sessiond->fleet,
                              c->transaction_member)
      != c->transaction_incarnation)
    return false;
  begin->member = c->transaction_member;
  begin->incarnation = c->transaction_incarnation;
  return true;
}

/* Send the statement to the owner of its service or to a reader, or within a
   transaction to the member that runs the transaction.
   @return false if that member is not known or not alive. */
static bool
send_to_owner (struct forwarded_statement *w)
{
  struct caller *c = w->caller;
  if (w->is_begin && has_sent_statement (w))
    return resume_transaction (w);
  struct fleet *fleet = c->callers->sessiond->fleet;
  uint64_t member = w->message.statement.in_transaction
                        ? c->transaction_member
                        : fleet_owner (fleet, model_id (c->route.service));
  uint64_t reader = suits_reader (w)
                        ? fleet_reader (fleet, model_id (c->route.service))
                        : 0;
  w->message.statement.for_reader = reader != 0;
  if (reader != 0)
    member = reader;
  uint64_t incarnation
      = member != 0 ? fleet_live_incarnation (fleet, member) : 0;
  if (incarnation == 0)
    return false;
  w->message.statement.sequence = ++c->sequence;
  /* The caller may have set other values since BEGIN was answered. */
  if (w->message.statement.has_values)
    {
      w->message.statement.values = c->session->values;
      w->message.statement.value_count = c->session->value_count;
    }
  if (!fleet_send (fleet, member, &w->message))
    return false;
  w->member = member;
  w->incarnation = incarnation;
  if (w->is_begin)
    {
      c->transaction_member = member;
      c->transaction_incarnation = incarnation;
    }
  return true;
}

/* Statements that wait for an owner. */

/* Refuse a statement, and say when an owner is expected. */
static void
refuse_without_owner (struct forwarded_statement *w, int64_t retry_us)
{
  ++*stats_counter (w->caller->callers->sessiond->stats,
                    "azurewind_entry_wait_total", "outcome=\"refused\"");
  fail_statement (w, OUTCOME_BUSY, "the service has no owner",
                  (int)((retry_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC));
}

/* Have a statement that could not be sent wait for an owner, or refuse it if
   none is expected in time. */
static void
hold_statement (struct forwarded_statement *w, int64_t now)
{
  struct caller *c = w->caller;
  struct callers *f = c->callers;
  const struct packet_statement *s = &w->message.statement;
  struct entry_wait_item *displaced = NULL;
  int64_t retry_us = 0;
  if (f->waiting == NULL || w->wait.is_waiting || w->member != 0
      || c->forwarded != w || s->in_transaction)
    return;
  leave_window (w);
  w->wait = (struct entry_wait_item){
    .service = model_id (c->route.service),
    .priority = s->priority,
    .arrived_at = w->arrived_at,
    .latest = w->arrived_at + s->timeout_ms * USEC_PER_MSEC * 3 / 4,
    .bytes = s->text.len + s->shape.len + s->arguments.len,
    .statement = w,
  };
  entry_wait_lost (f->waiting, w->wait.service,
                   fleet_lease_end (f->sessiond->fleet, w->wait.service), now);
  if (!entry_wait_add (f->waiting, &w->wait, now, &displaced, &retry_us))
    {
      refuse_without_owner (w, retry_us);
      return;
    }
  ++*stats_counter (f->sessiond->stats, "azurewind_entry_wait_total",
                    "outcome=\"waited\"");
  sessiond_log_request (PART,
                        "event=owner_awaited id=%s database=%s priority=%d"
                        " expected_ms=%" PRId64 " waiting=%d",
                        LOG_TEXT (s->id), LOG_TEXT (c->database), s->priority,
                        retry_us / USEC_PER_MSEC,
                        entry_wait_count (f->waiting));
  if (displaced != NULL)
    refuse_without_owner (displaced->statement, retry_us);
}

/* Send a statement that has waited, and the one that follows it if it is a
   BEGIN. */
static void
send_held_statement (struct forwarded_statement *w, int64_t now)
{
  w->is_paced = true;
  if (!send_to_owner (w))
    {
      hold_statement (w, now);
      return;
    }
  if (w->is_begin && w->next != NULL && w->next->member == 0)
    send_to_owner (w->next);
}

/* Send the statements of a service that wait, as far as its owner keeps up. */
static void
release_held_statements (struct callers *f, uint64_t service, int64_t now)
{
  struct fleet *fleet = f->sessiond->fleet;
  uint64_t owner = fleet_owner (fleet, service);
  struct entry_wait_item *item;
  if (owner == 0 || fleet_live_incarnation (fleet, owner) == 0)
    {
      entry_wait_lost (f->waiting, service, fleet_lease_end (fleet, service),
                       now);
      return;
    }
  entry_wait_found (f->waiting, service);
  /* A statement that cannot be sent marks the service as lost again. */
  while ((item = entry_wait_take (f->waiting, service)) != NULL)
    send_held_statement (item->statement, now);
}

/* Send or refuse the statements that wait for owners. */
static void
check_held_statements (struct callers *f, int64_t now)
{
  const struct config *config = f->sessiond->config;
  struct entry_wait_item *item;
  int64_t retry_us = 0;
  if (f->waiting == NULL || config == NULL
      || entry_wait_count (f->waiting) == 0)
    return;
  for (int i = 0; i < config->service_count; i++)
    release_held_statements (f, config->services[i].id, now);
  while ((item = entry_wait_expire (f->waiting, now, &retry_us)) != NULL)
    refuse_without_owner (item->statement, retry_us);
}

static bool
is_commit_of_writes (const struct forwarded_statement *w)
{
  return w->statement.verb == VERB_COMMIT && w->caller->session->has_written;
}

/* Fail a statement that may have run. */
static void
fail_unknown (struct forwarded_statement *w, const char *reason)
{
  const struct packet_statement *s = &w->message.statement;
  if (s->in_transaction || w->is_begin)
    fail_statement (
        w, is_commit_of_writes (w) ? OUTCOME_UNKNOWN : OUTCOME_ABORTED, reason,
        0);
  else
    fail_statement (w, s->is_read ? OUTCOME_FAILED : OUTCOME_UNKNOWN, reason,
                    0);
}

/* Handle a statement that the owner will no longer answer: send it again if
   that is safe, else fail it. */
static void
handle_lost_owner (struct forwarded_statement *w, const char *reason,
                   bool may_resend)
{
  const struct packet_statement *s = &w->message.statement;
  bool is_read = s->is_read && !s->in_transaction;
  if (may_resend && (is_read || (w->is_begin && !has_sent_statement (w))))
    w->member = 0;
  else
    fail_unknown (w, reason);
}

/* @return whether the receiver of a BEGIN and the statement behind it has
   ended the transaction: it was restarted, or another member owns the
   service. */
static bool
receiver_has_ended_transaction (const struct forwarded_statement *begin)
{
  const struct caller *c = begin->caller;
  struct fleet *fleet = c->callers->sessiond->fleet;
  uint64_t owner
      = fleet_owner (fleet, model_id (begin->message.statement.service));
  uint64_t incarnation = fleet_live_incarnation (fleet, c->transaction_member);
  return incarnation != c->transaction_incarnation
         && (incarnation != 0
             || (owner != 0 && owner != c->transaction_member));
}

/* Send a statement that waits for an owner, or fail one that has timed out or
   whose owner is gone. */
static void
check_statement (struct forwarded_statement *w, int64_t now)
{
  struct caller *c = w->caller;
  struct fleet *fleet = c->callers->sessiond->fleet;
  int64_t limit = w->message.statement.timeout_ms * USEC_PER_MSEC;
  if (w->member != 0)
    {
      if (fleet_live_incarnation (fleet, w->member) != w->incarnation)
        handle_lost_owner (w, "the owner of the service is gone", true);
      else if (now - w->arrived_at > limit + TIMEOUT_MARGIN_US)
        handle_lost_owner (w, "no answer from the owner of the service",
                           false);
      return;
    }
  if (w->is_begin && has_sent_statement (w)
      && receiver_has_ended_transaction (w))
    {
      fail_unknown (w, "the owner of the service is gone");
      return;
    }
  if (w->wait.is_waiting || send_to_owner (w))
    return;
  if (c->callers->waiting != NULL && !w->message.statement.in_transaction)
    hold_statement (w, now);
  else if (now - w->arrived_at > OWNER_WAIT_US)
    fail_statement (w, OUTCOME_BUSY, "the service has no owner",
                    NO_OWNER_RETRY_MS);
}

void
callers_owners_changed (struct callers *f)
{
  int64_t now = clock_now ();
  for (unsigned i = 0; i < f->slot_count; i++)
    {
      struct caller *c = f->slots[i];
      /* A statement that fails may remove others of the session, or the
         session itself. */
      if (c != NULL && c->forwarded != NULL)
        {
          struct forwarded_statement *second = c->forwarded->next;
          check_statement (c->forwarded, now);
          if (f->slots[i] == c && second != NULL && c->forwarded == second)
            check_statement (second, now);
        }
    }
  check_held_statements (f, now);
}

/* @return whether the caller was refused and comes back when it was told.  A
   session whose caller has given up sends other statements later. */
static bool
comes_back (const struct caller *c, int64_t now)
{
  return c->retry_at != 0 && now >= c->retry_at - RETRY_EARLY_US
         && now <= c->retry_at + RETRY_LATE_US;
}

/* Queue a statement for the owner, and send it unless it has to wait. */
static void
forward_statement (struct caller *c, const struct statement *statement,
                   struct bstr id, const struct session_step *step)
{
  struct forwarded_statement *w = talloc_zero (c, struct forwarded_statement);
  struct forwarded_statement **at = &c->forwarded;
  const struct config *config = c->callers->sessiond->config;
  w->caller = c;
  talloc_set_destructor (w, forwarded_destructor);
  w->arrived_at = clock_now ();
  w->is_begin = step->action == SESSION_OPEN;
  w->statement = *statement;
  w->message.kind = PACKET_STATEMENT;
  w->message.statement = (struct packet_statement){
    .session = c->number,
    .transaction = c->transaction,
    .service = c->route.service,
    .organisation = c->organisation,
    .organisation_id = c->organisation_id,
    .kind = c->route.kind,
    .timeout_ms = c->route.timeout_ms,
    .target_ms = c->route.target_ms,
    .priority = c->route.priority,
    .stale_ms = c->route.stale_ms,
    .idle_transaction_ms = config != NULL ? config->idle_transaction_ms : 0,
    .verb = statement->verb,
    .is_read = step->is_read,
    .is_repeat = comes_back (c, w->arrived_at),
    .in_transaction
    = c->session->state == SESSION_IN_TRANSACTION && !w->is_begin,
    .id = bstr_copy (w, id),
    .text = bstr_copy (w, statement->text),
    .shape = { "", 0 },
    .arguments = { "", 0 },
    .own = c->session->own,
  };
  struct packet_statement *s = &w->message.statement;
  if (step->prepared != NULL)
    {
      s->shape = bstr_copy (w, step->prepared->shape);
      s->arguments = bstr_copy (w, statement->rest);
      s->text = (struct bstr){ "", 0 };
    }
  if (!s->in_transaction || c->session->values_changed)
    {
      s->has_values = true;
      c->session->values_changed = false;
    }
  while (*at != NULL)
    at = &(*at)->next;
  *at = w;
  record_memory (c, MEMORY_RUNNING,
                 c->memory.bytes[MEMORY_RUNNING] + statement_bytes (w));
  /* The statement follows a BEGIN that still waits for an owner. */
  if (c->forwarded != w && c->forwarded->member == 0)
    return;
  if (!send_to_owner (w))
    hold_statement (w, w->arrived_at);
}

/* Requests of the caller. */

/* Check the caller's database and key against the configuration, and update
   its route and organisation.
   @return OUTCOME_OK, or the reason why it may not use its database now. */
static enum outcome
check_access (struct caller *c)
{
  const struct config *config = c->callers->sessiond->config;
  const struct route *route
      = config != NULL ? config_find_route (config, c->database) : NULL;
  const struct organisation *organisation
      = config != NULL ? config_find_organisation (config, c->key) : NULL;
  if (config == NULL)
    return OUTCOME_BUSY;
  int64_t uncertain_us
      = directory_config_uncertain_us (c->callers->sessiond->directory);
  bool is_unknown
      = route == NULL || (organisation == NULL && !route->is_public);
  if (uncertain_us > UNCERTAIN_CONFIG_US || (uncertain_us > 0 && is_unknown))
    return OUTCOME_BUSY;
  if (route == NULL)
    return OUTCOME_NO_ROUTE;
  if (organisation == NULL && !route->is_public)
    return OUTCOME_NO_KEY;
  struct bstr name
      = organisation != NULL ? organisation->name : bstr_from ("public");
  if (!bstr_equals (name, c->organisation))
    c->organisation = bstr_copy (c, name);
  c->organisation_id = organisation != NULL ? organisation->id : 0;
  struct bstr service = c->route.service;
  if (!bstr_equals (route->service, service))
    service = bstr_copy (c, route->service);
  c->route = *route;
  c->route.service = service;
  c->route.database = c->database;
  return OUTCOME_OK;
}

static const char *
access_error_text (enum outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_NO_ROUTE:
      return "no such database";
    case OUTCOME_NO_KEY:
      return "unknown key";
    default:
      return "the configuration may be old";
    }
}

/* Close the caller's connection, abandon its open transaction and free its
   state. */
static void
end_caller (struct caller *c)
{
  struct callers *f = c->callers;
  if (c->session != NULL && c->session->state == SESSION_IN_TRANSACTION
      && c->transaction_member != 0)
    {
      struct packet m = { .kind = PACKET_ABANDON, .session = c->number };
      fleet_send (f->sessiond->fleet, c->transaction_member, &m);
    }
  f->slots[c->number & SLOT_MASK] = NULL;
  f->session_count--;
  memory_client_remove (f->sessiond->memory, &c->memory);
  if (c->stream != NULL)
    stream_close (c->stream);
  talloc_free (c);
}

/* Answer START: accept the caller, or refuse it and end it. */
static void
answer_start (struct caller *c)
{
  struct buffer out = { .parent = c };
  enum outcome outcome = check_access (c);
  c->start_until = 0;
  if (outcome != OUTCOME_OK)
    {
      sessiond_log_request (
          PART, "event=session_refused database=%s outcome=%s",
          LOG_TEXT (c->database), wire_outcome_name (outcome));
      wire_add_error (&out, outcome, bstr_from (access_error_text (outcome)));
      send_lines (c, &out);
      end_caller (c);
      return;
    }
  c->is_started = true;
  wire_add_ready (&out, SESSION_IDLE, (struct position){ 0, 0 });
  send_lines (c, &out);
}

static void
start_session (struct caller *c, const struct wire_request *request)
{
  c->database = bstr_copy (c, request->database);
  c->key = bstr_copy (c, request->key);
  if (c->callers->sessiond->config == NULL)
    c->start_until = clock_now () + FIRST_CONFIG_WAIT_US;
  else
    answer_start (c);
}

/* Answer a START that waits, once the configuration is known or the wait is
   over, and handle the lines that followed it. */
static void
check_start (struct caller *c, int64_t now)
{
  struct callers *f = c->callers;
  uint64_t number = c->number;
  if (c->start_until == 0
      || (f->sessiond->config == NULL && now < c->start_until))
    return;
  answer_start (c);
  if (find_caller (f, number) == c)
    handle_queued_lines (c);
}

/* Answer the next statement after a BEGIN that was answered at once but has
   failed at the owner since. */
static void
answer_failed_begin (struct caller *c, const struct statement *statement)
{
  enum outcome outcome = c->begin_outcome;
  c->begin_outcome = OUTCOME_OK;
  session_record_result (c->session, statement,
                         statement->verb == VERB_ROLLBACK ? OUTCOME_OK
                                                          : outcome,
                         (struct position){ 0, 0 });
  if (statement->verb == VERB_ROLLBACK)
    answer_complete (c);
  else
    answer_error_bytes (c, outcome, c->begin_text, c->begin_retry_ms);
}

/* Refuse a statement that the daemon cannot run before it ends. */
static void
refuse_at_end (struct caller *c, const struct statement *statement)
{
  if (c->session->state != SESSION_IN_TRANSACTION)
    {
      answer_error (c, OUTCOME_BUSY, ENDING_TEXT, NO_OWNER_RETRY_MS);
      return;
    }
  set_begin_error (c, OUTCOME_ABORTED, bstr_from (ENDING_TEXT), 0);
  answer_failed_begin (c, statement);
}

/* @return whether the session daemon answers the statement without an
   endpoint. */
static bool
is_answered_locally (enum statement_verb verb)
{
  return verb == VERB_SET || verb == VERB_PREPARE || verb == VERB_DEALLOCATE;
}

static void
handle_statement (struct caller *c, const struct wire_request *request)
{
  const struct statement *statement = &request->statement;
  if (c->callers->is_ending && c->session->state != SESSION_FAILED
      && !is_answered_locally (statement->verb))
    {
      refuse_at_end (c, statement);
      return;
    }
  /* A key may have been revoked since the session started. */
  bool needs_access_check = c->session->state == SESSION_IDLE
                            && !is_answered_locally (statement->verb);
  if (needs_access_check)
    {
      enum outcome outcome = check_access (c);
      if (outcome != OUTCOME_OK)
        {
          sessiond_log_request (PART,
                                "event=refused id=%s database=%s outcome=%s",
                                LOG_TEXT (request->id), LOG_TEXT (c->database),
                                wire_outcome_name (outcome));
          answer_error (c, outcome, access_error_text (outcome),
                        outcome == OUTCOME_BUSY ? UNCERTAIN_CONFIG_RETRY_MS
                                                : 0);
          return;
        }
      c->begin_outcome = OUTCOME_OK;
    }
  if (c->session->state == SESSION_IN_TRANSACTION
      && c->begin_outcome != OUTCOME_OK
      && !is_answered_locally (statement->verb))
    {
      answer_failed_begin (c, statement);
      return;
    }
  struct session_step step = session_decide (c->session, statement);
  switch (step.action)
    {
    case SESSION_ANSWER:
      record_memory (c, MEMORY_KEPT, c->session->bytes);
      answer_complete (c);
      break;
    case SESSION_REFUSE:
      answer_error (c, step.outcome, "not possible in this state", 0);
      break;
    case SESSION_OPEN:
      c->transaction++;
      c->transaction_member = 0;
      forward_statement (c, statement, request->id, &step);
      answer_complete (c);
      break;
    default:
      forward_statement (c, statement, request->id, &step);
      break;
    }
}

/* @return whether the line would be longer than a message may be on its way to
   an endpoint. */
static bool
is_too_long (const struct wire_request *request, struct bstr line)
{
  switch (request->statement.verb)
    {
    case VERB_READ:
    case VERB_PREPARE:
    case VERB_EXECUTE:
      return line.len + MAX_ADDED_BYTES > STREAM_MAX_LINE;
    default:
      return false;
    }
}

static void
handle_line (struct caller *c, struct bstr line)
{
  struct wire_request request = wire_parse_request (line);
  if (request.kind == WIRE_QUERY && is_too_long (&request, line))
    request.kind = WIRE_MALFORMED;
  if (request.kind == WIRE_RELEASE)
    end_caller (c);
  else if (request.kind == WIRE_START && !c->is_started)
    start_session (c, &request);
  else if (request.kind == WIRE_QUERY && c->is_started)
    handle_statement (c, &request);
  else if (c->is_started)
    answer_error (c, OUTCOME_MALFORMED, "not understood", 0);
  else
    {
      struct buffer out = { .parent = c };
      wire_add_error (&out, OUTCOME_MALFORMED, bstr_from ("not understood"));
      send_lines (c, &out);
      end_caller (c);
    }
}

static void
on_line (void *data, struct bstr line)
{
  struct caller *c = data;
  c->half_since = 0;
  if (c->start_until == 0 && !has_unanswered_statement (c)
      && c->queued_lines == NULL
      && c->memory.bytes[MEMORY_UNSENT] < CALLER_PAUSE_BYTES)
    {
      handle_line (c, line);
      return;
    }
  struct queued_line **at = &c->queued_lines;
  int count = 0;
  for (; *at != NULL; at = &(*at)->next)
    count++;
  if (count >= MAX_QUEUED_LINES)
    {
      end_caller (c);
      return;
    }
  struct queued_line *q = talloc_zero (c, struct queued_line);
  q->line = bstr_copy (q, line);
  *at = q;
  record_memory (c, MEMORY_QUEUED, c->memory.bytes[MEMORY_QUEUED] + line.len);
  update_reading (c);
}

static void
on_held (void *data, size_t received, size_t unsent)
{
  struct caller *c = data;
  bool were_taken = unsent < c->memory.bytes[MEMORY_UNSENT];
  record_memory (c, MEMORY_RECEIVED, received);
  record_memory (c, MEMORY_UNSENT, unsent);
  if (c->start_until == 0 && were_taken && c->queued_lines != NULL)
    handle_queued_lines (c);
  else
    update_reading (c);
}

/* Close a caller that misbehaves, without waiting for it to take answers. */
static void
close_offender (struct caller *c, const char *reason)
{
  char labels[40];
  snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  ++*stats_counter (c->callers->sessiond->stats,
                    "azurewind_callers_closed_total", labels);
  sessiond_log_request (
      PART,
      "event=caller_closed reason=%s bytes=%zu received=%zu queued=%zu "
      "running=%zu kept=%zu unsent=%zu total=%zu database=%s organisation=%s",
      reason, c->memory.total, c->memory.bytes[MEMORY_RECEIVED],
      c->memory.bytes[MEMORY_QUEUED], c->memory.bytes[MEMORY_RUNNING],
      c->memory.bytes[MEMORY_KEPT], c->memory.bytes[MEMORY_UNSENT],
      memory_account_total (c->callers->sessiond->memory),
      LOG_TEXT (c->database), LOG_TEXT (c->organisation));
  if (c->stream != NULL)
    stream_abort (c->stream);
  c->stream = NULL;
  end_caller (c);
}

/* Close the callers that hold more than a session may, then those that hold
   most until the others have room. */
static void
on_relief (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  (void)ev, (void)im;
  struct callers *f = data;
  struct memory_client *worst;
  f->relief_is_due = false;
  for (unsigned i = 0; i < f->slot_count; i++)
    if (f->slots[i] != NULL && f->slots[i]->is_over)
      close_offender (f->slots[i], "session_memory");
  while ((worst = memory_account_worst (f->sessiond->memory)) != NULL)
    close_offender (talloc_get_type_abort (worst->owner, struct caller),
                    "client_memory");
}

static void
schedule_relief (struct callers *f)
{
  if (f->relief_is_due)
    return;
  f->relief_is_due = true;
  tevent_schedule_immediate (f->relief, f->sessiond->ev, on_relief, f);
}

/* Close callers whose message does not go on, and those whose connection has
   failed while it was paused; give freed memory back. */
static void
on_sweep (void *data)
{
  struct callers *f = data;
  int64_t now = clock_now ();
  int64_t limit = f->sessiond->options->half_message_ms * USEC_PER_MSEC;
  for (unsigned i = 0; i < f->slot_count; i++)
    {
      struct caller *c = f->slots[i];
      if (c == NULL || c->memory.total == 0)
        continue;
      if (c->is_paused)
        {
          if (stream_has_failed (c->stream))
            end_caller (c);
        }
      else if (c->memory.bytes[MEMORY_RECEIVED] == 0)
        c->half_since = 0;
      else if (c->half_since == 0)
        c->half_since = now;
      else if (now - c->half_since > limit)
        close_offender (c, "half_message");
    }
  if (memory_account_should_trim (f->sessiond->memory))
    malloc_trim (0);
}

static void
on_closed (void *data, const char *reason)
{
  (void)reason;
  struct caller *c = data;
  c->stream = NULL;
  end_caller (c);
}

static const struct stream_ops caller_ops
    = { .line = on_line, .closed = on_closed, .held = on_held };

static unsigned
find_free_slot (struct callers *f)
{
  for (unsigned i = 0; i < f->slot_count; i++)
    if (f->slots[i] == NULL)
      return i;
  unsigned count = f->slot_count == 0 ? INITIAL_SLOTS : f->slot_count * 2;
  f->slots = talloc_realloc (f, f->slots, struct caller *, count);
  f->generations = talloc_realloc (f, f->generations, uint64_t, count);
  for (unsigned i = f->slot_count; i < count; i++)
    {
      f->slots[i] = NULL;
      f->generations[i] = 0;
    }
  unsigned slot = f->slot_count;
  f->slot_count = count;
  return slot;
}

static void
on_accepted (void *data, int fd)
{
  struct callers *f = data;
  unsigned slot = find_free_slot (f);
  struct caller *c = talloc_zero (f, struct caller);
  c->callers = f;
  c->session = session_create (c);
  c->number = (++f->generations[slot] << SLOT_BITS) | slot;
  c->stream = stream_adopt (
      f, fd,
      &(struct stream_options){ .ev = f->sessiond->ev,
                                .ops = &caller_ops,
                                .data = c,
                                .peer_timeout_ms = CALLER_TIMEOUT_MS });
  f->slots[slot] = c;
  f->session_count++;
  c->memory.owner = c;
  memory_client_add (f->sessiond->memory, &c->memory);
  if (f->session_count > f->sessiond->options->max_sessions)
    {
      log_warn (PART, "event=session_refused reason=\"too many sessions\"");
      end_caller (c);
    }
}

static struct forwarded_statement *
find_statement (struct caller *c, uint64_t sequence)
{
  struct forwarded_statement *w = c->forwarded;
  while (w != NULL
         && (w->member == 0 || w->message.statement.sequence != sequence))
    w = w->next;
  return w;
}

/* The member that got the statement has released the service before it ran it:
   let the statement, or all of its transaction, wait for the next owner.  A
   read that a reader could not run goes to the owner at once. */
static void
wait_for_next_owner (struct forwarded_statement *w)
{
  if (w->message.statement.for_reader)
    {
      w->needs_owner = true;
      w->member = 0;
      if (!send_to_owner (w))
        hold_statement (w, clock_now ());
      return;
    }
  for (struct forwarded_statement *s = w->is_begin ? w->caller->forwarded : w;
       s != NULL; s = s->next)
    s->member = 0;
  if (w->is_begin)
    w->caller->transaction_member = 0;
}

/* @return whether the success of a statement needs a database's signature. */
static bool
needs_signature (enum statement_verb verb)
{
  return verb == VERB_READ || verb == VERB_WRITE || verb == VERB_EXECUTE
         || verb == VERB_COMMIT;
}

void
callers_handle_result (struct callers *f, const struct packet *m)
{
  const struct packet_result *r = &m->result;
  struct caller *c = find_caller (f, r->session);
  struct forwarded_statement *w
      = c != NULL ? find_statement (c, r->sequence) : NULL;
  if (w == NULL || w->member != m->sender.member
      || w->incarnation != m->sender.incarnation)
    return;
  if (r->moved)
    {
      w->message.statement.is_counted |= r->is_counted;
      wait_for_next_owner (w);
      return;
    }
  if (r->outcome != OUTCOME_OK)
    {
      fail_statement_bytes (w, r->outcome, r->text, r->retry_ms);
      return;
    }
  if (w->is_begin)
    {
      c->retry_at = 0;
      remove_statement (w);
      return;
    }
  if (needs_signature (w->statement.verb) && !wire_is_signature (r->signature))
    {
      log_warn (PART,
                "event=unsigned_result id=%s database=%s "
                "owner_incarnation=%" PRIx64 " reader=%d",
                LOG_TEXT (w->message.statement.id), LOG_TEXT (c->database),
                m->sender.incarnation, w->message.statement.for_reader);
      fail_unknown (w, "the result has no signature");
      return;
    }
  c->retry_at = 0;
  end_statement (w, OUTCOME_OK, r->position);
  if (r->signature.len == 0)
    answer_complete (c);
  else
    answer_result (c, r);
  handle_queued_lines (c);
  check_held_statements (f, clock_now ());
}

void
callers_config_known (struct callers *f)
{
  int64_t now = clock_now ();
  for (unsigned i = 0; i < f->slot_count; i++)
    if (f->slots[i] != NULL)
      check_start (f->slots[i], now);
}

static void
on_tick (void *data)
{
  callers_config_known (data);
  callers_owners_changed (data);
}

struct callers *
callers_create (struct sessiond *r, struct error *err)
{
  struct callers *f = talloc_zero (r, struct callers);
  f->sessiond = r;
  f->server = stream_server_create (
      f,
      &(struct stream_server_options){ .ev = r->ev,
                                       .address = r->options->listen,
                                       .accepted = on_accepted,
                                       .data = f },
      err);
  if (f->server == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  if (r->options->entry_wait)
    f->waiting = entry_wait_create (
        f, &(struct entry_wait_options){ .max_waiting = ENTRY_WAIT_MAX,
                                         .max_bytes = ENTRY_WAIT_MAX_BYTES,
                                         .window = ENTRY_WAIT_WINDOW,
                                         .takeover_us = TAKEOVER_US });
  f->relief = tevent_create_immediate (f);
  sessiond_call_every (r, f, TICK_US, on_tick, f);
  sessiond_call_every (r, f, SWEEP_US, on_sweep, f);
  return f;
}

int
callers_count (const struct callers *f)
{
  return f->session_count;
}

static bool
is_idle (const struct caller *c)
{
  return c->forwarded == NULL && c->queued_lines == NULL && c->start_until == 0
         && c->session->state == SESSION_IDLE;
}

int
callers_busy_count (const struct callers *f)
{
  int count = 0;
  for (unsigned i = 0; i < f->slot_count; i++)
    count += f->slots[i] != NULL && !is_idle (f->slots[i]);
  return count;
}

void
callers_close_idle (struct callers *f, int max_count)
{
  for (unsigned i = 0; i < f->slot_count && max_count > 0; i++)
    if (f->slots[i] != NULL && is_idle (f->slots[i]))
      {
        end_caller (f->slots[i]);
        max_count--;
      }
}

/* Refuse what the caller has sent and has no answer to, and end it. */
static void
refuse_and_end (struct caller *c)
{
  struct callers *f = c->callers;
  uint64_t number = c->number;
  if (c->start_until != 0)
    {
      c->start_until = clock_now ();
      check_start (c, c->start_until);
    }
  while (find_caller (f, number) == c && c->forwarded != NULL)
    if (c->forwarded->member != 0)
      handle_lost_owner (c->forwarded, ENDING_TEXT, false);
    else
      fail_statement (c->forwarded, OUTCOME_BUSY, ENDING_TEXT,
                      NO_OWNER_RETRY_MS);
  if (find_caller (f, number) == c)
    end_caller (c);
}

void
callers_end_all (struct callers *f)
{
  f->is_ending = true;
  TALLOC_FREE (f->server);
  for (unsigned i = 0; i < f->slot_count; i++)
    if (f->slots[i] != NULL)
      refuse_and_end (f->slots[i]);
}
