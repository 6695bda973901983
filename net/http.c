#include "net/http.h"

#include "common/address.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/timer.h"

#include <inttypes.h>
#include <linux/sockios.h>
#include <malloc.h>
#include <microhttpd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "http"

/* Size of libmicrohttpd's memory pool per connection.  Its default of 32 KiB
   would exceed the target of 16 KiB per idle connection. */
#define CONNECTION_MEMORY_BYTES 8192

#define DEFAULT_HALF_REQUEST_MS 60000
/* While all connections are taken, one that has brought no whole request for
   this time gives its place to others. */
#define CROWDED_US (1 * USEC_PER_SEC)
/* The same for one that does not take its answer. */
#define CROWDED_UNREAD_US (4 * USEC_PER_SEC)
/* The same for one that sends no further request. */
#define CROWDED_IDLE_US (30 * USEC_PER_SEC)
/* tevent handles no timer and no descriptor while an immediate event is
   scheduled.  Clients that send many requests ahead give libmicrohttpd work in
   every run; after these runs the rest of the daemon gets its turn. */
#define MAX_RUNS_IN_A_ROW 8
#define YIELD_US (1 * USEC_PER_MSEC)

/** A client connection. */
struct client
{
  uint64_t id;
  struct client *next, **prev_next;
  int fd;
  int64_t since;       /**< When it was opened or its last answer was sent. */
  int64_t half_since;  /**< When the present request began; 0: none has. */
  int64_t answered_at; /**< When its present request was answered; 0: it was
                            not. */
  bool was_served;     /**< It got an answer. */
  bool is_busy;        /**< The handler has a request of it. */
  bool is_closing;     /**< It was shut down. */
  struct pending_request *request; /**< The present one; NULL: none. */
  struct memory_client memory;     /**< Bytes held for it. */
};

struct http_server
{
  struct MHD_Daemon *mhd;
  struct tevent_context *ev;
  struct tevent_immediate *run_soon;
  struct timer *run_timer;   /**< Runs libmicrohttpd once a second. */
  struct timer *yield_timer; /**< Runs it after a pause; NULL: not set. */
  unsigned runs_in_a_row;    /**< Runs that have left work. */
  struct http_handler *handler;
  struct client *clients;
  struct memory_account *memory; /**< NULL: memory is not limited. */
  int64_t half_request_us;       /**< Time for the rest of a request. */
  int64_t idle_us;               /**< Time between two requests. */
  uint64_t closed;               /**< Connections closed for misbehaviour. */
  uint64_t logged_closed;        /**< Those of them that were logged. */
  size_t max_body;               /**< Bytes. */
  uint64_t last_connection_id;
  unsigned connections; /**< Open client connections. */
  unsigned max_connections;
  unsigned pending;                  /**< Requests not answered yet. */
  struct pending_request *suspended; /**< List of suspended requests. */
  int port;
  bool run_scheduled; /**< run_soon is scheduled. */
  bool running;       /**< MHD_run is being called. */
  bool stopping;      /**< The destructor runs. */
};

/** A request that libmicrohttpd has not completed. */
struct pending_request
{
  struct http_request request; /**< First, so that it can be cast back. */
  struct http_server *server;
  struct pending_request *next; /**< Next in the server's suspended list. */
  struct pending_request **prev_next; /**< The pointer to this list entry. */
  struct MHD_Connection *connection;
  struct client *client;
  char *buffer;      /**< Body received so far. */
  size_t used, size; /**< Bytes of the buffer in use and allocated. */
  struct MHD_Response *response; /**< NULL until the request is answered. */
  unsigned status;               /**< HTTP status of the response. */
  bool dispatched;               /**< The handler has received the request. */
  bool suspended;
};

static void schedule_run (struct http_server *server);
static void on_yield_over (void *data);

/* Let libmicrohttpd handle what is due. */
static void
run_mhd (struct http_server *server)
{
  MHD_UNSIGNED_LONG_LONG timeout;
  server->running = true;
  MHD_run (server->mhd);
  server->running = false;
  bool has_more
      = MHD_get_timeout (server->mhd, &timeout) == MHD_YES && timeout == 0;
  server->runs_in_a_row = has_more ? server->runs_in_a_row + 1 : 0;
  if (!has_more)
    return;
  if (server->runs_in_a_row % MAX_RUNS_IN_A_ROW != 0)
    schedule_run (server);
  else if (server->yield_timer == NULL)
    server->yield_timer
        = timer_after (server->ev, server, YIELD_US, on_yield_over, server);
}

