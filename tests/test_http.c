#include "net/http.h"
#include "tests/loop.h"
#include "tests/tests.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY 1000
#define MAX_CONNECTIONS 50
#define MAX_HELD 4
#define BUFFER_SIZE 65536

/* A server that answers each request with "[PATH BODY-LENGTH TOO-LARGE]", or
   "[PATH-LENGTH VALUE-LENGTH]" if the path starts with "/bytes/": at once, or
   only when the test calls answer if the path starts with "/held". */
struct fixture
{
  struct http_handler handler; /* First, so that it can be cast back. */
  struct tevent_context *ev;
  struct http_server *server;
  struct http_request *held[MAX_HELD];
  int held_count;
  int requests; /* Requests received. */
  int closed;   /* Connections closed. */
};

struct client
{
  struct tevent_fd *fde;
  int fd;
  char in[BUFFER_SIZE];
  size_t used;
  int wanted_answers; /* Answers that client_wait waits for. */
  bool ended;         /* The server closed the connection, or it failed. */
};

static void
answer (struct http_request *request)
{
  char text[200];
  if (bstr_starts_with (request->path, "/bytes/"))
    snprintf (text, sizeof text, "[%zu %zu]", request->path.len,
              http_query_value (request, "v").len);
  else
    snprintf (text, sizeof text, "[%.*s %zu %d]", BSTR_ARG (request->path),
              request->body.len, request->too_large);
  http_reply (request, 200, "text/plain", bstr_from (text), NULL);
}

static void
on_request (struct http_handler *handler, struct http_request *request)
{
  struct fixture *f = (struct fixture *)handler;
  f->requests++;
  if (bstr_starts_with (request->path, "/held") && f->held_count < MAX_HELD)
    f->held[f->held_count++] = request;
  else
    answer (request);
}

static void
on_closed (struct http_handler *handler, uint64_t connection)
{
  struct fixture *f = (struct fixture *)handler;
  (void)connection;
  f->closed++;
}

static struct fixture *
fixture_create (void)
{
  static const struct http_handler_ops ops = { on_request, on_closed };
  struct fixture *f = talloc_zero (NULL, struct fixture);
  struct error err = { 0 };
  f->ev = tevent_context_init (f);
  f->handler.ops = &ops;
  struct http_server_options options = { .ev = f->ev,
                                         .address = "127.0.0.1:0",
                                         .handler = &f->handler,
                                         .max_body = MAX_BODY,
                                         .max_connections = MAX_CONNECTIONS,
                                         .idle_seconds = 60 };
  f->server = http_server_create (f, &options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  return f;
}

static void
on_client (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)flags;
  struct client *c = data;
  ssize_t n = recv (c->fd, c->in + c->used, BUFFER_SIZE - 1 - c->used, 0);
  if (n > 0)
    c->used += (size_t)n;
  else if (n == 0 || errno != EAGAIN)
    {
      c->ended = true;
      TEVENT_FD_NOT_READABLE (fde);
    }
  c->in[c->used] = '\0';
}

static int
client_destructor (struct client *c)
{
  TALLOC_FREE (c->fde);
  close (c->fd);
  return 0;
}

/* @return NULL if the connection is refused. */
static struct client *
client_open (struct fixture *f)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)http_server_port (f->server)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct client *c = talloc_zero (f, struct client);
  c->fd = socket (AF_INET, SOCK_STREAM, 0);
  talloc_set_destructor (c, client_destructor);
  if (connect (c->fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      talloc_free (c);
      return NULL;
    }
  fcntl (c->fd, F_SETFL, O_NONBLOCK);
  c->fde = tevent_add_fd (f->ev, c, c->fd, TEVENT_FD_READ, on_client, c);
  return c;
}

