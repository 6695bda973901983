#include "core/budget.h"

#include <math.h>
#include <stdlib.h>

/* Three round trips between failure domains, with a lost message. */
#define DEFAULT_WAIT_US 40000

/* Longest wait for the part of a silent member or for an allotment. */
#define DEFAULT_SILENT_WAIT_US 3000000

/* Time from the last report of a member that ended until its part is
   allotted: the hold of 2 s, its margin and the exchange (docs/budget.md). */
#define RETURN_US 2200000

/* Age of a report at which its member counts as silent: more than one
   heartbeat of 500 ms.  A wrong guess only lets a request wait. */
#define STALE_US 600000

/* Time from that report after which the part is not expected any more,
   because the platform is down or the member is cut off but runs. */
#define LOST_US 4000000

/* Time after an allotment in which requests may wait longer: gained burst
   starts empty, and requests waited for it. */
#define RECOVER_US 2000000

/* The first lease of a version needs one exchange of heartbeats. */
#define FIRST_LEASE_US 1000000

/* Interval at which a request that waits for an allotment is asked about
   again. */
#define SILENT_RETRY_US 20000

/* A caller that stopped asking is no longer counted as waiting. */
#define WAITING_EXPIRY_US 50000

/* Interval at which a request that waits for a peer is asked about again if
   no grant arrives before. */
/* Told to a caller whom no rate or no lease allows to run. */
#define REFUSED_RETRY_US 1000000
#define RETRY_WAIT_US 5000

/* A peer is asked again for waiting requests after this time at the earliest.
   Without it an organisation that offers far more than its rate causes an
   exchange per token. */
#define ASK_INTERVAL_US 10000

/* The same for a burst that is kept in one place and often moves. */
#define ASK_CONCENTRATED_US 4000

/* What a peer has is known from reports and replies; it is asked in spite of
   an estimate of nothing when they are older than this. */
#define PROBE_US 50000

/* Time constant of the demand estimate.  Shorter ones follow single bursts
   and move fractions back and forth. */
#define DEMAND_TIME_US 1000000.0

/* Tokens are asked for when less than this much demand is left: several
   round trips inside a cell. */
#define PREFETCH_US 20000.0

/* Demand that a giver keeps tokens for. */
#define KEEP_US 100000.0

/* Asks per second that a member with more demand than rate may cost.  Below
   it only tokens move and the fraction stays where it is, so that the loss
   of a member loses little of the rate. */
#define ASKS_PER_SECOND 4.0

/* Fewer tokens are not worth an exchange.  Without a limit, members that are
   all over the rate ask each other for the fractions of tokens that the
   others gained since. */
#define WORTH_ASKING 0.5

/* A peer that did not answer the last need counts for this part of what it
   reported, so that it is asked only if the others have nothing. */
#define LATE_WEIGHT 0.01

#define FRACTION_MIN 1e-9
#define TOKENS_MIN 1e-6

struct share_peer
{
  uint64_t id;
  /* Last known state, from a report or a reply. */
  double fraction, tokens, demand;
  bool known; /* Reported or replied in this version. */
  int64_t known_at;
  int64_t greeted_at; /* When it was first asked without being known, 0. */
  /* A need to send, and when one was sent without a reply yet. */
  bool need_due, need_urgent, need_open;
  bool late; /* Did not answer in time: others are asked first. */
  double need_fraction, need_tokens;
  int64_t asked_at;
  /* The grant that this peer has not acknowledged; id 0 if none. */
  uint64_t grant_id;
  double grant_fraction, grant_tokens;
  int64_t grant_sent_at;
  bool grant_due;
  bool empty_due; /* Reply that there is nothing to give. */
  /* Its need, kept while own requests wait for a concentrated burst. */
  bool waits;
  double waits_fraction, waits_tokens;
  int64_t waits_at;
  uint64_t ack_id;     /* To acknowledge; 0 if none. */
  uint64_t applied_id; /* Newest grant applied from this peer. */
};

struct share
{
  char organisation[BUDGET_NAME_SIZE];
  double rate, burst;
  double fraction, level;
  /* Capacity that stays unused for tokens on the way: those of grants that
     are not acknowledged, and those that a change of version cut off. */
  double reserved, cut_off;
  int64_t refilled_at;
  double demand;
  int64_t demand_at;
  int waiting;
  int64_t waiting_at;
  uint64_t allotted; /* Version whose allotment named it. */
  bool dirty;
  bool spread_due;   /* Look for a peer with more than its part. */
  uint64_t given_to; /* Peer that got the last grant. */
  int peer_count;
  struct share_peer peers[CELL_MAX_MEMBERS];
};

struct reported
{
  char organisation[BUDGET_NAME_SIZE];
  double fraction[CELL_MAX_MEMBERS];
};

