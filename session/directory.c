#include "session/directory.h"

#include "common/compress.h"
#include "common/json_text.h"
#include "common/log.h"
#include "platform/store.h"
#include "session/fleet.h"
#include "session/voters.h"

#include <inttypes.h>

#define PART "directory"

/* Waits of watches.  A watch may miss a change in silence; a few daemons end
   theirs soon enough for the time in which a change must be in force, and
   tell the others.  Each return is a paid call. */
#define WATCH_WAIT_MS 20000
#define WATCH_SHORT_MS 1500
#define WATCH_SHORT_ENDPOINTS_MS 3000
#define SHORT_WATCHERS 2
#define CALL_TIMEOUT_MS 1500
/* Pause after a failed call, plus a random part of the same length. */
#define RETRY_US (250 * USEC_PER_MSEC)
#define RETRY_MAX_US (1000 * USEC_PER_MSEC)
/* Another daemon's newer copy is fetched if ours has not caught up by
   then. */
#define FETCH_AFTER_US (150 * USEC_PER_MSEC)
#define DOUBT_TICK_US (100 * USEC_PER_MSEC)
/* An observer waits this long for the voter that it takes copies from before
   it asks another one, and for a copy that it has asked for. */
#define SOURCE_WAIT_US (900 * USEC_PER_MSEC)
#define COPY_WAIT_US (1200 * USEC_PER_MSEC)

struct collection
{
  struct directory *directory;
  enum object_kind kind;
  json_t *items;     /**< By name. */
  json_t *building;  /**< Pages of a list that is being read. */
  uint64_t revision; /**< The items are complete up to it. */
  uint64_t digest;
  struct packet_copy copy; /**< For others; of an older revision, or empty. */
  int64_t retry_us;
  int64_t behind_since; /**< Another daemon has a newer copy; 0: none. */
  int64_t asked_at;     /**< For a copy; 0: never. */
  bool known;
  bool called; /**< A list, a watch or a retry of it is under way. */
};

struct directory
{
  struct relay *relay;
  struct collection collections[OBJECT_KIND_COUNT];
  struct endpoint_entry *endpoints;
  int endpoint_count;
  void *endpoint_memory;
  const struct config *config;
  bool store_answers;
  int64_t doubt_since; /**< Of the configuration; 0: it is the newest. */
};

static void watch (struct collection *c);
static void list (struct collection *c, const char *after);

/* Before the fleet exists nobody is. */
static bool
is_voter (const struct directory *d)
{
  return d->relay->fleet != NULL && fleet_is_voter (d->relay->fleet);
}

static void
set_store_answers (struct directory *d, bool answers, const char *reason)
{
  if (d->store_answers == answers)
    return;
  d->store_answers = answers;
  if (answers)
    log_info (PART, "event=store_regained");
  else
    log_warn (PART, "event=store_lost reason=\"%s\"", reason);
}

/* Over what is used of the entries only: copies that differ in a counter are
   equal. */
static uint64_t
digest_of_endpoints (const struct directory *d)
{
  uint64_t digest = 1;
  for (int i = 0; i < d->endpoint_count; i++)
    {
      const struct endpoint_entry *e = &d->endpoints[i];
      char *text = talloc_asprintf (NULL, "%s %s %s %" PRId64 " %d %d %d",
                                    e->id.start, e->service.start,
                                    e->address.start, e->born_ms, e->slots,
                                    e->is_draining, e->is_primary);
      digest ^= model_id (bstr_from (text));
      talloc_free (text);
    }
  return digest;
}

static void
decode_config (struct directory *d, const json_t *items)
{
  struct error err = { 0 };
  const json_t *object = json_object_get (items, objects_config_name ());
  if (object == NULL)
    return;
  struct config *config = objects_decode_config (d, object, &err);
  if (config == NULL)
    {
      log_error (PART, "event=config_rejected reason=\"%s\"", err.text);
      return;
    }
  if (d->config != NULL && config->version <= d->config->version)
    {
      talloc_free (config);
      return;
    }
  const struct config *old = d->config;
  d->config = config;
  log_info (PART,
            "event=config version=%" PRIu64 " routes=%d organisations=%d",
            config->version, config->route_count, config->organisation_count);
  relay_config_changed (d->relay, config);
  talloc_free ((void *)old);
}