static void
client_send (struct client *c, const char *text)
{
  CU_ASSERT_EQUAL (send (c->fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

static int
count_answers (const struct client *c)
{
  int count = 0;
  for (const char *at = c->in; (at = strstr (at, "\r\n\r\n[")) != NULL; at++)
    count++;
  return count;
}

static bool
has_answers (const void *data)
{
  const struct client *c = data;
  return c->ended || count_answers (c) >= c->wanted_answers;
}

/* Wait until the client has received @p count answers since it was opened.
   @return the last one, "" if not exactly that many arrive. */
static const char *
client_wait (struct fixture *f, struct client *c, int count)
{
  c->wanted_answers = count;
  if (!loop_run (f->ev, LOOP_TIMEOUT_MS, has_answers, c)
      || count_answers (c) != count)
    return "";
  return strrchr (c->in, '[');
}

static bool
is_holding (const void *data)
{
  return ((const struct fixture *)data)->held_count > 0;
}

static bool
has_no_connections (const void *data)
{
  return http_server_connections (((const struct fixture *)data)->server) == 0;
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"

/* Guards against a client that delays others by sending byte by byte. */
static void
slow_client_holds_up_nobody (void)
{
  static const char request[]
      = "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde";
  struct fixture *f = fixture_create ();
  struct client *slow = client_open (f), *fast = client_open (f);
  CU_ASSERT_FATAL (slow != NULL && fast != NULL);
  int answers = 0;
  for (size_t i = 0; i + 1 < sizeof request; i++)
    {
      char byte[2] = { request[i] };
      client_send (slow, byte);
      client_send (fast, GET ("/fast"));
      CU_ASSERT_STRING_EQUAL (client_wait (f, fast, ++answers), "[/fast 0 0]");
    }
  CU_ASSERT_STRING_EQUAL (client_wait (f, slow, 1), "[/slow 5 0]");
  talloc_free (f);
}

/* Guards against answers sent in another order than their requests on one
   connection, so that a caller assigns an answer to the wrong request. */
static void
pipelined_requests_are_answered_in_order (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  client_send (c, GET ("/a") GET ("/held") GET ("/b") GET ("/c"));
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_holding, f));
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 1), "[/a 0 0]");
  loop_run (f->ev, 50, NULL, NULL);
  CU_ASSERT_EQUAL (count_answers (c), 1);
  answer (f->held[0]);
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 4), "[/c 0 0]");
  const char *held = strstr (c->in, "[/held"), *b = strstr (c->in, "[/b");
  CU_ASSERT (held != NULL && b != NULL && held < b);
  CU_ASSERT_EQUAL (http_server_pending (f->server), 0);
  talloc_free (f);
}

static char *
post (struct fixture *f, size_t len, bool chunked)
{
  char *body = talloc_zero_array (f, char, len + 1);
  memset (body, 'x', len);
  if (chunked)
    return talloc_asprintf (f,
                            "POST /p HTTP/1.1\r\nHost: x\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "%zx\r\n%s\r\n0\r\n\r\n",
                            len, body);
  return talloc_asprintf (
      f, "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", len,
      body);
}

/* Guards against a body without a limit in memory, a truncated body that is
   handled as a complete one, and a connection that parses the rest of a body
   as its next request. */
static void
bodies_over_the_limit_are_marked (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  for (int i = 0; i < 2; i++)
    {
      client_send (c, post (f, MAX_BODY, i == 1));
      CU_ASSERT_STRING_EQUAL (client_wait (f, c, 3 * i + 1), "[/p 1000 0]");
      client_send (c, post (f, 20 * MAX_BODY, i == 1));
      CU_ASSERT_PTR_NOT_NULL (strstr (client_wait (f, c, 3 * i + 2), " 1]"));
      client_send (c, GET ("/after"));
      CU_ASSERT_STRING_EQUAL (client_wait (f, c, 3 * i + 3), "[/after 0 0]");
    }
  talloc_free (f);
}

/* Guards against connections that are not counted, exceed the limit, or still
   count after they have closed. */
static void
connections_are_bounded (void)
{
  struct fixture *f = fixture_create ();
  struct client *clients[MAX_CONNECTIONS + 10];
  for (int round = 0; round < 2; round++)
    {
      int served = 0;
      for (int i = 0; i < MAX_CONNECTIONS + 10; i++)
        {
          clients[i] = client_open (f);
          CU_ASSERT_PTR_NOT_NULL_FATAL (clients[i]);
          loop_run (f->ev, 2, NULL, NULL);
          (void)!send (clients[i]->fd, GET ("/many"), strlen (GET ("/many")),
                       MSG_NOSIGNAL);
        }
      loop_run (f->ev, 100, NULL, NULL);
      CU_ASSERT_EQUAL (http_server_connections (f->server), MAX_CONNECTIONS);
      for (int i = 0; i < MAX_CONNECTIONS + 10; i++)
        {
          served += count_answers (clients[i]);
          talloc_free (clients[i]);
        }
      CU_ASSERT_EQUAL (served, MAX_CONNECTIONS);
      /* The connections that waited in the backlog are accepted and closed. */
      CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, has_no_connections, f));
      loop_run (f->ev, 50, NULL, NULL);
      CU_ASSERT (has_no_connections (f));
    }
  CU_ASSERT (f->closed >= 2 * MAX_CONNECTIONS);
  talloc_free (f);
}

/* Guards against a path or a parameter that ends at an encoded NUL, so that
   the answer is the one to another path. */
