#include "net/platform.h"

#include "common/clock.h"
#include "net/http_loop.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

/* The platform accepts values of up to 1 MB.  JSON escaping makes a value at
   most six times as long, and a watch returns several objects. */
#define MAX_RESPONSE_BYTES ((size_t)64 * 1024 * 1024)

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_TOO_LARGE 413
#define HTTP_UNAVAILABLE 503

struct platform
{
  struct http_loop *loop;
  struct platform_call *calls; /**< Unfinished calls. */
  char *url;
  int64_t timeout_ms;
  uint64_t call_count; /**< Calls made so far. */
};

/** One HTTP request to the platform. */
struct platform_call
{
  struct platform_call *prev, *next;
  struct platform *platform; /**< NULL once the call is detached. */
  CURL *easy;
  struct curl_slist *headers;
  char *name;        /**< Name of the object, the watched prefix or "vms". */
  struct bstr value; /**< New value, in an update. */
  bool is_update;
  bool was_sent; /**< libcurl began to send the request. */
  char *response;
  size_t response_len;
  /* Exactly one of these three callbacks is set. */
  platform_done_fn *done;
  platform_changed_fn *changed;
  platform_vms_fn *vms;
  void *data;
};

static size_t
on_response_data (char *bytes, size_t size, size_t count, void *data)
{
  struct platform_call *call = data;
  size_t len = size * count;
  if (call->response_len + len > MAX_RESPONSE_BYTES)
    return 0;
  call->response
      = talloc_realloc (call, call->response, char, call->response_len + len);
  memcpy (call->response + call->response_len, bytes, len);
  call->response_len += len;
  return len;
}

/* Abort the repetition of an update.  libcurl repeats a request by itself if
   a reused connection closes before the first byte of the response.  The
   update may have taken effect by then, and its repetition would be reported
   as a conflict with itself. */
static int
prevent_repeated_update (void *data, char *local_ip, char *remote_ip,
                         int local_port, int remote_port)
{
  (void)local_ip, (void)remote_ip, (void)local_port, (void)remote_port;
  struct platform_call *call = data;
  if (call->is_update && call->was_sent)
    return CURL_PREREQFUNC_ABORT;
  call->was_sent = true;
  return CURL_PREREQFUNC_OK;
}

/* Set the error of a call that libcurl could not complete. */
static void
set_transport_error (const struct platform_call *call, CURLcode result,
                     struct error *err)
{
  enum error_code code = ERROR_UNAVAILABLE;
  if (result == CURLE_URL_MALFORMAT)
    code = ERROR_INVALID;
  else if (call->is_update && call->was_sent)
    code = ERROR_UNKNOWN;
  error_set (err, code, "%s: %s", call->name, curl_easy_strerror (result));
}

/* Set the error of a call that the platform answered with @p status. */
static void
set_status_error (const struct platform_call *call, long status,
                  const json_t *response, struct error *err)
{
  const char *text = json_string_value (json_object_get (response, "error"));
  enum error_code code = ERROR_INVALID;
  if (status == HTTP_PRECONDITION_FAILED)
    code = ERROR_CONFLICT;
  else if (status == HTTP_TOO_LARGE)
    code = ERROR_REFUSED;
  else if (status == HTTP_NOT_FOUND)
    code = ERROR_NOT_FOUND;
  else if (status == HTTP_UNAVAILABLE)
    code = ERROR_UNAVAILABLE;
  else if (status < HTTP_BAD_REQUEST || status >= 500)
    /* The remaining statuses outside 400 to 499 do not say whether an update
       took effect. */
    code = call->is_update ? ERROR_UNKNOWN : ERROR_UNAVAILABLE;
  error_set (err, code, "%s: status %ld: %s", call->name, status,
             text != NULL ? text : "no reason given");
}

/* Read an object; one without a value was deleted and has version 0. */
static struct platform_object
object_from_json (const json_t *json)
{
  struct platform_object object = { { NULL, 0 }, 0, { NULL, 0 } };
  const json_t *name = json_object_get (json, "name");
  const json_t *value = json_object_get (json, "value");
  object.name
      = (struct bstr){ json_string_value (name), json_string_length (name) };
  if (json_is_string (value))
    {
      object.version
          = (uint64_t)json_integer_value (json_object_get (json, "version"));
      object.value = (struct bstr){ json_string_value (value),
                                    json_string_length (value) };
    }
  return object;
}

static void
deliver_object (struct platform_call *call, long status,
                const json_t *response, struct error *err)
{
  struct platform_object object = object_from_json (response);
  if (!call->is_update && status == HTTP_NOT_FOUND)
    *err = (struct error){ 0 };
  else if (call->is_update && err->code == ERROR_NONE)
    {
      object.version = (uint64_t)json_integer_value (
          json_object_get (response, "version"));
      object.value = call->value;
    }
  object.name = bstr_from (call->name);
  call->done (call->data, err, &object);
}

static void
deliver_changes (struct platform_call *call, const json_t *response,
                 const struct error *err)
{
  const json_t *array = json_object_get (response, "objects");
  int count = err->code == ERROR_NONE ? (int)json_array_size (array) : 0;
  struct platform_object *objects
      = talloc_array (call, struct platform_object, (unsigned)count);
  for (int i = 0; i < count; i++)
    objects[i] = object_from_json (json_array_get (array, (size_t)i));
  call->changed (
      call->data, err, objects, count,
      (uint64_t)json_integer_value (json_object_get (response, "revision")));
}

