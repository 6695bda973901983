/** @file
 * Connections of daemons to the stand-in's databases, and the statements that
 * run on them.
 */
#include "common/log.h"
#include "standins/site_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Unacknowledged bytes or silence of this long end a connection. */
#define PEER_TIMEOUT_MS 3000
/* An answer that comes a second time does so after 0.5 ms to this time. */
#define MAX_REPEAT_US 30000
#define MIN_REPEAT_US 500

/** A session value, or a prepared statement. */
struct named_text
{
  struct named_text *next;
  struct bstr name;
  struct bstr text; /**< Value, or text of the prepared statement. */
  bool writes;      /**< The prepared statement is a write. */
};

/** A connection of a daemon. */
struct session
{
  struct session *next;
  struct database *database;
  struct site_line *line;
  int number;   /**< Unique for the database. */
  bool started; /**< The start line was accepted. */
  char state;   /**< 'I': idle, 'T': in a transaction, 'E': in a failed one. */
  bool reads_only;             /**< The open transaction is read-only. */
  char *organisation;          /**< Escaped. */
  struct named_text *values;   /**< Session values. */
  struct named_text *prepared; /**< Prepared statements. */
  struct commit *pending;      /**< Writes of the open transaction. */
  int pending_count;
  struct bstr *queued_lines; /**< Lines received while a statement runs. */
  int queued_line_count;
  bool busy; /**< A statement runs. */
  /* The answer of the statement that runs. */
  char *answer;
  size_t answer_len, answer_size;
  enum answer_kind answer_kind;
  int repeat_ms; /**< Send it again after this time; 0: do not. */
  bool withheld; /**< Do not send it. */
};

/** A statement of a line. */
struct statement
{
  struct bstr id;
  struct bstr text; /**< Without AFTER. */
  struct bstr verb;
  struct bstr rest; /**< What follows the verb. */
};

/* Answers. */

static void
add_bytes (struct session *s, struct bstr bytes)
{
  if (s->answer_len + bytes.len > s->answer_size)
    {
      s->answer_size = 2 * (s->answer_len + bytes.len);
      s->answer = talloc_realloc (s, s->answer, char, s->answer_size);
    }
  memcpy (s->answer + s->answer_len, bytes.start, bytes.len);
  s->answer_len += bytes.len;
}

static void
add_text (struct session *s, const char *text)
{
  add_bytes (s, bstr_from (text));
}

/* READY ends an answer, with the state and the position in the log. */
static void
add_ready (struct session *s)
{
  const struct database *d = s->database;
  char text[64];
  snprintf (text, sizeof text, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
            s->state, site_last_term (d), site_last_number (d));
  add_text (s, text);
}

static void
add_error (struct session *s, const char *code)
{
  add_text (s, "ERROR ");
  add_text (s, code);
  add_text (s, " ");
  add_text (s, s->database->id);
  add_text (s, "\r\n");
  if (s->state == 'T')
    s->state = 'E';
  s->answer_kind = ANSWER_ERROR;
  add_ready (s);
}

static void
add_row (struct session *s, struct bstr row)
{
  add_text (s, "ROW ");
  add_bytes (s, row);
  add_text (s, "\r\n");
}

static void
add_complete (struct session *s, const char *signature)
{
  add_text (s, "COMPLETE ");
  add_text (s, signature);
  add_text (s, "\r\n");
  add_ready (s);
}

static void
add_unsigned (struct session *s)
{
  s->answer_kind = ANSWER_UNSIGNED;
  add_complete (s, "-");
}

/* Session values and prepared statements. */

static struct named_text *
find_text (struct named_text *list, struct bstr name)
{
  while (list != NULL && !bstr_equals (list->name, name))
    list = list->next;
  return list;
}

static void
put_text (struct session *s, struct named_text **list, struct bstr name,
          struct bstr text, bool writes)
{
  struct named_text *v = find_text (*list, name);
  if (v == NULL)
    {
      v = talloc_zero (s, struct named_text);
      v->name = bstr_copy (v, name);
      v->next = *list;
      *list = v;
    }
  v->text = bstr_copy (v, text);
  v->writes = writes;
}

