/** @file
 * What the daemon takes from the platform: configuration, keys, the objects
 * of cell and groups, and the list of VMs.
 */
#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include "daemon/daemon.h"

#define CONTROL_PREFIX "azurewind/"
#define CONTROL_CONFIG "azurewind/config"
#define CONTROL_KEYS "azurewind/keys"

struct control *control_create (struct daemon *d, struct error *err);

/** A peer sent an object; it is applied only if it is newer. */
void control_on_snapshot (struct daemon *d, const char *name, uint64_t version,
                          struct bstr value);

#endif
