/** @file
 * One service as its owner runs it: endpoints, statements, transactions and
 * the replacement of its primary.  Shared by the files of the owner; not for
 * other folders.
 */
#ifndef SESSION_SERVICE_H
#define SESSION_SERVICE_H

#include "core/concurrency.h"
#include "core/hedging.h"
#include "core/latency.h"
#include "core/rate_schedule.h"
#include "core/replicas.h"
#include "session/link.h"
#include "session/sessiond.h"

/** Name of this part in the log. */
#define PART "owner"

/** Usual time from the decision to replace a primary until the new one leads;
 * the platform takes one second of it. */
#define EXPECTED_PROMOTION_US (1300 * USEC_PER_MSEC)

/** Usable endpoints of one service that are considered for a statement. */
#define SERVICE_MAX_ENDPOINTS 16

/** What this daemon does for a service.  From SERVICE_SERVING on it sends
 * statements to the endpoints. */
enum service_phase
{
  SERVICE_NOT_OWNED, /**< Another daemon owns it, or none. */
  SERVICE_TAKEOVER,  /**< Owned; the primary is not known yet. */
  SERVICE_SERVING,   /**< Owned; statements go to the endpoints. */
  SERVICE_HANDOFF,   /**< Planned change: the primary finishes its statements
                        before a replica is promoted. */
  SERVICE_REPLACING  /**< The primary failed; a replica is being promoted. */
};

/** Steps of the replacement of a primary. */
enum promotion_step
{
  PROMOTION_SURVEY, /**< Ask the endpoints for their positions. */
  PROMOTION_RECORD, /**< Write the promotion record; its revision is the
                       fencing token. */
  PROMOTION_ORDER,  /**< Ask the platform to promote the target. */
  PROMOTION_AWAIT   /**< Wait until the target reports that it leads. */
};

/** An endpoint of an owned service.  Times are those of clock_now () except
 * born_ms. */
struct endpoint
{
  struct endpoint *next;
  struct service *service;
  char *id;
  char *address;
  char *failure_domain;
  int64_t born_ms;        /**< Start time in its entry, in ms; a new one means
                             that the endpoint was restarted. */
  int64_t missing_since;  /**< When its entry went missing; 0: it is listed. */
  int64_t draining_since; /**< When its entry was first seen to drain; 0: it
 does not drain. */
  struct replica_view replica;     /**< Position, load and latency. */
  struct latency *latency;         /**< Latency by kind of work. */
  struct concurrency *concurrency; /**< NULL: the limit is not learned. */
  uint64_t *limit_gauge;           /**< Metrics of the learned limit. */
  uint64_t *expected_gauge;
  struct pooled_link *links;
  int64_t answered_at;      /**< Time of its newest answer. */
  int64_t answered_sent_at; /**< When the statement that was sent last among
                               those that it answered was sent. */
  int64_t suspect_since; /**< Since when an answer is overdue; 0: none is. */
  int64_t failed_since;  /**< Since when it gets no statements; 0: it gets
                            them. */
  int64_t
      next_probe_at; /**< Earliest time of the next probe after it failed. */
  int64_t next_status_at; /**< Earliest time of the next status request. */
  int64_t no_connection_until; /**< No connection is opened before, unless it
                                  takes the place of another one. */
  /** Until refused_until, most connections that the pool has: as many as the
   * endpoint accepted when it refused one. */
  int refused_limit;
  int64_t refused_until;
  int64_t status_at;    /**< Time of its newest answer to STATUS; 0: none. */
  uint64_t status_term; /**< Term in its newest answer to STATUS. */
  uint64_t reached_by;  /**< Member that reaches it while this daemon does not;
                           0: none is known. */
  int link_count;       /**< Number of its pooled connections. */
  int64_t repeated_at;  /**< When it last sent an answer twice; 0: never. */
  int refusals;         /**< Connections refused in a row. */
  bool is_listed;       /**< It is in the newest list of entries. */
  bool draining;
  bool claims_primary;    /**< Its own entry says that it is the primary. */
  bool status_is_primary; /**< Its newest answer to STATUS says so. */
  bool is_wrong_endpoint; /**< Another database answers at its address. */
  bool is_probing;        /**< A probe of it is in progress. */
  bool has_asked_peers;   /**< Peers were asked to probe it since it became
                             suspect. */
};

/** A connection to an endpoint, and the statement or transaction that uses
 * it (NULL: none). */