static void
on_yield_over (void *data)
{
  struct http_server *server = data;
  server->yield_timer = NULL;
  run_mhd (server);
}

static void
on_run_soon (struct tevent_context *ev, struct tevent_immediate *im,
             void *data)
{
  (void)ev, (void)im;
  struct http_server *server = data;
  server->run_scheduled = false;
  run_mhd (server);
}

static void
schedule_run (struct http_server *server)
{
  if (server->run_scheduled)
    return;
  server->run_scheduled = true;
  tevent_schedule_immediate (server->run_soon, server->ev, on_run_soon,
                             server);
}

static void
on_epoll (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *data)
{
  (void)ev, (void)fde, (void)flags;
  run_mhd (data);
}

/* Shut a connection down; libmicrohttpd then finds it closed by the client.
   The body of a request that the handler does not have is freed at once. */
static void
close_client (struct http_server *server, struct client *c)
{
  c->is_closing = true;
  server->closed++;
  shutdown (c->fd, SHUT_RDWR);
  if (server->memory != NULL)
    memory_client_remove (server->memory, &c->memory);
  if (c->request != NULL && !c->is_busy)
    {
      TALLOC_FREE (c->request->buffer);
      c->request->used = c->request->size = 0;
    }
}

/* Record the bytes held for a client, and close those that hold most if all
   hold too much. */
static void
record_memory (struct http_server *server, struct client *c,
               enum memory_use use, size_t bytes)
{
  struct memory_client *worst;
  if (server->memory == NULL || c == NULL
      || memory_client_set (server->memory, &c->memory, use, bytes)
             == MEMORY_FITS)
    return;
  while ((worst = memory_account_worst (server->memory)) != NULL)
    close_client (server, worst->owner);
}

/* @return whether the client has not received all that was sent to it. */
static bool
has_unread_answer (const struct client *c)
{
  int unread = 0;
  return ioctl (c->fd, SIOCOUTQ, &unread) == 0 && unread > 0;
}

/* @return whether the client takes a connection without a request that goes
   on.  Reading single bytes keeps libmicrohttpd's own time-out from
   passing. */
static bool
is_stuck (const struct http_server *server, const struct client *c,
          int64_t now)
{
  bool is_crowded = server->connections >= server->max_connections;
  if (c->is_closing || (c->is_busy && c->answered_at == 0))
    return false;
  if (c->is_busy)
    return now - c->answered_at
           > (is_crowded ? CROWDED_UNREAD_US : server->half_request_us);
  if (c->half_since != 0 && now - c->half_since > server->half_request_us)
    return true;
  if (is_crowded && (c->half_since != 0 || !c->was_served))
    return now - (c->half_since != 0 ? c->half_since : c->since) > CROWDED_US;
  if (is_crowded && now - c->since > CROWDED_UNREAD_US)
    return now - c->since > CROWDED_IDLE_US || has_unread_answer (c);
  return c->half_since == 0
         && now - c->since > server->idle_us + server->half_request_us;
}

static void
close_stuck_clients (struct http_server *server)
{
  int64_t now = clock_now ();
  for (struct client *c = server->clients; c != NULL; c = c->next)
    if (is_stuck (server, c, now))
      close_client (server, c);
  if (server->closed != server->logged_closed)
    log_warn (PART,
              "event=clients_closed port=%d count=%" PRIu64
              " connections=%u bytes=%zu",
              server->port, server->closed - server->logged_closed,
              server->connections,
              server->memory != NULL ? memory_account_total (server->memory)
                                     : 0);
  server->logged_closed = server->closed;
  if (server->memory != NULL && memory_account_should_trim (server->memory))
    malloc_trim (0);
}

/* Run libmicrohttpd every second, since idle connections time out only when it
   runs. */
static void
on_run_timer (void *data)
{
  struct http_server *server = data;
  close_stuck_clients (server);
  run_mhd (server);
  server->run_timer
      = timer_after (server->ev, server, USEC_PER_SEC, on_run_timer, server);
}

static void
append_body (struct pending_request *p, const char *data, size_t len)
{
  if (p->client != NULL && p->client->is_closing)
    return;
  if (p->used + len > p->server->max_body)
    {
      p->request.too_large = true;
      return;
    }
  if (p->used + len > p->size)
    {
      p->size = p->size > 0 ? p->size : 1024;
      while (p->size < p->used + len)
        p->size *= 2;
      if (p->size > p->server->max_body)
        p->size = p->server->max_body;
      p->buffer = talloc_realloc (p, p->buffer, char, p->size);
      record_memory (p->server, p->client, MEMORY_RECEIVED, p->size);
      if (p->buffer == NULL)
        return;
    }
  memcpy (p->buffer + p->used, data, len);
  p->used += len;
}

