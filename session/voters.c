#include "session/voters.h"

#include "common/log.h"
#include "platform/store.h"
#include "session/directory.h"
#include "session/fleet.h"

#include <inttypes.h>

#define PART "voters"

/* Time-out of a write to the store. */
#define CALL_TIMEOUT_MS 1500
/* Pause between two attempts to change the list. */
#define RETRY_US (500 * USEC_PER_MSEC)
/* A member on a VM with at least LARGE_VM_CORES adds itself after a short
   random wait (WAIT_SPREAD_US).  On a smaller one it first waits for
   SMALL_VM_WAIT_US per missing core, so that large VMs come first. */
#define LARGE_VM_CORES 0.5
#define SMALL_VM_WAIT_US (4 * USEC_PER_SEC)
/* The random part of the wait is up to this much longer than the fixed part.
 */
#define WAIT_SPREAD_US (300 * USEC_PER_MSEC)
/* For this time after the first start of a fleet, members add themselves. */
#define BOOTSTRAP_US (8 * USEC_PER_SEC)
/* If there was no majority of the voters for this time, too many of them are
   gone for good; members add themselves until there is a majority again. */
#define MAJORITY_LOST_US (30 * USEC_PER_SEC)
/* A member that starts while there is no list waits this long before it adds
   itself, unless the whole fleet starts for the first time: a store that was
   restored from a copy may lack the list until a voter has written it
   again. */
#define NO_LIST_WAIT_US (4 * USEC_PER_SEC)
/* Random low bits of an epoch.  They tell two lists apart that follow the same
   one, the first of which was lost when the store was restored. */
#define EPOCH_RANDOM_BITS 16
/* Period of the checks whether this member is in a quorum. */
#define QUORUM_CHECK_PERIOD_US (1 * USEC_PER_SEC)

/** The list of voters, and this member's attempts to be added to it. */
struct voters
{
  struct sessiond *sessiond;
  void *memory; /**< Talloc context of the list's entries. */
  struct voter_list list;
  uint64_t read_at;      /**< Newest revision of the store at which the object
                            was read. */
  uint64_t revision;     /**< Of the object; 0: there is none. */
  uint64_t stored_epoch; /**< Epoch of the list in the object. */
  json_t *object;        /**< Object that holds the list; may be NULL. */
  int64_t started_at;
  int64_t last_in_quorum; /**< Last time when there was a quorum. */
  /** Time of the last write; 0: the next write need not wait for RETRY_US. */
  int64_t written_at;
  bool is_writing; /**< A write to the store is in progress. */
  bool is_waiting; /**< The wait of wait_to_add_self is running. */
  /** The wait is over: this member may add itself if there is room. */
  bool may_add_self;
};

static const struct voter_entry *
find_entry (const struct voters *v, uint64_t id)
{
  for (int i = 0; i < v->list.count; i++)
    if (v->list.entries[i].id == id)
      return &v->list.entries[i];
  return NULL;
}

static void update_own_entry (struct voters *v);

/* Update the own entry by the newest list.  A member that is in the list
   watches it; another one reads it first. */
static void
check_own_entry (struct voters *v)
{
  if (find_entry (v, v->sessiond->self) != NULL)
    update_own_entry (v);
  else
    directory_read_voters (v->sessiond->directory);
}

static void
on_wait_over (void *data)
{
  struct voters *v = data;
  v->is_waiting = false;
  v->may_add_self = true;
  check_own_entry (v);
}

/* Wait for a time in which larger VMs may add themselves first, then read the
   list again to see whether it still has room. */
static void
wait_to_add_self (struct voters *v)
{
  double missing = LARGE_VM_CORES - v->sessiond->options->capacity;
  int64_t wait = missing > 0 ? (int64_t)(missing * SMALL_VM_WAIT_US) : 0;
  wait += sessiond_random ((uint32_t)(wait + WAIT_SPREAD_US));
  v->is_waiting = true;
  log_info (PART, "event=candidate voters=%d wait_ms=%" PRId64, v->list.count,
            wait / USEC_PER_MSEC);
  sessiond_call_after (v->sessiond, v, wait, on_wait_over, v);
}