struct pooled_link
{
  struct pooled_link *next;
  struct endpoint *endpoint;
  struct link *link;
  struct pending_statement *pending;
  struct transaction *transaction;
  bool is_probe;        /**< Opened to check whether the endpoint answers. */
  bool is_counted;      /**< Its statement is counted in
                           endpoint->replica.running. */
  bool is_counted_read; /**< The same for running_reads. */
  bool is_new;          /**< It has not run a statement. */
  /* Of the statement that it runs or ran last. */
  int level;       /**< Statements at the endpoint when it was sent, itself
                      included. */
  bool shows_load; /**< Its time shows how much the endpoint has to do. */
  int64_t sent_at;
  uint64_t kind;    /**< See latency_kind. */
  bool is_second;   /**< It was the second send of a hedged read. */
  bool is_unwanted; /**< The answer, which has not come, is to be dropped: that
                       of the other send of a hedged read counted. */
  int64_t opened_at;
  int64_t last_used;
};

/** A statement of a caller, from its arrival at the owner to its result. */
struct pending_statement
{
  struct pending_statement *next;
  struct service *service;
  struct packet *message;
  struct packet_statement *statement; /**< Part of the message. */
  uint64_t kind; /**< Its kind of work; see latency_kind. */
  int64_t arrived_at;
  int64_t sent_at; /**< When it was sent to an endpoint; 0: not sent. */
  int attempts;    /**< How often it was sent to an endpoint. */
  struct pooled_link *pooled_link; /**< Connection that runs it; NULL: none. */
  /** Connection that runs it too, as a hedged read; NULL: none.  Both
   * connections have it as @c pending. */
  struct pooled_link *second_link;
  bool was_hedged;                 /**< It was sent a second time. */
  struct transaction *transaction; /**< NULL: it is outside of any. */
  struct rate_request rate; /**< While it waits for its token; see rate.h. */
};

/** An open transaction of a caller's session. */
struct transaction
{
  struct transaction *next;
  struct service *service;
  uint64_t member;      /**< Entry daemon: the one that the caller is connected
                           to. */
  uint64_t incarnation; /**< Incarnation of the entry daemon. */
  uint64_t session;     /**< Number of the session at the entry daemon. */
  uint64_t number;      /**< Number of the transaction in the session. */
  struct pooled_link *pooled_link; /**< NULL until BEGIN is answered. */
  struct pending_statement *begin; /**< BEGIN; NULL once it is answered. */
  struct pending_statement
      *waiting; /**< Statement that arrived before BEGIN was answered. */
  struct session_value *values; /**< Session values of the caller. */
  int value_count;
  bool reads_only;
  bool has_written;
  int64_t last_used;
  int idle_ms; /**< It is ended after this time without a statement. */
};

/** A service of the configuration, owned by this daemon or not. */
struct service
{
  struct service *next;
  struct owner *owner;
  struct sessiond *sessiond;
  char *name;
  uint64_t id;
  enum service_phase phase;
  /** Another daemon owns it; this one only runs bounded reads at the replicas
   * of its own failure domain.  The phase is always SERVICE_SERVING, there is
   * no primary and no queue, and the commit history is what the owner
   * reports. */
  bool reads_only;
  int64_t phase_since;
  struct endpoint *endpoints;
  int listed_count; /**< Entries of endpoints of the service, those included
                       that this daemon sends nothing to. */
  struct endpoint *primary; /**< NULL: not known. */
  uint64_t term;            /**< Term of the primary. */
  /** Lowest term of a primary that may be accepted after a takeover. */
  uint64_t least_term;
  /** Newest promotion that is known to be done.  Its start may be older than
   * the newest term that the voters or the endpoints know. */
  struct replica_lineage lineage;
  struct position branch_point; /**< Where the current term began, as far as
                                   this daemon knows. */
  struct commit_history commit_history; /**< Positions of commits, by time. */
  struct hedging *hedging; /**< Lost answers and second sends of reads. */
  bool hedge_is_due;       /**< A second send waits for room at an endpoint. */
  struct pending_statement *queue; /**< Statements that wait for an endpoint,
                                      by priority, then by arrival. */
  struct transaction *transactions;
  bool dispatching; /**< The queue is being dispatched, or must not be. */
  bool releasing;   /**< It is being released; open transactions continue. */
  int64_t releasing_since;

  /* State of a promotion. */
  enum promotion_step step;
  bool call_in_progress;   /**< A call to the platform is not answered. */
  bool planned;            /**< Planned change: the primary still answers. */
  bool is_order_given;     /**< An order of this promotion may take effect. */
  struct endpoint *target; /**< Endpoint to promote; NULL: none, or gone. */
  char *target_id; /**< Id of the target, kept when the endpoint is gone. */
  uint64_t token;  /**< Fencing token of the promotion. */
  int64_t step_since;
  int64_t next_attempt_at; /**< Earliest time of the step's next call to the
                              platform or status request. */
  int64_t promotion_decided_at;
  /** Since when the logs that are known may lack acknowledged commits; 0: one
   * of them has all. */
  int64_t commits_awaited_since;
  int64_t forked_since; /**< Since when only endpoints with forked logs answer;
                           0: others do. */
  int64_t change_announced_at; /**< When heartbeats began to announce that the
                                  primary changes. */
  int64_t ordered_at; /**< When the platform first accepted the order to
                         promote the target; 0: not yet. */
  /** The term that the order begins, and its target's position before. */
  struct replica_lineage ordered_lineage;
  uint64_t last_call_number; /**< Identifies the newest call to the platform,
                                so that late answers are ignored. */

