/** @file
 * The list of voters: one object in the store that is changed by conditional
 * updates.  Members add themselves when the whole fleet starts for the first
 * time, when there are no voters, or when the majority of them is gone for
 * good; otherwise the live voter with the smallest id adds and removes voters.
 */
#ifndef SESSION_VOTERS_H
#define SESSION_VOTERS_H

#include "session/sessiond.h"

#include <jansson.h>

/** Target number of voters in a fleet: any four may fail at once.  More voters
 * would only make every change of a lease slower. */
#define VOTERS_WANTED 9

struct voters;

struct voters *voters_create (struct sessiond *r);
/** Apply the list as it was read from the store, and add this member to it if
 * that is due.
 * @param object NULL: there is no list.
 * @param revision revision of the store at which it was read. */
void voters_apply (struct voters *v, const json_t *object, uint64_t revision);
/** Apply the list of another member. @param object NULL: it has none. */
void voters_apply_copy (struct voters *v, const json_t *object);
/** @return the object with the current list, valid until the next change; NULL
 * if there is no list. */
const json_t *voters_object (const struct voters *v);
/** @return the current list, valid until the next change. */
const struct voter_list *voters_list (const struct voters *v);
/** @return whether this member asks to be added to the list. */
bool voters_wants_vote (const struct voters *v);

/* The voter that maintains the list calls the following functions once a
   majority has the current list.  They write the changed list to the store,
   but do nothing during a write and for a short time after one. */

/** @return whether the next write may begin. */
bool voters_may_write (const struct voters *v);
/** Write a list that may follow the present one; see struct lease_voters. */
void voters_change (struct voters *v, struct voter_list *list);
/** @return whether the store has an older list than this member, or none: it
 * was restored from a copy. */
bool voters_list_is_lost (const struct voters *v);
/** Write the list that the store has lost again. */
void voters_write_again (struct voters *v);

#endif
