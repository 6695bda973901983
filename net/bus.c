#include "net/bus.h"

#include "common/log.h"

#include <stdio.h>
#include <zmq.h>

#define PART "bus"

/* Kept short, because heartbeats older than a few seconds are worthless to a
   peer that was out of reach. */
#define DEFAULT_SEND_QUEUE_MESSAGES 64
/* With messages of 64 KiB, the most that azurewindd accepts, 4 MiB. */
#define DEFAULT_RECEIVE_QUEUE_MESSAGES 64
/* Large messages and how many bytes of them are handled before the queue was
   empty once.  A peer can fill the queue faster than they are decoded, but not
   faster than they are dropped. */
#define LARGE_MESSAGE_BYTES ((size_t)64 << 10)
#define MAX_BACKLOG_BYTES ((size_t)8 << 20)
/* Connections that wait to be accepted.  After a loss of power all daemons of
   a fleet connect to the same few at once; the system drops the opening packet
   of one that finds no room, and it is sent again after a second or more. */
#define LISTEN_BACKLOG 2048
/* Time after which a connection attempt is given up and repeated.  The opening
   packet to a VM that is down is otherwise repeated ever more slowly, also
   once the VM is up. */
#define CONNECT_TIMEOUT_MS 400

/** Connection to one peer. */
struct peer_socket
{
  struct peer_socket *next;
  char *address; /**< tcp://IP:PORT. */
  void *socket;  /**< ZeroMQ PUSH socket. */
};

struct bus
{
  void *context;  /**< ZeroMQ context. */
  void *receiver; /**< ZeroMQ PULL socket. */
  struct tevent_context *ev;
  struct tevent_immediate *drain_again; /**< Continues drain_receiver. */
  struct peer_socket *peers;
  void (*received) (void *data, struct bstr bytes);
  void *data;
  char *address;     /**< Listening address, tcp://IP:PORT. */
  int send_queue;    /**< Most messages queued per peer. */
  uint64_t bytes;    /**< Bytes of messages sent and received. */
  uint64_t messages; /**< Messages sent and received. */
  /** Large messages since the queue was empty: bytes that were handled, and
   * messages that were dropped. */
  size_t backlog;
  unsigned dropped;
};

/* Most messages received in one iteration of the event loop, so that peers
   cannot starve callers. */
#define RECEIVE_BATCH_MESSAGES 64

static void drain_receiver (struct bus *bus);

static void
on_drain_again (struct tevent_context *ev, struct tevent_immediate *im,
                void *data)
{
  (void)ev, (void)im;
  drain_receiver (data);
}

/* The queue of received messages is empty. */
static void
end_backlog (struct bus *bus)
{
  if (bus->dropped > 0)
    log_warn (PART, "event=large_messages_dropped count=%u handled_bytes=%zu",
              bus->dropped, bus->backlog);
  bus->backlog = 0;
  bus->dropped = 0;
}

/* @return whether to handle a message of this size. */
static bool
fits_backlog (struct bus *bus, size_t bytes)
{
  if (bytes < LARGE_MESSAGE_BYTES)
    return true;
  if (bus->backlog + bytes > MAX_BACKLOG_BYTES)
    {
      bus->dropped++;
      return false;
    }
  bus->backlog += bytes;
  return true;
}

/* Receive up to RECEIVE_BATCH_MESSAGES messages.  ZeroMQ's descriptor is
   edge-triggered, so if the batch did not empty the socket, the next iteration
   of the event loop continues. */
static void
drain_receiver (struct bus *bus)
{
  for (int i = 0; i < RECEIVE_BATCH_MESSAGES; i++)
    {
      zmq_msg_t message;
      zmq_msg_init (&message);
      if (zmq_msg_recv (&message, bus->receiver, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&message);
          end_backlog (bus);
          return;
        }
      struct bstr bytes = { zmq_msg_data (&message), zmq_msg_size (&message) };
      bus->bytes += bytes.len;
      bus->messages++;
      if (fits_backlog (bus, bytes.len))
        bus->received (bus->data, bytes);
      zmq_msg_close (&message);
    }
  tevent_schedule_immediate (bus->drain_again, bus->ev, on_drain_again, bus);
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
             void *data)
{
  (void)ev, (void)fde, (void)flags;
  drain_receiver (data);
}

static int
bus_destructor (struct bus *bus)
{
  for (struct peer_socket *p = bus->peers; p != NULL; p = p->next)
    zmq_close (p->socket);
  if (bus->receiver != NULL)
    zmq_close (bus->receiver);
  if (bus->context != NULL)
    zmq_ctx_term (bus->context);
  return 0;
}

