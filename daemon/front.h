/** @file
 * The callers' HTTP interface: authentication, parsing, limits.
 * docs/interface.md.
 */
#ifndef DAEMON_FRONT_H
#define DAEMON_FRONT_H

#include "daemon/daemon.h"

struct front *front_create (struct daemon *d, struct error *err);
int front_port (const struct front *f);
/** Requests and transactions that are not finished. */
int front_busy (const struct front *f);
/** Tokens of a budget may have arrived: ask again for waiting requests. */
void front_on_grant (struct daemon *d);
/** Refuse new requests; running ones go on. */
void front_drain (struct front *f);

#endif
