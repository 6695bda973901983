/** @file
 * What the platform's store holds.  Voters keep it up to date by watches and,
 * when the store cannot be reached, by copies from other daemons.  Observers
 * take copies from a voter and call the store only to find the voters.
 */
#ifndef SESSION_DIRECTORY_H
#define SESSION_DIRECTORY_H

#include "session/relay.h"

struct directory;

/** Begins to read; nothing is received before the loop runs. */
struct directory *directory_create (struct relay *r);
/** Read the list of voters, unless a watch shows every change. */
void directory_read_voters (struct directory *d);

/** Entries that may be used, valid until the next change. */
const struct endpoint_entry *directory_endpoints (const struct directory *d,
                                                  int *count);
/** @return whether the collection was read once. */
bool directory_has (const struct directory *d, enum object_kind kind);
/** @return for how long it has been unknown whether the configuration is the
 * newest, microseconds; 0: it is. */
int64_t directory_config_doubt (const struct directory *d);
/** @return whether the last call to the store succeeded. */
bool directory_store_answers (const struct directory *d);
uint64_t directory_revision (const struct directory *d, enum object_kind kind);
/** @return equal for equal contents. */
uint64_t directory_digest (const struct directory *d, enum object_kind kind);

/** A heartbeat of another daemon: ask it for a copy of what is newer. */
void directory_compare (struct directory *d, uint64_t member,
                        const struct packet_heartbeat *h);
/** Answer a request for a copy. */
void directory_send_copy (struct directory *d, uint64_t member,
                          enum object_kind kind);
void directory_adopt (struct directory *d, const struct packet_copy *copy);

#endif
