/** @file
 * Stand-in for one PostgreSQL server of a group.  It speaks the server's side
 * of the wire protocol, runs SQL with sqlite and replicates by sending
 * committed statements to replicas, which apply them after a settable lag.
 * Faults are injected with statements that begin with a comment
 * "standin:...".
 */
#include "common/address.h"
#include "common/clock.h"
#include "standins/postgres_server.h"
#include "standins/standin.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

static void
on_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde, (void)flags;
  struct server *server = data;
  int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
  if (fd >= 0)
    session_create (server, fd);
}

/* Listen, and print the port for the test that started the program. */
static bool
open_listener (struct server *server, const char *listen_address)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  int one = 1;
  if (!address_parse (listen_address, &address))
    return false;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, SOMAXCONN) != 0)
    return false;
  getsockname (server->listener, (struct sockaddr *)&address, &len);
  tevent_add_fd (server->ev, server, server->listener, TEVENT_FD_READ,
                 on_accept, server);
  printf ("ready port=%d\n", ntohs (address.sin_port));
  fflush (stdout);
  return true;
}

/* A replica that is more than this number of records behind is rebuilt from a
   copy; 200,000 records are 40 s at 5,000 transactions per second. */
#define DEFAULT_RECORDS_KEPT 200000

int
main (int argc, const char **argv)
{
  char *listen_address = NULL;
  char *primary = NULL;
  int apply_lag_ms = 0, ship_delay_ms = 0, connect_delay_ms = 0;
  int round_trip_ms = 0;
  int auto_rebuild = 0, keep_records = DEFAULT_RECORDS_KEPT;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &listen_address, 0,
      "address to listen on; port 0 takes a free one", "HOST:PORT" },
    { "primary", 'p', POPT_ARG_STRING, &primary, 0,
      "start as a replica of this server", "HOST:PORT" },
    { "apply-lag", 0, POPT_ARG_INT, &apply_lag_ms, 0,
      "delay before a received record is replayed", "MS" },
    { "ship-delay", 0, POPT_ARG_INT, &ship_delay_ms, 0,
      "delay before a committed record is sent to replicas", "MS" },
    { "connect-delay", 0, POPT_ARG_INT, &connect_delay_ms, 0,
      "time that opening a connection takes", "MS" },
    { "round-trip", 0, POPT_ARG_INT, &round_trip_ms, 0,
      "time that each Sync and each simple query takes on the network", "MS" },
    { "keep-records", 0, POPT_ARG_INT, &keep_records, 0,
      "least number of committed transactions kept for replicas", "COUNT" },
    { "auto-rebuild", 0, POPT_ARG_NONE, &auto_rebuild, 0,
      "rebuild from the new primary after divergence", NULL },
    POPT_AUTOHELP POPT_TABLEEND
  };
  int status = EXIT_FAILURE;
  struct error err = { 0 };
  struct server *server = NULL;
  if (!standin_read_options ("standin-postgres", options, argc, argv))
    goto done;
  server = talloc_zero (NULL, struct server);
  server->ev = tevent_context_init (server);
  server->apply_lag_ms = apply_lag_ms;
  server->ship_delay_ms = ship_delay_ms;
  server->connect_delay_ms = connect_delay_ms;
  server->round_trip_ms = round_trip_ms;
  server->auto_rebuild = auto_rebuild != 0;
  server->store = store_open (server, &err);
  if (server->store != NULL)
    server->store->min_records_kept
        = keep_records > 0 ? (size_t)keep_records : 1;
  else
    {
      fprintf (stderr, "standin-postgres: %s\n", err.text);
      goto done;
    }
  if (listen_address == NULL)
    listen_address = strdup ("127.0.0.1:0");
  if (!open_listener (server, listen_address))
    {
      fprintf (stderr, "standin-postgres: cannot listen on %s\n",
               listen_address);
      goto done;
    }
  if (primary != NULL)
    {
      server->primary = talloc_strdup (server, primary);
      server->store->in_recovery = true;
      replication_connect (server);
    }
  server->last_received = clock_now ();
  replication_start_keepalive_timer (server);
  standin_run (server->ev);
  status = EXIT_SUCCESS;
done:
  if (server != NULL && server->store != NULL)
    {
      while (server->sessions != NULL)
        session_close (server->sessions);
      store_close (server->store);
    }
  talloc_free (server);
  free (primary);
  free (listen_address);
  return status;
}