  /* The move of a primary out of an evacuated domain, see evacuation.c. */
  bool has_move_failed; /**< A promotion was abandoned for want of a target. */
  bool is_move_blocked; /**< It was logged that nothing can replace it. */
  int64_t next_check_at; /**< When the primary is checked next. */

  /* The promotion record in the store. */
  bool record_read;       /**< What it says is known since the takeover. */
  bool is_record_awaited; /**< It was logged that the takeover waits for it. */
  /** It does not say that the promotion which it names is done, or speaks of
   * an older term than the present one. */
  bool is_record_open;
  bool is_record_closing;   /**< A call that records the promotion as done is
                               not answered. */
  uint64_t record_revision; /**< Its revision when it was read; 0: there was
                               no record. */
  uint64_t recorded_term;   /**< Newest term that it speaks of. */
  uint64_t record_era;      /**< Era of the store when it was read. */
  uint64_t open_record;     /**< Revision of an open record; 0: there is no
                               record. */
  /** The term that an open record's promotion begins, and the target's
   * position before. */
  struct replica_lineage open_lineage;
  char *open_target;       /**< Id of its target. */
  int64_t next_closing_at; /**< Earliest time of the next call that records it
                              as done. */
};

/* service.c */
/** @return the open transaction of @p session of the sender of @p m, NULL if
 * there is none. */
struct transaction *service_find_transaction (struct service *s,
                                              const struct packet *m,
                                              uint64_t session);
/** Run a statement of a caller; takes over @p m. */
void service_handle_statement (struct service *s, struct packet *m);
/** Run a read of a caller at a replica that is near, or have it sent to the
 * owner; takes over @p m.  The service is one with reads_only. */
void service_handle_read (struct service *s, struct packet *m);
/** Continue a new statement that waited for a token of its organisation's
 * rate and has it now. */
void service_run_admitted (struct pending_statement *ps);
/** The session of a transaction ended: roll the transaction back. */
void service_handle_session_end (struct service *s, const struct packet *m);
/** Answer a statement without a result and free it. */
void service_refuse (struct pending_statement *ps, enum outcome outcome,
                     const char *reason, int retry_ms);
/** Refuse a statement, and free the transaction that it begins. */
void service_refuse_with_transaction (struct pending_statement *ps,
                                      enum outcome outcome, const char *reason,
                                      int retry_ms);
/** The connection of a statement was lost: retry the statement, or report its
 * outcome, which may be unknown. */
void service_fail_statement (struct pending_statement *ps,
                             const struct link_loss *loss);
/** End a transaction that cannot continue, whatever it waits for; its
 * connection is rolled back if it still works. */
void service_abort_transaction (struct transaction *t);
/** The service is no longer owned: end all its statements and transactions.
 * Each caller gets the outcome as far as it is known. */
void service_stop (struct service *s, const char *reason);
/** Release the service; open transactions continue.
 * @param successor member that is to own it, 0: the one that ranks first. */
void service_release (struct service *s, uint64_t successor);
/** @return number of statements and transactions that are not finished. */
int service_pending_count (const struct service *s);
void service_set_phase (struct service *s, enum service_phase phase,
                        const char *reason);
/** @return whether the lease lasts long enough to send a statement. */
bool service_is_owned (const struct service *s);
/** Send the caller the result of a statement and free the statement. */
void service_send_result (struct pending_statement *ps,
                          struct packet_result *result);
/** Record the position of a commit that finished through the previous owner.
 * @return whether the commit is kept; false: a replica that may lack it
 * replaces, or has replaced, the primary that ran it. */
bool service_confirm_commit (struct service *s, struct position position);
/** @return the position that an endpoint's log must have reached to run a
 * statement. */
struct position service_required_position (const struct service *s,
                                           const struct packet_statement *m,
                                           int64_t now);
/** Send queued statements to endpoints that have room for them. */
void service_dispatch (struct service *s);
/** Send the endpoint no more statements, and repeat those that did not
 * run. */
void service_endpoint_failed (struct endpoint *e, const char *reason);
/** Close all connections to an endpoint; their statements are repeated or
 * refused. */
void service_drop_links (struct endpoint *e, const char *reason);
/** An endpoint leads: send statements there from now on.
 * @param position newest position of its log; the branch point if @p term is
 * new to this daemon. */
