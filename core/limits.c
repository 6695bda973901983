#include "core/limits.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Time constant of the moving average of the demand: two intervals between
   heartbeats, of 200 ms each. */
#define DEMAND_TIME_CONSTANT_S 0.4
/* Fraction of the rate that a daemon without demand keeps, so that its first
   requests need not wait for the next exchange of reports.  Also the demand,
   in requests per second, below which it counts as none. */
#define IDLE_FRACTION 0.02
/* What a daemon may spend beyond its fraction in one period: this many tokens,
   or this fraction of the bucket if that is more.  Eight owners together stay
   within the tolerance of the limit: a tenth of what it allows, and 20
   requests. */
#define EXTRA_TOKENS 2
#define EXTRA_FRACTION 0.05
/* A daemon that has spent this many tokens of one organisation, and this
   fraction of its burst, since its last report sends the next one at once: at
   the start of a burst of requests the owners would otherwise spend the same
   tokens until their next regular reports. */
#define EARLY_REPORT_TOKENS 4
#define EARLY_REPORT_FRACTION 0.1
/* Overspent tokens are missing from the bucket for this time at most, the
   window over which the limit is checked. */
#define MAX_DEBT_S 5
/* Interval between two full reports; the others list only what has changed. */
#define FULL_REPORT_US INT64_C (1000000)
/* A change is reported for this time: a daemon that is sent heartbeats out of
   turn may not be sent every report. */
#define REPORT_CHANGE_US INT64_C (450000)
/* A demand that differs from the reported one by this fraction of it, and by
   this many requests per second, counts as a change. */
#define DEMAND_CHANGE_FRACTION 0.25
#define DEMAND_CHANGE_PER_S 1
/* Silence of a daemon after which the level that it reports is adopted,
   instead of subtracting what it spent: one lease, in which at most the burst
   is refilled. */
#define MAX_SILENCE_US INT64_C (1000000)
/* Shortest period; heartbeats, which carry the reports, may be sent more
   often. */
#define MIN_PERIOD_US INT64_C (150000)
/* With the rate schedule: silence after which the tokens of a daemon are
   reserved for it, one heartbeat and half of the next period.  A false alarm
   costs little, as the reserved share is its own. */
#define SILENCE_US INT64_C (300000)
/* Time after which a daemon that a majority does not hear owns no service for
   certain: one lease, and half of one for the time from a grant's sending to
   its arrival. */
#define RESERVE_US INT64_C (1500000)
/* A daemon without contact to a majority loses its services after this time.
   Then it spends only MINORITY_FRACTION of its share, for bounded reads, and
   reserves the rest. */
#define MINORITY_US INT64_C (1000000)
#define MINORITY_FRACTION 0.1
/* A share under overload grows at most this much faster than its part of the
   rate. */
#define MAX_SHARE_SPEED 3
/* Time after a silence in which all daemons of the other side report. */
#define SETTLE_US INT64_C (400000)
/* Part of the bucket that is kept under overload for what the others have
   spent and not reported: this much of their refill, one interval between
   reports, and at most a fraction of the burst. */
#define UNREPORTED_S 0.2
#define UNREPORTED_FRACTION 0.25
#define USEC_PER_S 1e6
#define MSEC_PER_S 1e3

/** Tokens of one organisation that are reserved for a silent daemon. */
struct reserve
{
  bool is_open; /**< What the daemon has spent since is not known. */
  double share; /**< Fraction of the refill that is reserved. */
  double tokens;
  double taken; /**< Part of tokens that was taken from the bucket. */
};

/** The token bucket of one organisation in the whole fleet, and the fraction
 * of it that this daemon may spend. */
