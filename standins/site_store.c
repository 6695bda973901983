#include "standins/site.h"

#include "common/json_text.h"
#include "common/log.h"
#include "net/http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "store"
#define MAX_BODY_BYTES ((size_t)1 << 20)
#define MAX_CONNECTIONS 500
#define IDLE_SECONDS 60
#define MAX_PATH_BYTES 200
#define MAX_PAGE_ITEMS ((size_t)500)
/* Objects of one kind that can be listed; further ones are left out. */
#define MAX_LISTED_ITEMS ((size_t)2000)
/* Start of the spec, a string, that stands for a text in raw_specs. */
#define RAW_SPEC_START "\"raw-spec-"

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
  bool down;        /**< Answer every call with 503. */
  bool orders_down; /**< Answer every promotion order with 503. */
  /** Id of the daemon that was the first to write a promotion record since
   * refuse_first_holder was set; NULL: none yet. */
  char *first_holder;
  bool refuse_first_holder; /**< Refuse all promotion records of
                               first_holder. */
  bool refuse_all_holders;  /**< Refuse all promotion records. */
  bool lose_answers;        /**< Run writes, but answer them with 500. */
  uint64_t era;      /**< Number of restores plus 1; header Store-Era. */
  uint64_t requests; /**< Calls but those of the test. */
  /** Copy of kinds, events, revision and oldest_revision; NULL: none. */
  json_t *snapshot;
  /** What the operator and the databases wrote last, in this order:
   * {kind, name, spec}; the spec of a deleted object is null. */
  json_t *outside_writes;
  struct tevent_timer *rewrite_timer; /**< NULL: no rewrite is due. */
  /** Texts that answers contain in place of the specs with their names. */
  json_t *raw_specs;
  /** Changes between the first two pages of the next list of a kind:
   * {kind, changes, hold_ms, last_change}, each change the body of a call of
   * the test.  The second page is answered hold_ms later, after last_change.
   * NULL: none are due. */
  json_t *page_changes;
};

static bool apply_control (struct site_store *s, const json_t *body);

static void
reply_text (const struct site_store *s, struct http_request *request,
            unsigned status, struct bstr text)
{
  char *era = talloc_asprintf (NULL, "%" PRIu64, s->era);
  const struct http_header headers[]
      = { { "Store-Era", era }, { NULL, NULL } };
  http_reply (request, status, "application/json", text, headers);
  talloc_free (era);
}

static void
reply_json (const struct site_store *s, struct http_request *request,
            unsigned status, json_t *body)
{
  void *scratch = talloc_new (NULL);
  reply_text (s, request, status,
              json_text_take (scratch, body, JSON_COMPACT));
  talloc_free (scratch);
}

/* Reply with objects; a spec that is a name in raw_specs becomes its text. */
static void
reply_objects (const struct site_store *s, struct http_request *request,
               json_t *body)
{
  void *scratch = talloc_new (NULL);
  struct bstr rest = json_text_take (scratch, body, JSON_COMPACT);
  char *text = talloc_strdup (scratch, "");
  const char *mark;
  while ((mark = strstr (rest.start, RAW_SPEC_START)) != NULL)
    {
      const char *name = mark + 1, *end = strchr (name, '"');
      struct bstr key = { name, (size_t)(end - name) };
      const char *raw = json_string_value (
          json_object_get (s->raw_specs, bstr_to_text (scratch, key)));
      text = talloc_asprintf_append_buffer (
          text, "%.*s%s", (int)(mark - rest.start), rest.start, raw);
      rest = bstr_from (end + 1);
    }
  text = talloc_strdup_append_buffer (text, rest.start);
  reply_text (s, request, 200, bstr_from (text));
  talloc_free (scratch);
}