struct budget
{
  struct budget_options options;
  uint64_t version, settled;
  int member_count;
  uint64_t members[CELL_MAX_MEMBERS];
  bool member, leaving;
  int64_t frozen_at;   /* When this version was adopted. */
  int64_t ready_at;    /* When it was settled and the lease first valid. */
  uint64_t lease_seen; /* Newest version under which the lease was valid. */
  uint64_t last_id;
  struct share **shares; /* Sorted by name. */
  int share_count;
  struct reported *reported; /* Holdings of the current version. */
  int reported_count;
  bool allotment_done;
  bool dirty;
  int64_t next_resend;
};

static int
compare_name (const void *name, const void *entry)
{
  const struct share *const *s = entry;
  return strcmp (name, (*s)->organisation);
}

static struct share *
share_find (const struct budget *b, const char *organisation)
{
  struct share **found
      = b->share_count == 0
            ? NULL
            : bsearch (organisation, b->shares, (size_t)b->share_count,
                       sizeof (struct share *), compare_name);
  return found != NULL ? *found : NULL;
}

static bool
is_settled (const struct budget *b)
{
  return b->version != 0 && b->settled == b->version && b->member;
}

static void
set_peers (const struct budget *b, struct share *s)
{
  memset (s->peers, 0, sizeof s->peers);
  s->peer_count = 0;
  for (int i = 0; i < b->member_count; i++)
    if (b->members[i] != b->options.self)
      s->peers[s->peer_count++].id = b->members[i];
}

static struct share *
share_get (struct budget *b, const char *organisation, int64_t now)
{
  struct share *s = share_find (b, organisation);
  int at = b->share_count;
  if (s != NULL)
    return s;
  s = talloc_zero (b, struct share);
  memcpy (s->organisation, organisation,
          strnlen (organisation, sizeof s->organisation - 1));
  s->refilled_at = now;
  s->demand_at = now;
  set_peers (b, s);
  b->shares = talloc_realloc (b, b->shares, struct share *,
                              (size_t)b->share_count + 1);
  for (;
       at > 0 && strcmp (b->shares[at - 1]->organisation, s->organisation) > 0;
       at--)
    b->shares[at] = b->shares[at - 1];
  b->shares[at] = s;
  b->share_count++;
  return s;
}

static struct share_peer *
peer_find (struct share *s, uint64_t id)
{
  for (int i = 0; i < s->peer_count; i++)
    if (s->peers[i].id == id)
      return &s->peers[i];
  return NULL;
}

static double
capacity (const struct share *s)
{
  return fmax (0, s->fraction * s->burst - s->reserved);
}

/* Recompute what grants on the way reserve.  A receiver may fill up and
 * spend while the tokens travel, so their room must stay empty here until it
 * is known that they arrived; without this the sum of all levels and the
 * tokens on the way can exceed the burst. */
static void
update_reserved (struct share *s)
{
  s->reserved = s->cut_off;
  for (int i = 0; i < s->peer_count; i++)
    if (s->peers[i].grant_id != 0)
      s->reserved += fmax (0, s->peers[i].grant_tokens
                                  - s->peers[i].grant_fraction * s->burst);
}

static void
refill (struct share *s, int64_t now)
{
  if (now > s->refilled_at)
    {
      s->level += s->fraction * s->rate * (double)(now - s->refilled_at) / 1e6;
      s->refilled_at = now;
    }
  s->level = fmin (s->level, capacity (s));
}

/* Requests per second offered lately, decayed to @p now. */
static double
demand_now (const struct share *s, int64_t now)
{
  double age = (double)(now - s->demand_at);
  return age > 0 ? s->demand * exp (-age / DEMAND_TIME_US) : s->demand;
}

static void
count_demand (struct share *s, int64_t now)
{
  s->demand = demand_now (s, now) + 1e6 / DEMAND_TIME_US;
  s->demand_at = now;
}

static int
waiting_now (const struct share *s, int64_t now)
{
  return now - s->waiting_at > WAITING_EXPIRY_US ? 0 : s->waiting;
}

/* Fraction with which ASKS_PER_SECOND asks for half the capacity cover the
   demand that the own rate does not. */
static double
needed_fraction (const struct share *s, double demand)
{
  double per_fraction = s->rate + ASKS_PER_SECOND / 2 * s->burst;
  return per_fraction > 0 ? fmin (1, demand / per_fraction) : 0;
}

/* Whether the burst is too small to be spread: most parts would hold less
   than two tokens. */
static bool
is_concentrated (const struct budget *b, const struct share *s)
{
  return s->burst < 2.0 * b->member_count;
}

