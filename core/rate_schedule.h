/** @file
 * Places of requests that find no token of their organisation's rate: which of
 * them wait, in which order, and which time the others are told.
 * docs/design/rate-schedule.md.
 *
 * Times are microseconds of one clock.  The module does not count tokens: its
 * user tells it with each call what may be spent.
 */
#ifndef CORE_RATE_SCHEDULE_H
#define CORE_RATE_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

/** The schedules of all organisations at one daemon. */
struct rate_schedule;

struct rate_schedule_options
{
  int max_waiting;     /**< Most waiting requests of an organisation. */
  double repeat_share; /**< Fraction of the tokens that refused requests are
                          promised while tokens are scarce, above 0 and at
                          most 1. */
  int64_t hold_us;     /**< Time for which the token of a promised place is
                          kept. */
  bool no_wait;        /**< Baseline for comparisons: no request waits. */
  bool common_place;   /**< Baseline for comparisons: all refused requests are
                          told the time of the next free token, and none is
                          kept for them. */
};

/** What may be spent of an organisation's tokens here. */
struct rate_supply
{
  double tokens;    /**< Tokens that may be spent now; may be negative. */
  double per_s;     /**< Tokens that are added per second. */
  int64_t ready_at; /**< None may be spent before. */
  bool is_scarce;   /**< The demand exceeds the rate. */
};

/** A request.  The user of this module allocates it and keeps it while it
 * waits. */
struct rate_request
{
  uint64_t organisation;
  bool is_repeat; /**< Its caller was refused before. */
  int priority;   /**< 0 is the highest. */
  /** Latest time at which it can start and meet its objective. */
  int64_t latest_start;
  int64_t expires_at; /**< It is refused when its place is later. */
  /** Its caller does not come back after this time; 0: not known. */
  int64_t returns_until;
  void *data; /**< For the module's user; not used by the module. */
  /* Private to the schedule. */
  struct rate_request *next;
  bool has_place; /**< It is a repeat that uses a promised place. */
};

enum rate_verdict
{
  RATE_RUN, /**< Run it now; the user spends its token. */
  RATE_WAIT,
  RATE_REFUSE
};

/** @param options copied; NULL: the defaults. */
struct rate_schedule *
rate_schedule_create (void *parent,
                      const struct rate_schedule_options *options);
/** Decides about a new request.
 * @param place set to when the token of a waiting or refused request is due.
 * @param displaced set to a request of lower priority that no longer waits,
 * NULL if there is none; tell its caller rate_schedule_promise.
 * @return RATE_WAIT: the request is kept until it is returned by
 * rate_schedule_pop or rate_schedule_pop_late, or removed. */
enum rate_verdict rate_schedule_add (struct rate_schedule *s,
                                     struct rate_request *request,
                                     const struct rate_supply *supply,
                                     int64_t now, int64_t *place,
                                     struct rate_request **displaced);
/** @return a place for a request that is refused, and that no other refused
 * request is told. */
int64_t rate_schedule_promise (struct rate_schedule *s,
                               const struct rate_request *request,
                               const struct rate_supply *supply, int64_t now);
/** Removes the next request that may run now.
 * @return NULL if there is none; otherwise the user spends its token. */
struct rate_request *rate_schedule_pop (struct rate_schedule *s,
                                        uint64_t organisation,
                                        const struct rate_supply *supply,
                                        int64_t now);
/** Removes a request that can no longer get its token before it expires.
 * @return NULL if there is none. */
struct rate_request *rate_schedule_pop_late (struct rate_schedule *s,
                                             uint64_t organisation,
                                             const struct rate_supply *supply,
                                             int64_t now);
/** Removes a request that waits. */
void rate_schedule_remove (struct rate_schedule *s,
                           struct rate_request *request);
/** @return when rate_schedule_pop may return a request; INT64_MAX if none
 * waits. */
int64_t rate_schedule_next_at (struct rate_schedule *s, uint64_t organisation,
                               const struct rate_supply *supply, int64_t now);
/** Iterates over the organisations of which requests wait.
 * @param index 0 at first; moved on by each call.
 * @return false after the last one. */
bool rate_schedule_next_organisation (const struct rate_schedule *s,
                                      int *index, uint64_t *organisation);
/** @return number of requests that wait. */
int rate_schedule_waiting (const struct rate_schedule *s);

#endif
