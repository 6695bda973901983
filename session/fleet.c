#include "session/fleet.h"

#include "common/log.h"
#include "core/lease.h"
#include "core/placement.h"
#include "net/bus.h"
#include "net/stream.h"
#include "session/callers.h"
#include "session/directory.h"
#include "session/former.h"
#include "session/owner.h"
#include "session/voters.h"

#include <inttypes.h>
#include <stdlib.h>

#define PART "fleet"

/* Length of a lease on a service.  A failed owner is replaced after it; it
   leaves room for four lost heartbeats. */
#define LEASE_US (1000 * USEC_PER_MSEC)
#define HEARTBEAT_US (200 * USEC_PER_MSEC)
/* Between a voter and an observer heartbeats are rarer, and silence is
   tolerated longer, by this factor. */
#define OBSERVER_FACTOR 2
#define TICK_US (50 * USEC_PER_MSEC)
/* A daemon that was silent for longer gets no new statements. */
#define SILENT_US (650 * USEC_PER_MSEC)
/* A claim without a majority is withdrawn after this and repeated after a
   pause, so that two claims do not block each other. */
#define CLAIM_US (300 * USEC_PER_MSEC)
/* Only the best candidate claims a service at first, the others later. */
#define OTHERS_CLAIM_US (400 * USEC_PER_MSEC)
/* Time from a daemon's readiness in which it leaves services to voters that
   are not ready yet: a heartbeat, and a copy of the configuration. */
#define OTHERS_READY_US (250 * USEC_PER_MSEC)
/* A service is moved to balance load only if this daemon owns the same ones
   for this time. */
#define RELIEF_PAUSE_US (2 * USEC_PER_SEC)
/* The same while the loop is late: the callers wait already. */
#define SLOW_PAUSE_US (500 * USEC_PER_MSEC)
/* A named successor is the only one to claim for this time. */
#define SUCCESSOR_US (400 * USEC_PER_MSEC)
/* A voter that a majority has not heard for this time is removed. */
#define REMOVE_US (7 * USEC_PER_SEC)
/* An observer that was silent for this time is forgotten.  Until then it gets
   a few heartbeats, so that it finds the voters without the store. */
#define FORGET_US (60 * USEC_PER_SEC)
#define SILENT_HEARTBEAT_US (1 * USEC_PER_SEC)
#define SLOW_TICK_US (1 * USEC_PER_SEC)
/* Statements that took longer on their way are dropped by the receiver. */
#define MAX_AGE_US (600 * USEC_PER_MSEC)
/* A heartbeat that another daemon has not confirmed after this time was
   lost with its connection. */
#define CONFIRM_US (100 * USEC_PER_MSEC)
/* Pause between two resets of the connection to one daemon. */
#define RESET_PAUSE_US (400 * USEC_PER_MSEC)
/* Silence after which the connection is opened anew, and after which it is
   checked whether the process still listens. */
#define QUIET_US (420 * USEC_PER_MSEC)
#define CHECK_US (280 * USEC_PER_MSEC)
#define CHECK_PAUSE_US (150 * USEC_PER_MSEC)
/* Statements and results that wait for a peer until its connection is opened
   anew: half a second of a busy owner. */
#define SEND_QUEUE 1024

/** A message that the receiver has not confirmed. */
struct unconfirmed
{
  struct unconfirmed *next;
  int64_t stamp;
  struct bstr bytes;
};

struct peer
{
  struct peer *next;
  struct fleet *fleet;
  uint64_t id;
  char *name;
  char *address;
  char *failure_domain;
  bool is_voter;
  bool wants_vote;
  bool knows_us; /**< It has confirmed a heartbeat of this process. */
  int capacity;  /**< Thousandths of a core. */
  bool leaving;
  bool ready;
  uint64_t incarnation;
  int64_t heard;       /**< 0: never. */
  int64_t clock_delta; /**< Smallest own clock less stamp seen. */
  int claim_count;
  bool reaches_store;
  bool ended;           /**< Its process is known to have ended. */
  struct stream *check; /**< Shows whether anybody listens. */
  int64_t last_check;
  /* Messages to it. */
  uint64_t next_number;
  struct unconfirmed *unconfirmed;
  struct unconfirmed **unconfirmed_end;
  int64_t last_heartbeat;
  int64_t previous_heartbeat;
  int64_t last_reset;
  int64_t last_reset_logged;
  /* Messages from it. */
  uint64_t last_number;
};

