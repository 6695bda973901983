#include "review/lib/page_gate.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char second_page[] = "GET /v1/objects/servers?after=";

struct gate
{
  int listener, target_port;
  void (*on_second_page) (void *data);
  void *data;
};

struct stream_pair
{
  struct gate *gate;
  int fd[2]; /**< Daemon, store. */
};

static atomic_int armed;

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* Forward the bytes of one connection.  libcurl writes a request without a
   body in one piece. */
static void *
forward (void *data)
{
  struct stream_pair *p = data;
  char bytes[65536];
  for (;;)
    {
      struct pollfd fds[2] = { { .fd = p->fd[0], .events = POLLIN },
                               { .fd = p->fd[1], .events = POLLIN } };
      poll (fds, 2, -1);
      for (int i = 0; i < 2; i++)
        if (fds[i].revents != 0)
          {
            ssize_t n = recv (p->fd[i], bytes, sizeof bytes, 0);
            if (n <= 0)
              goto done;
            if (i == 0 && (size_t)n > sizeof second_page
                && memcmp (bytes, second_page, sizeof second_page - 1) == 0
                && atomic_exchange (&armed, 0) != 0)
              p->gate->on_second_page (p->gate->data);
            for (ssize_t sent = 0; sent < n;)
              {
                ssize_t k = send (p->fd[1 - i], bytes + sent,
                                  (size_t)(n - sent), MSG_NOSIGNAL);
                if (k <= 0)
                  goto done;
                sent += k;
              }
          }
    }
done:
  close (p->fd[0]);
  close (p->fd[1]);
  free (p);
  return NULL;
}

static void *
accept_all (void *data)
{
  struct gate *g = data;
  for (;;)
    {
      struct sockaddr_in to = loopback (g->target_port);
      struct stream_pair *p = calloc (1, sizeof *p);
      pthread_t thread;
      p->gate = g;
      p->fd[0] = accept4 (g->listener, NULL, NULL, SOCK_CLOEXEC);
      p->fd[1] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (p->fd[0] < 0
          || connect (p->fd[1], (struct sockaddr *)&to, sizeof to) != 0
          || pthread_create (&thread, NULL, forward, p) != 0)
        {
          close (p->fd[0]);
          close (p->fd[1]);
          free (p);
          continue;
        }
      pthread_detach (thread);
    }
  return NULL;
}

int
page_gate_start (int listen_port, int target_port,
                 void (*on_second_page) (void *data), void *data)
{
  struct gate *g = calloc (1, sizeof *g);
  struct sockaddr_in at = loopback (listen_port);
  pthread_t thread;
  int one = 1;
  *g = (struct gate){ socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                      target_port, on_second_page, data };
  setsockopt (g->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (g->listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (g->listener, SOMAXCONN) != 0
      || pthread_create (&thread, NULL, accept_all, g) != 0)
    return -1;
  pthread_detach (thread);
  return 0;
}

void
page_gate_arm (void)
{
  atomic_store (&armed, 1);
}
