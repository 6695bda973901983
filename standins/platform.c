/** @file
 * standin-platform: stand-in for the platform's object API. It serves objects
 * with versions and long polls and the list of VMs, and injects the faults
 * that a test sets through POST /standin/faults.
 */
#include "common/address.h"
#include "common/clock.h"
#include "standins/platform_objects.h"
#include "standins/standin.h"

#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <tevent.h>

#define MAX_VALUE_BYTES ((size_t)1024 * 1024)
#define MAX_CONNECTIONS 20000
#define MAX_WATCH_MS 60000
/* Memory pool of a connection, which a suspended watch keeps allocated; 4 KB
   is enough for the request line and headers of every call. */
#define CONNECTION_POOL_BYTES 4096
#define CALL_HISTORY_SECONDS 60

/** Calls of the platform's API, counted by kind. */
enum call_kind
{
  CALL_GET,
  CALL_PUT,
  CALL_WATCH,
  CALL_VMS,
  CALL_KINDS
};

static const char *const call_kind_names[CALL_KINDS]
    = { "get", "put", "watch", "vms" };

/** The calls that arrived in one second. */
struct call_counts
{
  int64_t second; /**< Time of that second, s. */
  uint64_t calls[CALL_KINDS];
};

/** The state of the stand-in. */
struct server
{
  struct tevent_context *ev;
  struct MHD_Daemon *http_daemon;
  struct tevent_timer *timer; /**< Next run of libmicrohttpd. */
  bool resumed; /**< A request was resumed since libmicrohttpd last ran. */
  struct objects *objects;
  struct vms *vms;
  struct request *suspended; /**< Watches and delayed answers. */
  int suspended_count;
  /* Faults that a test sets. */
  bool down;            /**< Close connections without an answer. */
  int64_t delay_ms;     /**< Delay of answers, but for suspended watches. */
  int64_t lose_answers; /**< Number of updates yet to run unanswered. */
  int64_t refuse;       /**< Number of calls yet to answer with 503. */
  int64_t vms_lag_ms;   /**< Age at which a change of a VM is listed. */
  uint64_t calls[CALL_KINDS]; /**< Calls since the start. */
  /** Ring of the last seconds: second s is at index s modulo the size. */
  struct call_counts seconds[CALL_HISTORY_SECONDS];
};

/** One HTTP request. */
struct request
{
  struct request *prev, *next; /**< Neighbours among suspended requests. */
  struct server *server;
  struct MHD_Connection *connection;
  const char *method;
  char *url;
  char *body;
  size_t body_len;
  bool too_large; /**< The body exceeds MAX_VALUE_BYTES. */
  bool is_suspended;
  char *prefix;     /**< Name prefix of a watch; NULL: not a watch. */
  uint64_t since;   /**< Revision from which a watch reports changes. */
  int64_t deadline; /**< When a watch ends without a change, us. */
  bool drop;        /**< Close the connection without an answer. */
  json_t *reply;    /**< Answer, sent at once or after the delay. */
  unsigned status;  /**< HTTP status of the answer. */
  struct tevent_timer *resume_timer; /**< Ends the suspension; NULL: none. */
};

static void run_http_daemon (struct server *server);

static void
on_http_daemon_timer (struct tevent_context *ev, struct tevent_timer *te,
                      struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct server *server = data;
  server->timer = NULL;
  run_http_daemon (server);
}

static void
schedule_http_daemon (struct server *server, struct timeval when)
{
  TALLOC_FREE (server->timer);
  server->timer = tevent_add_timer (server->ev, server, when,
                                    on_http_daemon_timer, server);
}

/* Run libmicrohttpd once, and schedule its next run in the event loop if it
   has more to do or waits for a timeout. */
static void
run_http_daemon (struct server *server)
{
  MHD_UNSIGNED_LONG_LONG ms;
  server->resumed = false;
  MHD_run (server->http_daemon);
  TALLOC_FREE (server->timer);
  /* MHD_get_timeout does not count connections that a handler resumed. */
  if (server->resumed)
    schedule_http_daemon (server, tevent_timeval_zero ());
  else if (MHD_get_timeout (server->http_daemon, &ms) == MHD_YES)
    schedule_http_daemon (
        server, tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                            (uint32_t)(ms % 1000) * 1000));
}

