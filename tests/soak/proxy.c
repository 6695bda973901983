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
#define CHUNK 16384
/* Chunks that one direction of a connection holds back at most. */
#define MAX_CHUNKS 64
#define POLL_MS 5

/** What the driver tells the process of the proxy. */
struct command
{
  int link;
  int listen_port; /**< Not 0: a new link. */
  int target_port;
  enum proxy_fault fault;
  int ms;
};

struct proxy
{
  pid_t pid;
  int control;
  int link_count;
};

struct link
{
  int fd;
  int target_port;
  enum proxy_fault fault;
  int ms;
};

struct chunk
{
  struct chunk *next;
  int64_t due;
  size_t len;
  size_t sent;
  char bytes[CHUNK];
};

/** One way through a connection. */
struct way
{
  int from, to;
  struct chunk *chunks;
  int count;
  bool ended; /**< The sender has closed. */
};

struct connection
{
  struct link *link;
  struct way ways[2]; /**< To the target, and back. */
  bool muted;
};

struct loop
{
  int control;
  struct link links[PROXY_MAX_LINKS];
  int link_count;
  struct connection *connections[MAX_CONNECTIONS];
  int count;
};

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

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
free_way (struct way *w)
{
  while (w->chunks != NULL)
    {
      struct chunk *c = w->chunks;
      w->chunks = c->next;
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
        setsockopt (c->ways[i].from, SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
      close (c->ways[i].from);
      free_way (&c->ways[i]);
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
  c->ways[0] = (struct way){ .from = from, .to = fd };
  c->ways[1] = (struct way){ .from = fd, .to = from };
  if (l->count == MAX_CONNECTIONS
      || connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close_connection (c, true);
      return;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  l->connections[l->count++] = c;
}

static bool
is_cut (const struct connection *c, int way)
{
  return c->muted
         || c->link->fault == (way == 0 ? PROXY_CUT_FORWARD : PROXY_CUT_BACK);
}

static void
read_way (struct connection *c, struct way *w)
{
  struct chunk *chunk = calloc (1, sizeof *chunk);
  ssize_t n = recv (w->from, chunk->bytes, CHUNK, 0);
  if (n <= 0)
    {
      w->ended = n == 0 || errno != EAGAIN;
      free (chunk);
      return;
    }
  struct chunk **end = &w->chunks;
  while (*end != NULL)
    end = &(*end)->next;
  *end = chunk;
  chunk->len = (size_t)n;
  chunk->due
      = clock_now ()
        + (c->link->fault == PROXY_DELAY ? c->link->ms : 0) * USEC_PER_MSEC;
  w->count++;
}

/* @return false if the receiver is gone. */
static bool
write_way (struct way *w, int64_t now)
{
  while (w->chunks != NULL && w->chunks->due <= now)
    {
      struct chunk *c = w->chunks;
      ssize_t n
          = send (w->to, c->bytes + c->sent, c->len - c->sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN;
      c->sent += (size_t)n;
      if (c->sent < c->len)
        return true;
      w->chunks = c->next;
      w->count--;
      free (c);
    }
  return true;
}

/* @return false if the connection has ended. */
static bool
serve (struct connection *c, const struct pollfd *fds, int64_t now)
{
  for (int i = 0; i < 2; i++)
    {
      struct way *w = &c->ways[i];
      if (is_cut (c, i))
        continue;
      if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) && !w->ended
          && w->count < MAX_CHUNKS)
        read_way (c, w);
      if (!write_way (w, now) || (w->ended && w->chunks == NULL))
        return false;
    }
  return true;
}

static void
obey (struct loop *l)
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
  link->ms = m.ms;
  for (int i = 0; once && i < l->count;)
    {
      struct connection *c = l->connections[i];
      c->muted |= c->link == link && m.fault == PROXY_SILENCE;
      if (c->link != link || m.fault != PROXY_RESET)
        {
          i++;
          continue;
        }
      close_connection (c, true);
      l->connections[i] = l->connections[--l->count];
    }
}

static void
run (struct loop *l)
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
            const struct way *w = &l->connections[i]->ways[k];
            bool reads = !is_cut (l->connections[i], k) && !w->ended
                         && w->count < MAX_CHUNKS;
            fds[n++] = (struct pollfd){ .fd = reads ? w->from : -1,
                                        .events = POLLIN };
          }
      poll (fds, (nfds_t)n, POLL_MS);
      int64_t now = clock_now ();
      int kept = 0;
      for (int i = 0; i < connections; i++)
        {
          struct connection *c = l->connections[i];
          if (serve (c, &fds[1 + links + 2 * i], now))
            l->connections[kept++] = c;
          else
            close_connection (c, false);
        }
      l->count = kept;
      for (int i = 0; i < links; i++)
        if (fds[1 + i].revents != 0)
          accept_connection (l, &l->links[i]);
      if (fds[0].revents != 0)
        obey (l);
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
      run (l);
    }
  close (pair[1]);
  p->control = pair[0];
  talloc_set_destructor (p, proxy_destructor);
  return p;
}

int
proxy_add (struct proxy *p, int listen_port, int target_port)
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
proxy_set (struct proxy *p, int link, enum proxy_fault fault, int ms)
{
  struct command m = { .link = link, .fault = fault, .ms = ms };
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