struct token_bucket
{
  uint64_t organisation;
  double rate;  /**< Tokens refilled per second in the whole fleet. */
  double burst; /**< Most tokens that the bucket holds. */
  double
      fraction; /**< Fraction of this daemon, 0 to 1; 0 if it may not spend. */
  double tokens; /**< In the fleet's bucket, as known here; negative:
                    overspent. */
  /** Most tokens that the fleet's bucket can hold.  It is above tokens until a
   * new process knows the level. */
  double most;
  double allowance;    /**< Tokens that this daemon may spend now. */
  int64_t refilled_at; /**< When tokens was computed. */
  /** Tokens spent here since the own reports began to list the organisation.
   */
  uint64_t spent;
  uint64_t reported_spent; /**< Value of spent in the last report. */
  double reported_demand;  /**< Value of demand in the last report. */
  int64_t changed_at;      /**< When spent or the demand last changed. */
  unsigned requests;       /**< Received since the last report. */
  double demand;           /**< Moving average of the requests per second. */
  bool is_overloaded;      /**< The demand of the fleet exceeds the rate. */
  double margin;           /**< Tokens that are kept for unreported ones. */
  /** By the index of the daemon in limits.reports; NULL: there was none. */
  struct reserve *reserves;
  double reserved_share; /**< Sum of the shares in reserves. */
  /** Refill that found the bucket full since tokens were first reserved. */
  double overflow;
  double settled_level; /**< Lowest level reported after a silence. */
  int64_t settled_at;   /**< When such a report arrived; 0: none is to be
                           considered. */
  bool is_minority;     /**< Most of the bucket is reserved, as the other
                           daemons own all services. */
  bool configured;      /**< limits_configure was called since the last
                            limits_forget_unconfigured. */
};

/** What another daemon reported last about one organisation. */
struct reported_usage
{
  struct limits_usage usage;
  bool before_silence; /**< A long silence followed. */
};

/** What the reports of another daemon say. */
struct report
{
  uint64_t daemon;
  uint64_t incarnation;
  int64_t stamp; /**< See limits_sender. */
  int64_t received_at;
  bool may_spend; /**< See limits_sender. */
  bool is_silent; /**< Tokens are reserved for it. */
  struct reported_usage *entries;
  int count;
};

struct limits
{
  struct limits_options options;
  struct token_bucket *buckets;
  int bucket_count;
  struct report reports[LIMITS_MAX_SENDERS];
  int report_count;
  int64_t reported_at;     /**< When the last own report was written. */
  int64_t full_report_at;  /**< When the last full one was; 0: never. */
  int64_t period_began_at; /**< 0: no period yet. */
  bool report_is_due;     /**< The next report should not wait for its time. */
  bool may_spend;         /**< This daemon might spend tokens when the period
                             began. */
  int64_t minority_since; /**< Since when it has no contact to a majority; 0:
                             it has. */
};

struct limits *
limits_create (void *parent, const struct limits_options *options)
{
  struct limits *l = talloc_zero (parent, struct limits);
  if (options != NULL)
    l->options = *options;
  return l;
}

static struct token_bucket *
find_bucket (const struct limits *l, uint64_t organisation)
{
  for (int i = 0; i < l->bucket_count; i++)
    if (l->buckets[i].organisation == organisation)
      return &l->buckets[i];
  return NULL;
}

/* @return how fast the share grows under overload: slower while the bucket is
   nearly empty, so that the daemons do not overspend together, and faster
   while it fills up, as some of many small shares find no request. */
static double
share_speed (const struct token_bucket *b)
{
  if (!b->is_overloaded || b->margin <= 0)
    return 1;
  if (b->tokens < b->margin)
    return fmax (b->tokens / b->margin, 0);
  return 1
         + (MAX_SHARE_SPEED - 1) * (b->tokens - b->margin)
               / (b->burst - b->margin);
}

/* Adds the tokens of the time since the last call, and this daemon's fraction
   of them to its allowance. */
static void
refill_bucket (struct token_bucket *b, int64_t now)
{
  if (now > b->refilled_at)
    {
      double fresh = (double)(now - b->refilled_at) / USEC_PER_S * b->rate;
      b->allowance += fresh * b->fraction * share_speed (b);
      for (int i = 0; b->reserved_share > 0 && i < LIMITS_MAX_SENDERS; i++)
        b->reserves[i].tokens += fresh * b->reserves[i].share;
      fresh *= 1 - b->reserved_share;
      b->tokens += fresh;
      b->most += fresh;
    }
  b->refilled_at = now;
  b->overflow += fmax (b->tokens - b->burst, 0);
  b->tokens = fmin (b->tokens, b->burst);
  b->most = fmin (b->most, b->burst);
}

