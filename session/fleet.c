#include "session/callers.h"
#include "session/commit_query.h"
#include "session/directory.h"
#include "session/evacuation.h"
#include "session/fleet_private.h"
#include "session/owner.h"
#include "session/rate.h"

/* Time between two heartbeats to a silent observer. */
#define SILENT_HEARTBEAT_US (1 * USEC_PER_SEC)
/* Period of the checks whether the list of voters has to change and whether
   the state of observers can be freed. */
#define SLOW_TICK_US (1 * USEC_PER_SEC)
/* The receiver drops statements that were in transit for longer. */
#define MAX_AGE_US (600 * USEC_PER_MSEC)
/* Maximum number of messages that are queued for a peer until its connection
   is open again: what a busy owner sends in half a second. */
#define SEND_QUEUE 1024
/* Maximum number of messages of one peer that are received and not handled.
   Further ones wait at the peer. */
#define RECEIVE_QUEUE 16
/* The owner takes large statements up to this part below the limit of memory,
   so that callers are refused before sessions have to be closed. */
#define OWNER_RESERVE 4
/* Retry time of a statement that is refused for lack of memory. */
#define MEMORY_RETRY_MS 500

static void send_heartbeats (struct fleet *f, bool urgent);

static void
on_heartbeat_event (struct tevent_context *ev, struct tevent_immediate *im,
                    void *data)
{
  (void)ev, (void)im;
  struct fleet *f = data;
  if (f->heartbeats_due)
    send_heartbeats (f, true);
}

void
fleet_schedule_heartbeats (struct fleet *f)
{
  if (f->heartbeats_due)
    return;
  f->heartbeats_due = true;
  tevent_schedule_immediate (f->heartbeat_event, f->sessiond->ev,
                             on_heartbeat_event, f);
}

/** A message to this member itself, to be delivered by the event loop. */
struct local_delivery
{
  struct fleet *fleet;
  struct bstr bytes;
};

static void on_message (void *data, struct bstr bytes);

static void
deliver_local (struct tevent_context *ev, struct tevent_immediate *im,
               void *data)
{
  (void)ev, (void)im;
  struct local_delivery *local = data;
  on_message (local->fleet, local->bytes);
  talloc_free (local);
}

bool
fleet_send (struct fleet *f, uint64_t member, struct packet *message)
{
  if (member == f->sessiond->self)
    {
      struct local_delivery *local = talloc_zero (f, struct local_delivery);
      struct tevent_immediate *im = tevent_create_immediate (local);
      message->sender = (struct packet_sender){
        .member = member,
        .incarnation = f->sessiond->incarnation,
        .stamp = clock_now (),
      };
      local->fleet = f;
      local->bytes = packet_encode (local, message);
      tevent_schedule_immediate (im, f->sessiond->ev, deliver_local, local);
      return true;
    }
  struct peer *p = peer_find (f, member);
  return p != NULL && peer_send (f, p, message);
}

bool
fleet_answer (struct fleet *f, const struct packet *question,
              struct packet *message)
{
  const struct packet_sender *to = &question->sender;
  const struct peer *p = peer_find (f, to->member);
  if (to->member != f->sessiond->self
      && (p == NULL || p->incarnation != to->incarnation))
    return false;
  return fleet_send (f, to->member, message);
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
  return f->sessiond->config != NULL && f->sessiond->leaving_since == 0
         && (!lease_is_voter (f->leases) || lease_may_own (f->leases))
         && directory_has (f->sessiond->directory, OBJECT_ENDPOINTS)
         && evacuations_are_known (f->sessiond->evacuations);
}

/* Fill in the fields that are the same in all heartbeats of one round; the
   others depend on the receiver. */