static json_t *
escaped_json (struct bstr bytes)
{
  char *text = site_line_escape (NULL, bytes);
  json_t *json = json_string (text);
  talloc_free (text);
  return json;
}

static json_t *
values_json (struct session *s)
{
  json_t *values = json_object ();
  for (struct named_text *v = s->values; v != NULL; v = v->next)
    {
      char *name = site_line_escape (NULL, v->name);
      json_object_set_new (values, name, escaped_json (v->text));
      talloc_free (name);
    }
  return values;
}

/* Record that a statement ran, with what it ran on, and sign it.  The
   signature is a new one for each run.
   @param what READ, WRITE, COMMIT or the text of the prepared statement.
   @return the record, which the answer's rows are added to. */
static json_t *
record_run (struct session *s, const struct statement *statement,
            struct bstr what, char signature[40])
{
  struct database *d = s->database;
  struct site_databases *g = d->site;
  snprintf (signature, 40, "%x.%" PRIx64 ".%08x", site_random (g, 0x7fffffff),
            ++g->run_count, site_random (g, 0x7fffffff));
  json_t *run = json_pack (
      "{s:o, s:s, s:s, s:o, s:o, s:I, s:o, s:b, s:i, s:s, s:[]}", "id",
      escaped_json (statement->id), "database", d->id, "organisation",
      s->organisation, "what", escaped_json (what), "text",
      escaped_json (statement->text), "term", (json_int_t)d->term, "values",
      values_json (s), "in_transaction", s->state == 'T', "connection",
      s->number, "signature", signature, "rows");
  json_array_append_new (g->runs, run);
  return run;
}

/* End the answer of a statement that ran. */
static void
add_done (struct session *s, const char *signature)
{
  struct database *d = s->database;
  if (d->omit_next_signature)
    {
      d->omit_next_signature = false;
      add_unsigned (s);
      return;
    }
  s->answer_kind = ANSWER_SIGNED;
  add_complete (s, signature);
}

static void
add_recorded_row (struct session *s, json_t *run, struct bstr row)
{
  json_array_append_new (json_object_get (run, "rows"), escaped_json (row));
  add_row (s, row);
}

/* Statements. */

/* Commit or roll back the open transaction, if there is one. */
static void
end_transaction (struct session *s, bool commit)
{
  if (commit)
    site_append_commits (s->database, s->pending, s->pending_count);
  s->state = 'I';
  s->pending_count = 0;
}

/* Run a write: committed at once, or at the end of the open transaction.
   @param arguments the item, and the data if there are any. */
static void
run_write (struct session *s, const struct statement *statement,
           struct bstr arguments, struct bstr what)
{
  struct database *d = s->database;
  char signature[40];
  struct bstr rest = arguments;
  struct bstr item = site_line_field (&rest);
  if (!d->is_primary || (s->state == 'T' && s->reads_only))
    {
      add_error (s, "READONLY");
      return;
    }
  record_run (s, statement, what, signature);
  s->pending
      = talloc_realloc (s, s->pending, struct commit, s->pending_count + 1);
  s->pending[s->pending_count++] = (struct commit){
    .id = site_line_escape (s, statement->id),
    .item = bstr_copy (s, item),
    .data = bstr_copy (s, rest),
  };
  if (s->state != 'T')
    end_transaction (s, true);
  add_done (s, signature);
}

/* Answer with the id of the newest committed write of an item, and in a second
   row with its data if there are any. */
static void
run_read (struct session *s, const struct statement *statement,
          struct bstr arguments, struct bstr what)
{
  const struct database *d = s->database;
  char signature[40];
  struct bstr item = site_line_field (&arguments);
  json_t *run = record_run (s, statement, what, signature);
  int i = d->log_count - 1;
  while (i >= 0 && !bstr_equals (d->log[i].item, item))
    i--;
  struct bstr first = d->row.start != NULL
                          ? d->row
                          : bstr_from (i >= 0 ? d->log[i].id : "none");
  for (int n = 0; n < d->row_count; n++)
    add_recorded_row (s, run, first);
  if (i >= 0 && d->log[i].data.len > 0)
    add_recorded_row (s, run, d->log[i].data);
  add_done (s, signature);
}

