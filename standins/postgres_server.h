/** @file
 * Internal interfaces of the PostgreSQL stand-in: sessions
 * (postgres_session.c), SQL and control statements (postgres_sql.c) and
 * replication (postgres_replication.c).  The process has one thread and one
 * tevent loop.
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
/** Protocol version 3.0 in the startup message: the major number times
 * 65536. */
#define PROTOCOL_VERSION_3 196608

/** State of the server process. */
struct server
{
  struct tevent_context *ev;
  struct store *store;
  struct session *sessions; /**< All sessions, newest first. */
  /** Session that has sqlite's only write lock, or NULL. */
  struct session *write_lock_owner;
  /** Queue of the sessions that wait for the write lock. */
  struct session *first_write_waiter;
  /** Session that has the advisory lock, or NULL. */
  struct session *advisory_lock_owner;
  /** On a replica: the connection to the primary, or NULL. */
  struct session *upstream;
  char *primary;         /**< HOST:PORT that this replica follows, or NULL. */
  uint64_t fence;        /**< Highest fence marker received. */
  int64_t last_received; /**< Time of the primary's newest message, us. */
  struct tevent_timer *ship_timer;  /**< NULL if no record is to be sent. */
  struct tevent_timer *apply_timer; /**< NULL if nothing is to be applied. */
  int64_t apply_lag_ms;             /**< Delay between receipt and replay. */
  int64_t ship_delay_ms;            /**< Delay between commit and sending. */
  int64_t statement_delay_ms;       /**< Added to each statement. */
  int64_t connect_delay_ms;         /**< Added to each session's start. */
  int64_t round_trip_ms; /**< Added to each Sync and simple query. */
  /** A partition is simulated: only control sessions are served. */
  bool partitioned;
  /** Start over with the new primary's data after divergence. */
  bool auto_rebuild;
  bool drop_commit_answer; /**< Commit, then close without an answer. */
  int listener;            /**< Listening socket. */
};

/** How the stand-in treats a statement. */
enum sql_kind
{
  SQL_STATEMENT,  /**< Reads or changes tables. */
  SQL_STATUS,     /**< Reports the state of recovery and replication. */
  SQL_CHECK,      /**< Takes the advisory lock and checks the fence marker. */
  SQL_NO_EFFECT,  /**< Succeeds without an effect here. */
  SQL_FENCE,      /**< Raises the fence marker and stops following. */
  SQL_PROMOTE,    /**< Makes a replica the primary. */
  SQL_FOLLOW,     /**< Makes this server a replica of another one. */
  SQL_SET_FAULTS, /**< Sets the injected faults. */
  SQL_BEGIN,
  SQL_COMMIT,
  SQL_ROLLBACK,
  SQL_SET_OR_DISCARD /**< SET or DISCARD ALL; releases the advisory lock. */
};

/** Prepared statement that a Parse message named. */
struct named_statement
{
  struct named_statement *next;
  char *name;
  char *text;
};

/** One client connection, or this replica's connection to its primary. */
struct session
{
  struct session *prev, *next;
  struct session *next_write_waiter; /**< In the write lock's queue. */
  struct server *server;
  int fd;
  struct tevent_fd *fde;
  struct wire_buffer in, out; /**< Bytes received and bytes to send. */
  /** Nested calls of session_process; the memory is in use if above 0. */
  int processing_depth;
  bool closed;  /**< Freed once processing_depth is 0. */
  bool started; /**< The startup message was processed. */
  /** Neither partitions nor injected delays apply to it. */
  bool is_control;
  bool is_upstream;   /**< This end receives replication. */
  bool is_follower;   /**< The other end receives replication. */
  size_t next_record; /**< First record not yet sent to a follower. */
  bool skip_to_sync;  /**< After an error: ignore messages until Sync. */
  bool waiting;       /**< For the write lock or for a delay. */
  struct tevent_timer *resume_timer; /**< Set while a delay runs. */
  /** The injected delay of the current statement or start is over. */
  bool delay_served;
  bool round_trip_served; /**< The message's round-trip delay is over. */
  char state;             /**< 'I', 'T' or 'E', as ReadyForQuery reports it. */
  bool read_only;         /**< The open transaction is read-only. */
  struct connection *connection; /**< NULL until the first statement. */
  struct named_statement *named_statements;
  struct bstr sql; /**< Current statement, owned by the session. */
  enum sql_kind kind;
  char *params[MAX_PARAMETERS]; /**< Bound values; NULL: SQL NULL. */
  int param_count;
  sqlite3_stmt *stmt; /**< Current statement once prepared, or NULL. */
  char *pending_sql;  /**< Changes of the open transaction, for the log. */
};

/** Outcome of a message or a statement. */
enum run_result
{
  RUN_DONE,
  RUN_BLOCKED, /**< Retry the same message later, unless the session was
                  closed. */
  RUN_ERROR
};

/* postgres_session.c */

struct session *session_create (struct server *server, int fd);
void session_close (struct session *s);

/** Send buffered output as far as the socket accepts it. */
void session_flush (struct session *s);

/** Process the received messages; called again after a wait. */
void session_process (struct session *s);

/** Let a session wait, and continue it from the event loop after the
 * delay. */
void session_schedule_resume (struct session *s, int64_t delay_ms);

/** Send a message that has a type and no payload. */
void session_send_empty_message (struct session *s, char type);

/** Send ErrorResponse; an open transaction becomes a failed one. */
void session_send_error (struct session *s, const char *sqlstate,
                         const char *text);
void session_send_command_complete (struct session *s, const char *tag);
void session_send_row_description (struct session *s, const char *const *names,
                                   const int *oids, int count);

/** @param values text of each column; NULL is sent as SQL NULL. */
void session_send_data_row (struct session *s, const char *const *values,
                            int count);

/** @return the time @p ms from now, for a timer. */
struct timeval server_time_after_ms (int64_t ms);

/* postgres_sql.c */

/** Set the current statement and find its kind. */
void sql_set_statement (struct session *s, const char *text);

/** Prepare the current statement and bind the parameters. */
enum run_result sql_prepare (struct session *s);

/** Send the columns of the current statement. */
void sql_describe (struct session *s);

/** Run the current statement.
 * @param describe send the columns before the rows, as a simple query
 * does. */
enum run_result sql_run (struct session *s, bool describe);

/** Remove the session from the write lock's queue, and pass the lock on if
 * the session has it. */
void sql_release_write_lock (struct session *s);

/** Release the sqlite statement of the current statement. */
void sql_release_statement (struct session *s);

/* postgres_replication.c */

/** Start the timer that sends keepalives and reconnects to the primary. */
void replication_start_keepalive_timer (struct server *server);

/** Send the records whose shipping delay is over to the followers, and set
 * the timer for the next ones. */
void replication_ship_records (struct server *server);

/** Set the timer that applies received records once the lag is over. */
void replication_schedule_apply (struct server *server);

/** Connect to the primary and ask to follow it, unless already
 * connected. */
void replication_connect (struct server *server);
void replication_stop_following (struct server *server);

/** Apply all received records and become the primary of a new term.
 * @return false if a record cannot be applied. */
bool replication_promote (struct server *server, uint64_t term);

/** Follow another server.
 * @param by the session that asked for it; a primary closes all other
 * client sessions.
 * @param primary HOST:PORT, or empty to follow none. */
void replication_follow (struct session *by, struct bstr primary);

/** Process a message from the primary. */
void replication_on_primary_message (struct session *s, char type,
                                     struct bstr payload);

/** Process a replica's request to follow this server. */
void replication_on_follow_request (struct session *s, struct bstr payload);

#endif
