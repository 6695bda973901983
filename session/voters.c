#include "session/voters.h"

#include "common/log.h"
#include "platform/store.h"
#include "session/directory.h"
#include "session/fleet.h"

#include <inttypes.h>

#define PART "voters"

#define CALL_TIMEOUT_MS 1500
/* Pause between two attempts to change the list. */
#define RETRY_US (500 * USEC_PER_MSEC)
/* A VM of this size votes at once, in cores; smaller ones leave the places
   to it for a while, longer the smaller they are. */
#define LARGE_VM 0.5
#define SMALL_VM_WAIT_US (4 * USEC_PER_SEC)
#define SPREAD_US (300 * USEC_PER_MSEC)
/* Time from the start of a fleet in which daemons add themselves. */
#define BOOTSTRAP_US (8 * USEC_PER_SEC)
/* Without a majority of the voters for this time, too many are gone for good;
   daemons add themselves until there is one again. */
#define LOST_US (30 * USEC_PER_SEC)
#define CHECK_US (1 * USEC_PER_SEC)

struct voters
{
  struct relay *relay;
  void *memory; /**< Of the entries. */
  struct voter_list list;
  int64_t started;
  int64_t heard_majority; /**< When a majority was heard last. */
  int64_t written_at;
  bool writing;
  bool waits;   /**< For its turn to add itself. */
  bool is_turn; /**< It adds itself if there is a place still. */
};

static const struct voter_entry *
find_entry (const struct voters *v, uint64_t id)
{
  for (int i = 0; i < v->list.count; i++)
    if (v->list.entries[i].id == id)
      return &v->list.entries[i];
  return NULL;
}

static void
on_turn (void *data)
{
  struct voters *v = data;
  v->waits = false;
  v->is_turn = true;
  directory_read_voters (v->relay->directory);
}

/* See whether a place is free still after a time in which larger VMs come
   first. */
static void
wait_for_turn (struct voters *v)
{
  double missing = LARGE_VM - v->relay->options->capacity;
  int64_t wait = missing > 0 ? (int64_t)(missing * SMALL_VM_WAIT_US) : 0;
  wait += relay_random ((uint32_t)(wait + SPREAD_US));
  v->waits = true;
  log_info (PART, "event=candidate voters=%d wait_ms=%" PRId64, v->list.count,
            wait / USEC_PER_MSEC);
  relay_after (v->relay, v, wait, on_turn, v);
}

static void
on_written (void *data, const struct error *err, const json_t *body)
{
  struct voters *v = data;
  v->writing = false;
  if (err->code == ERROR_CONFLICT && body != NULL)
    {
      /* Another daemon was faster. */
      v->written_at = 0;
      v->is_turn = true;
      voters_read (v, body);
      return;
    }
  v->is_turn = false;
  if (err->code == ERROR_NONE)
    directory_read_voters (v->relay->directory);
  else
    log_warn (PART, "event=list_not_written code=%s reason=\"%s\"",
              error_name (err->code), err->text);
}

/* Replace the list unless somebody else has changed it. */
static void
write_list (struct voters *v, const struct voter_list *list)
{
  v->writing = true;
  v->written_at = clock_now ();
  store_put (v->relay->store, objects_kind_name (OBJECT_VOTERS),
             objects_voters_name (), v->list.epoch,
             objects_encode_voters (list), CALL_TIMEOUT_MS, on_written, v);
}

static bool
may_write (const struct voters *v)
{
  return !v->writing
         && (v->written_at == 0 || clock_now () - v->written_at >= RETRY_US);
}

/* The list without the entry of @p id, with room for one more. */
static struct voter_list
list_without (const struct voters *v, uint64_t id)
{
  struct voter_list list = {
    .entries = talloc_array (v, struct voter_entry, (size_t)v->list.count + 1),
    .settled = v->list.settled,
  };
  for (int i = 0; i < v->list.count; i++)
    if (v->list.entries[i].id != id)
      list.entries[list.count++] = v->list.entries[i];
  return list;
}

void
voters_add (struct voters *v, const struct voter_entry *entry)
{
  if (!may_write (v))
    return;
  struct voter_list list = list_without (v, entry->id);
  list.settled = list.settled && list.count < v->list.count;
  list.entries[list.count++] = *entry;
  log_info (PART, "event=voter_added name=%s address=%s voters=%d",
            entry->name.start, entry->address.start, list.count);
  write_list (v, &list);
  talloc_free (list.entries);
}

void
voters_remove (struct voters *v, uint64_t id)
{
  if (!may_write (v))
    return;
  struct voter_list list = list_without (v, id);
  write_list (v, &list);
  talloc_free (list.entries);
}

void
voters_settle (struct voters *v, bool settled)
{
  if (!may_write (v))
    return;
  struct voter_list list = v->list;
  list.settled = settled;
  log_info (PART, "event=list_settled voters=%d settled=%d", list.count,
            settled);
  write_list (v, &list);
}

static void
add_self (struct voters *v)
{
  const struct relay_options *o = v->relay->options;
  voters_add (v, &(struct voter_entry){
                     .name = bstr_from (o->name),
                     .id = v->relay->self,
                     .address = bstr_from (relay_options_bus (o)),
                     .failure_domain = bstr_from (o->failure_domain) });
}

/* Whether daemons add themselves, without a voter that decides. */
static bool
is_open (const struct voters *v)
{
  int64_t now = clock_now ();
  if (v->list.count == 0)
    return true;
  if (v->relay->options->bootstrap && now - v->started < BOOTSTRAP_US)
    return v->list.count < VOTERS_WANTED;
  return now - v->heard_majority > LOST_US && v->list.count < LEASE_MAX_VOTERS;
}

static void
consider_self (struct voters *v)
{
  const struct voter_entry *own = find_entry (v, v->relay->self);
  bool is_turn = v->is_turn;
  if (v->writing)
    return;
  v->is_turn = false;
  if (v->relay->leaving_since != 0)
    return;
  if (own != NULL)
    {
      /* The same daemon at another address: the voters are the same. */
      if (!bstr_equals_text (own->address,
                             relay_options_bus (v->relay->options)))
        add_self (v);
    }
  else if (is_open (v) && is_turn)
    add_self (v);
  else if (is_open (v) && !v->waits)
    wait_for_turn (v);
}

void
voters_read (struct voters *v, const json_t *object)
{
  uint64_t epoch = object != NULL ? objects_revision (object) : 0;
  if (epoch > v->list.epoch)
    {
      void *memory = talloc_new (v);
      v->list = objects_decode_voters (memory, object);
      talloc_free (v->memory);
      v->memory = memory;
      relay_voters_changed (v->relay);
    }
  consider_self (v);
}

static void
on_check (void *data)
{
  struct voters *v = data;
  int64_t now = clock_now ();
  if (fleet_in_quorum (v->relay->fleet))
    v->heard_majority = now;
  else if (find_entry (v, v->relay->self) == NULL && !v->waits
           && now - v->started > CHECK_US)
    /* It may know voters that are gone. */
    directory_read_voters (v->relay->directory);
}

struct voters *
voters_create (struct relay *r)
{
  struct voters *v = talloc_zero (r, struct voters);
  v->relay = r;
  v->started = v->heard_majority = clock_now ();
  relay_every (r, v, CHECK_US, on_check, v);
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
  return find_entry (v, v->relay->self) == NULL
         && v->list.count < VOTERS_WANTED && v->relay->leaving_since == 0;
}