static void
on_http_daemon_ready (struct tevent_context *ev, struct tevent_fd *fde,
                      uint16_t flags, void *data)
{
  (void)ev, (void)fde, (void)flags;
  run_http_daemon (data);
}

static void
count_call (struct server *server, enum call_kind kind)
{
  int64_t now = clock_now () / USEC_PER_SEC;
  struct call_counts *second = &server->seconds[now % CALL_HISTORY_SECONDS];
  if (second->second != now)
    *second = (struct call_counts){ .second = now };
  second->calls[kind]++;
  server->calls[kind]++;
}

/* Remove the request from the list of suspended ones, if it is there. */
static void
remove_suspended (struct request *r)
{
  if (!r->is_suspended)
    return;
  if (r->prev != NULL)
    r->prev->next = r->next;
  else
    r->server->suspended = r->next;
  if (r->next != NULL)
    r->next->prev = r->prev;
  r->is_suspended = false;
  r->server->suspended_count--;
}

static void
resume_request (struct request *r)
{
  remove_suspended (r);
  TALLOC_FREE (r->resume_timer);
  MHD_resume_connection (r->connection);
  r->server->resumed = true;
  schedule_http_daemon (r->server, tevent_timeval_zero ());
}

static void
on_resume_timer (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct request *r = data;
  r->resume_timer = NULL;
  resume_request (r);
}

/* Suspend the request for @p usec microseconds, or until it is resumed. */
static void
suspend_request (struct request *r, int64_t usec)
{
  struct server *server = r->server;
  r->prev = NULL;
  r->next = server->suspended;
  if (r->next != NULL)
    r->next->prev = r;
  server->suspended = r;
  server->suspended_count++;
  r->is_suspended = true;
  MHD_suspend_connection (r->connection);
  r->resume_timer = tevent_add_timer (
      server->ev, r,
      tevent_timeval_current_ofs ((uint32_t)(usec / USEC_PER_SEC),
                                  (uint32_t)(usec % USEC_PER_SEC)),
      on_resume_timer, r);
}

/* Resume the watches whose prefix matches the object @p name; NULL: resume
   all suspended requests. */
static void
resume_matching (struct server *server, const char *name)
{
  struct request *next;
  for (struct request *r = server->suspended; r != NULL; r = next)
    {
      next = r->next;
      if (name == NULL
          || (r->prefix != NULL && r->reply == NULL
              && strncmp (name, r->prefix, strlen (r->prefix)) == 0))
        resume_request (r);
    }
}

static void
set_reply (struct request *r, unsigned status, json_t *body)
{
  r->status = status;
  r->reply = body;
}

static void
set_error_reply (struct request *r, unsigned status, const char *text)
{
  set_reply (r, status, json_pack ("{s:s}", "error", text));
}

/* @return the parameter or header as a number, @p fallback if it is absent,
   negative or not a number. */
static int64_t
parse_number (struct request *r, enum MHD_ValueKind kind, const char *name,
              int64_t fallback)
{
  const char *text = MHD_lookup_connection_value (r->connection, kind, name);
  char *end = NULL;
  if (text == NULL || *text == '\0')
    return fallback;
  int64_t value = strtoll (text, &end, 10);
  return *end == '\0' && value >= 0 ? value : fallback;
}

static void
get_object (struct request *r, const char *name)
{
  const struct object *object = objects_find (r->server->objects, name);
  count_call (r->server, CALL_GET);
  if (object == NULL)
    set_error_reply (r, MHD_HTTP_NOT_FOUND, "the object does not exist");
  else
    set_reply (r, MHD_HTTP_OK, objects_to_json (object));
}

/* Answer with the current state of an object whose version did not match. */
static void
set_mismatch_reply (struct request *r, const char *name)
{
  const struct object *object = objects_find (r->server->objects, name);
  set_reply (r, MHD_HTTP_PRECONDITION_FAILED,
             object != NULL ? objects_to_json (object)
                            : json_pack ("{s:s, s:i, s:n}", "name", name,
                                         "version", 0, "value"));
}

