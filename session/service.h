/** @file
 * Shared by the files that run a service; not for other folders.
 */
#ifndef SESSION_SERVICE_H
#define SESSION_SERVICE_H

#include "core/replicas.h"
#include "session/link.h"
#include "session/sessiond.h"

#define PART "owner"

/** Time from the decision to replace a primary until the new one usually
 * leads; the platform's own part of it is a second. */
#define PROMOTION_US (1300 * USEC_PER_MSEC)

/** Endpoints of one service that are considered. */
#define SERVICE_MAX_ENDPOINTS 16

enum service_phase
{
  SERVICE_FOREIGN,  /**< Another daemon owns it, or none. */
  SERVICE_TAKEOVER, /**< Owned; looking for the primary. */
  SERVICE_SERVING,
  SERVICE_HANDOFF,  /**< Planned change: work at the primary drains. */
  SERVICE_REPLACING /**< A replica is being promoted. */
};

enum promotion_step
{
  PROMOTION_SURVEY, /**< Ask the endpoints for their positions. */
  PROMOTION_RECORD, /**< Write the record; its revision is the token. */
  PROMOTION_ORDER,
  PROMOTION_AWAIT /**< Until the endpoint says that it leads. */
};

struct endpoint
{
  struct endpoint *next;
  struct service *service;
  char *id;
  char *address;
  char *failure_domain;
  int64_t born_ms;
  int64_t missing_since;  /**< Not in the newest list; 0: it is. */
  int64_t draining_since; /**< When it said first that it leaves. */
  struct replica_view view;
  struct pooled *links;
  int64_t answered_at;   /**< Last line that it sent. */
  int64_t suspect_since; /**< It owes an answer; 0: no. */
  int64_t failed_since;  /**< Gets no work; 0: it does. */
  int64_t next_probe;
  int64_t next_status;
  int64_t no_connection_until;
  int64_t status_at; /**< When STATUS was answered last. */
  uint64_t status_term;
  uint64_t reached_by; /**< A daemon that reaches it while we do not. */
  int link_count;
  int refusals; /**< Connections refused in a row. */
  bool listed;  /**< In the newest list. */
  bool draining;
  bool claims_primary; /**< By its own entry. */
  bool status_primary; /**< By its last STATUS. */
  bool wrong;          /**< Another database answers at its address. */
  bool probing;
  bool asked_others; /**< Since it became suspect. */
};

/** A link and who uses it. */
struct pooled
{
  struct pooled *next;
  struct endpoint *endpoint;
  struct link *link;
  struct work *work;
  struct transaction *transaction;
  bool is_probe; /**< Opened to see whether the endpoint answers. */
  bool counts;   /**< In endpoint.view.running. */
  int64_t opened_at;
  int64_t last_used;
};

struct work
{
  struct work *next;
  struct service *service;
  struct packet *message;
  struct packet_statement *s;
  int64_t arrived;
  int64_t sent_at; /**< To an endpoint; 0: not sent. */
  int attempts;
  bool was_counted; /**< Against the organisation's rate. */
  struct pooled *pooled;
  struct transaction *transaction;
};

struct transaction
{
  struct transaction *next;
  struct service *service;
  uint64_t member;
  uint64_t incarnation;
  uint64_t session;
  struct pooled *pooled; /**< NULL until it is open. */
  struct work *waiting;  /**< Arrived before BEGIN was answered. */
  struct session_value *values;
  int value_count;
  bool reads_only;
  bool has_written;
  int64_t last_used;
  int idle_ms;
};

struct service
{
  struct service *next;
  struct owner *owner;
  struct relay *relay;
  char *name;
  uint64_t id;
  enum service_phase phase;
  int64_t phase_since;
  struct endpoint *endpoints;
  struct endpoint *primary;
  uint64_t term;
  struct position branch; /**< Where the present term began, as seen. */
  struct commit_history commit_history;
  struct work *queue;
  struct transaction *transactions;
  bool leaving; /**< Given up; open transactions go on. */
  int64_t leaving_since;
  bool dispatching;

  /* Of a promotion. */
  enum promotion_step step;
  struct endpoint *target;
  char *target_id;
  uint64_t token;
  int64_t step_since;
  int64_t next_status;
  bool call_open;
  bool planned;
  bool record_read;   /**< Since the takeover. */
  int64_t replace_at; /**< When the promotion was decided. */
  uint64_t calls;     /**< Numbers calls, so that late answers are ignored. */
};

/* service.c */
struct transaction *service_find_transaction (struct service *s,
                                              const struct packet *m,
                                              uint64_t session);
void service_statement (struct service *s, struct packet *m);
void service_abandon (struct service *s, const struct packet *m);
/** Answer a statement without a result and release it. */
void service_refuse (struct work *w, enum outcome outcome, const char *reason,
                     int retry_ms);
/** As service_refuse, with the transaction that the statement begins. */
void service_refuse_start (struct work *w, enum outcome outcome,
                           const char *reason, int retry_ms);
/** The link of a statement is gone; whether it ran may not be known. */
void service_lose_work (struct work *w, const struct link_loss *loss);
/** End a transaction that cannot go on, whatever it waits for. */
void service_lose_transaction (struct transaction *t);
/** Ownership is gone: end what runs, as truly as it is known. */
void service_stop (struct service *s, const char *reason);
/** Give the service up; open transactions go on.
 * @param successor who is to own it, 0: whoever ranks first. */
void service_leave (struct service *s, uint64_t successor);
/** @return statements and transactions that are not finished. */
int service_pending (const struct service *s);
void service_set_phase (struct service *s, enum service_phase phase,
                        const char *reason);
bool service_is_owned (const struct service *s);
/** Give the caller a result and release the statement. */
void service_give (struct work *w, struct packet_result *result);
/** A former owner got a commit through. @return whether it counts: the
 * primary that has it is not being replaced. */
bool service_note_commit (struct service *s, struct position position);
void service_dispatch (struct service *s);
/** Give new work no more to the endpoint and repeat what did not run. */
void service_endpoint_failed (struct endpoint *e, const char *reason);
void service_drop_links (struct endpoint *e, const char *reason);
/** An endpoint leads; statements go there from now on. */
void service_serve (struct service *s, struct endpoint *primary, uint64_t term,
                    struct position position);

/* watch.c */
/** Find what has waited too long. */
void service_tick (struct service *s, int64_t now);

/* pool.c */
/** @return a link that is free for @p organisation, NULL if there is none
 * and none may be opened now. */
struct pooled *pool_acquire (struct endpoint *e, struct bstr organisation,
                             const struct session_value *values,
                             int value_count);
struct pooled *pool_open (struct endpoint *e, struct bstr organisation);
/** Forget and close. */
void pool_close (struct pooled *p);
/** Open a link to see whether the endpoint answers.
 * @param status ask for its status too. */
void pool_probe (struct endpoint *e, bool status);

/* Callbacks of the pool into service.c. */
void service_answered (struct pooled *p, const struct link_answer *answer);
void service_lost (struct pooled *p, const struct link_loss *loss);

/* promotion.c */
/** Replace the primary. @param planned it still answers. */
void promotion_start (struct service *s, bool planned, const char *reason);
void promotion_tick (struct service *s, int64_t now);
/** A STATUS answer or an entry may end a step. */
void promotion_status (struct service *s, struct endpoint *e);
void promotion_cancel (struct service *s);
/** Finish what an earlier owner may have begun. */
void promotion_resume (struct service *s);

#endif
