/** @file
 * The callers' HTTP interface: it parses and authenticates requests and
 * applies the rate limits.  See docs/interface.md.
 */
#ifndef DAEMON_FRONT_H
#define DAEMON_FRONT_H

#include "daemon/daemon.h"

/** Start the HTTP server on the address from the options.
 * @return NULL with an error in @p err if it could not be started. */
struct front *front_create (struct daemon *d, struct error *err);
/** @return the TCP port that the server listens on. */
int front_port (const struct front *f);
/** @return the number of unfinished requests and open transactions. */
int front_unfinished_count (const struct front *f);
/** Ask the budget again for every request that waits for it; called when
 * tokens may have arrived from another member. */
void front_retry_waiting (struct daemon *d);
/** Refuse new requests from now on; running requests continue. */
void front_drain (struct front *f);

/** @return the number of connections closed for misbehaviour. */
uint64_t front_closed_count (const struct front *f);

#endif