static void
on_written (void *data, const struct error *err, const json_t *body)
{
  struct voters *v = data;
  v->is_writing = false;
  if (err->code == ERROR_CONFLICT && body != NULL)
    {
      /* Another member has changed the list first: apply its list and try
         again. */
      v->written_at = 0;
      v->may_add_self = true;
      voters_apply (v, body, objects_revision (body));
      return;
    }
  v->may_add_self = false;
  if (err->code == ERROR_NONE)
    {
      if (body != NULL)
        voters_apply (v, body, objects_revision (body));
      directory_read_voters (v->sessiond->directory);
    }
  else
    log_warn (PART, "event=list_not_written code=%s reason=\"%s\"",
              error_name (err->code), err->text);
}

/* Write the list to the store, unless the list there has changed since it was
   read. */
static void
write_list (struct voters *v, struct voter_list *list)
{
  v->is_writing = true;
  v->written_at = clock_now ();
  list->epoch = ((v->list.epoch >> EPOCH_RANDOM_BITS) + 1) << EPOCH_RANDOM_BITS
                | sessiond_random (1U << EPOCH_RANDOM_BITS);
  store_put (v->sessiond->store, objects_kind_name (OBJECT_VOTERS),
             objects_voters_name (), v->revision, objects_encode_voters (list),
             CALL_TIMEOUT_MS, on_written, v);
}

bool
voters_may_write (const struct voters *v)
{
  return !v->is_writing
         && (v->written_at == 0 || clock_now () - v->written_at >= RETRY_US);
}

void
voters_change (struct voters *v, struct voter_list *list)
{
  if (voters_may_write (v))
    write_list (v, list);
}

bool
voters_list_is_lost (const struct voters *v)
{
  return v->read_at != 0 && v->stored_epoch < v->list.epoch;
}

void
voters_write_again (struct voters *v)
{
  struct voter_list list = v->list;
  if (!voters_may_write (v))
    return;
  log_info (PART, "event=list_written_again voters=%d", list.count);
  write_list (v, &list);
}

/* Add this member to the list, or replace its entry.
   @param ends_change no change goes on: all other entries stay, and members
   that add themselves have begun to put the list together. */
static void
add_self (struct voters *v, bool ends_change)
{
  const struct sessiond_options *o = v->sessiond->options;
  const struct voter_entry *old = find_entry (v, v->sessiond->self);
  struct voter_entry own
      = { .name = bstr_from (o->name),
          .id = v->sessiond->self,
          .address = bstr_from (sessiond_options_bus_address (o)),
          .failure_domain = bstr_from (o->failure_domain) };
  if (!voters_may_write (v))
    return;
  struct voter_list list = {
    .entries = talloc_array (v, struct voter_entry, (size_t)v->list.count + 1),
    /* The set of voters stays the same if only an entry is replaced. */
    .settled = v->list.settled && !ends_change,
  };
  for (int i = 0; i < v->list.count; i++)
    {
      struct voter_entry *entry = &list.entries[list.count];
      if (v->list.entries[i].id == own.id)
        continue;
      *entry = v->list.entries[i];
      if (ends_change)
        entry->change = LEASE_VOTER_STAYS;
      list.count++;
    }
  if (old != NULL && !ends_change)
    own.change = old->change;
  list.entries[list.count++] = own;
  log_info (PART, "event=voter_added name=%s address=%s voters=%d",
            own.name.start, own.address.start, list.count);
  write_list (v, &list);
  talloc_free (list.entries);
}

/* @return whether a voter has begun to change the list. */
static bool
is_changing (const struct voters *v)
{
  for (int i = 0; i < v->list.count; i++)
    if (v->list.entries[i].change != LEASE_VOTER_STAYS)
      return true;
  return false;
}

