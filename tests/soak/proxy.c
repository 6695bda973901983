#include "tests/soak/proxy.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

#define MAX_CONNECTIONS 4096
#define CHUNK_BYTES 16384
/* Largest number of chunks that one direction of a connection buffers; beyond
   it the proxy stops reading from the sender. */
#define MAX_CHUNKS 64
#define POLL_TIMEOUT_MS 5

/** A command from the soak to the proxy process. */
struct command
{
  int link;        /**< Link whose fault is set. */
  int listen_port; /**< Not 0: add a link that listens on this port. */
  int target_port; /**< Port that the new link forwards to. */
  enum proxy_fault fault;
  int delay_ms;
};

/** The proxy process as the soak sees it. */
struct proxy
{
  pid_t pid;
  int control; /**< Socket for commands. */
  int link_count;
};

/** A listening port and its target. */
struct link
{
  int fd; /**< Listening socket. */
  int target_port;
  enum proxy_fault fault; /**< Current fault. */
  int delay_ms;           /**< For PROXY_DELAY. */
};

/** Bytes that were received and are not all sent yet. */
struct chunk
{
  struct chunk *next;
  int64_t due_us; /**< Time from which the chunk may be sent. */
  size_t len;
  size_t sent; /**< Bytes of the chunk that are sent. */
  char bytes[CHUNK_BYTES];
};

/** One direction of a connection. */
struct direction
{
  int from, to;         /**< Sockets of the sender and of the receiver. */
  struct chunk *chunks; /**< Queue, oldest first. */
  int count;            /**< Number of queued chunks. */
  bool ended;           /**< The sender has closed or has failed. */
};

/** A connection through a link. */
struct connection
{
  struct link *link;
  struct direction directions[2]; /**< To the target, and back. */
  bool silenced; /**< PROXY_SILENCE came while the connection was open. */
};

