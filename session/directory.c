#include "session/directory.h"

#include "common/compress.h"
#include "common/json_text.h"
#include "common/log.h"
#include "platform/store.h"
#include "session/evacuation.h"
#include "session/fleet.h"
#include "session/voters.h"

#include <inttypes.h>

#define PART "directory"

/* Time-outs of the watches.  A watch may silently miss a change.  Therefore
   SHORT_WATCH_MEMBERS members use time-outs that are shorter than the time
   within which a change must be in force, and report the change to the others.
   Not all do so, as each watch that returns is a paid call. */
#define WATCH_TIMEOUT_MS 20000
#define WATCH_SHORT_CONFIG_MS 1500
#define WATCH_SHORT_ENDPOINTS_MS 3000
#define SHORT_WATCH_MEMBERS 2
/* Time-out of the first watch after a failed call. */
#define RECONNECT_WATCH_MS 1
/* Time-out of a call that lists a collection. */
#define CALL_TIMEOUT_MS 1500
/* Pause after the first failed call.  It doubles with each further one, up to
   RETRY_MAX_US; a random time of at most the same length is added. */
#define RETRY_US (250 * USEC_PER_MSEC)
#define RETRY_MAX_US (1000 * USEC_PER_MSEC)
/* Another member's newer copy is fetched if the own watch has not caught up
   after this time. */
#define FETCH_DELAY_US (150 * USEC_PER_MSEC)
/* Period of the checks whether the configuration may be out of date. */
#define TICK_US (100 * USEC_PER_MSEC)
/* An endpoint that has drained and left is remembered for this time. */
#define DRAINING_FORGET_US (120 * USEC_PER_SEC)
/* An observer waits for SOURCE_WAIT_US for the voter that it fetches copies
   from before it asks another one, and for COPY_WAIT_US for a copy that it has
   requested. */
#define SOURCE_WAIT_US (900 * USEC_PER_MSEC)
#define COPY_WAIT_US (1200 * USEC_PER_MSEC)

/** The local copy of one collection of the store, and the calls that keep it
 * up to date. */
struct collection
{
  struct directory *directory;
  enum object_kind kind;
  json_t *items; /**< Objects by name. */
  /** Objects of the pages that the running list call has read so far. */
  json_t *pending_items;
  uint64_t pending_revision; /**< Revision of the first one of these pages. */
  int pending_pages;         /**< Number of these pages. */
  /** The items include all changes up to it, and possibly later ones. */
  uint64_t revision;
  uint64_t digest; /**< See directory_digest. */
  /** Cached copy for other members; may be empty or of an older revision. */
  struct packet_copy copy;
  int64_t retry_us; /**< Pause before the next retry; 0: no call failed. */
  int64_t failing_since; /**< When a call failed first; 0: none has failed
                            since one succeeded. */
  bool is_reconnecting;  /**< No watch was answered since a call failed. */
  /** The store has refused a watch since one was answered. */
  bool watch_refused;
  /** Since when another member has had a newer revision; 0: none has. */
  int64_t behind_since;
  int64_t requested_at; /**< Time of the last request for a copy; 0: never. */
  bool is_known;        /**< See directory_has. */
  /** A list or watch call is running, or a retry is scheduled. */
  bool has_call;
  /** OBJECT_EVACUATIONS: how the newest items became known. */
  struct evacuation_source source;
};

/** A process of an endpoint that was seen to drain. */
struct draining_endpoint
{
  struct bstr id;
  int64_t born_ms;
  int64_t since;   /**< Own clock when it was first seen to drain. */
  int64_t seen_at; /**< Own clock when it was last in a list. */
};

/** The collections, and what was decoded from them. */
struct directory
{
  struct sessiond *sessiond;
  struct collection collections[OBJECT_KIND_COUNT];
  struct endpoint_entry *endpoints;
  int endpoint_count;
  /** Endpoints stay draining even if a store that was restored from a copy
   * shows them as ready, or not at all, for a while. */
  struct draining_endpoint *draining;
  int draining_count;
  int domain_count; /**< See directory_domain_count. */
  void *endpoint_memory;
  /** Why entries of endpoints are ignored, by name; these were logged. */
  json_t *ignored;
  const struct config *config;
  json_t *config_object; /**< The object that holds it. */
  bool reaches_store;
  /** Since when the store has not been reached, at first the time of the
   * start; 0: it is reached. */
  int64_t store_lost_since;
  /** Since when it has been uncertain whether the configuration is the newest
   * one; 0: it is the newest. */
  int64_t uncertain_since;
};

