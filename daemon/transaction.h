/** @file
 * Interactive transactions.  Each one is bound to the API key and the HTTP
 * connection that opened it, and occupies one connection to the primary
 * until it ends.
 */
#ifndef DAEMON_TRANSACTION_H
#define DAEMON_TRANSACTION_H

#include "daemon/call.h"
#include "daemon/query.h"

struct transaction;

/** Options of a new transaction; strings are copied. */
struct transaction_options
{
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  const char *request_id;
  const char *key_id;
  int64_t deadline; /**< Time until which to wait for a connection. */
};

/** Open a transaction and reply with its id, or with an error. */
void transaction_start (const struct transaction_options *options);
/** @return the transaction with @p id, NULL if there is none. */
struct transaction *transaction_find (struct daemon *d, struct bstr id);
/** @return whether @p t was opened with this API key on this HTTP
 * connection. */
bool transaction_belongs_to (const struct transaction *t, const char *key_id,
                             uint64_t connection);
/** @return whether a request of @p t is not answered yet. */
bool transaction_is_busy (const struct transaction *t);
/** Run the statements of @p q and reply; frees @p q. */
void transaction_query (struct transaction *t, struct http_request *http,
                        const char *request_id, struct query *q);
/** Commit, reply with the outcome and free @p t.
 * @param token the caller's session token, which the reply's token extends.
 * @param owner talloc context of the token's strings; the commit takes it
 * over. */
void transaction_commit (struct transaction *t, struct http_request *http,
                         const char *request_id, const struct token *token,
                         void *token_parent);
/** @return the group in which @p t runs. */
struct group *transaction_group (const struct transaction *t);
/** @return the organisation for which @p t runs. */
struct organisation *transaction_organisation (const struct transaction *t);
/** Reply, roll back and free @p t. */
void transaction_rollback (struct transaction *t, struct http_request *http,
                           const char *request_id);
/** Roll back the transactions of a closed HTTP connection; one that runs a
 * request is rolled back when the request ends. */
void transaction_on_connection_closed (struct daemon *d, uint64_t connection);
/** Roll back the transactions whose API key is no longer valid. */
void transaction_recheck_keys (struct daemon *d);
/** @return the number of open transactions. */
int transaction_count (const struct daemon *d);

#endif
