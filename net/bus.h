/** @file
 * Message bus between daemons: ZeroMQ inside a tevent loop, with one PULL
 * socket to receive and one PUSH socket per peer.  Sending never blocks; once
 * the short queue of an unreachable peer is full, further messages to it are
 * dropped.
 */
#ifndef NET_BUS_H
#define NET_BUS_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>
#include <tevent.h>

/** Sockets of one daemon and its connections to peers. */
struct bus;

struct bus_options
{
  struct tevent_context *ev;
  /** Listening address, tcp://IP:PORT; port "*" chooses a free one. */
  const char *address;
  /** Largest message accepted, in bytes; the socket drops larger ones. */
  size_t max_message;
  /** Most messages queued for a peer that takes none; 0: 64. */
  int send_queue;
  /** Most messages of one peer that are received and not handled; the peer
   * keeps further ones; 0: 64. */
  int receive_queue;
  /** Handles one message.  Large ones are dropped while more of them come
   * than are handled, see MAX_BACKLOG_BYTES.  @p bytes are valid during the
   * call only. */
  void (*received) (void *data, struct bstr bytes);
  void *data; /**< Passed to the callback. */
};

/** Open the receiving socket.
 * @return NULL if the address cannot be bound. */
struct bus *bus_create (void *parent, const struct bus_options *options,
                        struct error *err);
/** @return the address that the bus listens on, tcp://IP:PORT. */
const char *bus_address (const struct bus *bus);
/** Queue a message to the daemon at tcp://IP:PORT; the first one opens a
 * connection.
 * @return false if the message was dropped: the queue is full or the address
 * cannot be used. */
bool bus_send (struct bus *bus, const char *address, struct bstr bytes);
/** Close the connection to a peer and drop the messages queued for it; the
 * next message to the peer opens a new connection. */
void bus_reset (struct bus *bus, const char *address);
/** Close connections to peers other than those in @p addresses. */
void bus_keep_only (struct bus *bus, const char *const *addresses, int count);
/** Bytes sent and received so far, without TCP and ZeroMQ framing. */
uint64_t bus_bytes (const struct bus *bus);
/** Messages sent and received so far. */
uint64_t bus_messages (const struct bus *bus);

#endif
