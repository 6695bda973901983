/** @file
 * The list of voters: one object in the store that is changed by conditional
 * updates, one voter at a time.  When the whole fleet starts for the first
 * time, or when there are no voters, daemons add themselves; later the voter
 * that leads the others adds and removes.
 */
#ifndef SESSION_VOTERS_H
#define SESSION_VOTERS_H

#include "session/relay.h"

#include <jansson.h>

/** Voters that a fleet wants: any four may fail at once.  More would only make
 * every change of a lease slower. */
#define VOTERS_WANTED 9

struct voters;

struct voters *voters_create (struct relay *r);
/** The object was read. @param object NULL: there is none. */
void voters_read (struct voters *v, const json_t *object);
/** Valid until the next change. */
const struct voter_list *voters_list (const struct voters *v);
/** @return whether this daemon would be added to the list. */
bool voters_wants_vote (const struct voters *v);

/* To be called by a voter, if a majority knows the list. */
void voters_add (struct voters *v, const struct voter_entry *entry);
void voters_remove (struct voters *v, uint64_t id);
/** A settled list is changed only after it was declared not to be settled. */
void voters_settle (struct voters *v, bool settled);

#endif
