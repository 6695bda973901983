/** @file
 * Main function of azurewindd: reads the settings, starts the components and
 * runs the event loop.
 */
#include "common/clock.h"
#include "common/file.h"
#include "common/log.h"
#include "daemon/admin.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/front.h"
#include "daemon/group.h"
#include "daemon/peers.h"

#include "core/request.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

/* Largest size of the fleet secret, TLS certificate or TLS key file. */
#define MAX_FILE_BYTES 1000000

#define PART "daemon"

/* Derives the token key and the peer key from the fleet secret.  Its file
   contains 64 hexadecimal digits, for example from "azurewind secret
   create". */
static bool
load_secret (struct daemon *d, struct error *err)
{
  unsigned char secret[SECRET_BYTES];
  size_t len = 0;
  char *text
      = file_read (d, d->options->secret_file, MAX_FILE_BYTES, NULL, err);
  if (text == NULL)
    return error_wrap (err, ERROR_INVALID, "fleet secret");
  int rc = sodium_hex2bin (secret, sizeof secret, text, strcspn (text, "\n"),
                           " ", &len, NULL);
  sodium_memzero (text, strlen (text));
  talloc_free (text);
  if (rc != 0 || len != sizeof secret)
    return error_set (err, ERROR_INVALID, "%s must hold %d hexadecimal digits",
                      d->options->secret_file, 2 * SECRET_BYTES);
  secret_derive (d->token_key, secret, "session");
  secret_derive (d->peer_key, secret, "peer");
  sodium_memzero (secret, sizeof secret);
  return true;
}

/* Reads the TLS certificate and key if the options name them. */
static bool
load_tls (struct daemon *d, struct error *err)
{
  if (d->options->tls_certificate == NULL)
    return true;
  d->tls_certificate_text
      = file_read (d, d->options->tls_certificate, MAX_FILE_BYTES, NULL, err);
  if (d->tls_certificate_text == NULL)
    return false;
  d->tls_key_text
      = file_read (d, d->options->tls_key, MAX_FILE_BYTES, NULL, err);
  return d->tls_key_text != NULL;
}

/* Reads the state chart of requests. */
static bool
load_charts (struct daemon *d, struct error *err)
{
  char *path = talloc_asprintf (d, "%s/request.chart", d->options->charts);
  d->request_chart = chart_load (d, request_vocabulary (), path, err);
  talloc_free (path);
  return d->request_chart != NULL;
}

static void
on_signal (struct tevent_context *ev, struct tevent_signal *se, int signum,
           int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)signum, (void)count, (void)siginfo;
  daemon_drain (data);
}

static void
free_retired_groups (void *data)
{
  group_free_retired (data);
}

static bool
start_components (struct daemon *d, struct error *err)
{
  d->ev = tevent_context_init (d);
  d->stats = stats_create (d);
  d->id = daemon_random_id ();
  if (!load_secret (d, err) || !load_tls (d, err) || !load_charts (d, err))
    return false;
  d->control = control_create (d, err);
  if (d->control == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "platform");
  d->peers = peers_create (d, err);
  if (d->peers == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "peers");
  d->admin = admin_create (d, err);
  if (d->admin == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "admin port");
  d->front = front_create (d, err);
  if (d->front == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "callers' port");
  daemon_add_repeating_timer (d, d, USEC_PER_SEC, free_retired_groups, d);
  tevent_add_signal (d->ev, d, SIGTERM, 0, on_signal, d);
  tevent_add_signal (d->ev, d, SIGINT, 0, on_signal, d);
  return true;
}

int
main (int argc, const char **argv)
{
  struct error err = { 0 };
  int status = EXIT_FAILURE;
  struct daemon *d = talloc_zero (NULL, struct daemon);
  struct daemon_options *options = daemon_options_parse (d, argc, argv, &err);
  if (options == NULL)
    {
      fprintf (stderr, "azurewindd: %s\n", err.text);
      status = 2;
      goto done;
    }
  if (options->exit_now)
    {
      status = EXIT_SUCCESS;
      goto done;
    }
  signal (SIGPIPE, SIG_IGN);
  d->options = options;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0
      || !log_open (options->log_level, &err) || !start_components (d, &err))
    {
      fprintf (stderr, "azurewindd: %s\n", err.text);
      goto done;
    }
  printf ("ready port=%d admin=%d peers=%s\n", front_port (d->front),
          admin_port (d->admin), bus_address (d->bus));
  fflush (stdout);
  while (!d->stopped && tevent_loop_once (d->ev) == 0)
    ;
  log_info (PART, "stopped");
  status = EXIT_SUCCESS;
done:
  talloc_free (d);
  log_close ();
  curl_global_cleanup ();
  return status;
}
