/** @file
 * standin-site: the stand-in for the users' platform as a program.
 */
#include "standins/site.h"

#include "common/log.h"
#include "standins/standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/** Data of the store's callbacks. The store is created first, as the databases
 * publish themselves in it. */
struct site
{
  struct site_databases *databases; /**< NULL: not created yet. */
};

static unsigned
on_promote (void *data, const char *service, const char *id,
            struct bstr holder, uint64_t token)
{
  struct site *site = data;
  return site_databases_promote (site->databases, service, id, holder, token);
}

static bool
on_set_fault (void *data, const char *id, const char *fault)
{
  struct site *site = data;
  return site_databases_set_fault (site->databases, id, fault);
}

static json_t *
on_get_observations (void *data)
{
  struct site *site = data;
  return site_databases_get_observations (site->databases);
}

int
main (int argc, const char **argv)
{
  struct error err = { 0 };
  int port = 0, status = EXIT_FAILURE;
  struct site_databases_options options = {
    .services = 1,
    .zones = 1,
    .replicas = 2,
    .work_ms = 1,
    .lag_ms = 5,
    .promote_ms = 200,
    .max_connections = 40,
    .seed = 1,
  };
  const struct poptOption table[] = {
    { "port", '\0', POPT_ARG_INT, &port, 0, "Port of the store", "PORT" },
    { "services", '\0', POPT_ARG_INT, &options.services, 0, "Services", "N" },
    { "zones", '\0', POPT_ARG_INT, &options.zones, 0, "Failure domains", "N" },
    { "work-ms", '\0', POPT_ARG_INT, &options.work_ms, 0,
      "Time of a statement", "MS" },
    { "promote-ms", '\0', POPT_ARG_INT, &options.promote_ms, 0,
      "Time until a promotion takes effect", "MS" },
    { "lag-ms", '\0', POPT_ARG_INT, &options.lag_ms, 0, "Lag of replicas",
      "MS" },
    { "connections", '\0', POPT_ARG_INT, &options.max_connections, 0,
      "Most connections of a database", "N" },
    { "seed", '\0', POPT_ARG_INT, &options.seed, 0,
      "Seed of what faults choose at random", "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  if (!standin_read_options ("standin-site", table, argc, argv))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  struct tevent_context *ev = tevent_context_init (NULL);
  struct site *site = talloc_zero (ev, struct site);
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  struct site_store *store = NULL;
  if (log_open ("info", &err))
    store = site_store_create (
        site,
        &(struct site_store_options){ .ev = ev,
                                      .address = address,
                                      .promote = on_promote,
                                      .set_fault = on_set_fault,
                                      .get_observations = on_get_observations,
                                      .data = site },
        &err);
  if (store != NULL)
    {
      options.ev = ev;
      options.store = store;
      site->databases = site_databases_create (site, &options, &err);
    }
  if (site->databases == NULL)
    {
      fprintf (stderr, "standin-site: %s\n", err.text);
      goto done;
    }
  printf ("ready port=%d\n", site_store_port (store));
  fflush (stdout);
  standin_run (ev);
  status = EXIT_SUCCESS;
done:
  talloc_free (ev);
  log_close ();
  return status;
}
