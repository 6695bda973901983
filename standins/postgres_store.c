#include "standins/postgres_store.h"

#include "common/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Size of an empty record.  It is above 0 so that two commits never have the
   same position. */
#define RECORD_HEADER_BYTES 24

/* Position of a new database, as initdb sets it. */
#define FIRST_LSN UINT64_C (0x1000000)

#define CACHED_STATEMENTS 32
#define MAX_RANDOM_BYTES 64
#define MAX_CACHED_STATEMENT_BYTES 2048

static const char *const store_pragmas
    = "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;"
      "PRAGMA wal_autocheckpoint=4000; PRAGMA case_sensitive_like=ON;";

/* Prepared statement that a connection keeps for its next use.  The entry is
   empty if stmt is NULL. */
struct cached_statement
{
  sqlite3_stmt *stmt;
  char *sql;
  size_t len;
};

struct connection
{
  struct connection *next; /**< Next idle connection of the store. */
  sqlite3 *db;
  struct cached_statement
      cache[CACHED_STATEMENTS]; /**< Most recently used first. */
};

static char *
database_path (const struct store *store, void *parent)
{
  return talloc_asprintf (parent, "%s/data.db", store->path);
}

/* Remove the sqlite file and its log files. */
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

/* The SQL function standin_seed(INTEGER): set the seed of the connection's
   random functions. */
static void
seed_function (sqlite3_context *context, int count, sqlite3_value **values)
{
  (void)count;
  unsigned short *seed = sqlite3_user_data (context);
  sqlite3_int64 value = sqlite3_value_int64 (values[0]);
  for (int i = 0; i < 3; i++)
    seed[i] = (unsigned short)(value >> (16 * i));
}

/* The SQL function random(). */
static void
random_function (sqlite3_context *context, int count, sqlite3_value **values)
{
  (void)count, (void)values;
  unsigned short *seed = sqlite3_user_data (context);
  uint64_t high = (uint32_t)jrand48 (seed);
  sqlite3_result_int64 (
      context, (sqlite3_int64)(high << 32 | (uint32_t)jrand48 (seed)));
}

/* The SQL function randomblob(LENGTH). */
static void
randomblob_function (sqlite3_context *context, int count,
                     sqlite3_value **values)
{
  (void)count;
  unsigned short *seed = sqlite3_user_data (context);
  int len = sqlite3_value_int (values[0]);
  unsigned char bytes[MAX_RANDOM_BYTES];
  if (len < 1 || len > MAX_RANDOM_BYTES)
    len = len < 1 ? 1 : MAX_RANDOM_BYTES;
  for (int i = 0; i < len; i++)
    bytes[i] = (unsigned char)((uint32_t)jrand48 (seed) >> 24);
  sqlite3_result_blob (context, bytes, len, SQLITE_TRANSIENT);
}

/* Replace sqlite's random functions.  Replicas run the primary's statements
   again, so random values must come from a seed that is part of the log. */
static bool
define_seeded_random_functions (sqlite3 *db)
{
  unsigned short *seed = calloc (3, sizeof *seed);
  return sqlite3_create_function_v2 (db, "standin_seed", 1, SQLITE_UTF8, seed,
                                     seed_function, NULL, NULL, free)
             == SQLITE_OK
         && sqlite3_create_function_v2 (db, "random", 0, SQLITE_UTF8, seed,
                                        random_function, NULL, NULL, NULL)
                == SQLITE_OK
         && sqlite3_create_function_v2 (db, "randomblob", 1, SQLITE_UTF8, seed,
                                        randomblob_function, NULL, NULL, NULL)
                == SQLITE_OK;
}

static sqlite3 *
open_database (struct store *store, struct error *err)
{
  sqlite3 *db = NULL;
  char *path = database_path (store, store);
  /* One thread uses all connections, so sqlite needs no mutexes. */
  if (sqlite3_open_v2 (path, &db,
                       SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE
                           | SQLITE_OPEN_NOMUTEX,
                       NULL)
          != SQLITE_OK
      || sqlite3_exec (db, store_pragmas, NULL, NULL, NULL) != SQLITE_OK
      || !define_seeded_random_functions (db))
    {
      error_set (err, ERROR_INTERNAL, "sqlite: %s", sqlite3_errmsg (db));
      sqlite3_close (db);
      db = NULL;
    }
  talloc_free (path);
  return db;
}

static void
connection_free (struct connection *c)
{
  for (int i = 0; i < CACHED_STATEMENTS; i++)
    sqlite3_finalize (c->cache[i].stmt);
  sqlite3_close (c->db);
  talloc_free (c);
}

