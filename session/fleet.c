#include "session/callers.h"
#include "session/directory.h"
#include "session/fleet_private.h"
#include "session/former.h"
#include "session/owner.h"

/* Between two heartbeats to an observer that is silent. */
#define SILENT_HEARTBEAT_US (1 * USEC_PER_SEC)
/* Changes of the list of voters, and what is to be forgotten. */
#define SLOW_TICK_US (1 * USEC_PER_SEC)
/* Statements that took longer on their way are dropped by the receiver. */
#define MAX_AGE_US (600 * USEC_PER_MSEC)
/* Statements and results that wait for a peer until its connection is opened
   anew: half a second of a busy owner. */
#define SEND_QUEUE 1024

static void send_heartbeats (struct fleet *f, bool urgent);

static void
on_soon (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  (void)ev, (void)im;
  struct fleet *f = data;
  if (f->urgent)
    send_heartbeats (f, true);
}

void
fleet_tell_soon (struct fleet *f)
{
  if (f->urgent)
    return;
  f->urgent = true;
  tevent_schedule_immediate (f->soon, f->relay->ev, on_soon, f);
}

/** A message to this daemon itself, on its way through the loop. */
struct local_delivery
{
  struct fleet *fleet;
  struct bstr bytes;
};

static void received (void *data, struct bstr bytes);

static void
deliver_local (struct tevent_context *ev, struct tevent_immediate *im,
               void *data)
{
  (void)ev, (void)im;
  struct local_delivery *local = data;
  received (local->fleet, local->bytes);
  talloc_free (local);
}

bool
fleet_send (struct fleet *f, uint64_t member, struct packet *message)
{
  if (member == f->relay->self)
    {
      struct local_delivery *local = talloc_zero (f, struct local_delivery);
      struct tevent_immediate *im = tevent_create_immediate (local);
      message->sender = (struct packet_sender){
        .member = member,
        .incarnation = f->relay->incarnation,
        .stamp = clock_now (),
      };
      local->fleet = f;
      local->bytes = packet_encode (local, message);
      tevent_schedule_immediate (im, f->relay->ev, deliver_local, local);
      return true;
    }
  struct peer *p = peer_find (f, member);
  return p != NULL && peer_send (f, p, message);
}

void
fleet_broadcast (struct fleet *f, struct packet *message)
{
  int64_t now = clock_now ();
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && peer_is_alive (p, now))
      peer_send (f, p, message);
}

bool
fleet_is_ready (const struct fleet *f)
{
  return f->relay->config != NULL && f->relay->leaving_since == 0
         && directory_has (f->relay->directory, OBJECT_ENDPOINTS);
}

/* What all heartbeats of this moment say; the rest depends on the receiver. */
static void
describe_self (const struct fleet *f, struct packet *m, int64_t now)
{
  const struct relay *r = f->relay;
  struct packet_heartbeat *h = &m->heartbeat;
  h->capacity = fleet_capacity (f);
  h->leaving = r->leaving_since != 0;
  h->ready = fleet_is_ready (f);
  h->wants_vote = voters_wants_vote (r->voters);
  h->epoch = voters_list (r->voters)->epoch;
  h->reaches_store = directory_store_answers (r->directory);
  h->config_version = r->config != NULL ? r->config->version : 0;
  for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++)
    {
      h->revision[kind]
          = directory_revision (r->directory, (enum object_kind)kind);
      h->digest[kind]
          = directory_digest (r->directory, (enum object_kind)kind);
    }
  h->claims = talloc_array (m, struct lease_claim,
                            (size_t)lease_service_count (f->leases));
  h->claim_count = lease_write_claims (f->leases, h->claims, now);
}

/* Only voters need the successors and the demand. */
static void
describe_leases (struct fleet *f, struct packet *m, int64_t now)
{
  struct limits *limits = f->relay->limits;
  struct packet_heartbeat *h = &m->heartbeat;
  h->successors
      = talloc_array (m, struct packet_successor, (size_t)f->tenure_count);
  for (int i = 0; i < f->tenure_count; i++)
    if (now < f->tenures[i].release_until)
      h->successors[h->successor_count++]
          = (struct packet_successor){ f->tenures[i].service,
                                       f->tenures[i].release_to };
  h->demand = talloc_array (m, struct limits_usage, PACKET_MAX_DEMAND);
  h->demand_count
      = limits_write_report (limits, h->demand, PACKET_MAX_DEMAND, now);
  limits_begin_period (limits, h->claim_count > 0, LEASE_US, now);
}

