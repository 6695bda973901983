/** @file
 * Callers' sessions: answers what needs no endpoint and sends the rest to
 * the owner of the service.
 */
#ifndef SESSION_CALLERS_H
#define SESSION_CALLERS_H

#include "session/relay.h"

struct callers;

struct callers *callers_create (struct relay *r, struct error *err);
/** The owner's result of a statement. */
void callers_result (struct callers *f, const struct packet *m);
/** Owners may have changed: send what waits for one. */
void callers_owners_changed (struct callers *f);
int callers_count (const struct callers *f);
/** @return sessions with a statement or transaction that is not finished. */
int callers_busy (const struct callers *f);
/** Close up to @p most idle sessions, those without a transaction. */
void callers_close_idle (struct callers *f, int most);

#endif