static int64_t
draining_since (const struct directory *d, const struct endpoint_entry *entry)
{
  if (!entry->is_draining)
    return 0;
  for (int i = 0; i < d->endpoint_count; i++)
    if (bstr_equals (d->endpoints[i].id, entry->id)
        && d->endpoints[i].is_draining)
      return d->endpoints[i].draining_since;
  return clock_now ();
}

static void
decode_endpoints (struct directory *d, const json_t *items)
{
  const char *name;
  json_t *object;
  void *memory = talloc_new (d);
  struct endpoint_entry *entries = talloc_zero_array (
      memory, struct endpoint_entry, json_object_size (items) + 1);
  int count = 0;
  json_object_foreach ((json_t *)items, name, object)
  {
    struct error err = { 0 };
    if (objects_decode_endpoint (memory, object, &entries[count], &err))
      {
        entries[count].draining_since = draining_since (d, &entries[count]);
        count++;
      }
    else
      log_warn (PART, "event=endpoint_ignored name=\"%.40s\" reason=\"%s\"",
                name, err.text);
  }
  talloc_free (d->endpoint_memory);
  d->endpoint_memory = memory;
  d->endpoints = entries;
  d->endpoint_count = count;
  relay_endpoints_changed (d->relay);
}

static void
start_calls (struct collection *c)
{
  if (!c->called)
    list (c, NULL);
}

static void
read_voters (struct directory *d)
{
  voters_read (d->relay->voters,
               json_object_get (d->collections[OBJECT_VOTERS].items,
                                objects_voters_name ()));
  for (int kind = 0; kind < OBJECT_KIND_COUNT && is_voter (d); kind++)
    start_calls (&d->collections[kind]);
}

static void
items_changed (struct collection *c)
{
  struct directory *d = c->directory;
  c->known = true;
  c->behind_since = 0;
  if (c->kind == OBJECT_CONFIG)
    decode_config (d, c->items);
  else if (c->kind == OBJECT_ENDPOINTS)
    {
      decode_endpoints (d, c->items);
      c->digest = digest_of_endpoints (d);
    }
  else
    {
      read_voters (d);
      c->digest = voters_list (d->relay->voters)->epoch;
    }
}

static void
on_retry (void *data)
{
  struct collection *c = data;
  if (c->known && c->revision > 0)
    watch (c);
  else
    list (c, NULL);
}

static void
retry_later (struct collection *c, const struct error *err)
{
  c->called = true;
  set_store_answers (c->directory, false, err->text);
  if (c->retry_us < RETRY_US)
    c->retry_us = RETRY_US;
  relay_after (c->directory->relay, c->directory,
               c->retry_us + relay_random ((uint32_t)c->retry_us), on_retry,
               c);
  c->retry_us *= 2;
  if (c->retry_us > RETRY_MAX_US)
    c->retry_us = RETRY_MAX_US;
}

static void
on_list (void *data, const struct error *err, const json_t *body)
{
  struct collection *c = data;
  const json_t *object;
  size_t i;
  struct bstr last = { NULL, 0 };
  if (err->code != ERROR_NONE)
    {
      retry_later (c, err);
      return;
    }
  c->retry_us = 0;
  set_store_answers (c->directory, true, "");
  json_array_foreach (store_items (body), i, object)
  {
    last = objects_name (object);
    if (last.start != NULL)
      json_object_set (c->building, last.start, (json_t *)object);
  }
  if (store_has_more (body) && last.start != NULL)
    {
      char *after = bstr_to_text (c->directory, last);
      list (c, after);
      talloc_free (after);
      return;
    }
  uint64_t revision = store_revision (body);
  if (revision > c->revision || !c->known)
    {
      json_decref (c->items);
      c->items = json_incref (c->building);
      c->revision = revision;
      items_changed (c);
    }
  else if (c->kind == OBJECT_VOTERS)
    read_voters (c->directory);
  watch (c);
}

static void
list (struct collection *c, const char *after)
{
  c->called = true;
  if (after == NULL)
    {
      json_decref (c->building);
      c->building = json_object ();
    }
  store_list (c->directory->relay->store, objects_kind_name (c->kind), after,
              CALL_TIMEOUT_MS, on_list, c);
}

