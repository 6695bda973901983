/** @file
 * The session daemon: its modules and the state that they share.
 *
 * A statement goes callers -> fleet -> owner -> link -> endpoint, and its
 * result the same way back.  Any daemon accepts callers; each service has one
 * owner among the daemons, and only the owner starts statements and
 * transactions at its endpoints.  Other daemons connect to an endpoint only to
 * probe it for the owner, or to finish what has begun before a release.
 */
#ifndef SESSION_SESSIOND_H
#define SESSION_SESSIOND_H

#include "common/clock.h"
#include "common/stats.h"
#include "common/timer.h"
#include "core/limits.h"
#include "core/memory_account.h"
#include "session/model.h"
#include "session/options.h"
#include "session/packet.h"

#include <tevent.h>

/** Process-wide state of the session daemon. */
struct sessiond
{
  struct tevent_context *ev;
  const struct sessiond_options *options;
  struct stats *stats;
  struct store *store;
  struct directory *directory;
  struct voters *voters;
  struct fleet *fleet;
  struct owner *owner;
  struct commit_queries *commit_queries;
  struct evacuations *evacuations; /**< NULL: evacuations are not read. */
  struct callers *callers;
  struct limits *limits;
  struct rate *rate; /**< NULL: the setting rate_schedule is off. */
  struct memory_account *memory; /**< Bytes held for callers and peers. */
  const struct config *config;   /**< NULL until one is known. */
  uint64_t self;                 /**< This daemon's member id. */
  uint64_t incarnation;          /**< Start time: grows with each start. */
  int64_t leaving_since;         /**< Time of SIGTERM or SIGINT; 0: none. */
  int64_t unready_since;         /**< Since when it is not ready; 0: it is. */
  bool ending;                   /**< All callers were answered for the end. */
  bool stopped;                  /**< The event loop is to end. */
};

/** A newer configuration is in force. */
void sessiond_config_changed (struct sessiond *r, const struct config *config);
/** The entries of endpoints have changed. */
void sessiond_endpoints_changed (struct sessiond *r);
/** The list of voters was read. */
void sessiond_voters_changed (struct sessiond *r);

/** Call @p fire every @p period_us until @p parent is freed. */
void sessiond_call_every (struct sessiond *r, void *parent, int64_t period_us,
                          void (*fire) (void *data), void *data);
/** Call @p fire once; free the returned timer to cancel it. */
struct timer *sessiond_call_after (struct sessiond *r, void *parent,
                                   int64_t us, void (*fire) (void *data),
                                   void *data);
/** @return a random number below @p bound. */
uint32_t sessiond_random (uint32_t bound);

/** Log a line about one request, unless too many were logged in the same
 * second; the number of dropped lines is logged in the next one. */
void sessiond_log_request (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
