#include "standins/postgres_store.h"

#include "common/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Size of an empty record, so that two commits never share a position. */
#define RECORD_HEADER_BYTES 24

/* First position of a new database, as initdb leaves it. */
#define FIRST_LSN UINT64_C (0x1000000)

static const char *const store_pragmas
    = "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;"
      "PRAGMA wal_autocheckpoint=4000; PRAGMA case_sensitive_like=ON;";

static char *
database_path (const struct store *store, void *parent)
{
  return talloc_asprintf (parent, "%s/data.db", store->path);
}

static void
remove_files (struct store *store)
{
  static const char *const suffixes[] = { "", "-wal", "-shm" };
  for (size_t i = 0; i < sizeof suffixes / sizeof suffixes[0]; i++)
    {
      char *path
          = talloc_asprintf (store, "%s/data.db%s", store->path, suffixes[i]);
      unlink (path);
      talloc_free (path);
    }
}

sqlite3 *
store_connect (struct store *store, struct error *err)
{
  sqlite3 *db = NULL;
  char *path = database_path (store, store);
  if (sqlite3_open (path, &db) != SQLITE_OK
      || sqlite3_exec (db, store_pragmas, NULL, NULL, NULL) != SQLITE_OK)
    {
      error_set (err, ERROR_INTERNAL, "sqlite: %s", sqlite3_errmsg (db));
      sqlite3_close (db);
      db = NULL;
    }
  talloc_free (path);
  return db;
}

struct store *
store_open (void *parent, struct error *err)
{
  struct store *store = talloc_zero (parent, struct store);
  const char *base = getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp";
  store->path = talloc_asprintf (store, "%s/standin-postgres-XXXXXX", base);
  if (mkdtemp (store->path) == NULL)
    {
      error_set (err, ERROR_INTERNAL, "cannot create %s", store->path);
      goto fail;
    }
  store->applier = store_connect (store, err);
  if (store->applier == NULL)
    goto fail;
  store->term = 1;
  return store;
fail:
  talloc_free (store);
  return NULL;
}

void
store_close (struct store *store)
{
  sqlite3_close (store->applier);
  remove_files (store);
  rmdir (store->path);
  talloc_free (store);
}

uint64_t
store_received_lsn (const struct store *store)
{
  size_t n = store->record_count;
  return n > 0 ? store->records[n - 1].lsn : FIRST_LSN;
}

uint64_t
store_applied_lsn (const struct store *store)
{
  size_t n = store->applied_count;
  return n > 0 ? store->records[n - 1].lsn : FIRST_LSN;
}

static struct wal_record *
append (struct store *store, uint64_t lsn, uint64_t term, struct bstr sql)
{
  size_t n = store->record_count;
  if ((n & (n - 1)) == 0)
    store->records = talloc_realloc (store, store->records, struct wal_record,
                                     n > 0 ? 2 * n : 16);
  struct wal_record *record = &store->records[store->record_count++];
  record->lsn = lsn;
  record->term = term;
  record->received = clock_now ();
  record->sql = bstr_copy (store, sql);
  return record;
}

const struct wal_record *
store_append_committed (struct store *store, struct bstr sql)
{
  uint64_t lsn = store_received_lsn (store) + RECORD_HEADER_BYTES + sql.len;
  struct wal_record *record = append (store, lsn, store->term, sql);
  store->applied_count = store->record_count;
  return record;
}

void
store_append_received (struct store *store, uint64_t lsn, uint64_t term,
                       struct bstr sql)
{
  append (store, lsn, term, sql);
}

bool
store_apply_next (struct store *store)
{
  if (store->applied_count >= store->record_count)
    return false;
  const struct wal_record *record = &store->records[store->applied_count];
  char *text = talloc_asprintf (store, "BEGIN IMMEDIATE;%.*s;COMMIT;",
                                BSTR_ARG (record->sql));
  int rc = sqlite3_exec (store->applier, text, NULL, NULL, NULL);
  talloc_free (text);
  if (rc != SQLITE_OK)
    {
      fprintf (stderr, "standin-postgres: apply failed: %s\n",
               sqlite3_errmsg (store->applier));
      sqlite3_exec (store->applier, "ROLLBACK", NULL, NULL, NULL);
      return false;
    }
  if (record->term > store->term)
    store->term = record->term;
  store->applied_count++;
  return true;
}

ssize_t
store_match (const struct store *store, uint64_t lsn, uint64_t term)
{
  if (lsn == FIRST_LSN)
    return 0;
  for (size_t i = store->record_count; i > 0; i--)
    if (store->records[i - 1].lsn == lsn)
      return store->records[i - 1].term == term ? (ssize_t)i : -1;
  return -1;
}

bool
store_reset (struct store *store, struct error *err)
{
  sqlite3_close (store->applier);
  store->applier = NULL;
  remove_files (store);
  talloc_free (store->records);
  store->records = NULL;
  store->record_count = 0;
  store->applied_count = 0;
  store->term = 1;
  store->applier = store_connect (store, err);
  return store->applier != NULL;
}
