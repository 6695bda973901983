/** @file
 * The admin port: metrics, status and drain, for operators only.
 */
#ifndef DAEMON_ADMIN_H
#define DAEMON_ADMIN_H

#include "daemon/daemon.h"

struct admin *admin_create (struct daemon *d, struct error *err);
int admin_port (const struct admin *a);

#endif