static void
run_begin (struct session *s, bool reads_only)
{
  if (s->state != 'I')
    add_error (s, "MALFORMED");
  else if (!reads_only && !s->database->is_primary)
    add_error (s, "READONLY");
  else
    {
      s->state = 'T';
      s->reads_only = reads_only;
      add_unsigned (s);
    }
}

static void
run_commit (struct session *s, const struct statement *statement)
{
  char signature[40];
  if (s->pending_count > 0 && !s->database->is_primary)
    {
      end_transaction (s, false);
      add_error (s, "READONLY");
      return;
    }
  record_run (s, statement, statement->verb, signature);
  end_transaction (s, s->state == 'T');
  add_done (s, signature);
}

static void
run_prepare (struct session *s, struct bstr rest)
{
  struct bstr name = site_line_field (&rest);
  struct bstr mode = site_line_field (&rest);
  bool writes = bstr_equals_text (mode, "WRITE");
  if (name.len == 0 || (!writes && !bstr_equals_text (mode, "READ")))
    {
      add_error (s, "MALFORMED");
      return;
    }
  put_text (s, &s->prepared, name, rest, writes);
  add_unsigned (s);
}

static void
run_set (struct session *s, struct bstr rest)
{
  struct bstr name = site_line_field (&rest);
  put_text (s, &s->values, name, rest, false);
  add_unsigned (s);
}

static void
run_execute (struct session *s, const struct statement *statement)
{
  struct bstr rest = statement->rest;
  struct named_text *p = find_text (s->prepared, site_line_field (&rest));
  if (p == NULL)
    add_error (s, "NOSTMT");
  else if (p->writes)
    run_write (s, statement, rest, p->text);
  else
    run_read (s, statement, rest, p->text);
}

static void
run_status (struct session *s)
{
  const struct database *d = s->database;
  char row[160];
  snprintf (row, sizeof row, "%s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 0 0 %d",
            d->is_primary ? "primary" : "replica", d->term, site_last_term (d),
            site_last_number (d), d->connections);
  add_row (s, bstr_from (row));
  add_unsigned (s);
}

/* @return whether the log of the database ends before @p position,
   TERM.NUMBER. */
static bool
is_behind (const struct database *d, struct bstr position)
{
  char text[64] = "";
  uint64_t term = 0, number = 0;
  struct bstr head = bstr_cut (position, sizeof text - 1);
  memcpy (text, head.start, head.len);
  sscanf (text, "%" SCNu64 ".%" SCNu64, &term, &number);
  return site_last_term (d) < term
         || (site_last_term (d) == term && site_last_number (d) < number);
}

static bool
is_verb (const struct statement *statement, const char *verb)
{
  return bstr_equals_text (statement->verb, verb);
}

/* Take the fault of the next statement with this verb, if there is one.
   @param code set to the error that is to be answered; NULL: none. */
static void
take_next_fault (struct session *s, const struct statement *statement,
                 char **code)
{
  struct next_fault **at = &s->database->next_faults;
  *code = NULL;
  while (*at != NULL && !is_verb (statement, (*at)->verb))
    at = &(*at)->next;
  if (*at == NULL)
    return;
  struct next_fault *fault = *at;
  *at = fault->next;
  *code = talloc_steal (s, fault->code);
  s->repeat_ms = fault->repeat_ms;
  s->withheld = fault->withheld;
  talloc_free (fault);
}

