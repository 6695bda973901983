/** @file
 * Starts the modules of the session daemon, runs the event loop, and ends the
 * daemon without interrupting requests.
 */
#include "session/sessiond.h"

#include "common/json_text.h"
#include "common/log.h"
#include "net/http.h"
#include "platform/store.h"
#include "session/callers.h"
#include "session/commit_query.h"
#include "session/directory.h"
#include "session/evacuation.h"
#include "session/fleet.h"
#include "session/owner.h"
#include "session/rate.h"
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

/* Log lines about single requests in one second; further ones are only
   counted. */
#define MAX_REQUEST_LINES_PER_S 100
/* Time until the load balancer sends no new sessions to a daemon that is not
   ready: it checks once a second and acts on the second refusal. */
#define BALANCER_NOTICE_US (2200 * USEC_PER_MSEC)
/* Idle sessions are closed in groups with this period, so that callers
   reconnect spread over time. */
#define CLOSE_PERIOD_US (100 * USEC_PER_MSEC)
/* The daemon answers all callers this long before the forced end, and stops a
   period later, to send the answers. */
#define END_MARGIN_US (400 * USEC_PER_MSEC)
/* Period of the check for a changed settings file, which needs no signal. */
#define SETTINGS_CHECK_PERIOD_US (1000 * USEC_PER_MSEC)
#define HTTP_IDLE_S 30
#define HTTP_CONNECTIONS 32
#define HTTP_BODY_BYTES 4096
/* Blocks of this size are mapped, so that freeing them returns them to the
   system. */
#define LARGE_BLOCK_BYTES (256 << 10)

/** A function that is called periodically. */
struct periodic_call
{
  struct sessiond *sessiond;
  int64_t period_us;
  void (*fire) (void *data);
  void *data;
};

static void schedule_periodic_call (struct periodic_call *p);

static void
on_period (void *data)
{
  struct periodic_call *p = data;
  schedule_periodic_call (p);
  p->fire (p->data);
}

static void
schedule_periodic_call (struct periodic_call *p)
{
  sessiond_call_after (p->sessiond, p, p->period_us, on_period, p);
}

void
sessiond_call_every (struct sessiond *r, void *parent, int64_t period_us,
                     void (*fire) (void *data), void *data)
{
  struct periodic_call *p = talloc_zero (parent, struct periodic_call);
  *p = (struct periodic_call){ r, period_us, fire, data };
  schedule_periodic_call (p);
}

struct timer *
sessiond_call_after (struct sessiond *r, void *parent, int64_t us,
                     void (*fire) (void *data), void *data)
{
  return timer_after (r->ev, parent, us, fire, data);
}

uint32_t
sessiond_random (uint32_t bound)
{
  return randombytes_uniform (bound);
}

void
sessiond_log_request (const char *part, const char *format, ...)
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
  if (++lines > MAX_REQUEST_LINES_PER_S)
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
sessiond_config_changed (struct sessiond *r, const struct config *config)
{
  int64_t now = clock_now ();
  bool is_first = r->config == NULL;
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
  if (is_first && r->callers != NULL)
    callers_config_known (r->callers);
}

void
sessiond_endpoints_changed (struct sessiond *r)
{
  if (r->owner != NULL)
    owner_endpoints_changed (r->owner);
  if (r->fleet != NULL)
    fleet_services_changed (r->fleet);
}

void
sessiond_voters_changed (struct sessiond *r)
{
  if (r->fleet != NULL)
    fleet_voters_changed (r->fleet);
}

/* HTTP: readiness and metrics. */

/** HTTP handler of one port. */
struct monitoring_handler
{
  struct http_handler base;
  struct sessiond *sessiond;
  bool metrics; /**< Serves metrics; otherwise readiness. */
};

static bool
is_ready (const struct sessiond *r)
{
  return r->leaving_since == 0 && r->config != NULL
         && directory_has (r->directory, OBJECT_VOTERS)
         && fleet_in_quorum (r->fleet);
}

static struct bstr
render_metrics (struct sessiond *r, void *parent)
{
  *stats_counter (r->stats, "azurewind_store_calls_total", "")
      = store_calls (r->store);
  *stats_counter (r->stats, "azurewind_bus_messages_total", "")
      = fleet_messages (r->fleet);
  *stats_counter (r->stats, "azurewind_bus_bytes_total", "")
      = fleet_bytes (r->fleet);
  *stats_counter (r->stats, "azurewind_voter", "") = fleet_is_voter (r->fleet);
  *stats_counter (r->stats, "azurewind_owned_services", "")
      = (uint64_t)owner_service_count (r->owner);
  *stats_counter (r->stats, "azurewind_loop_lag_us", "")
      = fleet_loop_lag_us (r->fleet);
  *stats_counter (r->stats, "azurewind_sessions", "")
      = (uint64_t)callers_count (r->callers);
  *stats_counter (r->stats, "azurewind_client_memory_bytes", "")
      = memory_account_total (r->memory);
  *stats_counter (r->stats, "azurewind_memory_bytes", "")
      = mallinfo2 ().uordblks;
  return stats_render (r->stats, parent);
}

