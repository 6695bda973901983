#include "core/lease.h"

#include "common/sorted.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Margin in percent that a granting member adds, for clocks that run at
   slightly different rates. */
#define CLOCK_MARGIN_PERCENT 2
/* Leases after which a list of voters is known: the last one that was
   granted by an older list, and its margin. */
#define KNOWN_TERMS 2
/* Leases for which an observer believes what it heard last of an owner. */
#define OBSERVER_TERMS 2
/* Time in percent of a lease after which an observer misses a voter: three
   heartbeats to observers. */
#define OBSERVER_SILENCE_PERCENT 130

/** A grant that counts until its lease ends, also while the list of voters
 * changes. */
struct counted_grant
{
  uint64_t service;
  int64_t echo; /**< It was made later than this, by the own clock. */
};

struct peer
{
  uint64_t id;
  uint64_t incarnation;
  int64_t stamp;       /**< Newest of its stamps. */
  int64_t heard;       /**< Own clock. */
  int64_t echo;        /**< Newest stamp of ours that it has. */
  uint64_t epoch;      /**< Of its list of voters. */
  int64_t epoch_since; /**< Own clock. */
  bool is_member;
  bool ended; /**< The process is known to have ended; it owns nothing. */
  struct lease_claim *claims;
  int claim_count;
  struct lease_grant *grants;
  int grant_count;
  /* Its grants to this process that count. */
  struct counted_grant *counted;
  int counted_count;
};

struct service_lease
{
  uint64_t service; /**< First, as the table is searched by it. */
  bool claimed;
  int64_t claimed_at;
  uint64_t granted_to; /**< 0: nobody. */
  uint64_t granted_incarnation;
  int64_t granted_until;
  enum lease_state state; /**< Own, while it is claimed. */
  bool changing;          /**< The last owner said so. */
};

struct lease_table
{
  struct lease_options options;
  struct peer *peers;
  int peer_count;
  uint64_t epoch; /**< Of the list of voters. */
  int64_t epoch_since;
  bool settled;
  bool is_member;    /**< This process is a voter. */
  int member_count;  /**< Voters, this process included if it is one. */
  uint64_t smallest; /**< Id of the member with the casting vote. */
  struct service_lease *services; /**< Sorted by service. */
  int service_count;
};

struct lease_table *
lease_create (void *parent, const struct lease_options *options)
{
  struct lease_table *t = talloc_zero (parent, struct lease_table);
  t->options = *options;
  t->smallest = UINT64_MAX;
  return t;
}

static struct peer *
find_peer (const struct lease_table *t, uint64_t id)
{
  for (int i = 0; i < t->peer_count; i++)
    if (t->peers[i].id == id)
      return &t->peers[i];
  return NULL;
}

static struct peer *
add_peer (struct lease_table *t, uint64_t id)
{
  struct peer *p = find_peer (t, id);
  if (p != NULL)
    return p;
  t->peers
      = talloc_realloc (t, t->peers, struct peer, (size_t)t->peer_count + 1);
  p = &t->peers[t->peer_count++];
  memset (p, 0, sizeof *p);
  p->id = id;
  return p;
}

/* @return where the service is, or belongs, in the sorted table. */
static int
place_of (const struct lease_table *t, uint64_t service)
{
  return sorted_place (t->services, t->service_count, sizeof t->services[0],
                       service);
}

static struct service_lease *
find_service (const struct lease_table *t, uint64_t service)
{
  int i = place_of (t, service);
  return i < t->service_count && t->services[i].service == service
             ? &t->services[i]
             : NULL;
}

static bool
is_to_self (const struct lease_table *t, const struct lease_grant *grant)
{
  return grant->member == t->options.self
         && grant->incarnation == t->options.incarnation;
}

static const struct lease_grant *
grant_to_self (const struct lease_table *t, const struct peer *p,
               uint64_t service)
{
  for (int i = 0; i < p->grant_count; i++)
    if (p->grants[i].service == service && is_to_self (t, &p->grants[i]))
      return &p->grants[i];
  return NULL;
}

