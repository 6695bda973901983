/** @file
 * azurewind-load offers load at given rates, whether or not earlier requests
 * are answered (open loop), prints measurements and compares the ledger with
 * the outcomes at the end.
 */
#include "tools/load.h"
#include "common/clock.h"

#include <inttypes.h>
#include <math.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/* Exit statuses: a guarantee was violated; the ledger could not be read. */
#define EXIT_VIOLATION 2
#define EXIT_UNVERIFIED 3

/** Options of the command line. */
struct load_options
{
  char **urls;
  char **organisations;
  char *direct;
  char *database;
  char *user;
  char *service;
  char *run;
  char *browse_freshness;
  double seconds;
  int seed;
  int deadline_ms;
  int connections;
  int max_in_flight;
  int sessions;
  int no_keys;
  int no_verify;
  int json;
};

static bool
parse_positive_number (const char *name, const char *text, double *value,
                       struct error *err)
{
  char *end = NULL;
  *value = text != NULL ? strtod (text, &end) : NAN;
  if (text == NULL || *end != '\0' || !(*value > 0) || *value > 1e9)
    return error_set (err, ERROR_INVALID,
                      "organisation: %s needs a number above 0", name);
  return true;
}

/* Parses the shares of the classes, for example "20/40/40". */
static bool
parse_mix (struct load_organisation *o, const char *text, struct error *err)
{
  double write, session, browse;
  if (text == NULL
      || sscanf (text, "%lf/%lf/%lf", &write, &session, &browse) != 3
      || write < 0 || session < 0 || browse < 0
      || !(write + session + browse > 0))
    return error_set (err, ERROR_INVALID,
                      "organisation: mix needs WRITE/SESSION/BROWSE");
  double sum = write + session + browse;
  o->class_share[CLASS_WRITE] = write / sum;
  o->class_share[CLASS_SESSION] = session / sum;
  o->class_share[CLASS_BROWSE] = browse / sum;
  return true;
}

/* Parses a specification of an organisation, for example
   "name=a,key=K,rate=100,burst=100,mix=20/40/40,factor=5".
   The commas in @p text are overwritten. */
static struct load_organisation *
parse_organisation (struct load *load, char *text, struct error *err)
{
  enum
  {
    NAME,
    KEY,
    RATE,
    BURST,
    MIX,
    FACTOR
  };
  static char *const tokens[]
      = { "name", "key", "rate", "burst", "mix", "factor", NULL };
  struct load_organisation *o = talloc_zero (load, struct load_organisation);
  bool ok = parse_mix (o, "20/40/40", err);
  o->load_factor = 1;
  while (ok && *text != '\0')
    {
      char *value = NULL;
      switch (getsubopt (&text, tokens, &value))
        {
        case NAME:
          o->name = talloc_strdup (o, value);
          break;
        case KEY:
          o->key = talloc_strdup (o, value);
          break;
        case RATE:
          ok = parse_positive_number ("rate", value, &o->rate, err);
          break;
        case BURST:
          ok = parse_positive_number ("burst", value, &o->burst, err);
          break;
        case MIX:
          ok = parse_mix (o, value, err);
          break;
        case FACTOR:
          ok = parse_positive_number ("factor", value, &o->load_factor, err);
          break;
        default:
          ok = error_set (err, ERROR_INVALID,
                          "organisation: \"%s\" is unknown", value);
        }
    }
  if (ok && (o->name == NULL || o->key == NULL || !(o->rate > 0)))
    ok = error_set (err, ERROR_INVALID,
                    "organisation: name, key and rate are required");
  if (!ok)
    TALLOC_FREE (o);
  else if (!(o->burst > 0))
    o->burst = o->rate > 1 ? o->rate : 1;
  return o;
}

/* Texts have their defaults here, not in the options, as popt does not free a
   default that an option replaces. */
static const char *
text_or_default (const char *text, const char *otherwise)
{
  return text != NULL ? text : otherwise;
}

/* @return the number of texts before the terminating NULL. */
static int
count_texts (char *const *texts)
{
  int count = 0;
  while (texts != NULL && texts[count] != NULL)
    count++;
  return count;
}

/* Creates a run from the options; load->end is set to its duration. */
static struct load *
create_load (const struct load_options *options, struct error *err)
{
  struct load *load = talloc_zero (NULL, struct load);
  struct load_organisation **last = &load->organisations;
  load->ev = tevent_context_init (load);
  load->service = text_or_default (options->service, "ledger");
  load->browse_freshness = text_or_default (options->browse_freshness, "any");
  load->deadline_ms = options->deadline_ms;
  load->max_in_flight = options->max_in_flight;
  load->sessions_per_organisation = options->sessions;
  load->no_keys = options->no_keys != 0;
  load->end = (int64_t)(options->seconds * USEC_PER_SEC);
  load->run_id = options->run != NULL
                     ? talloc_strdup (load, options->run)
                     : talloc_asprintf (load, "r%" PRIx64,
                                        (uint64_t)time (NULL) << 16
                                            | ((uint64_t)getpid () & 0xffff));
  for (int i = 0; i < count_texts (options->organisations); i++)
    {
      struct load_organisation *o
          = parse_organisation (load, options->organisations[i], err);
      if (o == NULL)
        goto fail;
      o->random_state[0] = (unsigned short)options->seed;
      o->random_state[1] = (unsigned short)((unsigned)options->seed >> 16);
      o->random_state[2] = (unsigned short)(i + 1);
      *last = o;
      last = &o->next;
    }
  load->target_count = count_texts (options->urls);
  if (load->organisations == NULL)
    error_set (err, ERROR_INVALID, "no organisation is given");
  else if (options->direct != NULL)
    {
      load->target_count = 1;
      load->transport = load_direct_create (
          load, options->direct, text_or_default (options->database, "d"),
          text_or_default (options->user, "app"), options->connections, err);
    }
  else if (load->target_count == 0)
    error_set (err, ERROR_INVALID, "no --url or --direct is given");
  else
    load->transport = load_http_create (
        load, (const char *const *)options->urls, options->connections, err);
  if (load->transport != NULL)
    return load;
fail:
  talloc_free (load);
  return NULL;
}