struct connection *
store_connect (struct store *store, struct error *err)
{
  struct connection *c = store->idle_connections;
  if (c != NULL)
    {
      store->idle_connections = c->next;
      c->next = NULL;
      return c;
    }
  c = talloc_zero (store, struct connection);
  c->db = open_database (store, err);
  if (c->db == NULL)
    TALLOC_FREE (c);
  return c;
}

void
store_disconnect (struct store *store, struct connection *c)
{
  if (c == NULL)
    return;
  if (!sqlite3_get_autocommit (c->db))
    sqlite3_exec (c->db, "ROLLBACK", NULL, NULL, NULL);
  c->next = store->idle_connections;
  store->idle_connections = c;
}

sqlite3 *
connection_db (const struct connection *c)
{
  return c->db;
}

sqlite3_stmt *
connection_prepare (struct connection *c, struct bstr sql, struct bstr *tail)
{
  struct cached_statement found = { NULL, NULL, 0 };
  const char *rest = NULL;
  int at = 0;
  *tail = (struct bstr){ NULL, 0 };
  /* Stops at the entry of this statement, at the first empty entry or at the
     last entry; in the latter two cases a new statement replaces the entry. */
  while (at < CACHED_STATEMENTS - 1 && c->cache[at].stmt != NULL
         && (c->cache[at].len != sql.len
             || memcmp (c->cache[at].sql, sql.start, sql.len) != 0))
    at++;
  found = c->cache[at];
  if (found.stmt == NULL || found.len != sql.len
      || memcmp (found.sql, sql.start, sql.len) != 0)
    {
      sqlite3_stmt *stmt = NULL;
      if (sqlite3_prepare_v3 (c->db, sql.start, (int)sql.len,
                              SQLITE_PREPARE_PERSISTENT, &stmt, &rest)
              != SQLITE_OK
          || stmt == NULL)
        return NULL;
      *tail = (struct bstr){ rest, (size_t)(sql.start + sql.len - rest) };
      if (sql.len > MAX_CACHED_STATEMENT_BYTES || tail->len > 0)
        return stmt;
      sqlite3_finalize (found.stmt);
      talloc_free (found.sql);
      found
          = (struct cached_statement){ stmt, bstr_to_text (c, sql), sql.len };
    }
  memmove (c->cache + 1, c->cache, (size_t)at * sizeof c->cache[0]);
  c->cache[0] = found;
  return found.stmt;
}

void
connection_release (struct connection *c, sqlite3_stmt *stmt)
{
  if (stmt == NULL)
    return;
  for (int i = 0; i < CACHED_STATEMENTS && c->cache[i].stmt != NULL; i++)
    if (c->cache[i].stmt == stmt)
      {
        sqlite3_reset (stmt);
        sqlite3_clear_bindings (stmt);
        return;
      }
  sqlite3_finalize (stmt);
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
  store->apply_db = open_database (store, err);
  if (store->apply_db == NULL)
    goto fail;
  store->term = 1;
  store->base_lsn = FIRST_LSN;
  return store;
fail:
  talloc_free (store);
  return NULL;
}

static void
close_connections (struct store *store)
{
  while (store->idle_connections != NULL)
    {
      struct connection *c = store->idle_connections;
      store->idle_connections = c->next;
      connection_free (c);
    }
  sqlite3_close (store->apply_db);
  store->apply_db = NULL;
}

void
store_close (struct store *store)
{
  close_connections (store);
  remove_files (store);
  rmdir (store->path);
  talloc_free (store);
}

const struct wal_record *
store_get_record (const struct store *store, size_t index)
{
  return &store->records[index - store->dropped_count];
}

/* @return the position just before the record at @p index. */
static uint64_t
lsn_before_record (const struct store *store, size_t index)
{
  return index > store->dropped_count
             ? store_get_record (store, index - 1)->lsn
             : store->base_lsn;
}

uint64_t
store_received_lsn (const struct store *store)
{
  return lsn_before_record (store, store->record_count);
}

uint64_t
store_received_term (const struct store *store)
{
  return store->record_count > store->dropped_count
             ? store_get_record (store, store->record_count - 1)->term
             : store->base_term;
}

uint64_t
store_applied_lsn (const struct store *store)
{
  return lsn_before_record (store, store->applied_count);
}

/* Drop old records once 2 * min_records_kept are kept, so that the average
   cost of an appended record stays constant.  Records that sqlite has not
   applied are kept. */
static void
drop_old_records (struct store *store)
{
  size_t kept = store->record_count - store->dropped_count;
  if (kept < 2 * store->min_records_kept)
    return;
  size_t drop = kept - store->min_records_kept;
  if (store->dropped_count + drop > store->applied_count)
    drop = store->applied_count - store->dropped_count;
  if (drop == 0)
    return;
  store->base_lsn = store->records[drop - 1].lsn;
  store->base_term = store->records[drop - 1].term;
  for (size_t i = 0; i < drop; i++)
    talloc_free ((void *)store->records[i].sql.start);
  memmove (store->records, store->records + drop,
           (kept - drop) * sizeof *store->records);
  store->dropped_count += drop;
}