/** What this daemon knows of a service's ownership. */
struct tenure
{
  uint64_t service;
  int64_t unowned_since; /**< 0: it has an owner. */
  int64_t claimed_at;    /**< 0: not claimed by this daemon. */
  int64_t pause_until;   /**< No claim before. */
  uint64_t successor;
  int64_t successor_until;
  uint64_t release_to; /**< Successor to tell in heartbeats. */
  int64_t release_until;
  uint64_t logged_owner;
};

struct fleet
{
  struct relay *relay;
  struct bus *bus;
  struct lease_table *leases;
  struct peer *peers;
  struct tenure tenures[LEASE_MAX_SERVICES];
  int tenure_count;
  int64_t last_round; /**< Of heartbeats. */
  int64_t started;
  int64_t ready_since; /**< 0: not ready. */
  uint64_t held;       /**< Digest of the services owned. */
  int64_t held_since;
  struct placement_lag lag;
  bool urgent;        /**< Send heartbeats at the next turn of the loop. */
  uint64_t told_held; /**< Digest of the services told to observers. */
  struct tevent_immediate *soon;
};

static void send_heartbeats (struct fleet *f, bool urgent);

static struct peer *
find_peer (const struct fleet *f, uint64_t id)
{
  struct peer *p = f->peers;
  while (p != NULL && p->id != id)
    p = p->next;
  return p;
}

static struct peer *
add_peer (struct fleet *f, uint64_t id)
{
  struct peer *p = find_peer (f, id);
  if (p != NULL)
    return p;
  p = talloc_zero (f, struct peer);
  p->fleet = f;
  p->id = id;
  p->unconfirmed_end = &p->unconfirmed;
  p->next = f->peers;
  f->peers = p;
  return p;
}

static void
set_text (struct peer *p, char **text, struct bstr value)
{
  if (*text != NULL && bstr_equals_text (value, *text))
    return;
  talloc_free (*text);
  *text = bstr_to_text (p, value);
}

/* How much slower than between two voters everything goes. */
static int
slowness (const struct peer *p)
{
  return p->is_voter && lease_is_voter (p->fleet->leases) ? 1
                                                          : OBSERVER_FACTOR;
}

static bool
is_alive (const struct peer *p, int64_t now)
{
  return p->heard > 0 && !p->ended
         && now - p->heard <= slowness (p) * SILENT_US;
}

static struct tenure *
find_tenure (struct fleet *f, uint64_t service)
{
  for (int i = 0; i < f->tenure_count; i++)
    if (f->tenures[i].service == service)
      return &f->tenures[i];
  if (f->tenure_count == LEASE_MAX_SERVICES)
    return NULL;
  struct tenure *t = &f->tenures[f->tenure_count++];
  *t = (struct tenure){ .service = service, .unowned_since = clock_now () };
  return t;
}

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

static bool
send_to (struct fleet *f, struct peer *p, struct packet *message)
{
  message->sender = (struct packet_sender){
    .member = f->relay->self,
    .incarnation = f->relay->incarnation,
    .receiver_incarnation
    = message->kind == PACKET_HEARTBEAT ? 0 : p->incarnation,
    .stamp = clock_now (),
  };
  if (p->address == NULL)
    return false;
  if (message->kind == PACKET_HEARTBEAT)
    {
      struct bstr bytes = packet_encode (f, message);
      bool sent = bus_send (f->bus, p->address, bytes);
      talloc_free ((char *)bytes.start);
      return sent;
    }
  message->sender.number = ++p->next_number;
  struct unconfirmed *u = talloc_zero (p, struct unconfirmed);
  u->stamp = message->sender.stamp;
  u->bytes = packet_encode (u, message);
  *p->unconfirmed_end = u;
  p->unconfirmed_end = &u->next;
  bus_send (f->bus, p->address, u->bytes);
  return true;
}

/* A connection delivers in order: what was sent before a heartbeat that has
   arrived has arrived too. */
static void
confirm (struct peer *p, int64_t echo)
{
  while (p->unconfirmed != NULL && p->unconfirmed->stamp <= echo)
    {
      struct unconfirmed *u = p->unconfirmed;
      p->unconfirmed = u->next;
      talloc_free (u);
    }
  if (p->unconfirmed == NULL)
    p->unconfirmed_end = &p->unconfirmed;
}

static void
drop_unconfirmed (struct peer *p)
{
  confirm (p, INT64_MAX);
}