static void
send_heartbeat (struct fleet *f, struct peer *p, struct packet *m, int64_t now)
{
  const struct relay_options *o = f->relay->options;
  struct packet_heartbeat *h = &m->heartbeat;
  if (now - p->last_heartbeat > CONFIRM_US)
    p->previous_heartbeat = p->last_heartbeat;
  p->last_heartbeat = now;
  /* A process that starts again at its address knows nobody. */
  bool known = p->knows_us && peer_is_alive (p, now);
  h->echo = lease_newest_stamp (f->leases, p->id);
  h->name = bstr_from (known ? "" : o->name);
  h->address = bstr_from (known ? "" : relay_options_bus (o));
  h->failure_domain = bstr_from (known ? "" : o->failure_domain);
  peer_send (f, p, m);
}

static bool
wants_heartbeat (const struct peer *p, bool urgent, int64_t now)
{
  int64_t period = peer_slowness (p) * HEARTBEAT_US - TICK_US / 2;
  /* Until the voters are known, those that send heartbeats are. */
  bool are_known = directory_has (p->fleet->relay->directory, OBJECT_VOTERS);
  if (!p->is_voter
      && (p->heard == 0 || (are_known && !lease_is_voter (p->fleet->leases))))
    return false;
  if (!p->is_voter && !peer_is_alive (p, now))
    return now - p->last_heartbeat >= SILENT_HEARTBEAT_US;
  return urgent || now - p->last_heartbeat >= period;
}

struct grants
{
  struct lease_grant *items;
  int count;
};

/* Of all grants the receiver needs those to itself. */
static void
select_grants (const struct grants *all, uint64_t member,
               struct packet_heartbeat *h)
{
  h->grant_count = 0;
  for (int i = 0; i < all->count; i++)
    if (all->items[i].member == member)
      h->grants[h->grant_count++] = all->items[i];
}

/* @param urgent a grant or a claim has changed: do not wait for the next
   period. */
static void
send_heartbeats (struct fleet *f, bool urgent)
{
  int64_t now = clock_now ();
  struct packet *m = talloc_zero (f, struct packet);
  struct packet_heartbeat *h = &m->heartbeat;
  bool is_voter = lease_is_voter (f->leases);
  f->urgent = false;
  m->kind = PACKET_HEARTBEAT;
  size_t services = (size_t)lease_service_count (f->leases);
  struct grants grants
      = { .items = talloc_array (m, struct lease_grant, services) };
  h->grants = talloc_array (m, struct lease_grant, services);
  /* Before the claims: it may give this daemon a service. */
  if (is_voter)
    grants.count = lease_write_grants (f->leases, grants.items, now);
  describe_self (f, m, now);
  if (is_voter)
    describe_leases (f, m, now);
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && wants_heartbeat (p, urgent, now))
      {
        select_grants (&grants, p->id, h);
        send_heartbeat (f, p, m, now);
      }
  h->grant_count = h->successor_count = h->demand_count = 0;
  uint64_t held = lease_owned_digest (f->leases, now);
  bool tell = held != f->told_held;
  f->told_held = held;
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (!p->is_voter && wants_heartbeat (p, tell, now))
      send_heartbeat (f, p, m, now);
  talloc_free (m);
}

/* Observers send their statements to whom they were told of. */
static bool
holds_others_than_told (const struct fleet *f, int64_t now)
{
  return lease_owned_digest (f->leases, now) != f->told_held;
}

