/** @file
 * A call: one caller's request while the daemon processes it, from the queue
 * through the endpoint to the reply.  core/request decides each action.
 */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "core/request.h"
#include "daemon/group.h"

#include <jansson.h>

/** Maximum number of statements in one request, not counting those that the
 * daemon adds. */
#define CALL_MAX_STATEMENTS 32

struct acquisition;

/** One caller's request.  It is freed when the reply is sent. */
struct call
{
  /** Next call in the group's list unconfirmed_writes or awaiting_lookup. */
  struct call *next;
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  struct request *request;
  struct admission_entry entry; /**< The call's entry in its queue. */
  char *request_id;
  char *key_id; /**< Id of the caller's API key; empty without one. */
  char *key;    /**< Idempotency key; NULL without one. */
  char *digest; /**< Hash of the statements; NULL without a key. */
  bool is_read;
  bool only_lookup; /**< The caller asks for an earlier request's outcome. */
  bool queued;      /**< The call is in its admission queue. */
  /** The call was taken from its queue and admission_done has not been called
   * yet. */
  bool dequeued;
  struct pgsql_statement statements[CALL_MAX_STATEMENTS];
  int statement_count;
  struct token token; /**< Session token of the caller, then of the reply. */
  struct read_request read;
  struct route route;
  /** Endpoint whose concurrency limit counts the call; NULL: none. */
  struct endpoint *endpoint;
  struct pgsql_connection *connection;
  struct acquisition *acquisition; /**< Pending acquisition; NULL: none. */
  struct tevent_timer *deadline_timer;
  /** sent_at is the time at which the statements were sent or, until then,
   * at which the call was assigned its endpoint. */
  int64_t started, sent_at, deadline;
  /** Index of the caller's first statement among those sent. */
  int first_caller_statement;
  uint64_t term; /**< Term of the newest answer of a primary. */
  /** Positions of that primary before and after the commit.  position_before
   * is 0 for a lookup, whose row may have been written at any earlier
   * position. */
  uint64_t position_before, position_after;
  json_t *results;    /**< Array, one result per statement; NULL: none. */
  bool replayed;      /**< The outcome comes from a lookup, without results. */
  bool too_many_rows; /**< The results exceed max_rows and are not sent. */
  bool not_utf8;      /**< The results are not UTF-8 and are not sent. */
  bool served_by_replica;
  const char *code;  /**< Error code of the reply; NULL: none set. */
  char message[200]; /**< Error message of the reply. */
  int64_t retry_us;  /**< Retry hint to the caller; 0: none. */
};

/** Options of a new call.  The call copies the strings, except those of the
 * token and of statements added later: they must live as long as the call. */
struct call_options
{
  struct group *group;
  struct organisation *organisation;
  struct http_request *http;
  const char *request_id;
  const char *key_id; /**< Id of the caller's API key; empty without one. */
  struct bstr key;    /**< Idempotency key; empty without one. */
  bool is_read;
  enum freshness_class freshness;
  int64_t max_staleness_us;
  int64_t deadline_us;       /**< Deadline, relative to now. */
  const struct token *token; /**< The caller's session token, or NULL. */
};

/** Create a call.  call_start, call_lookup or call_commit then starts it. */
struct call *call_create (const struct call_options *options);
/** Add a statement; its strings must live as long as the call.
 * @return false if the call has CALL_MAX_STATEMENTS already. */
bool call_add_statement (struct call *c, const char *sql,
                         const char *const *params, int param_count);
/** Put the call into its queue, or refuse it. */
void call_start (struct call *c);
/** Look up the outcome of the earlier request with the call's idempotency
 * key, instead of running statements. */
void call_lookup (struct call *c);
/** Commit an interactive transaction on its connection; the call takes the
 * connection over. */
void call_commit (struct call *c, struct endpoint *e,
                  struct pgsql_connection *connection);
/** Reply with an error to a call of which nothing was sent to an endpoint. */
void call_refuse (struct call *c, const char *code, const char *message,
                  int64_t retry_us);

/** Start queued calls and pending lookups as far as the endpoints have
 * capacity. */
void call_dispatch (struct group *g);
/** Refuse queued requests whose deadline passed. */
void call_expire_queued (struct group *g);
/** Check again whether writes that wait for confirmation can be answered. */
void call_recheck_unconfirmed (struct group *g);

/** Message of the error "not_utf8". */
#define CALL_NOT_UTF8_TEXT "the answer has text that is not UTF-8"

/** Convert one statement's result to JSON.
 * @return a new reference; NULL if a name or a value is not UTF-8, as JSON
 * cannot hold it. */
json_t *call_result_json (const PGresult *result);

#endif
