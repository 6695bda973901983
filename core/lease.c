#include "core/lease.h"

#include "common/sorted.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Part of a lease, in percent, that a voter adds to the time for which its
   grant lasts, for clocks that run at slightly different rates. */
#define CLOCK_MARGIN_PERCENT 2
/* Time in lease durations after which a list of voters is established: the
   last lease that was granted by an older list, and one as a margin. */
#define ESTABLISHED_LEASES 2
/* Time in lease durations for which an observer relies on the newest claim of
   an owner. */
#define OBSERVER_LEASES 2
/* Silence of a voter, in percent of a lease, after which an observer regards
   it as out of reach: three intervals between heartbeats to observers. */
#define OBSERVER_SILENCE_PERCENT 130

/** A peer's grant to this process that counts until its lease ends, also while
 * the list of voters changes. */
struct counted_grant
{
  uint64_t service;
  int64_t echo; /**< The grant was made after this time of the own clock. */
};

/** The voters before and after the change of the list that is in progress.
 * Without one, both sets are the same. */
enum
{
  SET_BEFORE,
  SET_AFTER,
  SET_COUNT
};

/** A set of voters whose majority decides. */
struct voter_set
{
  int count;
  uint64_t casting_voter; /**< Smallest id in the set, UINT64_MAX if it is
                             empty; see member_votes. */
};

/** Another member, as its heartbeats describe it. */
struct peer
{
  uint64_t id;
  uint64_t incarnation;
  /** Incarnation of the process before this one; 0: none is known. */
  uint64_t previous_incarnation;
  int64_t stamp;       /**< Newest stamp received from it. */
  int64_t received_at; /**< Own clock when its newest heartbeat arrived; 0:
                          none yet. */
  int64_t echo;        /**< Newest stamp of this process that it has; 0:
                          none. */
  uint64_t epoch;      /**< Epoch of its list of voters. */
  int64_t epoch_since; /**< Own clock when that epoch was first received. */
  bool is_voter;       /**< It is in at least one of the sets of voters. */
  bool votes_in[SET_COUNT];
  /* Claims and grants of its newest heartbeat. */
  struct lease_claim *claims;
  int claim_count;
  struct lease_grant *grants;
  int grant_count;
  /* Its grants to this process that count. */
  struct counted_grant *counted;
  int counted_count;
};

/** One service: the claim of this member on it, and the grant that this voter
 * has made.  On an observer the grant stands for the owner that claims it. */
struct service_lease
{
  uint64_t service; /**< The first field, as sorted_lower_bound needs it. */
  bool claimed;     /**< This member claims the service. */
  int64_t claimed_at;
  uint64_t granted_to; /**< Id of a member; 0: none. */
  uint64_t granted_incarnation;
  int64_t granted_until;
  enum lease_state
      state;         /**< State that this member announces with its claim. */
  bool changing;     /**< The newest owner announced LEASE_CHANGING. */
  uint64_t own_term; /**< Term that this member announces with its claim. */
  uint64_t term;     /**< Term that an owner announced last. */
};

struct lease_table
{
  struct lease_options options;
  struct peer *peers;
  int peer_count;
  uint64_t epoch;         /**< Epoch of the list of voters. */
  int64_t epoch_since;    /**< Time at which the list with it was set. */
  bool settled;           /**< No change of the list is in progress. */
  bool has_casting_votes; /**< See member_votes. */
  bool is_voter; /**< This process is in at least one of the sets of voters. */
  bool votes_in[SET_COUNT];
  bool has_clean_start; /**< See previous_grants_are_dropped. */
  struct voter_set sets[SET_COUNT];
  struct service_lease *services; /**< Sorted by service. */
  int service_count;
};

