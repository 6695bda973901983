/** @file
 * azurewind-idle opens keep-alive connections to a daemon, makes one call on
 * each and keeps them open, so that the memory of an idle connection can be
 * measured.
 */
#include "common/error.h"

#include <arpa/inet.h>
#include <poll.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 5000

static const char health_request[] = "GET /v1/health HTTP/1.1\r\n"
                                     "Host: 127.0.0.1\r\n\r\n";

static volatile sig_atomic_t stop_requested;

static void
on_signal (int signum)
{
  (void)signum;
  stop_requested = 1;
}

/* Makes one health check.  A single recv is enough, as the answer fits into
   one segment. */
static bool
check_health (int fd, struct error *err)
{
  char answer[4096];
  struct pollfd readable = { .fd = fd, .events = POLLIN };
  if (send (fd, health_request, sizeof health_request - 1, MSG_NOSIGNAL)
      != (ssize_t)(sizeof health_request - 1))
    return error_set (err, ERROR_UNAVAILABLE, "the request was not sent");
  if (poll (&readable, 1, ANSWER_TIMEOUT_MS) != 1
      || recv (fd, answer, sizeof answer, 0) <= 0)
    return error_set (err, ERROR_UNAVAILABLE, "no answer");
  return true;
}

/* Opens @p count connections and makes one call on each.  They stay open until
   the process ends. */
static bool
open_connections (int port, int count, struct error *err)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  for (int i = 0; i < count; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (fd < 0
          || connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
        return error_set (err, ERROR_UNAVAILABLE, "connection %d failed", i);
      if (!check_health (fd, err))
        return error_wrap (err, ERROR_UNAVAILABLE, "idle connection");
    }
  return true;
}

int
main (int argc, const char **argv)
{
  int port = 0, count = 2000, seconds = 60, status = EXIT_FAILURE;
  struct error err = { 0 };
  struct poptOption options[]
      = { { "port", 'p', POPT_ARG_INT, &port, 0,
            "callers' port of a daemon on 127.0.0.1", "PORT" },
          { "connections", 'c', POPT_ARG_INT, &count, 0, "connections to hold",
            "N" },
          { "seconds", 't', POPT_ARG_INT, &seconds, 0,
            "time after which it ends by itself", "S" },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context
      = poptGetContext ("azurewind-idle", argc, argv, options, 0);
  int rc = poptGetNextOpt (context);
  struct sigaction action = { .sa_handler = on_signal };
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  if (rc != -1)
    fprintf (stderr, "azurewind-idle: %s: %s\n",
             poptBadOption (context, POPT_BADOPTION_NOALIAS),
             poptStrerror (rc));
  else if (!open_connections (port, count, &err))
    fprintf (stderr, "azurewind-idle: %s\n", err.text);
  else
    {
      printf ("ready connections=%d\n", count);
      fflush (stdout);
      for (int i = 0; i < seconds && !stop_requested; i++)
        sleep (1);
      status = EXIT_SUCCESS;
    }
  poptFreeContext (context);
  return status;
}
