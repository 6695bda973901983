#include "core/budget.h"

#include <math.h>
#include <stdlib.h>

/* Default of max_wait_us: three round trips between failure domains, with one
   lost message. */
#define DEFAULT_WAIT_US 40000

/* Default of silent_wait_us. */
#define DEFAULT_SILENT_WAIT_US 3000000

/* Time from the last report of a member that ended until its fraction is
   allotted again: the lease of 2 s, its margin and the exchange of messages
   (docs/budget.md). */
#define REALLOT_DELAY_US 2200000

/* Age of a report at which its member counts as silent: more than one
   heartbeat of 500 ms.  A wrong guess only lets a request wait. */
#define SILENT_AFTER_US 600000

/* Time from the last report of a silent member after which its fraction is no
   longer expected to be allotted again, because the platform is down or the
   member is out of reach but runs. */
#define REALLOT_TIMEOUT_US 4000000

/* Time after an allotment in which requests may wait longer, because the burst
   that a member gains starts without tokens and requests waited for it. */
#define ALLOTMENT_GRACE_US 2000000

/* Longest wait for the first lease of a version, which needs one exchange of
   heartbeats. */
#define FIRST_LEASE_WAIT_US 1000000

/* Interval at which a request that waits for an allotment is decided again. */
#define ALLOTMENT_RETRY_US 20000

/* Age of the last waiting request at which no request counts as waiting any
   more, because the callers stopped retrying. */
#define WAITING_EXPIRY_US 50000

/* Retry time of a request that is refused because the organisation has no rate
   or the member has no lease. */
#define REFUSED_RETRY_US 1000000

/* Interval at which a request that waits for a peer is decided again if no
   grant arrives before. */
#define GRANT_RETRY_US 5000

/* Shortest interval between two needs to the same peer for waiting requests.
   Without it an organisation whose demand is far above its rate causes an
   exchange per token. */
#define ASK_INTERVAL_US 10000

/* The same interval for a concentrated burst, which often moves. */
#define ASK_INTERVAL_CONCENTRATED_US 4000

/* Age of the last report or reply of a peer after which the peer is asked even
   if it is estimated to have no tokens. */
#define PROBE_AFTER_US 50000

/* Time constant of the exponential moving average of the demand.  Shorter ones
   follow single bursts and move fractions back and forth. */
#define DEMAND_TIME_CONSTANT_US 1000000.0

/* A member asks for tokens when its bucket covers less than this time of
   demand, which is several round trips inside a cell. */
#define PREFETCH_US 20000.0

/* A member that grants tokens keeps enough for this time of its own demand. */
#define KEPT_DEMAND_US 100000.0

/* Needs per second that a member with more demand than rate may send.  While
   fewer suffice, only tokens move and the fraction stays where it is, so that
   the loss of a member loses little of the rate. */
#define ASKS_PER_SECOND 4.0

/* A peer with fewer tokens is not asked.  Without this limit, members that all
   exceed the rate ask each other for the parts of tokens that the others
   gained meanwhile. */
#define MIN_TOKENS_ASKED 0.5

/* Weight of the tokens of a peer that did not answer the last need, so that it
   is asked only if the other peers have nothing. */
#define LATE_WEIGHT 0.01

/* Smaller fractions and amounts of tokens count as none. */
#define FRACTION_MIN 1e-9
#define TOKENS_MIN 1e-6

/** What this member knows of and exchanges with one peer about the bucket of
 * one organisation. */
struct bucket_peer
{
  uint64_t id;
  /** Last known state of the peer, from a report, a reply or a grant. */
  double fraction, tokens, demand;
  bool known;             /**< The peer reported or replied, or was granted
                             something, in this version. */
  int64_t known_at;       /**< Time of the last known state. */
  int64_t first_asked_at; /**< When it was first asked while nothing was known
                            of it; 0: never. */
  bool need_due;          /**< A need is to be sent to it. */
  bool need_urgent;       /**< Requests wait for that need. */
  bool need_unanswered;   /**< A need was sent and not answered yet. */
  bool late; /**< It did not answer in time: other peers are asked first. */
  double need_fraction, need_tokens; /**< What the need asks for. */
  int64_t asked_at;                  /**< When the last need was sent. */
  uint64_t grant_id; /**< Grant that it has not acknowledged; 0: none. */
  double grant_fraction, grant_tokens; /**< What that grant transfers. */
  int64_t grant_sent_at;
  bool grant_due;       /**< The grant was not sent yet. */
  bool empty_grant_due; /**< It is to be sent an empty grant as a reply. */
  /** Its need was put off because requests wait here for the same concentrated
   * burst; the fields below are those of the need and when it arrived. */
  bool need_deferred;
  double deferred_fraction, deferred_tokens;
  int64_t deferred_at;
  uint64_t ack_id;     /**< Grant to acknowledge; 0: none. */
  uint64_t applied_id; /**< Newest grant of this peer that was applied. */
};

