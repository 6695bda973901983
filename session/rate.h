/** @file
 * Statements that wait for a token of their organisation's rate.  Part of the
 * owner; see docs/design/rate-schedule.md.
 */
#ifndef SESSION_RATE_H
#define SESSION_RATE_H

#include <stdbool.h>
#include <stdint.h>

struct pending_statement;
struct rate;
struct service;
struct sessiond;
struct transaction;

/** @return NULL unless the setting rate_schedule is on. */
struct rate *rate_create (struct sessiond *r);
/** Takes the token of a new statement, or lets the statement wait, or refuses
 * it.  A statement that has waited continues with service_run_admitted.
 * @param queue_us expected time until it starts once it has its token.
 * @return whether it may run now; otherwise @p ps may be gone. */
bool rate_admit (struct pending_statement *ps, int64_t queue_us);
/** A new period of the limits has begun, which may have brought tokens. */
void rate_supply_changed (struct rate *rate);
/** Removes a statement of the service that waits.
 * @return NULL if there is none. */
struct pending_statement *rate_take_waiting (struct service *s);
/** Frees the BEGIN of a transaction if it waits here.
 * @return whether it did. */
bool rate_drop_begin (const struct transaction *t);
/** @return number of statements of the service that wait. */
int rate_waiting_count (const struct service *s);

#endif