static void
on_heartbeat (struct fleet *f, const struct packet *m)
{
  const struct packet_heartbeat *h = &m->heartbeat;
  int64_t now = clock_now ();
  struct peer *p = peer_add (f, m->sender.member);
  bool was_alive = peer_is_alive (p, now);
  bool is_new = p->incarnation != m->sender.incarnation;
  int64_t delta = now - m->sender.stamp;
  if (h->name.len > 0)
    {
      peer_set_text (p, &p->name, h->name);
      peer_set_text (p, &p->address, h->address);
      peer_set_text (p, &p->failure_domain, h->failure_domain);
    }
  p->capacity = h->capacity;
  p->knows_us = h->echo >= f->started;
  p->wants_vote = h->wants_vote;
  if (is_new || delta < p->clock_delta)
    p->clock_delta = delta;
  if (is_new)
    {
      p->last_number = 0;
      p->next_number = 0;
      peer_drop_unconfirmed (p);
    }
  p->incarnation = m->sender.incarnation;
  p->heard = now;
  p->ended = false;
  peer_confirm (p, h->echo);
  if (!is_new && was_alive && h->echo != 0 && h->echo < p->previous_heartbeat
      && now - p->last_heartbeat > CONFIRM_US)
    peer_reset_connection (p, now, "heartbeats do not arrive");
  p->reaches_store = h->reaches_store;
  p->leaving = h->leaving;
  p->ready = h->ready;
  p->claim_count = h->claim_count;
  if (!was_alive || is_new)
    log_info (PART, "event=daemon_heard name=%s restarted=%d",
              p->name != NULL ? p->name : "unknown", is_new);
  for (int i = 0; i < h->successor_count; i++)
    {
      struct tenure *t = tenure_find (f, h->successors[i].service);
      if (t == NULL)
        continue;
      t->successor = h->successors[i].member;
      t->successor_until = now + SUCCESSOR_US;
    }
  if (p->is_voter)
    limits_record_report (
        f->relay->limits,
        &(struct limits_sender){ p->id, p->incarnation, h->claim_count > 0 },
        h->demand, h->demand_count, now);
  struct lease_heartbeat lease = {
    .member = m->sender.member,
    .incarnation = m->sender.incarnation,
    .stamp = m->sender.stamp,
    .echo = h->echo,
    .epoch = h->epoch,
    .claims = h->claims,
    .claim_count = h->claim_count,
    .grants = h->grants,
    .grant_count = h->grant_count,
  };
  bool changed = lease_receive_heartbeat (f->leases, &lease, now);
  /* Observers grant nothing, and there are many of them. */
  if (lease_is_voter (f->leases)
      && (changed || (p->is_voter && holds_others_than_told (f, now))))
    fleet_tell_soon (f);
  directory_compare (f->relay->directory, p->id, h);
  if (p->is_voter)
    owner_check (f->relay->owner);
  if (p->is_voter || is_new)
    callers_owners_changed (f->relay->callers);
}

/* The clocks of two daemons are not comparable; the fastest heartbeat shows
   how far they are apart. */
static bool
is_too_old (const struct fleet *f, const struct packet *m)
{
  const struct peer *p = peer_find (f, m->sender.member);
  if (p == NULL || p->heard == 0 || p->incarnation != m->sender.incarnation)
    return false;
  return clock_now () - m->sender.stamp - p->clock_delta > MAX_AGE_US;
}

/* From an earlier process of the sender, or from one that has not been heard
   of yet. */
static bool
is_stale (struct fleet *f, const struct packet *m)
{
  const struct peer *p = peer_find (f, m->sender.member);
  if (m->sender.member == f->relay->self)
    return false;
  if (m->kind == PACKET_HEARTBEAT)
    return lease_is_stale (f->leases, m->sender.member, m->sender.incarnation,
                           clock_now ());
  return p == NULL || p->incarnation != m->sender.incarnation;
}

static bool
is_repeated (struct fleet *f, const struct packet *m)
{
  struct peer *p = peer_find (f, m->sender.member);
  if (m->sender.number == 0 || p == NULL
      || p->incarnation != m->sender.incarnation)
    return false;
  if (m->sender.number <= p->last_number)
    return true;
  p->last_number = m->sender.number;
  return false;
}

