#include "standins/site.h"

#include "common/json_text.h"
#include "net/http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_BODY_BYTES ((size_t)1 << 20)
#define MAX_CONNECTIONS 500
#define IDLE_SECONDS 60
#define MAX_PATH_BYTES 200
#define MAX_PAGE_ITEMS ((size_t)500)
/* Objects of one kind that can be listed; further ones are left out. */
#define MAX_LISTED_ITEMS ((size_t)2000)

/** A request that waits for changes of objects of one kind. */
struct watcher
{
  struct watcher *next;
  struct site_store *store;
  struct http_request *request;
  char *kind;
  uint64_t since; /**< Revision after which changes are reported. */
  struct tevent_timer *timer; /**< Ends the wait without a change. */
};

/** The object store, with the faults that a test sets. */
struct site_store
{
  struct http_handler handler;
  struct site_store_options options;
  struct http_server *server;
  json_t *kinds;     /**< Maps each kind to its objects by name. */
  json_t *events;    /**< History of changes: {revision, kind, event}. */
  uint64_t revision; /**< Revision of the newest change. */
  /** Oldest revision from which a watch can start. */
  uint64_t oldest_revision;
  struct watcher *watchers;
  bool down; /**< Answer every call with 503. */
  /** Id of the daemon that was the first to write a promotion record since
   * refuse_first_holder was set; NULL: none yet. */
  char *first_holder;
  bool refuse_first_holder; /**< Refuse all promotion records of
                               first_holder. */
  bool refuse_all_holders;  /**< Refuse all promotion records. */
  bool lose_answers;        /**< Run writes, but answer them with 500. */
};

static void
reply_json (struct http_request *request, unsigned status, json_t *body)
{
  void *scratch = talloc_new (NULL);
  http_reply (request, status, "application/json",
              json_text_take (scratch, body, JSON_COMPACT), NULL);
  talloc_free (scratch);
}

static void
reply_empty (struct http_request *request, unsigned status)
{
  reply_json (request, status, json_object ());
}

/* @return the objects of @p kind by name; the map is created if the kind is
   new. */
static json_t *
get_objects (struct site_store *s, const char *kind)
{
  json_t *objects = json_object_get (s->kinds, kind);
  if (objects == NULL)
    {
      objects = json_object ();
      json_object_set_new (s->kinds, kind, objects);
    }
  return objects;
}

/* @return a new array of the events of @p kind after the revision @p since;
   NULL if there are none. */
static json_t *
events_since (const struct site_store *s, const char *kind, uint64_t since)
{
  json_t *found = NULL, *entry;
  size_t i;
  json_array_foreach (s->events, i, entry)
  {
    uint64_t revision
        = (uint64_t)json_integer_value (json_object_get (entry, "revision"));
    if (revision <= since
        || strcmp (json_string_value (json_object_get (entry, "kind")), kind)
               != 0)
      continue;
    if (found == NULL)
      found = json_array ();
    json_array_append (found, json_object_get (entry, "event"));
  }
  return found;
}

/* Answer a watch with the events since its start, and free it. */
static void
finish_watch (struct watcher *w)
{
  struct site_store *s = w->store;
  struct watcher **at = &s->watchers;
  json_t *events = events_since (s, w->kind, w->since);
  while (*at != w)
    at = &(*at)->next;
  *at = w->next;
  reply_json (w->request, 200,
              json_pack ("{s:o, s:I}", "events",
                         events != NULL ? events : json_array (),
                         "store-revision", (json_int_t)s->revision));
  talloc_free (w);
}

static void
on_watch_timeout (struct tevent_context *ev, struct tevent_timer *timer,
                  struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  finish_watch (data);
}

