#include "cli/client.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <unistd.h>

/* The platform stores values of up to 1 MB. */
#define MAX_VALUE_BYTES 1000000

/* More than MAX_VALUE_BYTES, because every byte of a value may be escaped in
   the JSON of a response. */
#define MAX_RESPONSE_BYTES 8000000

#define OPERATION_ID_BYTES 12

/* Number of operation ids in "previous_ops".  An update whose response was
   lost can be recognised as long as no more than this number of updates
   followed it. */
#define MAX_PREVIOUS_OPS 16

#define MAX_UPDATE_ATTEMPTS 4
/* Delay after the first attempt; it doubles with each further attempt. */
#define FIRST_RETRY_DELAY_MS 50

struct client
{
  CURL *curl;
  char *url;
  long timeout_ms;
};

/* HTTP response of one request. */
struct response
{
  void *parent; /**< Owner of the body. */
  char *body;   /**< Ends with NUL; NULL: no body was received. */
  size_t len;
  long status;
};

static int
destroy_client (struct client *c)
{
  curl_easy_cleanup (c->curl);
  return 0;
}

struct client *
client_create (void *parent, const char *url, long timeout_ms,
               struct error *err)
{
  struct client *c = talloc_zero (parent, struct client);
  size_t len = strlen (url);
  if (strncmp (url, "http://", 7) != 0 && strncmp (url, "https://", 8) != 0)
    {
      error_set (err, ERROR_INVALID,
                 "the platform's URL \"%s\" must start with http:// or "
                 "https://",
                 url);
      goto fail;
    }
  c->url = talloc_strndup (c, url, url[len - 1] == '/' ? len - 1 : len);
  c->timeout_ms = timeout_ms;
  c->curl = curl_easy_init ();
  if (c->curl == NULL || sodium_init () < 0)
    {
      error_set (err, ERROR_INTERNAL, "libcurl or libsodium does not start");
      goto fail;
    }
  talloc_set_destructor (c, destroy_client);
  return c;
fail:
  talloc_free (c);
  return NULL;
}

/* Callback of libcurl for a part of a response's body.  A return value other
   than the size of the part makes libcurl abort the request. */
static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  struct response *response = user;
  size_t n = size * count;
  if (response->len + n > MAX_RESPONSE_BYTES)
    return 0;
  response->body = talloc_realloc_size (response->parent, response->body,
                                        response->len + n + 1);
  memcpy (response->body + response->len, data, n);
  response->len += n;
  response->body[response->len] = '\0';
  return n;
}

/* Send a request and receive its response.
   @return false with ERROR_UNAVAILABLE if the request was certainly not
   sent, ERROR_UNKNOWN if it may have been sent. */
