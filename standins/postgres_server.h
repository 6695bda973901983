/** @file
 * Parts of the PostgreSQL stand-in: sessions (postgres_session.c), SQL and
 * control statements (postgres_sql.c), replication
 * (postgres_replication.c).  One thread, one tevent loop.
 */
#ifndef STANDINS_POSTGRES_SERVER_H
#define STANDINS_POSTGRES_SERVER_H

#include "standins/postgres_store.h"
#include "standins/postgres_wire.h"

#include <netinet/in.h>
#include <tevent.h>

#define MAX_PARAMETERS 64
#define OID_INT8 20
#define OID_TEXT 25
#define PROTOCOL_3 196608

struct server
{
  struct tevent_context *ev;
  struct store *store;
  struct session *sessions;
  struct session *writer;        /**< Holds sqlite's only write lock. */
  struct session *first_waiting; /**< Sessions that wait for it, in order. */
  struct session *lock_owner;    /**< Of the advisory lock. */
  struct session *upstream;      /**< Stream from the primary, on a replica. */
  char *primary;                 /**< HOST:PORT that this replica follows. */
  uint64_t fence;                /**< Highest fence mark received. */
  int64_t last_received;         /**< When the primary was last heard, us. */
  struct tevent_timer *ship_timer;
  struct tevent_timer *apply_timer;
  int64_t apply_lag_ms;
  int64_t ship_delay_ms;
  int64_t statement_delay_ms;
  int64_t connect_delay_ms;
  int64_t round_trip_ms; /**< Added to each Sync and simple query. */
  bool cut;              /**< Partitioned: only control sessions are served. */
  bool auto_rebuild;
  bool drop_commit_answer; /**< Commit, then close without an answer. */
  int listener;
};

enum sql_kind
{
  SQL_STATEMENT, /**< Reads or changes tables. */
  SQL_STATUS,
  SQL_CHECK,   /**< Lock and condition of a control command. */
  SQL_NOTHING, /**< Succeeds without an effect here. */
  SQL_FENCE,
  SQL_PROMOTE,
  SQL_FOLLOW,
  SQL_FAULTS,
  SQL_BEGIN,
  SQL_COMMIT,
  SQL_ROLLBACK,
  SQL_SETTING
};

/** A statement that Parse gave a name. */
struct named_sql
{
  struct named_sql *next;
  char *name;
  char *text;
};

struct session
{
  struct session *prev, *next;
  struct session *next_waiting;
  struct server *server;
  int fd;
  struct tevent_fd *fde;
  struct wire_buffer in, out;
  int busy;    /**< Depth of session_process; the memory is in use. */
  bool closed; /**< Freed when it is no longer busy. */
  bool started;
  bool control;
  bool is_upstream;   /**< This end receives replication. */
  bool is_follower;   /**< The other end receives replication. */
  size_t next_record; /**< First record not yet sent to a follower. */
  bool skip_to_sync;
  bool waiting;                /**< For the writer or for a delay. */
  struct tevent_timer *resume; /**< Set while a delay runs. */
  bool delayed;   /**< The injected delay of this statement was served. */
  bool travelled; /**< The round trip of this message was served. */
  char state;     /**< 'I', 'T' or 'E', as ReadyForQuery reports it. */
  bool read_only;
  struct connection *connection; /**< NULL until the first statement. */
  struct named_sql *named;
  struct bstr sql; /**< Current statement, owned by the session. */
  enum sql_kind kind;
  char *params[MAX_PARAMETERS];
  int param_count;
  sqlite3_stmt *stmt;
  char *pending; /**< SQL of the open transaction, for the log. */
};

enum run_result
{
  RUN_DONE,
  RUN_BLOCKED, /**< Retry the same message later. */
  RUN_ERROR
};

/* postgres_session.c */

struct session *session_create (struct server *server, int fd);
void session_close (struct session *s);
void session_flush (struct session *s);

/** Process what was received; call it again after a wait. */
void session_process (struct session *s);

/** Let a waiting session continue from the loop. */
void session_resume (struct session *s, int64_t delay_ms);

void session_send_empty (struct session *s, char type);
void session_send_error (struct session *s, const char *sqlstate,
                         const char *text);
void session_send_complete (struct session *s, const char *tag);
void session_send_columns (struct session *s, const char *const *names,
                           const int *oids, int count);
void session_send_row (struct session *s, const char *const *values,
                       int count);

/** Timer of a duration from now, in ms. */
struct timeval server_after_ms (int64_t ms);

/* postgres_sql.c */

/** Set the current statement and find its kind. */
void sql_set (struct session *s, const char *text);

/** Prepare the current statement and bind the parameters. */
enum run_result sql_prepare (struct session *s);

/** Send the columns of the current statement. */
void sql_describe (struct session *s);

/** Run the current statement.
 * @param describe send the columns before the rows, as a simple query
 * does. */
enum run_result sql_run (struct session *s, bool describe);

/** Give the write lock back if the session holds it. */
void sql_release_writer (struct session *s);
void sql_finish (struct session *s);

/* postgres_replication.c */

void replication_start (struct server *server);

/** Send new records to the followers once the shipping delay is over. */
void replication_ship (struct server *server);

/** Apply received records once the lag is over. */
void replication_apply (struct server *server);
void replication_connect (struct server *server);
void replication_stop_following (struct server *server);

/** @return false if a record cannot be applied. */
bool replication_promote (struct server *server, uint64_t term);

/** Follow another server.
 * @param by the session that orders it; a primary closes all others. */
void replication_follow (struct session *by, struct bstr primary);

/** Message from the primary. */
void replication_on_data (struct session *s, char type, struct bstr payload);

/** Request of a replica to follow this server. */
void replication_on_follower (struct session *s, struct bstr payload);

#endif
