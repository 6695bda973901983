#include "session/link.h"

#include "common/log.h"
#include "net/stream.h"
#include "platform/wire.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>

#define PART "link"

/* A connection whose bytes are not acknowledged for this time is closed. */
#define DEAD_CONNECTION_MS 2500
/* A connection is reset once it has this many prepared statements. */
#define MAX_PREPARED 200
/* Rows of an answer that are allocated at first. */
#define FIRST_ROWS 8
#define SHAPE_DIGEST_BYTES crypto_generichash_BYTES
/* Size of a buffer for the name of a prepared statement. */
#define PREPARED_NAME_SIZE 16
/* Answers that may be outstanding on a connection. */
#define MAX_EXPECTED_ANSWERS 128

/** An outstanding answer. */
struct expected_answer
{
  enum link_task task;
  struct answer_form form;
};

/** A prepared statement of a connection. */
struct prepared
{
  unsigned char digest[SHAPE_DIGEST_BYTES]; /**< Of its mode and shape. */
  unsigned number; /**< Selects its name, unique on the connection. */
};

/** State of a connection. */
struct link
{
  struct link_options options;
  struct stream *stream;
  struct bstr organisation;
  bool started;
  bool setup_failed; /**< Values or prepared statements could not be set. */
  struct session_value *values;
  int value_count;
  struct prepared *prepared;
  int prepared_count;
  unsigned prepared_total; /**< Statements that were ever prepared on it. */
  struct expected_answer expected[MAX_EXPECTED_ANSWERS]; /**< Ring buffer. */
  unsigned first, count; /**< Oldest outstanding answer; number of them. */
  struct answers *answers;
  struct answer_received received; /**< Answer that is being read. */
  struct bstr *rows;               /**< Its rows. */
  int row_space;                   /**< Allocated entries of @c rows. */
  void *answer_memory;             /**< Parent of its texts and rows. */
  struct buffer out;               /**< Request that is being written. */
};

/* Append an answer to the outstanding ones. */
static void
expect_answer (struct link *l, enum link_task task, struct answer_form form)
{
  struct expected_answer *e
      = &l->expected[(l->first + l->count) % MAX_EXPECTED_ANSWERS];
  *e = (struct expected_answer){ .task = task, .form = form };
  l->count++;
}

/* @return the form of an answer without signature and rows. */
static struct answer_form
acknowledgement (enum session_state state)
{
  return (struct answer_form){ .is_replaceable = true,
                               .success_state = state };
}

static enum session_state
state_of (const struct link_request *request)
{
  return request->in_transaction ? SESSION_IN_TRANSACTION : SESSION_IDLE;
}

/* @return the form of the answer to a caller's statement. */
static struct answer_form
statement_form (const struct link_request *request)
{
  struct answer_form form = { .after = request->after };
  switch (request->verb)
    {
    case VERB_BEGIN:
      form.changes_state = true;
      form.success_state = SESSION_IN_TRANSACTION;
      /* A statement behind a BEGIN that was refused would run outside of its
         transaction, and a write would be kept. */
      form.is_replaceable = request->reads_only && !request->is_strict;
      break;
    case VERB_ROLLBACK:
      form.changes_state = true;
      form.is_replaceable = true;
      break;
    case VERB_COMMIT:
      form.is_signed = true;
      form.changes_state = true;
      break;
    default:
      form.is_signed = true;
      form.success_state = state_of (request);
      break;
    }
  return form;
}

static void
send_request (struct link *l)
{
  stream_send (l->stream, buffer_bytes (&l->out));
  buffer_clear (&l->out);
}

/* Report the end of the connection and free the link. */
static void
report_loss (struct link *l, const struct link_loss *loss)
{
  l->options.ops->lost (l->options.data, l, loss);
  talloc_free (l);
}

/* Forget what was read of an answer.
   @return its texts and rows, for the caller to free. */
static void *
take_received (struct link *l)
{
  void *memory = l->answer_memory;
  l->received = (struct answer_received){ .end = ANSWER_BARE };
  l->rows = NULL;
  l->row_space = 0;
  l->answer_memory = talloc_new (l);
  return memory;
}

