/** @file
 * Statements that wait at the daemon of their caller while their service has
 * no owner: which of them wait, when an owner is expected, and in which order
 * and at which pace they are sent once there is one.
 * docs/design/entry-wait.md.
 *
 * Times are microseconds of the process's own clock.
 */
#ifndef CORE_ENTRY_WAIT_H
#define CORE_ENTRY_WAIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The waiting statements of all services at one daemon. */
struct entry_wait;

struct entry_wait_options
{
  int max_waiting;  /**< Most statements that wait at a time. */
  size_t max_bytes; /**< Most bytes of these together. */
  /** Most statements of one service that have waited and were sent, but are
   * not answered.  The next one is sent when one of them is answered, so that
   * the owner gets them at the pace of its endpoints. */
  int window;
  /** Time from the end of a lease until the next owner runs statements. */
  int64_t takeover_us;
  /** Baseline for comparisons: every statement waits for this time, and all
   * that waited are sent at once; 0: off. */
  int64_t fixed_wait_us;
};

/** A statement that may wait.  The user of this module allocates it, zeroed,
 * and keeps it until it was taken, expired, displaced or removed. */
struct entry_wait_item
{
  uint64_t service;
  int priority;       /**< 0 is the highest. */
  int64_t arrived_at; /**< Among equal priorities the oldest goes first. */
  int64_t latest;     /**< After this time an owner cannot answer in time. */
  size_t bytes;
  void *statement; /**< For the module's user; not used by the module. */
  /* Private to the module. */
  struct entry_wait_item *next;
  bool is_waiting;
};

struct entry_wait *
entry_wait_create (void *parent, const struct entry_wait_options *options);
/** Record that the service has no owner that answers.
 * @param lease_end time by which the lease of its last owner has ended; 0: it
 * was released, or none is known. */
void entry_wait_lost (struct entry_wait *w, uint64_t service,
                      int64_t lease_end, int64_t now);
/** Record that the service has an owner. */
void entry_wait_found (struct entry_wait *w, uint64_t service);
/** @return the time at which an owner of a service that has none is expected
 * to run statements. */
int64_t entry_wait_expected (const struct entry_wait *w, uint64_t service,
                             int64_t now);
/** Have a statement wait, unless no owner is expected before its latest time,
 * or there is no room and no waiting statement is less urgent.
 * @param displaced set to a less urgent item that gave way, which the caller
 * of this function refuses; NULL: none did.
 * @param retry_us set to the time after which an owner is expected, also for
 * the displaced item.
 * @return whether it waits. */
bool entry_wait_add (struct entry_wait *w, struct entry_wait_item *item,
                     int64_t now, struct entry_wait_item **displaced,
                     int64_t *retry_us);
/** Remove the most urgent statement of a service that has an owner, if the
 * window has room.  entry_wait_done must follow once it is answered.
 * @return NULL if none is to be sent now. */
struct entry_wait_item *entry_wait_take (struct entry_wait *w,
                                         uint64_t service);
/** A statement that entry_wait_take returned was answered, or will not be. */
void entry_wait_done (struct entry_wait *w, uint64_t service);
/** Remove a statement that cannot be answered in time any more: its latest
 * time has passed, or no owner is expected before it.
 * @param retry_us as in entry_wait_add.
 * @return NULL if there is none. */
struct entry_wait_item *entry_wait_expire (struct entry_wait *w, int64_t now,
                                           int64_t *retry_us);
/** Remove a waiting statement; does nothing if it does not wait. */
void entry_wait_remove (struct entry_wait *w, struct entry_wait_item *item);
/** @return the number of waiting statements. */
int entry_wait_count (const struct entry_wait *w);

#endif