/* @return what "azurewind status" shows. */
static struct bstr
render_status (struct sessiond *r, void *parent)
{
  return json_text_take (
      parent,
      json_pack ("{s:s, s:s, s:b, s:b, s:i, s:o}", "name", r->options->name,
                 "failure_domain", r->options->failure_domain, "ready",
                 is_ready (r), "voter", fleet_is_voter (r->fleet), "services",
                 owner_service_count (r->owner), "evacuations",
                 evacuations_describe (r->evacuations)),
      JSON_COMPACT);
}

static void
on_request (struct http_handler *handler, struct http_request *request)
{
  struct monitoring_handler *h = (struct monitoring_handler *)handler;
  struct sessiond *r = h->sessiond;
  if (!h->metrics)
    {
      bool ready = is_ready (r);
      http_reply (request, ready ? 200 : 503, "application/json",
                  bstr_from (ready ? "{\"ready\":true}" : "{\"ready\":false}"),
                  NULL);
      return;
    }
  void *scratch = talloc_new (NULL);
  if (bstr_equals_text (request->path, "/status"))
    http_reply (request, 200, "application/json", render_status (r, scratch),
                NULL);
  else
    http_reply (request, 200, "text/plain", render_metrics (r, scratch), NULL);
  talloc_free (scratch);
}

static void
on_connection_closed (struct http_handler *handler, uint64_t connection)
{
  (void)handler, (void)connection;
}

static const struct http_handler_ops monitoring_ops
    = { .request = on_request, .closed = on_connection_closed };

static bool
serve_http (struct sessiond *r, const char *address, bool metrics,
            struct error *err)
{
  struct monitoring_handler *h = talloc_zero (r, struct monitoring_handler);
  h->base.ops = &monitoring_ops;
  h->sessiond = r;
  h->metrics = metrics;
  return http_server_create (
             r,
             &(struct http_server_options){
                 .ev = r->ev,
                 .address = address,
                 .handler = &h->base,
                 .max_body = HTTP_BODY_BYTES,
                 .max_connections = HTTP_CONNECTIONS,
                 .idle_seconds = HTTP_IDLE_S,
                 .half_request_ms = r->options->half_message_ms },
             err)
         != NULL;
}

/* Shutdown. */

/* Close idle sessions in groups, so that all idle ones are closed at half of
   the grace time, and stop once nothing is left to do or, after an answer to
   every caller, before the grace time ends. */
static void
on_stop_tick (void *data)
{
  struct sessiond *r = data;
  int64_t elapsed = clock_now () - r->leaving_since;
  int64_t grace = r->options->grace_ms * USEC_PER_MSEC;
  int64_t close_duration = grace / 2 - BALANCER_NOTICE_US;
  int sessions = callers_count (r->callers);
  if (elapsed > BALANCER_NOTICE_US && sessions > 0)
    {
      int64_t left = BALANCER_NOTICE_US + close_duration - elapsed;
      int64_t steps = left > CLOSE_PERIOD_US ? left / CLOSE_PERIOD_US : 1;
      callers_close_idle (r->callers, (int)(sessions / steps) + 1);
    }
  if ((elapsed > BALANCER_NOTICE_US && callers_count (r->callers) == 0
       && owner_pending_count (r->owner) == 0
       && !fleet_needs_own_vote (r->fleet))
      || r->ending)
    r->stopped = true;
  else if (elapsed > grace - END_MARGIN_US)
    {
      r->ending = true;
      callers_end_all (r->callers);
    }
}

static void
on_terminate (struct tevent_context *ev, struct tevent_signal *se, int signum,
              int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)count, (void)siginfo;
  struct sessiond *r = data;
  if (r->leaving_since != 0)
    return;
  log_info (PART, "event=leaving signal=%d sessions=%d busy=%d", signum,
            callers_count (r->callers), callers_busy_count (r->callers));
  r->leaving_since = clock_now ();
  owner_release_all (r->owner);
  sessiond_call_every (r, r, CLOSE_PERIOD_US, on_stop_tick, r);
}

/* Close idle sessions of a daemon that is not ready, so that their callers
   reconnect to one that is. */