/* Pass the answer of the oldest outstanding request on. */
static void
finish_answer (struct link *l)
{
  enum link_task task = l->expected[l->first].task;
  const struct answer_received *r = &l->received;
  struct link_answer answer = {
    .task = task,
    .outcome = r->end == ANSWER_ERROR ? r->outcome : OUTCOME_OK,
    .text = r->text,
    .rows = l->rows,
    .row_count = r->row_count,
    .signature = r->signature,
    .state = r->state,
    .position = r->position,
    .is_last = r->end == ANSWER_ERROR && answers_are_unsure (l->answers),
  };
  void *memory = take_received (l);
  l->first = (l->first + 1) % MAX_EXPECTED_ANSWERS;
  l->count--;
  bool is_setup
      = task == LINK_SET || task == LINK_PREPARE || task == LINK_RESET;
  if (task == LINK_START)
    l->started = true;
  if (is_setup && answer.outcome != OUTCOME_OK)
    l->setup_failed = true;
  if (l->setup_failed && !is_setup)
    {
      stream_close (l->stream);
      report_loss (l, &(struct link_loss){
                          .was_connected = true,
                          .reason = "session values could not be set" });
      return;
    }
  talloc_steal (l->options.sessiond, memory);
  if (!is_setup)
    l->options.ops->answered (l->options.data, l, &answer);
  talloc_free (memory);
}

/* Log a line that no answer can have here. */
static void
log_unexpected_line (const struct link *l, const struct wire_reply *reply,
                     size_t length)
{
  static const char *const kinds[]
      = { "row", "complete", "error", "ready", "unknown" };
  sessiond_log_request (PART,
                        "event=unexpected_line service=%s endpoint=%s kind=%s"
                        " bytes=%zu outstanding=%u",
                        l->options.service, l->options.endpoint,
                        kinds[reply->kind], length, l->count);
}

/* Log an answer that is not passed on, and count it. */
static void
log_verdict (const struct link *l, enum answer_verdict verdict)
{
  static const char *const verdicts[] = { "own", "copy", "doubtful", "wrong" };
  static const char *const ends[] = { "ready", "complete", "error" };
  static const char *const tasks[] = { "start",   "reset",     "set",
                                       "prepare", "statement", "rollback",
                                       "status" };
  char labels[32];
  snprintf (labels, sizeof labels, "verdict=\"%s\"", verdicts[verdict]);
  ++*stats_counter (l->options.sessiond->stats,
                    "azurewind_unclear_answers_total", labels);
  sessiond_log_request (
      PART,
      "event=unclear_answer service=%s endpoint=%s verdict=%s end=%s"
      " outcome=%s signed=%d rows=%d state=%d position=%" PRIu64 ".%" PRIu64
      " outstanding=%u oldest=%s",
      l->options.service, l->options.endpoint, verdicts[verdict],
      ends[l->received.end], wire_outcome_name (l->received.outcome),
      l->received.signature.len > 0, l->received.row_count, l->received.state,
      l->received.position.term, l->received.position.number, l->count,
      l->count > 0 ? tasks[l->expected[l->first].task] : "none");
}

/* Give the connection up, as it cannot be known which requests its next
   answers belong to. */
static void
give_up (struct link *l, bool is_doubtful, const char *reason)
{
  const struct answer_received *r = &l->received;
  struct link_loss loss = {
    .was_connected = true,
    .is_doubtful = is_doubtful,
    .may_be_kept = r->end == ANSWER_COMPLETE && r->signature.len > 0,
    .reason = reason,
  };
  stream_close (l->stream);
  report_loss (l, &loss);
}

/* Handle an answer that is complete. */
static void
handle_answer (struct link *l)
{
  enum answer_verdict verdict = answers_judge (
      l->answers, l->count > 0 ? &l->expected[l->first].form : NULL,
      &l->received);
  if (verdict != ANSWER_OWN)
    log_verdict (l, verdict);
  switch (verdict)
    {
    case ANSWER_OWN:
      finish_answer (l);
      break;
    case ANSWER_COPY:
      talloc_free (take_received (l));
      if (l->options.ops->repeated != NULL)
        l->options.ops->repeated (l->options.data);
      break;
    case ANSWER_DOUBTFUL:
      give_up (l, true, "the answer may be that of another statement");
      break;
    default:
      give_up (l, false, "unexpected answer");
      break;
    }
}

static void
add_row (struct link *l, struct bstr row)
{
  struct answer_received *r = &l->received;
  if (r->row_count == l->row_space)
    {
      l->row_space = l->row_space > 0 ? l->row_space * 2 : FIRST_ROWS;
      l->rows = talloc_realloc (l->answer_memory, l->rows, struct bstr,
                                (size_t)l->row_space);
    }
  l->rows[r->row_count++] = bstr_copy (l->answer_memory, row);
  r->rows = l->rows;
}

