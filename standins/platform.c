/** @file
 * Stand-in for the platform's object API: objects with versions and long
 * polls, the list of VMs, and faults set through POST /standin/faults.
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
/* A suspended watch holds its connection's pool; 4 KB is enough for the
   request line and headers of every call. */
#define CONNECTION_BYTES 4096
#define SECONDS_KEPT 60

enum call_kind
{
  CALL_GET,
  CALL_PUT,
  CALL_WATCH,
  CALL_VMS,
  CALL_KINDS
};

static const char *const kind_names[CALL_KINDS]
    = { "get", "put", "watch", "vms" };

struct second
{
  int64_t second;
  uint64_t calls[CALL_KINDS];
};

struct server
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_timer *timer;
  bool resumed; /**< A connection was resumed since the last run. */
  struct objects *objects;
  struct vms *vms;
  struct request *suspended; /**< Watches and delayed answers. */
  int suspended_count;
  bool down;
  int64_t delay_ms;
  int64_t lose_answers;
  int64_t refuse;
  int64_t vms_lag_ms;
  uint64_t calls[CALL_KINDS];
  struct second seconds[SECONDS_KEPT];
};

struct request
{
  struct request *prev, *next; /**< While it is suspended. */
  struct server *server;
  struct MHD_Connection *connection;
  const char *method;
  char *url;
  char *body;
  size_t body_len;
  bool too_large;
  bool is_suspended;
  char *prefix;     /**< Of a watch; otherwise NULL. */
  uint64_t since;   /**< Of a watch. */
  int64_t deadline; /**< Of a watch, us. */
  bool drop;        /**< Close the connection without an answer. */
  json_t *reply;    /**< Answer that is ready, or waits for the delay. */
  unsigned status;
  struct tevent_timer *resume;
};

static void run_daemon (struct server *server);

static void
on_daemon_timer (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct server *server = data;
  server->timer = NULL;
  run_daemon (server);
}

static void
schedule_daemon (struct server *server, struct timeval when)
{
  TALLOC_FREE (server->timer);
  server->timer
      = tevent_add_timer (server->ev, server, when, on_daemon_timer, server);
}

/* Run libmicrohttpd once, and again from the loop if it still has work. */
static void
run_daemon (struct server *server)
{
  MHD_UNSIGNED_LONG_LONG ms;
  server->resumed = false;
  MHD_run (server->daemon);
  TALLOC_FREE (server->timer);
  /* MHD_get_timeout does not count connections that a handler resumed. */
  if (server->resumed)
    schedule_daemon (server, tevent_timeval_zero ());
  else if (MHD_get_timeout (server->daemon, &ms) == MHD_YES)
    schedule_daemon (
        server, tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                            (uint32_t)(ms % 1000) * 1000));
}

static void
on_daemon_ready (struct tevent_context *ev, struct tevent_fd *fde,
                 uint16_t flags, void *data)
{
  (void)ev, (void)fde, (void)flags;
  run_daemon (data);
}

static void
count_call (struct server *server, enum call_kind kind)
{
  int64_t now = clock_now () / USEC_PER_SEC;
  struct second *second = &server->seconds[now % SECONDS_KEPT];
  if (second->second != now)
    *second = (struct second){ .second = now };
  second->calls[kind]++;
  server->calls[kind]++;
}

static void
list_remove (struct request *r)
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
resume (struct request *r)
{
  list_remove (r);
  TALLOC_FREE (r->resume);
  MHD_resume_connection (r->connection);
  r->server->resumed = true;
  schedule_daemon (r->server, tevent_timeval_zero ());
}

static void
on_resume_timer (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct request *r = data;
  r->resume = NULL;
  resume (r);
}

static void
suspend_for (struct request *r, int64_t usec)
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
  r->resume = tevent_add_timer (
      server->ev, r,
      tevent_timeval_current_ofs ((uint32_t)(usec / USEC_PER_SEC),
                                  (uint32_t)(usec % USEC_PER_SEC)),
      on_resume_timer, r);
}

/* Resume the watches that wait for @p name, or all requests if it is
   NULL. */
static void
wake (struct server *server, const char *name)
{
  struct request *next;
  for (struct request *r = server->suspended; r != NULL; r = next)
    {
      next = r->next;
      if (name == NULL
          || (r->prefix != NULL && r->reply == NULL
              && strncmp (name, r->prefix, strlen (r->prefix)) == 0))
        resume (r);
    }
}

