/** @file
 * Exchanges messages with the other members of the cell, and performs the
 * actions that core/cell and core/budget decide.
 */
#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include "core/failover.h"
#include "daemon/daemon.h"

/** Open the peer socket, create the cell and budget modules and read the
 * cell object for the first time.
 * @return NULL with an error in @p err if the socket could not be opened. */
struct peers *peers_create (struct daemon *d, struct error *err);
/** Apply the cell object that was read from the platform; version 0 means
 * that it does not exist. */
void peers_on_cell_object (struct daemon *d,
                           const struct platform_object *object);
/** Perform the actions of core/cell and core/budget that are due. */
void peers_perform_actions (struct daemon *d);
/** Ask all other members to release their authority for terms below
 * @p term. */
void peers_send_release (struct daemon *d, const char *service, uint64_t term);
/** Send this member's view of a primary to all other members now, without
 * waiting for the next heartbeat. */
void peers_send_view (struct daemon *d, const char *service,
                      struct primary_view view);
/** Read the cell object on behalf of the code that drives a change of
 * primary.
 * @param done called once, with the time at which the read was sent, or 0
 * if it failed. */
void peers_read_cell_object (struct daemon *d,
                             void (*done) (void *data, int64_t sent_at),
                             void *data);

#endif