static void start_watch (struct collection *c);
static void start_list (struct collection *c, const char *after);

/* @return whether this member is a voter; false before the fleet module has
   been created. */
static bool
is_voter (const struct directory *d)
{
  return d->sessiond->fleet != NULL && fleet_is_voter (d->sessiond->fleet);
}

static void
set_reaches_store (struct directory *d, bool reaches, const char *reason)
{
  if (d->reaches_store == reaches)
    return;
  d->reaches_store = reaches;
  if (!reaches && d->store_lost_since == 0)
    d->store_lost_since = clock_now ();
  if (reaches)
    log_info (PART, "event=store_regained");
  else
    log_warn (PART, "event=store_lost reason=\"%s\"",
              LOG_TEXT (bstr_from (reason)));
}

/* @return a digest of those fields of the entries that the session daemon
   uses, so that entries that differ only in a counter are equal. */
static uint64_t
compute_endpoints_digest (const struct directory *d)
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

/* Keep the newest configuration in the collection, for the copies that other
   members request: a store that was restored from a copy shows an older one
   for a while, or none. */
static void
keep_newest_config (struct directory *d, json_t *items)
{
  if (d->config_object != NULL)
    json_object_set (items, objects_config_name (), d->config_object);
}

static void
decode_config (struct directory *d, json_t *items)
{
  struct error err = { 0 };
  json_t *object = json_object_get (items, objects_config_name ());
  if (object == NULL)
    {
      keep_newest_config (d, items);
      return;
    }
  struct config *config = objects_decode_config (d, object, &err);
  if (config == NULL)
    {
      log_error (PART, "event=config_rejected reason=\"%s\"", err.text);
      keep_newest_config (d, items);
      return;
    }
  if (d->config != NULL && config->version <= d->config->version)
    {
      if (config->version < d->config->version)
        {
          log_warn (PART,
                    "event=config_ignored version=%" PRIu64
                    " present_version=%" PRIu64,
                    config->version, d->config->version);
          keep_newest_config (d, items);
        }
      talloc_free (config);
      return;
    }
  json_decref (d->config_object);
  d->config_object = json_incref (object);
  const struct config *old = d->config;
  d->config = config;
  log_info (PART,
            "event=config version=%" PRIu64 " routes=%d organisations=%d",
            config->version, config->route_count, config->organisation_count);
  sessiond_config_changed (d->sessiond, config);
  talloc_free ((void *)old);
}

static struct draining_endpoint *
find_draining (const struct directory *d, const struct endpoint_entry *entry)
{
  for (int i = 0; i < d->draining_count; i++)
    if (d->draining[i].born_ms == entry->born_ms
        && bstr_equals (d->draining[i].id, entry->id))
      return &d->draining[i];
  return NULL;
}

/* Complete an entry by the time since when the endpoint drains.  An endpoint
   that drains ends; only another process with its id can be ready again. */
static void
update_draining (struct directory *d, struct endpoint_entry *entry)
{
  int64_t now = clock_now ();
  struct draining_endpoint *known = find_draining (d, entry);
  if (known == NULL && entry->is_draining)
    {
      d->draining = talloc_realloc (d, d->draining, struct draining_endpoint,
                                    (size_t)d->draining_count + 1);
      known = &d->draining[d->draining_count++];
      *known = (struct draining_endpoint){ .id = bstr_copy (d, entry->id),
                                           .born_ms = entry->born_ms,
                                           .since = now };
    }
  if (known == NULL)
    return;
  known->seen_at = now;
  entry->is_draining = true;
  entry->draining_since = known->since;
}

/* Forget endpoints that have left. */
static void
forget_draining (struct directory *d)
{
  int64_t now = clock_now ();
  for (int i = d->draining_count - 1; i >= 0; i--)
    if (now - d->draining[i].seen_at > DRAINING_FORGET_US)
      {
        talloc_free ((char *)d->draining[i].id.start);
        d->draining[i] = d->draining[--d->draining_count];
      }
}

