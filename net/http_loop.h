/** @file
 * HTTP client: runs the transfers of libcurl's multi interface inside a
 * tevent loop.
 */
#ifndef NET_HTTP_LOOP_H
#define NET_HTTP_LOOP_H

#include "common/error.h"

#include <curl/curl.h>
#include <tevent.h>

/** A set of transfers and the connections that they share. */
struct http_loop;

/** A transfer has ended.  The callback may remove it, add other transfers and
 * free the loop.
 * @param data the transfer's CURLOPT_PRIVATE. */
typedef void http_loop_done_fn (void *data, CURLcode result);

struct http_loop_options
{
  struct tevent_context *ev;
  http_loop_done_fn *done;
  long max_host_connections; /**< Most connections to one address; 0: no
                                limit. */
};

/** @return NULL if libcurl cannot be initialised. */
struct http_loop *http_loop_create (void *parent,
                                    const struct http_loop_options *options,
                                    struct error *err);

/** Start a transfer; no callback runs before control returns to the event
 * loop. */
void http_loop_add (struct http_loop *loop, CURL *easy);

/** Remove a transfer, before or after its end; no callback follows. */
void http_loop_remove (struct http_loop *loop, CURL *easy);

#endif
