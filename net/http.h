/** @file
 * HTTP/1.1 server inside a tevent loop: libmicrohttpd on its epoll
 * descriptor, without threads.  A request stays suspended until
 * http_reply is called.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include "common/bstr.h"
#include "common/error.h"
#include "core/memory_account.h"

#include <stdint.h>
#include <tevent.h>

struct http_server;
struct http_handler;

/** One request; its strings are valid until it is answered. */
struct http_request
{
  struct bstr method;
  struct bstr path; /**< Decoded, without the query string; any bytes. */
  struct bstr body;
  bool too_large;      /**< The body exceeds the limit; parts of it were
                          dropped. */
  uint64_t connection; /**< Number of the client connection; unique. */
};

/** Callbacks of a server. */
struct http_handler_ops
{
  /** Handle @p request: call http_reply for it exactly once, now or later. */
  void (*request) (struct http_handler *handler, struct http_request *request);
  /** A client connection ended; may be NULL. */
  void (*closed) (struct http_handler *handler, uint64_t connection);
};

/** Embedded by the code that handles a server's requests. */
struct http_handler
{
  const struct http_handler_ops *ops;
};

struct http_server_options
{
  struct tevent_context *ev;
  const char *address; /**< Listening address, IP:PORT with an IPv4 address;
                            port 0 chooses a free one. */
  struct http_handler *handler;
  size_t max_body; /**< Largest request body, in bytes. */
  unsigned max_connections;
  unsigned idle_seconds; /**< Time after which idle connections close. */
  int half_request_ms;   /**< Time for the rest of a request; 0: 60,000. */
  /** Account of the bodies and answers that are held, which must outlive the
   * server; NULL: they are not limited in total. */
  struct memory_account *memory;
  const char *certificate; /**< PEM text; NULL: no TLS. */
  const char *private_key; /**< PEM text. */
};

struct http_header
{
  const char *name;
  const char *value;
};

/** Listen and accept connections.
 * @return NULL if the address is malformed or cannot be bound. */
struct http_server *
http_server_create (void *parent, const struct http_server_options *options,
                    struct error *err);
/** @return the port that the server listens on. */
int http_server_port (const struct http_server *server);
/** @return the number of open client connections. */
unsigned http_server_connections (const struct http_server *server);
/** @return the number of requests received and not answered yet. */
unsigned http_server_pending (const struct http_server *server);
/** @return the number of connections closed because the rest of a request did
 * not come or too much was held. */
uint64_t http_server_closed (const struct http_server *server);
/** Stop accepting connections; open connections stay in use. */
void http_server_quiesce (struct http_server *server);

/** @return the header's value; an empty string if it is absent. */
struct bstr http_header_value (const struct http_request *request,
                               const char *name);
/** @return the decoded value of a query parameter, any bytes; an empty string
 * if it is absent. */
struct bstr http_query_value (const struct http_request *request,
                              const char *name);

/** Answer @p request, which must not be used afterwards.
 * @param headers array that ends with a NULL name; may be NULL. */
void http_reply (struct http_request *request, unsigned status,
                 const char *content_type, struct bstr body,
                 const struct http_header *headers);

#endif
