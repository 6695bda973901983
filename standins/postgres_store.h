/** @file
 * Storage of the PostgreSQL stand-in: an sqlite file and, beside it in
 * memory, the log of committed transactions that is sent to replicas.
 */
#ifndef STANDINS_POSTGRES_STORE_H
#define STANDINS_POSTGRES_STORE_H

#include "common/bstr.h"
#include "common/error.h"

#include <sqlite3.h>
#include <stdint.h>

/** Log record of one committed transaction. */
struct wal_record
{
  uint64_t lsn;     /**< Position just after this record. */
  uint64_t term;    /**< Term of the primary that wrote it. */
  int64_t received; /**< Time of its commit or receipt here, us. */
  struct bstr sql;  /**< Its statements, with their parameters. */
};

/** Database and log.  The log keeps the newest records.  Indices count from
 * the first record that was ever appended, so they stay valid when old records
 * are dropped. */
struct store
{
  char *path;       /**< Folder of the sqlite file; removed by store_close. */
  uint64_t term;    /**< Newest term known to this server. */
  bool in_recovery; /**< This server is a replica. */
  struct wal_record *records; /**< Kept records, from dropped_count on. */
  size_t capacity;            /**< Allocated size of records. */
  size_t dropped_count;       /**< Records that are no longer kept. */
  size_t record_count;        /**< Records ever appended. */
  size_t applied_count;       /**< Records applied to sqlite. */
  size_t min_records_kept;    /**< Least number of records to keep. */
  uint64_t base_lsn;          /**< Position before the first kept record. */
  uint64_t base_term; /**< Term of the record that ends at base_lsn; 0: no
                         record does, as the database is new. */
  sqlite3 *apply_db;  /**< Connection that applies received records. */
  struct connection *idle_connections; /**< Open, used by no session. */
};

/** One session's sqlite connection and its prepared statements. */
struct connection;

/** Create an empty database in a new folder under TMPDIR. */
struct store *store_open (void *parent, struct error *err);
void store_close (struct store *store);

/** Get a connection for a session: an idle one, or else a new one. */
struct connection *store_connect (struct store *store, struct error *err);

/** Roll back an open transaction and keep the connection for another
 * session. */
void store_disconnect (struct store *store, struct connection *c);

sqlite3 *connection_db (const struct connection *c);

/** Get a prepared statement, from the connection's cache if possible.  The
 * caller returns it with connection_release.
 * @param tail set to what follows the first statement.
 * @return NULL on an error, or if @p sql is empty. */
sqlite3_stmt *connection_prepare (struct connection *c, struct bstr sql,
                                  struct bstr *tail);

/** Reset a cached statement, finalize any other. */
void connection_release (struct connection *c, sqlite3_stmt *stmt);

/** @param index at least store->dropped_count, below store->record_count. */
const struct wal_record *store_get_record (const struct store *store,
                                           size_t index);

/** Position just after the newest record. */
uint64_t store_received_lsn (const struct store *store);

/** Term of the newest record. */
uint64_t store_received_term (const struct store *store);

/** Position just after the newest record that sqlite has applied. */
uint64_t store_applied_lsn (const struct store *store);

/** Append a transaction that this primary has committed to sqlite. */
void store_append_committed (struct store *store, struct bstr sql);

/** Append a record that was received from the primary. */
void store_append_received (struct store *store, uint64_t lsn, uint64_t term,
                            struct bstr sql);

/** Apply at most @p max records that were received by @p deadline, us, in
 * one sqlite transaction.
 * @return the number of applied records, or -1 if sqlite failed. */
int store_apply (struct store *store, int64_t deadline, int max);

/** Find the first record to send to a follower whose last record ends at
 * @p lsn and is of @p term.
 * @return the index of the first record to send, or -1 if the follower's
 * last record is not part of this log. */
ssize_t store_find_follower_start (const struct store *store, uint64_t lsn,
                                   uint64_t term);

/** @return whether @p lsn is the position of a new, empty database. */
bool store_is_first_lsn (uint64_t lsn);

/** Copy the database as sqlite serializes it, to rebuild a replica from. */
struct bstr store_copy_image (struct store *store, void *parent);

/** Replace all data, as a rebuild from a new primary does.  No session may
 * have a connection.
 * @param image from store_copy_image, or empty for a new database.
 * @param lsn position of the image
 * @param term of the record that ends at @p lsn */
bool store_reset (struct store *store, struct bstr image, uint64_t lsn,
                  uint64_t term, struct error *err);

#endif
