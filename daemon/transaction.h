/** @file
 * Interactive transactions: each is bound to one key and one client
 * connection, and holds one connection to the primary until it ends.
 */
#ifndef DAEMON_TRANSACTION_H
#define DAEMON_TRANSACTION_H

#include "daemon/call.h"
#include "daemon/query.h"

struct transaction;

struct transaction_begin
{
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  const char *request_id;
  const char *key_id;
  int64_t deadline; /**< For getting a connection. */
};

/** Open a transaction and reply with its id. */
void transaction_start (const struct transaction_begin *options);
struct transaction *transaction_find (struct daemon *d, struct bstr id);
bool transaction_belongs (const struct transaction *t, const char *key_id,
                          uint64_t connection);
bool transaction_is_busy (const struct transaction *t);
void transaction_query (struct transaction *t, struct http_request *http,
                        const char *request_id, struct query *q);
/** @param token the caller's session, which the answer's token extends.
 * @param owner memory that holds the token's strings; it is taken over. */
void transaction_commit (struct transaction *t, struct http_request *http,
                         const char *request_id, const struct token *token,
                         void *owner);
struct group *transaction_group (const struct transaction *t);
struct organisation *transaction_organisation (const struct transaction *t);
void transaction_rollback (struct transaction *t, struct http_request *http,
                           const char *request_id);
/** Roll back what the client connection left open. */
void transaction_connection_closed (struct daemon *d, uint64_t connection);
/** Roll back the transactions of keys that are not valid any more. */
void transaction_recheck_keys (struct daemon *d);
int transaction_count (const struct daemon *d);

#endif