struct lease_table *
lease_create (void *parent, const struct lease_options *options)
{
  struct lease_table *t = talloc_zero (parent, struct lease_table);
  t->options = *options;
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

/* @return the index of the service in the sorted table, or the one at which it
   is to be inserted. */
static int
service_index (const struct lease_table *t, uint64_t service)
{
  return sorted_lower_bound (t->services, t->service_count,
                             sizeof t->services[0], service);
}

static struct service_lease *
find_service (const struct lease_table *t, uint64_t service)
{
  int i = service_index (t, service);
  return i < t->service_count && t->services[i].service == service
             ? &t->services[i]
             : NULL;
}

static bool
is_grant_to_self (const struct lease_table *t, const struct lease_grant *grant)
{
  return grant->member == t->options.self
         && grant->incarnation == t->options.incarnation;
}

/* @return the grant of the service to this process in the newest heartbeat of
   the peer; NULL if there is none. */
static const struct lease_grant *
find_grant_to_self (const struct lease_table *t, const struct peer *p,
                    uint64_t service)
{
  for (int i = 0; i < p->grant_count; i++)
    if (p->grants[i].service == service && is_grant_to_self (t, &p->grants[i]))
      return &p->grants[i];
  return NULL;
}

static const struct counted_grant *
find_counted_grant (const struct peer *p, uint64_t service)
{
  for (int i = 0; i < p->counted_count; i++)
    if (p->counted[i].service == service)
      return &p->counted[i];
  return NULL;
}

/* Updates the grants of a peer that count.  A grant begins to count once the
   peer has the same list of voters as this member.  A peer that still has an
   older list can renew such a grant, as the grants of one voter exclude each
   other.  A peer that has a newer list cannot, so that ownership by the list
   of this member ends before the list after the next one is in force. */
static void
count_grants (struct lease_table *t, struct peer *p)
{
  struct counted_grant *counted
      = talloc_array (t, struct counted_grant, (size_t)p->grant_count);
  int count = 0;
  for (int i = 0; i < p->grant_count; i++)
    {
      uint64_t service = p->grants[i].service;
      const struct counted_grant *before = find_counted_grant (p, service);
      if (!is_grant_to_self (t, &p->grants[i])
          || find_service (t, service) == NULL)
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
revoke_grant (struct service_lease *s)
{
  s->granted_to = 0;
  s->granted_until = 0;
}

static void
add_voter (struct lease_table *t, uint64_t id, enum lease_voter_change change)
{
  struct peer *p = id != t->options.self ? add_peer (t, id) : NULL;
  bool *votes_in = p != NULL ? p->votes_in : t->votes_in;
  votes_in[SET_BEFORE] = change != LEASE_VOTER_JOINS;
  votes_in[SET_AFTER] = change != LEASE_VOTER_RETIRES;
  *(p != NULL ? &p->is_voter : &t->is_voter) = true;
  if (change != LEASE_VOTER_STAYS)
    {
      t->settled = false;
      t->has_casting_votes = true;
    }
  for (int set = 0; set < SET_COUNT; set++)
    {
      struct voter_set *s = &t->sets[set];
      s->count += votes_in[set];
      if (votes_in[set] && id < s->casting_voter)
        s->casting_voter = id;
    }
}

void
lease_set_voters (struct lease_table *t, const struct lease_voters *list,
                  int64_t now)
{
  bool was_voter = t->is_voter;
  if (list->epoch != t->epoch)
    t->epoch_since = now;
  t->epoch = list->epoch;
  t->settled = list->settled;
  t->has_casting_votes = list->settled;
  for (int i = 0; i < t->peer_count; i++)
    {
      t->peers[i].is_voter = false;
      memset (t->peers[i].votes_in, 0, sizeof t->peers[i].votes_in);
    }
  t->is_voter = false;
  memset (t->votes_in, 0, sizeof t->votes_in);
  for (int set = 0; set < SET_COUNT; set++)
    t->sets[set] = (struct voter_set){ .casting_voter = UINT64_MAX };
  for (int i = 0; i < list->count && i < LEASE_MAX_VOTERS; i++)
    add_voter (t, list->ids[i],
               list->changes != NULL ? list->changes[i] : LEASE_VOTER_STAYS);
  /* Some peers may have had this list before this member. */
  for (int i = 0; i < t->peer_count; i++)
    if (t->peers[i].epoch == t->epoch)
      count_grants (t, &t->peers[i]);
  /* The owners that an observer learned from claims are not grants. */
  for (int i = 0; i < t->service_count && t->is_voter && !was_voter; i++)
    revoke_grant (&t->services[i]);
}

static struct service_lease *
add_service (struct lease_table *t, uint64_t service)
{
  struct service_lease *s = find_service (t, service);
  if (s != NULL || t->service_count == LEASE_MAX_SERVICES)
    return s;
  t->services = talloc_realloc (t, t->services, struct service_lease,
                                (size_t)t->service_count + 1);
  int i = service_index (t, service);
  s = &t->services[i];
  memmove (s + 1, s, sizeof *s * (size_t)(t->service_count - i));
  t->service_count++;
  memset (s, 0, sizeof *s);
  s->service = service;
  return s;
}

static bool
peer_claims (const struct peer *p, uint64_t service)
{
  for (int i = 0; i < p->claim_count; i++)
    if (p->claims[i].service == service)
      return true;
  return false;
}

/* An owner claims its service in every heartbeat.  If all voters have sent one
   since this process started and none but the claimant claims the service, it
   has no other owner. */
static bool
nobody_else_claims (const struct lease_table *t, uint64_t service,
                    uint64_t claimant)
{
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (!p->is_voter || p->id == claimant)
        continue;
      if (p->received_at == 0 || peer_claims (p, service))
        return false;
    }
  return true;
}

/* A peer that has received a heartbeat of this process no longer counts the
   grants of a previous one.
   @return whether this holds for all other voters. */
static bool
previous_grants_are_dropped (const struct lease_table *t)
{
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (p->is_voter && p->echo == 0)
        return false;
    }
  return true;
}

/* A voter that has just started does not know what it granted before.  It
   waits until such a grant has ended, or no longer counts, or until no other
   voter claims the service. */
static bool
may_grant (const struct lease_table *t, uint64_t service, uint64_t claimant,
           int64_t now)
{
  int64_t margin = t->options.duration_us * CLOCK_MARGIN_PERCENT / 100;
  return t->is_voter
         && (now >= t->options.now + t->options.duration_us + margin
             || (t->settled
                 && (previous_grants_are_dropped (t)
                     || nobody_else_claims (t, service, claimant))));
}

int64_t
lease_granting_since (const struct lease_table *t)
{
  return t->settled ? t->options.now : t->options.now + t->options.duration_us;
}

bool
lease_is_claimant (const struct lease_table *t, uint64_t member,
                   uint64_t service, int64_t now)
{
  const struct peer *p = find_peer (t, member);
  return p != NULL && p->is_voter && p->received_at > 0
         && now - p->received_at <= t->options.duration_us
         && peer_claims (p, service);
}

/* Grants or renews the service to a member unless a grant to another one
   lasts.
   @return whether the grant is a new one. */
static bool
try_grant (struct lease_table *t, struct service_lease *s, uint64_t member,
           uint64_t incarnation, int64_t now)
{
  bool is_renewal
      = s->granted_to == member && s->granted_incarnation == incarnation;
  if (!may_grant (t, s->service, member, now))
    return false;
  if (!is_renewal && s->granted_to != 0 && now < s->granted_until)
    return false;
  s->granted_to = member;
  s->granted_incarnation = incarnation;
  s->granted_until = now + t->options.duration_us
                     + t->options.duration_us * CLOCK_MARGIN_PERCENT / 100;
  return !is_renewal;
}

/* Grants a service that another member claims, unless this one claims it too:
   two claimants that grant it to each other would both never own it.
   @return whether the grant is a new one. */
static bool
grant_claim (struct lease_table *t, struct service_lease *s, uint64_t member,
             uint64_t incarnation, int64_t now)
{
  if (s->claimed)
    try_grant (t, s, t->options.self, t->options.incarnation, now);
  if (s->claimed && s->granted_to == 0)
    return false;
  return try_grant (t, s, member, incarnation, now);
}

/* Records on an observer that a member claims to own the service.
   @return whether that owner is a new one. */
static bool
record_observed_owner (struct lease_table *t, struct service_lease *s,
                       const struct lease_heartbeat *h,
                       const struct lease_claim *claim, int64_t now)
{
  bool is_renewal = s->granted_to == h->member
                    && s->granted_incarnation == h->incarnation
                    && now < s->granted_until;
  if (!claim->owned)
    return false;
  s->granted_to = h->member;
  s->granted_incarnation = h->incarnation;
  s->granted_until = now + OBSERVER_LEASES * t->options.duration_us;
  return !is_renewal;
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
      s->own_term = 0;
    }
  s->claimed = wanted;
  if (!wanted && s->granted_to == t->options.self)
    revoke_grant (s);
}