static void
reply (struct request *r, unsigned status, json_t *body)
{
  r->status = status;
  r->reply = body;
}

static void
reply_error (struct request *r, unsigned status, const char *text)
{
  reply (r, status, json_pack ("{s:s}", "error", text));
}

/* @return the parameter or header as a number, @p otherwise if it is absent
   or not a number. */
static int64_t
number_of (struct request *r, enum MHD_ValueKind kind, const char *name,
           int64_t otherwise)
{
  const char *text = MHD_lookup_connection_value (r->connection, kind, name);
  char *end = NULL;
  if (text == NULL || *text == '\0')
    return otherwise;
  int64_t value = strtoll (text, &end, 10);
  return *end == '\0' && value >= 0 ? value : otherwise;
}

static void
get_object (struct request *r, const char *name)
{
  const struct object *object = objects_find (r->server->objects, name);
  count_call (r->server, CALL_GET);
  if (object == NULL)
    reply_error (r, MHD_HTTP_NOT_FOUND, "the object does not exist");
  else
    reply (r, MHD_HTTP_OK, objects_to_json (object));
}

static void
reply_mismatch (struct request *r, const char *name)
{
  const struct object *object = objects_find (r->server->objects, name);
  reply (r, MHD_HTTP_PRECONDITION_FAILED,
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
      = number_of (r, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_MATCH, -1);
  json_t *probe = json_stringn (r->body != NULL ? r->body : "", r->body_len);
  count_call (server, CALL_PUT);
  if (version < 0)
    reply_error (r, MHD_HTTP_BAD_REQUEST,
                 "the header If-Match must hold a version");
  else if (r->too_large)
    reply_error (r, MHD_HTTP_CONTENT_TOO_LARGE, "the value exceeds 1 MB");
  else if (probe == NULL)
    reply_error (r, MHD_HTTP_BAD_REQUEST, "the value is not UTF-8");
  else
    {
      uint64_t now = objects_update (server->objects, name, (uint64_t)version,
                                     delete ? NULL : &value);
      if (now == 0)
        reply_mismatch (r, name);
      else
        {
          reply (r, MHD_HTTP_OK,
                 json_pack ("{s:I}", "version", (json_int_t)now));
          wake (server, name);
          if (server->lose_answers > 0)
            {
              server->lose_answers--;
              r->drop = true;
            }
        }
    }
  json_decref (probe);
}

/* Answer a watch, or suspend it until a change or its timeout. */
static void
continue_watch (struct request *r)
{
  const struct objects *objects = r->server->objects;
  json_t *changed = objects_changed (objects, r->prefix, r->since);
  int64_t left = r->deadline - clock_now ();
  if (json_array_size (changed) > 0 || left <= 0)
    reply (r, MHD_HTTP_OK,
           json_pack ("{s:I, s:o}", "revision",
                      (json_int_t)objects_revision (objects), "objects",
                      changed));
  else
    {
      json_decref (changed);
      suspend_for (r, left);
    }
}

static void
start_watch (struct request *r)
{
  struct server *server = r->server;
  const char *prefix = MHD_lookup_connection_value (
      r->connection, MHD_GET_ARGUMENT_KIND, "prefix");
  int64_t timeout_ms = number_of (r, MHD_GET_ARGUMENT_KIND, "timeout_ms", 0);
  count_call (server, CALL_WATCH);
  if (timeout_ms > MAX_WATCH_MS)
    timeout_ms = MAX_WATCH_MS;
  r->deadline = clock_now () + timeout_ms * USEC_PER_MSEC;
  r->prefix = talloc_strdup (r, prefix != NULL ? prefix : "");
  r->since = (uint64_t)number_of (r, MHD_GET_ARGUMENT_KIND, "since", 0);
  /* A caller that is ahead saw an earlier run of this process. */
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
  reply (r, MHD_HTTP_OK, json_object ());
}

static void
list_vms (struct request *r)
{
  struct server *server = r->server;
  count_call (server, CALL_VMS);
  reply (r, MHD_HTTP_OK,
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
    reply_error (r, MHD_HTTP_BAD_REQUEST,
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
        wake (server, NULL);
      reply (r, MHD_HTTP_OK, json_object ());
    }
  json_decref (body);
}

static json_t *
counts_to_json (const uint64_t *calls)
{
  json_t *object = json_object ();
  for (int i = 0; i < CALL_KINDS; i++)
    json_object_set_new (object, kind_names[i],
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
  for (int64_t s = now - SECONDS_KEPT + 1; s <= now; s++)
    {
      const struct second *second = &server->seconds[s % SECONDS_KEPT];
      if (s < 0 || second->second != s)
        continue;
      json_t *entry = counts_to_json (second->calls);
      json_object_set_new (entry, "ago", json_integer (now - s));
      json_array_append_new (seconds, entry);
    }
  json_object_set_new (body, "per_second", seconds);
  json_object_set_new (body, "waiting",
                       json_integer (server->suspended_count));
  reply (r, MHD_HTTP_OK, body);
}

/* @return the rest of the URL after @p prefix, NULL if it does not match. */
static const char *
after (const char *url, const char *prefix)
{
  size_t n = strlen (prefix);
  return strncmp (url, prefix, n) == 0 && url[n] != '\0' ? url + n : NULL;
}

static bool
is_call (const struct request *r, const char *method, const char *url)
{
  return strcmp (r->method, method) == 0
         && (url == NULL || strcmp (r->url, url) == 0);
}

/* Calls by the test itself; faults do not apply to them.
   @return whether the URL is one of them. */
static bool
route_test_call (struct request *r)
{
  const char *vm = after (r->url, "/vms/");
  if (is_call (r, "POST", "/standin/faults"))
    set_faults (r);
  else if (is_call (r, "GET", "/standin/calls"))
    get_calls (r);
  else if (vm != NULL && is_call (r, "PUT", NULL))
    set_vm (r, vm, true);
  else if (vm != NULL && is_call (r, "DELETE", NULL))
    set_vm (r, vm, false);
  else
    return false;
  return true;
}

static void
route (struct request *r)
{
  struct server *server = r->server;
  const char *object = after (r->url, "/objects/");
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
      reply_error (r, MHD_HTTP_SERVICE_UNAVAILABLE, "refused by a fault");
    }
  else if (object != NULL && is_call (r, "GET", NULL))
    get_object (r, object);
  else if (object != NULL && is_call (r, "PUT", NULL))
    update_object (r, object, false);
  else if (object != NULL && is_call (r, "DELETE", NULL))
    update_object (r, object, true);
  else if (is_call (r, "GET", "/watch"))
    start_watch (r);
  else if (is_call (r, "GET", "/vms"))
    list_vms (r);
  else
    reply_error (r, MHD_HTTP_NOT_FOUND, "no such call");
  /* An update takes effect when it arrives and its answer is late, which is
     the harder case for a caller that gives up. */
  if (server->delay_ms > 0 && !r->is_suspended)
    suspend_for (r, server->delay_ms * USEC_PER_MSEC);
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
    route (r);
  else if (r->reply == NULL && !server->down)
    continue_watch (r);
  if (r->is_suspended)
    return MHD_YES;
  /* MHD_NO closes the connection. */
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
  list_remove (r);
  json_decref (r->reply);
  talloc_free (r);
  *request = NULL;
}

static bool
start_daemon (struct server *server, const char *listen_address)
{
  struct sockaddr_in address;
  if (!address_parse (listen_address, &address))
    return false;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
      server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)MAX_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE,
      (unsigned)1, MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)4096,
      MHD_OPTION_END);
  if (server->daemon == NULL)
    return false;
  const union MHD_DaemonInfo *epoll
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tevent_add_fd (server->ev, server, epoll->epoll_fd, TEVENT_FD_READ,
                 on_daemon_ready, server);
  const union MHD_DaemonInfo *bound
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  printf ("ready port=%u\n", (unsigned)bound->port);
  fflush (stdout);
  return true;
}

/* libmicrohttpd requires that no connection is suspended at its end. */
static void
stop_daemon (struct server *server)
{
  server->down = true;
  wake (server, NULL);
  MHD_run (server->daemon);
  MHD_stop_daemon (server->daemon);
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
  if (!start_daemon (server, listen_address))
    {
      fprintf (stderr, "standin-platform: cannot listen on %s\n",
               listen_address);
      goto done;
    }
  standin_run (server->ev);
  stop_daemon (server);
  status = EXIT_SUCCESS;
done:
  free (listen_address);
  talloc_free (server);
  return status;
}
