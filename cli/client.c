#include "cli/client.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <unistd.h>

/* The platform holds values up to 1 MB. */
#define MAX_VALUE_BYTES 1000000

/* An answer may hold a value with every byte escaped. */
#define MAX_ANSWER_BYTES 8000000

#define OP_BYTES 12

/* An update that was lost can be recognised as long as no more than this
   number of newer updates followed it. */
#define MAX_PREVIOUS_OPS 16

#define MAX_ATTEMPTS 4
#define FIRST_WAIT_MS 50

struct client
{
  CURL *curl;
  char *url;
  long timeout_ms;
};

struct answer
{
  void *parent;
  char *body;
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

static size_t
keep_body (char *data, size_t size, size_t count, void *user)
{
  struct answer *answer = user;
  size_t n = size * count;
  if (answer->len + n > MAX_ANSWER_BYTES)
    return 0;
  answer->body = talloc_realloc_size (answer->parent, answer->body,
                                      answer->len + n + 1);
  memcpy (answer->body + answer->len, data, n);
  answer->len += n;
  answer->body[answer->len] = '\0';
  return n;
}

/* Make one call.
   @return false with ERROR_UNAVAILABLE if the request was certainly not
   sent, ERROR_UNKNOWN if it may have been. */
static bool
perform (struct client *c, const char *method, const char *url,
         struct curl_slist *headers, struct bstr body, struct answer *answer,
         struct error *err)
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
  curl_easy_setopt (c->curl, CURLOPT_WRITEFUNCTION, keep_body);
  curl_easy_setopt (c->curl, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (c->curl, CURLOPT_HTTPHEADER, headers);
  /* libcurl silently sends a request again when a kept connection turns out
     to be closed; a new connection makes "not sent" certain. */
  curl_easy_setopt (c->curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (c->curl, CURLOPT_FORBID_REUSE, 1L);
  if (body.start != NULL)
    {
      curl_easy_setopt (c->curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)body.len);
      curl_easy_setopt (c->curl, CURLOPT_POSTFIELDS, body.start);
    }
  CURLcode code = curl_easy_perform (c->curl);
  curl_easy_getinfo (c->curl, CURLINFO_RESPONSE_CODE, &answer->status);
  curl_easy_getinfo (c->curl, CURLINFO_PRETRANSFER_TIME_T, &connected_us);
  if (code == CURLE_OK)
    return true;
  return error_set (err, connected_us > 0 ? ERROR_UNKNOWN : ERROR_UNAVAILABLE,
                    "%s %s: %s", method, url,
                    cause[0] != '\0' ? cause : curl_easy_strerror (code));
}

static bool
read_object (struct client *c, const struct answer *answer,
             struct client_object *object)
{
  json_int_t version = 0;
  const char *name;
  bool ok = false;
  json_t *root = json_loadb (answer->body != NULL ? answer->body : "",
                             answer->len, JSON_ALLOW_NUL, NULL);
  /* A conflict with a missing object has version 0 and a null value. */
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
  struct answer answer = { .parent = c };
  char *url = talloc_asprintf (c, "%s/objects/%s", c->url, name);
  *object = (struct client_object){ 0, bstr_from ("") };
  if (!perform (c, "GET", url, NULL, (struct bstr){ 0 }, &answer, err))
    return error_wrap (err, ERROR_UNAVAILABLE,
                       "the platform cannot be reached");
  if (answer.status == 404)
    return true;
  if (answer.status != 200 || !read_object (c, &answer, object))
    return error_set (err, ERROR_UNAVAILABLE,
                      "the platform answered %s with status %ld%s", name,
                      answer.status,
                      answer.status == 200 ? " and a malformed body" : "");
  return true;
}

/* @param current set to the new version, or to the newer object. */
static bool
put (struct client *c, const char *name, uint64_t version, struct bstr value,
     struct client_object *current, struct error *err)
{
  struct answer answer = { .parent = c };
  json_int_t new_version = 0;
  char *url = talloc_asprintf (c, "%s/objects/%s", c->url, name);
  char *match = talloc_asprintf (c, "If-Match: %" PRIu64, version);
  struct curl_slist *headers = curl_slist_append (NULL, match);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  /* Without this, libcurl waits for "100 Continue" before long bodies. */
  headers = curl_slist_append (headers, "Expect:");
  bool ok = perform (c, "PUT", url, headers, value, &answer, err);
  curl_slist_free_all (headers);
  if (!ok)
    return false;
  if (answer.status == 412 && read_object (c, &answer, current))
    return error_set (err, ERROR_CONFLICT, "%s is at version %" PRIu64, name,
                      current->version);
  if (answer.status >= 400 && answer.status < 500 && answer.status != 412)
    return error_set (err, ERROR_REFUSED,
                      "the platform refused %s with status %ld", name,
                      answer.status);
  json_t *root = json_loadb (answer.body != NULL ? answer.body : "",
                             answer.len, 0, NULL);
  ok = answer.status == 200
       && json_unpack (root, "{s:I}", "version", &new_version) == 0;
  json_decref (root);
  if (!ok)
    return error_set (err, ERROR_UNKNOWN,
                      "the platform answered %s with status %ld", name,
                      answer.status);
  *current = (struct client_object){ (uint64_t)new_version, value };
  return true;
}

enum effect
{
  EFFECT_OURS,       /**< The update took effect. */
  EFFECT_NONE,       /**< The object is still the base. */
  EFFECT_SUPERSEDED, /**< Another update took its place. */
  EFFECT_UNDECIDED
};

static bool
has_op (const json_t *ops, const char *op)
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

static const char *
op_of (const json_t *value)
{
  const char *op = json_string_value (json_object_get (value, "op"));
  return op != NULL ? op : "";
}

/* Find out from the current object what became of an update.  The list of
   earlier operations has no gap between the base and the current object if
   it holds the base's operation, or if it is short and the base did not
   exist. */
static enum effect
judge (const struct client_object *current, const struct client_object *base,
       const char *base_op, const char *op)
{
  enum effect effect = EFFECT_UNDECIDED;
  json_t *value
      = json_loadb (current->value.start, current->value.len, 0, NULL);
  const json_t *previous = json_object_get (value, "previous_ops");
  if (strcmp (op_of (value), op) == 0 || has_op (previous, op))
    effect = EFFECT_OURS;
  else if (current->version == base->version)
    effect = EFFECT_NONE;
  else if (base_op[0] != '\0'
               ? has_op (previous, base_op)
               : base->version == 0 && op_of (value)[0] != '\0'
                     && json_array_size (previous) < MAX_PREVIOUS_OPS)
    effect = EFFECT_SUPERSEDED;
  json_decref (value);
  return effect;
}

/* Add "op" and "previous_ops" to a value.
   @return the text, owned by the client. */
static struct bstr
mark_value (struct client *c, json_t *value, const json_t *base,
            const char *op)
{
  json_t *previous = json_array ();
  size_t i;
  json_t *entry;
  if (op_of (base)[0] != '\0')
    json_array_append_new (previous, json_string (op_of (base)));
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
wait_before (int attempt)
{
  usleep ((useconds_t)(FIRST_WAIT_MS * 1000) << attempt);
}

/* Send the update until its outcome is known.  It may be sent again, because
   it is conditional on the base's version. */
static bool
send_update (struct client *c, const char *name,
             const struct client_object *base, const char *base_op,
             struct bstr value, const char *op, struct client_object *current,
             struct error *err)
{
  bool lost = false;
  for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++)
    {
      struct error read_err = { 0 };
      if (put (c, name, base->version, value, current, err))
        return true;
      bool conflict = err->code == ERROR_CONFLICT;
      if (!lost && conflict)
        return false;
      if (!lost && err->code != ERROR_UNKNOWN)
        return false;
      lost = true;
      if (!conflict && !client_get (c, name, current, &read_err))
        {
          wait_before (attempt);
          continue;
        }
      switch (judge (current, base, base_op, op))
        {
        case EFFECT_OURS:
          return true;
        case EFFECT_SUPERSEDED:
          return error_set (err, ERROR_CONFLICT, "%s is at version %" PRIu64,
                            name, current->version);
        case EFFECT_UNDECIDED:
          return error_set (err, ERROR_UNKNOWN,
                            "%s changed to version %" PRIu64
                            " and its history does not reach back to this "
                            "update; read it and compare",
                            name, current->version);
        case EFFECT_NONE:
          break;
        }
      wait_before (attempt);
    }
  return error_wrap (err, ERROR_UNKNOWN,
                     "no answer tells whether the update of %s ran", name);
}

bool
client_update (struct client *c, const char *name,
               const struct client_object *base, json_t *value,
               struct client_object *current, struct error *err)
{
  unsigned char random[OP_BYTES];
  char op[2 * OP_BYTES + 1];
  json_t *old = json_loadb (base->value.start, base->value.len, 0, NULL);
  bool ok;
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (op, sizeof op, random, sizeof random);
  struct bstr text = mark_value (c, value, old, op);
  if (text.len > MAX_VALUE_BYTES)
    ok = error_set (err, ERROR_INVALID,
                    "%s would have %zu bytes, the platform holds %d", name,
                    text.len, MAX_VALUE_BYTES);
  else
    ok = send_update (c, name, base, op_of (old), text, op, current, err);
  json_decref (old);
  return ok;
}

struct bstr
client_call (void *parent, struct client *c, const char *method,
             const char *url, struct error *err)
{
  struct answer answer = { .parent = parent };
  bool is_post = strcmp (method, "POST") == 0;
  struct bstr body = { is_post ? "" : NULL, 0 };
  if (!perform (c, method, url, NULL, body, &answer, err))
    {
      /* Only a request that changes something has an unknown outcome. */
      if (!is_post)
        err->code = ERROR_UNAVAILABLE;
      return (struct bstr){ 0 };
    }
  if (answer.status < 200 || answer.status > 299)
    {
      error_set (err, answer.status >= 500 ? ERROR_UNAVAILABLE : ERROR_REFUSED,
                 "%s %s: status %ld", method, url, answer.status);
      return (struct bstr){ 0 };
    }
  return (struct bstr){ answer.body != NULL ? answer.body : "", answer.len };
}