/* Stores for the next owner what an owner announces: whether the primary is
   being changed, and its term.  A smaller term replaces a larger one, as the
   terms of a service that is created again begin anew.
   @param owned the announcing member owns the service.  One that does not may
   be a former owner, which knows less than the later ones: it only adds to
   what is known, and a voter that knows nothing learns nothing from it. */
static void
record_announcement (struct service_lease *s, enum lease_state state,
                     uint64_t term, bool owned)
{
  if (state == LEASE_CHANGING || (state == LEASE_STABLE && owned))
    s->changing = state == LEASE_CHANGING;
  if (term != 0 && (owned || (s->term != 0 && term > s->term)))
    s->term = term;
}

void
lease_set_state (struct lease_table *t, uint64_t service,
                 enum lease_state state)
{
  struct service_lease *s = find_service (t, service);
  if (s == NULL || !s->claimed)
    return;
  s->state = state;
  record_announcement (s, state, 0, true);
}

void
lease_set_term (struct lease_table *t, uint64_t service, uint64_t term)
{
  struct service_lease *s = find_service (t, service);
  if (s == NULL || !s->claimed || term == 0)
    return;
  s->own_term = term;
  record_announcement (s, LEASE_UNKNOWN, term, true);
}

static bool
heartbeat_claims (const struct lease_heartbeat *h, uint64_t service)
{
  for (int i = 0; i < h->claim_count; i++)
    if (h->claims[i].service == service)
      return true;
  return false;
}