static void
update_object (struct request *r, const char *name, bool delete)
{
  struct server *server = r->server;
  struct bstr value = { r->body, r->body_len };
  int64_t version
      = parse_number (r, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_MATCH, -1);
  /* NULL if the value is not UTF-8. */
  json_t *utf8_value
      = json_stringn (r->body != NULL ? r->body : "", r->body_len);
  count_call (server, CALL_PUT);
  if (version < 0)
    set_error_reply (r, MHD_HTTP_BAD_REQUEST,
                     "the header If-Match must hold a version");
  else if (r->too_large)
    set_error_reply (r, MHD_HTTP_CONTENT_TOO_LARGE, "the value exceeds 1 MB");
  else if (utf8_value == NULL)
    set_error_reply (r, MHD_HTTP_BAD_REQUEST, "the value is not UTF-8");
  else
    {
      uint64_t new_version = objects_update (
          server->objects, name, (uint64_t)version, delete ? NULL : &value);
      if (new_version == 0)
        set_mismatch_reply (r, name);
      else
        {
          set_reply (r, MHD_HTTP_OK,
                     json_pack ("{s:I}", "version", (json_int_t)new_version));
          resume_matching (server, name);
          if (server->lose_answers > 0)
            {
              server->lose_answers--;
              r->drop = true;
            }
        }
    }
  json_decref (utf8_value);
}

/* Answer a watch if there are changes or its time is up, otherwise suspend
   it. */
static void
continue_watch (struct request *r)
{
  const struct objects *objects = r->server->objects;
  json_t *changed = objects_changes_to_json (objects, r->prefix, r->since);
  int64_t left = r->deadline - clock_now ();
  if (json_array_size (changed) > 0 || left <= 0)
    set_reply (r, MHD_HTTP_OK,
               json_pack ("{s:I, s:o}", "revision",
                          (json_int_t)objects_revision (objects), "objects",
                          changed));
  else
    {
      json_decref (changed);
      suspend_request (r, left);
    }
}

static void
start_watch (struct request *r)
{
  struct server *server = r->server;
  const char *prefix = MHD_lookup_connection_value (
      r->connection, MHD_GET_ARGUMENT_KIND, "prefix");
  int64_t timeout_ms
      = parse_number (r, MHD_GET_ARGUMENT_KIND, "timeout_ms", 0);
  count_call (server, CALL_WATCH);
  if (timeout_ms > MAX_WATCH_MS)
    timeout_ms = MAX_WATCH_MS;
  r->deadline = clock_now () + timeout_ms * USEC_PER_MSEC;
  r->prefix = talloc_strdup (r, prefix != NULL ? prefix : "");
  r->since = (uint64_t)parse_number (r, MHD_GET_ARGUMENT_KIND, "since", 0);
  /* A revision ahead of the store comes from an earlier run of this process:
     report all objects. */
  if (r->since > objects_revision (server->objects))
    r->since = 0;
  continue_watch (r);
}

static void
set_vm (struct request *r, const char *name, bool present)
{
  json_t *body
      = json_loadb (r->body != NULL ? r->body : "", r->body_len, 0, NULL);
  vms_set (r->server->vms, name, present,
           json_is_true (json_object_get (body, "leaving")), clock_now ());
  json_decref (body);
  set_reply (r, MHD_HTTP_OK, json_object ());
}

static void
list_vms (struct request *r)
{
  struct server *server = r->server;
  count_call (server, CALL_VMS);
  set_reply (r, MHD_HTTP_OK,
             vms_to_json (server->vms,
                          clock_now () - server->vms_lag_ms * USEC_PER_MSEC));
}

static void
set_faults (struct request *r)
{
  struct server *server = r->server;
  json_t *body
      = json_loadb (r->body != NULL ? r->body : "", r->body_len, 0, NULL);
  json_int_t delay = server->delay_ms, lose = server->lose_answers;
  json_int_t refuse = server->refuse, lag = server->vms_lag_ms;
  int down = server->down;
  if (json_unpack (body, "{s?b, s?I, s?I, s?I, s?I !}", "down", &down,
                   "delay_ms", &delay, "lose_answers", &lose, "refuse",
                   &refuse, "vms_lag_ms", &lag)
          != 0
      || delay < 0 || delay > MAX_WATCH_MS)
    set_error_reply (r, MHD_HTTP_BAD_REQUEST,
                     "expected an object of down, delay_ms, lose_answers, "
                     "refuse, vms_lag_ms");
  else
    {
      server->down = down != 0;
      server->delay_ms = delay;
      server->lose_answers = lose;
      server->refuse = refuse;
      server->vms_lag_ms = lag;
      if (server->down)
        resume_matching (server, NULL);
      set_reply (r, MHD_HTTP_OK, json_object ());
    }
  json_decref (body);
}

