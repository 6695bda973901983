#include "net/stream.h"

#include "common/address.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/timer.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "stream"

/* Most bytes read from the socket in one call. */
#define READ_BYTES ((size_t)16384)
/* Largest input buffer: a line that is not complete, and one read. */
#define MAX_INPUT_BYTES (STREAM_MAX_LINE + 2 * READ_BYTES)
/* What ends a line; a CR or LF alone is data. */
#define LINE_END "\r\n"
#define LINE_END_BYTES 2
/* Most connections accepted in one iteration of the event loop. */
#define ACCEPT_BATCH 16
#define LISTEN_BACKLOG 512
/* Unanswered keep-alive probes after which the kernel fails the
   connection. */
#define KEEPALIVE_PROBES 3

/* A buffer that holds less than a quarter of its size is shrunk from this size
   on. */
#define SHRINK_BYTES (4 * READ_BYTES)
/* Pause of a listener that got no descriptor.  It would otherwise be readable
   again at once. */
#define ACCEPT_PAUSE_US (100 * USEC_PER_MSEC)

struct stream
{
  struct stream_options options;
  int fd;
  struct tevent_fd *event;
  char *in; /**< Received bytes that are not handled; NULL: none. */
  size_t in_len;
  size_t in_size;   /**< Allocated bytes of @c in. */
  size_t searched;  /**< Bytes of @c in that contain no line end. */
  char *out;        /**< Bytes that the socket has not accepted yet. */
  size_t out_start; /**< Bytes of @c out that were sent. */
  size_t out_len;   /**< Bytes of @c out to be sent. */
  size_t reported_in, reported_out;     /**< Last arguments of ops->held. */
  struct tevent_immediate *handle_soon; /**< After stream_resume. */
  bool connecting; /**< The connection is not established yet. */
  bool refused;    /**< Connecting failed with ECONNREFUSED. */
  bool closing;    /**< stream_close or stream_abort was called. */
  bool paused;     /**< stream_pause was called. */
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

/* Tell the owner how many bytes are held, if that has changed.  The owner may
   close the stream in the call. */
static void
report_held (struct stream *s)
{
  size_t out = s->out != NULL ? s->out_start + s->out_len : 0;
  if (s->options.ops->held == NULL || s->dead || s->closing
      || (s->in_size == s->reported_in && out == s->reported_out))
    return;
  s->reported_in = s->in_size;
  s->reported_out = out;
  s->options.ops->held (s->options.data, s->in_size, out);
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
  while (s->out_len > 0)
    {
      ssize_t n
          = send (s->fd, s->out + s->out_start, s->out_len, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          fail_stream (s, strerror (errno));
          return;
        }
      s->out_start += (size_t)n;
      s->out_len -= (size_t)n;
    }
  watch_writable (s, s->out_len > 0);
  if (s->out_len == 0)
    {
      TALLOC_FREE (s->out);
      s->out_start = 0;
    }
  else if (s->out_start > s->out_len)
    {
      /* Moving less than was sent keeps the cost of a slow reader linear. */
      memmove (s->out, s->out + s->out_start, s->out_len);
      s->out_start = 0;
      s->out = talloc_realloc (s, s->out, char, s->out_len);
    }
  if (s->out_len == 0 && s->closing)
    end_stream (s);
  else
    report_held (s);
}

/* Set the size of the input buffer.  It grows by doubling, up to the longest
   line and one read. */
static void
resize_input (struct stream *s, size_t wanted)
{
  size_t size = s->in_size > 0 ? s->in_size : wanted;
  while (size < wanted)
    size *= 2;
  if (size > MAX_INPUT_BYTES)
    size = MAX_INPUT_BYTES;
  if (size == s->in_size)
    return;
  s->in = talloc_realloc (s, s->in, char, size);
  s->in_size = size;
}

/* Keep the bytes that were not handled, and give the rest of the buffer
   back. */
static void
keep_input (struct stream *s, const char *rest, size_t len)
{
  if (len == 0)
    {
      TALLOC_FREE (s->in);
      s->in_size = 0;
    }
  else if (s->in == NULL)
    {
      s->in = talloc_memdup (s, rest, len);
      s->in_size = len;
    }
  else
    {
      memmove (s->in, rest, len);
      if (s->in_size >= SHRINK_BYTES && len < s->in_size / 4)
        {
          s->in_size = 0;
          resize_input (s, len);
        }
    }
  s->in_len = len;
}

/* Pass every complete line of @p bytes to the owner, until it pauses the
   stream, and keep the others.  The bytes are those of the input buffer, or
   were just received while it was empty. */
static void
handle_lines (struct stream *s, const char *bytes, size_t len)
{
  size_t start = 0, from = s->searched;
  s->in_handler = true;
  while (!s->dead && !s->closing && !s->paused)
    {
      const char *end
          = memmem (bytes + from, len - from, LINE_END, LINE_END_BYTES);
      if (end == NULL)
        break;
      struct bstr line = { bytes + start, (size_t)(end - (bytes + start)) };
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
  keep_input (s, bytes + start, len - start);
  /* The last byte may be the first one of a line end.  A pause leaves lines
     that were not searched. */
  s->searched = s->paused || s->in_len == 0 ? 0 : s->in_len - 1;
  report_held (s);
}

static void
on_readable (struct stream *s)
{
  /* Most messages arrive whole, and need no buffer of their stream. */
  static char fresh[READ_BYTES];
  char *to = fresh;
  if (s->in_len > 0)
    {
      resize_input (s, s->in_len + READ_BYTES);
      to = s->in + s->in_len;
    }
  ssize_t n = recv (s->fd, to, READ_BYTES, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      fail_stream (s, n == 0 ? "closed by the peer" : strerror (errno));
      return;
    }
  size_t len = s->in_len + (size_t)n;
  if (s->closing)
    keep_input (s, NULL, 0);
  else if (len > STREAM_MAX_LINE + READ_BYTES)
    fail_stream (s, "line too long");
  else
    handle_lines (s, s->in_len > 0 ? s->in : fresh, len);
}

static void
on_handle_soon (struct tevent_context *ev, struct tevent_immediate *im,
                void *data)
{
  (void)ev, (void)im;
  struct stream *s = data;
  if (!s->dead && !s->closing && !s->paused && s->in_len > 0)
    handle_lines (s, s->in, s->in_len);
}

void
stream_pause (struct stream *s)
{
  if (s->dead || s->paused)
    return;
  s->paused = true;
  TEVENT_FD_NOT_READABLE (s->event);
}

void
stream_resume (struct stream *s)
{
  if (s->dead || !s->paused)
    return;
  s->paused = false;
  TEVENT_FD_READABLE (s->event);
  if (s->handle_soon == NULL)
    s->handle_soon = tevent_create_immediate (s);
  tevent_schedule_immediate (s->handle_soon, s->options.ev, on_handle_soon, s);
}

bool
stream_has_failed (const struct stream *s)
{
  struct pollfd state = { .fd = s->fd };
  return poll (&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
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
  size_t end = s->out_start + s->out_len;
  s->out = talloc_realloc (s, s->out, char, end + bytes.len - done);
  memcpy (s->out + end, bytes.start + done, bytes.len - done);
  s->out_len += bytes.len - done;
  watch_writable (s, true);
  report_held (s);
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
    {
      end_stream (s);
      return;
    }
  /* tevent reports an error of the connection only to a reader. */
  s->paused = false;
  TEVENT_FD_READABLE (s->event);
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
on_accept_pause_over (void *data)
{
  struct stream_server *server = data;
  TEVENT_FD_READABLE (server->event);
}

static void
pause_accepting (struct stream_server *server)
{
  log_warn (PART, "event=no_descriptor address=%s", server->options.address);
  TEVENT_FD_NOT_READABLE (server->event);
  timer_after (server->options.ev, server, ACCEPT_PAUSE_US,
               on_accept_pause_over, server);
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
        {
          if (errno == EMFILE || errno == ENFILE)
            pause_accepting (server);
          return;
        }
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
