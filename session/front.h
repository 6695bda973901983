/** @file
 * Callers' sessions: answers what needs no endpoint and sends the rest to
 * the owner of the service.
 */
#ifndef SESSION_FRONT_H
#define SESSION_FRONT_H

#include "session/relay.h"

struct front;

struct front *front_create (struct relay *r, struct error *err);
/** The owner's result of a statement. */
void front_result (struct front *f, const struct message *m);
/** Owners may have changed: send what waits for one. */
void front_owners_changed (struct front *f);
int front_sessions (const struct front *f);
/** @return sessions with a statement or transaction that is not finished. */
int front_busy (const struct front *f);
/** Close up to @p most idle sessions, those without a transaction. */
void front_close_idle (struct front *f, int most);

#endif