static void
run_statement (struct session *s, const struct statement *statement)
{
  if (s->state == 'E' && !is_verb (statement, "ROLLBACK")
      && !is_verb (statement, "COMMIT"))
    add_error (s, "MALFORMED");
  else if (is_verb (statement, "BEGIN"))
    run_begin (s, statement->rest.len > 0);
  else if (is_verb (statement, "COMMIT"))
    run_commit (s, statement);
  else if (is_verb (statement, "ROLLBACK"))
    {
      end_transaction (s, false);
      add_unsigned (s);
    }
  else if (is_verb (statement, "RESET"))
    {
      s->values = s->prepared = NULL;
      add_unsigned (s);
    }
  else if (is_verb (statement, "SET"))
    run_set (s, statement->rest);
  else if (is_verb (statement, "PREPARE"))
    run_prepare (s, statement->rest);
  else if (is_verb (statement, "READ"))
    run_read (s, statement, statement->rest, statement->verb);
  else if (is_verb (statement, "WRITE"))
    run_write (s, statement, statement->rest, statement->verb);
  else if (is_verb (statement, "EXECUTE"))
    run_execute (s, statement);
  else if (is_verb (statement, "STATUS"))
    run_status (s);
  else
    add_error (s, "MALFORMED");
}

/* @return whether the fault of a busy database refuses the statement. */
static bool
is_busy (struct session *s, const struct statement *statement)
{
  struct database *d = s->database;
  return d->busy_share > 0
         && (is_verb (statement, "READ") || is_verb (statement, "WRITE")
             || is_verb (statement, "EXECUTE"))
         && site_random (d->site, 100) < (unsigned)d->busy_share;
}

/* Run a line "QUERY ID [AFTER POSITION] STATEMENT". */
static void
run_query (struct session *s, struct statement *statement)
{
  char *code;
  if (is_verb (statement, "AFTER"))
    {
      struct bstr position = site_line_field (&statement->rest);
      statement->text = statement->rest;
      statement->verb = site_line_field (&statement->rest);
      if (is_behind (s->database, position))
        {
          add_error (s, "LAGGING");
          return;
        }
    }
  take_next_fault (s, statement, &code);
  if (code != NULL)
    add_error (s, code);
  else if (is_busy (s, statement))
    add_error (s, "BUSY");
  else
    run_statement (s, statement);
  talloc_free (code);
}

static void run_next_line (struct session *s);

/** A copy of an answer that is sent later. */
struct late_copy
{
  struct session *session;
  struct bstr bytes;
};

static void
on_copy_due (struct tevent_context *ev, struct tevent_timer *timer,
             struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct late_copy *copy = data;
  site_line_send (copy->session->line, copy->bytes);
  talloc_free (copy);
}

static void
send_copy_later (struct session *s, uint32_t us)
{
  struct late_copy *copy = talloc_zero (s, struct late_copy);
  copy->session = s;
  copy->bytes = bstr_copy (copy, (struct bstr){ s->answer, s->answer_len });
  tevent_add_timer (s->database->site->options.ev, copy,
                    tevent_timeval_current_ofs (us / 1000000, us % 1000000),
                    on_copy_due, copy);
}

/* The statement's run time is over: send its answer and run the next line. */
static void
on_answer_due (struct tevent_context *ev, struct tevent_timer *timer,
               struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct session *s = data;
  const struct database *d = s->database;
  s->busy = false;
  if (!d->silent && !s->withheld)
    {
      site_line_send (s->line, (struct bstr){ s->answer, s->answer_len });
      if (s->repeat_ms > 0)
        send_copy_later (s, (uint32_t)s->repeat_ms * 1000);
      else if ((s->answer_kind & d->stutter_kinds) != 0
               && site_random (d->site, 100) < (unsigned)d->stutter_share)
        send_copy_later (
            s, MIN_REPEAT_US
                   + site_random (d->site, MAX_REPEAT_US - MIN_REPEAT_US));
    }
  run_next_line (s);
}

/* Accept the first line of a connection, which names the service, the
   organisation and optionally the database.
   @param code error of a fault; NULL: none.
   @return false if it was refused and the session is closed. */