void service_set_primary (struct service *s, struct endpoint *primary,
                          uint64_t term, struct position position);

/** Send a read that runs at an endpoint to another one that may serve it and
 * has room; a read of the newest data goes to the primary again.
 * @return the second connection, NULL if there is none. */
struct pooled_link *service_send_second (struct pending_statement *ps,
                                         int64_t now);

/* hedge.c */
/** Count a send of a statement, after the connection's fields were set. */
void hedge_count_send (struct pending_statement *ps,
                       const struct pooled_link *p);
/** Send a read that waits for the answer of @p p a second time if that is
 * overdue.  Free connections may be closed. */
void hedge_check (struct pooled_link *p, int64_t now);
/** Start the second sends that have waited for room, before queued statements
 * take it. */
void hedge_dispatch (struct service *s);
/** @return whether the answer on a connection with a read outside of
 * transactions is to be taken for lost. */
bool hedge_answer_is_lost (const struct pooled_link *p, int64_t now);
/** Count and log the loss of an answer, whose connection is about to be
 * closed. */
void hedge_report_loss (const struct pooled_link *p, int64_t now);
/** Decide which of the answers to a hedged read counts.
 * @return whether this one does; the statement then has no other connection.
 * If not, it has left @p p and waits for the other answer. */
bool hedge_take_answer (struct pooled_link *p,
                        const struct link_answer *answer);
/** A statement leaves a connection, which is about to be closed.
 * @return whether it continues on its other connection, as a hedged read. */
bool hedge_leave_link (struct pending_statement *ps, struct pooled_link *p);

/* capacity.c */
/** The endpoint is new, was restarted or has another number of slots: learn
 * its limit afresh, if limits are learned. */
void capacity_start (struct endpoint *e, int slots);
/** Count the pending statement of a connection as running. */
void capacity_count_send (struct pooled_link *p);
/** Count the statement of a connection as not running any more. */
void capacity_count_end (struct pooled_link *p);
/** The endpoint is about to be freed: its metrics are cleared. */
void capacity_stop (const struct endpoint *e);
/** @return the expected time of a statement of a kind of work that is sent
 * now, in microseconds; 0: not known. */
int64_t capacity_expected_us (const struct endpoint *e, uint64_t kind);
/** Learn from the time that the newest statement of a connection took; to be
 * called after latency_record. */
void capacity_record (struct pooled_link *p, int64_t us, int64_t now);

/* health.c */
/** End statements and transactions that have waited too long, check the
 * endpoints, continue a promotion and dispatch the queue. */
void service_tick (struct service *s, int64_t now);

/* pool.c */
/** @return a free or new connection for a statement, preferably one that has
 * its session values already; NULL if there is none and none may be opened
 * now. */
struct pooled_link *pool_acquire (struct endpoint *e,
                                  const struct packet_statement *statement);
/** @return whether the endpoint has lately sent answers twice, so that nothing
 * may rely on an answer that may be a copy. */
bool pool_is_strict (const struct endpoint *e);
/** The endpoint refused a connection because it has too many: keep to those
 * that it accepted for a while. */
void pool_limit_connections (struct endpoint *e, int64_t now);
/** @return whether a connection for @p organisation is free. */
bool pool_has_free_link (const struct endpoint *e, struct bstr organisation);
/** Open a connection. @return NULL if it cannot be started. */
struct pooled_link *pool_open (struct endpoint *e, struct bstr organisation);
/** Close a connection and remove it from the pool. */
void pool_close (struct pooled_link *p);
/** Open a connection to check whether the endpoint answers.
 * @param status ask for its status too. */
void pool_probe (struct endpoint *e, bool status);

/* Callbacks of the pool into service.c. */
void service_handle_answer (struct pooled_link *p,
                            const struct link_answer *answer);
void service_handle_link_loss (struct pooled_link *p,
                               const struct link_loss *loss);

/* promotion.c */
/** Replace the primary. @param planned it still answers. */
void promotion_start (struct service *s, bool planned, const char *reason);
/** Continue the takeover or the promotion, as far as it is due. */
void promotion_tick (struct service *s, int64_t now);
/** @return whether a promotion waits for the answer of an endpoint, however
 * slow that is: it may have the only log with all acknowledged commits. */
bool promotion_awaits_answer (const struct service *s,
                              const struct endpoint *e);
/** Handle an answer to STATUS, after which the takeover or the step of the
 * promotion may end. */
void promotion_handle_status (struct service *s, struct endpoint *e);
/** Forget the promotion in progress; late answers to its calls are
 * ignored. */
void promotion_cancel (struct service *s);
/** Read the promotion record and finish what a previous owner began. */
void promotion_resume (struct service *s);

#endif