static int
count_domains (const struct endpoint_entry *entries, int count)
{
  int domains = 0;
  for (int i = 0; i < count; i++)
    {
      int k = 0;
      while (k < i
             && !bstr_equals (entries[k].failure_domain,
                              entries[i].failure_domain))
        k++;
      domains += k == i;
    }
  return domains;
}

/* Record in @p ignored that an entry is ignored; log it, unless the same was
   logged when the entries were decoded last. */
static void
note_ignored (struct directory *d, json_t *ignored, const char *name,
              const char *reason)
{
  const char *before = json_string_value (json_object_get (d->ignored, name));
  if (before == NULL || strcmp (before, reason) != 0)
    log_warn (PART, "event=endpoint_ignored name=\"%s\" reason=\"%s\"",
              LOG_TEXT (bstr_from (name)), reason);
  json_object_set_new (ignored, name, json_string (reason));
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
  json_t *ignored = json_object ();
  json_object_foreach ((json_t *)items, name, object)
  {
    struct error err = { 0 };
    if (objects_decode_endpoint (memory, object, &entries[count], &err))
      {
        update_draining (d, &entries[count]);
        count++;
      }
    else
      note_ignored (d, ignored, name, err.text);
  }
  json_decref (d->ignored);
  d->ignored = ignored;
  forget_draining (d);
  talloc_free (d->endpoint_memory);
  d->endpoint_memory = memory;
  d->endpoints = entries;
  d->endpoint_count = count;
  d->domain_count = count_domains (entries, count);
  sessiond_endpoints_changed (d->sessiond);
}

/* @return the number of kinds that this member reads. */
static int
count_kinds (const struct directory *d)
{
  return d->sessiond->options->evacuation_ms > 0 ? OBJECT_KIND_COUNT
                                                 : OBJECT_EVACUATIONS;
}

/* Pass the list of evacuated domains on. */
static void
decode_evacuations (struct collection *c)
{
  struct directory *d = c->directory;
  const char *name;
  json_t *object;
  int count = 0;
  struct bstr *names
      = talloc_array (d, struct bstr, json_object_size (c->items) + 1);
  c->digest = 1;
  json_object_foreach (c->items, name, object)
  {
    struct bstr domain = objects_decode_evacuation (object);
    if (domain.len == 0)
      continue;
    c->digest ^= model_id (domain);
    names[count++] = domain;
  }
  evacuations_apply (d->sessiond->evacuations, names, count, c->source);
  c->source = (struct evacuation_source){ .may_be_old = false };
  talloc_free (names);
}

static void
start_reading (struct collection *c)
{
  if (!c->has_call)
    start_list (c, NULL);
}

/* A member that is a voter watches all collections. */
static void
follow_voters (struct directory *d)
{
  for (int kind = 0; kind < count_kinds (d) && is_voter (d); kind++)
    start_reading (&d->collections[kind]);
  d->collections[OBJECT_VOTERS].digest
      = voters_list (d->sessiond->voters)->epoch;
}

/* Apply the list of voters that was read. */
static void
apply_voters (struct directory *d)
{
  voters_apply (d->sessiond->voters,
                json_object_get (d->collections[OBJECT_VOTERS].items,
                                 objects_voters_name ()),
                d->collections[OBJECT_VOTERS].revision);
  follow_voters (d);
}

/* Apply the list of voters of another member.  It may be newer than that in a
   store that was restored, so it does not replace what was read there. */
static void
apply_voters_copy (struct collection *c, const json_t *items)
{
  struct directory *d = c->directory;
  c->is_known = true;
  c->behind_since = 0;
  voters_apply_copy (d->sessiond->voters,
                     json_object_get (items, objects_voters_name ()));
  follow_voters (d);
}

static void
apply_items (struct collection *c)
{
  struct directory *d = c->directory;
  c->is_known = true;
  c->behind_since = 0;
  /* The items may change without a new revision. */
  c->copy.revision = 0;
  if (c->kind == OBJECT_CONFIG)
    decode_config (d, c->items);
  else if (c->kind == OBJECT_ENDPOINTS)
    {
      decode_endpoints (d, c->items);
      c->digest = compute_endpoints_digest (d);
    }
  else if (c->kind == OBJECT_EVACUATIONS)
    decode_evacuations (c);
  else
    apply_voters (d);
}

