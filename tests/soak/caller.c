#include "tests/soak/caller.h"

#include "tests/relay_site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <talloc.h>
#include <unistd.h>

/* Statements of a transaction, at most. */
#define MAX_STATEMENTS 4
/* Pause between two operations, at most. */
#define PAUSE_US 16000
/* One session in this many is released after an operation. */
#define RELEASE_ONE_IN 12

enum route
{
  ROUTE_MAIN,
  ROUTE_OWN,
  ROUTE_BROWSE,
  ROUTES
};

struct caller
{
  const struct caller_options *o;
  FILE *file;
  unsigned random;
  struct line_caller *line;
  int service;
  enum route route;
  int session;    /**< Number of the present session. */
  int generation; /**< Of the item; a new one after an unknown outcome. */
};

static unsigned
draw (struct caller *c, unsigned bound)
{
  return (unsigned)rand_r (&c->random) % bound;
}

/* Codes that promise that nothing of the attempt is kept. */
static bool
is_promise (const char *code)
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
outcome_of (const struct line_answer *a)
{
  if (a->state != 0 && a->code[0] == '\0')
    return CALLER_OK;
  return a->state != 0 && is_promise (a->code) ? CALLER_NOT_KEPT
                                               : CALLER_UNKNOWN;
}

static void
record (struct caller *c, const struct caller_record *r)
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

static bool
begin_session (struct caller *c)
{
  static const char *const names[ROUTES] = { "main", "own", "browse" };
  char database[16];
  struct line_answer a;
  c->service = 1 + (int)draw (c, (unsigned)c->o->services);
  c->route = (enum route)draw (c, ROUTES);
  snprintf (database, sizeof database, "%s%d", names[c->route], c->service);
  c->line
      = line_open (NULL, c->o->ports[draw (c, (unsigned)c->o->port_count)]);
  c->session++;
  if (c->line != NULL && line_start (c->line, database, "key-a1", &a))
    return true;
  end_session (c);
  return false;
}

static struct caller_record
run (struct caller *c, bool writes, struct line_answer *a)
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
  r.outcome = outcome_of (a);
  r.end_ms = sessiond_site_now_ms ();
  return r;
}

/* A write of unknown outcome may still happen; the next ones go elsewhere, so
   that their order is known. */
static void
run_single (struct caller *c)
{
  struct line_answer a;
  struct caller_record r
      = run (c, c->route != ROUTE_BROWSE && draw (c, 3) == 0, &a);
  record (c, &r);
  if (r.kind == 'W' && r.outcome == CALLER_UNKNOWN)
    c->generation++;
  if (a.state != 'I')
    end_session (c);
}

static void
run_transaction (struct caller *c)
{
  struct caller_record writes[MAX_STATEMENTS];
  struct line_answer a;
  int count = 0, statements = 1 + (int)draw (c, MAX_STATEMENTS);
  bool rolls_back = draw (c, 5) == 0;
  enum caller_outcome outcome = CALLER_NOT_KEPT;
  if (!line_query (c->line, &a, "BEGIN"))
    goto done;
  for (int i = 0; i < statements && a.state == 'T'; i++)
    {
      bool is_write = draw (c, 2) == 0;
      struct caller_record r = run (c, is_write, &a);
      if (is_write)
        writes[count++] = r;
      if (draw (c, 4) == 0)
        usleep (draw (c, 30000));
    }
  if (draw (c, 15) == 0)
    {
      /* It leaves; without COMMIT nothing is kept. */
      end_session (c);
    }
  else if (a.state == 'T')
    {
      line_query (c->line, &a, rolls_back ? "ROLLBACK" : "COMMIT");
      outcome = rolls_back ? CALLER_NOT_KEPT : outcome_of (&a);
    }
done:
  for (int i = 0; i < count; i++)
    {
      writes[i].outcome = outcome;
      writes[i].end_ms = sessiond_site_now_ms ();
      record (c, &writes[i]);
    }
  if (outcome == CALLER_UNKNOWN)
    c->generation++;
  if (c->line != NULL && a.state != 'I')
    end_session (c);
}

static void
live (struct caller *c)
{
  while (sessiond_site_now_ms () < c->o->end_ms)
    {
      if (c->line == NULL && !begin_session (c))
        {
          usleep (20000 + draw (c, 60000));
          continue;
        }
      if (c->route != ROUTE_BROWSE && draw (c, 3) == 0)
        run_transaction (c);
      else
        run_single (c);
      if (c->line != NULL && draw (c, RELEASE_ONE_IN) == 0)
        end_session (c);
      usleep (draw (c, PAUSE_US));
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
          .random = options->seed * 1000 + (unsigned)options->number };
  c.file = fopen (options->path, "w");
  if (c.file == NULL)
    _exit (1);
  live (&c);
  _exit (fclose (c.file) == 0 ? 0 : 1);
}
