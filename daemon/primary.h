/** @file
 * Performs the actions of core/failover for a group: it reads and updates the
 * group's object on the platform, sends commands to endpoints, and exchanges
 * releases of authority and views of the primary with peers.
 */
#ifndef DAEMON_PRIMARY_H
#define DAEMON_PRIMARY_H

#include "daemon/group.h"

/** Perform the actions of core/failover that are due now. */
void primary_perform_actions (struct group *g);
/** Read the group's object from the platform. */
void primary_read_object (struct group *g);

/** Apply an object that was read from the platform if it is a group's. */
void primary_on_object (struct daemon *d,
                        const struct platform_object *object);
/** Release authority for all terms below @p term, because the member that
 * drives a change of primary asks for it. */
void primary_on_release (struct daemon *d, const char *service, uint64_t term);
/** Record that @p member released authority for all terms below @p term. */
void primary_on_released (struct daemon *d, const char *service,
                          uint64_t member, uint64_t term);
/** Record a peer's view of the primary. */
void primary_on_view (struct daemon *d, const char *service,
                      const struct primary_view *view);

#endif
