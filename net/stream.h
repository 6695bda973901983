/** @file
 * TCP connections that carry CR LF lines, inside a tevent loop.  Sending
 * never blocks; what the socket does not take is kept and sent later.
 */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include "common/bstr.h"
#include "common/error.h"

#include <tevent.h>

struct stream;
struct stream_server;

/** Longest line, and most bytes that wait for a slow peer. */
#define STREAM_MAX_LINE ((size_t)1 << 20)
#define STREAM_MAX_BACKLOG ((size_t)4 << 20)

struct stream_ops
{
  /** One line without its end.  May close the stream. */
  void (*line) (void *data, struct bstr line);
  /** The peer closed, or the connection failed; the stream is freed after
   * the call.  Not called after stream_close. */
  void (*closed) (void *data, const char *reason);
};

struct stream_options
{
  struct tevent_context *ev;
  const struct stream_ops *ops;
  void *data;
  int dead_ms; /**< Unacknowledged bytes or silence end the connection. */
};

/** Start to connect to IP:PORT; lines may be sent at once.
 * @return NULL if the address is malformed or no socket can be had. */
struct stream *stream_connect (void *parent, const char *address,
                               const struct stream_options *options,
                               struct error *err);
void stream_send (struct stream *stream, struct bstr bytes);
/** @return whether the peer ever accepted the connection. */
bool stream_was_connected (const struct stream *stream);
/** @return whether a machine that is up said that nobody listens. */
bool stream_was_refused (const struct stream *stream);
/** Send what is left and close; no callback follows. */
void stream_close (struct stream *stream);
/** Close and drop what was not sent. */
void stream_abort (struct stream *stream);

struct stream_server_options
{
  struct tevent_context *ev;
  const char *address; /**< IP:PORT. */
  unsigned max_streams;
  /** A connection was accepted; call stream_adopt to keep it. */
  void (*accepted) (void *data, int fd);
  void *data;
};

struct stream_server *
stream_server_create (void *parent,
                      const struct stream_server_options *options,
                      struct error *err);
int stream_server_port (const struct stream_server *server);
/** Take over an accepted descriptor. */
struct stream *stream_adopt (void *parent, int fd,
                             const struct stream_options *options);

#endif