struct budget *
budget_create (void *parent, const struct budget_options *options)
{
  struct budget *b = talloc_zero (parent, struct budget);
  b->options = *options;
  if (b->options.max_wait_us == 0)
    b->options.max_wait_us = DEFAULT_WAIT_US;
  if (b->options.silent_wait_us == 0)
    b->options.silent_wait_us = DEFAULT_SILENT_WAIT_US;
  return b;
}

void
budget_set_rate (struct budget *b, const char *organisation, double rate,
                 double burst, int64_t now)
{
  struct share *s = share_find (b, organisation);
  if (s == NULL)
    {
      s = share_get (b, organisation, now);
      /* The allotment did not name it, so nobody held any of it when the
         version was settled. */
      if (is_settled (b))
        s->fraction = 1.0 / b->member_count;
    }
  /* Time until now is counted at the old rate; a larger burst starts
     empty. */
  refill (s, now);
  s->rate = fmax (0, rate);
  s->burst = fmax (0, burst);
  update_reserved (s);
  s->level = fmin (s->level, capacity (s));
}

/* What the peer probably has now. */
static double
peer_tokens (const struct share *s, const struct share_peer *p, int64_t now)
{
  double age = (double)(now - p->known_at) / 1e6;
  double tokens = p->tokens + (p->fraction * s->rate - p->demand) * age;
  return fmax (0, fmin (tokens, p->fraction * s->burst));
}

static bool
may_ask (const struct budget *b, const struct share_peer *p, int64_t now)
{
  return !p->need_due
         && !(p->need_open && now - p->asked_at < b->options.resend_us);
}

/* Whether @p p may be asked for waiting requests. */
static bool
may_ask_urgent (const struct budget *b, const struct share *s,
                const struct share_peer *p, int64_t now)
{
  int64_t interval
      = is_concentrated (b, s) ? ASK_CONCENTRATED_US : ASK_INTERVAL_US;
  return may_ask (b, p, now) && now - p->asked_at >= interval;
}

static bool
is_asking (const struct budget *b, const struct share *s, int64_t now)
{
  for (int i = 0; i < s->peer_count; i++)
    if (!may_ask (b, &s->peers[i], now))
      return true;
  return false;
}

static void
ask_peer (struct budget *b, struct share *s, struct share_peer *p,
          double tokens, double fraction, bool urgent)
{
  p->need_due = true;
  p->need_urgent = urgent;
  p->need_tokens = tokens;
  p->need_fraction = fraction;
  s->dirty = true;
  b->dirty = true;
}

/* Ask the peers that have most until @p tokens are covered. */
static void
ask_peers (struct budget *b, struct share *s, double tokens, double fraction,
           bool urgent, int64_t now)
{
  double left = tokens;
  while (left > TOKENS_MIN)
    {
      struct share_peer *best = NULL;
      double least = is_concentrated (b, s) ? TOKENS_MIN : WORTH_ASKING;
      double most = 0;
      for (int i = 0; i < s->peer_count; i++)
        {
          struct share_peer *p = &s->peers[i];
          double has = peer_tokens (s, p, now);
          double weight = 1;
          if (p->need_open && now - p->asked_at >= b->options.resend_us)
            p->late = true;
          if (p->late)
            weight = LATE_WEIGHT;
          if (has > least && has * weight > most
              && may_ask_urgent (b, s, p, now))
            {
              best = p;
              most = has * weight;
            }
        }
      if (best == NULL)
        return;
      double part = fmin (left, peer_tokens (s, best, now));
      ask_peer (b, s, best, part, fraction * part / tokens, urgent);
      left -= part;
    }
}

/* Tokens that peers were asked for and have not refused. */
static double
tokens_asked (const struct budget *b, const struct share *s, int64_t now)
{
  double sum = 0;
  for (int i = 0; i < s->peer_count; i++)
    if (!may_ask (b, &s->peers[i], now))
      sum += s->peers[i].need_tokens;
  /* A concentrated burst comes as a whole. */
  return sum > 0 && is_concentrated (b, s) ? fmax (sum, s->burst) : sum;
}

/* Ask each peer once of which nothing is known in this version.
   @return whether one of them may still answer. */
static bool
ask_unknown (struct budget *b, struct share *s, double tokens, int64_t now)
{
  int count = 0;
  bool awaited = false;
  for (int i = 0; i < s->peer_count; i++)
    count += !s->peers[i].known && s->peers[i].greeted_at == 0;
  /* A concentrated burst is in one place. */
  int parts = is_concentrated (b, s) ? 1 : count;
  double fraction
      = s->burst > 0
            ? fmax (0, fmin (1, (s->level + tokens) / s->burst) - s->fraction)
            : 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      struct share_peer *p = &s->peers[i];
      if (!p->known && p->greeted_at == 0)
        {
          p->greeted_at = now;
          ask_peer (b, s, p, tokens / parts, fraction / parts, true);
        }
      awaited = awaited
                || (!p->known && now - p->greeted_at < b->options.max_wait_us);
    }
  return awaited;
}

