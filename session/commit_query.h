/** @file
 * Commits that a daemon gets through at a primary after it has given the
 * service up.  The present owner may be replacing that primary, and its
 * history of positions lacks the commit; so it is asked before the caller is
 * told.
 */
#ifndef SESSION_FORMER_H
#define SESSION_FORMER_H

#include "session/packet.h"

struct former_commits;
struct relay;
struct service;
struct work;

struct former_commits *former_create (struct relay *r);
/** The endpoint has run the commit @p w with the result @p r, whose texts are
 * copied.  The caller gets it once the present owner has taken note of its
 * position; else it is told that the outcome is unknown.  Takes over @p w. */
void former_ask (struct former_commits *f, struct work *w,
                 const struct packet_result *r);
/** The present owner's answer. */
void former_answered (struct former_commits *f, const struct packet *m);
/** @return commits of @p s that are not answered. */
int former_pending (const struct former_commits *f, const struct service *s);

#endif
