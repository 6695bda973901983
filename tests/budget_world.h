/** @file
 * Simulator of one cell in virtual time: several instances of the modules cell
 * and budget, a message network that can lose, delay and duplicate messages,
 * and the cell's record on the platform.  Nodes are named a to l.  Commands,
 * one per line:
 *
 *   org NAME RATE BURST [NODE...]   set the limit that the nodes know
 *   load ORG NODE RATE              send requests to a node
 *   quiet                           stop all load
 *   start|restart|revive|kill|pause|resume|leave|gone NODE...
 *   cut [NODE...]                   cut the nodes off from the others
 *   blind [NODE...]                 cut the nodes off from the platform
 *   set NAME VALUE                  see set_value in budget_world.c
 *   run SECONDS                     let virtual time pass
 *   show                            print the state of the nodes
 */
#ifndef TESTS_BUDGET_WORLD_H
#define TESTS_BUDGET_WORLD_H

#include "core/budget.h"

/** A protection that the simulator switches off, so that a test can show that
 * the checks detect its absence. */
enum budget_world_fault
{
  FAULT_NONE,
  FAULT_NO_DEDUCTION, /**< The sender keeps what it grants. */
  FAULT_NO_GRANT_IDS, /**< A duplicate of a grant gets a new id. */
  FAULT_NO_LEASE,     /**< Members spend without a valid lease. */
  FAULT_NO_WAIT,      /**< Fractions are allotted before the leases of
                           removed members have ended. */
  FAULT_NO_FREEZE     /**< Members still move fractions after they
                           reported them. */
};

struct budget_world;

/** Results of a run.  The simulator keeps central token buckets for each
 * organisation: one takes a token for each request that fits, another one for
 * each request that the nodes admitted. */
struct budget_world_result
{
  long offered, admitted, refused; /**< Requests. */
  long within;   /**< Requests that fit the central bucket. */
  long wrongful; /**< Requests refused although they are within. */
  long messages; /**< Budget messages sent. */
  long bytes;    /**< Their size, estimated from their fields. */
  /** Largest sum of the fractions that nodes could spend at the same time. */
  double max_fraction_sum;
  /** Lowest level of a central bucket for admitted requests, in tokens. */
  double min_central_level;
};

struct budget_world *budget_world_create (void *parent, long seed,
                                          enum budget_world_fault fault);
/** Run one command.
 * @return false if the line is not a valid command. */
bool budget_world_command (struct budget_world *w, const char *line);
/** Run a file of commands.
 * @return false, with a message in the transcript, if a line is invalid. */
bool budget_world_run_script (struct budget_world *w, const char *path);
const char *budget_world_transcript (const struct budget_world *w);
struct budget_world_result budget_world_result (const struct budget_world *w);
/** @return whether the limits were kept so far (property P5): the spendable
 * fractions of an organisation never exceeded 1, and the central bucket for
 * admitted requests never fell below 0 tokens. */
bool budget_world_limits_held (const struct budget_world *w);
/** @return whether every node that runs or is paused may spend and the
 * fractions of each organisation add up to 1.  Only meaningful while no
 * fraction is in transit. */
bool budget_world_can_serve (struct budget_world *w);
/** @return a random number, uniform in [0, 1). */
double budget_world_random (struct budget_world *w);

#endif