static bool
perform_request (struct client *c, const char *method, const char *url,
                 struct curl_slist *headers, struct bstr body,
                 struct response *response, struct error *err)
{
  char cause[CURL_ERROR_SIZE] = "";
  curl_off_t connected_us = 0;
  curl_easy_reset (c->curl);
  curl_easy_setopt (c->curl, CURLOPT_URL, url);
  curl_easy_setopt (c->curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (c->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c->curl, CURLOPT_TIMEOUT_MS, c->timeout_ms);
  curl_easy_setopt (c->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (c->curl, CURLOPT_ERRORBUFFER, cause);
  curl_easy_setopt (c->curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (c->curl, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (c->curl, CURLOPT_HTTPHEADER, headers);
  /* libcurl silently repeats a request if the connection that it reuses
     turns out to be closed.  With a new connection for each request, a
     failure to connect proves that the request was not sent. */
  curl_easy_setopt (c->curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (c->curl, CURLOPT_FORBID_REUSE, 1L);
  if (body.start != NULL)
    {
      curl_easy_setopt (c->curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)body.len);
      curl_easy_setopt (c->curl, CURLOPT_POSTFIELDS, body.start);
    }
  CURLcode code = curl_easy_perform (c->curl);
  curl_easy_getinfo (c->curl, CURLINFO_RESPONSE_CODE, &response->status);
  curl_easy_getinfo (c->curl, CURLINFO_PRETRANSFER_TIME_T, &connected_us);
  if (code == CURLE_OK)
    return true;
  return error_set (err, connected_us > 0 ? ERROR_UNKNOWN : ERROR_UNAVAILABLE,
                    "%s %s: %s", method, url,
                    cause[0] != '\0' ? cause : curl_easy_strerror (code));
}

/* Parse the object in a response's body; its value is owned by the client. */
static bool
parse_object (struct client *c, const struct response *response,
              struct client_object *object)
{
  json_int_t version = 0;
  const char *name;
  bool ok = false;
  json_t *root = json_loadb (response->body != NULL ? response->body : "",
                             response->len, JSON_ALLOW_NUL, NULL);
  /* The response to a conflict with an object that does not exist has
     version 0 and a null value. */
  if (json_unpack (root, "{s:s, s:I}", "name", &name, "version", &version) == 0
      && version >= 0)
    {
      const json_t *value = json_object_get (root, "value");
      object->version = (uint64_t)version;
      object->value
          = bstr_copy (c, (struct bstr){ json_string_value (value),
                                         json_string_length (value) });
      ok = version == 0 || json_is_string (value);
    }
  json_decref (root);
  return ok;
}

bool
client_get (struct client *c, const char *name, struct client_object *object,
            struct error *err)
{
  struct response response = { .parent = c };
  char *url = talloc_asprintf (c, "%s/objects/%s", c->url, name);
  *object = (struct client_object){ 0, bstr_from ("") };
  if (!perform_request (c, "GET", url, NULL, (struct bstr){ 0 }, &response,
                        err))
    return error_wrap (err, ERROR_UNAVAILABLE,
                       "the platform cannot be reached");
  if (response.status == 404)
    return true;
  if (response.status != 200 || !parse_object (c, &response, object))
    return error_set (err, ERROR_UNAVAILABLE,
                      "the platform answered %s with status %ld%s", name,
                      response.status,
                      response.status == 200 ? " and a malformed body" : "");
  return true;
}

/* Write an object on the condition that it is at @p version.
   @param current set to the new version, or on a conflict to the newer
   object. */
static bool
put_object (struct client *c, const char *name, uint64_t version,
            struct bstr value, struct client_object *current,
            struct error *err)
{
  struct response response = { .parent = c };
  json_int_t new_version = 0;
  char *url = talloc_asprintf (c, "%s/objects/%s", c->url, name);
  char *match = talloc_asprintf (c, "If-Match: %" PRIu64, version);
  struct curl_slist *headers = curl_slist_append (NULL, match);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  /* An empty Expect header keeps libcurl from waiting for "100 Continue"
     before it sends a long body. */
  headers = curl_slist_append (headers, "Expect:");
  bool ok = perform_request (c, "PUT", url, headers, value, &response, err);
  curl_slist_free_all (headers);
  if (!ok)
    return false;
  if (response.status == 412 && parse_object (c, &response, current))
    return error_set (err, ERROR_CONFLICT, "%s is at version %" PRIu64, name,
                      current->version);
  if (response.status >= 400 && response.status < 500
      && response.status != 412)
    return error_set (err, ERROR_REFUSED,
                      "the platform refused %s with status %ld", name,
                      response.status);
  json_t *root = json_loadb (response.body != NULL ? response.body : "",
                             response.len, 0, NULL);
  ok = response.status == 200
       && json_unpack (root, "{s:I}", "version", &new_version) == 0;
  json_decref (root);
  if (!ok)
    return error_set (err, ERROR_UNKNOWN,
                      "the platform answered %s with status %ld", name,
                      response.status);
  *current = (struct client_object){ (uint64_t)new_version, value };
  return true;
}

/* Outcome of an update, as the current object shows it. */
enum outcome
{
  OUTCOME_APPLIED,     /**< The update took effect. */
  OUTCOME_NOT_APPLIED, /**< The object is still at the base's version. */
  OUTCOME_SUPERSEDED,  /**< Another update replaced the base. */
  OUTCOME_UNDETERMINED /**< The object's history does not reach back to the
                            base. */
};

static bool
contains_operation (const json_t *ops, const char *op)
{
  size_t i;
  json_t *entry;
  json_array_foreach (ops, i, entry)
  {
    if (json_is_string (entry) && strcmp (json_string_value (entry), op) == 0)
      return true;
  }
  return false;
}

/* @return the id of the operation that wrote a value, "" if it has none. */
static const char *
operation_id (const json_t *value)
{
  const char *op = json_string_value (json_object_get (value, "op"));
  return op != NULL ? op : "";
}

/* Determine the outcome of the update @p op from the current object.  The
   list of previous operations is complete back to the base if it contains
   the base's operation, or if the base did not exist and the list is shorter
   than its limit. */
static enum outcome
determine_outcome (const struct client_object *current,
                   const struct client_object *base, const char *base_op,
                   const char *op)
{
  enum outcome outcome = OUTCOME_UNDETERMINED;
  json_t *value
      = json_loadb (current->value.start, current->value.len, 0, NULL);
  const json_t *previous = json_object_get (value, "previous_ops");
  if (strcmp (operation_id (value), op) == 0
      || contains_operation (previous, op))
    outcome = OUTCOME_APPLIED;
  else if (current->version == base->version)
    outcome = OUTCOME_NOT_APPLIED;
  else if (base_op[0] != '\0'
               ? contains_operation (previous, base_op)
               : base->version == 0 && operation_id (value)[0] != '\0'
                     && json_array_size (previous) < MAX_PREVIOUS_OPS)
    outcome = OUTCOME_SUPERSEDED;
  json_decref (value);
  return outcome;
}

/* Add the members "op" and "previous_ops" to a value.
   @return the JSON text, owned by the client. */
static struct bstr
add_operation_ids (struct client *c, json_t *value, const json_t *base,
                   const char *op)
{
  json_t *previous = json_array ();
  size_t i;
  json_t *entry;
  if (operation_id (base)[0] != '\0')
    json_array_append_new (previous, json_string (operation_id (base)));
  json_array_foreach (json_object_get (base, "previous_ops"), i, entry)
  {
    if (json_array_size (previous) < MAX_PREVIOUS_OPS)
      json_array_append (previous, entry);
  }
  json_object_set_new (value, "op", json_string (op));
  json_object_set_new (value, "previous_ops", previous);
  char *text = json_dumps (value, JSON_COMPACT);
  struct bstr out = bstr_copy (c, bstr_from (text));
  free (text);
  return out;
}

static void
wait_before_retry (int attempt)
{
  usleep ((useconds_t)(FIRST_RETRY_DELAY_MS * 1000) << attempt);
}

/* Send an update, at most MAX_UPDATE_ATTEMPTS times, until its outcome is
   known.  It is safe to repeat the update, because it is conditional on the
   base's version. */
static bool
send_update (struct client *c, const char *name,
             const struct client_object *base, const char *base_op,
             struct bstr value, const char *op, struct client_object *current,
             struct error *err)
{
  bool may_have_run = false;
  for (int attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++)
    {
      struct error read_err = { 0 };
      if (put_object (c, name, base->version, value, current, err))
        return true;
      bool conflict = err->code == ERROR_CONFLICT;
      if (!may_have_run && conflict)
        return false;
      if (!may_have_run && err->code != ERROR_UNKNOWN)
        return false;
      may_have_run = true;
      if (!conflict && !client_get (c, name, current, &read_err))
        {
          wait_before_retry (attempt);
          continue;
        }
      switch (determine_outcome (current, base, base_op, op))
        {
        case OUTCOME_APPLIED:
          return true;
        case OUTCOME_SUPERSEDED:
          return error_set (err, ERROR_CONFLICT, "%s is at version %" PRIu64,
                            name, current->version);
        case OUTCOME_UNDETERMINED:
          return error_set (err, ERROR_UNKNOWN,
                            "%s changed to version %" PRIu64
                            " and its history does not reach back to this "
                            "update; read it and compare",
                            name, current->version);
        case OUTCOME_NOT_APPLIED:
          break;
        }
      wait_before_retry (attempt);
    }
  return error_wrap (err, ERROR_UNKNOWN,
                     "no answer tells whether the update of %s ran", name);
}

bool
client_update (struct client *c, const char *name,
               const struct client_object *base, json_t *value,
               struct client_object *current, struct error *err)
{
  unsigned char random[OPERATION_ID_BYTES];
  char op[2 * OPERATION_ID_BYTES + 1];
  json_t *old = json_loadb (base->value.start, base->value.len, 0, NULL);
  bool ok;
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (op, sizeof op, random, sizeof random);
  struct bstr text = add_operation_ids (c, value, old, op);
  if (text.len > MAX_VALUE_BYTES)
    ok = error_set (err, ERROR_INVALID,
                    "%s would have %zu bytes, the platform holds %d", name,
                    text.len, MAX_VALUE_BYTES);
  else
    ok = send_update (c, name, base, operation_id (old), text, op, current,
                      err);
  json_decref (old);
  return ok;
}

struct bstr
client_call (void *parent, struct client *c, const char *method,
             const char *url, struct error *err)
{
  struct response response = { .parent = parent };
  bool is_post = strcmp (method, "POST") == 0;
  struct bstr body = { is_post ? "" : NULL, 0 };
  if (!perform_request (c, method, url, NULL, body, &response, err))
    {
      /* A GET request changes nothing, so its outcome is never unknown. */
      if (!is_post)
        err->code = ERROR_UNAVAILABLE;
      return (struct bstr){ 0 };
    }
  if (response.status < 200 || response.status > 299)
    {
      error_set (err,
                 response.status >= 500 ? ERROR_UNAVAILABLE : ERROR_REFUSED,
                 "%s %s: status %ld", method, url, response.status);
      return (struct bstr){ 0 };
    }
  return (struct bstr){ response.body != NULL ? response.body : "",
                        response.len };
}