void
limits_configure (struct limits *l, uint64_t organisation, double rate,
                  double burst, int64_t now)
{
  struct token_bucket *b = find_bucket (l, organisation);
  if (b == NULL)
    {
      l->buckets = talloc_realloc (l, l->buckets, struct token_bucket,
                                   (size_t)l->bucket_count + 1);
      b = &l->buckets[l->bucket_count++];
      *b = (struct token_bucket){ .organisation = organisation,
                                  .most = burst,
                                  .refilled_at = now };
    }
  else
    refill_bucket (b, now);
  b->rate = rate;
  b->burst = burst;
  b->configured = true;
  refill_bucket (b, now);
}

void
limits_forget_unconfigured (struct limits *l)
{
  int kept = 0;
  for (int i = 0; i < l->bucket_count; i++)
    {
      if (!l->buckets[i].configured)
        {
          talloc_free (l->buckets[i].reserves);
          continue;
        }
      l->buckets[kept] = l->buckets[i];
      l->buckets[kept++].configured = false;
    }
  l->bucket_count = kept;
}

void
limits_count_request (struct limits *l, uint64_t organisation, int64_t now)
{
  struct token_bucket *b = find_bucket (l, organisation);
  if (b == NULL)
    return;
  b->requests++;
  refill_bucket (b, now);
  /* The demand here has grown and the fleet has tokens: begin the next period
     without waiting for its time. */
  if (b->allowance < 1 && b->tokens >= 1 && !b->is_overloaded
      && now - l->period_began_at >= MIN_PERIOD_US)
    l->report_is_due = true;
}

/* @return whether the bucket and the allowance had a token; it is taken. */
static bool
take_from_bucket (struct limits *l, struct token_bucket *b, int64_t now)
{
  refill_bucket (b, now);
  if (b->tokens < 1 || b->allowance < 1)
    return false;
  b->tokens -= 1;
  b->most -= 1;
  b->allowance -= 1;
  b->spent++;
  if ((double)(b->spent - b->reported_spent)
      >= fmax (EARLY_REPORT_TOKENS, b->burst * EARLY_REPORT_FRACTION))
    l->report_is_due = true;
  return true;
}

bool
limits_spend_token (struct limits *l, uint64_t organisation, int64_t now)
{
  struct token_bucket *b = find_bucket (l, organisation);
  return b != NULL && take_from_bucket (l, b, now);
}

void
limits_get_supply (struct limits *l, uint64_t organisation, int64_t now,
                   struct rate_supply *supply)
{
  struct token_bucket *b = find_bucket (l, organisation);
  *supply = (struct rate_supply){ .ready_at = now };
  if (b == NULL)
    return;
  refill_bucket (b, now);
  supply->tokens = fmin (b->allowance, fmax (b->tokens, 1));
  /* While tokens are not scarce, the fraction follows the demand in the next
     period. */
  supply->per_s = b->rate;
  if (b->is_overloaded)
    supply->per_s *= b->fraction * fmax (share_speed (b), 1);
  else if (!l->may_spend)
    supply->per_s = 0;
  supply->is_scarce = b->is_overloaded;
  if (b->tokens < 1 && b->rate > 0)
    supply->ready_at
        = now + (int64_t)ceil ((1 - b->tokens) / b->rate * USEC_PER_S);
}

bool
limits_take_token (struct limits *l, uint64_t organisation, int64_t now,
                   int *retry_ms)
{
  struct token_bucket *b = find_bucket (l, organisation);
  if (b == NULL)
    {
      *retry_ms = (int)MSEC_PER_S;
      return false;
    }
  b->requests++;
  if (take_from_bucket (l, b, now))
    return true;
  double wait = b->rate > 0 ? (1 - b->tokens) / b->rate : 1;
  wait = fmin (fmax (wait, MIN_PERIOD_US / USEC_PER_S), 1);
  *retry_ms = (int)ceil (wait * MSEC_PER_S);
  return false;
}

/* @return the level for the own report.  Reserved tokens were not spent, as
   far as is known. */
static double
reported_level (const struct token_bucket *b)
{
  double level = b->most;
  for (int i = 0; b->reserves != NULL && i < LIMITS_MAX_SENDERS; i++)
    level += b->reserves[i].tokens;
  return fmin (level, b->burst);
}