static void
fill_member_state (const struct fleet *f, struct packet *m, int64_t now)
{
  const struct sessiond *r = f->sessiond;
  struct packet_heartbeat *h = &m->heartbeat;
  h->capacity = fleet_capacity (f);
  h->leaving = r->leaving_since != 0;
  h->ready = fleet_is_ready (f);
  h->wants_vote = voters_wants_vote (r->voters);
  h->epoch = voters_list (r->voters)->epoch;
  h->reaches_store = directory_reaches_store (r->directory);
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

/* Fill in the successors and the demand, which only voters need, and begin the
   next period of the rate limits. */
static void
fill_voter_state (struct fleet *f, struct packet *m, int64_t now)
{
  struct limits *limits = f->sessiond->limits;
  struct packet_heartbeat *h = &m->heartbeat;
  h->successors
      = talloc_array (m, struct packet_successor, (size_t)f->ownership_count);
  for (int i = 0; i < f->ownership_count; i++)
    if (now < f->ownerships[i].release_until)
      h->successors[h->successor_count++]
          = (struct packet_successor){ f->ownerships[i].service,
                                       f->ownerships[i].release_to };
  h->demand = talloc_array (m, struct limits_usage, PACKET_MAX_DEMAND);
  h->has_demand = true;
  h->demand_count = limits_write_report (limits, h->demand, PACKET_MAX_DEMAND,
                                         now, &h->demand_is_full);
  h->progress
      = talloc_array (m, struct packet_progress, (size_t)f->ownership_count);
  h->progress_count = owner_write_progress (f->sessiond->owner, h->progress,
                                            f->ownership_count);
  limits_set_majority (limits, fleet_in_quorum (f), now);
  limits_begin_period (limits, h->ready, LEASE_DURATION_US, now);
  rate_supply_changed (f->sessiond->rate);
}

static void
send_heartbeat (struct fleet *f, struct peer *p, struct packet *m, int64_t now)
{
  const struct sessiond_options *o = f->sessiond->options;
  struct packet_heartbeat *h = &m->heartbeat;
  if (now - p->heartbeat_sent_at > HEARTBEAT_CONFIRM_US)
    p->previous_heartbeat_sent_at = p->heartbeat_sent_at;
  p->heartbeat_sent_at = now;
  /* A process that was restarted does not know this member's name, address
     and failure domain. */
  bool known = p->knows_us && peer_is_alive (p, now);
  h->echo = lease_newest_echo (f->leases, p->id);
  h->name = bstr_from (known ? "" : o->name);
  h->address = bstr_from (known ? "" : sessiond_options_bus_address (o));
  h->failure_domain = bstr_from (known ? "" : o->failure_domain);
  peer_send (f, p, m);
}

/* @return whether to send the peer a heartbeat now.
   @param urgent true: do not wait for the end of the period. */
static bool
is_heartbeat_due (const struct peer *p, bool urgent, int64_t now)
{
  int64_t period = peer_time_factor (p) * HEARTBEAT_US - TICK_US / 2;
  /* An observer sends heartbeats to the voters only.  A voter, or a member
     that does not know the voters yet, also sends them to the other peers
     that it has received heartbeats from. */
  bool voters_known = voters_list (p->fleet->sessiond->voters)->count > 0;
  if (!p->is_voter
      && (p->received_at == 0
          || (voters_known && !lease_is_voter (p->fleet->leases))))
    return false;
  if (!p->is_voter && !peer_is_alive (p, now))
    return now - p->heartbeat_sent_at >= SILENT_HEARTBEAT_US;
  return urgent || now - p->heartbeat_sent_at >= period;
}

/** The grants of this voter to all members. */
struct grants
{
  struct lease_grant *items;
  int count;
};

/* Copy the grants to one member into its heartbeat. */
static void
select_grants (const struct grants *all, uint64_t member,
               struct packet_heartbeat *h)
{
  h->grant_count = 0;
  for (int i = 0; i < all->count; i++)
    if (all->items[i].member == member)
      h->grants[h->grant_count++] = all->items[i];
}

/* Send the heartbeats that are due.
   @param urgent true, if for instance a grant or a claim has changed: send to
   all voters without waiting for the next period. */
static void
send_heartbeats (struct fleet *f, bool urgent)
{
  int64_t now = clock_now ();
  struct packet *m = talloc_zero (f, struct packet);
  struct packet_heartbeat *h = &m->heartbeat;
  bool is_voter = lease_is_voter (f->leases);
  f->heartbeats_due = false;
  m->kind = PACKET_HEARTBEAT;
  size_t services = (size_t)lease_service_count (f->leases);
  struct grants grants
      = { .items = talloc_array (m, struct lease_grant, services) };
  h->grants = talloc_array (m, struct lease_grant, services);
  /* The grants come before the claims, as computing them may make this member
     the owner of a service. */
  if (is_voter)
    grants.count = lease_write_grants (f->leases, grants.items, now);
  fill_member_state (f, m, now);
  if (is_voter)
    fill_voter_state (f, m, now);
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && is_heartbeat_due (p, urgent, now))
      {
        select_grants (&grants, p->id, h);
        send_heartbeat (f, p, m, now);
      }
  h->grant_count = h->successor_count = h->demand_count = 0;
  h->progress_count = 0;
  h->has_demand = false;
  uint64_t owned_digest = lease_owned_digest (f->leases, now);
  bool observers_outdated = owned_digest != f->reported_digest;
  f->reported_digest = owned_digest;
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    if (!p->is_voter && is_heartbeat_due (p, observers_outdated, now))
      send_heartbeat (f, p, m, now);
  talloc_free (m);
}