/* Record a change of an object and answer the watches of its kind. */
static void
record_event (struct site_store *s, const char *kind, json_t *object,
              bool deleted)
{
  json_t *event
      = json_pack ("{s:b, s:O}", "deleted", deleted, "object", object);
  json_array_append_new (s->events, json_pack ("{s:I, s:s, s:o}", "revision",
                                               (json_int_t)s->revision, "kind",
                                               kind, "event", event));
  for (struct watcher *w = s->watchers, *next; w != NULL; w = next)
    {
      next = w->next;
      if (strcmp (w->kind, kind) == 0)
        finish_watch (w);
    }
}

/* @return the next version of an object, under a new revision of the store.
   @param old the current version; NULL: the object does not exist. */
static json_t *
new_object (struct site_store *s, const char *name, const json_t *old,
            json_t *spec)
{
  json_t *created
      = json_object_get (json_object_get (old, "meta"), "create-rev");
  s->revision++;
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:o, s:n}", "meta", "name",
                    name, "revision", (json_int_t)s->revision, "create-rev",
                    created != NULL ? json_integer_value (created)
                                    : (json_int_t)s->revision,
                    "finalizers", "deleting", 0, "spec", spec, "status");
}

void
site_store_write (struct site_store *s, const char *kind, const char *name,
                  json_t *spec)
{
  json_t *objects = get_objects (s, kind);
  json_t *old = json_object_get (objects, name);
  if (json_equal (json_object_get (old, "spec"), spec))
    {
      json_decref (spec);
      return;
    }
  json_t *object = new_object (s, name, old, spec);
  json_object_set_new (objects, name, object);
  record_event (s, kind, object, false);
}

