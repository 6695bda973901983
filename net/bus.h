/** @file
 * Messages between daemons over ZeroMQ inside a tevent loop: one PULL
 * socket to receive, one PUSH socket per peer.  Sending never blocks; a
 * message to an unreachable peer is dropped after a short queue.
 */
#ifndef NET_BUS_H
#define NET_BUS_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>
#include <tevent.h>

struct bus;

struct bus_options
{
  struct tevent_context *ev;
  const char *address; /**< tcp://IP:PORT; port * takes a free one. */
  size_t max_message;  /**< Larger messages are dropped by the socket. */
  int send_queue;      /**< Messages kept for a silent peer; 0: 64. */
  void (*received) (void *data, struct bstr bytes);
  void *data;
};

struct bus *bus_create (void *parent, const struct bus_options *options,
                        struct error *err);
/** @return the bound address, tcp://IP:PORT. */
const char *bus_address (const struct bus *bus);
/** Send to the daemon at tcp://IP:PORT.
 * @return false if it was dropped. */
bool bus_send (struct bus *bus, const char *address, struct bstr bytes);
/** Drop the connection to a peer and what is queued for it; the next message
 * opens a new one. */
void bus_reset (struct bus *bus, const char *address);
/** Close connections to peers other than those in @p addresses. */
void bus_keep_only (struct bus *bus, const char *const *addresses, int count);
/** Bytes sent and received so far, without TCP and ZeroMQ framing. */
uint64_t bus_bytes (const struct bus *bus);
uint64_t bus_messages (const struct bus *bus);

#endif
