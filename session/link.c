#include "session/link.h"

#include "common/log.h"
#include "net/stream.h"
#include "platform/wire.h"

#include <sodium.h>
#include <stdio.h>

#define PART "link"

/* A connection whose bytes are not acknowledged for this time is closed. */
#define DEAD_CONNECTION_MS 2500
/* A connection is reset once it has this many prepared statements. */
#define MAX_PREPARED 200
#define SHAPE_DIGEST_BYTES crypto_generichash_BYTES
/* Size of a buffer for the name of a prepared statement. */
#define PREPARED_NAME_SIZE 16
/* Answers that may be outstanding on a connection. */
#define MAX_EXPECTED_ANSWERS 128

/** An outstanding answer, as far as it was received. */
struct expected_answer
{
  enum link_task task;
  enum outcome outcome;
  struct bstr text;
  struct bstr signature;
  bool has_ended; /**< COMPLETE or an error was received. */
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
  struct bstr *rows;     /**< Rows of the answer that is being read. */
  int row_count;
  void *answer_memory; /**< Parent of the texts and rows of that answer. */
  /** Text of the newest COMPLETE line with a signature, or ERROR line. */
  struct bstr last_end;
  struct buffer out; /**< Request that is being written. */
};

/* Append an answer to the outstanding ones. */
static void
expect_answer (struct link *l, enum link_task task)
{
  struct expected_answer *e
      = &l->expected[(l->first + l->count) % MAX_EXPECTED_ANSWERS];
  *e = (struct expected_answer){ .task = task };
  l->count++;
}

static void
send_request (struct link *l)
{
  stream_send (l->stream, buffer_bytes (&l->out));
  buffer_clear (&l->out);
}

/* Report the end of the connection and free the link. */
static void
report_loss (struct link *l, enum outcome outcome, bool was_connected,
             const char *reason)
{
  struct link_loss loss = { outcome, was_connected, reason };
  l->options.ops->lost (l->options.data, l, &loss);
  talloc_free (l);
}

/* Report the oldest outstanding answer, which is complete. */
static void
finish_answer (struct link *l, const struct wire_reply *ready)
{
  struct expected_answer e = l->expected[l->first];
  struct link_answer answer = {
    .task = e.task,
    .outcome = e.outcome,
    .text = e.text,
    .rows = l->rows,
    .row_count = l->row_count,
    .signature = e.signature,
    .state = ready->state,
    .position = ready->position,
  };
  void *memory = l->answer_memory;
  l->first = (l->first + 1) % MAX_EXPECTED_ANSWERS;
  l->count--;
  l->rows = NULL;
  l->row_count = 0;
  l->answer_memory = talloc_new (l);
  bool is_setup
      = e.task == LINK_SET || e.task == LINK_PREPARE || e.task == LINK_RESET;
  if (e.task == LINK_START)
    l->started = true;
  if (is_setup && e.outcome != OUTCOME_OK)
    l->setup_failed = true;
  if (l->setup_failed && !is_setup)
    {
      stream_close (l->stream);
      report_loss (l, OUTCOME_OK, true, "session values could not be set");
      return;
    }
  talloc_steal (l->options.sessiond, memory);
  if (!is_setup)
    l->options.ops->answered (l->options.data, l, &answer);
  talloc_free (memory);
}

/* Log a line that fits no outstanding answer. */
static void
log_unexpected_line (const struct link *l, const struct wire_reply *reply,
                     size_t length)
{
  static const char *const kinds[]
      = { "row", "complete", "error", "ready", "unknown" };
  sessiond_log_request (
      PART,
      "event=unexpected_line service=%s endpoint=%s kind=%s"
      " bytes=%zu outstanding=%u repeated=%d",
      l->options.service, l->options.endpoint, kinds[reply->kind], length,
      l->count, reply->text.len > 0 && bstr_equals (reply->text, l->last_end));
}

/* Remember how an answer ended, and log one that ends as the answer before it
   with the same signature. */
