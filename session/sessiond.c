/** @file
 * Starts the parts of the session daemon, runs the loop, and ends it without
 * cutting requests.
 */
#include "session/sessiond.h"

#include "common/log.h"
#include "net/http.h"
#include "platform/store.h"
#include "session/callers.h"
#include "session/commit_query.h"
#include "session/directory.h"
#include "session/fleet.h"
#include "session/owner.h"
#include "session/run.h"
#include "session/voters.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#define PART "relay"

/* Lines about single requests in one second; the rest is counted. */
#define TRACE_PER_S 100
/* Time after which no new sessions arrive: the load balancer asks once a
   second and acts on the second refusal. */
#define BALANCER_US (2200 * USEC_PER_MSEC)
/* Idle sessions are closed in steps of this length, so that callers return
   spread over time. */
#define CLOSE_STEP_US (100 * USEC_PER_MSEC)
/* Before the forced end, to send what is left. */
#define END_MARGIN_US (400 * USEC_PER_MSEC)
/* A changed settings file is noticed within this time without a signal. */
#define SETTINGS_CHECK_US (1000 * USEC_PER_MSEC)
#define HTTP_IDLE_S 30
#define HTTP_CONNECTIONS 32
#define HTTP_BODY_BYTES 4096

struct periodic
{
  struct relay *relay;
  int64_t period_us;
  void (*fire) (void *data);
  void *data;
};

static void schedule (struct periodic *p);

static void
on_period (void *data)
{
  struct periodic *p = data;
  schedule (p);
  p->fire (p->data);
}

static void
schedule (struct periodic *p)
{
  relay_after (p->relay, p, p->period_us, on_period, p);
}

void
relay_every (struct relay *r, void *parent, int64_t period_us,
             void (*fire) (void *data), void *data)
{
  struct periodic *p = talloc_zero (parent, struct periodic);
  *p = (struct periodic){ r, period_us, fire, data };
  schedule (p);
}

struct timer *
relay_after (struct relay *r, void *parent, int64_t us,
             void (*fire) (void *data), void *data)
{
  return timer_after (r->ev, parent, us, fire, data);
}

uint32_t
relay_random (uint32_t bound)
{
  return randombytes_uniform (bound);
}

void
relay_trace (const char *part, const char *format, ...)
{
  static int64_t second;
  static int lines, dropped;
  int64_t now = clock_now () / USEC_PER_SEC;
  char text[700];
  va_list args;
  if (now != second)
    {
      if (dropped > 0)
        log_info (part, "event=lines_dropped count=%d", dropped);
      second = now;
      lines = dropped = 0;
    }
  if (++lines > TRACE_PER_S)
    {
      dropped++;
      return;
    }
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log_info (part, "%s", text);
}

void
relay_config_changed (struct relay *r, const struct config *config)
{
  int64_t now = clock_now ();
  r->config = config;
  for (int i = 0; i < config->organisation_count; i++)
    limits_configure (r->limits, config->organisations[i].id,
                      config->organisations[i].rate,
                      config->organisations[i].burst, now);
  limits_forget_unconfigured (r->limits);
  if (r->owner != NULL)
    owner_config_changed (r->owner);
  if (r->fleet != NULL)
    fleet_services_changed (r->fleet);
}

void
relay_endpoints_changed (struct relay *r)
{
  if (r->owner != NULL)
    owner_endpoints_changed (r->owner);
  if (r->fleet != NULL)
    fleet_services_changed (r->fleet);
}

void
relay_voters_changed (struct relay *r)
{
  if (r->fleet != NULL)
    fleet_voters_changed (r->fleet);
}

/* HTTP: readiness, metrics, status. */

struct probe_handler
{
  struct http_handler base;
  struct relay *relay;
  bool metrics;
};

static bool
is_ready (const struct relay *r)
{
  return r->leaving_since == 0 && r->config != NULL
         && directory_has (r->directory, OBJECT_VOTERS)
         && fleet_in_quorum (r->fleet);
}