/** State of the proxy process. */
struct loop
{
  int control; /**< Socket for commands. */
  struct link links[PROXY_MAX_LINKS];
  int link_count;
  struct connection *connections[MAX_CONNECTIONS];
  int count; /**< Number of connections. */
};

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* @return the listening socket, -1 on failure. */
static int
listen_on (int port)
{
  struct sockaddr_in at = loopback (port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, SOMAXCONN) != 0)
    {
      printf ("proxy: port %d: %s\n", port, strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}

static void
free_direction (struct direction *d)
{
  while (d->chunks != NULL)
    {
      struct chunk *c = d->chunks;
      d->chunks = c->next;
      free (c);
    }
}

static void
close_connection (struct connection *c, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  for (int i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (c->directions[i].from, SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
      close (c->directions[i].from);
      free_direction (&c->directions[i]);
    }
  free (c);
}

static void
accept_connection (struct loop *l, struct link *link)
{
  struct sockaddr_in to = loopback (link->target_port);
  int from = accept4 (link->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (from < 0)
    return;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct connection *c = calloc (1, sizeof *c);
  c->link = link;
  c->directions[0] = (struct direction){ .from = from, .to = fd };
  c->directions[1] = (struct direction){ .from = fd, .to = from };
  if (l->count == MAX_CONNECTIONS
      || connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close_connection (c, true);
      return;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  l->connections[l->count++] = c;
}

/* @return whether a fault stops the bytes of direction @p index (0: to the
   target). */
static bool
is_blocked (const struct connection *c, int index)
{
  return c->silenced
         || c->link->fault
                == (index == 0 ? PROXY_CUT_FORWARD : PROXY_CUT_BACK);
}

/* Receive one chunk and append it to the queue. */
static void
read_chunk (struct connection *c, struct direction *d)
{
  struct chunk *chunk = calloc (1, sizeof *chunk);
  ssize_t n = recv (d->from, chunk->bytes, CHUNK_BYTES, 0);
  if (n <= 0)
    {
      d->ended = n == 0 || errno != EAGAIN;
      free (chunk);
      return;
    }
  struct chunk **end = &d->chunks;
  while (*end != NULL)
    end = &(*end)->next;
  *end = chunk;
  chunk->len = (size_t)n;
  chunk->due_us = clock_now ()
                  + (c->link->fault == PROXY_DELAY ? c->link->delay_ms : 0)
                        * USEC_PER_MSEC;
  d->count++;
}

/* Send the chunks that are due. @return false if the receiver has closed. */
static bool
write_due_chunks (struct direction *d, int64_t now)
{
  while (d->chunks != NULL && d->chunks->due_us <= now)
    {
      struct chunk *c = d->chunks;
      ssize_t n
          = send (d->to, c->bytes + c->sent, c->len - c->sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN;
      c->sent += (size_t)n;
      if (c->sent < c->len)
        return true;
      d->chunks = c->next;
      d->count--;
      free (c);
    }
  return true;
}

/* Transfer bytes in both directions. @return false if the connection has
   ended. */
static bool
transfer_bytes (struct connection *c, const struct pollfd *fds, int64_t now)
{
  for (int i = 0; i < 2; i++)
    {
      struct direction *d = &c->directions[i];
      if (is_blocked (c, i))
        continue;
      if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) && !d->ended
          && d->count < MAX_CHUNKS)
        read_chunk (c, d);
      if (!write_due_chunks (d, now) || (d->ended && d->chunks == NULL))
        return false;
    }
  return true;
}

/* Receive a command and run it; the process ends when the soak has closed the
   control socket.  PROXY_RESET and PROXY_SILENCE act once, on the connections
   that are open now. */
static void
run_command (struct loop *l)
{
  struct command m;
  if (recv (l->control, &m, sizeof m, 0) != sizeof m)
    _exit (0);
  if (m.listen_port != 0)
    {
      int fd = listen_on (m.listen_port);
      int answer = fd < 0 ? -1 : l->link_count;
      if (fd >= 0)
        l->links[l->link_count++]
            = (struct link){ .fd = fd, .target_port = m.target_port };
      send (l->control, &answer, sizeof answer, MSG_NOSIGNAL);
      return;
    }
  struct link *link = &l->links[m.link];
  bool once = m.fault == PROXY_RESET || m.fault == PROXY_SILENCE;
  link->fault = once ? PROXY_PASS : m.fault;
  link->delay_ms = m.delay_ms;
  for (int i = 0; once && i < l->count;)
    {
      struct connection *c = l->connections[i];
      c->silenced |= c->link == link && m.fault == PROXY_SILENCE;
      if (c->link != link || m.fault != PROXY_RESET)
        {
          i++;
          continue;
        }
      close_connection (c, true);
      l->connections[i] = l->connections[--l->count];
    }
}

/* The event loop of the proxy process. */
static void
run_loop (struct loop *l)
{
  static struct pollfd fds[1 + PROXY_MAX_LINKS + 2 * MAX_CONNECTIONS];
  for (;;)
    {
      int n = 0, links = l->link_count, connections = l->count;
      fds[n++] = (struct pollfd){ .fd = l->control, .events = POLLIN };
      for (int i = 0; i < links; i++)
        fds[n++] = (struct pollfd){ .fd = l->links[i].fd, .events = POLLIN };
      for (int i = 0; i < connections; i++)
        for (int k = 0; k < 2; k++)
          {
            const struct direction *d = &l->connections[i]->directions[k];
            bool reads = !is_blocked (l->connections[i], k) && !d->ended
                         && d->count < MAX_CHUNKS;
            fds[n++] = (struct pollfd){ .fd = reads ? d->from : -1,
                                        .events = POLLIN };
          }
      poll (fds, (nfds_t)n, POLL_TIMEOUT_MS);
      int64_t now = clock_now ();
      int kept = 0;
      for (int i = 0; i < connections; i++)
        {
          struct connection *c = l->connections[i];
          if (transfer_bytes (c, &fds[1 + links + 2 * i], now))
            l->connections[kept++] = c;
          else
            close_connection (c, false);
        }
      l->count = kept;
      for (int i = 0; i < links; i++)
        if (fds[1 + i].revents != 0)
          accept_connection (l, &l->links[i]);
      if (fds[0].revents != 0)
        run_command (l);
    }
}

static int
proxy_destructor (struct proxy *p)
{
  close (p->control);
  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  return 0;
}

struct proxy *
proxy_start (void *parent)
{
  struct proxy *p = talloc_zero (parent, struct proxy);
  int pair[2];
  if (socketpair (AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, pair) != 0)
    {
      talloc_free (p);
      return NULL;
    }
  fflush (stdout);
  p->pid = fork ();
  if (p->pid == 0)
    {
      struct loop *l = calloc (1, sizeof *l);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      close (pair[0]);
      l->control = pair[1];
      run_loop (l);
    }
  close (pair[1]);
  p->control = pair[0];
  talloc_set_destructor (p, proxy_destructor);
  return p;
}

int
proxy_add_link (struct proxy *p, int listen_port, int target_port)
{
  struct command m
      = { .listen_port = listen_port, .target_port = target_port };
  int link = -1;
  if (p->link_count == PROXY_MAX_LINKS
      || send (p->control, &m, sizeof m, MSG_NOSIGNAL) != sizeof m
      || recv (p->control, &link, sizeof link, 0) != sizeof link)
    return -1;
  p->link_count++;
  return link;
}

void
proxy_set_fault (struct proxy *p, int link, enum proxy_fault fault,
                 int delay_ms)
{
  struct command m = { .link = link, .fault = fault, .delay_ms = delay_ms };
  if (send (p->control, &m, sizeof m, MSG_NOSIGNAL) != sizeof m)
    printf ("proxy: a command was lost: %s\n", strerror (errno));
}

const char *
proxy_fault_name (enum proxy_fault fault)
{
  static const char *const names[PROXY_FAULT_COUNT]
      = { "pass", "delay", "reset", "silence", "cut_forward", "cut_back" };
  return names[fault];
}