static void
close_sessions_if_unready (void *data)
{
  struct sessiond *r = data;
  int64_t now = clock_now ();
  if (r->leaving_since != 0 || is_ready (r))
    {
      r->unready_since = 0;
      return;
    }
  if (r->unready_since == 0)
    r->unready_since = now;
  if (now - r->unready_since > BALANCER_NOTICE_US)
    callers_close_idle (r->callers, callers_count (r->callers) / 2 + 1);
}

/* Settings. */

/** The settings file and its newest known time of change. */
struct settings_watch
{
  struct sessiond *sessiond;
  const char *path;
  struct timespec changed;
};

/* Read the settings again.  The grace time and the limit of sessions take
   effect; other settings stay as they were at the start. */
static void
reload_settings (struct settings_watch *w)
{
  struct error err = { 0 };
  struct sessiond_options *options
      = sessiond_options_load (w->sessiond, w->path, &err);
  if (options == NULL)
    {
      log_warn (PART, "event=settings_rejected reason=\"%s\"", err.text);
      return;
    }
  struct sessiond_options *current
      = (struct sessiond_options *)w->sessiond->options;
  current->grace_ms = options->grace_ms;
  current->max_sessions = options->max_sessions;
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
  reload_settings (w);
}

static void
on_hangup (struct tevent_context *ev, struct tevent_signal *se, int signum,
           int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)signum, (void)count, (void)siginfo;
  reload_settings (data);
}

static void
watch_settings (struct sessiond *r, const char *path)
{
  struct settings_watch *w = talloc_zero (r, struct settings_watch);
  struct stat now;
  w->sessiond = r;
  w->path = path;
  if (stat (path, &now) == 0)
    w->changed = now.st_mtim;
  tevent_add_signal (r->ev, w, SIGHUP, 0, on_hangup, w);
  sessiond_call_every (r, w, SETTINGS_CHECK_PERIOD_US, check_settings, w);
}

/* @return the time of day in microseconds, which grows from one start to the
   next. */
static uint64_t
start_time_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

static bool
start_modules (struct sessiond *r, struct error *err)
{
  const struct sessiond_options *o = r->options;
  /* The account is freed after its charges, as talloc frees the newest
     children first. */
  r->memory = memory_account_create (
      r, &(struct memory_account_options){
             .limit = sessiond_options_client_bytes (o),
             .client_limit = (size_t)o->session_memory_kb << 10,
             .pause_bytes = CALLER_PAUSE_BYTES,
             .offender_bytes = CALLER_OFFENDER_BYTES });
  r->ev = tevent_context_init (r);
  r->stats = stats_create (r);
  r->limits = limits_create (
      r, &(struct limits_options){ .rate_schedule = o->rate_schedule });
  r->rate = rate_create (r);
  r->self = model_id (bstr_from (o->name));
  r->incarnation = start_time_us ();
  r->store = store_create (r,
                           &(struct store_options){ .ev = r->ev,
                                                    .objects = o->store,
                                                    .duties = o->duties,
                                                    .holder = o->name },
                           err);
  if (r->store == NULL)
    return error_wrap (err, ERROR_UNAVAILABLE, "platform");
  r->commit_queries = commit_queries_create (r);
  r->owner = owner_create (r);
  r->evacuations = evacuations_create (r);
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
sessiond_run (const char *settings)
{
  struct error err = { 0 };
  int status = EXIT_FAILURE;
  struct sessiond *r = talloc_zero (NULL, struct sessiond);
  struct sessiond_options *options = sessiond_options_load (r, settings, &err);
  signal (SIGPIPE, SIG_IGN);
  /* One arena is enough, as the threads of libraries allocate little. */
  mallopt (M_ARENA_MAX, 1);
  /* A fixed threshold: glibc otherwise raises it to the size of the largest
     block that was freed, and large messages then fragment the heap. */
  mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  if (options == NULL)
    {
      fprintf (stderr, "azurewind-sessiond: %s\n", err.text);
      status = 2;
      goto done;
    }
  r->options = options;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0
      || !log_open_stdout (options->log_level, &err)
      || !start_modules (r, &err))
    {
      fprintf (stderr, "azurewind-sessiond: %s\n", err.text);
      goto done;
    }
  watch_settings (r, settings);
  sessiond_call_every (r, r, USEC_PER_SEC, close_sessions_if_unready, r);
  printf ("ready port=%s\n", strrchr (options->listen, ':') + 1);
  fflush (stdout);
  log_info (PART,
            "event=started name=%s failure_domain=%s incarnation=%" PRIx64
            " clock_ms=%" PRId64,
            options->name, options->failure_domain, r->incarnation,
            clock_now () / USEC_PER_MSEC);
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
