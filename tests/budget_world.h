/** @file
 * Several instances of cell and budget in virtual time, with a small message
 * network and platform object.  Nodes are named a to l.  Driven by lines:
 *
 *   org NAME RATE BURST [NODE...]   load ORG NODE RATE    quiet
 *   start|restart|revive|kill|pause|resume|leave|gone NODE...
 *   cut|blind [NODE...]             from the other nodes, from the platform
 *   set NAME VALUE                  see set_value in budget_world.c
 *   run SECONDS                     show
 */
#ifndef TESTS_BUDGET_WORLD_H
#define TESTS_BUDGET_WORLD_H

#include "core/budget.h"

/** A protection to switch off, to see that the checks can fail. */
enum world_fault
{
  FAULT_NONE,
  FAULT_NO_DEDUCTION, /**< The giver keeps what it grants. */
  FAULT_NO_GRANT_IDS, /**< A duplicate grant looks like a new one. */
  FAULT_NO_LEASE,     /**< Members spend without a valid lease. */
  FAULT_NO_WAIT,      /**< Allot before removed leases have ended. */
  FAULT_NO_FREEZE     /**< Move fractions after reporting them. */
};

struct world;

struct world_result
{
  long offered, admitted, refused;
  long within;   /**< Offered within rate and burst, counted centrally. */
  long wrongful; /**< Refused although within. */
  long messages, bytes; /**< Estimated from the fields, of budget messages. */
  double worst_sum;     /**< Largest sum of spendable fractions. */
  double worst_level;   /**< Lowest level of the central bucket. */
};

struct world *budget_world_create (void *parent, long seed,
                                   enum world_fault fault);
/** @return false if the line is not a command. */
bool budget_world_command (struct world *w, const char *line);
/** Run a script of commands; false with a message in the transcript if a
 * line is wrong. */
bool world_script (struct world *w, const char *path);
const char *world_transcript (const struct world *w);
struct world_result budget_world_result (const struct world *w);
/** @return whether P5 held so far. */
bool world_holds (const struct world *w);
/** @return whether every running node may spend and the fractions are
 * complete; to be asked when nothing moves. */
bool world_serves (struct world *w);
/** Uniform in [0, 1). */
double world_random (struct world *w);

#endif