static const struct counted_grant *
find_counted (const struct peer *p, uint64_t service)
{
  for (int i = 0; i < p->counted_count; i++)
    if (p->counted[i].service == service)
      return &p->counted[i];
  return NULL;
}

/* A grant counts from when the voter has the same list.  It is renewed also by
   a voter that still has an older one: its grants exclude each other.  A voter
   that has a newer list renews nothing, so that owners by this list end before
   the list after the next one. */
static void
count_grants (struct lease_table *t, struct peer *p)
{
  struct counted_grant *counted
      = talloc_array (t, struct counted_grant, (size_t)p->grant_count);
  int count = 0;
  for (int i = 0; i < p->grant_count; i++)
    {
      uint64_t service = p->grants[i].service;
      const struct counted_grant *before = find_counted (p, service);
      if (!is_to_self (t, &p->grants[i]) || find_service (t, service) == NULL)
        continue;
      if (p->epoch == t->epoch || (before != NULL && p->epoch < t->epoch))
        counted[count++] = (struct counted_grant){ service, p->echo };
      else if (before != NULL)
        counted[count++] = *before;
    }
  talloc_free (p->counted);
  p->counted = counted;
  p->counted_count = count;
}

static void
withdraw_grant (struct service_lease *s)
{
  s->granted_to = 0;
  s->granted_until = 0;
}

void
lease_set_voters (struct lease_table *t, const struct lease_voters *list,
                  int64_t now)
{
  bool was_voter = t->is_member;
  if (list->epoch != t->epoch)
    t->epoch_since = now;
  t->epoch = list->epoch;
  t->settled = list->settled;
  for (int i = 0; i < t->peer_count; i++)
    t->peers[i].is_member = false;
  t->member_count = 0;
  t->smallest = UINT64_MAX;
  t->is_member = false;
  for (int i = 0; i < list->count && i < LEASE_MAX_MEMBERS; i++)
    {
      t->member_count++;
      if (list->ids[i] < t->smallest)
        t->smallest = list->ids[i];
      if (list->ids[i] == t->options.self)
        t->is_member = true;
      else
        add_peer (t, list->ids[i])->is_member = true;
    }
  /* Some have had this list for a while. */
  for (int i = 0; i < t->peer_count; i++)
    if (t->peers[i].epoch == t->epoch)
      count_grants (t, &t->peers[i]);
  /* What an observer has heard is no grant. */
  for (int i = 0; i < t->service_count && t->is_member && !was_voter; i++)
    withdraw_grant (&t->services[i]);
}

static struct service_lease *
add_service (struct lease_table *t, uint64_t service)
{
  struct service_lease *s = find_service (t, service);
  if (s != NULL || t->service_count == LEASE_MAX_SERVICES)
    return s;
  t->services = talloc_realloc (t, t->services, struct service_lease,
                                (size_t)t->service_count + 1);
  int i = place_of (t, service);
  s = &t->services[i];
  memmove (s + 1, s, sizeof *s * (size_t)(t->service_count - i));
  t->service_count++;
  memset (s, 0, sizeof *s);
  s->service = service;
  return s;
}

static bool
claims (const struct peer *p, uint64_t service)
{
  for (int i = 0; i < p->claim_count; i++)
    if (p->claims[i].service == service)
      return true;
  return false;
}

/* Whoever owns a service claims it in every heartbeat.  If all members were
   heard since the start and none of the others claims it, it has no owner. */
static bool
nobody_else_claims (const struct lease_table *t, uint64_t service,
                    uint64_t claimant)
{
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (!p->is_member || p->ended || p->id == claimant)
        continue;
      if (p->heard == 0 || claims (p, service))
        return false;
    }
  return true;
}

/* A member that has just started does not know what it granted before. */
static bool
may_grant (const struct lease_table *t, uint64_t service, uint64_t claimant,
           int64_t now)
{
  int64_t margin = t->options.term_us * CLOCK_MARGIN_PERCENT / 100;
  return t->is_member
         && (now >= t->options.now + t->options.term_us + margin
             || (t->settled && nobody_else_claims (t, service, claimant)));
}

