/** @file
 * Rate limits of organisations, counted over all session daemons (daemons
 * below).  The daemons that own services report to each other what they have
 * spent, so that each of them keeps the token bucket of the whole fleet.
 * Between two reports a daemon may spend its fraction of the tokens, which
 * follows the demand, and a little more, so that a small rate that many owners
 * divide is not refused too early.  Tokens that all daemons together overspend
 * are missing from the bucket afterwards.
 */
#ifndef CORE_LIMITS_H
#define CORE_LIMITS_H

#include "core/rate_schedule.h"

/** Largest number of daemons whose reports are kept. */
#define LIMITS_MAX_SENDERS 64

/** The token buckets of all organisations as one daemon knows them. */
struct limits;

/** What one daemon reports about one organisation. */
struct limits_usage
{
  uint64_t organisation;
  /** Tokens spent since the daemon's reports began to list the organisation.
   */
  uint64_t spent;
  double requests_per_s; /**< Demand, refused requests included. */
  double tokens; /**< Most that the fleet's bucket can hold, as the sender
                    knows it; negative after overspending. */
};

/** The sender of a report. */
struct limits_sender
{
  uint64_t daemon;
  uint64_t incarnation; /**< Incarnation of its process. */
  int64_t stamp;        /**< Its own clock when it sent the report. */
  bool may_spend;       /**< It runs statements of callers. */
  bool is_full; /**< The report is complete; see limits_write_report. */
};

struct limits_options
{
  /** Requests may wait for their tokens.  Shares under overload and the
   * accounting across partitions follow docs/design/rate-schedule.md. */
  bool rate_schedule;
};

/** @param options copied; NULL: the defaults. */
struct limits *limits_create (void *parent,
                              const struct limits_options *options);
/** Adds an organisation or changes its limit; a new bucket starts empty.
 * @param rate tokens refilled per second in the whole fleet.
 * @param burst most tokens that the bucket holds. */
void limits_configure (struct limits *l, uint64_t organisation, double rate,
                       double burst, int64_t now);
/** Removes organisations that were not configured since the last call. */
void limits_forget_unconfigured (struct limits *l);
/** Takes the token for one request.
 * @param retry_ms set on refusal: time after which a token is likely.
 * @return whether there was one. */
bool limits_take_token (struct limits *l, uint64_t organisation, int64_t now,
                        int *retry_ms);
/** Counts a request for the demand without taking its token. */
void limits_count_request (struct limits *l, uint64_t organisation,
                           int64_t now);
/** Takes the token of a request that limits_count_request has counted.
 * @return whether there was one. */
bool limits_spend_token (struct limits *l, uint64_t organisation, int64_t now);
/** Tells what this daemon may spend of an organisation's tokens, as far as the
 * present share tells. */
void limits_get_supply (struct limits *l, uint64_t organisation, int64_t now,
                        struct rate_supply *supply);
/** Writes this daemon's report and updates the moving average of the demand
 * with the requests since the last call.  A daemon that no longer owns a
 * service must send its report too, as it lists what was spent before.
 * @param most number of entries for which @p out has room.
 * @param is_full set to whether the report lists all organisations that are in
 * use; otherwise, those that it does not list are as they were.
 * @return the number of entries written to @p out. */
int limits_write_report (struct limits *l, struct limits_usage *out, int most,
                         int64_t now, bool *is_full);
/** @return whether so much was spent since the last report that the other
 * daemons should receive the next one now. */
bool limits_report_is_due (const struct limits *l);
/** Records the report of another daemon, which arrived at @p now.  The spent
 * tokens of an organisation that a full report does not list count from zero
 * when it is listed again.  Until the first full report of a process, the
 * others are ignored; the first report of a process also makes the next own
 * one full.  In the first report of a daemon and after a long silence of it,
 * the bucket is lowered to the level that it reports instead of by the tokens
 * that it spent: the sender's bucket was refilled after those were spent,
 * while the bucket here may have been full, so that its refill was lost. A
 * report that is not newer than the last one of the same process is ignored:
 * messages that a partition held up arrive after newer ones on another
 * connection.
 * @param usage NULL: the sender tells this daemon nothing, as it does not know
 * yet that this daemon counts tokens too.  What it spends meanwhile must not
 * be subtracted later: the bucket here is not the one that it was taken from.
 */
void limits_record_report (struct limits *l,
                           const struct limits_sender *sender,
                           const struct limits_usage *usage, int count,
                           int64_t now);
/** Sets whether this daemon has contact to a majority of the voters, before
 * limits_begin_period; it has at first.  With the rate schedule, a daemon
 * without it keeps to its share, and later to a small part of it. */
void limits_set_majority (struct limits *l, bool has_majority, int64_t now);
/** Begins a new period: computes what this daemon may spend until the next one
 * from the reports that are at most @p max_age_us old.  Has no effect if the
 * current period is still too short and @p may_spend is unchanged.
 * @param may_spend this daemon runs statements of callers. */
void limits_begin_period (struct limits *l, bool may_spend, int64_t max_age_us,
                          int64_t now);

#endif