/* @return whether the services that this member owns differ from those that
   it has reported to the observers.  Observers send statements to the member
   that has reported the service as its own. */
static bool
has_unreported_services (const struct fleet *f, int64_t now)
{
  return lease_owned_digest (f->leases, now) != f->reported_digest;
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
  int64_t echo = lease_echoed_stamp (h->echo, f->sessiond->incarnation);
  if (h->name.len > 0)
    {
      peer_set_text (p, &p->name, h->name);
      peer_set_text (p, &p->address, h->address);
      peer_set_text (p, &p->failure_domain, h->failure_domain);
    }
  p->capacity = h->capacity;
  p->knows_us = echo != 0;
  p->wants_vote = h->wants_vote;
  if (is_new || delta < p->clock_delta)
    p->clock_delta = delta;
  if (is_new)
    {
      p->last_received_number = 0;
      p->last_sent_number = 0;
      peer_drop_unconfirmed (p);
    }
  p->incarnation = m->sender.incarnation;
  p->received_at = now;
  p->refused = false;
  peer_confirm (p, echo);
  if (!is_new && was_alive && echo != 0 && echo < p->previous_heartbeat_sent_at
      && now - p->heartbeat_sent_at > HEARTBEAT_CONFIRM_US)
    peer_reset_connection (p, now, "heartbeats do not arrive");
  p->reaches_store = h->reaches_store;
  p->leaving = h->leaving;
  p->ready = h->ready;
  p->claim_count = h->claim_count;
  if (!was_alive || is_new)
    log_info (PART, "event=daemon_heard name=%s restarted=%d",
              p->name != NULL ? LOG_TEXT (bstr_from (p->name)) : "unknown",
              is_new);
  bool is_named = false;
  for (int i = 0; i < h->successor_count; i++)
    {
      struct ownership *t = ownership_find (f, h->successors[i].service);
      if (t == NULL)
        continue;
      t->successor = h->successors[i].member;
      t->successor_until = now + SUCCESSOR_CLAIM_US;
      is_named |= t->successor == f->sessiond->self && t->claimed_at == 0;
    }
  if (p->is_voter)
    limits_record_report (
        f->sessiond->limits,
        &(struct limits_sender){ p->id, p->incarnation, m->sender.stamp,
                                 h->ready, h->demand_is_full },
        h->has_demand ? h->demand : NULL, h->demand_count, now);
  if (p->is_voter && echo != 0)
    owner_record_progress (f->sessiond->owner, h, echo);
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
  /* Only voters send heartbeats ahead of the period: observers grant nothing
     and are many.  A voter that has just started grants nothing until the
     others have answered. */
  if (lease_is_voter (f->leases)
      && (changed
          || (p->is_voter && (is_new || has_unreported_services (f, now)))))
    fleet_schedule_heartbeats (f);
  if (is_named)
    ownerships_update (f, now);
  directory_compare_revisions (f->sessiond->directory, p->id, h);
  if (p->is_voter)
    owner_check_leases (f->sessiond->owner);
  if (p->is_voter || is_new)
    callers_owners_changed (f->sessiond->callers);
}