int64_t
lease_grants_since (const struct lease_table *t)
{
  return t->settled ? t->options.now : t->options.now + t->options.term_us;
}

bool
lease_is_claimant (const struct lease_table *t, uint64_t member,
                   uint64_t service, int64_t now)
{
  const struct peer *p = find_peer (t, member);
  return p != NULL && p->is_member && !p->ended && p->heard > 0
         && now - p->heard <= t->options.term_us && claims (p, service);
}

static bool
try_grant (struct lease_table *t, struct service_lease *s, uint64_t member,
           uint64_t incarnation, int64_t now)
{
  bool is_holder
      = s->granted_to == member && s->granted_incarnation == incarnation;
  if (!may_grant (t, s->service, member, now))
    return false;
  if (!is_holder && s->granted_to != 0 && now < s->granted_until)
    return false;
  s->granted_to = member;
  s->granted_incarnation = incarnation;
  s->granted_until = now + t->options.term_us
                     + t->options.term_us * CLOCK_MARGIN_PERCENT / 100;
  return !is_holder;
}

/* An observer follows the claims of those that own a service. */
static bool
observe (struct lease_table *t, struct service_lease *s,
         const struct lease_heartbeat *h, const struct lease_claim *claim,
         int64_t now)
{
  bool is_holder = s->granted_to == h->member
                   && s->granted_incarnation == h->incarnation
                   && now < s->granted_until;
  if (!claim->held)
    return false;
  s->granted_to = h->member;
  s->granted_incarnation = h->incarnation;
  s->granted_until = now + OBSERVER_TERMS * t->options.term_us;
  return !is_holder;
}

void
lease_claim (struct lease_table *t, uint64_t service, bool wanted, int64_t now)
{
  struct service_lease *s = add_service (t, service);
  if (s == NULL)
    return;
  if (wanted && !s->claimed)
    {
      s->claimed_at = now;
      s->state = LEASE_UNKNOWN;
    }
  s->claimed = wanted;
  if (!wanted && s->granted_to == t->options.self)
    withdraw_grant (s);
}

static void
note_state (struct service_lease *s, enum lease_state state)
{
  if (state != LEASE_UNKNOWN)
    s->changing = state == LEASE_CHANGING;
}

void
lease_set_state (struct lease_table *t, uint64_t service,
                 enum lease_state state)
{
  struct service_lease *s = find_service (t, service);
  if (s == NULL || !s->claimed)
    return;
  s->state = state;
  note_state (s, state);
}

static bool
is_claimed_by (const struct lease_heartbeat *h, uint64_t service)
{
  for (int i = 0; i < h->claim_count; i++)
    if (h->claims[i].service == service)
      return true;
  return false;
}

void
lease_forget (struct lease_table *t, uint64_t member)
{
  struct peer *p = find_peer (t, member);
  if (p == NULL || p->is_member)
    return;
  talloc_free (p->claims);
  talloc_free (p->grants);
  talloc_free (p->counted);
  *p = t->peers[--t->peer_count];
}

bool
lease_ended (struct lease_table *t, uint64_t member, uint64_t incarnation)
{
  bool changed = false;
  struct peer *p = add_peer (t, member);
  if (p->incarnation == incarnation || p->incarnation == 0)
    {
      p->ended = true;
      p->claim_count = 0;
    }
  for (int i = 0; i < t->service_count; i++)
    if (t->services[i].granted_to == member
        && t->services[i].granted_incarnation == incarnation)
      {
        withdraw_grant (&t->services[i]);
        changed = true;
      }
  return changed;
}

bool
lease_is_stale (const struct lease_table *t, uint64_t member,
                uint64_t incarnation, int64_t now)
{
  const struct peer *p = find_peer (t, member);
  return p != NULL && incarnation < p->incarnation
         && now - p->heard < 2 * t->options.term_us;
}

