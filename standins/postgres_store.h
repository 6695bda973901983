/** @file
 * Storage of the PostgreSQL stand-in: an sqlite file and, beside it in
 * memory, the log of committed transactions that replicas receive.
 */
#ifndef STANDINS_POSTGRES_STORE_H
#define STANDINS_POSTGRES_STORE_H

#include "common/bstr.h"
#include "common/error.h"

#include <sqlite3.h>
#include <stdint.h>

/** One committed transaction. */
struct wal_record
{
  uint64_t lsn;     /**< Position just after this record. */
  uint64_t term;    /**< Timeline under which it was written. */
  int64_t received; /**< When it was committed or arrived here, us. */
  struct bstr sql;
};

/** The log keeps the newest records; indices count from the first record
 * ever, so they stay valid when old records are dropped. */
struct store
{
  char *path; /**< Folder of the sqlite file; removed by store_close. */
  uint64_t term;
  bool in_recovery;
  struct wal_record *records; /**< From index @c dropped on. */
  size_t capacity;
  size_t dropped;       /**< Records that are no longer kept. */
  size_t record_count;  /**< Received. */
  size_t applied_count; /**< Applied to sqlite. */
  size_t keep;          /**< Least number of records to keep. */
  uint64_t base_lsn;    /**< Position before the first kept record. */
  uint64_t base_term;
  sqlite3 *applier;
  struct connection *idle; /**< Open connections without a session. */
};

/** One session's sqlite connection and its prepared statements. */
struct connection;

struct store *store_open (void *parent, struct error *err);
void store_close (struct store *store);

/** Get a connection for a session; one that is idle is used again. */
struct connection *store_connect (struct store *store, struct error *err);

/** Roll back and keep the connection for another session. */
void store_disconnect (struct store *store, struct connection *c);

sqlite3 *connection_db (const struct connection *c);

/** Get a prepared statement from the connection's cache.  The caller resets
 * it with connection_release.
 * @param tail set to what follows the first statement.
 * @return NULL on an error, or if @p sql is empty. */
sqlite3_stmt *connection_prepare (struct connection *c, struct bstr sql,
                                  struct bstr *tail);
void connection_release (struct connection *c, sqlite3_stmt *stmt);

/** @param index at least store->dropped, below store->record_count. */
const struct wal_record *store_record (const struct store *store,
                                       size_t index);

uint64_t store_received_lsn (const struct store *store);
uint64_t store_received_term (const struct store *store);
uint64_t store_applied_lsn (const struct store *store);

/** Append what a primary committed; it is already in sqlite. */
void store_append_committed (struct store *store, struct bstr sql);

/** Append a record that came from a primary. */
void store_append_received (struct store *store, uint64_t lsn, uint64_t term,
                            struct bstr sql);

/** Apply received records that are older than @p deadline, us, at most
 * @p max of them, in one sqlite transaction.
 * @return how many, or -1 if sqlite refused. */
int store_apply (struct store *store, int64_t deadline, int max);

/** Find where a follower continues.
 * @return the index of the first record to send, or -1 if the follower's
 * last record is not part of this log. */
ssize_t store_match (const struct store *store, uint64_t lsn, uint64_t term);

/** @return whether @p lsn is the position of a new, empty database. */
bool store_is_first_lsn (uint64_t lsn);

/** Copy of the database as it is on disk, for a replica that is rebuilt. */
struct bstr store_copy_image (struct store *store, void *parent);

/** Replace all data, as a rebuild from a new primary does.  No session may
 * hold a connection.
 * @param image from store_copy_image, or empty for a new database. */
bool store_reset (struct store *store, struct bstr image, uint64_t lsn,
                  uint64_t term, struct error *err);

#endif
