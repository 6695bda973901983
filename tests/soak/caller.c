#include "tests/soak/caller.h"

#include "standins/site_line.h"
#include "tests/relay_site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <talloc.h>
#include <unistd.h>

/* Largest number of statements in a transaction. */
#define MAX_TRANSACTION_STATEMENTS 4
/* Upper bound of the pause between two operations. */
#define MAX_PAUSE_US 16000
/* The caller ends its session after one in this many operations. */
#define END_SESSION_ONE_IN 12
/* Longest random text of a statement, in bytes. */
#define MAX_RANDOM_BYTES 40

/** Routes of a service; the database name of a session selects one. */
enum route
{
  ROUTE_MAIN,   /**< Reads see the newest data. */
  ROUTE_OWN,    /**< Reads see the session's own writes. */
  ROUTE_BROWSE, /**< Reads have bounded staleness. */
  ROUTES
};

/** State of a caller process. */
struct caller
{
  const struct caller_options *o;
  FILE *file;
  FILE *sent;           /**< See caller_options. */
  char transaction[24]; /**< Id of the open transaction's BEGIN; empty: none
                           is open. */
  unsigned random_state;
  struct line_caller *line; /**< Current session; NULL: none. */
  int service;              /**< Service of the current session. */
  enum route route;         /**< Route of the current session. */
  int session;              /**< Number of the current session. */
  struct bstr mode;         /**< Session value "mode"; empty: not set. */
  struct bstr shape; /**< Of the prepared write "s1"; empty: there is none. */
  void *session_memory;
  int generation; /**< Part of the item's name; incremented after an unknown
                     outcome. */
};

/* @return a random number from 0 to @p bound - 1. */
static unsigned
random_below (struct caller *c, unsigned bound)
{
  return (unsigned)rand_r (&c->random_state) % bound;
}

/* @return whether the error @p code promises that nothing of the attempt is
   committed. */
