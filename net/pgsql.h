/** @file
 * Connections to one PostgreSQL endpoint: libpq, asynchronous, in pipeline
 * mode.  A connection is used by one owner at a time and is kept for the
 * next one only when the server reports it idle and reset.
 */
#ifndef NET_PGSQL_H
#define NET_PGSQL_H

#include "common/bstr.h"
#include "common/error.h"
#include "core/types.h"

#include <libpq-fe.h>
#include <tevent.h>

struct pgsql_pool;
struct pgsql_connection;

struct pgsql_pool_options
{
  struct tevent_context *ev;
  const char *host; /**< IP address. */
  int port;
  const char *database;
  const char *user;
  int limit; /**< Connections open at most. */
  int connect_timeout_ms;
  /** A connection became idle or was closed, so that pgsql_acquire may
   * succeed again; NULL if nobody waits for it.  Must not call this pool. */
  void (*room) (void *data);
  void *data;
};

#define PGSQL_MAX_STATEMENTS 40

struct pgsql_statement
{
  const char *sql;
  const char *const *params; /**< NULL entries are SQL NULL. */
  int param_count;
};

enum pgsql_end
{
  PGSQL_DONE,     /**< Every statement succeeded. */
  PGSQL_FAILED,   /**< A statement failed; later ones were not run. */
  PGSQL_NOT_SENT, /**< No byte reached the server. */
  PGSQL_LOST      /**< The connection broke; statements may have run. */
};

/** What came back; valid during the callback only. */
struct pgsql_reply
{
  enum pgsql_end end;
  PGresult *results[PGSQL_MAX_STATEMENTS];
  int count;  /**< Results received. */
  int failed; /**< Index of the statement that failed, or -1. */
  char sqlstate[6];
  char message[200];
};

typedef void pgsql_acquired_fn (void *data, struct pgsql_connection *c,
                                const struct error *err);
typedef void pgsql_done_fn (void *data, const struct pgsql_reply *reply);

struct pgsql_pool *
pgsql_pool_create (void *parent, const struct pgsql_pool_options *options);
void pgsql_pool_set_limit (struct pgsql_pool *pool, int limit);
/** @return connections that are open or being opened. */
int pgsql_pool_open (const struct pgsql_pool *pool);
/** @return whether pgsql_acquire would get a connection at once, or by
 * opening one. */
bool pgsql_pool_has_room (const struct pgsql_pool *pool);

/** Get a connection for exclusive use; opens one if none is idle.  The
 * callback may run before this returns.  ERROR_NOT_FOUND if nothing
 * listens at the address, ERROR_UNAVAILABLE if it cannot be opened for
 * another reason, ERROR_REFUSED if the limit is reached. */
void pgsql_acquire (struct pgsql_pool *pool, pgsql_acquired_fn *done,
                    void *data);

/** Send all statements in one pipeline and collect the results. */
void pgsql_run (struct pgsql_connection *c,
                const struct pgsql_statement *statements, int count,
                pgsql_done_fn *done, void *data);

/** As pgsql_run, for the owner's last call: the reset of the session is
 * sent in the same round trip.  Call pgsql_release or pgsql_abort in the
 * callback. */
void pgsql_run_last (struct pgsql_connection *c,
                     const struct pgsql_statement *statements, int count,
                     pgsql_done_fn *done, void *data);

/** Give the connection back: open transactions are rolled back and the
 * session is reset; if that fails it is closed. */
void pgsql_release (struct pgsql_connection *c);

/** Close the connection now.  A running call ends without a callback. */
void pgsql_abort (struct pgsql_connection *c);

/** @return a NUL-terminated copy of the value, NULL for SQL NULL. */
const char *pgsql_value (const PGresult *result, int row, const char *column);

/** The statement that polls, guards or reads a position.
 * @param tag "poll", "guard" or "position". */
const char *pgsql_status_sql (const char *tag);

/** Read the row that a status statement returned. */
bool pgsql_parse_status (const PGresult *result,
                         struct endpoint_status *status);

#endif
