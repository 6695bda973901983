#include "net/http_loop.h"

#include "common/clock.h"
#include "common/timer.h"

#include <stdbool.h>
#include <talloc.h>

struct http_loop
{
  struct tevent_context *ev;
  CURLM *multi;
  struct timer *timer;
  http_loop_done_fn *done;
  bool *freed; /**< Flag that the destructor sets; NULL while no callback
                  runs. */
};

/** Events that libcurl waits for on one of its sockets. */
struct socket_watch
{
  struct http_loop *loop;
  struct tevent_fd *fde;
  curl_socket_t fd;
};

static void finish_transfers (struct http_loop *loop);

static void
on_socket_ready (struct tevent_context *ev, struct tevent_fd *fde,
                 uint16_t flags, void *data)
{
  (void)ev, (void)fde;
  const struct socket_watch *watch = data;
  struct http_loop *loop = watch->loop;
  int running;
  int mask = ((flags & TEVENT_FD_READ) ? CURL_CSELECT_IN : 0)
             | ((flags & TEVENT_FD_WRITE) ? CURL_CSELECT_OUT : 0);
  curl_multi_socket_action (loop->multi, watch->fd, mask, &running);
  finish_transfers (loop);
}

/* libcurl changes the events that it waits for on a socket. */
static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *data,
                  void *socket_data)
{
  (void)easy;
  struct http_loop *loop = data;
  struct socket_watch *watch = socket_data;
  uint16_t flags = 0;
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (loop->multi, fd, NULL);
      talloc_free (watch);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    /* tevent reports a socket error, such as a refused connection, only to
       handlers that wait for input. */
    flags |= TEVENT_FD_READ | TEVENT_FD_WRITE;
  if (watch == NULL)
    {
      watch = talloc_zero (loop, struct socket_watch);
      watch->loop = loop;
      watch->fd = fd;
      watch->fde
          = tevent_add_fd (loop->ev, watch, fd, flags, on_socket_ready, watch);
      curl_multi_assign (loop->multi, fd, watch);
    }
  else
    tevent_fd_set_flags (watch->fde, flags);
  return 0;
}

static void
on_timer (void *data)
{
  struct http_loop *loop = data;
  int running;
  loop->timer = NULL;
  curl_multi_socket_action (loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_transfers (loop);
}

/* libcurl changes the time of its next timeout; -1 stops the timer. */
static int
on_timer_change (CURLM *multi, long timeout_ms, void *data)
{
  (void)multi;
  struct http_loop *loop = data;
  TALLOC_FREE (loop->timer);
  if (timeout_ms >= 0)
    loop->timer = timer_after (loop->ev, loop, timeout_ms * USEC_PER_MSEC,
                               on_timer, loop);
  return 0;
}

/* Report finished transfers.  A callback may free the loop.  It may also cause
   a nested call of this function, whose outer call must then see that the loop
   was freed. */
static void
finish_transfers (struct http_loop *loop)
{
  const CURLMsg *message;
  int left;
  bool *freed = talloc_zero (NULL, bool);
  bool *outer = loop->freed;
  loop->freed = freed;
  while (!*freed
         && (message = curl_multi_info_read (loop->multi, &left)) != NULL)
    {
      void *data = NULL;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &data);
      loop->done (data, message->data.result);
    }
  if (!*freed)
    loop->freed = outer;
  else if (outer != NULL)
    *outer = true;
  talloc_free (freed);
}

static int
http_loop_destructor (struct http_loop *loop)
{
  if (loop->freed != NULL)
    *loop->freed = true;
  curl_multi_cleanup (loop->multi);
  return 0;
}

struct http_loop *
http_loop_create (void *parent, const struct http_loop_options *options,
                  struct error *err)
{
  struct http_loop *loop = talloc_zero (parent, struct http_loop);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  loop->ev = options->ev;
  loop->done = options->done;
  loop->multi = curl_multi_init ();
  if (loop->multi == NULL)
    {
      error_set (err, ERROR_INTERNAL, "cannot initialise libcurl");
      talloc_free (loop);
      return NULL;
    }
  talloc_set_destructor (loop, http_loop_destructor);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERDATA, loop);
  if (options->max_host_connections > 0)
    {
      curl_multi_setopt (loop->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                         options->max_host_connections);
      curl_multi_setopt (loop->multi, CURLMOPT_MAXCONNECTS,
                         16 * options->max_host_connections);
    }
  return loop;
}

void
http_loop_add (struct http_loop *loop, CURL *easy)
{
  curl_multi_add_handle (loop->multi, easy);
}

void
http_loop_remove (struct http_loop *loop, CURL *easy)
{
  curl_multi_remove_handle (loop->multi, easy);
}
