/** @file
 * Pool of connections to one PostgreSQL endpoint: libpq, asynchronous, in
 * pipeline mode.  A connection has one user at a time.  It is kept for the
 * next user only if the server confirms that its session is reset and no
 * transaction is open.
 */
#ifndef NET_PGSQL_H
#define NET_PGSQL_H

#include "common/bstr.h"
#include "common/error.h"
#include "core/types.h"

#include <libpq-fe.h>
#include <tevent.h>

/** A pool of connections to one endpoint. */
struct pgsql_pool;
/** A connection of a pool. */
struct pgsql_connection;

struct pgsql_pool_options
{
  struct tevent_context *ev;
  const char *host; /**< IP address of the endpoint. */
  int port;
  const char *database;
  const char *user;
  int limit; /**< Most connections open at once. */
  int connect_timeout_ms;
  /** A connection became idle or was closed, so pgsql_acquire may succeed
   * again; may be NULL.  The callback must not call functions of this
   * pool. */
  void (*connection_available) (void *data);
  void *data;
};

/** Most statements in one call. */
#define PGSQL_MAX_STATEMENTS 40

/** A statement and its parameters. */
struct pgsql_statement
{
  const char *sql;
  const char *const *params; /**< NULL entries are SQL NULL. */
  int param_count;
};

/** How a call ended. */
enum pgsql_end
{
  PGSQL_DONE,     /**< Every statement succeeded. */
  PGSQL_FAILED,   /**< A statement failed; later ones did not run. */
  PGSQL_NOT_SENT, /**< No byte reached the server. */
  PGSQL_LOST      /**< The connection broke; statements may have run. */
};

/** Outcome of a call; valid during the callback only. */
struct pgsql_reply
{
  enum pgsql_end end;
  PGresult *results[PGSQL_MAX_STATEMENTS];
  int count;         /**< Number of results received. */
  int failed;        /**< Index of the statement that failed, or -1. */
  char sqlstate[6];  /**< SQLSTATE of the statement that failed. */
  char message[200]; /**< Error text if the call failed or was lost. */
};

/** Result of pgsql_acquire.
 * @param c NULL if there is no connection; @p err then holds the reason. */
typedef void pgsql_acquired_fn (void *data, struct pgsql_connection *c,
                                const struct error *err);
/** The end of a call.  After PGSQL_NOT_SENT and PGSQL_LOST the connection is
 * closed already and must not be released. */
typedef void pgsql_done_fn (void *data, const struct pgsql_reply *reply);

struct pgsql_pool *
pgsql_pool_create (void *parent, const struct pgsql_pool_options *options);
/** Change the limit.  Idle connections above it are closed at once, others
 * when they are released. */
void pgsql_pool_set_limit (struct pgsql_pool *pool, int limit);
/** @return the number of connections that are open or being opened. */
int pgsql_pool_open_count (const struct pgsql_pool *pool);
/** @return whether the pool has an idle connection or may open one. */
bool pgsql_pool_can_acquire (const struct pgsql_pool *pool);

/** Get a connection for exclusive use; opens one if none is idle.  The
 * callback may run before this returns.  ERROR_NOT_FOUND if nothing
 * listens at the address, ERROR_UNAVAILABLE if it cannot be opened for
 * another reason, ERROR_REFUSED if the limit is reached. */
void pgsql_acquire (struct pgsql_pool *pool, pgsql_acquired_fn *done,
                    void *data);

/** Send all statements in one pipeline and collect the results.  After
 * PGSQL_DONE and PGSQL_FAILED the connection may be used for another call. */
void pgsql_run (struct pgsql_connection *c,
                const struct pgsql_statement *statements, int count,
                pgsql_done_fn *done, void *data);

/** Like pgsql_run, for the user's last call on the connection: the reset of
 * the session is sent in the same round trip.  Unless the connection is
 * closed, the callback must call pgsql_release or pgsql_abort. */
void pgsql_run_with_reset (struct pgsql_connection *c,
                           const struct pgsql_statement *statements, int count,
                           pgsql_done_fn *done, void *data);

/** Return the connection to the pool: an open transaction is rolled back and
 * the session is reset; if that fails, the connection is closed. */
void pgsql_release (struct pgsql_connection *c);

/** Close the connection now.  A running call ends without a callback. */
void pgsql_abort (struct pgsql_connection *c);

/** @return the value as NUL-terminated text that lives as long as @p result;
 * NULL for SQL NULL or if the row or column does not exist. */
const char *pgsql_value (const PGresult *result, int row, const char *column);

/** @return the statement that reads an endpoint's status: its role, term,
 * positions and fence.
 * @param tag purpose, written into the statement as a comment: "poll", "guard"
 * or "position". */
const char *pgsql_status_sql (const char *tag);

/** Read the row that a status statement returned.
 * @return false if a column is missing or malformed. */
bool pgsql_parse_status (const PGresult *result,
                         struct endpoint_status *status);

#endif
