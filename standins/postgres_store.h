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
  int64_t received; /**< When it arrived here, us. */
  struct bstr sql;
};

struct store
{
  char *path; /**< Folder of the sqlite file; removed by store_close. */
  uint64_t term;
  bool in_recovery;
  struct wal_record *records;
  size_t record_count;  /**< Received. */
  size_t applied_count; /**< Applied to sqlite. */
  sqlite3 *applier;
};

struct store *store_open (void *parent, struct error *err);
void store_close (struct store *store);

/** Open one session's own sqlite connection. */
sqlite3 *store_connect (struct store *store, struct error *err);

uint64_t store_received_lsn (const struct store *store);
uint64_t store_applied_lsn (const struct store *store);

/** Append what a primary committed; it is already in sqlite. */
const struct wal_record *store_append_committed (struct store *store,
                                                 struct bstr sql);

/** Append a record that came from a primary. */
void store_append_received (struct store *store, uint64_t lsn, uint64_t term,
                            struct bstr sql);

/** Apply the next received record.
 * @return false if there is none or a reader holds the file. */
bool store_apply_next (struct store *store);

/** Find where a follower continues.
 * @return the index of the first record to send, or -1 if the follower's
 * last record is not part of this log. */
ssize_t store_match (const struct store *store, uint64_t lsn, uint64_t term);

/** Drop all data, as a rebuild from a new primary does. */
bool store_reset (struct store *store, struct error *err);

#endif