/* A copy from another daemon may be newer than some of the events. */
static bool
apply_event (struct collection *c, const json_t *event)
{
  bool deleted;
  const json_t *object = store_event_object (event, &deleted);
  struct bstr name = objects_name (object);
  if (name.start == NULL)
    return false;
  const json_t *present = json_object_get (c->items, name.start);
  if (present != NULL
      && objects_revision (object) < objects_revision (present))
    return false;
  if (deleted)
    return json_object_del (c->items, name.start) == 0;
  if (json_equal (present, object))
    return false;
  json_object_set (c->items, name.start, (json_t *)object);
  return true;
}

static void
on_watch (void *data, const struct error *err, const json_t *body)
{
  struct collection *c = data;
  const json_t *event;
  size_t i;
  bool changed = false;
  if (err->code == ERROR_REFUSED)
    {
      log_info (PART, "event=history_gone kind=%s revision=%" PRIu64,
                objects_kind_name (c->kind), c->revision);
      list (c, NULL);
      return;
    }
  if (err->code != ERROR_NONE)
    {
      retry_later (c, err);
      return;
    }
  c->retry_us = 0;
  set_store_answers (c->directory, true, "");
  if (store_revision (body) > c->revision)
    {
      json_array_foreach (store_events (body), i, event) changed
          |= apply_event (c, event);
      c->revision = store_revision (body);
    }
  if (changed)
    items_changed (c);
  else if (c->kind == OBJECT_VOTERS)
    read_voters (c->directory);
  watch (c);
}

static int
watch_wait (const struct collection *c)
{
  const struct relay *r = c->directory->relay;
  if (c->kind == OBJECT_VOTERS
      || fleet_store_rank (r->fleet) >= SHORT_WATCHERS)
    return WATCH_WAIT_MS;
  return c->kind == OBJECT_CONFIG ? WATCH_SHORT_MS : WATCH_SHORT_ENDPOINTS_MS;
}

static void
watch (struct collection *c)
{
  c->called = is_voter (c->directory);
  if (!c->called)
    return;
  store_watch (c->directory->relay->store, objects_kind_name (c->kind),
               c->revision, watch_wait (c), on_watch, c);
}

static int
directory_destructor (struct directory *d)
{
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      json_decref (d->collections[kind].items);
      json_decref (d->collections[kind].building);
    }
  return 0;
}

static void on_doubt_tick (void *data);

struct directory *
directory_create (struct relay *r)
{
  struct directory *d = talloc_zero (r, struct directory);
  talloc_set_destructor (d, directory_destructor);
  d->relay = r;
  d->store_answers = true;
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      struct collection *c = &d->collections[kind];
      c->directory = d;
      c->kind = (enum object_kind)kind;
      c->items = json_object ();
    }
  list (&d->collections[OBJECT_VOTERS], NULL);
  relay_every (r, d, DOUBT_TICK_US, on_doubt_tick, d);
  return d;
}

const struct endpoint_entry *
directory_endpoints (const struct directory *d, int *count)
{
  *count = d->endpoint_count;
  return d->endpoints;
}

/* Another daemon has a newer one, or there is no majority that would tell. */
static bool
is_config_doubtful (const struct directory *d)
{
  return d->collections[OBJECT_CONFIG].behind_since != 0
         || !fleet_in_quorum (d->relay->fleet);
}

static void
on_doubt_tick (void *data)
{
  struct directory *d = data;
  if (!is_config_doubtful (d))
    d->doubt_since = 0;
  else if (d->doubt_since == 0)
    d->doubt_since = clock_now ();
}

int64_t
directory_config_doubt (const struct directory *d)
{
  int64_t now = clock_now ();
  if (!is_config_doubtful (d))
    return 0;
  return d->doubt_since != 0 && now > d->doubt_since ? now - d->doubt_since
                                                     : 1;
}

bool
directory_has (const struct directory *d, enum object_kind kind)
{
  return d->collections[kind].known;
}

bool
directory_store_answers (const struct directory *d)
{
  return d->store_answers;
}