/* @return whether the message was in transit for too long.  The clocks of two
   members are not synchronised; the offset between them is taken from the
   heartbeat that arrived fastest. */
static bool
is_too_old (const struct fleet *f, const struct packet *m)
{
  const struct peer *p = peer_find (f, m->sender.member);
  if (p == NULL || p->received_at == 0
      || p->incarnation != m->sender.incarnation)
    return false;
  return clock_now () - m->sender.stamp - p->clock_delta > MAX_AGE_US;
}

/* @return whether the message comes from a previous process of the sender, or
   from a process whose first heartbeat has not arrived yet, or is a heartbeat
   that arrives after a newer one: a partition may hold up a connection while
   a new one is in use. */
static bool
is_stale (struct fleet *f, const struct packet *m)
{
  const struct peer *p = peer_find (f, m->sender.member);
  if (m->sender.member == f->sessiond->self)
    return false;
  if (m->kind == PACKET_HEARTBEAT)
    return lease_is_stale (f->leases, m->sender.member, m->sender.incarnation,
                           clock_now ())
           || (p != NULL && p->incarnation == m->sender.incarnation
               && m->sender.stamp
                      <= lease_newest_echo (f->leases, m->sender.member)
                             .stamp);
  return p == NULL || p->incarnation != m->sender.incarnation;
}

/* @return whether the message was received before; records its number. */
static bool
is_duplicate (struct fleet *f, const struct packet *m)
{
  struct peer *p = peer_find (f, m->sender.member);
  if (m->sender.number == 0 || p == NULL
      || p->incarnation != m->sender.incarnation)
    return false;
  if (m->sender.number <= p->last_received_number)
    return true;
  p->last_received_number = m->sender.number;
  return false;
}

/* Account for a large statement until it has ended.  Under pressure one that
   stands alone is refused, as its caller can repeat it; statements of a
   transaction are as few as the connections to the databases.
   @return false if it was refused and freed. */
static bool
admit_statement_memory (struct fleet *f, struct packet *m, size_t bytes)
{
  struct memory_account *memory = f->sessiond->memory;
  const struct packet_statement *s = &m->statement;
  size_t reserve = memory_account_limit (memory) / OWNER_RESERVE;
  if (bytes < FLEET_CHARGED_BYTES)
    return true;
  if (s->in_transaction || s->verb == VERB_BEGIN
      || memory_account_has_room (memory, bytes + reserve))
    {
      memory_account_charge (memory, m, bytes);
      return true;
    }
  struct packet r = { .kind = PACKET_RESULT };
  r.result.session = s->session;
  r.result.sequence = s->sequence;
  r.result.outcome = OUTCOME_BUSY;
  r.result.text = bstr_from ("no memory for large statements");
  r.result.retry_ms = MEMORY_RETRY_MS;
  ++*stats_counter (f->sessiond->stats,
                    "azurewind_large_statements_refused_total", "");
  sessiond_log_request (PART, "event=memory_refused id=%s bytes=%zu total=%zu",
                        LOG_TEXT (s->id), bytes,
                        memory_account_total (memory));
  fleet_answer (f, m, &r);
  talloc_free (m);
  return false;
}