/** This member's fraction and token bucket of one organisation. */
struct bucket
{
  char organisation[BUDGET_NAME_SIZE];
  double rate, burst; /**< Limits of the organisation in the whole cell. */
  double fraction;    /**< Part of them that this member has. */
  double level;       /**< Tokens in the bucket. */
  /** Capacity that stays unused for tokens on their way to peers. */
  double reserved;
  /** Part of @c reserved for grants that were not acknowledged when the
   * version changed. */
  double reserved_before;
  int64_t refilled_at;
  double demand; /**< Requests per second, moving average at demand_at. */
  int64_t demand_at;
  int waiting;               /**< Requests that wait for tokens. */
  int64_t waiting_at;        /**< When a request last began or went on to
                                wait. */
  uint64_t allotted_version; /**< Newest version whose allotment named the
                                organisation. */
  bool dirty;                /**< There may be a message to send. */
  bool even_out_due;   /**< A report arrived: look for a peer with much more
                          than an equal part. */
  uint64_t granted_to; /**< Peer that got the last grant; 0: none. */
  int peer_count;
  struct bucket_peer peers[CELL_MAX_MEMBERS];
};

/** Fractions of one organisation that the members reported to the
 * coordinator, and then the allotted ones, in the order of the members. */
struct reported_holdings
{
  char organisation[BUDGET_NAME_SIZE];
  double fraction[CELL_MAX_MEMBERS];
};

struct budget
{
  struct budget_options options;
  uint64_t version;         /**< Cell version that this member uses. */
  uint64_t settled_version; /**< Newest version whose allotment was applied. */
  int member_count;
  uint64_t members[CELL_MAX_MEMBERS];
  bool is_member; /**< This process is a member in this version. */
  bool leaving;
  int64_t frozen_at;       /**< When this version was adopted. */
  int64_t ready_at;        /**< When it was settled or the lease became first
                              valid, whichever was later. */
  uint64_t leased_version; /**< Newest version with a valid lease. */
  uint64_t last_grant_id;
  struct bucket **buckets; /**< Sorted by the name of the organisation. */
  int bucket_count;
  /** Holdings that were reported for the current version (coordinator
   * only). */
  struct reported_holdings *reported;
  int reported_count;
  bool allotment_computed; /**< The entries of reported are the allotment. */
  bool dirty;              /**< There may be a message to send. */
  int64_t next_resend;     /**< When all buckets are next checked for grants
                              to resend. */
};

static int
compare_name (const void *name, const void *entry)
{
  const struct bucket *const *s = entry;
  return strcmp (name, (*s)->organisation);
}

static struct bucket *
bucket_find (const struct budget *b, const char *organisation)
{
  struct bucket **found
      = b->bucket_count == 0
            ? NULL
            : bsearch (organisation, b->buckets, (size_t)b->bucket_count,
                       sizeof (struct bucket *), compare_name);
  return found != NULL ? *found : NULL;
}

/* Whether this member applied the allotment of the version that it uses. */
static bool
is_settled (const struct budget *b)
{
  return b->version != 0 && b->settled_version == b->version && b->is_member;
}

/* Forget the state of all peers and use the current member list. */
static void
set_peers (const struct budget *b, struct bucket *s)
{
  memset (s->peers, 0, sizeof s->peers);
  s->peer_count = 0;
  for (int i = 0; i < b->member_count; i++)
    if (b->members[i] != b->options.self)
      s->peers[s->peer_count++].id = b->members[i];
}

/* Find the bucket of an organisation, or create an empty one. */
static struct bucket *
bucket_find_or_create (struct budget *b, const char *organisation, int64_t now)
{
  struct bucket *s = bucket_find (b, organisation);
  int at = b->bucket_count;
  if (s != NULL)
    return s;
  s = talloc_zero (b, struct bucket);
  memcpy (s->organisation, organisation,
          strnlen (organisation, sizeof s->organisation - 1));
  s->refilled_at = now;
  s->demand_at = now;
  set_peers (b, s);
  b->buckets = talloc_realloc (b, b->buckets, struct bucket *,
                               (size_t)b->bucket_count + 1);
  for (; at > 0
         && strcmp (b->buckets[at - 1]->organisation, s->organisation) > 0;
       at--)
    b->buckets[at] = b->buckets[at - 1];
  b->buckets[at] = s;
  b->bucket_count++;
  return s;
}

static struct bucket_peer *
peer_find (struct bucket *s, uint64_t id)
{
  for (int i = 0; i < s->peer_count; i++)
    if (s->peers[i].id == id)
      return &s->peers[i];
  return NULL;
}

/* Most tokens that the bucket may have now. */
static double
capacity (const struct bucket *s)
{
  return fmax (0, s->fraction * s->burst - s->reserved);
}