static json_t *
counts_to_json (const uint64_t *calls)
{
  json_t *object = json_object ();
  for (int i = 0; i < CALL_KINDS; i++)
    json_object_set_new (object, call_kind_names[i],
                         json_integer ((json_int_t)calls[i]));
  return object;
}

static void
get_calls (struct request *r)
{
  const struct server *server = r->server;
  int64_t now = clock_now () / USEC_PER_SEC;
  json_t *body = counts_to_json (server->calls);
  json_t *seconds = json_array ();
  for (int64_t s = now - CALL_HISTORY_SECONDS + 1; s <= now; s++)
    {
      const struct call_counts *second
          = &server->seconds[s % CALL_HISTORY_SECONDS];
      if (s < 0 || second->second != s)
        continue;
      json_t *entry = counts_to_json (second->calls);
      json_object_set_new (entry, "ago", json_integer (now - s));
      json_array_append_new (seconds, entry);
    }
  json_object_set_new (body, "per_second", seconds);
  json_object_set_new (body, "waiting",
                       json_integer (server->suspended_count));
  set_reply (r, MHD_HTTP_OK, body);
}

/* @return the part of the URL after @p prefix; NULL if the URL does not start
   with it or ends there. */
static const char *
find_suffix (const char *url, const char *prefix)
{
  size_t n = strlen (prefix);
  return strncmp (url, prefix, n) == 0 && url[n] != '\0' ? url + n : NULL;
}

/* Whether the request has this method and this URL.
   @param url NULL: any URL. */
static bool
matches_call (const struct request *r, const char *method, const char *url)
{
  return strcmp (r->method, method) == 0
         && (url == NULL || strcmp (r->url, url) == 0);
}

/* Serve a call that the test itself makes; faults do not apply to it.
   @return false if the request is not such a call. */
static bool
route_test_call (struct request *r)
{
  const char *vm = find_suffix (r->url, "/vms/");
  if (matches_call (r, "POST", "/standin/faults"))
    set_faults (r);
  else if (matches_call (r, "GET", "/standin/calls"))
    get_calls (r);
  else if (vm != NULL && matches_call (r, "PUT", NULL))
    set_vm (r, vm, true);
  else if (vm != NULL && matches_call (r, "DELETE", NULL))
    set_vm (r, vm, false);
  else
    return false;
  return true;
}

/* Serve a request: set its answer, suspend it or mark it to be dropped. */
static void
route_request (struct request *r)
{
  struct server *server = r->server;
  const char *object = find_suffix (r->url, "/objects/");
  if (route_test_call (r))
    return;
  if (server->down)
    {
      r->drop = true;
      return;
    }
  if (server->refuse > 0)
    {
      server->refuse--;
      set_error_reply (r, MHD_HTTP_SERVICE_UNAVAILABLE, "refused by a fault");
    }
  else if (object != NULL && matches_call (r, "GET", NULL))
    get_object (r, object);
  else if (object != NULL && matches_call (r, "PUT", NULL))
    update_object (r, object, false);
  else if (object != NULL && matches_call (r, "DELETE", NULL))
    update_object (r, object, true);
  else if (matches_call (r, "GET", "/watch"))
    start_watch (r);
  else if (matches_call (r, "GET", "/vms"))
    list_vms (r);
  else
    set_error_reply (r, MHD_HTTP_NOT_FOUND, "no such call");
  /* The delay affects the answer only: an update takes effect when it arrives.
     That is the harder case for a client that gives up waiting. */
  if (server->delay_ms > 0 && !r->is_suspended)
    suspend_request (r, server->delay_ms * USEC_PER_MSEC);
}

