/** @file
 * A member of the fleet that has no process: the test sends its messages, in
 * any order and with any contents, and counts the results that it gets.
 */
#ifndef TESTS_SCRIPTED_MEMBER_H
#define TESTS_SCRIPTED_MEMBER_H

#include "net/bus.h"
#include "session/packet.h"
#include "tests/relay_site.h"

/** Results of statements with lower sequence numbers are kept. */
#define SCRIPTED_MAX_RESULTS 64

struct scripted_member
{
  struct tevent_context *ev;
  struct bus *bus;
  char address[64]; /**< Address of the daemon that gets the packets. */
  uint64_t incarnation;
  uint64_t first_sequence; /**< First statement of this incarnation. */
  int results;             /**< Number of results received. */
  /** Number of results that were sent to this incarnation, for its own
   * statements and for those of the one before it. */
  int own_results, foreign_results;
  /** By sequence number. */
  bool has_result[SCRIPTED_MAX_RESULTS];
  enum outcome outcomes[SCRIPTED_MAX_RESULTS];
};

/** A statement of the member's only session. */
struct scripted_statement
{
  enum statement_verb verb;
  const char *text;
  const char *id; /**< NULL: one that tells the incarnation. */
  uint64_t sequence;
  uint64_t transaction; /**< See struct packet_statement. */
  bool in_transaction;
};

/** Open the member's bus, for messages to daemon 0 of the site.
 * @param send_queue messages that may wait; 0: the default.
 * @return whether it is open. */
bool scripted_member_listen (struct sessiond_site *s,
                             struct scripted_member *d, int send_queue);
/** Send the first heartbeat of the member's incarnation. */
void scripted_member_start (struct scripted_member *d);
/** Open the bus and join the fleet. @return whether the bus is open. */
bool scripted_member_join (struct sessiond_site *s, struct scripted_member *d);
/** Send a statement for service 1 of the site. */
void scripted_member_send (struct scripted_member *d,
                           const struct scripted_statement *statement);
/** Wait for the result of a statement. @return whether it came. */
bool scripted_member_await (struct scripted_member *d, uint64_t sequence,
                            int timeout_ms);

#endif
