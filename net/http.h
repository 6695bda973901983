/** @file
 * HTTP/1.1 server inside a tevent loop: libmicrohttpd on its epoll
 * descriptor, without threads.  A request stays suspended until
 * http_reply is called.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>
#include <tevent.h>

struct http_server;
struct http_handler;

/** One request; the strings live until it is answered. */
struct http_request
{
  struct bstr method;
  struct bstr path; /**< Without the query string. */
  struct bstr body;
  bool too_large;      /**< The body went over the limit and was dropped. */
  uint64_t connection; /**< Unique per client connection. */
};

struct http_handler_ops
{
  /** Answer @p request now or later, exactly once. */
  void (*request) (struct http_handler *handler, struct http_request *request);
  /** A client connection ended. */
  void (*closed) (struct http_handler *handler, uint64_t connection);
};

struct http_handler
{
  const struct http_handler_ops *ops;
};

struct http_server_options
{
  struct tevent_context *ev;
  const char *address; /**< HOST:PORT; port 0 takes a free one. */
  struct http_handler *handler;
  size_t max_body; /**< Bytes. */
  unsigned max_connections;
  unsigned idle_seconds;
  const char *certificate; /**< PEM text, NULL without TLS. */
  const char *private_key;
};

struct http_header
{
  const char *name;
  const char *value;
};

struct http_server *
http_server_create (void *parent, const struct http_server_options *options,
                    struct error *err);
int http_server_port (const struct http_server *server);
unsigned http_server_connections (const struct http_server *server);
/** Requests received and not answered yet. */
unsigned http_server_pending (const struct http_server *server);
/** Stop accepting connections; open ones go on. */
void http_server_quiesce (struct http_server *server);

/** @return the header's value, an empty string if absent. */
struct bstr http_header_value (const struct http_request *request,
                               const char *name);
struct bstr http_query_value (const struct http_request *request,
                              const char *name);

/** Answer and release @p request.
 * @param headers NULL-terminated by name, may be NULL. */
void http_reply (struct http_request *request, unsigned status,
                 const char *content_type, struct bstr body,
                 const struct http_header *headers);

#endif
