/** @file
 * Runs the statements of the services that this daemon owns: limits, queue,
 * choice of the endpoint, transactions, replacement of a failed primary.
 */
#ifndef SESSION_OWNER_H
#define SESSION_OWNER_H

#include "session/sessiond.h"

struct owner;

struct owner *owner_create (struct relay *r);
/** Take note of leases that were won or lost. */
void owner_check (struct owner *o);
/** Its services may be owned from now on. */
void owner_config_changed (struct owner *o);
void owner_endpoints_changed (struct owner *o);
/** Run a statement of a caller; takes over @p m. */
void owner_statement (struct owner *o, struct packet *m);
/** A session with an open transaction ended. */
void owner_abandon (struct owner *o, const struct packet *m);
/** Another daemon asks whether this one reaches an endpoint. */
void owner_probe (struct owner *o, const struct packet *m);
void owner_probed (struct owner *o, const struct packet *m);
/** A former owner of a service asks whether its commit counts. */
void owner_commit (struct owner *o, const struct packet *m);
/** Give all services up; open transactions go on. */
void owner_leave (struct owner *o);
/** Give one service to another daemon; its open transactions go on here. */
void owner_give_one (struct owner *o, uint64_t successor);
/** @return services that this daemon owns. */
int owner_count (const struct owner *o);
/** @return statements and transactions that are not finished. */
int owner_pending (const struct owner *o);

#endif
