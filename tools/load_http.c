/* Transport that sends requests to the query interface of the daemons. */
#include "net/http_loop.h"
#include "tools/load.h"

#include <stdio.h>
#include <stdlib.h>

#define HTTP_OK 200
/* Time after the deadline until an unanswered request counts as lost. */
#define ANSWER_GRACE_MS 2000

/** Transport with a pool of libcurl handles. */
struct http_transport
{
  struct load_transport base;
  struct load *load;
  struct http_loop *loop;
  char **urls; /**< URLs of the query call, one for each daemon. */
  struct http_call *idle_calls;
};

/** One transfer.  Its handle is reused, which keeps connections open. */
struct http_call
{
  struct http_call *next;
  struct http_transport *transport;
  struct load_request *request;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  char *answer_text;
  bool was_sent;        /**< libcurl began to send the request. */
  int connect_failures; /**< Daemons that took no connection. */
};

/* Appends a part of the body of an answer. */
static size_t
on_body_data (char *bytes, size_t size, size_t count, void *data)
{
  struct http_call *call = data;
  call->answer_text
      = talloc_strndup_append_buffer (call->answer_text, bytes, size * count);
  return size * count;
}

/* Stops libcurl from sending a request a second time by itself, as the outcome
   states whether this one request ran. */
static int
on_before_request (void *data, char *local_ip, char *remote_ip, int local_port,
                   int remote_port)
{
  (void)local_ip, (void)remote_ip, (void)local_port, (void)remote_port;
  struct http_call *call = data;
  if (call->was_sent)
    return CURL_PREREQFUNC_ABORT;
  call->was_sent = true;
  return CURL_PREREQFUNC_OK;
}

/* @return the JSON body of the query call. */
static char *
render_query (void *parent, const struct load_request *r)
{
  json_t *params = json_array ();
  for (int i = 0; i < r->param_count; i++)
    json_array_append_new (params, json_string (r->params[i]));
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:I, s:[{s:s, s:o}]}", "service", r->load->service,
      "mode", r->to_primary ? "write" : "read", "freshness", r->freshness,
      "deadline_ms", (json_int_t)r->load->deadline_ms, "statements", "sql",
      r->sql, "params", params);
  if (r->idempotency_key != NULL)
    json_object_set_new (body, "idempotency_key",
                         json_string (r->idempotency_key));
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

/* Stores the outcome named by @p text in @p outcome.
   @return false if it names none. */
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
  answer->from_replica = served != NULL && strcmp (served, "replica") == 0;
  if (!parse_outcome (json_string_value (json_object_get (json, "outcome")),
                      &answer->outcome))
    {
      answer->outcome = OUTCOME_UNKNOWN;
      answer->code = "malformed_answer";
    }
  else if (status != HTTP_OK && answer->code == NULL)
    answer->code = "no_code";
}

/* Reports the answer, or its loss, to the request and makes the call idle. */
static void
on_transfer_done (void *data, CURLcode result)
{
  struct http_call *call = data;
  struct http_transport *t = call->transport;
  struct load_request *r = call->request;
  struct load_answer answer = { .outcome = OUTCOME_UNKNOWN };
  json_t *json = NULL;
  long status = 0;
  http_loop_remove (t->loop, call->easy);
  /* Tries the next daemon if this one takes no connection, as a load balancer
     does. */
  if (result == CURLE_COULDNT_CONNECT
      && ++call->connect_failures < t->load->target_count)
    {
      r->target = (r->target + 1) % t->load->target_count;
      start_transfer (call);
      return;
    }
  if (result == CURLE_OK)
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      json = json_loads (call->answer_text, 0, NULL);
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
  TALLOC_FREE (call->answer_text);
  TALLOC_FREE (call->body);
  call->headers = NULL;
  call->next = t->idle_calls;
  t->idle_calls = call;
}

/* @return an idle call, or a new one. */
static struct http_call *
acquire_call (struct http_transport *t)
{
  struct http_call *call = t->idle_calls;
  if (call != NULL)
    {
      t->idle_calls = call->next;
      return call;
    }
  call = talloc_zero (t, struct http_call);
  call->transport = t;
  call->easy = curl_easy_init ();
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_before_request);
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
  struct http_call *call = acquire_call (t);
  call->request = r;
  call->connect_failures = 0;
  call->answer_text = talloc_strdup (call, "");
  call->body = render_query (call, r);
  add_header (call, "Authorization: Bearer ", r->organisation->key);
  add_header (call, "Content-Type: ", "application/json");
  add_header (call, "Expect:", "");
  if (r->session != NULL && r->session->token != NULL)
    add_header (call, "Azurewind-Session: ", r->session->token);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    (long)(t->load->deadline_ms + ANSWER_GRACE_MS));
  start_transfer (call);
}

static int
http_destroy (struct http_transport *t)
{
  while (t->idle_calls != NULL)
    {
      curl_easy_cleanup (t->idle_calls->easy);
      t->idle_calls = t->idle_calls->next;
    }
  return 0;
}

struct load_transport *
load_http_create (struct load *load, const char *const *urls, int connections,
                  struct error *err)
{
  struct http_transport *t = talloc_zero (load, struct http_transport);
  struct http_loop_options options = { .ev = load->ev,
                                       .done = on_transfer_done,
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