static void
deliver_vms (struct platform_call *call, const json_t *response,
             const struct error *err)
{
  const json_t *array = json_object_get (response, "vms");
  int count = err->code == ERROR_NONE ? (int)json_array_size (array) : 0;
  struct platform_vm *vms
      = talloc_array (call, struct platform_vm, (unsigned)count);
  for (int i = 0; i < count; i++)
    {
      const json_t *vm = json_array_get (array, (size_t)i);
      const json_t *name = json_object_get (vm, "name");
      vms[i].name = (struct bstr){ json_string_value (name),
                                   json_string_length (name) };
      vms[i].leaving = json_is_true (json_object_get (vm, "leaving"));
    }
  call->vms (call->data, err, vms, count);
}

/* Report the outcome of a call to its callback. */
static void
deliver_result (struct platform_call *call, CURLcode result)
{
  struct error err = { 0 };
  long status = 0;
  json_t *response = NULL;
  if (result != CURLE_OK)
    set_transport_error (call, result, &err);
  else
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      response = json_loadb (call->response != NULL ? call->response : "",
                             call->response_len, 0, NULL);
      if (status != HTTP_OK)
        set_status_error (call, status, response, &err);
      else if (!json_is_object (response))
        error_set (&err, call->is_update ? ERROR_UNKNOWN : ERROR_UNAVAILABLE,
                   "%s: the response is not a JSON object", call->name);
    }
  if (call->done != NULL)
    deliver_object (call, status, response, &err);
  else if (call->changed != NULL)
    deliver_changes (call, response, &err);
  else
    deliver_vms (call, response, &err);
  json_decref (response);
}

/* Remove a call from its client and from libcurl.  Serves as the destructor of
   a call. */
static int
call_detach (struct platform_call *call)
{
  struct platform *p = call->platform;
  if (p == NULL)
    return 0;
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    p->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
  http_loop_remove (p->loop, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  call->platform = NULL;
  return 0;
}

static void
on_transfer_done (void *data, CURLcode result)
{
  struct platform_call *call = data;
  /* The callback may free the client, and the call must outlive it. */
  talloc_reparent (call->platform, NULL, call);
  deliver_result (call, result);
  talloc_free (call);
}

static int
platform_destructor (struct platform *p)
{
  while (p->calls != NULL)
    call_detach (p->calls);
  return 0;
}

struct platform *
platform_create (void *parent, const struct platform_options *options,
                 struct error *err)
{
  struct platform *p = talloc_zero (parent, struct platform);
  struct http_loop_options loop
      = { .ev = options->ev, .done = on_transfer_done };
  p->url = talloc_strdup (p, options->url);
  p->timeout_ms = options->timeout_ms;
  p->loop = http_loop_create (p, &loop, err);
  if (p->loop == NULL)
    {
      error_wrap (err, ERROR_INTERNAL, "platform client");
      talloc_free (p);
      return NULL;
    }
  talloc_set_destructor (p, platform_destructor);
  return p;
}

static struct platform_call *
call_create (struct platform *p, const char *name, char *url,
             int64_t timeout_ms)
{
  struct platform_call *call = talloc_zero (p, struct platform_call);
  CURL *easy = curl_easy_init ();
  call->platform = p;
  call->easy = easy;
  call->name = talloc_strdup (call, name);
  call->next = p->calls;
  if (call->next != NULL)
    call->next->prev = call;
  p->calls = call;
  talloc_set_destructor (call, call_detach);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_response_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, prevent_repeated_update);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  talloc_free (url);
  return call;
}

static void
call_start (struct platform_call *call)
{
  call->platform->call_count++;
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  http_loop_add (call->platform->loop, call->easy);
}

void
platform_get (struct platform *p, const char *name, platform_done_fn *done,
              void *data)
{
  char *url = talloc_asprintf (p, "%s/objects/%s", p->url, name);
  struct platform_call *call = call_create (p, name, url, p->timeout_ms);
  call->done = done;
  call->data = data;
  call_start (call);
}

void
platform_put (struct platform *p, const char *name, uint64_t version,
              struct bstr value, platform_done_fn *done, void *data)
{
  char *url = talloc_asprintf (p, "%s/objects/%s", p->url, name);
  struct platform_call *call = call_create (p, name, url, p->timeout_ms);
  char header[64];
  call->is_update = true;
  call->value = bstr_copy (call, value);
  call->done = done;
  call->data = data;
  snprintf (header, sizeof header, "If-Match: %" PRIu64, version);
  call->headers = curl_slist_append (call->headers, header);
  call->headers
      = curl_slist_append (call->headers, "Content-Type: text/plain");
  /* Without this, libcurl waits up to 1 s for "100 Continue" before it sends
     a large body. */
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)value.len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->value.start);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
  call_start (call);
}

void
platform_watch (struct platform *p, const char *prefix, uint64_t since,
                int64_t timeout_ms, platform_changed_fn *changed, void *data)
{
  char *url = talloc_asprintf (
      p, "%s/watch?prefix=%s&since=%" PRIu64 "&timeout_ms=%" PRId64, p->url,
      prefix, since, timeout_ms);
  struct platform_call *call
      = call_create (p, prefix, url, timeout_ms + p->timeout_ms);
  call->changed = changed;
  call->data = data;
  call_start (call);
}

void
platform_list_vms (struct platform *p, platform_vms_fn *done, void *data)
{
  char *url = talloc_asprintf (p, "%s/vms", p->url);
  struct platform_call *call = call_create (p, "vms", url, p->timeout_ms);
  call->vms = done;
  call->data = data;
  call_start (call);
}

uint64_t
platform_call_count (const struct platform *p)
{
  return p->call_count;
}