int
limits_write_report (struct limits *l, struct limits_usage *out, int most,
                     int64_t now, bool *is_full)
{
  double seconds = (double)(now - l->reported_at) / USEC_PER_S;
  int count = 0;
  if (l->reported_at == 0)
    seconds = 1;
  /* The weight depends on the time, as reports may follow each other
     closely. */
  double weight = 1 - exp (-seconds / DEMAND_TIME_CONSTANT_S);
  *is_full
      = l->full_report_at == 0 || now - l->full_report_at >= FULL_REPORT_US;
  if (*is_full)
    l->full_report_at = now;
  l->reported_at = now;
  l->report_is_due = false;
  for (int i = 0; i < l->bucket_count && count < most; i++)
    {
      struct token_bucket *b = &l->buckets[i];
      if (seconds > 0)
        {
          b->demand += weight * (b->requests / seconds - b->demand);
          b->requests = 0;
        }
      if (b->demand < IDLE_FRACTION)
        b->demand = 0;
      if (b->spent != b->reported_spent
          || fabs (b->demand - b->reported_demand)
                 > fmax (DEMAND_CHANGE_PER_S,
                         b->reported_demand * DEMAND_CHANGE_FRACTION))
        b->changed_at = now;
      if (!*is_full && now - b->changed_at > REPORT_CHANGE_US)
        continue;
      if (*is_full && b->demand <= 0 && b->spent == b->reported_spent)
        {
          /* The other daemons count from zero when the organisation is listed
             again. */
          b->spent = b->reported_spent = 0;
          continue;
        }
      b->reported_spent = b->spent;
      b->reported_demand = b->demand;
      refill_bucket (b, now);
      out[count++] = (struct limits_usage){ b->organisation, b->spent,
                                            b->demand, reported_level (b) };
    }
  return count;
}

static struct reported_usage *
find_usage (const struct report *r, uint64_t organisation)
{
  for (int i = 0; i < r->count; i++)
    if (r->entries[i].usage.organisation == organisation)
      return &r->entries[i];
  return NULL;
}

static struct report *
find_report (struct limits *l, uint64_t daemon)
{
  for (int i = 0; i < l->report_count; i++)
    if (l->reports[i].daemon == daemon)
      return &l->reports[i];
  return NULL;
}

bool
limits_report_is_due (const struct limits *l)
{
  return l->report_is_due;
}

/* @return the tokens that another daemon has spent since its last report. */
static double
spent_since (const struct reported_usage *last,
             const struct limits_usage *entry)
{
  uint64_t before = last != NULL ? last->usage.spent : 0;
  /* A count that is smaller than before has started again at zero. */
  return (double)(entry->spent >= before ? entry->spent - before
                                         : entry->spent);
}

/* Subtracts from the bucket what another daemon has spent since its last
   report. */
static void
subtract_spent (struct limits *l, const struct reported_usage *last,
                const struct limits_usage *entry, int64_t now)
{
  struct token_bucket *b = find_bucket (l, entry->organisation);
  if (b == NULL)
    return;
  double spent = spent_since (last, entry);
  refill_bucket (b, now);
  double debt = b->burst + b->rate * MAX_DEBT_S;
  b->tokens = fmax (b->tokens - spent, -debt);
  b->most = fmax (b->most - spent, -debt);
}

/* Lowers the bucket to the level that the sender reports after a silence, or
   in its first report: the sender kept counting meanwhile, while this daemon
   could not. */
static void
adopt_tokens (struct limits *l, const struct limits_usage *entry, int64_t now)
{
  struct token_bucket *b = find_bucket (l, entry->organisation);
  if (b == NULL)
    return;
  refill_bucket (b, now);
  b->tokens = fmin (b->tokens, entry->tokens);
  b->most = fmin (b->most, entry->tokens);
}

/* A silent daemon is heard again: subtract what it spent from what was
   reserved for it, and return of the rest what was taken from the bucket.  The
   rest of the refill may have been lost in a full bucket, or spent by others.
 */