/* Recompute the capacity that is reserved for grants on the way.  The receiver
   may refill its bucket and spend while the tokens are on the way, so the
   granted capacity must stay unused here until the receiver acknowledges them;
   without this the tokens of all members and those on the way can exceed the
   burst. */
static void
update_reserved (struct bucket *s)
{
  s->reserved = s->reserved_before;
  for (int i = 0; i < s->peer_count; i++)
    if (s->peers[i].grant_id != 0)
      s->reserved += fmax (0, s->peers[i].grant_tokens
                                  - s->peers[i].grant_fraction * s->burst);
}

static void
refill (struct bucket *s, int64_t now)
{
  if (now > s->refilled_at)
    {
      s->level += s->fraction * s->rate * (double)(now - s->refilled_at) / 1e6;
      s->refilled_at = now;
    }
  s->level = fmin (s->level, capacity (s));
}

/* Requests per second that arrived lately, decayed to @p now. */
static double
demand_now (const struct bucket *s, int64_t now)
{
  double age = (double)(now - s->demand_at);
  return age > 0 ? s->demand * exp (-age / DEMAND_TIME_CONSTANT_US)
                 : s->demand;
}

/* Update the moving average of the demand with one request. */
static void
count_demand (struct bucket *s, int64_t now)
{
  s->demand = demand_now (s, now) + 1e6 / DEMAND_TIME_CONSTANT_US;
  s->demand_at = now;
}

/* Requests that wait for tokens at @p now. */
static int
waiting_now (const struct bucket *s, int64_t now)
{
  return now - s->waiting_at > WAITING_EXPIRY_US ? 0 : s->waiting;
}

/* Fraction with which a bucket covers @p demand: it brings its part of the
   rate and the capacity for ASKS_PER_SECOND grants a second, each of half that
   capacity. */
static double
needed_fraction (const struct bucket *s, double demand)
{
  double per_fraction = s->rate + ASKS_PER_SECOND / 2 * s->burst;
  return per_fraction > 0 ? fmin (1, demand / per_fraction) : 0;
}

/* Whether the burst is too small to be divided among the members and is kept
   in one place: an equal part would be less than two tokens. */
static bool
is_concentrated (const struct budget *b, const struct bucket *s)
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
  struct bucket *s = bucket_find (b, organisation);
  if (s == NULL)
    {
      s = bucket_find_or_create (b, organisation, now);
      /* The allotment did not name the organisation, so no member held any
         of it when the version was settled. */
      if (is_settled (b))
        s->fraction = 1.0 / b->member_count;
    }
  /* Refill at the old rate until now; a larger burst brings capacity without
     tokens. */
  refill (s, now);
  s->rate = fmax (0, rate);
  s->burst = fmax (0, burst);
  update_reserved (s);
  s->level = fmin (s->level, capacity (s));
}

/* Estimate of the peer's tokens at @p now, from its last known state. */
static double
peer_tokens (const struct bucket *s, const struct bucket_peer *p, int64_t now)
{
  double age = (double)(now - p->known_at) / 1e6;
  double tokens = p->tokens + (p->fraction * s->rate - p->demand) * age;
  return fmax (0, fmin (tokens, p->fraction * s->burst));
}

/* Whether a need may be sent to @p p: none is due and none that may still be
   answered is on the way. */
static bool
may_ask (const struct budget *b, const struct bucket_peer *p, int64_t now)
{
  return !p->need_due
         && !(p->need_unanswered && now - p->asked_at < b->options.resend_us);
}

/* Whether a need for waiting requests may be sent to @p p. */
static bool
may_ask_urgent (const struct budget *b, const struct bucket *s,
                const struct bucket_peer *p, int64_t now)
{
  int64_t interval = is_concentrated (b, s) ? ASK_INTERVAL_CONCENTRATED_US
                                            : ASK_INTERVAL_US;
  return may_ask (b, p, now) && now - p->asked_at >= interval;
}

/* Whether a need is due to or unanswered by any peer. */
static bool
awaits_answer (const struct budget *b, const struct bucket *s, int64_t now)
{
  for (int i = 0; i < s->peer_count; i++)
    if (!may_ask (b, &s->peers[i], now))
      return true;
  return false;
}

static void
ask_peer (struct budget *b, struct bucket *s, struct bucket_peer *p,
          double tokens, double fraction, bool urgent)
{
  p->need_due = true;
  p->need_urgent = urgent;
  p->need_tokens = tokens;
  p->need_fraction = fraction;
  s->dirty = true;
  b->dirty = true;
}

/* Ask peers, those with most tokens first, until @p tokens are covered.
   Each is asked for a part of @p fraction in proportion to its tokens. */