static void
set_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

struct bus *
bus_create (void *parent, const struct bus_options *options, struct error *err)
{
  struct bus *bus = talloc_zero (parent, struct bus);
  int64_t max_message = (int64_t)options->max_message;
  char bound_address[128];
  size_t len = sizeof bound_address;
  int fd;
  bus->ev = options->ev;
  bus->received = options->received;
  bus->data = options->data;
  bus->send_queue = options->send_queue > 0 ? options->send_queue
                                            : DEFAULT_SEND_QUEUE_MESSAGES;
  bus->drain_again = tevent_create_immediate (bus);
  bus->context = zmq_ctx_new ();
  talloc_set_destructor (bus, bus_destructor);
  bus->receiver = zmq_socket (bus->context, ZMQ_PULL);
  set_option (bus->receiver, ZMQ_LINGER, 0);
  set_option (bus->receiver, ZMQ_RCVHWM,
              options->receive_queue > 0 ? options->receive_queue
                                         : DEFAULT_RECEIVE_QUEUE_MESSAGES);
  set_option (bus->receiver, ZMQ_BACKLOG, LISTEN_BACKLOG);
  zmq_setsockopt (bus->receiver, ZMQ_MAXMSGSIZE, &max_message,
                  sizeof max_message);
  snprintf (bound_address, sizeof bound_address, "%s", options->address);
  if (zmq_bind (bus->receiver, bound_address) != 0
      || zmq_getsockopt (bus->receiver, ZMQ_LAST_ENDPOINT, bound_address, &len)
             != 0)
    {
      error_set (err, ERROR_UNAVAILABLE, "cannot listen on %s: %s",
                 options->address, zmq_strerror (zmq_errno ()));
      talloc_free (bus);
      return NULL;
    }
  bus->address = talloc_strdup (bus, bound_address);
  len = sizeof fd;
  zmq_getsockopt (bus->receiver, ZMQ_FD, &fd, &len);
  tevent_add_fd (bus->ev, bus, fd, TEVENT_FD_READ, on_readable, bus);
  tevent_schedule_immediate (bus->drain_again, bus->ev, on_drain_again, bus);
  return bus;
}

const char *
bus_address (const struct bus *bus)
{
  return bus->address;
}

static struct peer_socket *
connect_peer (struct bus *bus, const char *address)
{
  struct peer_socket *p = talloc_zero (bus, struct peer_socket);
  p->address = talloc_strdup (p, address);
  p->socket = zmq_socket (bus->context, ZMQ_PUSH);
  set_option (p->socket, ZMQ_LINGER, 0);
  set_option (p->socket, ZMQ_SNDHWM, bus->send_queue);
  set_option (p->socket, ZMQ_RECONNECT_IVL, 100);
  set_option (p->socket, ZMQ_RECONNECT_IVL_MAX, 1000);
  set_option (p->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  if (zmq_connect (p->socket, address) != 0)
    {
      zmq_close (p->socket);
      talloc_free (p);
      return NULL;
    }
  p->next = bus->peers;
  bus->peers = p;
  return p;
}

bool
bus_send (struct bus *bus, const char *address, struct bstr bytes)
{
  struct peer_socket *p = bus->peers;
  while (p != NULL && strcmp (p->address, address) != 0)
    p = p->next;
  if (p == NULL)
    p = connect_peer (bus, address);
  if (p == NULL
      || zmq_send (p->socket, bytes.start, bytes.len, ZMQ_DONTWAIT) < 0)
    return false;
  bus->bytes += bytes.len;
  bus->messages++;
  return true;
}

void
bus_reset (struct bus *bus, const char *address)
{
  for (struct peer_socket **at = &bus->peers; *at != NULL; at = &(*at)->next)
    if (strcmp ((*at)->address, address) == 0)
      {
        struct peer_socket *p = *at;
        *at = p->next;
        zmq_close (p->socket);
        talloc_free (p);
        return;
      }
}

void
bus_keep_only (struct bus *bus, const char *const *addresses, int count)
{
  struct peer_socket **at = &bus->peers;
  while (*at != NULL)
    {
      struct peer_socket *p = *at;
      bool keep = false;
      for (int i = 0; i < count; i++)
        keep = keep || strcmp (addresses[i], p->address) == 0;
      if (keep)
        {
          at = &p->next;
          continue;
        }
      *at = p->next;
      zmq_close (p->socket);
      talloc_free (p);
    }
}

uint64_t
bus_bytes (const struct bus *bus)
{
  return bus->bytes;
}

uint64_t
bus_messages (const struct bus *bus)
{
  return bus->messages;
}
