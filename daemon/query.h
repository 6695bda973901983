/** @file
 * Parses and validates the JSON body of a caller's request.  See
 * docs/interface.md.
 */
#ifndef DAEMON_QUERY_H
#define DAEMON_QUERY_H

#include "common/error.h"
#include "daemon/call.h"

/** Longest idempotency key, bytes. */
#define QUERY_MAX_KEY_BYTES 128
/** Largest number of parameters of one statement. */
#define QUERY_MAX_PARAMS 64
/** Longest deadline and longest staleness bound of a request, ms. */
#define QUERY_MAX_DEADLINE_MS 600000

/** One SQL statement and its parameters as text. */
struct query_statement
{
  const char *sql;
  const char **params; /**< A NULL entry is the SQL value NULL. */
  int param_count;
};

/** A valid request body. */
struct query
{
  struct bstr service;
  struct bstr key; /**< Idempotency key; empty: none. */
  bool is_read;
  enum freshness_class freshness;
  int64_t max_staleness_us; /**< Staleness bound of FRESHNESS_BOUNDED. */
  int64_t deadline_ms;      /**< 0: the organisation's default. */
  struct query_statement statements[CALL_MAX_STATEMENTS];
  int statement_count;
};

/** @return whether @p text is UTF-8 without NUL, as PostgreSQL's texts are. */
bool query_is_text (struct bstr text);

/** Parse and validate @p body.
 * @return the request, allocated under @p parent together with its strings;
 * NULL with the reason in @p err: ERROR_REFUSED for a statement that callers
 * may not run, ERROR_INVALID for any other fault. */
struct query *query_parse (void *parent, struct bstr body, struct error *err);

#endif