static void
note_claims (struct lease_table *t, struct peer *p,
             const struct lease_heartbeat *h)
{
  talloc_free (p->claims);
  talloc_free (p->grants);
  p->claim_count = h->claim_count;
  p->claims = talloc_memdup (t, h->claims,
                             sizeof *h->claims * (size_t)h->claim_count);
  p->grant_count = h->grant_count;
  p->grants = talloc_memdup (t, h->grants,
                             sizeof *h->grants * (size_t)h->grant_count);
}

bool
lease_heard (struct lease_table *t, const struct lease_heartbeat *h,
             int64_t now)
{
  struct peer *p = add_peer (t, h->member);
  bool changed = false;
  if (lease_is_stale (t, h->member, h->incarnation, now)
      || (p->incarnation == h->incarnation && h->stamp <= p->stamp))
    return false;
  /* A new process at the same address shows that the old one has ended. */
  if (p->incarnation != 0 && p->incarnation != h->incarnation)
    changed = lease_ended (t, h->member, p->incarnation);
  if (p->epoch != h->epoch || p->incarnation != h->incarnation)
    p->epoch_since = now;
  if (p->incarnation != h->incarnation)
    p->counted_count = 0;
  p->epoch = h->epoch;
  p->incarnation = h->incarnation;
  p->stamp = h->stamp;
  p->heard = now;
  p->ended = false;
  p->echo = h->echo;
  note_claims (t, p, h);
  count_grants (t, p);
  for (int i = 0; i < t->service_count; i++)
    {
      struct service_lease *s = &t->services[i];
      if (s->granted_to == h->member
          && s->granted_incarnation == h->incarnation
          && !is_claimed_by (h, s->service))
        {
          withdraw_grant (s);
          changed = true;
        }
    }
  for (int i = 0; i < h->claim_count; i++)
    {
      struct service_lease *s = add_service (t, h->claims[i].service);
      if (s == NULL)
        continue;
      if (t->is_member)
        changed |= try_grant (t, s, h->member, h->incarnation, now);
      else
        changed |= observe (t, s, h, &h->claims[i], now);
      if (s->granted_to == h->member)
        note_state (s, h->claims[i].state);
    }
  return changed;
}

/* With an even number of voters one of them has two votes, so that one half
   of a fleet that is cut in two can go on. */
static bool
has_casting_vote (const struct lease_table *t)
{
  return t->settled && t->member_count % 2 == 0;
}

static int
votes_of (const struct lease_table *t, uint64_t member)
{
  return has_casting_vote (t) && member == t->smallest ? 2 : 1;
}

static int
votes_needed (const struct lease_table *t)
{
  return (t->member_count + has_casting_vote (t)) / 2 + 1;
}

/** A grant by another member. */
struct proof
{
  int64_t at; /**< Own clock: the grant was made later than this. */
  int votes;
};

static int
compare_proofs (const void *a, const void *b)
{
  int64_t x = ((const struct proof *)a)->at;
  int64_t y = ((const struct proof *)b)->at;
  return x < y ? 1 : x > y ? -1 : 0;
}

/* @return the time of the oldest of the newest grants that make a majority,
   -1 if there is none. */
static int64_t
majority_at (const struct lease_table *t, const struct service_lease *s)
{
  struct proof proofs[LEASE_MAX_MEMBERS];
  int count = 0;
  int missing = votes_needed (t) - votes_of (t, t->options.self);
  int64_t at = INT64_MAX;
  if (!t->is_member || !s->claimed || s->granted_to != t->options.self
      || s->granted_incarnation != t->options.incarnation)
    return -1;
  for (int i = 0; i < t->peer_count && count < LEASE_MAX_MEMBERS; i++)
    {
      const struct peer *p = &t->peers[i];
      const struct counted_grant *grant
          = p->is_member ? find_counted (p, s->service) : NULL;
      /* A grant counts only if it answers a heartbeat with this claim. */
      if (grant != NULL && grant->echo >= s->claimed_at)
        proofs[count++] = (struct proof){ grant->echo, votes_of (t, p->id) };
    }
  qsort (proofs, (size_t)count, sizeof proofs[0], compare_proofs);
  for (int i = 0; i < count && missing > 0; i++)
    {
      missing -= proofs[i].votes;
      at = proofs[i].at;
    }
  return missing <= 0 ? at : -1;
}

