/** @file
 * The fault soak: real daemons before the stand-in of the platform, with
 * random faults from outside that overlap, and callers that write down what
 * they are told.  One seed gives one schedule of faults.
 */
#include "tests/relay_site.h"
#include "tests/soak/caller.h"
#include "tests/soak/check.h"
#include "tests/soak/proxy.h"

#include <curl/curl.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_CALLERS 128
#define MAX_ACTIVE 64
/* Faults at a time. */
#define MAX_FAULTS 4
#define STEP_US 10000
/* Longest pause between two faults, and longest fault. */
#define PAUSE_MS 700
#define FAULT_MS 1800
/* Time for the fleet to serve again once all faults are healed. */
#define RECOVER_MS 15000
#define GRACE_MS 1200

struct soak_options
{
  int first;
  int count;
  int seconds;
  int daemons;
  int services;
  int callers;
};

enum link_kind
{
  LINK_CALLERS,
  LINK_BUS,
  LINK_STORE,
  LINK_KINDS
};

enum fault_kind
{
  FAULT_KILL,
  FAULT_TERMINATE,
  FAULT_PAUSE,
  FAULT_HANGUP,
  FAULT_LINK,
  FAULT_DATABASE,
  FAULT_STORE,
  FAULT_CONFIG,
  FAULT_KINDS
};

/** A fault that is undone later. */
struct active
{
  enum fault_kind kind;
  int64_t until_ms;
  int target;
  const char *undo; /**< Of a database or the store. */
};

struct soak
{
  const struct soak_options *o;
  unsigned seed;
  unsigned random;
  struct sessiond_site *site;
  struct proxy *proxy;
  int links[SITE_MAX_DAEMONS][LINK_KINDS];
  bool down[SITE_MAX_DAEMONS]; /**< Ended by the soak. */
  bool paused[SITE_MAX_DAEMONS];
  struct active active[MAX_ACTIVE];
  int active_count;
  int64_t begin_ms;
  int failures;
  char *paths[MAX_CALLERS];
  pid_t callers[MAX_CALLERS];
  int ports[SITE_MAX_DAEMONS];
};

static unsigned
draw (struct soak *s, unsigned bound)
{
  return (unsigned)rand_r (&s->random) % bound;
}

static void
say (const struct soak *s, const char *what, int target, const char *detail)
{
  printf ("seed %u: %5lld ms: %s %d %s\n", s->seed,
          (long long)(sessiond_site_now_ms () - s->begin_ms), what, target,
          detail);
}

static void
undo_later (struct soak *s, enum fault_kind kind, int target, const char *undo)
{
  s->active[s->active_count++] = (struct active){
    .kind = kind,
    .until_ms = sessiond_site_now_ms () + 100 + draw (s, FAULT_MS),
    .target = target,
    .undo = undo,
  };
}

static bool
prepare (struct sessiond_site *site, void *data)
{
  struct soak *s = data;
  int platform = process_port (site->platform);
  for (int i = 0; i < site->daemon_count; i++)
    {
      int port = sessiond_site_port (site, i);
      site->proxy_ports[i].bus = port + 4;
      site->proxy_ports[i].store = port + 5;
      s->ports[i] = port + 6;
      s->links[i][LINK_BUS] = proxy_add (s->proxy, port + 4, port + 3);
      s->links[i][LINK_STORE] = proxy_add (s->proxy, port + 5, platform);
      s->links[i][LINK_CALLERS] = proxy_add (s->proxy, port + 6, port);
      for (int k = 0; k < LINK_KINDS; k++)
        if (s->links[i][k] < 0)
          return false;
    }
  return true;
}

/* Faults. */

static void
disturb_daemon (struct soak *s, enum fault_kind kind)
{
  static const char *const names[]
      = { "kill", "terminate", "pause", "hangup" };
  static const int signals[] = { SIGKILL, SIGTERM, SIGSTOP, SIGHUP };
  int i = (int)draw (s, (unsigned)s->o->daemons);
  if (s->down[i] || s->paused[i])
    return;
  say (s, names[kind], i, "");
  process_signal (s->site->daemons[i], signals[kind]);
  s->down[i] = kind == FAULT_KILL || kind == FAULT_TERMINATE;
  s->paused[i] = kind == FAULT_PAUSE;
  if (kind != FAULT_HANGUP)
    undo_later (s, kind, i, NULL);
}

static void
disturb_link (struct soak *s)
{
  int i = (int)draw (s, (unsigned)s->o->daemons);
  int link = s->links[i][draw (s, LINK_KINDS)];
  enum proxy_fault fault
      = (enum proxy_fault) (1 + draw (s, PROXY_FAULT_COUNT - 1));
  proxy_set (s->proxy, link, fault, 10 + (int)draw (s, 150));
  say (s, "link", link, proxy_fault_name (fault));
  if (fault != PROXY_RESET && fault != PROXY_SILENCE)
    undo_later (s, FAULT_LINK, link, NULL);
}