static void
on_message (void *data, struct bstr bytes)
{
  struct fleet *f = data;
  struct packet *m = talloc_zero (f, struct packet);
  if (!packet_decode (m, bytes, m))
    {
      log_warn (PART, "event=message_rejected bytes=%zu", bytes.len);
      goto done;
    }
  if (m->sender.receiver_incarnation != 0
      && m->sender.receiver_incarnation != f->sessiond->incarnation)
    goto done;
  if (is_stale (f, m) || is_duplicate (f, m))
    goto done;
  switch (m->kind)
    {
    case PACKET_HEARTBEAT:
      if (m->sender.member != f->sessiond->self)
        on_heartbeat (f, m);
      break;
    case PACKET_STATEMENT:
      if (is_too_old (f, m))
        log_warn (PART, "event=statement_dropped id=%s reason=too_old",
                  LOG_TEXT (m->statement.id));
      else
        {
          if (admit_statement_memory (f, m, bytes.len))
            owner_handle_statement (f->sessiond->owner, m);
          m = NULL;
        }
      break;
    case PACKET_RESULT:
      callers_handle_result (f->sessiond->callers, m);
      break;
    case PACKET_ABANDON:
      owner_handle_session_end (f->sessiond->owner, m);
      break;
    case PACKET_FETCH:
      directory_send_copy (f->sessiond->directory, m->sender.member,
                           m->copy.kind);
      break;
    case PACKET_COPY:
      directory_apply_copy (f->sessiond->directory, &m->copy);
      break;
    case PACKET_PROBE:
      owner_handle_probe (f->sessiond->owner, m);
      break;
    case PACKET_COMMIT:
      owner_handle_commit_query (f->sessiond->owner, m);
      break;
    case PACKET_COMMIT_ANSWER:
      commit_queries_handle_answer (f->sessiond->commit_queries, m);
      break;
    default:
      owner_handle_probe_answer (f->sessiond->owner, m);
      break;
    }
done:
  talloc_free (m);
}

/* @return whether voter a is a better source of copies than voter b: one with
   more capacity, as copies are long; then one in the own failure domain.
   Among equals the rank, which differs for each observer, spreads the
   observers over the voters. */
static bool
is_better_source (const struct fleet *f, const struct peer *a,
                  const struct peer *b)
{
  const char *own = f->sessiond->options->failure_domain;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  bool a_near
      = a->failure_domain != NULL && strcmp (a->failure_domain, own) == 0;
  bool b_near
      = b->failure_domain != NULL && strcmp (b->failure_domain, own) == 0;
  if (a_near != b_near)
    return a_near;
  return model_rank (f->sessiond->self, a->id)
         > model_rank (f->sessiond->self, b->id);
}

static void
on_slow_tick (void *data)
{
  struct fleet *f = data;
  peers_forget_observers (f, clock_now ());
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
      fleet_schedule_heartbeats (f);
    }
  peers_check (f, now);
  ownerships_update (f, now);
  if (now - f->last_heartbeat_round >= HEARTBEAT_US - TICK_US / 2)
    {
      f->last_heartbeat_round = now;
      send_heartbeats (f, false);
      ownerships_rebalance (f, now);
      fleet_change_voters (f, now);
    }
  owner_check_leases (f->sessiond->owner);
}

struct fleet *
fleet_create (struct sessiond *r, struct error *err)
{
  struct fleet *f = talloc_zero (r, struct fleet);
  f->sessiond = r;
  f->started_at = clock_now ();
  f->heartbeat_event = tevent_create_immediate (f);
  f->leases = lease_create (
      f, &(struct lease_options){ .self = r->self,
                                  .incarnation = r->incarnation,
                                  .duration_us = LEASE_DURATION_US,
                                  .now = f->started_at });
  f->bus = bus_create (f,
                       &(struct bus_options){ .ev = r->ev,
                                              .address = r->options->bus,
                                              .max_message = PACKET_MAX_BYTES,
                                              .send_queue = SEND_QUEUE,
                                              .receive_queue = RECEIVE_QUEUE,
                                              .received = on_message,
                                              .data = f },
                       err);
  if (f->bus == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  sessiond_call_every (r, f, TICK_US, on_tick, f);
  sessiond_call_every (r, f, SLOW_TICK_US, on_slow_tick, f);
  return f;
}

/* Close the connections to addresses that no known member has any more: the
   address of a VM that was replaced may now belong to another VM. */
static void
close_unused_connections (struct fleet *f)
{
  int64_t now = clock_now ();
  int count = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    count++;
  const char **addresses = talloc_array (f, const char *, (size_t)count + 1);
  count = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->address != NULL
        && (p->is_voter
            || (p->received_at > 0
                && now - p->received_at < OBSERVER_FORGET_US)))
      addresses[count++] = p->address;
  bus_keep_only (f->bus, addresses, count);
  talloc_free (addresses);
}

