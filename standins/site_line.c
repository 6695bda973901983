#include "standins/site_line.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes read from the socket in one call. */
#define READ_BYTES 4096
/* Longest line, in bytes, with its CR LF. */
#define MAX_LINE_BYTES (((size_t)1 << 20) + 2)
#define MAX_OUTPUT_BYTES ((size_t)16 << 20)
#define KEEPALIVE_PROBES 3

struct site_line
{
  const struct site_line_ops *ops;
  void *data;
  int fd;
  struct tevent_fd *event;
  char *line; /**< Bytes of the line that is being read. */
  size_t len;
  size_t size; /**< Allocated bytes. */
  bool is_cr;  /**< The newest byte, which is not in @c line yet, was a CR. */
  char *out;   /**< Bytes that the socket has not accepted yet. */
  size_t out_len;
  bool closing;    /**< The owner has closed it. */
  bool in_handler; /**< Bytes are being handled; free it after them. */
  bool ended;
};

static int
line_destructor (struct site_line *c)
{
  TALLOC_FREE (c->event);
  close (c->fd);
  return 0;
}

/* End the connection, and tell the owner unless it has closed it. */
static void
end_connection (struct site_line *c)
{
  if (c->ended)
    return;
  c->ended = true;
  TALLOC_FREE (c->event);
  if (!c->closing)
    c->ops->closed (c->data);
  if (!c->in_handler)
    talloc_free (c);
}

static void
add_byte (struct site_line *c, char byte)
{
  if (c->len == c->size)
    {
      c->size = c->size * 2 + READ_BYTES;
      c->line = talloc_realloc (c, c->line, char, c->size);
    }
  c->line[c->len++] = byte;
}

static void
handle_byte (struct site_line *c, char byte)
{
  if (c->is_cr && byte == '\n')
    {
      struct bstr line = { c->line, c->len };
      c->is_cr = false;
      c->len = 0;
      c->ops->line (c->data, line);
      return;
    }
  if (c->is_cr)
    add_byte (c, '\r');
  c->is_cr = byte == '\r';
  if (!c->is_cr)
    add_byte (c, byte);
}

static void
read_bytes (struct site_line *c)
{
  char bytes[READ_BYTES];
  ssize_t n = recv (c->fd, bytes, sizeof bytes, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      end_connection (c);
      return;
    }
  c->in_handler = true;
  for (ssize_t i = 0; i < n && !c->closing && !c->ended; i++)
    handle_byte (c, bytes[i]);
  c->in_handler = false;
  if (c->ended)
    talloc_free (c);
  else if (c->len > MAX_LINE_BYTES)
    end_connection (c);
}

static void
write_bytes (struct site_line *c)
{
  ssize_t n = send (c->fd, c->out, c->out_len, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      end_connection (c);
      return;
    }
  if (n > 0)
    {
      c->out_len -= (size_t)n;
      memmove (c->out, c->out + n, c->out_len);
    }
  if (c->out_len > 0)
    return;
  TEVENT_FD_NOT_WRITEABLE (c->event);
  if (c->closing)
    end_connection (c);
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *data)
{
  (void)ev, (void)event;
  struct site_line *c = data;
  if ((flags & TEVENT_FD_WRITE) != 0)
    write_bytes (c);
  else if ((flags & TEVENT_FD_READ) != 0)
    read_bytes (c);
}

struct site_line *
site_line_adopt (void *parent, struct tevent_context *ev, int fd,
                 int peer_timeout_ms, const struct site_line_ops *ops,
                 void *data)
{
  int on = 1, probes = KEEPALIVE_PROBES,
      seconds = peer_timeout_ms / 1000 / KEEPALIVE_PROBES;
  struct site_line *c = talloc_zero (parent, struct site_line);
  c->ops = ops;
  c->data = data;
  c->fd = fd;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &peer_timeout_ms,
              sizeof peer_timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  talloc_set_destructor (c, line_destructor);
  c->event = tevent_add_fd (ev, c, fd, TEVENT_FD_READ, on_event, c);
  return c;
}

void
site_line_send (struct site_line *c, struct bstr bytes)
{
  if (c->ended || c->closing)
    return;
  if (c->out_len + bytes.len > MAX_OUTPUT_BYTES)
    {
      /* The event loop then reports the end. */
      shutdown (c->fd, SHUT_RDWR);
      return;
    }
  c->out = talloc_realloc (c, c->out, char, c->out_len + bytes.len + 1);
  memcpy (c->out + c->out_len, bytes.start, bytes.len);
  c->out_len += bytes.len;
  TEVENT_FD_WRITEABLE (c->event);
}

void
site_line_close (struct site_line *c)
{
  c->closing = true;
  if (c->out_len == 0)
    end_connection (c);
}

struct bstr
site_line_field (struct bstr *rest)
{
  struct bstr field = *rest;
  size_t len = 0;
  while (len < field.len && field.start[len] != ' ')
    len++;
  *rest = bstr_skip (field, len + 1);
  field.len = len;
  return field;
}

char *
site_line_escape (void *parent, struct bstr bytes)
{
  char *text = talloc_array (parent, char, bytes.len * 4 + 1);
  size_t at = 0;
  for (size_t i = 0; i < bytes.len; i++)
    {
      unsigned char byte = (unsigned char)bytes.start[i];
      if (byte >= ' ' && byte < 0x7f && byte != '\\')
        text[at++] = (char)byte;
      else
        at += (size_t)sprintf (text + at, "\\x%02x", byte);
    }
  text[at] = '\0';
  return text;
}