void
lease_forget_member (struct lease_table *t, uint64_t member)
{
  struct peer *p = find_peer (t, member);
  if (p == NULL || p->is_voter)
    return;
  talloc_free (p->claims);
  talloc_free (p->grants);
  talloc_free (p->counted);
  *p = t->peers[--t->peer_count];
}

/* Revokes the grants to a process that has ended.
   @return whether there was one. */
static bool
revoke_process_grants (struct lease_table *t, uint64_t member,
                       uint64_t incarnation)
{
  bool changed = false;
  for (int i = 0; i < t->service_count; i++)
    if (t->services[i].granted_to == member
        && t->services[i].granted_incarnation == incarnation)
      {
        revoke_grant (&t->services[i]);
        changed = true;
      }
  return changed;
}

bool
lease_is_stale (const struct lease_table *t, uint64_t member,
                uint64_t incarnation, int64_t now)
{
  const struct peer *p = find_peer (t, member);
  bool is_earlier = p != NULL
                    && (incarnation < p->incarnation
                        || incarnation == p->previous_incarnation);
  return is_earlier && now - p->received_at < 2 * t->options.duration_us;
}

static void
store_claims_and_grants (struct lease_table *t, struct peer *p,
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

/* Grants the services that other members claim, once grants of a previous
   process no longer stand in the way.
   @return whether there is a new grant. */
static bool
grant_after_clean_start (struct lease_table *t, int64_t now)
{
  bool changed = false;
  bool was_clean = t->has_clean_start;
  t->has_clean_start = previous_grants_are_dropped (t);
  if (!t->is_voter || was_clean || !t->has_clean_start)
    return false;
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (now - p->received_at > t->options.duration_us)
        continue;
      for (int k = 0; k < p->claim_count; k++)
        {
          struct service_lease *s = add_service (t, p->claims[k].service);
          if (s != NULL)
            changed |= grant_claim (t, s, p->id, p->incarnation, now);
        }
    }
  return changed;
}

