#include "tests/soak/caller.h"

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
  unsigned random_state;
  struct line_caller *line; /**< Current session; NULL: none. */
  int service;              /**< Service of the current session. */
  enum route route;         /**< Route of the current session. */
  int session;              /**< Number of the current session. */
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

static void
end_session (struct caller *c)
{
  talloc_free (c->line);
  c->line = NULL;
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
  if (c->line != NULL && line_start (c->line, database, "key-a1", &a))
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
  line_query (c->line, a, writes ? "WRITE %s x" : "READ %s", r.item);
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
  enum caller_outcome outcome = CALLER_NOT_COMMITTED;
  if (!line_query (c->line, &a, "BEGIN"))
    goto done;
  for (int i = 0; i < statements && a.state == 'T'; i++)
    {
      bool is_write = random_below (c, 2) == 0;
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
  if (c->line != NULL && a.state != 'I')
    end_session (c);
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
  if (c.file == NULL)
    _exit (1);
  run_operations (&c);
  _exit (fclose (c.file) == 0 ? 0 : 1);
}
