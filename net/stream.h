/** @file
 * TCP connections that carry lines, inside a tevent loop.  A line ends in
 * CR LF and nowhere else: every other byte, a CR or LF alone too, is data.
 * Sending never blocks; bytes that the socket does not accept are buffered and
 * sent later.
 */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include "common/bstr.h"
#include "common/error.h"

#include <tevent.h>

/** One connection. */
struct stream;
/** A listening socket. */
struct stream_server;

/** Longest line, in bytes. */
#define STREAM_MAX_LINE ((size_t)1 << 20)
/** Most bytes buffered for a slow peer; a stream that exceeds it is shut
 * down.  The values of a session fit, with a statement and its shape. */
#define STREAM_MAX_BACKLOG ((size_t)8 << 20)

/** Callbacks of a stream's owner. */
struct stream_ops
{
  /** Handles one line, without its line ending.  It may close the stream. */
  void (*line) (void *data, struct bstr line);
  /** The peer closed the connection, or it failed; the stream is freed after
   * the call.  Not called after stream_close or stream_abort. */
  void (*closed) (void *data, const char *reason);
  /** The buffers of the stream have changed their sizes, in bytes: for
   * received data that are not handled, and for data that the socket has not
   * accepted.  NULL: not wanted.  The call may close the stream, unless it
   * comes from within stream_send. */
  void (*held) (void *data, size_t received, size_t unsent);
};

struct stream_options
{
  struct tevent_context *ev;
  const struct stream_ops *ops;
  void *data; /**< Passed to the callbacks. */
  /** The connection fails once sent bytes, or the keep-alive probes sent on
   * an idle connection, stay unacknowledged for this long; 0: no limit. */
  int peer_timeout_ms;
};

/** Start to connect to IP:PORT; lines may be sent at once.
 * @return NULL if the address is malformed, no socket is available or the
 * connection fails at once. */
struct stream *stream_connect (void *parent, const char *address,
                               const struct stream_options *options,
                               struct error *err);
/** Send @p bytes now or when the socket is writable. */
void stream_send (struct stream *stream, struct bstr bytes);
/** @return whether the connection was ever established. */
bool stream_was_connected (const struct stream *stream);
/** @return whether the connection was refused: the peer's VM is up, but no
 * process listens on the port. */
bool stream_was_refused (const struct stream *stream);
/** Stop reading, and call no line callback until stream_resume, also not for
 * lines that were received. */
void stream_pause (struct stream *stream);
/** Read again; lines that were received are handled by the event loop. */
void stream_resume (struct stream *stream);
/** @return whether the connection has failed.  A paused stream does not learn
 * of it by itself. */
bool stream_has_failed (const struct stream *stream);
/** Send the buffered bytes, then close; no callback follows. */
void stream_close (struct stream *stream);
/** Reset the connection at once and drop the buffered bytes; no callback
 * follows. */
void stream_abort (struct stream *stream);

struct stream_server_options
{
  struct tevent_context *ev;
  const char *address;  /**< Listening address, IP:PORT. */
  unsigned max_streams; /**< Not used by the server. */
  /** A connection was accepted as @p fd, which the callback owns: it passes
   * it to stream_adopt or closes it. */
  void (*accepted) (void *data, int fd);
  void *data;
};

/** Listen on an address.
 * @return NULL if the address is malformed or cannot be bound. */
struct stream_server *
stream_server_create (void *parent,
                      const struct stream_server_options *options,
                      struct error *err);
/** @return the port that the server listens on. */
int stream_server_port (const struct stream_server *server);
/** Create a stream that owns the connected descriptor @p fd. */
struct stream *stream_adopt (void *parent, int fd,
                             const struct stream_options *options);

#endif