bool
lease_receive_heartbeat (struct lease_table *t,
                         const struct lease_heartbeat *h, int64_t now)
{
  struct peer *p = add_peer (t, h->member);
  bool changed = false;
  if (lease_is_stale (t, h->member, h->incarnation, now)
      || (p->incarnation == h->incarnation && h->stamp <= p->stamp))
    return false;
  /* A new process at the member's address shows that its previous one has
     ended. */
  if (p->incarnation != 0 && p->incarnation != h->incarnation)
    {
      changed = revoke_process_grants (t, h->member, p->incarnation);
      p->previous_incarnation = p->incarnation;
    }
  if (p->epoch != h->epoch || p->incarnation != h->incarnation)
    p->epoch_since = now;
  if (p->incarnation != h->incarnation)
    p->counted_count = 0;
  p->epoch = h->epoch;
  p->incarnation = h->incarnation;
  p->stamp = h->stamp;
  p->received_at = now;
  p->echo = lease_echoed_stamp (h->echo, t->options.incarnation);
  store_claims_and_grants (t, p, h);
  count_grants (t, p);
  for (int i = 0; i < t->service_count; i++)
    {
      struct service_lease *s = &t->services[i];
      if (s->granted_to == h->member
          && s->granted_incarnation == h->incarnation
          && !heartbeat_claims (h, s->service))
        {
          revoke_grant (s);
          changed = true;
        }
    }
  for (int i = 0; i < h->claim_count; i++)
    {
      struct service_lease *s = add_service (t, h->claims[i].service);
      if (s == NULL)
        continue;
      if (t->is_voter)
        changed |= grant_claim (t, s, h->member, h->incarnation, now);
      else
        changed |= record_observed_owner (t, s, h, &h->claims[i], now);
      /* A partition may have held the heartbeat up; without a recent echo it
         tells what the member owned then. */
      bool owned
          = h->claims[i].owned && now - p->echo < t->options.duration_us;
      if (s->granted_to == h->member)
        record_announcement (s, h->claims[i].state, h->claims[i].term, owned);
    }
  changed |= grant_after_clean_start (t, now);
  return changed;
}

/* With an even number of voters one of them has two votes, so that one half of
   a fleet that a network partition splits evenly can continue. */
static bool
has_casting_vote (const struct lease_table *t, int set)
{
  return t->has_casting_votes && t->sets[set].count % 2 == 0;
}

static int
member_votes (const struct lease_table *t, int set, uint64_t member)
{
  return has_casting_vote (t, set) && member == t->sets[set].casting_voter ? 2
                                                                           : 1;
}

/** A vote in progress: a decision needs a majority of both sets of voters. */
struct poll
{
  const struct lease_table *table;
  int missing[SET_COUNT]; /**< Votes that each set still needs. */
};

static void
add_votes (struct poll *poll, uint64_t member, const bool *votes_in)
{
  for (int set = 0; set < SET_COUNT; set++)
    if (votes_in[set])
      poll->missing[set] -= member_votes (poll->table, set, member);
}

/* @param with_self count the votes of this member. */
static struct poll
begin_poll (const struct lease_table *t, bool with_self)
{
  struct poll poll = { .table = t };
  for (int set = 0; set < SET_COUNT; set++)
    poll.missing[set]
        = (t->sets[set].count + has_casting_vote (t, set)) / 2 + 1;
  if (with_self)
    add_votes (&poll, t->options.self, t->votes_in);
  return poll;
}