static bool
start_session (struct session *s, struct bstr rest, const char *code)
{
  struct database *d = s->database;
  struct bstr service = site_line_field (&rest);
  struct bstr organisation = site_line_field (&rest);
  if (!bstr_equals_text (service, d->service) || organisation.len == 0
      || (rest.len > 0 && !bstr_equals_text (rest, d->id)))
    code = "MISROUTED";
  else if (d->connections > d->site->options.max_connections)
    code = "TOOMANY";
  if (code != NULL)
    {
      char text[80];
      snprintf (text, sizeof text, "ERROR %s %s\r\n", code, d->id);
      site_line_send (s->line, bstr_from (text));
      site_session_close (s);
      return false;
    }
  s->started = true;
  s->organisation = site_line_escape (s, organisation);
  s->answer_kind = ANSWER_UNSIGNED;
  add_ready (s);
  return true;
}

/* Run a line at once; its answer is sent after the run time of a statement. */
static void
run_line (struct session *s, struct bstr line)
{
  struct database *d = s->database;
  struct bstr rest = line;
  struct bstr word = site_line_field (&rest);
  bool is_query = bstr_equals_text (word, "QUERY");
  struct statement statement = { .verb = word };
  s->answer_len = 0;
  s->repeat_ms = 0;
  s->withheld = false;
  if (!s->started)
    {
      char *code;
      take_next_fault (s, &statement, &code);
      if (!bstr_equals_text (word, "START") || !start_session (s, rest, code))
        return;
    }
  else if (is_query)
    {
      statement.id = site_line_field (&rest);
      statement.text = rest;
      statement.verb = site_line_field (&rest);
      statement.rest = rest;
      run_query (s, &statement);
    }
  else
    {
      site_record_violation (d->site, "a line is no request",
                             site_line_escape (s, line));
      add_error (s, "MALFORMED");
    }
  if (d->lose_next_answer && is_query && !bstr_equals_text (statement.id, "-"))
    {
      d->lose_next_answer = false;
      site_session_close (s);
      return;
    }
  s->busy = true;
  uint32_t us = (uint32_t)d->site->options.work_ms * 1000;
  if (d->slow_verb != NULL && is_query && is_verb (&statement, d->slow_verb))
    us += (uint32_t)d->slow_ms * 1000;
  tevent_add_timer (d->site->options.ev, s,
                    tevent_timeval_current_ofs (us / 1000000, us % 1000000),
                    on_answer_due, s);
}

static void
run_next_line (struct session *s)
{
  if (s->queued_line_count == 0)
    return;
  struct bstr line = s->queued_lines[0];
  s->queued_line_count--;
  memmove (s->queued_lines, s->queued_lines + 1,
           sizeof s->queued_lines[0] * (size_t)s->queued_line_count);
  run_line (s, line);
}

static void
on_line (void *data, struct bstr line)
{
  struct session *s = data;
  if (!s->busy)
    {
      run_line (s, line);
      return;
    }
  s->queued_lines = talloc_realloc (s, s->queued_lines, struct bstr,
                                    s->queued_line_count + 1);
  s->queued_lines[s->queued_line_count++] = bstr_copy (s, line);
}

/* Remove a session from its database and free it. */
static void
remove_session (struct session *s)
{
  struct session **at = &s->database->sessions;
  while (*at != s)
    at = &(*at)->next;
  *at = s->next;
  s->database->connections--;
  talloc_free (s);
}

void
site_session_close (struct session *s)
{
  site_line_close (s->line);
  remove_session (s);
}

static void
on_closed (void *data)
{
  remove_session (data);
}

static const struct site_line_ops ops
    = { .line = on_line, .closed = on_closed };

void
site_session_accept (struct database *d, int fd)
{
  struct session *s = talloc_zero (d, struct session);
  s->database = d;
  s->number = ++d->session_count;
  s->state = 'I';
  s->next = d->sessions;
  d->sessions = s;
  d->connections++;
  s->line
      = site_line_adopt (d, d->site->options.ev, fd, PEER_TIMEOUT_MS, &ops, s);
}