static int64_t
valid_until (const struct lease_table *t, const struct service_lease *s)
{
  int64_t at = majority_at (t, s);
  if (at < 0)
    return 0;
  if (at > s->granted_until - t->options.term_us)
    return s->granted_until;
  return at + t->options.term_us;
}

int64_t
lease_valid_until (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL ? valid_until (t, s) : 0;
}

bool
lease_confirmed_since (const struct lease_table *t, uint64_t service,
                       int64_t since)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL && majority_at (t, s) >= since;
}

bool
lease_is_changing (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  if (s == NULL || s->changing)
    return s != NULL;
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct lease_grant *grant
          = grant_to_self (t, &t->peers[i], service);
      if (t->peers[i].is_member && grant != NULL && grant->changing)
        return true;
    }
  return false;
}

uint64_t
lease_owner (const struct lease_table *t, uint64_t service, int64_t now)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL && now < s->granted_until ? s->granted_to : 0;
}

bool
lease_list_is_known (const struct lease_table *t, int64_t now)
{
  int64_t since = now - KNOWN_TERMS * t->options.term_us;
  int votes = t->is_member ? votes_of (t, t->options.self) : 0;
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (p->is_member && p->epoch == t->epoch && p->epoch_since <= since
          && now - p->heard <= t->options.term_us)
        votes += votes_of (t, p->id);
    }
  return t->is_member && t->epoch_since <= since && votes >= votes_needed (t);
}

bool
lease_is_voter (const struct lease_table *t)
{
  return t->is_member;
}

bool
lease_in_quorum (const struct lease_table *t, int64_t now)
{
  int votes = t->is_member ? votes_of (t, t->options.self) : 0;
  int64_t limit = t->options.term_us;
  if (!t->is_member)
    limit = limit * OBSERVER_SILENCE_PERCENT / 100;
  for (int i = 0; i < t->peer_count; i++)
    if (t->peers[i].is_member && t->peers[i].heard > 0
        && now - t->peers[i].heard <= limit)
      votes += votes_of (t, t->peers[i].id);
  return t->member_count > 0 && votes >= votes_needed (t);
}

int
lease_service_count (const struct lease_table *t)
{
  return t->service_count;
}

int
lease_claim_count (const struct lease_table *t)
{
  int count = 0;
  for (int i = 0; i < t->service_count; i++)
    count += t->services[i].claimed;
  return count;
}

uint64_t
lease_held_digest (const struct lease_table *t, int64_t now)
{
  uint64_t digest = 0;
  for (int i = 0; i < t->service_count; i++)
    if (valid_until (t, &t->services[i]) > now)
      digest ^= t->services[i].service;
  return digest;
}

int
lease_claims (const struct lease_table *t, struct lease_claim *out,
              int64_t now)
{
  int count = 0;
  for (int i = 0; i < t->service_count; i++)
    {
      const struct service_lease *s = &t->services[i];
      if (s->claimed)
        out[count++]
            = (struct lease_claim){ .service = s->service,
                                    .state = s->state,
                                    .held = valid_until (t, s) > now };
    }
  return count;
}

/* Own claims are granted here, by the same rules as those of others. */
int
lease_grants (struct lease_table *t, struct lease_grant *grants, int64_t now)
{
  int count = 0;
  for (int i = 0; i < t->service_count; i++)
    {
      struct service_lease *s = &t->services[i];
      if (s->claimed)
        try_grant (t, s, t->options.self, t->options.incarnation, now);
      if (t->is_member && s->granted_to != 0 && now < s->granted_until)
        grants[count++]
            = (struct lease_grant){ .service = s->service,
                                    .member = s->granted_to,
                                    .incarnation = s->granted_incarnation,
                                    .changing = s->changing };
    }
  return count;
}

int64_t
lease_echo (const struct lease_table *t, uint64_t member)
{
  const struct peer *p = find_peer (t, member);
  return p != NULL ? p->stamp : 0;
}
