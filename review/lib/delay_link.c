#include "review/lib/delay_link.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECTIONS 256
#define CHUNK_BYTES 16384

struct chunk
{
  struct chunk *next;
  int64_t due;
  size_t len, sent;
  char bytes[CHUNK_BYTES];
};

/** A connection; direction 0 goes to the target. */
struct connection
{
  int fd[2]; /**< Sockets of the daemon that connected and of the target. */
  struct chunk *first[2], *last[2];
  bool ended[2]; /**< The sender of the direction has closed. */
  bool marked, silent;
  int64_t last_due;
};

struct delay_link
{
  int listener, target_port;
  atomic_int delay_ms, marking, marked, silencing;
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

static void
accept_connection (struct delay_link *l)
{
  struct sockaddr_in to = loopback (l->target_port);
  int from = accept4 (l->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (from < 0 || l->count == MAX_CONNECTIONS
      || connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      if (from >= 0)
        close (from);
      close (fd);
      return;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  struct connection *c = calloc (1, sizeof *c);
  c->fd[0] = from;
  c->fd[1] = fd;
  c->marked = atomic_load (&l->marking) != 0;
  if (c->marked)
    atomic_fetch_add (&l->marked, 1);
  l->connections[l->count++] = c;
}

static void
read_chunk (struct delay_link *l, struct connection *c, int k, int64_t now)
{
  struct chunk *chunk = calloc (1, sizeof *chunk);
  ssize_t n = recv (c->fd[k], chunk->bytes, CHUNK_BYTES, 0);
  if (n <= 0)
    {
      c->ended[k] = n == 0 || errno != EAGAIN;
      free (chunk);
      return;
    }
  if (c->silent)
    {
      free (chunk);
      return;
    }
  chunk->len = (size_t)n;
  chunk->due = now;
  if (k == 0 && c->marked)
    {
      chunk->due += atomic_load (&l->delay_ms) * USEC_PER_MSEC;
      if (chunk->due < c->last_due)
        chunk->due = c->last_due;
      c->last_due = chunk->due;
    }
  if (c->last[k] != NULL)
    c->last[k]->next = chunk;
  else
    c->first[k] = chunk;
  c->last[k] = chunk;
}

/* Send what is due.  @return false if the connection has ended. */
static bool
write_chunks (struct connection *c, int k, int64_t now)
{
  while (c->first[k] != NULL && c->first[k]->due <= now)
    {
      struct chunk *chunk = c->first[k];
      ssize_t n = send (c->fd[1 - k], chunk->bytes + chunk->sent,
                        chunk->len - chunk->sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN;
      chunk->sent += (size_t)n;
      if (chunk->sent < chunk->len)
        return true;
      c->first[k] = chunk->next;
      if (chunk->next == NULL)
        c->last[k] = NULL;
      free (chunk);
    }
  return !c->ended[k] || c->first[k] != NULL;
}

static void *
run (void *data)
{
  struct delay_link *l = data;
  struct pollfd fds[1 + 2 * MAX_CONNECTIONS];
  for (;;)
    {
      int count = l->count, kept = 0;
      fds[0] = (struct pollfd){ .fd = l->listener, .events = POLLIN };
      for (int i = 0; i < count; i++)
        for (int k = 0; k < 2; k++)
          fds[1 + 2 * i + k] = (struct pollfd){
            .fd = l->connections[i]->ended[k] ? -1 : l->connections[i]->fd[k],
            .events = POLLIN
          };
      poll (fds, (nfds_t)(1 + 2 * count), 2);
      int64_t now = clock_now ();
      bool silences = atomic_exchange (&l->silencing, 0) != 0;
      for (int i = 0; i < count; i++)
        {
          struct connection *c = l->connections[i];
          bool open = true;
          c->silent |= silences && c->marked;
          for (int k = 0; k < 2; k++)
            {
              if (fds[1 + 2 * i + k].revents != 0)
                read_chunk (l, c, k, now);
              open = write_chunks (c, k, now) && open;
            }
          if (open)
            {
              l->connections[kept++] = c;
              continue;
            }
          close (c->fd[0]);
          close (c->fd[1]);
          free (c);
        }
      l->count = kept;
      if (fds[0].revents != 0)
        accept_connection (l);
    }
  return NULL;
}

struct delay_link *
delay_link_start (int listen_port, int target_port)
{
  struct delay_link *l = calloc (1, sizeof *l);
  struct sockaddr_in at = loopback (listen_port);
  pthread_t thread;
  int one = 1;
  l->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  l->target_port = target_port;
  setsockopt (l->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (l->listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (l->listener, SOMAXCONN) != 0
      || pthread_create (&thread, NULL, run, l) != 0)
    {
      printf ("link: port %d: %s\n", listen_port, strerror (errno));
      return NULL;
    }
  pthread_detach (thread);
  return l;
}

void
delay_link_mark (struct delay_link *l)
{
  atomic_store (&l->marking, 1);
}

int
delay_link_marked (const struct delay_link *l)
{
  return atomic_load (&l->marked);
}

void
delay_link_silence (struct delay_link *l)
{
  atomic_store (&l->silencing, 1);
}

void
delay_link_set (struct delay_link *l, int delay_ms)
{
  atomic_store (&l->delay_ms, delay_ms);
}