static bool
database_is_disturbed (const struct soak *s, int service)
{
  for (int i = 0; i < s->active_count; i++)
    if (s->active[i].kind == FAULT_DATABASE
        && s->active[i].target / 3 == service)
      return true;
  return false;
}

static void
set_database (struct soak *s, int target, const char *fault)
{
  char name[16];
  snprintf (name, sizeof name, "db-%d-%c", target / 3 + 1, 'a' + target % 3);
  if (!sessiond_site_fault (s->site, name, fault))
    printf ("%s: %s has failed\n", name, fault);
}

static void
disturb_database (struct soak *s)
{
  static const char *const faults[][2] = { { "kill", "revive" },
                                           { "silence", "speak" },
                                           { "deaf", "hear" },
                                           { "lose", NULL } };
  int service = (int)draw (s, (unsigned)s->o->services);
  int target = service * 3 + (int)draw (s, 3);
  unsigned k = draw (s, 4);
  if (database_is_disturbed (s, service))
    return;
  say (s, "database", target, faults[k][0]);
  set_database (s, target, faults[k][0]);
  if (faults[k][1] != NULL)
    undo_later (s, FAULT_DATABASE, target, faults[k][1]);
}

static void
disturb_store (struct soak *s)
{
  static const char *const names[] = { "down", "lose", "forget" };
  unsigned k = draw (s, 3);
  for (int i = 0; i < s->active_count; i++)
    if (s->active[i].kind == FAULT_STORE)
      return;
  say (s, "store", 0, names[k]);
  sessiond_site_control (s->site, json_pack ("{s:b}", names[k], 1));
  if (k < 2)
    undo_later (s, FAULT_STORE, 0, names[k]);
}

static void
disturb (struct soak *s)
{
  enum fault_kind kind = (enum fault_kind)draw (s, FAULT_KINDS);
  if (s->active_count >= MAX_FAULTS)
    return;
  switch (kind)
    {
    case FAULT_LINK:
      disturb_link (s);
      break;
    case FAULT_DATABASE:
      disturb_database (s);
      break;
    case FAULT_STORE:
      disturb_store (s);
      break;
    case FAULT_CONFIG:
      say (s, "config", 0, "");
      sessiond_site_configure (s->site);
      break;
    default:
      disturb_daemon (s, kind);
      break;
    }
}

static void
fail (struct soak *s, const char *what, int target, const char *detail)
{
  say (s, what, target, detail);
  s->failures++;
}

static void
start_again (struct soak *s, int i)
{
  int code = process_wait (s->site->daemons[i], 5000);
  char detail[32];
  snprintf (detail, sizeof detail, "with code %d", code);
  if (code != 0 && code != 128 + SIGKILL)
    fail (s, "failure: ended", i, detail);
  if (!sessiond_site_start_daemon (s->site, i))
    fail (s, "failure: does not start", i, "");
  s->down[i] = false;
}

static void
undo (struct soak *s, const struct active *a)
{
  switch (a->kind)
    {
    case FAULT_KILL:
    case FAULT_TERMINATE:
      start_again (s, a->target);
      break;
    case FAULT_PAUSE:
      process_signal (s->site->daemons[a->target], SIGCONT);
      s->paused[a->target] = false;
      break;
    case FAULT_LINK:
      proxy_set (s->proxy, a->target, PROXY_PASS, 0);
      break;
    case FAULT_DATABASE:
      set_database (s, a->target, a->undo);
      break;
    default:
      sessiond_site_control (s->site, json_pack ("{s:b}", a->undo, 0));
      break;
    }
}

static void
undo_due (struct soak *s, int64_t now)
{
  for (int i = 0; i < s->active_count;)
    {
      struct active a = s->active[i];
      if (a.until_ms > now)
        {
          i++;
          continue;
        }
      s->active[i] = s->active[--s->active_count];
      undo (s, &a);
    }
}

static void
find_ended (struct soak *s)
{
  for (int i = 0; i < s->o->daemons; i++)
    {
      int code = s->down[i] || s->paused[i]
                     ? -1
                     : process_wait (s->site->daemons[i], 0);
      char detail[32];
      if (code < 0)
        continue;
      snprintf (detail, sizeof detail, "with code %d", code);
      fail (s, "failure: ended by itself", i, detail);
      sessiond_site_start_daemon (s->site, i);
    }
}

/* One seed. */

static void
start_callers (struct soak *s, int64_t end_ms)
{
  for (int i = 0; i < s->o->callers; i++)
    {
      s->paths[i] = talloc_asprintf (s, "%s/caller-%d", s->site->folder, i);
      s->callers[i] = caller_start (&(struct caller_options){
          .seed = s->seed,
          .number = i,
          .services = s->o->services,
          .ports = s->ports,
          .port_count = s->o->daemons,
          .end_ms = end_ms,
          .path = s->paths[i],
      });
    }
}