static void
append_record (struct store *store, uint64_t lsn, uint64_t term,
               struct bstr sql)
{
  size_t kept = store->record_count - store->dropped_count;
  if (kept == store->capacity)
    {
      store->capacity = kept > 0 ? 2 * kept : 64;
      store->records = talloc_realloc (store, store->records,
                                       struct wal_record, store->capacity);
    }
  store->records[kept]
      = (struct wal_record){ lsn, term, clock_now (), bstr_copy (store, sql) };
  store->record_count++;
}

void
store_append_committed (struct store *store, struct bstr sql)
{
  uint64_t lsn = store_received_lsn (store) + RECORD_HEADER_BYTES + sql.len;
  append_record (store, lsn, store->term, sql);
  store->applied_count = store->record_count;
  drop_old_records (store);
}

void
store_append_received (struct store *store, uint64_t lsn, uint64_t term,
                       struct bstr sql)
{
  append_record (store, lsn, term, sql);
  drop_old_records (store);
}

static bool
run_on_apply_db (struct store *store, const char *sql)
{
  if (sqlite3_exec (store->apply_db, sql, NULL, NULL, NULL) == SQLITE_OK)
    return true;
  fprintf (stderr, "standin-postgres: apply failed: %s\n",
           sqlite3_errmsg (store->apply_db));
  return false;
}

int
store_apply (struct store *store, int64_t deadline, int max)
{
  size_t end = store->applied_count;
  while (end < store->record_count && end < store->applied_count + (size_t)max
         && store_get_record (store, end)->received <= deadline)
    end++;
  if (end == store->applied_count)
    return 0;
  bool ok = run_on_apply_db (store, "BEGIN IMMEDIATE");
  for (size_t i = store->applied_count; ok && i < end; i++)
    ok = run_on_apply_db (store, store_get_record (store, i)->sql.start);
  if (!ok || !run_on_apply_db (store, "COMMIT"))
    {
      sqlite3_exec (store->apply_db, "ROLLBACK", NULL, NULL, NULL);
      return -1;
    }
  int count = (int)(end - store->applied_count);
  if (store_get_record (store, end - 1)->term > store->term)
    store->term = store_get_record (store, end - 1)->term;
  store->applied_count = end;
  return count;
}

ssize_t
store_find_follower_start (const struct store *store, uint64_t lsn,
                           uint64_t term)
{
  size_t low = store->dropped_count, high = store->record_count;
  if (lsn == store->base_lsn)
    return term == store->base_term ? (ssize_t)store->dropped_count : -1;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (store_get_record (store, middle)->lsn < lsn)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == store->record_count || store_get_record (store, low)->lsn != lsn
      || store_get_record (store, low)->term != term)
    return -1;
  return (ssize_t)low + 1;
}

bool
store_is_first_lsn (uint64_t lsn)
{
  return lsn == FIRST_LSN;
}

struct bstr
store_copy_image (struct store *store, void *parent)
{
  sqlite3_int64 size = 0;
  unsigned char *bytes = sqlite3_serialize (store->apply_db, "main", &size, 0);
  struct bstr image = { NULL, 0 };
  if (bytes != NULL)
    image = (struct bstr){ talloc_memdup (parent, bytes, (size_t)size),
                           (size_t)size };
  sqlite3_free (bytes);
  return image;
}

static bool
write_image (struct store *store, struct bstr image)
{
  char *path = database_path (store, store);
  FILE *file = fopen (path, "wb");
  bool ok
      = file != NULL && fwrite (image.start, 1, image.len, file) == image.len;
  if (file != NULL && fclose (file) != 0)
    ok = false;
  talloc_free (path);
  return ok;
}

bool
store_reset (struct store *store, struct bstr image, uint64_t lsn,
             uint64_t term, struct error *err)
{
  close_connections (store);
  remove_files (store);
  for (size_t i = store->dropped_count; i < store->record_count; i++)
    talloc_free ((void *)store_get_record (store, i)->sql.start);
  TALLOC_FREE (store->records);
  store->capacity = 0;
  store->dropped_count = 0;
  store->record_count = 0;
  store->applied_count = 0;
  store->base_lsn = image.len > 0 ? lsn : FIRST_LSN;
  store->base_term = image.len > 0 ? term : 0;
  store->term = image.len > 0 ? term : 1;
  if (image.len > 0 && !write_image (store, image))
    return error_set (err, ERROR_INTERNAL, "cannot write the copy to %s",
                      store->path);
  store->apply_db = open_database (store, err);
  return store->apply_db != NULL;
}
