/** @file
 * azurewind-fault sets faults of a PostgreSQL stand-in.  It connects as the
 * user standin_control, whom the stand-in serves even while it is cut off
 * from all others.
 */
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
set_faults (const char *host, const char *port, const char *faults)
{
  const char *const names[]
      = { "host",    "port",       "user", "dbname", "connect_timeout",
          "sslmode", "gssencmode", NULL };
  /* Encryption is disabled because a partitioned stand-in does not answer a
     request for TLS, which does not name the user yet. */
  const char *const values[] = { host, port,      "standin_control", "standin",
                                 "2",  "disable", "disable",         NULL };
  char sql[256];
  PGconn *conn = PQconnectdbParams (names, values, 0);
  snprintf (sql, sizeof sql, "/* standin: %s */ SELECT 1", faults);
  PGresult *result
      = PQstatus (conn) == CONNECTION_OK ? PQexec (conn, sql) : NULL;
  ExecStatusType status = PQresultStatus (result);
  bool ok = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
  if (!ok)
    fprintf (stderr, "azurewind-fault: %s", PQerrorMessage (conn));
  PQclear (result);
  PQfinish (conn);
  return ok;
}

int
main (int argc, const char **argv)
{
  if (argc != 3 || strchr (argv[1], ':') == NULL
      || strstr (argv[2], "*/") != NULL)
    {
      fprintf (stderr, "usage: azurewind-fault HOST:PORT \"NAME=VALUE...\"\n"
                       "names: cut, apply_lag_ms, ship_delay_ms, "
                       "statement_delay_ms, drop_commit_answer\n");
      return EXIT_FAILURE;
    }
  char host[64];
  const char *port = strchr (argv[1], ':') + 1;
  snprintf (host, sizeof host, "%.*s", (int)(port - 1 - argv[1]), argv[1]);
  return set_faults (host, port, argv[2]) ? EXIT_SUCCESS : EXIT_FAILURE;
}