static void
settle_reserve (struct limits *l, int sender,
                const struct reported_usage *last,
                const struct limits_usage *entry, int64_t now)
{
  struct token_bucket *b = find_bucket (l, entry->organisation);
  if (b == NULL)
    return;
  refill_bucket (b, now);
  const struct reserve reserve = b->reserves[sender];
  double spent = spent_since (last, entry);
  double change = fmin (reserve.tokens - spent, reserve.taken);
  /* It could spend the refill that found the bucket full here. */
  double lost = fmin (fmax (-change, 0), b->overflow);
  b->overflow -= lost;
  change += lost;
  double debt = b->burst + b->rate * MAX_DEBT_S;
  b->reserved_share -= reserve.share;
  b->reserves[sender] = (struct reserve){ 0 };
  b->tokens = fmax (b->tokens + change, -debt);
  b->most = fmax (b->most + change, -debt);
  b->settled_level = b->settled_at != 0
                         ? fmin (b->settled_level, entry->tokens)
                         : entry->tokens;
  b->settled_at = now;
}

/* After a silence, once the daemons of the other side have reported: the
   bucket does not exceed the level that they know.  Each of them may report
   before it has settled what it reserved, but then its level is too high. */
static void
apply_settled_level (struct token_bucket *b, int64_t now)
{
  if (b->settled_at == 0 || now - b->settled_at < SETTLE_US)
    return;
  double level = b->settled_level
                 + (double)(now - b->settled_at) / USEC_PER_S * b->rate;
  b->settled_at = 0;
  b->tokens = fmin (b->tokens, level);
  b->most = fmin (b->most, level);
}

/* Handle the reserves of a sender whose report has arrived: they grow no more.
   Those of organisations that a full report does not list are dropped, as the
   sender may have counted from zero since.
   @param drops also those that it lists. */
static void
close_reserves (struct limits *l, int sender, const struct limits_usage *usage,
                int count, bool is_full, bool drops, int64_t now)
{
  for (int i = 0; i < l->bucket_count; i++)
    {
      struct token_bucket *b = &l->buckets[i];
      bool is_listed = false;
      if (b->reserves == NULL || !b->reserves[sender].is_open)
        continue;
      refill_bucket (b, now);
      b->reserved_share -= b->reserves[sender].share;
      b->reserves[sender].share = 0;
      for (int k = 0; k < count; k++)
        is_listed |= usage[k].organisation == b->organisation;
      if (drops || (is_full && !is_listed))
        b->reserves[sender] = (struct reserve){ 0 };
    }
}

static bool
has_open_reserve (const struct limits *l, int sender, uint64_t organisation)
{
  const struct token_bucket *b = find_bucket (l, organisation);
  return b != NULL && b->reserves != NULL && b->reserves[sender].is_open;
}

/* Store a report: the entries of a full one replace all others. */
static void
store_report (struct limits *l, struct report *r,
              const struct limits_usage *usage, int count, bool is_full)
{
  if (is_full)
    r->count = 0;
  r->entries = talloc_realloc (l, r->entries, struct reported_usage,
                               (size_t)(r->count + count) + 1);
  for (int k = 0; k < count; k++)
    {
      struct reported_usage *entry
          = is_full ? NULL : find_usage (r, usage[k].organisation);
      if (entry == NULL)
        entry = &r->entries[r->count++];
      *entry = (struct reported_usage){ .usage = usage[k] };
    }
}

void
limits_record_report (struct limits *l, const struct limits_sender *sender,
                      const struct limits_usage *usage, int count, int64_t now)
{
  struct report *r = find_report (l, sender->daemon);
  bool is_first = r == NULL;
  if (usage == NULL)
    return;
  if (!sender->is_full && (is_first || r->incarnation != sender->incarnation))
    return;
  if (is_first)
    {
      if (l->report_count == LIMITS_MAX_SENDERS)
        return;
      r = &l->reports[l->report_count++];
      *r = (struct report){ .daemon = sender->daemon };
    }
  bool is_restarted = r->incarnation != sender->incarnation;
  if (!is_first && !is_restarted && sender->stamp <= r->stamp)
    return;
  bool was_silent
      = !is_first && !is_restarted && now - r->received_at > MAX_SILENCE_US;
  if (is_restarted)
    r->count = 0;
  /* The other process may be a new one, which ignores partial reports until it
     has received a full one. */
  if (is_first || is_restarted)
    l->full_report_at = 0;
  r->incarnation = sender->incarnation;
  r->stamp = sender->stamp;
  r->received_at = now;
  r->may_spend = sender->may_spend;
  int index = (int)(r - l->reports);
  if (l->options.rate_schedule)
    {
      was_silent = false;
      r->is_silent = false;
      close_reserves (l, index, usage, count, sender->is_full, is_restarted,
                      now);
    }
  for (int i = 0; was_silent && i < r->count; i++)
    r->entries[i].before_silence = true;
  for (int k = 0; k < count; k++)
    {
      const struct reported_usage *last
          = find_usage (r, usage[k].organisation);
      /* It is not known when the tokens in a sender's first report were spent.
       */
      if (has_open_reserve (l, index, usage[k].organisation))
        settle_reserve (l, index, last, &usage[k], now);
      else if (is_first || (last != NULL ? last->before_silence : was_silent))
        adopt_tokens (l, &usage[k], now);
      else
        subtract_spent (l, last, &usage[k], now);
    }
  store_report (l, r, usage, count, sender->is_full);
}