void
fleet_voters_changed (struct fleet *f)
{
  const struct voter_list *list = voters_list (f->sessiond->voters);
  uint64_t ids[LEASE_MAX_VOTERS];
  enum lease_voter_change changes[LEASE_MAX_VOTERS];
  int count = 0;
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    p->is_voter = false;
  for (int i = 0; i < list->count && count < LEASE_MAX_VOTERS; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      changes[count] = voter->change;
      ids[count++] = voter->id;
      if (voter->id == f->sessiond->self)
        continue;
      struct peer *p = peer_add (f, voter->id);
      p->is_voter = true;
      peer_set_text (p, &p->name, voter->name);
      peer_set_text (p, &p->address, voter->address);
      peer_set_text (p, &p->failure_domain, voter->failure_domain);
    }
  lease_set_voters (f->leases,
                    &(struct lease_voters){ .ids = ids,
                                            .changes = changes,
                                            .count = count,
                                            .epoch = list->epoch,
                                            .settled = list->settled },
                    clock_now ());
  log_info (PART, "event=voters count=%d voter=%d settled=%d epoch=%" PRIu64,
            count, lease_is_voter (f->leases), list->settled, list->epoch);
  close_unused_connections (f);
  fleet_schedule_heartbeats (f);
}

uint64_t
fleet_owner (const struct fleet *f, uint64_t service)
{
  return lease_owner (f->leases, service, clock_now ());
}

int64_t
fleet_lease_end (const struct fleet *f, uint64_t service)
{
  return lease_expected_end (f->leases, service);
}

uint64_t
fleet_reader (const struct fleet *f, uint64_t service)
{
  const char *domain = f->sessiond->options->failure_domain;
  int64_t now = clock_now ();
  uint64_t best = 0;
  /* The reader would send every read on to the owner. */
  if (evacuations_have (f->sessiond->evacuations, domain))
    return 0;
  if (lease_is_voter (f->leases) && fleet_is_ready (f))
    best = f->sessiond->self;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (p->is_voter && p->ready && !p->leaving && peer_is_alive (p, now)
        && p->failure_domain != NULL && strcmp (p->failure_domain, domain) == 0
        && (best == 0
            || model_rank (service, p->id) > model_rank (service, best)))
      best = p->id;
  return best;
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
fleet_live_incarnation (const struct fleet *f, uint64_t member)
{
  if (member == f->sessiond->self)
    return f->sessiond->incarnation;
  const struct peer *p = peer_find (f, member);
  return p != NULL && peer_is_alive (p, clock_now ()) ? p->incarnation : 0;
}

int64_t
fleet_owns_until (const struct fleet *f, uint64_t service)
{
  return lease_valid_until (f->leases, service);
}

void
fleet_set_primary_state (struct fleet *f, uint64_t service,
                         enum lease_state state, uint64_t term)
{
  lease_set_state (f->leases, service, state);
  lease_set_term (f->leases, service, term);
  fleet_schedule_heartbeats (f);
}

uint64_t
fleet_newest_term (const struct fleet *f, uint64_t service)
{
  return lease_newest_term (f->leases, service);
}

bool
fleet_majority_knows_term (const struct fleet *f, uint64_t service)
{
  return lease_majority_knows_term (f->leases, service);
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
  struct ownership *t = ownership_find (f, service);
  int64_t now = clock_now ();
  if (t == NULL)
    return;
  t->release_to = successor;
  t->release_until = now + SUCCESSOR_CLAIM_US;
  t->successor = successor;
  t->successor_until = now + SUCCESSOR_CLAIM_US;
  t->pause_until = now + SUCCESSOR_CLAIM_US;
  ownership_claim (f, t, false, now);
}

int
fleet_store_rank (const struct fleet *f)
{
  int64_t now = clock_now ();
  int rank = 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    rank += p->is_voter && peer_is_alive (p, now) && p->reaches_store
            && !p->leaving && p->id < f->sessiond->self;
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
fleet_loop_lag_us (const struct fleet *f)
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