static void
check (struct soak *s)
{
  json_t *observed = sessiond_site_observed (s->site);
  struct check_result r
      = check_records (observed, (const char *const *)s->paths, s->o->callers);
  json_decref (observed);
  s->failures += r.violations;
  printf ("seed %u: %d statements, writes: %d acknowledged, %d refused, %d "
          "unknown, %d rolled back by a promotion; %d failures\n",
          s->seed, r.records, r.acknowledged, r.refused, r.unknown,
          r.rolled_back, s->failures);
  if (r.acknowledged == 0)
    fail (s, "failure: nothing was served", 0, "");
}

static void
play (struct soak *s)
{
  int64_t next = 0;
  s->begin_ms = sessiond_site_now_ms ();
  int64_t end = s->begin_ms + (int64_t)s->o->seconds * 1000;
  start_callers (s, end);
  while (sessiond_site_now_ms () < end)
    {
      int64_t now = sessiond_site_now_ms ();
      undo_due (s, now);
      find_ended (s);
      if (now >= next)
        {
          disturb (s);
          next = now + draw (s, PAUSE_MS);
        }
      usleep (STEP_US);
    }
  for (int i = 0; i < s->o->callers; i++)
    waitpid (s->callers[i], NULL, 0);
  undo_due (s, INT64_MAX);
  for (int i = 0; i < s->o->daemons; i++)
    for (int k = 1; k <= s->o->services; k++)
      if (!sessiond_site_wait (s->site, i, k, RECOVER_MS))
        fail (s, "failure: does not serve again", i, "");
  find_ended (s);
  check (s);
  for (int i = 0; i < s->o->callers; i++)
    unlink (s->paths[i]);
}

/* @return whether the seed has passed. */
static bool
run_seed (const struct soak_options *o, unsigned seed)
{
  struct soak *s = talloc_zero (NULL, struct soak);
  s->o = o;
  s->seed = seed;
  s->random = seed;
  s->proxy = proxy_start (s);
  s->site = s->proxy == NULL
                ? NULL
                : sessiond_site_start (s, &(struct sessiond_site_options){
                                              .daemons = o->daemons,
                                              .services = o->services,
                                              .lag_ms = 5 + (int)draw (s, 60),
                                              .grace_ms = GRACE_MS,
                                              .prepare = prepare,
                                              .data = s });
  if (s->site != NULL)
    play (s);
  else
    fail (s, "failure: the fleet does not start", 0, "");
  bool passed = s->failures == 0;
  printf ("seed %u: %s\n", seed, passed ? "passed" : "FAILED");
  talloc_free (s);
  return passed;
}

/* Seeds that failed once, one at the begin of each line. */
static bool
run_file (const struct soak_options *o, const char *path, int *passed,
          int *failed)
{
  FILE *file = fopen (path, "r");
  char line[400];
  if (file == NULL)
    {
      printf ("%s cannot be read\n", path);
      return false;
    }
  while (fgets (line, sizeof line, file) != NULL)
    {
      char *end;
      unsigned long seed = strtoul (line, &end, 10);
      if (end != line)
        ++*(run_seed (o, (unsigned)seed) ? passed : failed);
    }
  fclose (file);
  return true;
}

int
main (int argc, const char **argv)
{
  struct soak_options o = { .first = 1,
                            .count = 1,
                            .seconds = 10,
                            .daemons = 5,
                            .services = 2,
                            .callers = 10 };
  char *file = NULL;
  const struct poptOption table[]
      = { { "seeds", '\0', POPT_ARG_STRING, &file, 0,
            "File of seeds to run before the others", "FILE" },
          { "first", '\0', POPT_ARG_INT, &o.first, 0, "First seed", "N" },
          { "count", '\0', POPT_ARG_INT, &o.count, 0, "Seeds", "N" },
          { "seconds", '\0', POPT_ARG_INT, &o.seconds, 0, "Length of one",
            "S" },
          { "daemons", '\0', POPT_ARG_INT, &o.daemons, 0,
            "Daemons, 64 at most", "N" },
          { "services", '\0', POPT_ARG_INT, &o.services, 0,
            "Services, 16 at most", "N" },
          { "callers", '\0', POPT_ARG_INT, &o.callers, 0,
            "Callers, 128 at most", "N" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext popt = poptGetContext ("azurewind-soak", argc, argv, table, 0);
  int rc = poptGetNextOpt (popt), passed = 0, failed = 0;
  if (rc < -1 || o.daemons < 1 || o.daemons > SITE_MAX_DAEMONS
      || o.services < 1 || o.services > 16 || o.callers < 1
      || o.callers > MAX_CALLERS || o.seconds < 1)
    {
      fprintf (stderr, "azurewind-soak: %s\n",
               rc < -1 ? poptStrerror (rc) : "a number is out of range");
      poptFreeContext (popt);
      return 2;
    }
  poptFreeContext (popt);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (file != NULL && !run_file (&o, file, &passed, &failed))
    failed++;
  for (int i = 0; i < o.count; i++)
    if (run_seed (&o, (unsigned)(o.first + i)))
      passed++;
    else
      failed++;
  curl_global_cleanup ();
  free (file);
  printf ("%d passed, %d failed\n", passed, failed);
  return failed == 0 && passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
