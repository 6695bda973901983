/** @file
 * libcurl's multi interface inside a tevent loop.
 */
#ifndef NET_HTTP_LOOP_H
#define NET_HTTP_LOOP_H

#include "common/error.h"

#include <curl/curl.h>
#include <tevent.h>

struct http_loop;

/** A transfer has ended.  The callback may remove it, add others, and free
 * the loop.
 * @param data what the transfer holds as CURLOPT_PRIVATE. */
typedef void http_loop_done_fn (void *data, CURLcode result);

struct http_loop_options
{
  struct tevent_context *ev;
  http_loop_done_fn *done;
  long host_connections; /**< Limit for each host and port; 0: none. */
};

/** @return NULL if libcurl does not start. */
struct http_loop *http_loop_create (void *parent,
                                    const struct http_loop_options *options,
                                    struct error *err);

/** Start a transfer; no callback runs before control returns to the loop. */
void http_loop_add (struct http_loop *loop, CURL *easy);

/** Take a transfer out, before or after its end. */
void http_loop_remove (struct http_loop *loop, CURL *easy);

#endif