static void
note_answer_end (struct link *l, const struct wire_reply *reply,
                 enum link_task task)
{
  static const char *const tasks[] = { "start",   "reset",     "set",
                                       "prepare", "statement", "rollback",
                                       "status" };
  if (reply->kind == WIRE_COMPLETE && !wire_is_signature (reply->text))
    return;
  if (reply->kind == WIRE_COMPLETE && bstr_equals (reply->text, l->last_end))
    sessiond_log_request (PART,
                          "event=repeated_answer service=%s endpoint=%s"
                          " taken_for=%s outstanding=%u",
                          l->options.service, l->options.endpoint, tasks[task],
                          l->count);
  talloc_free ((char *)l->last_end.start);
  l->last_end = bstr_copy (l, reply->text);
}

static void
on_line (void *data, struct bstr line)
{
  struct link *l = data;
  struct wire_reply reply = wire_parse_reply (line);
  struct expected_answer *e = &l->expected[l->first];
  if (l->count == 0 || reply.kind == WIRE_UNKNOWN)
    {
      log_unexpected_line (l, &reply, line.len);
      stream_close (l->stream);
      report_loss (l, OUTCOME_OK, true, "unexpected line");
      return;
    }
  switch (reply.kind)
    {
    case WIRE_ROW:
      l->rows = talloc_realloc (l->answer_memory, l->rows, struct bstr,
                                (size_t)l->row_count + 1);
      l->rows[l->row_count++] = bstr_copy (l->answer_memory, reply.text);
      break;
    case WIRE_COMPLETE:
      note_answer_end (l, &reply, e->task);
      e->signature = bstr_copy (l->answer_memory, reply.text);
      e->has_ended = true;
      break;
    case WIRE_ERROR:
      note_answer_end (l, &reply, e->task);
      e->outcome = reply.outcome;
      e->text = bstr_copy (l->answer_memory, reply.text);
      e->has_ended = true;
      if (e->task == LINK_START)
        {
          stream_close (l->stream);
          report_loss (l, reply.outcome, true, "start refused");
        }
      break;
    default:
      if (!e->has_ended && e->task != LINK_START)
        {
          stream_close (l->stream);
          report_loss (l, OUTCOME_OK, true, "answer without its end");
        }
      else
        finish_answer (l, &reply);
      break;
    }
}

static void
on_closed (void *data, const char *reason)
{
  struct link *l = data;
  bool connected = stream_was_connected (l->stream);
  l->stream = NULL;
  report_loss (l, OUTCOME_OK, connected, reason);
}

static const struct stream_ops stream_callbacks
    = { .line = on_line, .closed = on_closed };

struct link *
link_open (void *parent, const struct link_options *options, struct error *err)
{
  struct link *l = talloc_zero (parent, struct link);
  l->options = *options;
  l->organisation = bstr_copy (l, options->organisation);
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
  expect_answer (l, LINK_START);
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
  expect_answer (l, LINK_RESET);
  TALLOC_FREE (l->values);
  l->value_count = 0;
  TALLOC_FREE (l->prepared);
  l->prepared_count = 0;
}

/* Set a session value before the next statement, unless it is set already. */
static void
add_value (struct link *l, const struct session_value *value)
{
  struct session_value *v = (struct session_value *)find_value (
      l->values, l->value_count, value->name);
  if (v != NULL && bstr_equals (v->value, value->value))
    return;
  wire_add_set (&l->out, value->name, value->value);
  expect_answer (l, LINK_SET);
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
  expect_answer (l, LINK_PREPARE);
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
  expect_answer (l, LINK_STATEMENT);
}

void
link_run (struct link *l, const struct link_request *request)
{
  if (link_setup_cost (l, request->values, request->value_count) < 0
      || (l->prepared_count >= MAX_PREPARED && !request->in_transaction))
    add_reset (l);
  for (int i = 0; i < request->value_count; i++)
    add_value (l, &request->values[i]);
  add_statement (l, request);
  send_request (l);
}

void
link_rollback (struct link *l)
{
  wire_add_rollback (&l->out);
  expect_answer (l, LINK_ROLLBACK);
  send_request (l);
}

void
link_request_status (struct link *l)
{
  wire_add_status (&l->out);
  expect_answer (l, LINK_STATUS);
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

struct bstr
link_organisation (const struct link *l)
{
  return l->organisation;
}