static struct client *
find_client (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info != NULL ? info->socket_context : NULL;
}

/* libmicrohttpd calls this with the target of a request as it was sent.  The
   path that it passes to on_request ends at an encoded NUL.
   @return the context of the request. */
static void *
on_request_line (void *data, const char *target,
                 struct MHD_Connection *connection)
{
  struct http_server *server = data;
  struct pending_request *p = talloc_zero (server, struct pending_request);
  p->server = server;
  p->connection = connection;
  char *path = talloc_strndup (p, target, strcspn (target, "?"));
  p->request.path = (struct bstr){ path, MHD_http_unescape (path) };
  p->client = find_client (connection);
  if (p->client != NULL)
    {
      p->request.connection = p->client->id;
      p->client->request = p;
      p->client->half_since = clock_now ();
    }
  return p;
}

static enum MHD_Result
send_response (struct pending_request *p)
{
  enum MHD_Result result
      = MHD_queue_response (p->connection, p->status, p->response);
  MHD_destroy_response (p->response);
  p->response = NULL;
  return result;
}

static void
suspend_request (struct pending_request *p)
{
  struct http_server *server = p->server;
  p->suspended = true;
  p->next = server->suspended;
  p->prev_next = &server->suspended;
  if (p->next != NULL)
    p->next->prev_next = &p->next;
  server->suspended = p;
  MHD_suspend_connection (p->connection);
}

static void
resume_request (struct pending_request *p)
{
  *p->prev_next = p->next;
  if (p->next != NULL)
    p->next->prev_next = p->prev_next;
  p->suspended = false;
  MHD_resume_connection (p->connection);
}

/* libmicrohttpd calls this once for the headers, then for each part of the
   body, and finally, or when the request is resumed, for the response. */
static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload_data,
            size_t *upload_size, void **context)
{
  (void)connection, (void)url, (void)version;
  struct http_server *server = data;
  struct pending_request *p = *context;
  if (server->stopping
      || (p->client != NULL && p->client->is_closing && !p->dispatched))
    return MHD_NO;
  if (p->request.method.start == NULL)
    {
      p->request.method = bstr_copy (p, bstr_from (method));
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      append_body (p, upload_data, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!p->dispatched)
    {
      p->dispatched = true;
      if (p->client != NULL)
        p->client->is_busy = true;
      /* Closing the connection would not free the body any more. */
      record_memory (server, p->client, MEMORY_RECEIVED, 0);
      if (server->memory != NULL && p->size > 0)
        memory_account_charge (server->memory, p, p->size);
      p->request.body = (struct bstr){ p->buffer, p->used };
      server->pending++;
      server->handler->ops->request (server->handler, &p->request);
      if (p->response == NULL)
        {
          suspend_request (p);
          return MHD_YES;
        }
    }
  return p->response != NULL ? send_response (p) : MHD_YES;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)data, (void)connection;
  struct pending_request *p = *context;
  *context = NULL;
  if (p == NULL)
    return;
  if (p->response != NULL)
    MHD_destroy_response (p->response);
  if (p->client != NULL)
    {
      struct client *c = p->client;
      c->since = clock_now ();
      c->half_since = 0;
      c->answered_at = 0;
      c->was_served |= code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
      c->is_busy = false;
      c->request = NULL;
      record_memory (p->server, c, MEMORY_RECEIVED, 0);
      record_memory (p->server, c, MEMORY_UNSENT, 0);
    }
  talloc_free (p);
}

/* A client connection was opened or closed. */
static void
on_connection (void *data, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct http_server *server = data;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      const union MHD_ConnectionInfo *info = MHD_get_connection_info (
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      struct client *c = talloc_zero (server, struct client);
      c->id = ++server->last_connection_id;
      c->fd = info != NULL ? info->connect_fd : -1;
      c->since = clock_now ();
      c->memory.owner = c;
      c->next = server->clients;
      c->prev_next = &server->clients;
      if (c->next != NULL)
        c->next->prev_next = &c->next;
      server->clients = c;
      if (server->memory != NULL)
        memory_client_add (server->memory, &c->memory);
      *socket_context = c;
      server->connections++;
      return;
    }
  struct client *c = *socket_context;
  /* At the limit, libmicrohttpd stops listening.  It starts again only the
     next time it runs, and there may be no event that makes it run. */
  if (server->connections-- == server->max_connections)
    schedule_run (server);
  if (c == NULL)
    return;
  *c->prev_next = c->next;
  if (c->next != NULL)
    c->next->prev_next = c->prev_next;
  if (server->memory != NULL)
    memory_client_remove (server->memory, &c->memory);
  if (server->handler->ops->closed != NULL)
    server->handler->ops->closed (server->handler, c->id);
  talloc_free (c);
}