static void
add_peer_votes (struct poll *poll, const struct peer *p)
{
  add_votes (poll, p->id, p->votes_in);
}

static bool
has_majority (const struct poll *poll)
{
  return poll->missing[SET_BEFORE] <= 0 && poll->missing[SET_AFTER] <= 0;
}

/** A peer whose grant counts. */
struct counted_vote
{
  int64_t at; /**< The grant was made after this time of the own clock. */
  const struct peer *peer;
};

/* Orders votes from newest to oldest, for qsort. */
static int
compare_counted_votes (const void *a, const void *b)
{
  int64_t x = ((const struct counted_vote *)a)->at;
  int64_t y = ((const struct counted_vote *)b)->at;
  return x < y ? 1 : x > y ? -1 : 0;
}

/* @return the newest time after which a majority has granted the service to
   this member: that of the oldest grant among the newest ones that make up a
   majority; -1 if there is no majority. */
static int64_t
majority_granted_at (const struct lease_table *t,
                     const struct service_lease *s)
{
  struct counted_vote counted_votes[LEASE_MAX_VOTERS];
  int count = 0;
  struct poll poll = begin_poll (t, true);
  int64_t at = INT64_MAX;
  if (!lease_may_own (t) || !s->claimed || s->granted_to != t->options.self
      || s->granted_incarnation != t->options.incarnation)
    return -1;
  for (int i = 0; i < t->peer_count && count < LEASE_MAX_VOTERS; i++)
    {
      const struct peer *p = &t->peers[i];
      const struct counted_grant *grant
          = p->is_voter ? find_counted_grant (p, s->service) : NULL;
      /* A grant counts only if it answers a heartbeat with this claim. */
      if (grant != NULL && grant->echo >= s->claimed_at)
        counted_votes[count++] = (struct counted_vote){ grant->echo, p };
    }
  qsort (counted_votes, (size_t)count, sizeof counted_votes[0],
         compare_counted_votes);
  for (int i = 0; i < count && !has_majority (&poll); i++)
    {
      add_peer_votes (&poll, counted_votes[i].peer);
      at = counted_votes[i].at;
    }
  return has_majority (&poll) ? at : -1;
}

/* @return the time until which this member owns the service, 0 if it does not:
   the lease counts from the grants of the majority, and the own grant must
   last as long. */
static int64_t
valid_until (const struct lease_table *t, const struct service_lease *s)
{
  int64_t at = majority_granted_at (t, s);
  if (at < 0)
    return 0;
  if (at > s->granted_until - t->options.duration_us)
    return s->granted_until;
  return at + t->options.duration_us;
}

int64_t
lease_valid_until (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL ? valid_until (t, s) : 0;
}

bool
lease_is_confirmed_since (const struct lease_table *t, uint64_t service,
                          int64_t since)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL && majority_granted_at (t, s) >= since;
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
          = find_grant_to_self (t, &t->peers[i], service);
      if (t->peers[i].is_voter && grant != NULL && grant->changing)
        return true;
    }
  return false;
}

uint64_t
lease_newest_term (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  uint64_t newest = s != NULL ? s->term : 0;
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct lease_grant *grant
          = find_grant_to_self (t, &t->peers[i], service);
      if (t->peers[i].is_voter && grant != NULL && grant->term > newest)
        newest = grant->term;
    }
  return newest;
}

bool
lease_majority_knows_term (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  struct poll poll = begin_poll (t, s != NULL && s->term != 0);
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      const struct lease_grant *grant = find_grant_to_self (t, p, service);
      const struct counted_grant *counted = find_counted_grant (p, service);
      /* Grants to a former claim are older than what others owned since. */
      if (p->is_voter && grant != NULL && grant->term != 0 && counted != NULL
          && counted->echo >= s->claimed_at)
        add_peer_votes (&poll, p);
    }
  return has_majority (&poll);
}