static void
received (void *data, struct bstr bytes)
{
  struct fleet *f = data;
  struct packet *m = talloc_zero (f, struct packet);
  if (!packet_decode (m, bytes, m))
    {
      log_warn (PART, "event=message_rejected bytes=%zu", bytes.len);
      goto done;
    }
  if (m->sender.receiver_incarnation != 0
      && m->sender.receiver_incarnation != f->relay->incarnation)
    goto done;
  if (is_stale (f, m) || is_repeated (f, m))
    goto done;
  switch (m->kind)
    {
    case PACKET_HEARTBEAT:
      if (m->sender.member != f->relay->self)
        on_heartbeat (f, m);
      break;
    case PACKET_STATEMENT:
      if (is_too_old (f, m))
        log_warn (PART, "event=statement_dropped id=%.*s reason=too_old",
                  BSTR_ARG (m->statement.id));
      else
        {
          owner_statement (f->relay->owner, m);
          m = NULL;
        }
      break;
    case PACKET_RESULT:
      callers_result (f->relay->callers, m);
      break;
    case PACKET_ABANDON:
      owner_abandon (f->relay->owner, m);
      break;
    case PACKET_FETCH:
      directory_send_copy (f->relay->directory, m->sender.member,
                           m->copy.kind);
      break;
    case PACKET_COPY:
      directory_adopt (f->relay->directory, &m->copy);
      break;
    case PACKET_PROBE:
      owner_probe (f->relay->owner, m);
      break;
    case PACKET_COMMIT:
      owner_commit (f->relay->owner, m);
      break;
    case PACKET_COMMIT_ANSWER:
      former_answered (f->relay->former, m);
      break;
    default:
      owner_probed (f->relay->owner, m);
      break;
    }
done:
  talloc_free (m);
}

/* Large VMs first, as copies are long; then those in the same failure
   domain; among equals another one for each observer. */
static bool
is_better_source (const struct fleet *f, const struct peer *a,
                  const struct peer *b)
{
  const char *own = f->relay->options->failure_domain;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  bool a_near
      = a->failure_domain != NULL && strcmp (a->failure_domain, own) == 0;
  bool b_near
      = b->failure_domain != NULL && strcmp (b->failure_domain, own) == 0;
  if (a_near != b_near)
    return a_near;
  return model_rank (f->relay->self, a->id)
         > model_rank (f->relay->self, b->id);
}

static void
on_slow_tick (void *data)
{
  struct fleet *f = data;
  fleet_change_voters (f, clock_now ());
  peers_forget (f, clock_now ());
}

static void
on_tick (void *data)
{
  struct fleet *f = data;
  int64_t now = clock_now ();
  placement_update_lag (&f->lag, TICK_US, now);
  if (!fleet_is_ready (f))
    f->ready_since = 0;
  else if (f->ready_since == 0)
    {
      f->ready_since = now;
      fleet_tell_soon (f);
    }
  peers_watch (f, now);
  tenures_update (f, now);
  if (now - f->last_round >= HEARTBEAT_US - TICK_US / 2)
    {
      f->last_round = now;
      send_heartbeats (f, false);
      tenures_relieve (f, now);
    }
  owner_check (f->relay->owner);
}

struct fleet *
fleet_create (struct relay *r, struct error *err)
{
  struct fleet *f = talloc_zero (r, struct fleet);
  f->relay = r;
  f->started = clock_now ();
  f->soon = tevent_create_immediate (f);
  f->leases = lease_create (
      f, &(struct lease_options){ .self = r->self,
                                  .incarnation = r->incarnation,
                                  .duration_us = LEASE_US,
                                  .now = f->started });
  f->bus = bus_create (f,
                       &(struct bus_options){ .ev = r->ev,
                                              .address = r->options->bus,
                                              .max_message = PACKET_MAX_BYTES,
                                              .send_queue = SEND_QUEUE,
                                              .received = received,
                                              .data = f },
                       err);
  if (f->bus == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  relay_every (r, f, TICK_US, on_tick, f);
  relay_every (r, f, SLOW_TICK_US, on_slow_tick, f);
  return f;
}

/* A VM that was replaced may have left its address to another one. */
static void
close_unused_sockets (struct fleet *f)
{
  int64_t now = clock_now ();
  int count = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    count++;
  const char **addresses = talloc_array (f, const char *, (size_t)count + 1);
  count = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->address != NULL
        && (p->is_voter || (p->heard > 0 && now - p->heard < FORGET_US)))
      addresses[count++] = p->address;
  bus_keep_only (f->bus, addresses, count);
  talloc_free (addresses);
}