void
site_store_delete (struct site_store *s, const char *kind, const char *name)
{
  json_t *objects = get_objects (s, kind);
  json_t *object = json_incref (json_object_get (objects, name));
  if (object == NULL)
    return;
  s->revision++;
  json_object_del (objects, name);
  record_event (s, kind, object, true);
  json_decref (object);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Answer with one page of the objects of a kind, in order of their names. */
static void
list_objects (struct site_store *s, struct http_request *request,
              const char *kind)
{
  json_t *objects = get_objects (s, kind), *items = json_array (), *object;
  struct bstr after = http_query_value (request, "after");
  const char *names[MAX_LISTED_ITEMS], *name;
  size_t count = 0;
  bool more = false;
  json_object_foreach (objects, name, object) if (count < MAX_LISTED_ITEMS)
      names[count++]
      = name;
  qsort (names, count, sizeof names[0], compare_names);
  for (size_t i = 0; i < count; i++)
    {
      char *after_name = bstr_to_text (NULL, after);
      bool skip = after.len > 0 && strcmp (names[i], after_name) <= 0;
      talloc_free (after_name);
      if (skip)
        continue;
      if (json_array_size (items) == MAX_PAGE_ITEMS)
        {
          more = true;
          break;
        }
      json_array_append (items, json_object_get (objects, names[i]));
    }
  reply_json (request, 200,
              json_pack ("{s:o, s:b, s:I}", "items", items, "has-more", more,
                         "store-revision", (json_int_t)s->revision));
}

/* Answer with the changes since a revision, or wait for the next one. A watch
   that would need forgotten history is answered with 410. */
static void
start_watch (struct site_store *s, struct http_request *request,
             const char *kind)
{
  struct bstr since = http_query_value (request, "watch");
  struct bstr wait = http_query_value (request, "wait-ms");
  uint64_t revision = strtoull (since.start, NULL, 10);
  long wait_ms = wait.len > 0 ? strtol (wait.start, NULL, 10) : 0;
  if (revision < s->oldest_revision)
    {
      reply_empty (request, 410);
      return;
    }
  struct watcher *w = talloc_zero (s, struct watcher);
  w->store = s;
  w->request = request;
  w->kind = talloc_strdup (w, kind);
  w->since = revision;
  w->next = s->watchers;
  s->watchers = w;
  json_t *events = events_since (s, kind, revision);
  if (events != NULL || wait_ms <= 0)
    finish_watch (w);
  else
    w->timer = tevent_add_timer (
        s->options.ev, w,
        tevent_timeval_current_ofs ((uint32_t)wait_ms / 1000,
                                    (uint32_t)wait_ms % 1000 * 1000),
        on_watch_timeout, w);
  json_decref (events);
}

/* Whether a fault refuses this write.  Such faults apply to promotion records
   only, which are the objects whose spec names a holder. */
static bool
is_refused_by_fault (struct site_store *s, const json_t *body)
{
  const char *holder = json_string_value (
      json_object_get (json_object_get (body, "spec"), "holder"));
  if (holder == NULL)
    return false;
  if (s->refuse_first_holder && s->first_holder == NULL)
    s->first_holder = talloc_strdup (s, holder);
  return s->refuse_all_holders
         || (s->refuse_first_holder && strcmp (holder, s->first_holder) == 0);
}

/* Create an object (POST), or replace it if its revision is the expected one;
   without an expected revision it is replaced in any case. */
static void
write_object (struct site_store *s, struct http_request *request,
              const char *kind, const char *path_name)
{
  json_t *body = json_loadb (request->body.start, request->body.len, 0, NULL);
  json_t *meta = json_object_get (body, "meta");
  json_t *expected = json_object_get (meta, "revision");
  bool creates = bstr_equals_text (request->method, "POST");
  const char *name = creates
                         ? json_string_value (json_object_get (meta, "name"))
                         : path_name;
  json_t *old
      = name != NULL ? json_object_get (get_objects (s, kind), name) : NULL;
  json_int_t current_revision = json_integer_value (
      json_object_get (json_object_get (old, "meta"), "revision"));
  bool lose = s->lose_answers;
  unsigned status = 200;
  if (name == NULL || json_object_get (body, "spec") == NULL)
    status = 400;
  else if (is_refused_by_fault (s, body))
    status = 503;
  else if (creates && old != NULL)
    status = 409;
  else if (!creates && old == NULL)
    status = 404;
  else if (!creates && expected != NULL
           && json_integer_value (expected) != current_revision)
    status = 409;
  else
    site_store_write (s, kind, name,
                      json_incref (json_object_get (body, "spec")));
  json_t *answer
      = name != NULL ? json_object_get (get_objects (s, kind), name) : NULL;
  if (status == 200 && lose)
    reply_empty (request, 500);
  else
    reply_json (request, status,
                answer != NULL ? json_incref (answer) : json_object ());
  json_decref (body);
}

/* Delete an object if its revision is the expected one; without an expected
   revision it is deleted in any case. */
static void
delete_object (struct site_store *s, struct http_request *request,
               const char *kind, const char *name)
{
  json_t *old = json_object_get (get_objects (s, kind), name);
  struct bstr expected = http_query_value (request, "revision");
  json_int_t current_revision = json_integer_value (
      json_object_get (json_object_get (old, "meta"), "revision"));
  if (old == NULL)
    reply_empty (request, 404);
  else if (expected.len > 0
           && strtoll (expected.start, NULL, 10) != current_revision)
    reply_json (request, 409, json_incref (old));
  else
    {
      site_store_delete (s, kind, name);
      reply_empty (request, 200);
    }
}

static void
serve_promote (struct site_store *s, struct http_request *request)
{
  json_t *body = json_loadb (request->body.start, request->body.len, 0, NULL);
  struct bstr token = http_header_value (request, "X-Fence-Token");
  const char *service = json_string_value (json_object_get (body, "service"));
  const char *id = json_string_value (json_object_get (body, "id"));
  unsigned status = 400;
  if (service != NULL && id != NULL && token.len > 0)
    status = s->options.promote (s->options.data, service, id,
                                 strtoull (token.start, NULL, 10));
  reply_empty (request, status);
  json_decref (body);
}

/* Serve a test's call to set faults or read the observations; the platform has
   no such call. */
static void
serve_control (struct site_store *s, struct http_request *request)
{
  json_t *body = json_loadb (request->body.start, request->body.len, 0, NULL);
  const char *database
      = json_string_value (json_object_get (body, "database"));
  const char *fault = json_string_value (json_object_get (body, "fault"));
  json_t *config = json_object_get (body, "config");
  bool ok = true;
  if (bstr_equals_text (request->method, "GET"))
    {
      reply_json (request, 200, s->options.get_observations (s->options.data));
      goto done;
    }
  if (database != NULL && fault != NULL)
    ok = s->options.set_fault (s->options.data, database, fault);
  if (json_object_get (body, "down") != NULL)
    s->down = json_is_true (json_object_get (body, "down"));
  if (json_is_true (json_object_get (body, "refuse_first")))
    s->refuse_first_holder = true;
  if (json_is_true (json_object_get (body, "refuse_all")))
    s->refuse_all_holders = true;
  if (json_object_get (body, "lose") != NULL)
    s->lose_answers = json_is_true (json_object_get (body, "lose"));
  if (json_is_true (json_object_get (body, "forget")))
    {
      json_array_clear (s->events);
      s->oldest_revision = s->revision;
    }
  if (config != NULL)
    site_store_write (s, "config", "main", json_incref (config));
  reply_empty (request, ok ? 200 : 404);
done:
  json_decref (body);
}

static void
on_request (struct http_handler *handler, struct http_request *request)
{
  struct site_store *s = (struct site_store *)handler;
  char path[MAX_PATH_BYTES], kind[MAX_PATH_BYTES] = "",
                             name[MAX_PATH_BYTES] = "";
  snprintf (path, sizeof path, "%.*s", BSTR_ARG (request->path));
  if (strcmp (path, "/control") == 0)
    {
      serve_control (s, request);
      return;
    }
  if (s->down)
    {
      reply_empty (request, 503);
      return;
    }
  if (strcmp (path, "/promote") == 0)
    {
      serve_promote (s, request);
      return;
    }
  int parts = sscanf (path, "/v1/objects/%100[^/]/%90[^/]", kind, name);
  if (parts < 1)
    reply_empty (request, 404);
  else if (!bstr_equals_text (request->method, "GET"))
    {
      if (bstr_equals_text (request->method, "DELETE"))
        delete_object (s, request, kind, name);
      else
        write_object (s, request, kind, name);
    }
  else if (parts == 2)
    {
      json_t *object = json_object_get (get_objects (s, kind), name);
      if (object != NULL)
        reply_json (request, 200, json_incref (object));
      else
        reply_empty (request, 404);
    }
  else if (http_query_value (request, "watch").len > 0)
    start_watch (s, request, kind);
  else
    list_objects (s, request, kind);
}

static void
on_closed (struct http_handler *handler, uint64_t connection)
{
  (void)handler, (void)connection;
}

static const struct http_handler_ops ops
    = { .request = on_request, .closed = on_closed };

static int
store_destructor (struct site_store *s)
{
  json_decref (s->kinds);
  json_decref (s->events);
  return 0;
}

struct site_store *
site_store_create (void *parent, const struct site_store_options *options,
                   struct error *err)
{
  struct site_store *s = talloc_zero (parent, struct site_store);
  s->handler.ops = &ops;
  s->options = *options;
  s->kinds = json_object ();
  s->events = json_array ();
  talloc_set_destructor (s, store_destructor);
  s->revision = 1;
  s->server = http_server_create (
      s,
      &(struct http_server_options){ .ev = options->ev,
                                     .address = options->address,
                                     .handler = &s->handler,
                                     .max_body = MAX_BODY_BYTES,
                                     .max_connections = MAX_CONNECTIONS,
                                     .idle_seconds = IDLE_SECONDS },
      err);
  if (s->server == NULL)
    TALLOC_FREE (s);
  return s;
}

int
site_store_port (const struct site_store *s)
{
  return http_server_port (s->server);
}