static enum MHD_Result
send_reply (struct request *r)
{
  char *text = json_dumps (r->reply, JSON_COMPACT | JSON_ENCODE_ANY);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  enum MHD_Result result
      = MHD_queue_response (r->connection, r->status, response);
  MHD_destroy_response (response);
  return result;
}

/* libmicrohttpd calls this with the headers, with each part of the body, at
   the end of the body, and again after each resumption. */
static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload,
            size_t *upload_size, void **request)
{
  (void)version;
  struct server *server = data;
  struct request *r = *request;
  if (r == NULL)
    {
      r = talloc_zero (server, struct request);
      r->server = server;
      r->connection = connection;
      r->url = talloc_strdup (r, url);
      r->method = talloc_strdup (r, method);
      *request = r;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      r->too_large
          = r->too_large || r->body_len + *upload_size > MAX_VALUE_BYTES;
      if (!r->too_large)
        {
          r->body
              = talloc_realloc (r, r->body, char, r->body_len + *upload_size);
          memcpy (r->body + r->body_len, upload, *upload_size);
          r->body_len += *upload_size;
        }
      *upload_size = 0;
      return MHD_YES;
    }
  if (r->prefix == NULL && r->reply == NULL)
    route_request (r);
  else if (r->reply == NULL && !server->down)
    continue_watch (r);
  if (r->is_suspended)
    return MHD_YES;
  /* MHD_NO closes the connection without an answer. */
  return r->drop || r->reply == NULL ? MHD_NO : send_reply (r);
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  (void)data, (void)connection, (void)code;
  struct request *r = *request;
  if (r == NULL)
    return;
  remove_suspended (r);
  json_decref (r->reply);
  talloc_free (r);
  *request = NULL;
}

static bool
start_http_daemon (struct server *server, const char *listen_address)
{
  struct sockaddr_in address;
  if (!address_parse (listen_address, &address))
    return false;
  server->http_daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
      server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)MAX_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_POOL_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE,
      (unsigned)1, MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)4096,
      MHD_OPTION_END);
  if (server->http_daemon == NULL)
    return false;
  const union MHD_DaemonInfo *epoll
      = MHD_get_daemon_info (server->http_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tevent_add_fd (server->ev, server, epoll->epoll_fd, TEVENT_FD_READ,
                 on_http_daemon_ready, server);
  const union MHD_DaemonInfo *bound
      = MHD_get_daemon_info (server->http_daemon, MHD_DAEMON_INFO_BIND_PORT);
  printf ("ready port=%u\n", (unsigned)bound->port);
  fflush (stdout);
  return true;
}

/* libmicrohttpd must not be stopped while a connection is suspended. */
static void
stop_http_daemon (struct server *server)
{
  server->down = true;
  resume_matching (server, NULL);
  MHD_run (server->http_daemon);
  MHD_stop_daemon (server->http_daemon);
}

int
main (int argc, const char **argv)
{
  char *listen_address = NULL;
  int vms_lag_ms = 0;
  struct poptOption options[]
      = { { "listen", 'l', POPT_ARG_STRING, &listen_address, 0,
            "address to listen on; port 0 takes a free one", "HOST:PORT" },
          { "vms-lag", 0, POPT_ARG_INT, &vms_lag_ms, 0,
            "time by which the list of VMs lags behind", "MS" },
          POPT_AUTOHELP POPT_TABLEEND };
  int status = EXIT_FAILURE;
  struct server *server = talloc_zero (NULL, struct server);
  if (!standin_read_options ("standin-platform", options, argc, argv))
    goto done;
  server->ev = tevent_context_init (server);
  server->objects = objects_create (server);
  server->vms = vms_create (server);
  server->vms_lag_ms = vms_lag_ms;
  signal (SIGPIPE, SIG_IGN);
  if (listen_address == NULL)
    listen_address = strdup ("127.0.0.1:0");
  if (!start_http_daemon (server, listen_address))
    {
      fprintf (stderr, "standin-platform: cannot listen on %s\n",
               listen_address);
      goto done;
    }
  standin_run (server->ev);
  stop_http_daemon (server);
  status = EXIT_SUCCESS;
done:
  free (listen_address);
  talloc_free (server);
  return status;
}
