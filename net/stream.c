#include "net/stream.h"

#include "common/address.h"
#include "common/log.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "stream"

/* Most bytes read from the socket in one call. */
#define READ_BYTES 16384
/* What ends a line; a CR or LF alone is data. */
#define LINE_END "\r\n"
#define LINE_END_BYTES 2
/* Most connections accepted in one iteration of the event loop. */
#define ACCEPT_BATCH 16
#define LISTEN_BACKLOG 512
/* Unanswered keep-alive probes after which the kernel fails the
   connection. */
#define KEEPALIVE_PROBES 3

struct stream
{
  struct stream_options options;
  int fd;
  struct tevent_fd *event;
  char *in; /**< Received bytes of an incomplete line. */
  size_t in_len;
  size_t searched; /**< Bytes of @c in that contain no line end. */
  char *out;       /**< Bytes that the socket has not accepted yet. */
  size_t out_len;
  bool connecting; /**< The connection is not established yet. */
  bool refused;    /**< Connecting failed with ECONNREFUSED. */
  bool closing;    /**< stream_close or stream_abort was called. */
  bool in_handler; /**< A line callback runs; free the stream after it. */
  bool dead;       /**< The stream has ended and is about to be freed. */
};

static int
stream_destructor (struct stream *s)
{
  TALLOC_FREE (s->event);
  if (s->fd >= 0)
    close (s->fd);
  s->fd = -1;
  return 0;
}

/* End a stream that its owner has closed. */
static void
end_stream (struct stream *s)
{
  s->dead = true;
  TALLOC_FREE (s->event);
  if (!s->in_handler)
    talloc_free (s);
}

/* End a stream whose connection failed, and report the reason to the owner
   unless the owner has closed it. */
static void
fail_stream (struct stream *s, const char *reason)
{
  if (s->dead)
    return;
  bool closed_by_owner = s->closing;
  s->dead = true;
  TALLOC_FREE (s->event);
  if (!closed_by_owner)
    s->options.ops->closed (s->options.data, reason);
  if (!s->in_handler)
    talloc_free (s);
}

static void
watch_writable (struct stream *s, bool wanted)
{
  if (wanted)
    TEVENT_FD_WRITEABLE (s->event);
  else
    TEVENT_FD_NOT_WRITEABLE (s->event);
}

/* Send as much of the buffered output as the socket accepts. */
static void
flush_output (struct stream *s)
{
  size_t done = 0;
  while (done < s->out_len)
    {
      ssize_t n = send (s->fd, s->out + done, s->out_len - done, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          fail_stream (s, strerror (errno));
          return;
        }
      done += (size_t)n;
    }
  if (done > 0)
    memmove (s->out, s->out + done, s->out_len - done);
  s->out_len -= done;
  watch_writable (s, s->out_len > 0);
  if (s->out_len == 0 && s->closing)
    end_stream (s);
}

/* Pass every complete line of the input buffer to the owner. */
static void
handle_lines (struct stream *s)
{
  size_t start = 0, from = s->searched;
  s->in_handler = true;
  while (!s->dead && !s->closing)
    {
      const char *end
          = memmem (s->in + from, s->in_len - from, LINE_END, LINE_END_BYTES);
      if (end == NULL)
        break;
      struct bstr line = { s->in + start, (size_t)(end - (s->in + start)) };
      start += line.len + LINE_END_BYTES;
      from = start;
      s->options.ops->line (s->options.data, line);
    }
  s->in_handler = false;
  if (s->dead)
    {
      talloc_free (s);
      return;
    }
  memmove (s->in, s->in + start, s->in_len - start);
  s->in_len -= start;
  /* The last byte may be the first one of a line end. */
  s->searched = s->in_len > 0 ? s->in_len - 1 : 0;
}

static void
on_readable (struct stream *s)
{
  s->in = talloc_realloc (s, s->in, char, s->in_len + READ_BYTES);
  ssize_t n = recv (s->fd, s->in + s->in_len, READ_BYTES, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      fail_stream (s, n == 0 ? "closed by the peer" : strerror (errno));
      return;
    }
  s->in_len += (size_t)n;
  if (s->closing)
    s->in_len = 0;
  else if (s->in_len > STREAM_MAX_LINE + READ_BYTES)
    fail_stream (s, "line too long");
  else
    handle_lines (s);
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *data)
{
  (void)ev, (void)fde;
  struct stream *s = data;
  if (s->connecting && (flags & TEVENT_FD_WRITE) != 0)
    {
      int error = 0;
      socklen_t len = sizeof error;
      getsockopt (s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          s->refused = error == ECONNREFUSED;
          fail_stream (s, strerror (error));
          return;
        }
      s->connecting = false;
    }
  if ((flags & TEVENT_FD_WRITE) != 0)
    flush_output (s);
  else if ((flags & TEVENT_FD_READ) != 0)
    on_readable (s);
}