uint64_t
directory_revision (const struct directory *d, enum object_kind kind)
{
  return d->collections[kind].revision;
}

uint64_t
directory_digest (const struct directory *d, enum object_kind kind)
{
  return d->collections[kind].digest;
}

void
directory_read_voters (struct directory *d)
{
  start_calls (&d->collections[OBJECT_VOTERS]);
}

static bool
is_newer (const struct directory *d, enum object_kind kind,
          const struct packet_heartbeat *h)
{
  const struct collection *c = &d->collections[kind];
  if (kind == OBJECT_CONFIG)
    return h->config_version > (d->config != NULL ? d->config->version : 0);
  return h->revision[kind] > c->revision && h->digest[kind] != c->digest
         && h->digest[kind] != 0;
}

/* A voter waits for its own watch first.  An observer asks its source. */
static bool
should_fetch (struct collection *c, uint64_t member, int64_t now)
{
  const struct directory *d = c->directory;
  if (c->behind_since == 0)
    c->behind_since = now;
  int64_t behind = now - c->behind_since;
  if (is_voter (d))
    return !c->known
           || (behind >= FETCH_AFTER_US
               && now - c->asked_at >= FETCH_AFTER_US);
  if (c->kind == OBJECT_ENDPOINTS
      || (c->asked_at != 0 && now - c->asked_at < COPY_WAIT_US))
    return false;
  uint64_t source = fleet_copy_source (d->relay->fleet);
  return source == 0 || member == source || behind >= SOURCE_WAIT_US;
}

void
directory_compare (struct directory *d, uint64_t member,
                   const struct packet_heartbeat *h)
{
  int64_t now = clock_now ();
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      struct collection *c = &d->collections[kind];
      if (!is_newer (d, (enum object_kind)kind, h)
          || !should_fetch (c, member, now))
        continue;
      c->asked_at = now;
      struct packet m = { .kind = PACKET_FETCH };
      m.copy.kind = (enum object_kind)kind;
      fleet_send (d->relay->fleet, member, &m);
    }
}

/* Many daemons ask for the same copy; it is made once. */
static bool
make_copy (struct collection *c)
{
  struct directory *d = c->directory;
  struct error err = { 0 };
  if (c->copy.items.len > 0 && c->copy.revision == c->revision)
    return true;
  struct bstr text = json_text_take (d, json_incref (c->items), JSON_COMPACT);
  talloc_free ((char *)c->copy.items.start);
  c->copy = (struct packet_copy){ .kind = c->kind,
                                  .revision = c->revision,
                                  .items = compress_text (d, text, &err),
                                  .length = text.len };
  talloc_free ((char *)text.start);
  if (c->copy.items.len > 0)
    return true;
  log_error (PART, "event=copy_failed kind=%s reason=\"%s\"",
             objects_kind_name (c->kind), err.text);
  return false;
}

void
directory_send_copy (struct directory *d, uint64_t member,
                     enum object_kind kind)
{
  struct collection *c = &d->collections[kind];
  if (!c->known || !make_copy (c))
    return;
  struct packet m = { .kind = PACKET_COPY, .copy = c->copy };
  fleet_send (d->relay->fleet, member, &m);
}

void
directory_adopt (struct directory *d, const struct packet_copy *copy)
{
  struct collection *c = &d->collections[copy->kind];
  if (copy->revision <= c->revision && c->known)
    return;
  struct error err = { 0 };
  struct bstr text = compress_restore (d, copy->items, copy->length, &err);
  json_t *items
      = text.len > 0 ? json_loadb (text.start, text.len, 0, NULL) : NULL;
  talloc_free ((char *)text.start);
  if (!json_is_object (items))
    {
      log_warn (PART, "event=copy_rejected kind=%s reason=\"%s\"",
                objects_kind_name (copy->kind),
                err.code != ERROR_NONE ? err.text : "it is no JSON object");
      json_decref (items);
      return;
    }
  log_info (PART,
            "event=copy_adopted kind=%s revision=%" PRIu64
            " old_revision=%" PRIu64,
            objects_kind_name (copy->kind), copy->revision, c->revision);
  json_decref (c->items);
  c->items = items;
  c->revision = copy->revision;
  items_changed (c);
}