/* Connections may go silent without an error.  Send again on a new one what
   was not confirmed; the receiver drops what it has. */
static void
reset_connection (struct peer *p, int64_t now, const char *reason)
{
  struct fleet *f = p->fleet;
  int count = 0;
  if (p->address == NULL || now - p->last_reset < RESET_PAUSE_US)
    return;
  p->last_reset = now;
  bus_reset (f->bus, p->address);
  fleet_tell_soon (f);
  for (struct unconfirmed *u = p->unconfirmed; u != NULL; u = u->next, count++)
    bus_send (f->bus, p->address, u->bytes);
  if (p->last_reset_logged < p->heard)
    log_info (PART, "event=connection_reset name=%s repeated=%d reason=\"%s\"",
              p->name != NULL ? p->name : "unknown", count, reason);
  p->last_reset_logged = now;
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
  struct peer *p = find_peer (f, member);
  return p != NULL && send_to (f, p, message);
}

void
fleet_broadcast (struct fleet *f, struct packet *message)
{
  int64_t now = clock_now ();
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && is_alive (p, now))
      send_to (f, p, message);
}

static bool
is_ready (const struct fleet *f)
{
  return f->relay->config != NULL && f->relay->leaving_since == 0
         && directory_has (f->relay->directory, OBJECT_ENDPOINTS);
}

/* Thousandths of a core that are left for services. */
static int
own_capacity (const struct fleet *f)
{
  return placement_capacity (&f->lag,
                             (int)(f->relay->options->capacity * 1000));
}

/* What all heartbeats of this moment say; the rest depends on the receiver. */
static void
describe_self (const struct fleet *f, struct packet_heartbeat *h, int64_t now)
{
  const struct relay *r = f->relay;
  h->capacity = own_capacity (f);
  h->leaving = r->leaving_since != 0;
  h->ready = is_ready (f);
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
  h->claim_count = lease_claims (f->leases, h->claims, now);
}

/* Only voters need the grants, the successors and the demand. */
static void
describe_leases (struct fleet *f, struct packet_heartbeat *h, int64_t now)
{
  struct limits *limits = f->relay->limits;
  h->grant_count = lease_grants (f->leases, h->grants, now);
  /* Granting itself may have given this daemon a service. */
  h->claim_count = lease_claims (f->leases, h->claims, now);
  for (int i = 0; i < f->tenure_count; i++)
    if (now < f->tenures[i].release_until)
      h->successors[h->successor_count++]
          = (struct packet_successor){ f->tenures[i].service,
                                       f->tenures[i].release_to };
  h->demand_count = limits_report (limits, h->demand, PACKET_MAX_DEMAND, now);
  limits_share (limits, h->claim_count > 0, LEASE_US, now);
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
  bool known = p->knows_us && is_alive (p, now);
  h->echo = lease_echo (f->leases, p->id);
  h->name = bstr_from (known ? "" : o->name);
  h->address = bstr_from (known ? "" : relay_options_bus (o));
  h->failure_domain = bstr_from (known ? "" : o->failure_domain);
  send_to (f, p, m);
}

static uint64_t
digest_of_held (const struct lease_claim *claims, int count)
{
  uint64_t digest = 0;
  for (int i = 0; i < count; i++)
    if (claims[i].held)
      digest ^= claims[i].service;
  return digest;
}

static bool
wants_heartbeat (const struct peer *p, bool urgent, int64_t now)
{
  int64_t period = slowness (p) * HEARTBEAT_US - TICK_US / 2;
  /* Until the voters are known, those that send heartbeats are. */
  bool are_known = directory_has (p->fleet->relay->directory, OBJECT_VOTERS);
  if (!p->is_voter
      && (p->heard == 0 || (are_known && !lease_is_voter (p->fleet->leases))))
    return false;
  if (!p->is_voter && !is_alive (p, now))
    return now - p->last_heartbeat >= SILENT_HEARTBEAT_US;
  return urgent || now - p->last_heartbeat >= period;
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
  describe_self (f, h, now);
  if (is_voter)
    describe_leases (f, h, now);
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && wants_heartbeat (p, urgent, now))
      send_heartbeat (f, p, m, now);
  h->grant_count = h->successor_count = h->demand_count = 0;
  uint64_t held = digest_of_held (h->claims, h->claim_count);
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
  struct lease_claim claims[LEASE_MAX_SERVICES];
  int count = lease_claims (f->leases, claims, now);
  return digest_of_held (claims, count) != f->told_held;
}

