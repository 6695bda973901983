/** @file
 * Callers' sessions: answers the statements that need no endpoint and sends
 * the others to the owner of the service.
 */
#ifndef SESSION_CALLERS_H
#define SESSION_CALLERS_H

#include "session/sessiond.h"

struct callers;

/** Bytes of messages that wait, or of answers that are not taken, from which a
 * caller is not read and its messages are not run. */
#define CALLER_PAUSE_BYTES ((size_t)64 << 10)
/** A session is closed to make room only if it holds this many bytes. */
#define CALLER_OFFENDER_BYTES ((size_t)64 << 10)

/** Listen for callers.
 * @return NULL if the address cannot be used. */
struct callers *callers_create (struct sessiond *r, struct error *err);
/** Handle the result of a statement from the owner of its service. */
void callers_handle_result (struct callers *f, const struct packet *m);
/** Must be called when owners may have changed: sends the statements that wait
 * for an owner and handles those whose owner is gone. */
void callers_owners_changed (struct callers *f);
/** Must be called when the first configuration is known: answers the callers
 * whose START waits for it. */
void callers_config_known (struct callers *f);
/** @return the number of open sessions. */
int callers_count (const struct callers *f);
/** @return the number of sessions with an unfinished statement or
 * transaction. */
int callers_busy_count (const struct callers *f);
/** Close up to @p max_count sessions that have no statement or transaction. */
void callers_close_idle (struct callers *f, int max_count);
/** Refuse the statements that have no answer, close all sessions and accept no
 * more; buffered answers are sent by the event loop. */
void callers_end_all (struct callers *f);

#endif