static void
ask_peers (struct budget *b, struct bucket *s, double tokens, double fraction,
           bool urgent, int64_t now)
{
  double left = tokens;
  while (left > TOKENS_MIN)
    {
      struct bucket_peer *best = NULL;
      double least = is_concentrated (b, s) ? TOKENS_MIN : MIN_TOKENS_ASKED;
      double most = 0;
      for (int i = 0; i < s->peer_count; i++)
        {
          struct bucket_peer *p = &s->peers[i];
          double has = peer_tokens (s, p, now);
          double weight = 1;
          if (p->need_unanswered && now - p->asked_at >= b->options.resend_us)
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

/* Tokens that peers were asked for and that they may still grant. */
static double
tokens_asked (const struct budget *b, const struct bucket *s, int64_t now)
{
  double sum = 0;
  for (int i = 0; i < s->peer_count; i++)
    if (!may_ask (b, &s->peers[i], now))
      sum += s->peers[i].need_tokens;
  /* A concentrated burst is granted as a whole. */
  return sum > 0 && is_concentrated (b, s) ? fmax (sum, s->burst) : sum;
}

/* Ask each peer of which nothing is known in this version, once.
   @return whether one of these peers may still answer. */
static bool
ask_unknown_peers (struct budget *b, struct bucket *s, double tokens,
                   int64_t now)
{
  int count = 0;
  bool awaited = false;
  for (int i = 0; i < s->peer_count; i++)
    count += !s->peers[i].known && s->peers[i].first_asked_at == 0;
  /* One peer has all of a concentrated burst, so each is asked for all. */
  int parts = is_concentrated (b, s) ? 1 : count;
  double fraction
      = s->burst > 0
            ? fmax (0, fmin (1, (s->level + tokens) / s->burst) - s->fraction)
            : 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      struct bucket_peer *p = &s->peers[i];
      if (!p->known && p->first_asked_at == 0)
        {
          p->first_asked_at = now;
          ask_peer (b, s, p, tokens / parts, fraction / parts, true);
        }
      awaited
          = awaited
            || (!p->known && now - p->first_asked_at < b->options.max_wait_us);
    }
  return awaited;
}

/* Ask for @p tokens that waiting requests need, and for the fraction that
   gives the bucket the capacity for them.  If the peers are estimated to have
   too little, probe the one whose state is the oldest. */
static void
ask_for_waiting (struct budget *b, struct bucket *s, double tokens,
                 int64_t now)
{
  double wanted = fmin (s->level + tokens, fmax (1, s->burst));
  double fraction = fmax (0, wanted / s->burst - s->fraction);
  double obtainable = s->level;
  struct bucket_peer *oldest = NULL;
  for (int i = 0; i < s->peer_count; i++)
    {
      struct bucket_peer *p = &s->peers[i];
      if (!may_ask_urgent (b, s, p, now))
        continue;
      double has = peer_tokens (s, p, now);
      if (has > MIN_TOKENS_ASKED || is_concentrated (b, s))
        obtainable += has;
      /* A peer whose demand takes all of its rate is not probed. */
      if ((is_concentrated (b, s) || p->demand < p->fraction * s->rate)
          && (oldest == NULL || p->known_at < oldest->known_at))
        oldest = p;
    }
  if (obtainable >= 1)
    ask_peers (b, s, tokens, fraction, true, now);
  else if (oldest != NULL && now - oldest->known_at > PROBE_AFTER_US
           && !awaits_answer (b, s, now))
    ask_peer (b, s, oldest, fmin (tokens, 1), fraction, true);
}

/* Ask for tokens before requests have to wait, when the bucket runs low. */
static void
prefetch_tokens (struct budget *b, struct bucket *s, int64_t now)
{
  double demand = demand_now (s, now);
  double room = capacity (s) - s->level;
  double short_rate = demand - s->fraction * s->rate;
  double low = fmin (capacity (s) / 2, 1 + demand * PREFETCH_US / 1e6);
  if (short_rate <= 0 || s->level > low || awaits_answer (b, s, now))
    return;
  double fraction = fmax (0, needed_fraction (s, demand) - s->fraction);
  double tokens = room + fraction * s->burst;
  if (tokens >= 1)
    ask_peers (b, s, tokens, fraction, false, now);
}

/* Whether fractions and tokens may be transferred now. */
static bool
can_move (const struct budget *b)
{
  return is_settled (b) && !b->options.static_shares;
}

/* Tokens that the peers with a need due or unanswered may grant in all; they
   cannot be asked for more before they answer. */
static double
tokens_of_asked_peers (const struct budget *b, const struct bucket *s,
                       int64_t now)
{
  double sum = 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct bucket_peer *p = &s->peers[i];
      if (!may_ask (b, p, now))
        sum += fmax (p->need_tokens, peer_tokens (s, p, now));
    }
  return sum;
}

/* Whether the peer may have ended: it did not answer or report in time. */
static bool
peer_is_silent (const struct budget *b, const struct bucket_peer *p,
                int64_t now)
{
  return p->late || (p->known && now - p->known_at > SILENT_AFTER_US)
         || (p->need_unanswered && now - p->asked_at >= b->options.resend_us);
}

/* Tokens that the refill brings within @p left_us from now, after the next
   allotment, if one is expected: this version is not settled yet, or silent
   peers hold at least a tenth of the budget and will be removed.  Otherwise
   the tokens that the own fraction brings in that time, as far as it is within
   ALLOTMENT_GRACE_US of the last allotment. */
static double
tokens_expected (const struct budget *b, const struct bucket *s,
                 double left_us, int64_t now)
{
  double live_fraction = s->fraction;
  double silent_fraction = 0;
  int64_t reported_at = INT64_MIN;
  int live_count = 1;
  int64_t reallot_at = now;
  if (!b->is_member || b->options.static_shares || left_us <= 0)
    return 0;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct bucket_peer *p = &s->peers[i];
      bool is_silent = peer_is_silent (b, p, now);
      live_count += !is_silent;
      live_fraction += is_silent ? 0 : p->fraction + p->grant_fraction;
      silent_fraction += is_silent ? p->fraction : 0;
      if (is_silent && p->known && p->known_at > reported_at)
        reported_at = p->known_at;
    }
  double part = 1.0 / live_count;
  double until = (double)now + left_us;
  if (!is_settled (b))
    {
      if (now - b->frozen_at > b->options.silent_wait_us)
        return 0;
      part = fmax (s->fraction, 1.0 / b->member_count);
    }
  else if (silent_fraction >= 0.1 && now - reported_at <= REALLOT_TIMEOUT_US)
    {
      reallot_at = reported_at + REALLOT_DELAY_US > now
                       ? reported_at + REALLOT_DELAY_US
                       : now;
      if (live_fraction > FRACTION_MIN)
        part = s->fraction / live_fraction;
    }
  else
    {
      part = s->fraction;
      until = fmin (until, (double)(b->ready_at + ALLOTMENT_GRACE_US));
    }
  return part * s->rate * fmax (0, until - (double)reallot_at) / 1e6;
}

