/** @file
 * Performs what core/failover decides for a group: the group's object on
 * the platform, commands to endpoints, releases and views of peers.
 */
#ifndef DAEMON_PRIMARY_H
#define DAEMON_PRIMARY_H

#include "daemon/group.h"

/** Perform the actions that are due now. */
void primary_pump (struct group *g);
/** Read the group's object from the platform. */
void primary_read_object (struct group *g);

/** An object of the platform was read that may be a group's. */
void primary_on_object (struct daemon *d,
                        const struct platform_object *object);
/** A driver asks this member to give up authority below @p term. */
void primary_on_release (struct daemon *d, const char *service, uint64_t term);
void primary_on_released (struct daemon *d, const char *service,
                          uint64_t member, uint64_t term);
void primary_on_view (struct daemon *d, const char *service,
                      const struct primary_view *view);

#endif