static void
on_retry (void *data)
{
  struct collection *c = data;
  if (c->is_known && c->revision > 0)
    start_watch (c);
  else
    start_list (c, NULL);
}

static void
retry_later (struct collection *c, const struct error *err)
{
  c->has_call = true;
  c->is_reconnecting = true;
  set_reaches_store (c->directory, false, err->text);
  if (c->failing_since == 0)
    c->failing_since = clock_now ();
  if (c->retry_us < RETRY_US)
    c->retry_us = RETRY_US;
  sessiond_call_after (c->directory->sessiond, c->directory,
                       c->retry_us + sessiond_random ((uint32_t)c->retry_us),
                       on_retry, c);
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
  c->failing_since = 0;
  set_reaches_store (c->directory, true, "");
  c->directory->store_lost_since = 0;
  uint64_t revision = store_revision (body);
  if (c->pending_revision == 0)
    c->pending_revision = revision;
  c->pending_pages++;
  if (!store_same_history (c->pending_revision, revision))
    {
      /* The pages read so far are of another history. */
      start_list (c, NULL);
      return;
    }
  json_array_foreach (store_items (body), i, object)
  {
    struct bstr name = objects_name (object);
    if (name.start == NULL)
      continue;
    last = name;
    json_object_set (c->pending_items, name.start, (json_t *)object);
  }
  if (store_has_more (body) && last.start != NULL)
    {
      char *after = bstr_to_text (c->directory, last);
      start_list (c, after);
      talloc_free (after);
      return;
    }
  if (c->pending_revision > c->revision || !c->is_known)
    {
      c->source = (struct evacuation_source){
        .may_be_old = true,
        .is_restored
        = c->is_known && !store_same_history (c->revision, c->pending_revision)
      };
      json_decref (c->items);
      c->items = json_incref (c->pending_items);
      /* Objects of the first page may have changed since it was read.  The
         watch reports these changes, and again some that later pages have;
         apply_event ignores those. */
      c->revision = c->pending_revision;
      apply_items (c);
    }
  else if (c->kind == OBJECT_VOTERS)
    apply_voters (c->directory);
  log_info (PART,
            "event=list kind=%s pages=%d objects=%zu first_revision=%" PRIu64
            " last_revision=%" PRIu64 " watch_from=%" PRIu64,
            objects_kind_name (c->kind), c->pending_pages,
            json_object_size (c->pending_items), c->pending_revision, revision,
            c->revision);
  start_watch (c);
}

/* Read one page of the collection.
   @param after name of the last object of the previous page; NULL: this is the
   first page. */
static void
start_list (struct collection *c, const char *after)
{
  c->has_call = true;
  if (after == NULL)
    {
      json_decref (c->pending_items);
      c->pending_items = json_object ();
      c->pending_revision = 0;
      c->pending_pages = 0;
    }
  store_list (c->directory->sessiond->store, objects_kind_name (c->kind),
              after, CALL_TIMEOUT_MS, on_list, c);
}

static void
on_list_due (void *data)
{
  start_list (data, NULL);
}

/* The store does not have the changes after the revision: read the whole
   collection.  If a watch from the revision of that list was refused too, wait
   before the next list, as the store may refuse all. */
static void
read_again (struct collection *c)
{
  if (!c->watch_refused)
    start_list (c, NULL);
  else
    sessiond_call_after (c->directory->sessiond, c->directory,
                         RETRY_US + sessiond_random (RETRY_US), on_list_due,
                         c);
  c->watch_refused = true;
}

/* Apply one event of a watch, unless a copy from another member was newer.
   @return whether an item has changed. */
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
      read_again (c);
      return;
    }
  if (err->code != ERROR_NONE)
    {
      retry_later (c, err);
      return;
    }
  c->retry_us = 0;
  c->failing_since = 0;
  c->watch_refused = false;
  c->source.may_be_old = c->is_reconnecting;
  c->is_reconnecting = false;
  set_reaches_store (c->directory, true, "");
  c->directory->store_lost_since = 0;
  if (store_revision (body) > c->revision)
    {
      json_array_foreach (store_events (body), i, event) changed
          |= apply_event (c, event);
      c->revision = store_revision (body);
    }
  if (changed)
    apply_items (c);
  else if (c->kind == OBJECT_VOTERS)
    apply_voters (c->directory);
  start_watch (c);
}