/* @return whether members add themselves to the list without waiting for a
   voter to do it. */
static bool
members_add_themselves (const struct voters *v)
{
  int64_t now = clock_now ();
  if (v->sessiond->options->bootstrap && now - v->started_at < BOOTSTRAP_US)
    return v->list.count < VOTERS_WANTED && !is_changing (v);
  if (v->list.count == 0)
    return now - v->started_at >= NO_LIST_WAIT_US;
  return now - v->last_in_quorum > MAJORITY_LOST_US
         && v->list.count < LEASE_MAX_VOTERS;
}

/* @return whether this member waits to become a voter: it is not in the list,
   or the change that adds it is not over. */
static bool
is_joining (const struct voters *v)
{
  const struct voter_entry *own = find_entry (v, v->sessiond->self);
  return own == NULL || own->change == LEASE_VOTER_JOINS;
}

/* Add this member to the list, update its address there, or start the wait
   before it adds itself, whichever is due. */
static void
update_own_entry (struct voters *v)
{
  const struct voter_entry *own = find_entry (v, v->sessiond->self);
  bool may_add_self = v->may_add_self;
  if (v->is_writing)
    return;
  v->may_add_self = false;
  if (v->sessiond->leaving_since != 0)
    return;
  /* This member has a new address; the set of voters stays the same. */
  if (own != NULL
      && !bstr_equals_text (
          own->address, sessiond_options_bus_address (v->sessiond->options)))
    add_self (v, false);
  else if (is_joining (v) && members_add_themselves (v) && may_add_self)
    add_self (v, true);
  else if (is_joining (v) && members_add_themselves (v) && !v->is_waiting)
    wait_to_add_self (v);
}

/* Adopt the list of an object if it is newer than the present one.
   @return the epoch of that list. */
static uint64_t
adopt_list (struct voters *v, const json_t *object)
{
  void *memory = talloc_new (v);
  struct voter_list list = objects_decode_voters (memory, object);
  if (list.epoch > v->list.epoch)
    {
      v->list = list;
      talloc_free (v->memory);
      v->memory = memory;
      memory = NULL;
      json_decref (v->object);
      v->object = json_incref ((json_t *)object);
      sessiond_voters_changed (v->sessiond);
    }
  talloc_free (memory);
  return list.epoch;
}

void
voters_apply (struct voters *v, const json_t *object, uint64_t revision)
{
  uint64_t epoch = adopt_list (v, object);
  if (revision >= v->read_at)
    {
      v->read_at = revision;
      v->revision = object != NULL ? objects_revision (object) : 0;
      v->stored_epoch = epoch;
    }
  update_own_entry (v);
}

void
voters_apply_copy (struct voters *v, const json_t *object)
{
  adopt_list (v, object);
  update_own_entry (v);
}

const json_t *
voters_object (const struct voters *v)
{
  return v->object;
}

static int
voters_destructor (struct voters *v)
{
  json_decref (v->object);
  return 0;
}

static void
on_check (void *data)
{
  struct voters *v = data;
  int64_t now = clock_now ();
  if (fleet_in_quorum (v->sessiond->fleet))
    v->last_in_quorum = now;
  else if (is_joining (v) && !v->is_waiting
           && now - v->started_at > QUORUM_CHECK_PERIOD_US)
    /* This member's copy of the list may name voters that are gone. */
    check_own_entry (v);
}

struct voters *
voters_create (struct sessiond *r)
{
  struct voters *v = talloc_zero (r, struct voters);
  talloc_set_destructor (v, voters_destructor);
  v->sessiond = r;
  v->started_at = v->last_in_quorum = clock_now ();
  sessiond_call_every (r, v, QUORUM_CHECK_PERIOD_US, on_check, v);
  return v;
}

const struct voter_list *
voters_list (const struct voters *v)
{
  return &v->list;
}

bool
voters_wants_vote (const struct voters *v)
{
  return find_entry (v, v->sessiond->self) == NULL
         && v->sessiond->leaving_since == 0;
}