static struct bstr
render_metrics (struct relay *r, void *parent)
{
  *stats_counter (r->stats, "azurewind_store_calls_total", "")
      = store_calls (r->store);
  *stats_counter (r->stats, "azurewind_bus_messages_total", "")
      = fleet_messages (r->fleet);
  *stats_counter (r->stats, "azurewind_bus_bytes_total", "")
      = fleet_bytes (r->fleet);
  *stats_counter (r->stats, "azurewind_voter", "") = fleet_is_voter (r->fleet);
  *stats_counter (r->stats, "azurewind_owned_services", "")
      = (uint64_t)owner_count (r->owner);
  *stats_counter (r->stats, "azurewind_loop_lag_us", "")
      = fleet_loop_lag_us (r->fleet);
  *stats_counter (r->stats, "azurewind_sessions", "")
      = (uint64_t)callers_count (r->callers);
  *stats_counter (r->stats, "azurewind_memory_bytes", "")
      = mallinfo2 ().uordblks;
  return stats_render (r->stats, parent);
}

static void
on_request (struct http_handler *handler, struct http_request *request)
{
  struct probe_handler *h = (struct probe_handler *)handler;
  struct relay *r = h->relay;
  if (!h->metrics)
    {
      bool ready = is_ready (r);
      http_reply (request, ready ? 200 : 503, "application/json",
                  bstr_from (ready ? "{\"ready\":true}" : "{\"ready\":false}"),
                  NULL);
      return;
    }
  void *scratch = talloc_new (NULL);
  http_reply (request, 200, "text/plain", render_metrics (r, scratch), NULL);
  talloc_free (scratch);
}

static void
on_connection_closed (struct http_handler *handler, uint64_t connection)
{
  (void)handler, (void)connection;
}

static const struct http_handler_ops probe_ops
    = { .request = on_request, .closed = on_connection_closed };

static bool
serve_http (struct relay *r, const char *address, bool metrics,
            struct error *err)
{
  struct probe_handler *h = talloc_zero (r, struct probe_handler);
  h->base.ops = &probe_ops;
  h->relay = r;
  h->metrics = metrics;
  return http_server_create (r,
                             &(struct http_server_options){
                                 .ev = r->ev,
                                 .address = address,
                                 .handler = &h->base,
                                 .max_body = HTTP_BODY_BYTES,
                                 .max_connections = HTTP_CONNECTIONS,
                                 .idle_seconds = HTTP_IDLE_S },
                             err)
         != NULL;
}

/* The end. */

static void
on_leave_step (void *data)
{
  struct relay *r = data;
  int64_t elapsed = clock_now () - r->leaving_since;
  int64_t grace = r->options->grace_ms * USEC_PER_MSEC;
  int64_t closing = grace / 2 - BALANCER_US;
  int sessions = callers_count (r->callers);
  if (elapsed > BALANCER_US && sessions > 0)
    {
      int64_t left = BALANCER_US + closing - elapsed;
      int64_t steps = left > CLOSE_STEP_US ? left / CLOSE_STEP_US : 1;
      callers_close_idle (r->callers, (int)(sessions / steps) + 1);
    }
  if ((elapsed > BALANCER_US && callers_count (r->callers) == 0
       && owner_pending (r->owner) == 0)
      || elapsed > grace - END_MARGIN_US)
    r->stopped = true;
}

static void
on_terminate (struct tevent_context *ev, struct tevent_signal *se, int signum,
              int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)count, (void)siginfo;
  struct relay *r = data;
  if (r->leaving_since != 0)
    return;
  log_info (PART, "event=leaving signal=%d sessions=%d busy=%d", signum,
            callers_count (r->callers), callers_busy_count (r->callers));
  r->leaving_since = clock_now ();
  owner_leave (r->owner);
  relay_every (r, r, CLOSE_STEP_US, on_leave_step, r);
}

/* A daemon that serves nothing sends its idle callers away; they return to
   one that is ready. */
static void
check_quorum (void *data)
{
  struct relay *r = data;
  int64_t now = clock_now ();
  if (r->leaving_since != 0 || is_ready (r))
    {
      r->unready_since = 0;
      return;
    }
  if (r->unready_since == 0)
    r->unready_since = now;
  if (now - r->unready_since > BALANCER_US)
    callers_close_idle (r->callers, callers_count (r->callers) / 2 + 1);
}

/* Settings. */

struct settings_watch
{
  struct relay *relay;
  const char *path;
  struct timespec changed;
};