static void
on_line (void *data, struct bstr line)
{
  struct link *l = data;
  struct answer_received *r = &l->received;
  struct wire_reply reply = wire_parse_reply (line);
  bool has_ended = r->end != ANSWER_BARE;
  if (reply.kind == WIRE_UNKNOWN || (has_ended && reply.kind != WIRE_READY))
    {
      log_unexpected_line (l, &reply, line.len);
      give_up (l, false, "unexpected line");
      return;
    }
  switch (reply.kind)
    {
    case WIRE_ROW:
      add_row (l, reply.text);
      break;
    case WIRE_COMPLETE:
      r->end = ANSWER_COMPLETE;
      if (wire_is_signature (reply.text))
        r->signature = bstr_copy (l->answer_memory, reply.text);
      break;
    case WIRE_ERROR:
      r->end = ANSWER_ERROR;
      r->outcome = reply.outcome;
      r->text = bstr_copy (l->answer_memory, reply.text);
      if (l->count > 0 && l->expected[l->first].task == LINK_START)
        {
          stream_close (l->stream);
          report_loss (l, &(struct link_loss){ .outcome = reply.outcome,
                                               .was_connected = true,
                                               .reason = "start refused" });
        }
      break;
    default:
      r->state = reply.state;
      r->position = reply.position;
      handle_answer (l);
      break;
    }
}

static void
on_closed (void *data, const char *reason)
{
  struct link *l = data;
  bool connected = stream_was_connected (l->stream);
  l->stream = NULL;
  report_loss (
      l, &(struct link_loss){ .was_connected = connected, .reason = reason });
}

static const struct stream_ops stream_callbacks
    = { .line = on_line, .closed = on_closed };

struct link *
link_open (void *parent, const struct link_options *options, struct error *err)
{
  struct link *l = talloc_zero (parent, struct link);
  l->options = *options;
  l->organisation = bstr_copy (l, options->organisation);
  l->answers = answers_create (l);
  l->answer_memory = talloc_new (l);
  l->out.parent = l;
  /* The stream is a child of the session daemon, not of the link, as the link
     may be freed in a callback of the stream. */
  l->stream = stream_connect (
      options->sessiond, options->address,
      &(struct stream_options){ .ev = options->sessiond->ev,
                                .ops = &stream_callbacks,
                                .data = l,
                                .peer_timeout_ms = DEAD_CONNECTION_MS },
      err);
  if (l->stream == NULL)
    {
      talloc_free (l);
      return NULL;
    }
  wire_add_start (&l->out, bstr_from (options->service), l->organisation,
                  bstr_from (options->endpoint));
  expect_answer (l, LINK_START, (struct answer_form){ .is_start = true });
  send_request (l);
  return l;
}

static const struct session_value *
find_value (const struct session_value *values, int count, struct bstr name)
{
  for (int i = 0; i < count; i++)
    if (bstr_equals (values[i].name, name))
      return &values[i];
  return NULL;
}

int
link_setup_cost (const struct link *l, const struct session_value *values,
                 int value_count)
{
  int cost = 0;
  for (int i = 0; i < l->value_count; i++)
    if (find_value (values, value_count, l->values[i].name) == NULL)
      return -1;
  for (int i = 0; i < value_count; i++)
    {
      const struct session_value *v
          = find_value (l->values, l->value_count, values[i].name);
      cost += v == NULL || !bstr_equals (v->value, values[i].value);
    }
  return cost;
}

/* Reset the connection before the next statement. */
static void
add_reset (struct link *l)
{
  wire_add_reset (&l->out);
  expect_answer (l, LINK_RESET, acknowledgement (SESSION_IDLE));
  TALLOC_FREE (l->values);
  l->value_count = 0;
  TALLOC_FREE (l->prepared);
  l->prepared_count = 0;
}

/* Set a session value before the next statement, unless it is set already.
   @param state transaction state of the connection. */
