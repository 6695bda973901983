/** @file
 * Local copy of what the platform's store holds.  Voters keep it up to date by
 * watches and, when the store cannot be reached, by copies from other members.
 * Observers fetch copies from a voter and call the store only to find the
 * voters.
 */
#ifndef SESSION_DIRECTORY_H
#define SESSION_DIRECTORY_H

#include "session/sessiond.h"

struct directory;

/** Create the directory and start to read the list of voters; nothing is
 * received before the event loop runs. */
struct directory *directory_create (struct sessiond *r);
/** Read the list of voters, unless a watch on it is active already. */
void directory_read_voters (struct directory *d);

/** @return the number of failure domains that endpoints are in. */
int directory_domain_count (const struct directory *d);
/** @return the entries of endpoints without the invalid ones; valid until the
 * next change. */
const struct endpoint_entry *directory_endpoints (const struct directory *d,
                                                  int *count);
/** @return whether the collection has been read, or a copy of it received, at
 * least once. */
bool directory_has (const struct directory *d, enum object_kind kind);
/** @return since when the collection could not be read, as all calls for it or
 * all calls to the store failed; before the first success since the start of
 * the daemon.  0: the last call succeeded. */
int64_t directory_failing_since (const struct directory *d,
                                 enum object_kind kind);
/** @return for how long it has been uncertain whether the configuration is the
 * newest one, microseconds; 0: it is the newest. */
int64_t directory_config_uncertain_us (const struct directory *d);
/** @return whether the last call to the store succeeded. */
bool directory_reaches_store (const struct directory *d);
/** @return the revision of the local copy, 0 if there is none. */
uint64_t directory_revision (const struct directory *d, enum object_kind kind);
/** @return a digest of the collection, equal for equal contents.  It is 0 for
 * OBJECT_CONFIG, as configurations are compared by their version. */
uint64_t directory_digest (const struct directory *d, enum object_kind kind);

/** Compare the revisions in another member's heartbeat with the own ones, and
 * request copies of the collections that are newer there. */
void directory_compare_revisions (struct directory *d, uint64_t member,
                                  const struct packet_heartbeat *h);
/** Send a copy of a collection to the member that has requested it. */
void directory_send_copy (struct directory *d, uint64_t member,
                          enum object_kind kind);
/** Replace a collection by a copy from another member if that is newer. */
void directory_apply_copy (struct directory *d,
                           const struct packet_copy *copy);

#endif