static void
reply_empty (const struct site_store *s, struct http_request *request,
             unsigned status)
{
  reply_json (s, request, status, json_object ());
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

static void
unlink_watch (struct watcher *w)
{
  struct watcher **at = &w->store->watchers;
  while (*at != w)
    at = &(*at)->next;
  *at = w->next;
}

/* Answer a watch with the events since its start, and free it. */
static void
finish_watch (struct watcher *w)
{
  struct site_store *s = w->store;
  json_t *events = events_since (s, w->kind, w->since);
  unlink_watch (w);
  reply_objects (s, w->request,
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

/* Create or replace an object, unless its spec stays the same.
   @param spec its reference is taken over. */
static void
put_object (struct site_store *s, const char *kind, const char *name,
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

static void
remove_object (struct site_store *s, const char *kind, const char *name)
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

/* Remember a write of the operator or of a database as the newest one.
   @param spec its reference is taken over. */
static void
record_outside_write (struct site_store *s, const char *kind, const char *name,
                      json_t *spec)
{
  json_t *write;
  size_t i;
  json_array_foreach (s->outside_writes, i, write)
  {
    if (strcmp (json_string_value (json_object_get (write, "kind")), kind) != 0
        || strcmp (json_string_value (json_object_get (write, "name")), name)
               != 0)
      continue;
    if (json_equal (json_object_get (write, "spec"), spec))
      {
        json_decref (spec);
        return;
      }
    json_array_remove (s->outside_writes, i);
    break;
  }
  json_array_append_new (
      s->outside_writes,
      json_pack ("{s:s, s:s, s:o}", "kind", kind, "name", name, "spec", spec));
}

void
site_store_write (struct site_store *s, const char *kind, const char *name,
                  json_t *spec)
{
  record_outside_write (s, kind, name, json_incref (spec));
  put_object (s, kind, name, spec);
}

void
site_store_delete (struct site_store *s, const char *kind, const char *name)
{
  record_outside_write (s, kind, name, json_null ());
  remove_object (s, kind, name);
}

/* Restores from a copy. */

static void
take_snapshot (struct site_store *s)
{
  json_decref (s->snapshot);
  s->snapshot = json_pack (
      "{s:o, s:o, s:I, s:I}", "kinds", json_deep_copy (s->kinds), "events",
      json_copy (s->events), "revision", (json_int_t)s->revision,
      "oldest_revision", (json_int_t)s->oldest_revision);
}

/* Write again what a restore has lost of the operator's and the databases'
   writes.  What the daemons wrote stays lost. */
static void
rewrite_outside (struct site_store *s)
{
  json_t *write;
  size_t i;
  json_array_foreach (s->outside_writes, i, write)
  {
    const char *kind = json_string_value (json_object_get (write, "kind"));
    const char *name = json_string_value (json_object_get (write, "name"));
    json_t *spec = json_object_get (write, "spec");
    if (json_is_null (spec))
      remove_object (s, kind, name);
    else
      put_object (s, kind, name, json_incref (spec));
  }
}

static void
on_rewrite_due (struct tevent_context *ev, struct tevent_timer *timer,
                struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct site_store *s = data;
  s->rewrite_timer = NULL;
  rewrite_outside (s);
}

/* End the watches that wait, without events if @p with_answer, otherwise with
   503. */
static void
end_watches (struct site_store *s, bool with_answer)
{
  while (s->watchers != NULL)
    {
      struct watcher *w = s->watchers;
      unlink_watch (w);
      if (with_answer)
        reply_json (s, w->request, 200,
                    json_pack ("{s:[], s:I}", "events", "store-revision",
                               (json_int_t)s->revision));
      else
        reply_empty (s, w->request, 503);
      talloc_free (w);
    }
}

/* Put the copy back, which the next restore can use again.
   @param rewrite_ms time until the operator's and the databases' writes are
   repeated; -1: they are not.
   @return false if there is no copy. */
static bool
restore_snapshot (struct site_store *s, json_int_t rewrite_ms,
                  bool answers_watches)
{
  if (s->snapshot == NULL)
    return false;
  json_decref (s->kinds);
  json_decref (s->events);
  s->kinds = json_deep_copy (json_object_get (s->snapshot, "kinds"));
  s->events = json_copy (json_object_get (s->snapshot, "events"));
  s->revision = (uint64_t)json_integer_value (
      json_object_get (s->snapshot, "revision"));
  s->oldest_revision = (uint64_t)json_integer_value (
      json_object_get (s->snapshot, "oldest_revision"));
  s->era++;
  end_watches (s, answers_watches);
  TALLOC_FREE (s->rewrite_timer);
  if (rewrite_ms == 0)
    rewrite_outside (s);
  else if (rewrite_ms > 0)
    s->rewrite_timer = tevent_add_timer (
        s->options.ev, s,
        tevent_timeval_current_ofs ((uint32_t)rewrite_ms / 1000,
                                    (uint32_t)rewrite_ms % 1000 * 1000),
        on_rewrite_due, s);
  return true;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/** A request for a page that is answered later. */
struct held_page
{
  struct site_store *store;
  struct http_request *request;
  char *kind;
  json_t *last_change; /**< Applied before the answer. */
};

static void list_objects (struct site_store *s, struct http_request *request,
                          const char *kind);

static void
on_hold_over (struct tevent_context *ev, struct tevent_timer *timer,
              struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct held_page *h = data;
  if (!apply_control (h->store, h->last_change))
    log_error (PART, "event=page_change_failed index=last");
  json_decref (h->last_change);
  list_objects (h->store, h->request, h->kind);
  talloc_free (h);
}

/* Apply the changes that are due before the second page of a list of
   @p kind.
   @return whether the page is answered later. */
static bool
apply_page_changes (struct site_store *s, struct http_request *request,
                    const char *kind)
{
  json_t *due = s->page_changes, *change;
  const char *due_kind = json_string_value (json_object_get (due, "kind"));
  size_t i;
  if (due_kind == NULL || strcmp (due_kind, kind) != 0)
    return false;
  s->page_changes = NULL;
  json_array_foreach (json_object_get (due, "changes"), i,
                      change) if (!apply_control (s, change))
      log_error (PART, "event=page_change_failed index=%zu", i);
  uint32_t hold_ms
      = (uint32_t)json_integer_value (json_object_get (due, "hold_ms"));
  if (hold_ms > 0)
    {
      struct held_page *h = talloc_zero (s, struct held_page);
      *h = (struct held_page){
        .store = s,
        .request = request,
        .kind = talloc_strdup (h, kind),
        .last_change = json_incref (json_object_get (due, "last_change")),
      };
      tevent_add_timer (
          s->options.ev, h,
          tevent_timeval_current_ofs (hold_ms / 1000, hold_ms % 1000 * 1000),
          on_hold_over, h);
    }
  json_decref (due);
  return hold_ms > 0;
}

/* Answer with one page of the objects of a kind, in order of their names. */
static void
list_objects (struct site_store *s, struct http_request *request,
              const char *kind)
{
  struct bstr after = http_query_value (request, "after");
  if (after.len > 0 && apply_page_changes (s, request, kind))
    return;
  json_t *objects = get_objects (s, kind), *items = json_array (), *object;
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
  reply_objects (s, request,
                 json_pack ("{s:o, s:b, s:I}", "items", items, "has-more",
                            more, "store-revision", (json_int_t)s->revision));
}

/* Answer with the changes since a revision, or wait for the next one.  A watch
   that would need forgotten history, or starts from a revision that the store
   does not have, is answered with 410. */
static void
start_watch (struct site_store *s, struct http_request *request,
             const char *kind)
{
  struct bstr since = http_query_value (request, "watch");
  struct bstr wait = http_query_value (request, "wait-ms");
  uint64_t revision = strtoull (since.start, NULL, 10);
  long wait_ms = wait.len > 0 ? strtol (wait.start, NULL, 10) : 0;
  if (revision < s->oldest_revision || revision > s->revision)
    {
      reply_empty (s, request, 410);
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
    put_object (s, kind, name, json_incref (json_object_get (body, "spec")));
  json_t *answer
      = name != NULL ? json_object_get (get_objects (s, kind), name) : NULL;
  if (status == 200 && lose)
    reply_empty (s, request, 500);
  else
    reply_json (s, request, status,
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
    reply_empty (s, request, 404);
  else if (expected.len > 0
           && strtoll (expected.start, NULL, 10) != current_revision)
    reply_json (s, request, 409, json_incref (old));
  else
    {
      remove_object (s, kind, name);
      reply_empty (s, request, 200);
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
                                 http_header_value (request, "X-Duty-Holder"),
                                 strtoull (token.start, NULL, 10));
  reply_empty (s, request, status);
  json_decref (body);
}

/* Write an object whose spec is the text of @p raw in all answers; it need not
   be valid JSON. */
static void
write_raw (struct site_store *s, const json_t *raw)
{
  const char *kind = json_string_value (json_object_get (raw, "kind"));
  const char *name = json_string_value (json_object_get (raw, "name"));
  char spec[32];
  snprintf (spec, sizeof spec, "raw-spec-%zu",
            json_object_size (s->raw_specs));
  json_object_set (s->raw_specs, spec, json_object_get (raw, "spec"));
  site_store_write (s, kind, name, json_string (spec));
}

/* Do what a test's call asks for.
   @return false if it names what does not exist. */
static bool
apply_control (struct site_store *s, const json_t *body)
{
  const char *database
      = json_string_value (json_object_get (body, "database"));
  const char *fault = json_string_value (json_object_get (body, "fault"));
  json_t *config = json_object_get (body, "config");
  json_t *page_changes = json_object_get (body, "page_changes");
  const json_t *raw = json_object_get (body, "raw");
  const json_t *removed = json_object_get (body, "remove");
  bool ok = true;
  if (database != NULL && fault != NULL)
    ok = s->options.set_fault (s->options.data, database, fault);
  if (json_object_get (body, "down") != NULL)
    s->down = json_is_true (json_object_get (body, "down"));
  if (json_object_get (body, "orders_down") != NULL)
    s->orders_down = json_is_true (json_object_get (body, "orders_down"));
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
  if (json_is_true (json_object_get (body, "snapshot")))
    take_snapshot (s);
  if (json_is_true (json_object_get (body, "restore")))
    ok = restore_snapshot (
             s, json_integer_value (json_object_get (body, "rewrite_ms")),
             json_is_true (json_object_get (body, "answer_watches")))
         && ok;
  if (removed != NULL)
    site_store_delete (s,
                       json_string_value (json_object_get (removed, "kind")),
                       json_string_value (json_object_get (removed, "name")));
  if (raw != NULL)
    write_raw (s, raw);
  if (config != NULL)
    site_store_write (s, "config", "main", json_incref (config));
  if (page_changes != NULL)
    {
      json_decref (s->page_changes);
      s->page_changes = json_incref (page_changes);
    }
  return ok;
}

/* Serve a test's call to set faults or read the observations; the platform has
   no such call. */
static void
serve_control (struct site_store *s, struct http_request *request)
{
  json_t *body = json_loadb (request->body.start, request->body.len, 0, NULL);
  if (bstr_equals_text (request->method, "GET"))
    {
      json_t *observations = s->options.get_observations (s->options.data);
      json_object_set_new (observations, "requests",
                           json_integer ((json_int_t)s->requests));
      json_object_set_new (observations, "revision",
                           json_integer ((json_int_t)s->revision));
      json_object_set_new (observations, "page_changes_due",
                           json_boolean (s->page_changes != NULL));
      reply_json (s, request, 200, observations);
    }
  else
    reply_empty (s, request, apply_control (s, body) ? 200 : 404);
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
  s->requests++;
  bool is_order = strcmp (path, "/promote") == 0;
  if (s->down || (is_order && s->orders_down))
    {
      reply_empty (s, request, 503);
      return;
    }
  if (is_order)
    {
      serve_promote (s, request);
      return;
    }
  int parts = sscanf (path, "/v1/objects/%100[^/]/%90[^/]", kind, name);
  if (parts < 1)
    reply_empty (s, request, 404);
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
        reply_objects (s, request, json_incref (object));
      else
        reply_empty (s, request, 404);
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
  json_decref (s->snapshot);
  json_decref (s->outside_writes);
  json_decref (s->raw_specs);
  json_decref (s->page_changes);
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
  s->outside_writes = json_array ();
  s->era = 1;
  s->raw_specs = json_object ();
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