uint64_t
lease_owner (const struct lease_table *t, uint64_t service, int64_t now)
{
  const struct service_lease *s = find_service (t, service);
  return s != NULL && now < s->granted_until ? s->granted_to : 0;
}

int64_t
lease_expected_end (const struct lease_table *t, uint64_t service)
{
  const struct service_lease *s = find_service (t, service);
  if (s == NULL || s->granted_until == 0)
    return 0;
  /* An observer relies on a claim for longer than a lease lasts. */
  return t->is_voter ? s->granted_until
                     : s->granted_until
                           - (OBSERVER_LEASES - 1) * t->options.duration_us;
}

bool
lease_list_is_established (const struct lease_table *t, int64_t now)
{
  int64_t since = now - ESTABLISHED_LEASES * t->options.duration_us;
  struct poll poll = begin_poll (t, true);
  for (int i = 0; i < t->peer_count; i++)
    {
      const struct peer *p = &t->peers[i];
      if (p->is_voter && p->epoch == t->epoch && p->epoch_since <= since
          && now - p->received_at <= t->options.duration_us)
        add_peer_votes (&poll, p);
    }
  return t->is_voter && t->epoch_since <= since && has_majority (&poll);
}

bool
lease_is_voter (const struct lease_table *t)
{
  return t->is_voter;
}

bool
lease_may_own (const struct lease_table *t)
{
  return t->votes_in[SET_AFTER];
}

bool
lease_has_quorum (const struct lease_table *t, int64_t now)
{
  struct poll poll = begin_poll (t, true);
  int64_t limit = t->options.duration_us;
  if (!t->is_voter)
    limit = limit * OBSERVER_SILENCE_PERCENT / 100;
  for (int i = 0; i < t->peer_count; i++)
    if (t->peers[i].is_voter && t->peers[i].received_at > 0
        && now - t->peers[i].received_at <= limit)
      add_peer_votes (&poll, &t->peers[i]);
  return has_majority (&poll);
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
lease_owned_digest (const struct lease_table *t, int64_t now)
{
  uint64_t digest = 0;
  for (int i = 0; i < t->service_count; i++)
    if (valid_until (t, &t->services[i]) > now)
      digest ^= t->services[i].service;
  return digest;
}

int
lease_write_claims (const struct lease_table *t, struct lease_claim *out,
                    int64_t now)
{
  int count = 0;
  for (int i = 0; i < t->service_count; i++)
    {
      const struct service_lease *s = &t->services[i];
      if (s->claimed)
        out[count++] = (struct lease_claim){ .service = s->service,
                                             .state = s->state,
                                             .owned = valid_until (t, s) > now,
                                             .term = s->own_term };
    }
  return count;
}

/* A voter grants its own claims by the same rules as those of other members.
 */
int
lease_write_grants (struct lease_table *t, struct lease_grant *grants,
                    int64_t now)
{
  int count = 0;
  for (int i = 0; i < t->service_count; i++)
    {
      struct service_lease *s = &t->services[i];
      if (s->claimed)
        try_grant (t, s, t->options.self, t->options.incarnation, now);
      if (t->is_voter && s->granted_to != 0 && now < s->granted_until)
        grants[count++]
            = (struct lease_grant){ .service = s->service,
                                    .member = s->granted_to,
                                    .incarnation = s->granted_incarnation,
                                    .changing = s->changing,
                                    .term = s->term };
    }
  return count;
}

struct lease_echo
lease_newest_echo (const struct lease_table *t, uint64_t member)
{
  const struct peer *p = find_peer (t, member);
  return p != NULL ? (struct lease_echo){ p->incarnation, p->stamp }
                   : (struct lease_echo){ 0, 0 };
}

int64_t
lease_echoed_stamp (struct lease_echo echo, uint64_t incarnation)
{
  return echo.incarnation == incarnation ? echo.stamp : 0;
}