static void
on_heartbeat (struct fleet *f, const struct packet *m)
{
  const struct packet_heartbeat *h = &m->heartbeat;
  int64_t now = clock_now ();
  struct peer *p = add_peer (f, m->sender.member);
  bool was_alive = is_alive (p, now);
  bool is_new = p->incarnation != m->sender.incarnation;
  int64_t delta = now - m->sender.stamp;
  if (h->name.len > 0)
    {
      set_text (p, &p->name, h->name);
      set_text (p, &p->address, h->address);
      set_text (p, &p->failure_domain, h->failure_domain);
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
      drop_unconfirmed (p);
    }
  p->incarnation = m->sender.incarnation;
  p->heard = now;
  p->ended = false;
  confirm (p, h->echo);
  if (!is_new && was_alive && h->echo != 0 && h->echo < p->previous_heartbeat
      && now - p->last_heartbeat > CONFIRM_US)
    reset_connection (p, now, "heartbeats do not arrive");
  p->reaches_store = h->reaches_store;
  p->leaving = h->leaving;
  p->ready = h->ready;
  p->claim_count = h->claim_count;
  if (!was_alive || is_new)
    log_info (PART, "event=daemon_heard name=%s restarted=%d",
              p->name != NULL ? p->name : "unknown", is_new);
  for (int i = 0; i < h->successor_count; i++)
    {
      struct tenure *t = find_tenure (f, h->successors[i].service);
      if (t == NULL)
        continue;
      t->successor = h->successors[i].member;
      t->successor_until = now + SUCCESSOR_US;
    }
  if (p->is_voter)
    limits_heard (
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
  bool changed = lease_heard (f->leases, &lease, now);
  if (lease_is_voter (f->leases)
      && (changed || holds_others_than_told (f, now)))
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
  const struct peer *p = find_peer (f, m->sender.member);
  if (p == NULL || p->heard == 0 || p->incarnation != m->sender.incarnation)
    return false;
  return clock_now () - m->sender.stamp - p->clock_delta > MAX_AGE_US;
}

/* From an earlier process of the sender, or from one that has not been heard
   of yet. */
static bool
is_stale (struct fleet *f, const struct packet *m)
{
  const struct peer *p = find_peer (f, m->sender.member);
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
  struct peer *p = find_peer (f, m->sender.member);
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

static bool
may_own (const struct fleet *f, int64_t now)
{
  return lease_is_voter (f->leases) && is_ready (f)
         && lease_in_quorum (f->leases, now);
}

/* In a fleet that starts, the first daemon that is ready would own all
   services.  Others that are about to be ready count too for a while. */
static bool
others_are_starting (const struct fleet *f, int64_t now)
{
  return f->ready_since != 0 && now - f->ready_since < OTHERS_READY_US;
}

/* The voters that may own services.
   @param self where this daemon is among them, -1: it may not. */
static int
list_daemons (const struct fleet *f, struct placement_daemon *out, int *self,
              int64_t now)
{
  struct lease_claim own[LEASE_MAX_SERVICES];
  bool starting = others_are_starting (f, now);
  int count = 0;
  *self = -1;
  if (may_own (f, now))
    {
      *self = count;
      out[count++] = (struct placement_daemon){
        f->relay->self, f->relay->options->failure_domain, own_capacity (f),
        lease_claims (f->leases, own, now)
      };
    }
  for (const struct peer *p = f->peers; p != NULL && count < LEASE_MAX_MEMBERS;
       p = p->next)
    if (is_alive (p, now) && p->is_voter && !p->leaving
        && (p->ready || starting))
      out[count++] = (struct placement_daemon){ p->id, p->failure_domain,
                                                p->capacity, p->claim_count };
  return count;
}

static void
set_claim (struct fleet *f, struct tenure *t, bool wanted, int64_t now)
{
  t->claimed_at = wanted ? now : 0;
  lease_claim (f->leases, t->service, wanted, now);
  fleet_tell_soon (f);
}

static void
log_owner (struct fleet *f, struct tenure *t, uint64_t owner)
{
  if (owner == t->logged_owner)
    return;
  const struct peer *p = find_peer (f, owner);
  t->logged_owner = owner;
  log_info (PART, "event=owner service=%" PRIx64 " owner=%s", t->service,
            owner == 0                ? "none"
            : owner == f->relay->self ? f->relay->options->name
            : p != NULL               ? p->name
                                      : "unknown");
}

/* @return whether another daemon that claims the service too comes first; two
   claims that last take votes from each other. */
static bool
has_better_rival (const struct fleet *f, const struct placement_service *s,
                  const struct placement_daemon *daemons, int count,
                  int64_t now)
{
  struct placement_daemon claimants[LEASE_MAX_MEMBERS];
  int found = 0;
  for (int i = 0; i < count; i++)
    if (daemons[i].id == f->relay->self
        || lease_is_claimant (f->leases, daemons[i].id, s->id, now))
      {
        claimants[found] = daemons[i];
        /* What is claimed is counted already. */
        if (claimants[found].owned > 0)
          claimants[found].owned--;
        found++;
      }
  int best = placement_best (claimants, found, s);
  return best >= 0 && claimants[best].id != f->relay->self;
}

static void
update_tenure (struct fleet *f, struct tenure *t,
               struct placement_daemon *daemons, int count, int64_t now)
{
  uint64_t owner = lease_owner (f->leases, t->service, now);
  struct placement_service service
      = { t->service, owner_primary_domain (f->relay->owner, t->service),
          model_rank };
  log_owner (f, t, owner);
  if (t->claimed_at != 0)
    {
      if (lease_valid_until (f->leases, t->service) > now)
        t->claimed_at = now;
      else if (now - t->claimed_at > CLAIM_US
               || has_better_rival (f, &service, daemons, count, now))
        {
          set_claim (f, t, false, now);
          t->pause_until = now + relay_random ((uint32_t)CLAIM_US);
        }
      return;
    }
  if (owner != 0)
    {
      t->unowned_since = 0;
      return;
    }
  if (t->unowned_since == 0)
    t->unowned_since = now;
  bool named = now < t->successor_until && t->successor != 0;
  int64_t granted_since = lease_grants_since (f->leases);
  int64_t free_since
      = t->unowned_since > granted_since ? t->unowned_since : granted_since;
  int best = named ? -1 : placement_best (daemons, count, &service);
  bool self = named ? t->successor == f->relay->self
                    : best >= 0
                          && (daemons[best].id == f->relay->self
                              || now - free_since > OTHERS_CLAIM_US);
  if (best >= 0)
    daemons[best].owned++;
  if (self && may_own (f, now) && now >= t->pause_until)
    set_claim (f, t, true, now);
}

static int
compare_tenures (const void *a, const void *b)
{
  uint64_t x = ((const struct tenure *)a)->service;
  uint64_t y = ((const struct tenure *)b)->service;
  return (x > y) - (x < y);
}

static void
update_tenures (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_MEMBERS];
  int self;
  const struct config *config = f->relay->config;
  if (config == NULL)
    return;
  for (int i = 0; i < config->service_count; i++)
    find_tenure (f, config->services[i].id);
  /* All daemons go through the services in the same order, so that they
     come to the same distribution. */
  qsort (f->tenures, (size_t)f->tenure_count, sizeof f->tenures[0],
         compare_tenures);
  int count = list_daemons (f, daemons, &self, now);
  for (int i = 0; i < f->tenure_count; i++)
    update_tenure (f, &f->tenures[i], daemons, count, now);
}

/* @return a voter that was silent for long, NULL if there is none. */
static const struct voter_entry *
find_silent_voter (const struct fleet *f, int64_t now)
{
  const struct voter_list *list = voters_list (f->relay->voters);
  for (int i = 0; i < list->count; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      const struct peer *p = find_peer (f, voter->id);
      int64_t heard
          = p != NULL && p->heard > f->started ? p->heard : f->started;
      if (voter->id != f->relay->self && now - heard >= REMOVE_US)
        {
          log_info (PART, "event=voter_removed name=%s silent_ms=%" PRId64,
                    voter->name.start, (now - heard) / USEC_PER_MSEC);
          return voter;
        }
    }
  return NULL;
}

static int
voters_in_domain (const struct fleet *f, const char *failure_domain)
{
  int found = 0;
  const struct voter_list *list = voters_list (f->relay->voters);
  for (int i = 0; i < list->count; i++)
    found
        += bstr_equals_text (list->entries[i].failure_domain, failure_domain);
  return found;
}

/* Large VMs first, then those in a failure domain with few voters. */
static const struct peer *
find_new_voter (const struct fleet *f, int64_t now)
{
  const struct peer *best = NULL;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    {
      if (!p->wants_vote || p->is_voter || p->leaving || !is_alive (p, now)
          || p->address == NULL || !p->knows_us)
        continue;
      if (best == NULL || p->capacity > best->capacity
          || (p->capacity == best->capacity
              && voters_in_domain (f, p->failure_domain)
                     < voters_in_domain (f, best->failure_domain)))
        best = p;
    }
  return best;
}

static bool
leads_the_voters (const struct fleet *f, int64_t now)
{
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (is_alive (p, now) && p->is_voter && p->id < f->relay->self)
      return false;
  return lease_is_voter (f->leases) && lease_in_quorum (f->leases, now)
         && directory_store_answers (f->relay->directory);
}

/* The voter with the smallest id among those that are heard changes the list,
   once all that count know the last change. */
static void
change_voters (struct fleet *f, int64_t now)
{
  struct voters *voters = f->relay->voters;
  const struct voter_list *list = voters_list (voters);
  if (!leads_the_voters (f, now) || !lease_list_is_known (f->leases, now))
    return;
  const struct voter_entry *silent = find_silent_voter (f, now);
  const struct peer *fresh = silent == NULL && list->count < VOTERS_WANTED
                                 ? find_new_voter (f, now)
                                 : NULL;
  bool is_complete = silent == NULL && fresh == NULL;
  if (list->settled != is_complete)
    voters_settle (voters, is_complete);
  else if (silent != NULL)
    voters_remove (voters, silent->id);
  else if (fresh != NULL)
    voters_add (voters,
                &(struct voter_entry){ .name = bstr_from (fresh->name),
                                       .id = fresh->id,
                                       .address = bstr_from (fresh->address),
                                       .failure_domain
                                       = bstr_from (fresh->failure_domain) });
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
process_ended (struct peer *p)
{
  struct fleet *f = p->fleet;
  p->ended = true;
  drop_unconfirmed (p);
  log_warn (PART, "event=daemon_ended name=%s reason=\"nobody listens\"",
            p->name);
  if (lease_ended (f->leases, p->id, p->incarnation))
    fleet_tell_soon (f);
  callers_owners_changed (f->relay->callers);
}

static void
on_check_line (void *data, struct bstr line)
{
  (void)data, (void)line;
}

static void
on_check_closed (void *data, const char *reason)
{
  (void)reason;
  struct peer *p = data;
  bool refused = stream_was_refused (p->check);
  p->check = NULL;
  if (refused && !p->ended)
    process_ended (p);
}

static const struct stream_ops check_ops
    = { .line = on_check_line, .closed = on_check_closed };

static void
check_listener (struct peer *p, int64_t now)
{
  struct error err = { 0 };
  p->last_check = now;
  if (p->check != NULL)
    stream_abort (p->check);
  p->check = stream_connect (
      p->fleet, p->address + strlen ("tcp://"),
      &(struct stream_options){
          .ev = p->fleet->relay->ev, .ops = &check_ops, .data = p },
      &err);
  if (p->check == NULL)
    log_warn (PART, "event=check_failed name=%s reason=\"%s\"", p->name,
              err.text);
}

static void
watch_peers (struct fleet *f, int64_t now)
{
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    {
      int64_t silent = now - p->heard;
      if (p->heard == 0 || p->address == NULL)
        continue;
      int slow = slowness (p);
      if (silent > slow * SILENT_US)
        drop_unconfirmed (p);
      if (silent > slow * CHECK_US && !p->ended && silent < REMOVE_US
          && now - p->last_check > CHECK_PAUSE_US)
        check_listener (p, now);
      else if (silent <= slow * CHECK_US && p->check != NULL)
        {
          stream_abort (p->check);
          p->check = NULL;
        }
      if (silent > slow * QUIET_US && silent < REMOVE_US)
        reset_connection (p, now, "silent");
    }
}

static void
forget_peers (struct fleet *f, int64_t now)
{
  struct peer **at = &f->peers;
  while (*at != NULL)
    {
      struct peer *p = *at;
      if (p->is_voter || now - p->heard < FORGET_US
          || now - f->started < FORGET_US)
        {
          at = &p->next;
          continue;
        }
      *at = p->next;
      lease_forget (f->leases, p->id);
      if (p->check != NULL)
        stream_abort (p->check);
      if (p->address != NULL)
        bus_reset (f->bus, p->address);
      talloc_free (p);
    }
}

/* Give a service to a daemon that has less to do. */
static void
relieve_self (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_MEMBERS];
  struct lease_claim claims[LEASE_MAX_SERVICES];
  int self;
  int claim_count = lease_claims (f->leases, claims, now);
  uint64_t held = digest_of_held (claims, claim_count);
  if (held != f->held)
    {
      f->held = held;
      f->held_since = now;
    }
  int capacity = (int)(f->relay->options->capacity * 1000);
  bool is_slow = own_capacity (f) < capacity;
  if (claim_count == 0
      || now - f->held_since < (is_slow ? SLOW_PAUSE_US : RELIEF_PAUSE_US))
    return;
  int count = list_daemons (f, daemons, &self, now);
  int target = self >= 0 ? placement_relief (daemons, count, self) : -1;
  /* Not all of those with too much move at the same moment. */
  if (target < 0 || (!is_slow && relay_random (2) == 0))
    return;
  log_info (PART,
            "event=relief owned=%d capacity=%d of=%d lag_us=%" PRId64
            " target_owned=%d target_capacity=%d",
            claim_count, own_capacity (f), capacity, f->lag.lag_us,
            daemons[target].owned, daemons[target].capacity);
  owner_give_one (f->relay->owner, daemons[target].id);
  f->held_since = now;
}

static void
on_slow_tick (void *data)
{
  struct fleet *f = data;
  change_voters (f, clock_now ());
  forget_peers (f, clock_now ());
}

static void
on_tick (void *data)
{
  struct fleet *f = data;
  int64_t now = clock_now ();
  placement_lag_note (&f->lag, TICK_US, now);
  if (!is_ready (f))
    f->ready_since = 0;
  else if (f->ready_since == 0)
    {
      f->ready_since = now;
      fleet_tell_soon (f);
    }
  watch_peers (f, now);
  update_tenures (f, now);
  if (now - f->last_round >= HEARTBEAT_US - TICK_US / 2)
    {
      f->last_round = now;
      send_heartbeats (f, false);
      relieve_self (f, now);
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
                                  .term_us = LEASE_US,
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
  uint64_t ids[LEASE_MAX_MEMBERS];
  int count = 0;
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    p->is_voter = false;
  for (int i = 0; i < list->count && count < LEASE_MAX_MEMBERS; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      ids[count++] = voter->id;
      if (voter->id == f->relay->self)
        continue;
      struct peer *p = add_peer (f, voter->id);
      p->is_voter = true;
      set_text (p, &p->name, voter->name);
      set_text (p, &p->address, voter->address);
      set_text (p, &p->failure_domain, voter->failure_domain);
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
    if (is_alive (p, now) && p->is_voter && p->ready && !p->leaving)
      return true;
  return false;
}

uint64_t
fleet_alive (const struct fleet *f, uint64_t member)
{
  if (member == f->relay->self)
    return f->relay->incarnation;
  const struct peer *p = find_peer (f, member);
  return p != NULL && is_alive (p, clock_now ()) ? p->incarnation : 0;
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
  return lease_confirmed_since (f->leases, service, since);
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
    if (p->is_voter && is_alive (p, now)
        && (best == NULL || is_better_source (f, p, best)))
      best = p;
  return best != NULL ? best->id : 0;
}

bool
fleet_in_quorum (const struct fleet *f)
{
  return lease_in_quorum (f->leases, clock_now ());
}

void
fleet_release (struct fleet *f, uint64_t service, uint64_t successor)
{
  struct tenure *t = find_tenure (f, service);
  int64_t now = clock_now ();
  if (t == NULL)
    return;
  t->release_to = successor;
  t->release_until = now + SUCCESSOR_US;
  t->successor = successor;
  t->successor_until = now + SUCCESSOR_US;
  t->pause_until = now + SUCCESSOR_US;
  set_claim (f, t, false, now);
}

int
fleet_store_rank (const struct fleet *f)
{
  int64_t now = clock_now ();
  int rank = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    rank += p->is_voter && is_alive (p, now) && p->reaches_store && !p->leaving
            && p->id < f->relay->self;
  return rank;
}

uint64_t
fleet_store_peer (const struct fleet *f)
{
  int64_t now = clock_now ();
  const struct peer *best = NULL;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (is_alive (p, now) && p->is_voter && p->ready && !p->leaving
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