static void
set_socket_option (int fd, int level, int name, int value)
{
  if (setsockopt (fd, level, name, &value, sizeof value) != 0)
    log_debug (PART, "socket option not set option=%d error=%s", name,
               strerror (errno));
}

struct stream *
stream_adopt (void *parent, int fd, const struct stream_options *options)
{
  struct stream *s = talloc_zero (parent, struct stream);
  s->options = *options;
  s->fd = fd;
  talloc_set_destructor (s, stream_destructor);
  set_socket_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (options->peer_timeout_ms > 0)
    {
      int seconds = options->peer_timeout_ms / 1000 / KEEPALIVE_PROBES;
      set_socket_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                         options->peer_timeout_ms);
      set_socket_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
      set_socket_option (fd, IPPROTO_TCP, TCP_KEEPIDLE,
                         seconds > 0 ? seconds : 1);
      set_socket_option (fd, IPPROTO_TCP, TCP_KEEPINTVL,
                         seconds > 0 ? seconds : 1);
      set_socket_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
    }
  s->event = tevent_add_fd (options->ev, s, fd, TEVENT_FD_READ, on_event, s);
  return s;
}

struct stream *
stream_connect (void *parent, const char *address,
                const struct stream_options *options, struct error *err)
{
  struct sockaddr_in to;
  if (!address_parse (address, &to))
    {
      error_set (err, ERROR_INVALID, "malformed address %s", address);
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      error_set (err, ERROR_INTERNAL, "cannot create a socket: %s",
                 strerror (errno));
      return NULL;
    }
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0
      && errno != EINPROGRESS)
    {
      error_set (err, ERROR_UNAVAILABLE, "cannot connect to %s: %s", address,
                 strerror (errno));
      close (fd);
      return NULL;
    }
  struct stream *s = stream_adopt (parent, fd, options);
  s->connecting = true;
  watch_writable (s, true);
  return s;
}

void
stream_send (struct stream *s, struct bstr bytes)
{
  if (s->dead || s->closing)
    return;
  if (s->out_len + bytes.len > STREAM_MAX_BACKLOG)
    {
      /* The event loop then reports the end to the owner. */
      shutdown (s->fd, SHUT_RDWR);
      return;
    }
  size_t done = 0;
  if (s->out_len == 0 && !s->connecting)
    {
      ssize_t n = send (s->fd, bytes.start, bytes.len, MSG_NOSIGNAL);
      if (n > 0)
        done = (size_t)n;
    }
  /* If send failed, flush_output meets the error again and reports it from
     the event loop, not from within this call. */
  if (done == bytes.len)
    return;
  s->out = talloc_realloc (s, s->out, char, s->out_len + bytes.len - done);
  memcpy (s->out + s->out_len, bytes.start + done, bytes.len - done);
  s->out_len += bytes.len - done;
  watch_writable (s, true);
}

bool
stream_was_connected (const struct stream *s)
{
  return !s->connecting;
}

bool
stream_was_refused (const struct stream *s)
{
  return s->refused;
}

void
stream_close (struct stream *s)
{
  s->closing = true;
  if (s->out_len == 0)
    end_stream (s);
}

void
stream_abort (struct stream *s)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (s->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  s->closing = true;
  end_stream (s);
}

struct stream_server
{
  struct stream_server_options options;
  int fd;
  struct tevent_fd *event;
};

static int
server_destructor (struct stream_server *server)
{
  TALLOC_FREE (server->event);
  if (server->fd >= 0)
    close (server->fd);
  return 0;
}

static void
on_listener_readable (struct tevent_context *ev, struct tevent_fd *fde,
                      uint16_t flags, void *data)
{
  (void)ev, (void)fde, (void)flags;
  struct stream_server *server = data;
  for (int i = 0; i < ACCEPT_BATCH; i++)
    {
      int fd = accept4 (server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      server->options.accepted (server->options.data, fd);
    }
}

struct stream_server *
stream_server_create (void *parent,
                      const struct stream_server_options *options,
                      struct error *err)
{
  struct sockaddr_in at;
  if (!address_parse (options->address, &at))
    {
      error_set (err, ERROR_INVALID, "malformed address %s", options->address);
      return NULL;
    }
  struct stream_server *server = talloc_zero (parent, struct stream_server);
  server->options = *options;
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  talloc_set_destructor (server, server_destructor);
  set_socket_option (server->fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind (server->fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (server->fd, LISTEN_BACKLOG) != 0)
    {
      error_set (err, ERROR_UNAVAILABLE, "cannot listen on %s: %s",
                 options->address, strerror (errno));
      talloc_free (server);
      return NULL;
    }
  server->event = tevent_add_fd (options->ev, server, server->fd,
                                 TEVENT_FD_READ, on_listener_readable, server);
  return server;
}

int
stream_server_port (const struct stream_server *server)
{
  struct sockaddr_in at = { 0 };
  socklen_t len = sizeof at;
  getsockname (server->fd, (struct sockaddr *)&at, &len);
  return ntohs (at.sin_port);
}