void
fleet_voters_changed (struct fleet *f)
{
  const struct voter_list *list = voters_list (f->relay->voters);
  uint64_t ids[LEASE_MAX_VOTERS];
  int count = 0;
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    p->is_voter = false;
  for (int i = 0; i < list->count && count < LEASE_MAX_VOTERS; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      ids[count++] = voter->id;
      if (voter->id == f->relay->self)
        continue;
      struct peer *p = peer_add (f, voter->id);
      p->is_voter = true;
      peer_set_text (p, &p->name, voter->name);
      peer_set_text (p, &p->address, voter->address);
      peer_set_text (p, &p->failure_domain, voter->failure_domain);
    }
  lease_set_voters (f->leases,
                    &(struct lease_voters){ .ids = ids,
                                            .count = count,
                                            .epoch = list->epoch,
                                            .settled = list->settled },
                    clock_now ());
  log_info (PART, "event=voters count=%d voter=%d settled=%d epoch=%" PRIu64,
            count, lease_is_voter (f->leases), list->settled, list->epoch);
  close_unused_sockets (f);
  fleet_tell_soon (f);
}

uint64_t
fleet_owner (const struct fleet *f, uint64_t service)
{
  return lease_owner (f->leases, service, clock_now ());
}

bool
fleet_has_successor (const struct fleet *f)
{
  int64_t now = clock_now ();
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && p->ready && !p->leaving)
      return true;
  return false;
}

uint64_t
fleet_alive (const struct fleet *f, uint64_t member)
{
  if (member == f->relay->self)
    return f->relay->incarnation;
  const struct peer *p = peer_find (f, member);
  return p != NULL && peer_is_alive (p, clock_now ()) ? p->incarnation : 0;
}

int64_t
fleet_owns_until (const struct fleet *f, uint64_t service)
{
  return lease_valid_until (f->leases, service);
}

void
fleet_set_state (struct fleet *f, uint64_t service, enum lease_state state)
{
  lease_set_state (f->leases, service, state);
  fleet_tell_soon (f);
}

bool
fleet_confirmed_since (const struct fleet *f, uint64_t service, int64_t since)
{
  return lease_is_confirmed_since (f->leases, service, since);
}

bool
fleet_is_changing (const struct fleet *f, uint64_t service)
{
  return lease_is_changing (f->leases, service);
}

bool
fleet_is_voter (const struct fleet *f)
{
  return lease_is_voter (f->leases);
}

uint64_t
fleet_copy_source (const struct fleet *f)
{
  const struct peer *best = NULL;
  int64_t now = clock_now ();
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && peer_is_alive (p, now)
        && (best == NULL || is_better_source (f, p, best)))
      best = p;
  return best != NULL ? best->id : 0;
}

bool
fleet_in_quorum (const struct fleet *f)
{
  return lease_has_quorum (f->leases, clock_now ());
}

void
fleet_release (struct fleet *f, uint64_t service, uint64_t successor)
{
  struct tenure *t = tenure_find (f, service);
  int64_t now = clock_now ();
  if (t == NULL)
    return;
  t->release_to = successor;
  t->release_until = now + SUCCESSOR_US;
  t->successor = successor;
  t->successor_until = now + SUCCESSOR_US;
  t->pause_until = now + SUCCESSOR_US;
  tenure_claim (f, t, false, now);
}

int
fleet_store_rank (const struct fleet *f)
{
  int64_t now = clock_now ();
  int rank = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    rank += p->is_voter && peer_is_alive (p, now) && p->reaches_store
            && !p->leaving && p->id < f->relay->self;
  return rank;
}

uint64_t
fleet_store_peer (const struct fleet *f)
{
  int64_t now = clock_now ();
  const struct peer *best = NULL;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && p->ready && !p->leaving
        && p->reaches_store
        && (best == NULL || p->claim_count < best->claim_count))
      best = p;
  return best != NULL ? best->id : 0;
}

uint64_t
fleet_lag_us (const struct fleet *f)
{
  return (uint64_t)f->lag.lag_us;
}

uint64_t
fleet_messages (const struct fleet *f)
{
  return bus_messages (f->bus);
}

uint64_t
fleet_bytes (const struct fleet *f)
{
  return bus_bytes (f->bus);
}