/* @return the time-out of a short watch for evacuations.  The rest of the
   bound is for the report to the others, and for open transactions. */
static int
short_evacuation_watch_ms (int bound_ms)
{
  int ms = bound_ms / 5 * 3;
  return ms < WATCH_TIMEOUT_MS ? ms : WATCH_TIMEOUT_MS;
}

static int
watch_timeout_ms (const struct collection *c)
{
  const struct sessiond *r = c->directory->sessiond;
  /* The store may have been restored since the last answer and have given out
     the revision again; only an answer shows that. */
  if (c->is_reconnecting)
    return RECONNECT_WATCH_MS;
  if (c->kind == OBJECT_VOTERS
      || fleet_store_rank (r->fleet) >= SHORT_WATCH_MEMBERS)
    return WATCH_TIMEOUT_MS;
  if (c->kind == OBJECT_EVACUATIONS)
    return short_evacuation_watch_ms (r->options->evacuation_ms);
  return c->kind == OBJECT_CONFIG ? WATCH_SHORT_CONFIG_MS
                                  : WATCH_SHORT_ENDPOINTS_MS;
}

/* Wait for the next changes of the collection.  Observers do not watch the
   store. */
static void
start_watch (struct collection *c)
{
  c->has_call = is_voter (c->directory);
  if (!c->has_call)
    return;
  store_watch (c->directory->sessiond->store, objects_kind_name (c->kind),
               c->revision, watch_timeout_ms (c), on_watch, c);
}

static int
directory_destructor (struct directory *d)
{
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      json_decref (d->collections[kind].items);
      json_decref (d->collections[kind].pending_items);
    }
  json_decref (d->config_object);
  json_decref (d->ignored);
  return 0;
}

static void on_tick (void *data);

struct directory *
directory_create (struct sessiond *r)
{
  struct directory *d = talloc_zero (r, struct directory);
  talloc_set_destructor (d, directory_destructor);
  d->sessiond = r;
  d->reaches_store = true;
  d->store_lost_since = clock_now ();
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      struct collection *c = &d->collections[kind];
      c->directory = d;
      c->kind = (enum object_kind)kind;
      c->items = json_object ();
    }
  start_list (&d->collections[OBJECT_VOTERS], NULL);
  sessiond_call_every (r, d, TICK_US, on_tick, d);
  return d;
}

const struct endpoint_entry *
directory_endpoints (const struct directory *d, int *count)
{
  *count = d->endpoint_count;
  return d->endpoints;
}

/* @return whether the configuration may not be the newest one: another member
   has a newer one, or without a majority this member could have missed the
   report of one. */
static bool
is_config_uncertain (const struct directory *d)
{
  return d->collections[OBJECT_CONFIG].behind_since != 0
         || !fleet_in_quorum (d->sessiond->fleet);
}

static void
on_tick (void *data)
{
  struct directory *d = data;
  if (!is_config_uncertain (d))
    d->uncertain_since = 0;
  else if (d->uncertain_since == 0)
    d->uncertain_since = clock_now ();
}

int64_t
directory_config_uncertain_us (const struct directory *d)
{
  int64_t now = clock_now ();
  if (!is_config_uncertain (d))
    return 0;
  return d->uncertain_since != 0 && now > d->uncertain_since
             ? now - d->uncertain_since
             : 1;
}

int
directory_domain_count (const struct directory *d)
{
  return d->domain_count;
}

bool
directory_has (const struct directory *d, enum object_kind kind)
{
  return d->collections[kind].is_known;
}

int64_t
directory_failing_since (const struct directory *d, enum object_kind kind)
{
  const struct collection *c = &d->collections[kind];
  if (c->failing_since != 0)
    return c->failing_since;
  return d->reaches_store ? 0 : d->store_lost_since;
}

bool
directory_reaches_store (const struct directory *d)
{
  return d->reaches_store;
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
  start_reading (&d->collections[OBJECT_VOTERS]);
}