static int
server_destructor (struct http_server *server)
{
  if (server->mhd == NULL)
    return 0;
  /* libmicrohttpd calls abort if it stops with suspended connections. */
  server->stopping = true;
  while (server->suspended != NULL)
    resume_request (server->suspended);
  MHD_run (server->mhd);
  MHD_stop_daemon (server->mhd);
  return 0;
}

struct http_server *
http_server_create (void *parent, const struct http_server_options *options,
                    struct error *err)
{
  struct http_server *server = talloc_zero (parent, struct http_server);
  struct sockaddr_in address;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  server->ev = options->ev;
  server->handler = options->handler;
  server->max_body = options->max_body;
  server->max_connections = options->max_connections;
  server->memory = options->memory;
  server->half_request_us
      = (options->half_request_ms > 0 ? options->half_request_ms
                                      : DEFAULT_HALF_REQUEST_MS)
        * USEC_PER_MSEC;
  server->idle_us = options->idle_seconds * USEC_PER_SEC;
  server->run_soon = tevent_create_immediate (server);
  if (!address_parse (options->address, &address))
    {
      error_set (err, ERROR_INVALID, "listen address \"%s\" is not HOST:PORT",
                 options->address);
      goto fail;
    }
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)(uintptr_t)options->certificate },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)(uintptr_t)options->private_key },
    { MHD_OPTION_END, 0, NULL },
  };
  if (options->certificate != NULL)
    flags |= MHD_USE_TLS;
  else
    tls[0].option = MHD_OPTION_END;
  server->mhd = MHD_start_daemon (
      flags, ntohs (address.sin_port), NULL, NULL, on_request, server,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_seconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u, MHD_OPTION_URI_LOG_CALLBACK,
      on_request_line, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
  if (server->mhd == NULL)
    {
      error_set (err, ERROR_UNAVAILABLE, "cannot listen on %s",
                 options->address);
      goto fail;
    }
  talloc_set_destructor (server, server_destructor);
  server->port
      = MHD_get_daemon_info (server->mhd, MHD_DAEMON_INFO_BIND_PORT)->port;
  int epoll_fd
      = MHD_get_daemon_info (server->mhd, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  tevent_add_fd (server->ev, server, epoll_fd, TEVENT_FD_READ, on_epoll,
                 server);
  on_run_timer (server);
  return server;
fail:
  talloc_free (server);
  return NULL;
}

int
http_server_port (const struct http_server *server)
{
  return server->port;
}

unsigned
http_server_connections (const struct http_server *server)
{
  return server->connections;
}

unsigned
http_server_pending (const struct http_server *server)
{
  return server->pending;
}

uint64_t
http_server_closed (const struct http_server *server)
{
  return server->closed;
}

void
http_server_quiesce (struct http_server *server)
{
  MHD_socket fd = MHD_quiesce_daemon (server->mhd);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

static struct bstr
lookup_value (const struct http_request *request, enum MHD_ValueKind kind,
              const char *name)
{
  const struct pending_request *p = (const struct pending_request *)request;
  struct bstr value = { NULL, 0 };
  MHD_lookup_connection_value_n (p->connection, kind, name, strlen (name),
                                 &value.start, &value.len);
  return value;
}

struct bstr
http_header_value (const struct http_request *request, const char *name)
{
  return lookup_value (request, MHD_HEADER_KIND, name);
}

struct bstr
http_query_value (const struct http_request *request, const char *name)
{
  return lookup_value (request, MHD_GET_ARGUMENT_KIND, name);
}

void
http_reply (struct http_request *request, unsigned status,
            const char *content_type, struct bstr body,
            const struct http_header *headers)
{
  struct pending_request *p = (struct pending_request *)request;
  struct http_server *server = p->server;
  p->response = MHD_create_response_from_buffer (
      body.len, (void *)(uintptr_t)body.start, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (p->response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           content_type);
  for (; headers != NULL && headers->name != NULL; headers++)
    MHD_add_response_header (p->response, headers->name, headers->value);
  p->status = status;
  server->pending--;
  if (p->client != NULL)
    p->client->answered_at = clock_now ();
  record_memory (server, p->client, MEMORY_UNSENT, body.len);
  if (p->suspended)
    {
      resume_request (p);
      schedule_run (server);
    }
}