static struct budget_decision
decide_wait (double us)
{
  return (struct budget_decision){ .verdict = BUDGET_WAIT,
                                   .wait_us = (int64_t)ceil (us) };
}

static struct budget_decision
decide_refusal (int64_t retry_us)
{
  return (struct budget_decision){ .verdict = BUDGET_REFUSE,
                                   .retry_us = retry_us };
}

/* Whether a request may wait for the first lease of this version: a member
   that was just added has none yet. */
static bool
awaits_first_lease (const struct budget *b, int64_t waited_us, int64_t now)
{
  return b->is_member && b->leased_version != b->version
         && now - b->frozen_at < FIRST_LEASE_WAIT_US
         && waited_us < b->options.silent_wait_us;
}

/* Ask peers for the tokens that waiting requests lack.
 * @param coming tokens that the refill will bring meanwhile.
 * @param asked set to the tokens that answers may bring.
 * @return whether a peer of which nothing is known may still answer. */
static bool
ask_for_missing (struct budget *b, struct bucket *s, double missing,
                 double coming, double *asked, int64_t now)
{
  bool awaited = ask_unknown_peers (b, s, missing, now);
  *asked = tokens_asked (b, s, now);
  if (missing > *asked)
    ask_for_waiting (b, s, missing - *asked, now);
  *asked = tokens_asked (b, s, now);
  if (missing > coming + *asked)
    *asked = fmax (*asked, tokens_of_asked_peers (b, s, now));
  return awaited;
}

/* Decide about a request for which there is no token. */
static struct budget_decision
wait_or_refuse (struct budget *b, struct bucket *s, int64_t waited_us,
                int64_t now)
{
  double own_rate = s->fraction * s->rate;
  double missing = s->waiting + 1 - s->level;
  double due_us = own_rate > 0 && capacity (s) >= 1 ? missing / own_rate * 1e6
                                                    : INFINITY;
  /* The time that the request waited for the first lease or for the allotment
     does not count. */
  int64_t ready_us = now - b->ready_at;
  double left_us = (double)(b->options.max_wait_us
                            - (waited_us < ready_us ? waited_us : ready_us));
  /* The request waits if the refill and the answers of peers will cover it and
     the requests that wait before it. */
  double coming
      = left_us > 0 && capacity (s) >= 1 ? own_rate * left_us / 1e6 : 0;
  double asked = 0;
  bool awaited = false;
  s->waiting++;
  s->waiting_at = now;
  if (left_us > 0 && can_move (b))
    awaited = ask_for_missing (b, s, missing, coming, &asked, now);
  if (awaited || (left_us > 0 && missing <= coming + asked + TOKENS_MIN))
    return decide_wait (
        fmin (due_us, awaited || asked > 0 ? GRANT_RETRY_US : left_us));
  double silent_left_us = (double)(b->options.silent_wait_us - waited_us);
  if (missing <= tokens_expected (b, s, silent_left_us, now))
    return decide_wait (fmin (due_us, ALLOTMENT_RETRY_US));
  s->waiting--;
  return decide_refusal ((int64_t)ceil (1e6 * fmax (1, missing) / s->rate));
}

