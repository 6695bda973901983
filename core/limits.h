/** @file
 * Rate limits of organisations, counted over all daemons.  The daemons that
 * own services tell each other what they have spent, so that each of them
 * keeps the token bucket of the whole fleet.  Between two reports a daemon
 * spends its share of the tokens, which follows the demand, and a little more,
 * so that a small rate before many owners is not refused too early.  What all
 * together spend too much is missing from the bucket afterwards.
 */
#ifndef CORE_LIMITS_H
#define CORE_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#define LIMITS_MAX_OWNERS 64

struct limits;

/** One organisation at one daemon. */
struct limits_demand
{
  uint64_t organisation;
  uint64_t spent; /**< Tokens, since the reports mention the organisation. */
  double per_s;   /**< Requests that were asked for, refused ones included. */
  double tokens;  /**< In the fleet's bucket, as the sender knows it. */
};

/** Who sent a report. */
struct limits_sender
{
  uint64_t daemon;
  uint64_t incarnation; /**< Of its process. */
  bool owns;            /**< It owns services and may spend. */
};

struct limits *limits_create (void *parent);
/** Add an organisation or change its limit; its bucket starts empty. */
void limits_configure (struct limits *l, uint64_t organisation, double rate,
                       double burst, int64_t now);
/** Drop organisations that were not configured since the last call. */
void limits_forget_others (struct limits *l);
/** Take one request's token.
 * @param retry_ms when a token is likely, set on refusal. */
bool limits_take (struct limits *l, uint64_t organisation, int64_t now,
                  int *retry_ms);
/** Close a period of measurement: fold the requests since the last call
 * into the demand that is reported.  To be sent also by a daemon that owns
 * nothing any more, for what it spent last.
 * @return the number of entries written to @p out. */
int limits_report (struct limits *l, struct limits_demand *out, int most,
                   int64_t now);
/** @return whether so much was spent since the last report that the others
 * should know it now. */
bool limits_wants_report (const struct limits *l);
/** Another daemon's report.  @p now is when it arrived.  An organisation that
 * it does not mention counts from zero when it is mentioned again.  After a
 * long silence its bucket is taken over: what it spent meanwhile was refilled
 * there, and could not be added to a full bucket here. */
void limits_heard (struct limits *l, const struct limits_sender *sender,
                   const struct limits_demand *demand, int count, int64_t now);
/** Begin a new period: recompute what this daemon may spend until the next one
 * from the reports that are at most @p max_age_us old.  @p owns: this daemon
 * owns services and may spend. */
void limits_share (struct limits *l, bool owns, int64_t max_age_us,
                   int64_t now);

#endif