/* Ask for @p tokens that waiting requests need, and for the fraction that
   lets the bucket hold them. */
static void
ask_urgent (struct budget *b, struct share *s, double tokens, int64_t now)
{
  double wanted = fmin (s->level + tokens, fmax (1, s->burst));
  double fraction = fmax (0, wanted / s->burst - s->fraction);
  double obtainable = s->level;
  struct share_peer *oldest = NULL;
  for (int i = 0; i < s->peer_count; i++)
    {
      struct share_peer *p = &s->peers[i];
      if (!may_ask_urgent (b, s, p, now))
        continue;
      double has = peer_tokens (s, p, now);
      if (has > WORTH_ASKING || is_concentrated (b, s))
        obtainable += has;
      /* One that needs all of its rate is not asked on suspicion. */
      if ((is_concentrated (b, s) || p->demand < p->fraction * s->rate)
          && (oldest == NULL || p->known_at < oldest->known_at))
        oldest = p;
    }
  if (obtainable >= 1)
    ask_peers (b, s, tokens, fraction, true, now);
  else if (oldest != NULL && now - oldest->known_at > PROBE_US
           && !is_asking (b, s, now))
    ask_peer (b, s, oldest, fmin (tokens, 1), fraction, true);
}

/* Ask ahead of need when the bucket runs low. */
static void
ask_ahead (struct budget *b, struct share *s, int64_t now)
{
  double demand = demand_now (s, now);
  double room = capacity (s) - s->level;
  double short_rate = demand - s->fraction * s->rate;
  double low = fmin (capacity (s) / 2, 1 + demand * PREFETCH_US / 1e6);
  if (short_rate <= 0 || s->level > low || is_asking (b, s, now))
    return;
  double fraction = fmax (0, needed_fraction (s, demand) - s->fraction);
  double tokens = room + fraction * s->burst;
  if (tokens >= 1)
    ask_peers (b, s, tokens, fraction, false, now);
}

static bool
can_move (const struct budget *b)
{
  return is_settled (b) && !b->options.static_shares;
}

/* Tokens that the peers with an open need may give once they answered it;
   until then they cannot be asked for more. */
static double
tokens_behind_needs (const struct budget *b, const struct share *s,
                     int64_t now)
{
  double sum = 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct share_peer *p = &s->peers[i];
      if (!may_ask (b, p, now))
        sum += fmax (p->need_tokens, peer_tokens (s, p, now));
    }
  return sum;
}

static bool
is_silent (const struct budget *b, const struct share_peer *p, int64_t now)
{
  return p->late || (p->known && now - p->known_at > STALE_US)
         || (p->need_open && now - p->asked_at >= b->options.resend_us);
}

/* Tokens that the next allotment will bring within @p left_us, if one is
   expected: this version is not settled yet, or a peer that holds a clear
   part is silent and will be removed.  Shortly after an allotment, what the
   own fraction brings. */
static double
tokens_expected (const struct budget *b, const struct share *s, double left_us,
                 int64_t now)
{
  double live = s->fraction;
  double silent = 0;
  int64_t heard_at = INT64_MIN;
  int live_count = 1;
  int64_t return_at = now;
  if (!b->member || b->options.static_shares || left_us <= 0)
    return 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct share_peer *p = &s->peers[i];
      bool gone = is_silent (b, p, now);
      live_count += !gone;
      live += gone ? 0 : p->fraction + p->grant_fraction;
      silent += gone ? p->fraction : 0;
      if (gone && p->known && p->known_at > heard_at)
        heard_at = p->known_at;
    }
  double part = 1.0 / live_count;
  double until = (double)now + left_us;
  if (!is_settled (b))
    {
      if (now - b->frozen_at > b->options.silent_wait_us)
        return 0;
      part = fmax (s->fraction, 1.0 / b->member_count);
    }
  else if (silent >= 0.1 && now - heard_at <= LOST_US)
    {
      return_at = heard_at + RETURN_US > now ? heard_at + RETURN_US : now;
      if (live > FRACTION_MIN)
        part = s->fraction / live;
    }
  else
    {
      part = s->fraction;
      until = fmin (until, (double)(b->ready_at + RECOVER_US));
    }
  return part * s->rate * fmax (0, until - (double)return_at) / 1e6;
}

static struct budget_decision
wait_for (double us)
{
  return (struct budget_decision){ .verdict = BUDGET_WAIT,
                                   .wait_us = (int64_t)ceil (us) };
}

static struct budget_decision
refuse (int64_t retry_us)
{
  return (struct budget_decision){ .verdict = BUDGET_REFUSE,
                                   .retry_us = retry_us };
}