static void
nul_does_not_end_a_path (void)
{
  static const struct
  {
    const char *request;
    size_t path_len, value_len;
  } requests[] = {
    { GET ("/bytes/ab%00cd"), 12, 0 },
    { GET ("/bytes/%00"), 8, 0 },
    { GET ("/bytes/a%2500"), 11, 0 },
    { GET ("/bytes/a%%00b?v=%00"), 11, 1 },
    { GET ("/bytes/a%2Fb%3Fc?v=a%00b+c"), 12, 5 },
    { GET ("/bytes/a?w=1&v=%zz%0"), 8, 5 },
  };
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  char expected[40];
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  for (int i = 0; i < (int)(sizeof requests / sizeof requests[0]); i++)
    {
      client_send (c, requests[i].request);
      snprintf (expected, sizeof expected, "[%zu %zu]", requests[i].path_len,
                requests[i].value_len);
      CU_ASSERT_STRING_EQUAL (client_wait (f, c, i + 1), expected);
    }
  talloc_free (f);
}

/* Guards against memory of requests that end before their headers do. */
static void
unfinished_requests_are_freed (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  client_send (c, GET ("/first"));
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 1), "[/first 0 0]");
  talloc_free (c);
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, has_no_connections, f));
  size_t blocks = talloc_total_blocks (f->server);
  static const char *const parts[]
      = { "GET /a",
          "GET /a HTTP/1.1\r\n",
          "GET /a HTTP/1.1\r\nHost: x\r\n",
          "GET /a HTTP/1.1\r\nHost\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab",
          "GET /a HTTP/1.1\r\n\r\n" };
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    {
      c = client_open (f);
      CU_ASSERT_PTR_NOT_NULL_FATAL (c);
      client_send (c, parts[i]);
      loop_run (f->ev, 20, NULL, NULL);
      talloc_free (c);
      CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, has_no_connections, f));
      CU_ASSERT_EQUAL (talloc_total_blocks (f->server), blocks);
    }
  talloc_free (f);
}

/* Guards against an answer to a client that has disconnected: it must neither
   crash the daemon nor reach the next client. */
static void
late_reply_to_a_gone_client_is_dropped (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  client_send (c, GET ("/held"));
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_holding, f));
  CU_ASSERT_EQUAL (http_server_pending (f->server), 1);
  talloc_free (c);
  loop_run (f->ev, 50, NULL, NULL);
  c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  answer (f->held[0]);
  CU_ASSERT_EQUAL (http_server_pending (f->server), 0);
  client_send (c, GET ("/next"));
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 1), "[/next 0 0]");
  talloc_free (c);
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, has_no_connections, f));
  CU_ASSERT_EQUAL (f->closed, 2);
  talloc_free (f);
}

/* Guards against a planned stop that aborts a pending request or accepts new
   connections. */
static void
requests_are_answered_while_draining (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  client_send (c, GET ("/held"));
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_holding, f));
  http_server_quiesce (f->server);
  CU_ASSERT_PTR_NULL (client_open (f));
  loop_run (f->ev, 50, NULL, NULL);
  CU_ASSERT_EQUAL (http_server_pending (f->server), 1);
  answer (f->held[0]);
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 1), "[/held 0 0]");
  client_send (c, GET ("/open"));
  CU_ASSERT_STRING_EQUAL (client_wait (f, c, 2), "[/open 0 0]");
  CU_ASSERT_EQUAL (http_server_pending (f->server), 0);
  talloc_free (f);
}

/* Guards against stopping the server while a request is pending, on which
   libmicrohttpd calls abort. */
static void
server_ends_with_an_open_request (void)
{
  struct fixture *f = fixture_create ();
  struct client *c = client_open (f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  client_send (c, GET ("/held"));
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_holding, f));
  TALLOC_FREE (f->server);
  talloc_free (f);
}

static const struct test_case cases[] = {
  { "slow_client_holds_up_nobody", slow_client_holds_up_nobody },
  { "pipelined_requests_are_answered_in_order",
    pipelined_requests_are_answered_in_order },
  { "bodies_over_the_limit_are_marked", bodies_over_the_limit_are_marked },
  { "connections_are_bounded", connections_are_bounded },
  { "late_reply_to_a_gone_client_is_dropped",
    late_reply_to_a_gone_client_is_dropped },
  { "requests_are_answered_while_draining",
    requests_are_answered_while_draining },
  { "nul_does_not_end_a_path", nul_does_not_end_a_path },
  { "unfinished_requests_are_freed", unfinished_requests_are_freed },
  { "server_ends_with_an_open_request", server_ends_with_an_open_request },
  { NULL, NULL },
};
TEST_SUITE (http, cases)
