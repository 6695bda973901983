#include "net/http_loop.h"
#include "tools/load.h"

#include <stdio.h>
#include <stdlib.h>

#define HTTP_OK 200
/* Time beyond the deadline after which a daemon is taken to be lost. */
#define GRACE_MS 2000

struct http_transport
{
  struct load_transport base;
  struct load *load;
  struct http_loop *loop;
  char **urls; /**< Of the query call, one for each daemon. */
  struct http_call *idle;
};

/* One transfer; its handle is used again, which keeps connections open. */
struct http_call
{
  struct http_call *next;
  struct http_transport *transport;
  struct load_request *request;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  char *answer;
  bool was_sent;
  int tries;
};

static size_t
on_bytes (char *bytes, size_t size, size_t count, void *data)
{
  struct http_call *call = data;
  call->answer
      = talloc_strndup_append_buffer (call->answer, bytes, size * count);
  return size * count;
}

/* libcurl must not repeat a request by itself: whether it ran is what the
   outcome says. */
static int
before_request (void *data, char *local_ip, char *remote_ip, int local_port,
                int remote_port)
{
  (void)local_ip, (void)remote_ip, (void)local_port, (void)remote_port;
  struct http_call *call = data;
  if (call->was_sent)
    return CURL_PREREQFUNC_ABORT;
  call->was_sent = true;
  return CURL_PREREQFUNC_OK;
}

static char *
make_body (void *parent, const struct load_request *r)
{
  json_t *params = json_array ();
  for (int i = 0; i < r->param_count; i++)
    json_array_append_new (params, json_string (r->params[i]));
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:I, s:[{s:s, s:o}]}", "service", r->load->service,
      "mode", r->to_primary ? "write" : "read", "freshness", r->freshness,
      "deadline_ms", (json_int_t)r->load->deadline_ms, "statements", "sql",
      r->sql, "params", params);
  if (r->key != NULL)
    json_object_set_new (body, "idempotency_key", json_string (r->key));
  char *text = json_dumps (body, JSON_COMPACT);
  char *copy = talloc_strdup (parent, text);
  free (text);
  json_decref (body);
  return copy;
}

static void
start_transfer (struct http_call *call)
{
  struct load_request *r = call->request;
  call->was_sent = false;
  curl_easy_setopt (call->easy, CURLOPT_URL, call->transport->urls[r->target]);
  http_loop_add (call->transport->loop, call->easy);
}

/* @return whether @p text names the outcome stored in @p outcome. */
static bool
parse_outcome (const char *text, enum load_outcome *outcome)
{
  static const char *const names[OUTCOME_COUNT]
      = { "ran", "not_run", "unknown" };
  for (int i = 0; text != NULL && i < OUTCOME_COUNT; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *outcome = (enum load_outcome)i;
        return true;
      }
  return false;
}

static void
parse_answer (const json_t *json, long status, struct load_answer *answer)
{
  const json_t *result = json_array_get (json_object_get (json, "results"), 0);
  const char *served = json_string_value (json_object_get (json, "served_by"));
  answer->code = json_string_value (json_object_get (json, "code"));
  answer->retry_after_ms
      = json_integer_value (json_object_get (json, "retry_after_ms"));
  answer->session = json_string_value (json_object_get (json, "session"));
  answer->rows = json_object_get (result, "rows");
  answer->affected = json_integer_value (json_object_get (result, "affected"));
  answer->by_replica = served != NULL && strcmp (served, "replica") == 0;
  if (!parse_outcome (json_string_value (json_object_get (json, "outcome")),
                      &answer->outcome))
    {
      answer->outcome = OUTCOME_UNKNOWN;
      answer->code = "malformed_answer";
    }
  else if (status != HTTP_OK && answer->code == NULL)
    answer->code = "no_code";
}

static void
on_done (void *data, CURLcode result)
{
  struct http_call *call = data;
  struct http_transport *t = call->transport;
  struct load_request *r = call->request;
  struct load_answer answer = { .outcome = OUTCOME_UNKNOWN };
  json_t *json = NULL;
  long status = 0;
  http_loop_remove (t->loop, call->easy);
  /* As the load balancer does: a daemon that takes no connection is passed
     over. */
  if (result == CURLE_COULDNT_CONNECT && ++call->tries < t->load->target_count)
    {
      r->target = (r->target + 1) % t->load->target_count;
      start_transfer (call);
      return;
    }
  if (result == CURLE_OK)
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      json = json_loads (call->answer, 0, NULL);
      parse_answer (json, status, &answer);
    }
  else if (!call->was_sent)
    {
      answer.outcome = OUTCOME_NOT_RUN;
      answer.code = "not_connected";
    }
  else
    answer.code
        = result == CURLE_OPERATION_TIMEDOUT ? "no_answer" : "connection_lost";
  r->done (r, &answer);
  json_decref (json);
  curl_slist_free_all (call->headers);
  TALLOC_FREE (call->answer);
  TALLOC_FREE (call->body);
  call->headers = NULL;
  call->next = t->idle;
  t->idle = call;
}

static struct http_call *
take_call (struct http_transport *t)
{
  struct http_call *call = t->idle;
  if (call != NULL)
    {
      t->idle = call->next;
      return call;
    }
  call = talloc_zero (t, struct http_call);
  call->transport = t;
  call->easy = curl_easy_init ();
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_bytes);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  return call;
}

static void
add_header (struct http_call *call, const char *name, const char *value)
{
  char *line = talloc_asprintf (call, "%s%s", name, value);
  call->headers = curl_slist_append (call->headers, line);
  talloc_free (line);
}

static void
http_send (struct load_transport *base, struct load_request *r)
{
  struct http_transport *t = (struct http_transport *)base;
  struct http_call *call = take_call (t);
  call->request = r;
  call->tries = 0;
  call->answer = talloc_strdup (call, "");
  call->body = make_body (call, r);
  add_header (call, "Authorization: Bearer ", r->organisation->key);
  add_header (call, "Content-Type: ", "application/json");
  add_header (call, "Expect:", "");
  if (r->session != NULL && r->session->token != NULL)
    add_header (call, "Azurewind-Session: ", r->session->token);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    (long)(t->load->deadline_ms + GRACE_MS));
  start_transfer (call);
}

static int
http_destroy (struct http_transport *t)
{
  while (t->idle != NULL)
    {
      curl_easy_cleanup (t->idle->easy);
      t->idle = t->idle->next;
    }
  return 0;
}

struct load_transport *
load_http_create (struct load *load, const char *const *urls, int connections,
                  struct error *err)
{
  struct http_transport *t = talloc_zero (load, struct http_transport);
  struct http_loop_options options = { .ev = load->ev,
                                       .done = on_done,
                                       .max_host_connections = connections };
  t->base.send = http_send;
  t->load = load;
  t->urls = talloc_array (t, char *, (unsigned)load->target_count);
  for (int i = 0; i < load->target_count; i++)
    t->urls[i] = talloc_asprintf (t, "%s/v1/query", urls[i]);
  t->loop = http_loop_create (t, &options, err);
  if (t->loop == NULL)
    {
      talloc_free (t);
      return NULL;
    }
  talloc_set_destructor (t, http_destroy);
  return &t->base;
}