/* Addresses stay as they were at the start; the rest takes effect. */
static void
reload (struct settings_watch *w)
{
  struct error err = { 0 };
  struct relay_options *options = relay_options_load (w->relay, w->path, &err);
  if (options == NULL)
    {
      log_warn (PART, "event=settings_rejected reason=\"%s\"", err.text);
      return;
    }
  struct relay_options *own = (struct relay_options *)w->relay->options;
  own->grace_ms = options->grace_ms;
  own->max_sessions = options->max_sessions;
  log_info (PART, "event=settings_reloaded file=%s", w->path);
  talloc_free (options);
}

static void
check_settings (void *data)
{
  struct settings_watch *w = data;
  struct stat now;
  if (stat (w->path, &now) != 0
      || (now.st_mtim.tv_sec == w->changed.tv_sec
          && now.st_mtim.tv_nsec == w->changed.tv_nsec))
    return;
  w->changed = now.st_mtim;
  reload (w);
}

static void
on_hangup (struct tevent_context *ev, struct tevent_signal *se, int signum,
           int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)signum, (void)count, (void)siginfo;
  reload (data);
}

static void
watch_settings (struct relay *r, const char *path)
{
  struct settings_watch *w = talloc_zero (r, struct settings_watch);
  struct stat now;
  w->relay = r;
  w->path = path;
  if (stat (path, &now) == 0)
    w->changed = now.st_mtim;
  tevent_add_signal (r->ev, w, SIGHUP, 0, on_hangup, w);
  relay_every (r, w, SETTINGS_CHECK_US, check_settings, w);
}

/* Microseconds of the time of day: grows from one start to the next. */
static uint64_t
start_time (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

static bool
start_parts (struct relay *r, struct error *err)
{
  const struct relay_options *o = r->options;
  r->ev = tevent_context_init (r);
  r->stats = stats_create (r);
  r->limits = limits_create (r);
  r->self = model_id (bstr_from (o->name));
  r->incarnation = start_time ();
  r->store = store_create (r,
                           &(struct store_options){ .ev = r->ev,
                                                    .objects = o->store,
                                                    .duties = o->duties,
                                                    .holder = o->name },
                           err);
  if (r->store == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "platform");
  r->former = former_create (r);
  r->owner = owner_create (r);
  r->voters = voters_create (r);
  r->directory = directory_create (r);
  r->callers = callers_create (r, err);
  if (r->callers == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "callers' port");
  r->fleet = fleet_create (r, err);
  if (r->fleet == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "bus");
  if (!serve_http (r, o->ready_listen, false, err)
      || !serve_http (r, o->metrics_listen, true, err))
    return error_wrap (err, ERROR_UNAVAILABLE, "HTTP port");
  tevent_add_signal (r->ev, r, SIGTERM, 0, on_terminate, r);
  tevent_add_signal (r->ev, r, SIGINT, 0, on_terminate, r);
  return true;
}

int
relay_run (const char *settings)
{
  struct error err = { 0 };
  int status = EXIT_FAILURE;
  struct relay *r = talloc_zero (NULL, struct relay);
  struct relay_options *options = relay_options_load (r, settings, &err);
  signal (SIGPIPE, SIG_IGN);
  /* One arena: threads of libraries allocate little. */
  mallopt (M_ARENA_MAX, 1);
  if (options == NULL)
    {
      fprintf (stderr, "azurewind-sessiond: %s\n", err.text);
      status = 2;
      goto done;
    }
  r->options = options;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0
      || !log_open_stdout (options->log_level, &err) || !start_parts (r, &err))
    {
      fprintf (stderr, "azurewind-sessiond: %s\n", err.text);
      goto done;
    }
  watch_settings (r, settings);
  relay_every (r, r, USEC_PER_SEC, check_quorum, r);
  printf ("ready port=%s\n", strrchr (options->listen, ':') + 1);
  fflush (stdout);
  log_info (PART,
            "event=started name=%s failure_domain=%s incarnation=%" PRIx64,
            options->name, options->failure_domain, r->incarnation);
  while (!r->stopped && tevent_loop_once (r->ev) == 0)
    ;
  log_info (PART, "event=stopped sessions=%d", callers_count (r->callers));
  status = EXIT_SUCCESS;
done:
  talloc_free (r);
  log_close ();
  curl_global_cleanup ();
  return status;
}