/* A member that was just added has no lease yet. */
static bool
awaits_first_lease (const struct budget *b, int64_t waited_us, int64_t now)
{
  return b->member && b->lease_seen != b->version
         && now - b->frozen_at < FIRST_LEASE_US
         && waited_us < b->options.silent_wait_us;
}

/* Ask peers for what is missing.
 * @param coming tokens that refill will bring meanwhile.
 * @param asked set to the tokens that answers may bring.
 * @return whether an answer is awaited that nothing is known about. */
static bool
ask_for_missing (struct budget *b, struct share *s, double missing,
                 double coming, double *asked, int64_t now)
{
  bool awaited = ask_unknown (b, s, missing, now);
  *asked = tokens_asked (b, s, now);
  if (missing > *asked)
    ask_urgent (b, s, missing - *asked, now);
  *asked = tokens_asked (b, s, now);
  if (missing > coming + *asked)
    *asked = fmax (*asked, tokens_behind_needs (b, s, now));
  return awaited;
}

/* Decide about a request for which there is no token. */
static struct budget_decision
wait_or_refuse (struct budget *b, struct share *s, int64_t waited_us,
                int64_t now)
{
  double own_rate = s->fraction * s->rate;
  double missing = s->waiting + 1 - s->level;
  double due_us = own_rate > 0 && capacity (s) >= 1 ? missing / own_rate * 1e6
                                                    : INFINITY;
  /* What was waited for the first lease or the allotment does not count. */
  int64_t ready_us = now - b->ready_at;
  double left_us = (double)(b->options.max_wait_us
                            - (waited_us < ready_us ? waited_us : ready_us));
  /* Wait if refill and answers will cover the requests before this one. */
  double coming
      = left_us > 0 && capacity (s) >= 1 ? own_rate * left_us / 1e6 : 0;
  double asked = 0;
  bool awaited = false;
  s->waiting++;
  s->waiting_at = now;
  if (left_us > 0 && can_move (b))
    awaited = ask_for_missing (b, s, missing, coming, &asked, now);
  if (awaited || (left_us > 0 && missing <= coming + asked + TOKENS_MIN))
    return wait_for (
        fmin (due_us, awaited || asked > 0 ? RETRY_WAIT_US : left_us));
  double silent_left_us = (double)(b->options.silent_wait_us - waited_us);
  if (missing <= tokens_expected (b, s, silent_left_us, now))
    return wait_for (fmin (due_us, SILENT_RETRY_US));
  s->waiting--;
  return refuse ((int64_t)ceil (1e6 * fmax (1, missing) / s->rate));
}

struct budget_decision
budget_admit (struct budget *b, const char *organisation, bool lease_valid,
              int64_t waited_us, int64_t now)
{
  struct share *s = share_find (b, organisation);
  if (lease_valid && b->lease_seen != b->version)
    {
      b->lease_seen = b->version;
      b->ready_at = now;
    }
  if (s != NULL && s->rate > 0 && !lease_valid
      && awaits_first_lease (b, waited_us, now))
    {
      if (waited_us == 0)
        count_demand (s, now);
      return wait_for (RETRY_WAIT_US);
    }
  if (s == NULL || s->rate <= 0 || !lease_valid)
    return refuse (REFUSED_RETRY_US);
  refill (s, now);
  s->waiting = waiting_now (s, now);
  if (waited_us == 0)
    count_demand (s, now);
  else if (s->waiting > 0)
    {
      s->waiting--;
      b->dirty = s->dirty = true;
    }
  if (s->level < 1)
    return wait_or_refuse (b, s, waited_us, now);
  s->level -= 1;
  if (can_move (b))
    ask_ahead (b, s, now);
  return (struct budget_decision){ .verdict = BUDGET_ADMIT };
}

void
budget_refund (struct budget *b, const char *organisation, int64_t now)
{
  struct share *s = share_find (b, organisation);
  if (s == NULL)
    return;
  refill (s, now);
  s->level = fmin (s->level + 1, capacity (s));
}

/* Fraction that this member keeps when it is asked for some. */
static double
fraction_to_keep (const struct budget *b, const struct share *s,
                  const struct budget_message *m, int64_t now)
{
  double needed = needed_fraction (s, demand_now (s, now));
  double equal = 1.0 / b->member_count;
  if (m->urgent || is_concentrated (b, s))
    return m->urgent ? 0 : fmin (s->fraction, needed);
  /* A request for tokens has demand behind it and may take up to half an
     equal part; one without only evens out. */
  return fmax (needed, m->tokens > 0 ? equal / 2 : equal);
}

