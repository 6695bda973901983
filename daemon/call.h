/** @file
 * One caller's request while the daemon works on it: from the queue over
 * the endpoint to the reply.  core/request decides each step.
 */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "core/request.h"
#include "daemon/group.h"

#include <jansson.h>

/** Statements in one request, without those that the daemon adds. */
#define CALL_MAX_STATEMENTS 32

struct acquisition;

struct call
{
  struct call *next; /**< In the held or the resolving list. */
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  struct request *request;
  struct admission_entry entry;
  char *request_id;
  char *key_id; /**< Of the caller's key, empty without one. */
  char *key;    /**< Idempotency key, NULL if none. */
  char *digest; /**< Of the statements, with a key. */
  bool is_read;
  bool only_lookup; /**< Asks for the outcome of an earlier request. */
  bool queued;
  bool popped; /**< From its queue, and admission_done is owed. */
  struct pgsql_statement statements[CALL_MAX_STATEMENTS];
  int statement_count;
  struct token token;
  struct read_request read;
  struct route route;
  struct endpoint *endpoint; /**< Whose limit it counts in. */
  struct pgsql_connection *connection;
  struct acquisition *acquisition;
  struct tevent_timer *deadline_timer;
  int64_t started, sent_at, deadline;
  int first_user_statement;
  uint64_t term, lower, upper; /**< Of the newest answer of a primary. */
  json_t *results;
  bool replayed;
  bool too_many_rows; /**< Over the organisation's max_rows; not sent. */
  bool served_by_replica;
  const char *code;
  char message[200];
  int64_t retry_us;
};

/** Options of a new call; strings are copied, statements are not. */
struct call_options
{
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  const char *request_id;
  const char *key_id; /**< Of the caller's key, empty without one. */
  struct bstr key;
  bool is_read;
  enum freshness_class freshness;
  int64_t max_staleness_us;
  int64_t deadline_us; /**< From now. */
  const struct token *token;
};

struct call *call_create (const struct call_options *options);
/** Add a statement; its strings must live as long as the call. */
bool call_add_statement (struct call *c, const char *sql,
                         const char *const *params, int param_count);
/** Put it into its queue, or refuse it. */
void call_start (struct call *c);
/** Ask for the outcome of the request with its key instead of running. */
void call_lookup (struct call *c);
/** Commit an interactive transaction on its connection; the call takes the
 * connection over. */
void call_commit (struct call *c, struct endpoint *e,
                  struct pgsql_connection *connection);
/** Reply with an error before anything was sent. */
void call_refuse (struct call *c, const char *code, const char *message,
                  int64_t retry_us);

/** Run what the queues and the endpoints allow. */
void call_dispatch (struct group *g);
/** Refuse queued requests whose deadline passed. */
void call_expire (struct group *g);
/** Decide again about writes that wait for confirmation. */
void call_recheck_held (struct group *g);

/** Convert one statement's result. @return a new reference. */
json_t *call_result_json (const PGresult *result);

#endif
