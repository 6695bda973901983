/** @file
 * The JSON body of a caller's request, checked.  docs/interface.md.
 */
#ifndef DAEMON_QUERY_H
#define DAEMON_QUERY_H

#include "common/error.h"
#include "daemon/call.h"

/** Longest idempotency key, bytes. */
#define QUERY_MAX_KEY 128
#define QUERY_MAX_PARAMS 64
/** Longest time that a caller may allow a request, ms. */
#define QUERY_MAX_DEADLINE_MS 600000

struct query_statement
{
  const char *sql;
  const char **params;
  int param_count;
};

struct query
{
  struct bstr service;
  struct bstr key; /**< Idempotency key. */
  bool is_read;
  enum freshness_class freshness;
  int64_t max_staleness_us;
  int64_t deadline_ms; /**< 0: the organisation's default. */
  struct query_statement statements[CALL_MAX_STATEMENTS];
  int statement_count;
};

/** Parse and check @p body; everything is owned by @p parent. */
struct query *query_parse (void *parent, struct bstr body, struct error *err);

#endif