static void
free_texts (char **texts)
{
  for (int i = 0; i < count_texts (texts); i++)
    free (texts[i]);
  free (texts);
}

/* @return the exit status. */
static int
run_tool (const struct load_options *options)
{
  struct error err = { 0 };
  int status = EXIT_FAILURE;
  struct load *load = create_load (options, &err);
  if (load == NULL)
    {
      fprintf (stderr, "azurewind-load: %s\n", err.text);
      return status;
    }
  load_run (load);
  bool verified = options->no_verify == 0 && load_verify (load);
  status = EXIT_SUCCESS;
  if (!load_report (load, options->json != 0, verified))
    status = EXIT_VIOLATION;
  else if (!verified && options->no_verify == 0)
    status = EXIT_UNVERIFIED;
  talloc_free (load);
  return status;
}

int
main (int argc, const char **argv)
{
  struct load_options o = { .seconds = 10,
                            .seed = 1,
                            .deadline_ms = 2000,
                            .connections = 64,
                            .max_in_flight = 20000,
                            .sessions = 50 };
  struct poptOption options[] = {
    { "url", 'u', POPT_ARG_ARGV, &o.urls, 0,
      "daemon to send to; may be repeated", "URL" },
    { "organisation", 'o', POPT_ARG_ARGV, &o.organisations, 0,
      "name=,key=,rate= (per second), burst= (rate), mix= (20/40/40 "
      "write/session/browse), factor= (1); may be repeated",
      "SPEC" },
    { "direct", 0, POPT_ARG_STRING, &o.direct, 0,
      "baseline: send straight to this endpoint", "HOST:PORT" },
    { "database", 0, POPT_ARG_STRING, &o.database, 0, "database of --direct",
      "NAME" },
    { "user", 0, POPT_ARG_STRING, &o.user, 0, "user of --direct", "NAME" },
    { "service", 's', POPT_ARG_STRING, &o.service, 0,
      "service that requests name", "NAME" },
    { "seconds", 't', POPT_ARG_DOUBLE, &o.seconds, 0, "length of the load",
      "S" },
    { "seed", 0, POPT_ARG_INT, &o.seed, 0, "of the random source", "N" },
    { "run", 0, POPT_ARG_STRING, &o.run, 0,
      "prefix of all ids; by default time and process", "TEXT" },
    { "deadline", 0, POPT_ARG_INT, &o.deadline_ms, 0, "of each request",
      "MS" },
    { "connections", 'c', POPT_ARG_INT, &o.connections, 0,
      "at most, for each daemon or the endpoint", "N" },
    { "max-in-flight", 0, POPT_ARG_INT, &o.max_in_flight, 0,
      "requests beyond this are not sent and counted as unsent", "N" },
    { "sessions", 0, POPT_ARG_INT, &o.sessions, 0,
      "sessions of each organisation; more are opened when all wait", "N" },
    { "browse-freshness", 0, POPT_ARG_STRING, &o.browse_freshness, 0,
      "any or bounded:MS", "CLASS" },
    { "no-keys", 0, POPT_ARG_NONE, &o.no_keys, 0,
      "send writes without idempotency keys", NULL },
    { "no-verify", 0, POPT_ARG_NONE, &o.no_verify, 0,
      "do not compare the ledger with the outcomes", NULL },
    { "json", 'j', POPT_ARG_NONE, &o.json, 0, "print JSON", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context
      = poptGetContext ("azurewind-load", argc, argv, options, 0);
  int rc = poptGetNextOpt (context);
  int status = EXIT_FAILURE;
  signal (SIGPIPE, SIG_IGN);
  if (rc != -1)
    fprintf (stderr, "azurewind-load: %s: %s\n", poptBadOption (context, 0),
             poptStrerror (rc));
  else if (!(o.seconds > 0) || o.deadline_ms <= 0 || o.connections <= 0
           || o.sessions < 0)
    fprintf (stderr, "azurewind-load: a number is out of range\n");
  else
    status = run_tool (&o);
  free_texts (o.urls);
  free_texts (o.organisations);
  free (o.direct);
  free (o.database);
  free (o.user);
  free (o.service);
  free (o.run);
  free (o.browse_freshness);
  poptFreeContext (context);
  return status;
}