struct budget_decision
budget_admit (struct budget *b, const char *organisation, bool lease_valid,
              int64_t waited_us, int64_t now)
{
  struct bucket *s = bucket_find (b, organisation);
  if (lease_valid && b->leased_version != b->version)
    {
      b->leased_version = b->version;
      b->ready_at = now;
    }
  if (s != NULL && s->rate > 0 && !lease_valid
      && awaits_first_lease (b, waited_us, now))
    {
      if (waited_us == 0)
        count_demand (s, now);
      return decide_wait (GRANT_RETRY_US);
    }
  if (s == NULL || s->rate <= 0 || !lease_valid)
    return decide_refusal (REFUSED_RETRY_US);
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
    prefetch_tokens (b, s, now);
  return (struct budget_decision){ .verdict = BUDGET_ADMIT };
}

void
budget_refund (struct budget *b, const char *organisation, int64_t now)
{
  struct bucket *s = bucket_find (b, organisation);
  if (s == NULL)
    return;
  refill (s, now);
  s->level = fmin (s->level + 1, capacity (s));
}

/* Fraction that this member keeps when it answers the need @p m. */
static double
fraction_to_keep (const struct budget *b, const struct bucket *s,
                  const struct budget_message *m, int64_t now)
{
  double needed = needed_fraction (s, demand_now (s, now));
  double equal = 1.0 / b->member_count;
  if (m->urgent || is_concentrated (b, s))
    return m->urgent ? 0 : fmin (s->fraction, needed);
  /* A peer that asks for tokens has demand and may take all but half an equal
     part; one that asks for a fraction alone only evens out. */
  return fmax (needed, m->tokens > 0 ? equal / 2 : equal);
}

/* Tokens that this member keeps when it answers the need @p m. */
static double
tokens_to_keep (const struct budget *b, const struct bucket *s,
                const struct budget_message *m, int64_t now)
{
  if (!m->urgent)
    return demand_now (s, now) * KEPT_DEMAND_US / 1e6;
  if (waiting_now (s, now) == 0)
    return 0;
  /* Requests wait at both members: the tokens go to the member that has more,
     so that one of them gets a whole token. */
  bool other_first
      = m->held_tokens > s->level
        || (m->held_tokens == s->level && m->from < b->options.self);
  return other_first ? 0 : fmax (s->level, TOKENS_MIN);
}

/* Answer a need with a grant, which may be empty, or defer it. */
static void
answer_need (struct budget *b, struct bucket *s, struct bucket_peer *p,
             const struct budget_message *m, int64_t now)
{
  /* The last grant to this peer is not acknowledged; it will be resent. */
  if (p->grant_id != 0)
    return;
  p->need_deferred = false;
  if (m->urgent && is_concentrated (b, s) && waiting_now (s, now) > 0
      && tokens_to_keep (b, s, m, now) > 0)
    {
      /* The need is answered after the requests that wait here. */
      p->need_deferred = true;
      p->deferred_fraction = m->fraction;
      p->deferred_tokens = m->tokens;
      p->deferred_at = now;
      return;
    }
  double keep = tokens_to_keep (b, s, m, now);
  double tokens = fmax (0, fmin (m->tokens, s->level - keep));
  double fraction = fmax (
      0, fmin (m->fraction, s->fraction - fraction_to_keep (b, s, m, now)));
  if (m->urgent && is_concentrated (b, s) && tokens > 0)
    {
      /* Grant the whole concentrated burst, so that it stays in one place and
         one need finds it. */
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
      p->empty_grant_due = true;
      return;
    }
  /* Deduct the grant before it is sent.  Tokens above the remaining capacity
     are granted as well. */
  s->fraction -= fraction;
  tokens = fmax (tokens, s->level - capacity (s));
  s->level = fmax (0, s->level - tokens);
  p->grant_id = ++b->last_grant_id;
  p->grant_fraction = fraction;
  p->grant_tokens = tokens;
  p->grant_due = true;
  p->fraction = m->held_fraction + fraction;
  p->tokens = m->held_tokens + tokens;
  p->known = true;
  p->known_at = now;
  s->granted_to = p->id;
  update_reserved (s);
  s->level = fmin (s->level, capacity (s));
}