static double
reported_demand (const struct report *r, uint64_t organisation)
{
  const struct reported_usage *entry = find_usage (r, organisation);
  return entry != NULL ? entry->usage.requests_per_s : 0;
}

/* Computes what this daemon may spend in the period that begins. */
static void
set_allowance (struct token_bucket *b)
{
  double extra = fmax (EXTRA_TOKENS, b->tokens * EXTRA_FRACTION);
  b->allowance = b->tokens < 1 || b->fraction <= 0
                     ? 0
                     : b->tokens * b->fraction + extra;
}

/* As set_allowance, with the rate schedule.
   @param demand requests per second of the whole fleet. */
static void
set_scheduled_allowance (struct token_bucket *b, double demand)
{
  /* A token that was yielded and not spent, or a part of one, stays: small
     shares yield less than one in a period. */
  double carried = b->fraction > 0 ? fmin (b->allowance, 1) : 0;
  /* The moving average of requests that arrive at random at the rate varies by
     the square root of rate / (2 x time constant), which counts as overload
     only once it has emptied half of the bucket.  The demand of silent daemons
     is not known. */
  double noise = b->tokens >= b->burst / 2
                     ? sqrt (b->rate / (2 * DEMAND_TIME_CONSTANT_S))
                     : 0;
  b->is_overloaded = demand > b->rate + noise || b->reserved_share > 0;
  b->margin = (1 - b->fraction)
              * fmin (b->rate * UNREPORTED_S, b->burst * UNREPORTED_FRACTION);
  if (b->is_overloaded)
    b->allowance = fmax (b->tokens - b->margin, 0) * b->fraction;
  else
    set_allowance (b);
  b->allowance = fmax (b->allowance, carried);
}

static void
move_to_reserve (struct token_bucket *b, struct reserve *reserve,
                 double tokens)
{
  reserve->tokens += tokens;
  reserve->taken += tokens;
  b->tokens -= tokens;
  b->most -= tokens;
}

/* Reserve for a silent daemon its part of the bucket, and of the refill from
   now on. */
static void
open_reserve (struct token_bucket *b, int sender, double share)
{
  struct reserve *reserve = &b->reserves[sender];
  if (!reserve->is_open)
    {
      if (b->reserved_share <= 0)
        b->overflow = 0;
      reserve->is_open = true;
      move_to_reserve (b, reserve, fmax (b->tokens, 0) * share);
    }
  b->reserved_share += share - reserve->share;
  reserve->share = share;
}

/* @return the demand of all daemons that may spend, this one included.
   @param own this daemon's demand.
   @param least demand with which a daemon counts at least. */
static double
total_demand (const struct limits *l, uint64_t organisation, double own,
              double least, int64_t max_age_us, int64_t now)
{
  double total = own;
  for (int k = 0; k < l->report_count; k++)
    if (l->reports[k].may_spend
        && now - l->reports[k].received_at <= max_age_us)
      total += fmax (reported_demand (&l->reports[k], organisation), least);
  return total;
}

/* @return whether this daemon has been without contact to a majority for so
   long that it owns no service. */
static bool
is_cut_off (const struct limits *l, int64_t now)
{
  return l->minority_since != 0 && now - l->minority_since >= MINORITY_US;
}

