/** @file
 * Connections of the stand-in's databases.  It has a reader of its own, apart
 * from the one that the session daemon uses, so that the stand-in does not
 * share a fault of that one: a line ends in CR LF and nowhere else, and every
 * other byte is data.
 */
#ifndef STANDINS_SITE_LINE_H
#define STANDINS_SITE_LINE_H

#include "common/bstr.h"

#include <tevent.h>

/** One connection. */
struct site_line;

/** Callbacks of the connection's owner. */
struct site_line_ops
{
  /** Handles a line, without its CR LF.  It may close the connection. */
  void (*line) (void *data, struct bstr line);
  /** The peer closed the connection, or it failed; it is freed after the
   * call. */
  void (*closed) (void *data);
};

/** Take over the connected descriptor @p fd.
 * @param peer_timeout_ms the connection fails once sent bytes or keep-alive
 * probes stay unacknowledged for this long. */
struct site_line *site_line_adopt (void *parent, struct tevent_context *ev,
                                   int fd, int peer_timeout_ms,
                                   const struct site_line_ops *ops,
                                   void *data);
/** Send bytes; what the socket does not accept is sent later. */
void site_line_send (struct site_line *c, struct bstr bytes);
/** Close the connection once everything is sent.  No callback follows. */
void site_line_close (struct site_line *c);

/** Remove the next field of a line, and the blank after it, from @p rest.
 * @return the field. */
struct bstr site_line_field (struct bstr *rest);

/** @return @p bytes as ASCII text: a byte that is not a printable ASCII
 * character, and the backslash, become "\xNN". */
char *site_line_escape (void *parent, struct bstr bytes);

#endif