static double
tokens_to_keep (const struct budget *b, const struct share *s,
                const struct budget_message *m, int64_t now)
{
  if (!m->urgent)
    return demand_now (s, now) * KEEP_US / 1e6;
  if (waiting_now (s, now) == 0)
    return 0;
  /* Both wait: tokens go to the one that has more, so that one of them gets
     a whole token. */
  bool other_first
      = m->held_tokens > s->level
        || (m->held_tokens == s->level && m->from < b->options.self);
  return other_first ? 0 : fmax (s->level, TOKENS_MIN);
}

static void
on_need (struct budget *b, struct share *s, struct share_peer *p,
         const struct budget_message *m, int64_t now)
{
  /* Its last grant is still on the way; it will be sent again. */
  if (p->grant_id != 0)
    return;
  p->waits = false;
  if (m->urgent && is_concentrated (b, s) && waiting_now (s, now) > 0
      && tokens_to_keep (b, s, m, now) > 0)
    {
      /* Served after the requests that wait here. */
      p->waits = true;
      p->waits_fraction = m->fraction;
      p->waits_tokens = m->tokens;
      p->waits_at = now;
      return;
    }
  double keep = tokens_to_keep (b, s, m, now);
  double tokens = fmax (0, fmin (m->tokens, s->level - keep));
  double fraction = fmax (
      0, fmin (m->fraction, s->fraction - fraction_to_keep (b, s, m, now)));
  if (m->urgent && is_concentrated (b, s) && tokens > 0)
    {
      /* Kept in one place, it is found with one need. */
      tokens = s->level;
      fraction = s->fraction;
    }
  else if (m->urgent && m->tokens > 0)
    fraction *= fmin (1, tokens / m->tokens);
  if (s->fraction - fraction < FRACTION_MIN)
    fraction = s->fraction;
  b->dirty = s->dirty = true;
  if (tokens < TOKENS_MIN && fraction < FRACTION_MIN)
    {
      p->empty_due = true;
      return;
    }
  /* Deducted before it is sent.  What would no longer fit goes along. */
  s->fraction -= fraction;
  tokens = fmax (tokens, s->level - capacity (s));
  s->level = fmax (0, s->level - tokens);
  p->grant_id = ++b->last_id;
  p->grant_fraction = fraction;
  p->grant_tokens = tokens;
  p->grant_due = true;
  p->fraction = m->held_fraction + fraction;
  p->tokens = m->held_tokens + tokens;
  p->known = true;
  p->known_at = now;
  s->given_to = p->id;
  update_reserved (s);
  s->level = fmin (s->level, capacity (s));
}

static void
on_grant (struct budget *b, struct share *s, struct share_peer *p,
          const struct budget_message *m, int64_t now)
{
  p->need_open = false;
  p->late = false;
  p->fraction = m->held_fraction;
  p->tokens = m->held_tokens;
  p->known = true;
  p->known_at = now;
  if (m->id == 0)
    {
      struct share_peer *holder = peer_find (s, m->hint);
      if (holder != NULL && is_concentrated (b, s))
        {
          holder->fraction = 1;
          holder->tokens = fmin (1, s->burst);
          holder->known = true;
          holder->known_at = now;
        }
      return;
    }
  p->ack_id = m->id;
  b->dirty = s->dirty = true;
  if (m->id <= p->applied_id)
    return;
  p->applied_id = m->id;
  s->fraction += m->fraction;
  s->level = fmin (s->level + m->tokens, capacity (s));
}

void
budget_on_message (struct budget *b, const struct budget_message *m,
                   int64_t now)
{
  if (!is_settled (b) || m->version != b->version || b->options.static_shares)
    return;
  struct share *s = share_get (b, m->organisation, now);
  struct share_peer *p = peer_find (s, m->from);
  if (p == NULL)
    return;
  refill (s, now);
  if (m->kind == BUDGET_NEED)
    on_need (b, s, p, m, now);
  else if (m->kind == BUDGET_GRANT)
    on_grant (b, s, p, m, now);
  else if (m->id == p->grant_id)
    {
      p->grant_id = 0;
      update_reserved (s);
    }
}

void
budget_on_report (struct budget *b, const struct budget_report *r, int64_t now)
{
  struct share *s = share_find (b, r->organisation);
  struct share_peer *p = s != NULL ? peer_find (s, r->from) : NULL;
  if (p == NULL)
    return;
  p->fraction = r->fraction;
  p->tokens = r->tokens;
  p->demand = r->demand;
  p->late = p->late && p->need_open;
  p->known = true;
  p->known_at = now;
  s->spread_due = true;
  s->dirty = b->dirty = true;
}

bool
budget_report (struct budget *b, int index, int64_t now,
               struct budget_report *report)
{
  if (index >= b->share_count)
    return false;
  struct share *s = b->shares[index];
  refill (s, now);
  memset (report, 0, sizeof *report);
  report->from = b->options.self;
  memcpy (report->organisation, s->organisation, sizeof s->organisation);
  report->fraction = s->fraction;
  report->tokens = s->level;
  report->demand = demand_now (s, now);
  return true;
}

