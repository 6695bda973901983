/** @file
 * Messages between this daemon and the other members of its cell, and the
 * actions of core/cell and core/budget.
 */
#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include "core/failover.h"
#include "daemon/daemon.h"

struct peers *peers_create (struct daemon *d, struct error *err);
/** The cell's object was read; @p object is NULL if it does not exist. */
void peers_on_object (struct daemon *d, const struct platform_object *object);
/** Perform what core/cell and core/budget ask for now. */
void peers_pump (struct daemon *d);
/** Ask all members to give up authority for terms below @p term. */
void peers_send_release (struct daemon *d, const char *service, uint64_t term);
/** Send this member's view of a primary to all members at once. */
void peers_send_view (struct daemon *d, const char *service,
                      struct primary_view view);
/** Read the cell object for a driver of a change of primary.
 * @param done called once, with the time at which the read was sent, 0 if
 * it failed. */
void peers_read_members (struct daemon *d,
                         void (*done) (void *data, int64_t sent_at),
                         void *data);

#endif