static bool
is_newer (const struct directory *d, enum object_kind kind,
          const struct packet_heartbeat *h)
{
  const struct collection *c = &d->collections[kind];
  if (kind == OBJECT_CONFIG)
    return h->config_version > (d->config != NULL ? d->config->version : 0);
  if (kind == OBJECT_VOTERS)
    return h->epoch > voters_list (d->sessiond->voters)->epoch;
  return h->revision[kind] > c->revision && h->digest[kind] != c->digest
         && h->digest[kind] != 0;
}

/* Record that the collection is behind that of @p member.
   @return whether to request a copy from it.  A voter gives its own watch some
   time first.  An observer asks its copy source first, and needs no
   endpoints. */
static bool
should_fetch (struct collection *c, uint64_t member, int64_t now)
{
  const struct directory *d = c->directory;
  if (c->behind_since == 0)
    c->behind_since = now;
  int64_t behind = now - c->behind_since;
  if (is_voter (d))
    return !c->is_known
           || (behind >= FETCH_DELAY_US
               && now - c->requested_at >= FETCH_DELAY_US);
  if (c->kind == OBJECT_ENDPOINTS
      || (c->requested_at != 0 && now - c->requested_at < COPY_WAIT_US))
    return false;
  uint64_t source = fleet_copy_source (d->sessiond->fleet);
  return source == 0 || member == source || behind >= SOURCE_WAIT_US;
}

void
directory_compare_revisions (struct directory *d, uint64_t member,
                             const struct packet_heartbeat *h)
{
  int64_t now = clock_now ();
  for (int kind = 0; kind < count_kinds (d); kind++)
    {
      struct collection *c = &d->collections[kind];
      if (!is_newer (d, (enum object_kind)kind, h)
          || !should_fetch (c, member, now))
        continue;
      c->requested_at = now;
      struct packet m = { .kind = PACKET_FETCH };
      m.copy.kind = (enum object_kind)kind;
      fleet_send (d->sessiond->fleet, member, &m);
    }
}

/* Make the cached copy of the collection.  It is made once for each revision,
   as many members request the same copy.
   @return false if it could not be made. */
static bool
refresh_copy (struct collection *c)
{
  struct directory *d = c->directory;
  struct error err = { 0 };
  if (c->copy.items.len > 0 && c->copy.revision == c->revision
      && c->kind != OBJECT_VOTERS)
    return true;
  json_t *items = c->kind == OBJECT_VOTERS
                      ? json_pack ("{s:O*}", objects_voters_name (),
                                   voters_object (d->sessiond->voters))
                      : json_incref (c->items);
  struct bstr text = json_text_take (d, items, JSON_COMPACT);
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
  if (!c->is_known || !refresh_copy (c))
    return;
  struct packet m = { .kind = PACKET_COPY, .copy = c->copy };
  fleet_send (d->sessiond->fleet, member, &m);
}

void
directory_apply_copy (struct directory *d, const struct packet_copy *copy)
{
  struct collection *c = &d->collections[copy->kind];
  if ((int)copy->kind >= count_kinds (d))
    return;
  /* The configuration and the list of voters have an order of their own.  The
     revision does not order their copies: a member keeps the newest one while
     a store that was restored shows an older one. */
  if (copy->revision <= c->revision && c->is_known
      && (copy->kind == OBJECT_ENDPOINTS || copy->kind == OBJECT_EVACUATIONS))
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
                err.code != ERROR_NONE ? LOG_TEXT (bstr_from (err.text))
                                       : "not a JSON object");
      json_decref (items);
      return;
    }
  log_info (PART,
            "event=copy_adopted kind=%s revision=%" PRIu64
            " old_revision=%" PRIu64,
            objects_kind_name (copy->kind), copy->revision, c->revision);
  if (copy->kind == OBJECT_VOTERS)
    {
      apply_voters_copy (c, items);
      json_decref (items);
      return;
    }
  c->source = (struct evacuation_source){
    .is_restored
    = c->is_known && !store_same_history (c->revision, copy->revision)
  };
  json_decref (c->items);
  c->items = items;
  if (copy->revision > c->revision)
    c->revision = copy->revision;
  apply_items (c);
}