static bool
code_excludes_commit (const char *code)
{
  static const char *const codes[]
      = { "BUSY",      "ABORTED", "LAGGING", "READONLY",
          "MISROUTED", "TOOMANY", "NOAUTH",  "NODB" };
  for (size_t i = 0; i < sizeof codes / sizeof codes[0]; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

static enum caller_outcome
outcome_from_answer (const struct line_answer *a)
{
  if (a->state != 0 && a->code[0] == '\0')
    return CALLER_OK;
  return a->state != 0 && code_excludes_commit (a->code) ? CALLER_NOT_COMMITTED
                                                         : CALLER_UNKNOWN;
}

static void
write_record (struct caller *c, const struct caller_record *r)
{
  fprintf (c->file, CALLER_RECORD_FORMAT, r->kind, r->service, r->id, r->item,
           r->session, (int)r->outcome, (long long)r->begin_ms,
           (long long)r->end_ms, r->row[0] != '\0' ? r->row : "-");
}

static json_t *
escaped_json (struct bstr bytes)
{
  char *text = site_line_escape (NULL, bytes);
  json_t *json = json_string (text);
  talloc_free (text);
  return json;
}

/* Record a statement that was sent, and its answer. */
static void
write_sent (struct caller *c, struct bstr text, struct bstr shape,
            const struct line_answer *a)
{
  json_t *rows = json_array (), *values = json_object ();
  for (int i = 0; i < c->line->row_count; i++)
    json_array_append_new (rows, escaped_json (c->line->rows[i]));
  if (c->mode.len > 0)
    json_object_set_new (values, "mode", escaped_json (c->mode));
  json_t *sent
      = json_pack ("{s:s, s:s, s:o, s:o, s:o, s:b, s:s, s:o}", "id", a->id,
                   "transaction", c->transaction, "text", escaped_json (text),
                   "shape", escaped_json (shape), "values", values, "ok",
                   a->state != 0 && a->code[0] == '\0', "signature",
                   a->signature, "rows", rows);
  char *line = json_dumps (sent, JSON_COMPACT);
  fprintf (c->sent, "%s\n", line);
  free (line);
  json_decref (sent);
}

/* @return a random text of any bytes, without CR LF inside; half of the bytes
   are those that a reader could mistake. */
static struct bstr
random_text (struct caller *c, void *parent)
{
  static const char special[] = { '\n', '\r', '\0', ' ' };
  char *bytes = talloc_array (parent, char, MAX_RANDOM_BYTES);
  size_t len = 1 + random_below (c, MAX_RANDOM_BYTES);
  for (size_t i = 0; i < len; i++)
    {
      bytes[i] = random_below (c, 2) == 0 ? special[random_below (c, 4)]
                                          : (char)random_below (c, 256);
      if (i > 0 && bytes[i - 1] == '\r' && bytes[i] == '\n')
        bytes[i] = 'x';
    }
  return (struct bstr){ bytes, len };
}

/* @return the text and then the bytes. */
static struct bstr
join (void *parent, const char *text, struct bstr bytes)
{
  size_t len = strlen (text);
  char *joined = talloc_array (parent, char, len + bytes.len + 1);
  memcpy (joined, text, len);
  memcpy (joined + len, bytes.start, bytes.len);
  return (struct bstr){ joined, len + bytes.len };
}

static void
end_session (struct caller *c)
{
  talloc_free (c->line);
  c->line = NULL;
  TALLOC_FREE (c->session_memory);
  c->mode = c->shape = (struct bstr){ "", 0 };
}

/* Set a value and prepare a write, each in half of the sessions.
   @return whether they were accepted. */
static bool
set_up_session (struct caller *c)
{
  struct line_answer a;
  c->session_memory = talloc_new (NULL);
  if (random_below (c, 2) == 0)
    c->mode = random_text (c, c->session_memory);
  if (random_below (c, 2) == 0)
    c->shape = random_text (c, c->session_memory);
  return (c->mode.len == 0
          || line_query_bytes (c->line, &a,
                               join (c->session_memory, "SET mode ", c->mode)))
         && (c->shape.len == 0
             || line_query_bytes (
                 c->line, &a,
                 join (c->session_memory, "PREPARE s1 WRITE ", c->shape)));
}

/* Open a session of a random service and route through a random daemon.
   @return whether the session is ready. */
static bool
begin_session (struct caller *c)
{
  static const char *const names[ROUTES] = { "main", "own", "browse" };
  char database[16];
  struct line_answer a;
  c->service = 1 + (int)random_below (c, (unsigned)c->o->services);
  c->route = (enum route)random_below (c, ROUTES);
  snprintf (database, sizeof database, "%s%d", names[c->route], c->service);
  c->line = line_open (
      NULL, c->o->ports[random_below (c, (unsigned)c->o->port_count)]);
  c->session++;
  if (c->line != NULL && line_start (c->line, database, "key-a1", &a)
      && set_up_session (c))
    return true;
  end_session (c);
  return false;
}

/* Run one write or read in the current session. */
static struct caller_record
run_statement (struct caller *c, bool writes, struct line_answer *a)
{
  static const char kinds[ROUTES] = { 'M', 'O', 'B' };
  struct caller_record r = {
    .kind = writes ? 'W' : kinds[c->route],
    .service = c->service,
    .session = c->session,
    .begin_ms = sessiond_site_now_ms (),
  };
  snprintf (r.item, sizeof r.item, "c%d-%d-%d", c->o->number, c->service,
            c->generation);
  void *memory = talloc_new (NULL);
  bool executes = writes && c->shape.len > 0 && random_below (c, 2) == 0;
  char start[40];
  snprintf (start, sizeof start, "%s%s%s",
            executes ? "EXECUTE s1 "
            : writes ? "WRITE "
                     : "READ ",
            r.item, writes ? " " : "");
  struct bstr text
      = join (memory, start,
              writes ? random_text (c, memory) : (struct bstr){ "", 0 });
  line_query_bytes (c->line, a, text);
  write_sent (c, executes ? bstr_skip (text, strlen ("EXECUTE s1 ")) : text,
              executes ? c->shape : (struct bstr){ "", 0 }, a);
  talloc_free (memory);
  snprintf (r.id, sizeof r.id, "%s", a->id);
  snprintf (r.row, sizeof r.row, "%.23s", a->row);
  r.outcome = outcome_from_answer (a);
  r.end_ms = sessiond_site_now_ms ();
  return r;
}

/* Run a statement outside a transaction.  A write of unknown outcome may still
   take effect later; the next writes therefore go to another item, so that the
   order of the writes of each item is known. */
static void
run_single (struct caller *c)
{
  struct line_answer a;
  struct caller_record r = run_statement (
      c, c->route != ROUTE_BROWSE && random_below (c, 3) == 0, &a);
  write_record (c, &r);
  if (r.kind == 'W' && r.outcome == CALLER_UNKNOWN)
    c->generation++;
  if (a.state != 'I')
    end_session (c);
}

/* Leave a transaction that may have failed: end the session, or roll back and
   keep it. */
static void
leave_transaction (struct caller *c, struct line_answer *a)
{
  if (a->state == 'E' && random_below (c, 2) == 0)
    line_query (c->line, a, "ROLLBACK");
  if (a->state != 'I')
    end_session (c);
}

/* Run a transaction that ends with COMMIT, with ROLLBACK or with the end of
   the session.  All its writes have the outcome of the COMMIT, and are not
   committed if the transaction does not get that far. */
static void
run_transaction (struct caller *c)
{
  struct caller_record writes[MAX_TRANSACTION_STATEMENTS];
  struct line_answer a;
  int count = 0,
      statements = 1 + (int)random_below (c, MAX_TRANSACTION_STATEMENTS);
  bool rolls_back = random_below (c, 5) == 0;
  bool only_reads = random_below (c, 3) == 0;
  enum caller_outcome outcome = CALLER_NOT_COMMITTED;
  if (!line_query (c->line, &a, only_reads ? "BEGIN READ" : "BEGIN"))
    goto done;
  snprintf (c->transaction, sizeof c->transaction, "%s", a.id);
  for (int i = 0; i < statements && a.state == 'T'; i++)
    {
      bool is_write = !only_reads && random_below (c, 2) == 0;
      struct caller_record r = run_statement (c, is_write, &a);
      if (is_write)
        writes[count++] = r;
      if (random_below (c, 4) == 0)
        usleep (random_below (c, 30000));
    }
  if (random_below (c, 15) == 0)
    {
      /* The session ends without COMMIT, so no write is committed. */
      end_session (c);
    }
  else if (a.state == 'T')
    {
      line_query (c->line, &a, rolls_back ? "ROLLBACK" : "COMMIT");
      if (!rolls_back)
        write_sent (c, bstr_from ("COMMIT"), (struct bstr){ "", 0 }, &a);
      outcome = rolls_back ? CALLER_NOT_COMMITTED : outcome_from_answer (&a);
    }
done:
  for (int i = 0; i < count; i++)
    {
      writes[i].outcome = outcome;
      writes[i].end_ms = sessiond_site_now_ms ();
      write_record (c, &writes[i]);
    }
  if (outcome == CALLER_UNKNOWN)
    c->generation++;
  c->transaction[0] = '\0';
  if (c->line != NULL)
    leave_transaction (c, &a);
}

/* Run random operations until the end time in the options. */
static void
run_operations (struct caller *c)
{
  while (sessiond_site_now_ms () < c->o->end_ms)
    {
      if (c->line == NULL && !begin_session (c))
        {
          usleep (20000 + random_below (c, 60000));
          continue;
        }
      if (c->route != ROUTE_BROWSE && random_below (c, 3) == 0)
        run_transaction (c);
      else
        run_single (c);
      if (c->line != NULL && random_below (c, END_SESSION_ONE_IN) == 0)
        end_session (c);
      usleep (random_below (c, MAX_PAUSE_US));
    }
}

pid_t
caller_start (const struct caller_options *options)
{
  fflush (stdout);
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  struct caller c
      = { .o = options,
          .random_state = options->seed * 1000 + (unsigned)options->number };
  c.file = fopen (options->path, "w");
  c.sent = fopen (options->sent_path, "w");
  if (c.file == NULL || c.sent == NULL)
    _exit (1);
  c.mode = c.shape = (struct bstr){ "", 0 };
  run_operations (&c);
  _exit (fclose (c.file) == 0 && fclose (c.sent) == 0 ? 0 : 1);
}
