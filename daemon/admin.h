/** @file
 * The admin HTTP interface for operators: metrics, status and drain.
 */
#ifndef DAEMON_ADMIN_H
#define DAEMON_ADMIN_H

#include "daemon/daemon.h"

/** Start the HTTP server on the admin address from the options.
 * @return NULL with an error in @p err if it could not be started. */
struct admin *admin_create (struct daemon *d, struct error *err);
/** @return the TCP port that the server listens on. */
int admin_port (const struct admin *a);

#endif