/* Apply a grant once, and acknowledge each copy of it. */
static void
apply_grant (struct budget *b, struct bucket *s, struct bucket_peer *p,
             const struct budget_message *m, int64_t now)
{
  p->need_unanswered = false;
  p->late = false;
  p->fraction = m->held_fraction;
  p->tokens = m->held_tokens;
  p->known = true;
  p->known_at = now;
  if (m->id == 0)
    {
      /* The grant is empty.  The sender's last grantee is assumed to have the
         concentrated burst, so it is asked next. */
      struct bucket_peer *holder = peer_find (s, m->last_grantee);
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
  struct bucket *s = bucket_find_or_create (b, m->organisation, now);
  struct bucket_peer *p = peer_find (s, m->from);
  if (p == NULL)
    return;
  refill (s, now);
  if (m->kind == BUDGET_NEED)
    answer_need (b, s, p, m, now);
  else if (m->kind == BUDGET_GRANT)
    apply_grant (b, s, p, m, now);
  else if (m->id == p->grant_id)
    {
      p->grant_id = 0;
      update_reserved (s);
    }
}

void
budget_on_report (struct budget *b, const struct budget_report *r, int64_t now)
{
  struct bucket *s = bucket_find (b, r->organisation);
  struct bucket_peer *p = s != NULL ? peer_find (s, r->from) : NULL;
  if (p == NULL)
    return;
  p->fraction = r->fraction;
  p->tokens = r->tokens;
  p->demand = r->demand;
  p->late = p->late && p->need_unanswered;
  p->known = true;
  p->known_at = now;
  s->even_out_due = true;
  s->dirty = b->dirty = true;
}

bool
budget_report (struct budget *b, int index, int64_t now,
               struct budget_report *report)
{
  if (index >= b->bucket_count)
    return false;
  struct bucket *s = b->buckets[index];
  refill (s, now);
  memset (report, 0, sizeof *report);
  report->from = b->options.self;
  memcpy (report->organisation, s->organisation, sizeof s->organisation);
  report->fraction = s->fraction;
  report->tokens = s->level;
  report->demand = demand_now (s, now);
  return true;
}

/* Ask the peer with the largest spare fraction for what this member lacks to
   an equal part, if this member has at most 90% of an equal part and the spare
   fraction is above 110% of one.  The spare fraction of a peer is its fraction
   less what its demand needs beyond an equal part. */
static void
ask_to_even_out (struct budget *b, struct bucket *s, int64_t now)
{
  double equal = 1.0 / b->member_count;
  double most = equal * 1.1;
  struct bucket_peer *best = NULL;
  s->even_out_due = false;
  if (b->leaving || is_concentrated (b, s) || s->fraction > equal * 0.9
      || awaits_answer (b, s, now))
    return;
  for (int i = 0; i < s->peer_count; i++)
    {
      const struct bucket_peer *p = &s->peers[i];
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

/* Grant the whole fraction and all tokens to the peer with most demand. */
static void
grant_everything (struct budget *b, struct bucket *s, int64_t now)
{
  struct bucket_peer *best = NULL;
  for (int i = 0; i < s->peer_count; i++)
    if (best == NULL || s->peers[i].demand > best->demand)
      best = &s->peers[i];
  if (best == NULL || best->grant_id != 0 || s->fraction < FRACTION_MIN
      || s->waiting > 0)
    return;
  refill (s, now);
  best->grant_id = ++b->last_grant_id;
  best->grant_fraction = s->fraction;
  best->grant_tokens = s->level;
  best->grant_due = true;
  s->fraction = 0;
  s->level = 0;
  update_reserved (s);
}

/* Set the fields of a message that all kinds have. */
static void
init_message (const struct budget *b, struct bucket *s,
              const struct bucket_peer *p, enum budget_message_kind kind,
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

/* Get the next message to the peer @p p.
 * @return false if there is none. */
static bool
next_peer_message (struct budget *b, struct bucket *s, struct bucket_peer *p,
                   int64_t now, struct budget_message *m)
{
  bool resend
      = p->grant_id != 0 && now - p->grant_sent_at >= b->options.resend_us;
  if (p->ack_id != 0)
    {
      init_message (b, s, p, BUDGET_GRANT_ACK, now, m);
      m->id = p->ack_id;
      p->ack_id = 0;
    }
  else if (p->grant_id != 0 && (p->grant_due || resend))
    {
      init_message (b, s, p, BUDGET_GRANT, now, m);
      m->id = p->grant_id;
      m->fraction = p->grant_fraction;
      m->tokens = p->grant_tokens;
      p->grant_due = false;
      p->grant_sent_at = now;
    }
  else if (p->empty_grant_due)
    {
      init_message (b, s, p, BUDGET_GRANT, now, m);
      if (s->fraction < 0.5)
        m->last_grantee = s->granted_to;
      p->empty_grant_due = false;
    }
  else if (p->need_due)
    {
      init_message (b, s, p, BUDGET_NEED, now, m);
      m->tokens = p->need_tokens;
      m->fraction = p->need_fraction;
      m->urgent = p->need_urgent;
      p->need_due = false;
      p->need_unanswered = true;
      p->asked_at = now;
    }
  else
    return false;
  return true;
}

/* Answer the deferred needs, once no request waits here. */
static void
answer_deferred_needs (struct budget *b, struct bucket *s, int64_t now)
{
  for (int i = 0; i < s->peer_count; i++)
    {
      struct bucket_peer *p = &s->peers[i];
      struct budget_message m = { .kind = BUDGET_NEED, .urgent = true };
      if (!p->need_deferred || waiting_now (s, now) > 0)
        continue;
      p->need_deferred = false;
      m.from = p->id;
      m.fraction = p->deferred_fraction;
      m.tokens = p->deferred_tokens;
      refill (s, now);
      if (now - p->deferred_at < b->options.max_wait_us)
        answer_need (b, s, p, &m, now);
    }
}

/* Get the next message about the bucket @p s.
 * @return false if there is none. */
static bool
bucket_next_message (struct budget *b, struct bucket *s, int64_t now,
                     struct budget_message *m)
{
  answer_deferred_needs (b, s, now);
  if (s->even_out_due)
    ask_to_even_out (b, s, now);
  if (b->leaving)
    grant_everything (b, s, now);
  for (int i = 0; i < s->peer_count; i++)
    {
      if (next_peer_message (b, s, &s->peers[i], now, m))
        return true;
    }
  s->dirty = false;
  return false;
}

bool
budget_next_message (struct budget *b, int64_t now,
                     struct budget_message *message)
{
  bool resend = now >= b->next_resend;
  if (!can_move (b) || (!b->dirty && !resend))
    return false;
  for (int i = 0; i < b->bucket_count; i++)
    if ((b->buckets[i]->dirty || resend)
        && bucket_next_message (b, b->buckets[i], now, message))
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
  b->is_member = false;
  b->member_count = record->member_count;
  for (int i = 0; i < record->member_count; i++)
    {
      b->members[i] = record->members[i].id;
      b->is_member = b->is_member || b->members[i] == b->options.self;
    }
  for (int i = 0; i < b->bucket_count; i++)
    {
      struct bucket *s = b->buckets[i];
      refill (s, now);
      if (!keep || !b->is_member)
        s->fraction = 0;
      /* With static fractions a member drops what exceeds the new equal part
         before any member gains. */
      if (b->options.static_shares && b->is_member)
        s->fraction = fmin (s->fraction, 1.0 / b->member_count);
      /* Grants that are not acknowledged are dropped here; the allotment
         divides their fractions again.  Until then the receiver of such a
         grant may not know this version and still apply it, so their capacity
         stays reserved. */
      s->reserved_before = s->reserved;
      set_peers (b, s);
      update_reserved (s);
      s->level = fmin (s->level, capacity (s));
    }
  b->reported_count = 0;
  b->allotment_computed = false;
}

bool
budget_holding (const struct budget *b, int index,
                struct budget_holding *holding)
{
  if (index >= b->bucket_count)
    return false;
  const struct bucket *s = b->buckets[index];
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
  if (version != b->version || b->allotment_computed)
    return;
  while (at < b->reported_count
         && strcmp (b->reported[at].organisation, holding->organisation) != 0)
    at++;
  if (at == b->reported_count)
    {
      b->reported = talloc_realloc (b, b->reported, struct reported_holdings,
                                    (size_t)at + 1);
      memset (&b->reported[at], 0, sizeof b->reported[at]);
      memcpy (b->reported[at].organisation, holding->organisation,
              sizeof holding->organisation);
      b->reported_count++;
    }
  for (int i = 0; i < b->member_count; i++)
    if (b->members[i] == holding->member)
      b->reported[at].fraction[i] = holding->fraction;
}

/* Compute the allotment: scale the reported fractions of each organisation to
   the sum 1, or divide it equally if no member holds any. */
static void
scale_holdings (struct budget *b)
{
  struct budget_holding own;
  for (int i = 0; budget_holding (b, i, &own); i++)
    budget_on_holding (b, b->version, &own);
  b->allotment_computed = true;
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
  if (!b->allotment_computed)
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
  if (version != b->version || b->settled_version == version || !b->is_member)
    return;
  struct bucket *s = bucket_find_or_create (b, organisation, now);
  refill (s, now);
  s->fraction = fraction;
  s->level = fmin (s->level, capacity (s));
  s->allotted_version = version;
}

bool
budget_settle (struct budget *b, uint64_t version, int64_t now)
{
  if (version != b->version || !b->is_member)
    return false;
  if (b->settled_version == version)
    return true;
  b->settled_version = version;
  b->ready_at = now;
  for (int i = 0; i < b->bucket_count; i++)
    {
      struct bucket *s = b->buckets[i];
      refill (s, now);
      s->reserved_before = 0;
      update_reserved (s);
      if (s->allotted_version != version)
        s->fraction = 1.0 / b->member_count;
    }
  return true;
}