static void
add_value (struct link *l, const struct session_value *value,
           enum session_state state)
{
  struct session_value *v = (struct session_value *)find_value (
      l->values, l->value_count, value->name);
  if (v != NULL && bstr_equals (v->value, value->value))
    return;
  wire_add_set (&l->out, value->name, value->value);
  expect_answer (l, LINK_SET, acknowledgement (state));
  if (v == NULL)
    {
      l->values = talloc_realloc (l, l->values, struct session_value,
                                  (size_t)l->value_count + 1);
      v = &l->values[l->value_count++];
      v->name = bstr_copy (l->values, value->name);
    }
  v->value = bstr_copy (l->values, value->value);
}

/* Digest what makes two prepared statements the same.  A shape may have a
   megabyte, and a connection keeps many. */
static void
digest_shape (unsigned char digest[SHAPE_DIGEST_BYTES],
              const struct link_request *request)
{
  crypto_generichash_state state;
  unsigned char mode = request->reads_only;
  crypto_generichash_init (&state, NULL, 0, SHAPE_DIGEST_BYTES);
  crypto_generichash_update (&state, &mode, sizeof mode);
  crypto_generichash_update (
      &state, (const unsigned char *)request->shape.start, request->shape.len);
  crypto_generichash_final (&state, digest, SHAPE_DIGEST_BYTES);
}

/* Find the prepared statement of a request on the connection, or prepare it.
   Its name holds nothing of the shape, which may hold any byte.
   @param name set to its name. */
static void
add_prepare (struct link *l, const struct link_request *request,
             char name[PREPARED_NAME_SIZE])
{
  unsigned char digest[SHAPE_DIGEST_BYTES];
  int i = 0;
  digest_shape (digest, request);
  while (i < l->prepared_count
         && memcmp (l->prepared[i].digest, digest, sizeof digest) != 0)
    i++;
  if (i < l->prepared_count)
    {
      snprintf (name, PREPARED_NAME_SIZE, "p%u", l->prepared[i].number);
      return;
    }
  l->prepared = talloc_realloc (l, l->prepared, struct prepared,
                                (size_t)l->prepared_count + 1);
  struct prepared *p = &l->prepared[l->prepared_count++];
  memcpy (p->digest, digest, sizeof digest);
  p->number = ++l->prepared_total;
  snprintf (name, PREPARED_NAME_SIZE, "p%u", p->number);
  wire_add_prepare (&l->out, bstr_from (name), request->reads_only,
                    request->shape);
  expect_answer (l, LINK_PREPARE, acknowledgement (state_of (request)));
}

static void
add_statement (struct link *l, const struct link_request *request)
{
  char name[PREPARED_NAME_SIZE];
  switch (request->verb)
    {
    case VERB_BEGIN:
      wire_add_begin (&l->out, request->after, request->reads_only);
      break;
    case VERB_ROLLBACK:
      wire_add_rollback (&l->out);
      break;
    case VERB_EXECUTE:
      add_prepare (l, request, name);
      wire_add_execute (&l->out, request->id, request->after, bstr_from (name),
                        request->arguments);
      break;
    default:
      wire_add_statement (&l->out, request->id, request->after, request->text);
      break;
    }
  expect_answer (l, LINK_STATEMENT, statement_form (request));
}

void
link_run (struct link *l, const struct link_request *request)
{
  if (link_setup_cost (l, request->values, request->value_count) < 0
      || (l->prepared_count >= MAX_PREPARED && !request->in_transaction))
    add_reset (l);
  for (int i = 0; i < request->value_count; i++)
    add_value (l, &request->values[i], state_of (request));
  add_statement (l, request);
  send_request (l);
}

void
link_rollback (struct link *l)
{
  wire_add_rollback (&l->out);
  expect_answer (
      l, LINK_ROLLBACK,
      (struct answer_form){ .changes_state = true, .is_replaceable = true });
  send_request (l);
}

void
link_request_status (struct link *l)
{
  wire_add_status (&l->out);
  expect_answer (l, LINK_STATUS, (struct answer_form){ .has_row = true });
  send_request (l);
}

void
link_close (struct link *l)
{
  stream_abort (l->stream);
  talloc_free (l);
}

bool
link_is_idle (const struct link *l)
{
  return l->count == 0;
}

bool
link_is_started (const struct link *l)
{
  return l->started;
}

bool
link_suits (const struct link *l, const struct link_use *use)
{
  return !(use->writes && answers_have_error (l->answers))
         && !(use->begins && answers_repeat_begin (l->answers, use->position));
}

struct bstr
link_organisation (const struct link *l)
{
  return l->organisation;
}
