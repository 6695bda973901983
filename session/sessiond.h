/** @file
 * The session daemon: its parts and what they share.
 *
 * A statement goes callers -> fleet -> owner -> link -> endpoint, and its
 * result the same way back.  Any daemon takes callers; each service has one
 * owner among the daemons, and only the owner talks to its endpoints.
 */
#ifndef SESSION_RELAY_H
#define SESSION_RELAY_H

#include "common/clock.h"
#include "common/stats.h"
#include "common/timer.h"
#include "core/limits.h"
#include "session/model.h"
#include "session/options.h"
#include "session/packet.h"

#include <tevent.h>

struct relay
{
  struct tevent_context *ev;
  const struct relay_options *options;
  struct stats *stats;
  struct store *store;
  struct directory *directory;
  struct voters *voters;
  struct fleet *fleet;
  struct owner *owner;
  struct former_commits *former;
  struct callers *callers;
  struct limits *limits;
  const struct config *config; /**< NULL until the first one is known. */
  uint64_t self;               /**< Id of this daemon. */
  uint64_t incarnation;
  int64_t leaving_since; /**< 0: not leaving. */
  int64_t unready_since; /**< 0: ready. */
  bool stopped;
};

/** A newer configuration is in force. */
void relay_config_changed (struct relay *r, const struct config *config);
/** Entries of endpoints have changed. */
void relay_endpoints_changed (struct relay *r);
/** The list of voters was read. */
void relay_voters_changed (struct relay *r);

/** Call @p fire every @p period_us until @p parent is freed. */
void relay_every (struct relay *r, void *parent, int64_t period_us,
                  void (*fire) (void *data), void *data);
/** Call @p fire once; free the returned timer to cancel it. */
struct timer *relay_after (struct relay *r, void *parent, int64_t us,
                           void (*fire) (void *data), void *data);
/** @return a random number below @p bound. */
uint32_t relay_random (uint32_t bound);

/** Write a line about one request, unless too many were written lately; the
 * number of lines left out is told in the next one. */
void relay_trace (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