/* A member with much less than an equal part asks the one with most. */
static void
ask_to_even_out (struct budget *b, struct share *s, int64_t now)
{
  double equal = 1.0 / b->member_count;
  double most = equal * 1.1;
  struct share_peer *best = NULL;
  s->spread_due = false;
  if (b->leaving || is_concentrated (b, s) || s->fraction > equal * 0.9
      || is_asking (b, s, now))
    return;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct share_peer *p = &s->peers[i];
      double spare = fmin (p->fraction, p->fraction + equal
                                            - needed_fraction (s, p->demand));
      if (spare > most)
        {
          most = spare;
          best = &s->peers[i];
        }
    }
  if (best != NULL)
    ask_peer (b, s, best, 0, equal - s->fraction, false);
}

/* Hand everything to the peer with most demand. */
static void
give_all (struct budget *b, struct share *s, int64_t now)
{
  struct share_peer *best = NULL;
  for (int i = 0; i < s->peer_count; i++)
    if (best == NULL || s->peers[i].demand > best->demand)
      best = &s->peers[i];
  if (best == NULL || best->grant_id != 0 || s->fraction < FRACTION_MIN
      || s->waiting > 0)
    return;
  refill (s, now);
  best->grant_id = ++b->last_id;
  best->grant_fraction = s->fraction;
  best->grant_tokens = s->level;
  best->grant_due = true;
  s->fraction = 0;
  s->level = 0;
  update_reserved (s);
}

static void
fill_message (const struct budget *b, struct share *s,
              const struct share_peer *p, enum budget_message_kind kind,
              int64_t now, struct budget_message *m)
{
  refill (s, now);
  memset (m, 0, sizeof *m);
  m->kind = kind;
  m->from = b->options.self;
  m->to = p->id;
  m->version = b->version;
  memcpy (m->organisation, s->organisation, sizeof m->organisation);
  m->held_fraction = s->fraction;
  m->held_tokens = s->level;
}

/* The next message to @p p.
 * @return false if there is none. */
static bool
peer_message (struct budget *b, struct share *s, struct share_peer *p,
              int64_t now, struct budget_message *m)
{
  bool resend
      = p->grant_id != 0 && now - p->grant_sent_at >= b->options.resend_us;
  if (p->ack_id != 0)
    {
      fill_message (b, s, p, BUDGET_GRANT_ACK, now, m);
      m->id = p->ack_id;
      p->ack_id = 0;
    }
  else if (p->grant_id != 0 && (p->grant_due || resend))
    {
      fill_message (b, s, p, BUDGET_GRANT, now, m);
      m->id = p->grant_id;
      m->fraction = p->grant_fraction;
      m->tokens = p->grant_tokens;
      p->grant_due = false;
      p->grant_sent_at = now;
    }
  else if (p->empty_due)
    {
      fill_message (b, s, p, BUDGET_GRANT, now, m);
      if (s->fraction < 0.5)
        m->hint = s->given_to;
      p->empty_due = false;
    }
  else if (p->need_due)
    {
      fill_message (b, s, p, BUDGET_NEED, now, m);
      m->tokens = p->need_tokens;
      m->fraction = p->need_fraction;
      m->urgent = p->need_urgent;
      p->need_due = false;
      p->need_open = true;
      p->asked_at = now;
    }
  else
    return false;
  return true;
}

/* Answer the needs that were kept, once no own request waits. */
static void
serve_waiting (struct budget *b, struct share *s, int64_t now)
{
  for (int i = 0; i < s->peer_count; i++)
    {
      struct share_peer *p = &s->peers[i];
      struct budget_message m = { .kind = BUDGET_NEED, .urgent = true };
      if (!p->waits || waiting_now (s, now) > 0)
        continue;
      p->waits = false;
      m.from = p->id;
      m.fraction = p->waits_fraction;
      m.tokens = p->waits_tokens;
      refill (s, now);
      if (now - p->waits_at < b->options.max_wait_us)
        on_need (b, s, p, &m, now);
    }
}

static bool
share_next (struct budget *b, struct share *s, int64_t now,
            struct budget_message *m)
{
  serve_waiting (b, s, now);
  if (s->spread_due)
    ask_to_even_out (b, s, now);
  if (b->leaving)
    give_all (b, s, now);
  for (int i = 0; i < s->peer_count; i++)
    {
      if (peer_message (b, s, &s->peers[i], now, m))
        return true;
    }
  s->dirty = false;
  return false;
}

