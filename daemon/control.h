/** @file
 * Watches the platform for what the daemon needs from it: the configuration,
 * the keys, the objects of the cell and its groups, and the list of VMs.
 */
#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include "daemon/daemon.h"

/** Prefix of the names of all objects that the daemon watches. */
#define CONTROL_PREFIX "azurewind/"
#define CONTROL_CONFIG "azurewind/config"
#define CONTROL_KEYS "azurewind/keys"

/** Create the client of the platform and start the watch.
 * @return NULL and set @p err if the client cannot be created. */
struct control *control_create (struct daemon *d, struct error *err);

/** Apply an object that a peer sent if it is newer than the known version. */
void control_on_snapshot (struct daemon *d, const char *name, uint64_t version,
                          struct bstr value);

#endif