/* As total_demand, with the rate schedule: silent daemons count with at least
   the mean demand of those that are heard, as theirs may have grown since, and
   their shares are reserved. */
static double
reserve_for_silent (struct limits *l, struct token_bucket *b, double own,
                    double least, int64_t max_age_us, int64_t now)
{
  double heard
      = total_demand (l, b->organisation, own, least, SILENCE_US, now);
  int heard_count = 1, silent_count = 0;
  double silent[LIMITS_MAX_SENDERS] = { 0 };
  for (int k = 0; k < l->report_count; k++)
    heard_count += l->reports[k].may_spend
                   && now - l->reports[k].received_at <= SILENCE_US;
  double total = heard;
  for (int k = 0; k < l->report_count; k++)
    {
      const struct report *r = &l->reports[k];
      if (!r->is_silent || now - r->received_at > max_age_us)
        continue;
      silent[k]
          = fmax (reported_demand (r, b->organisation), heard / heard_count);
      total += silent[k];
      silent_count++;
    }
  if (silent_count == 0 && b->reserves == NULL)
    return total;
  if (b->reserves == NULL)
    b->reserves = talloc_zero_array (l, struct reserve, LIMITS_MAX_SENDERS);
  /* The daemons of a minority keep to a small part of their own shares. */
  double kept = is_cut_off (l, now) ? MINORITY_FRACTION : 1;
  double scale = total > heard ? (total - heard * kept) / (total - heard) : 1;
  for (int k = 0; k < l->report_count; k++)
    if (silent[k] > 0)
      open_reserve (b, k, silent[k] / total * scale);
    else
      b->reserves[k].share = 0;
  /* Summed anew, so that no rounding error remains. */
  b->reserved_share = 0;
  for (int k = 0; k < l->report_count; k++)
    b->reserved_share += b->reserves[k].share;
  for (int k = 0; k < l->report_count && kept < 1 && !b->is_minority; k++)
    if (b->reserves[k].share > 0)
      {
        b->is_minority = true;
        move_to_reserve (b, &b->reserves[k], fmax (b->tokens, 0) * (1 - kept));
      }
  return total;
}

void
limits_set_majority (struct limits *l, bool has_majority, int64_t now)
{
  if (has_majority)
    l->minority_since = 0;
  else if (l->minority_since == 0)
    l->minority_since = now;
}

/* @return the age up to which reports of silent daemons count. */
static int64_t
reserve_age (const struct limits *l)
{
  return l->minority_since != 0 ? INT64_MAX : RESERVE_US;
}

static void
begin_scheduled_period (struct limits *l, struct token_bucket *b, double own,
                        double least, int64_t now)
{
  double total = reserve_for_silent (l, b, own, least, reserve_age (l), now);
  /* Many idle daemons that each count with the least demand are no
     overload. */
  double demand
      = total_demand (l, b->organisation, b->demand, 0, reserve_age (l), now);
  b->fraction = l->may_spend && total > 0 ? own / total : 0;
  if (is_cut_off (l, now))
    b->fraction *= MINORITY_FRACTION;
  else
    b->is_minority = false;
  apply_settled_level (b, now);
  set_scheduled_allowance (b, demand);
}

void
limits_begin_period (struct limits *l, bool may_spend, int64_t max_age_us,
                     int64_t now)
{
  if (may_spend == l->may_spend && l->period_began_at != 0
      && now - l->period_began_at < MIN_PERIOD_US)
    return;
  l->may_spend = may_spend;
  l->period_began_at = now;
  for (int k = 0; l->options.rate_schedule && k < l->report_count; k++)
    l->reports[k].is_silent = l->reports[k].may_spend
                              && now - l->reports[k].received_at > SILENCE_US;
  for (int i = 0; i < l->bucket_count; i++)
    {
      struct token_bucket *b = &l->buckets[i];
      double least = b->rate * IDLE_FRACTION;
      double own = fmax (b->demand, least);
      refill_bucket (b, now);
      if (l->options.rate_schedule)
        begin_scheduled_period (l, b, own, least, now);
      else
        {
          double total
              = total_demand (l, b->organisation, own, least, max_age_us, now);
          b->fraction = may_spend && total > 0 ? own / total : 0;
          set_allowance (b);
        }
      if (!may_spend)
        b->demand = 0;
    }
}