bool
budget_next (struct budget *b, int64_t now, struct budget_message *message)
{
  bool resend = now >= b->next_resend;
  if (!can_move (b) || (!b->dirty && !resend))
    return false;
  for (int i = 0; i < b->share_count; i++)
    if ((b->shares[i]->dirty || resend)
        && share_next (b, b->shares[i], now, message))
      return true;
  b->dirty = false;
  if (resend)
    b->next_resend = now + b->options.resend_us;
  return false;
}

void
budget_set_leaving (struct budget *b, bool leaving)
{
  b->leaving = leaving;
}

void
budget_freeze (struct budget *b, const struct cell_record *record, bool keep,
               int64_t now)
{
  b->version = record->version;
  b->frozen_at = now;
  b->member = false;
  b->member_count = record->member_count;
  for (int i = 0; i < record->member_count; i++)
    {
      b->members[i] = record->members[i].id;
      b->member = b->member || b->members[i] == b->options.self;
    }
  for (int i = 0; i < b->share_count; i++)
    {
      struct share *s = b->shares[i];
      refill (s, now);
      if (!keep || !b->member)
        s->fraction = 0;
      /* The baseline gives up what exceeds the new equal part before any
         member gains. */
      if (b->options.static_shares && b->member)
        s->fraction = fmin (s->fraction, 1.0 / b->member_count);
      /* Grants that are not acknowledged are lost here; the allotment
         divides them again.  Until then their receiver may not know this
         version and still apply them. */
      s->cut_off = s->reserved;
      set_peers (b, s);
      update_reserved (s);
      s->level = fmin (s->level, capacity (s));
    }
  b->reported_count = 0;
  b->allotment_done = false;
}

bool
budget_holding (const struct budget *b, int index,
                struct budget_holding *holding)
{
  if (index >= b->share_count)
    return false;
  const struct share *s = b->shares[index];
  memset (holding, 0, sizeof *holding);
  holding->member = b->options.self;
  memcpy (holding->organisation, s->organisation,
          sizeof holding->organisation);
  holding->fraction = s->fraction;
  return true;
}

void
budget_on_holding (struct budget *b, uint64_t version,
                   const struct budget_holding *holding)
{
  int at = 0;
  if (version != b->version || b->allotment_done)
    return;
  while (at < b->reported_count
         && strcmp (b->reported[at].organisation, holding->organisation) != 0)
    at++;
  if (at == b->reported_count)
    {
      b->reported
          = talloc_realloc (b, b->reported, struct reported, (size_t)at + 1);
      memset (&b->reported[at], 0, sizeof b->reported[at]);
      memcpy (b->reported[at].organisation, holding->organisation,
              sizeof holding->organisation);
      b->reported_count++;
    }
  for (int i = 0; i < b->member_count; i++)
    if (b->members[i] == holding->member)
      b->reported[at].fraction[i] = holding->fraction;
}

/* Scale the holdings of each organisation to sum 1. */
static void
scale_holdings (struct budget *b)
{
  struct budget_holding own;
  for (int i = 0; budget_holding (b, i, &own); i++)
    budget_on_holding (b, b->version, &own);
  b->allotment_done = true;
  for (int i = 0; i < b->reported_count; i++)
    {
      double *f = b->reported[i].fraction;
      double sum = 0;
      for (int k = 0; k < b->member_count; k++)
        sum += f[k];
      for (int k = 0; k < b->member_count; k++)
        if (b->options.static_shares || sum < FRACTION_MIN)
          f[k] = 1.0 / b->member_count;
        else
          f[k] /= sum;
    }
}

bool
budget_allotment (struct budget *b, uint64_t member, int index,
                  struct budget_holding *allotment)
{
  if (!b->allotment_done)
    scale_holdings (b);
  if (index >= b->reported_count)
    return false;
  memset (allotment, 0, sizeof *allotment);
  allotment->member = member;
  memcpy (allotment->organisation, b->reported[index].organisation,
          sizeof allotment->organisation);
  for (int i = 0; i < b->member_count; i++)
    if (b->members[i] == member)
      allotment->fraction = b->reported[index].fraction[i];
  return true;
}

void
budget_allot (struct budget *b, uint64_t version, const char *organisation,
              double fraction, int64_t now)
{
  if (version != b->version || b->settled == version || !b->member)
    return;
  struct share *s = share_get (b, organisation, now);
  refill (s, now);
  s->fraction = fraction;
  s->level = fmin (s->level, capacity (s));
  s->allotted = version;
}

bool
budget_settle (struct budget *b, uint64_t version, int64_t now)
{
  if (version != b->version || !b->member)
    return false;
  if (b->settled == version)
    return true;
  b->settled = version;
  b->ready_at = now;
  for (int i = 0; i < b->share_count; i++)
    {
      struct share *s = b->shares[i];
      refill (s, now);
      s->cut_off = 0;
      update_reserved (s);
      if (s->allotted != version)
        s->fraction = 1.0 / b->member_count;
    }
  return true;
}
