/** @file
 * Commits that finish at a primary after this daemon has released the
 * service.  The current owner may be replacing that primary, and its history
 * of positions lacks the commit.  So this daemon, the previous owner, asks the
 * current one whether the commit is kept, and answers the caller then.
 */
#ifndef SESSION_COMMIT_QUERY_H
#define SESSION_COMMIT_QUERY_H

#include "session/packet.h"

struct commit_queries;
struct sessiond;
struct service;
struct pending_statement;

struct commit_queries *commit_queries_create (struct sessiond *r);
/** Ask the current owner about the commit @p ps, which the endpoint has run
 * with the result @p r; the texts of @p r are copied.  The caller gets @p r
 * once the owner has recorded the position, otherwise the outcome
 * "unknown".  Takes over @p ps. */
void commit_queries_add (struct commit_queries *queries,
                         struct pending_statement *ps,
                         const struct packet_result *r);
/** Handle the current owner's answer. */
void commit_queries_handle_answer (struct commit_queries *queries,
                                   const struct packet *m);
/** @return number of commits of @p s that are not answered. */
int commit_queries_count (const struct commit_queries *queries,
                          const struct service *s);

#endif
