/** @file
 * Parts of azurewind-load: arrivals and checks (load_run.c), transports
 * (load_http.c, load_direct.c), verification (load_verify.c), report
 * (load_report.c).  Times are us of clock_now.
 */
#ifndef TOOLS_LOAD_H
#define TOOLS_LOAD_H

#include "common/bstr.h"
#include "common/error.h"
#include "common/stats.h"

#include <jansson.h>
#include <stdint.h>
#include <tevent.h>

#define LOAD_MAX_PARAMS 4
#define LOAD_MAX_CODES 24

enum load_class
{
  CLASS_WRITE,
  CLASS_SESSION,
  CLASS_BROWSE,
  CLASS_COUNT
};

enum load_outcome
{
  OUTCOME_RAN,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN,
  OUTCOME_COUNT
};

struct load_request;

/** Answer to one request; valid during the callback only. */
struct load_answer
{
  enum load_outcome outcome;
  const char *code; /**< Error code; NULL if it succeeded. */
  const json_t *rows;
  int64_t affected;
  const char *session; /**< New session token, or NULL. */
  bool by_replica;
  int64_t retry_after_ms;
};

typedef void load_done_fn (struct load_request *r,
                           const struct load_answer *answer);

/** One request; owned by the transport from send to done. */
struct load_request
{
  struct load *load;
  struct load_organisation *organisation;
  struct load_session *session; /**< NULL if it is none. */
  enum load_class class;
  int64_t due;      /**< When it was due to be sent. */
  bool within_rate; /**< By the rate and burst of its organisation. */
  uint32_t write;   /**< Index of the write made or read back. */
  bool to_primary;
  const char *freshness;
  const char *sql;
  const char *params[LOAD_MAX_PARAMS];
  int param_count;
  const char *key; /**< Idempotency key, or NULL. */
  int target;      /**< Index of the daemon. */
  load_done_fn *done;
};

/** How requests reach the database. */
struct load_transport
{
  void (*send) (struct load_transport *t, struct load_request *r);
};

/** What became of one write. */
struct load_write
{
  bool answered;
  enum load_outcome outcome;
  uint32_t found; /**< Rows found by the verification. */
};

/** A caller: it has at most one request in flight. */
struct load_session
{
  char *token;
  uint32_t last_write;
  bool has_write;
  int target;
};

struct load_code
{
  char text[40];
  uint64_t count;
};

struct load_organisation
{
  struct load_organisation *next;
  char *name;
  char *key;
  double rate;   /**< Requests per second that it may use. */
  double burst;  /**< Requests. */
  double factor; /**< Offered load as a multiple of the rate. */
  double share[CLASS_COUNT];
  unsigned short random[3];
  int64_t next_arrival;
  double tokens; /**< Of the model of its rate and burst. */
  int64_t tokens_at;
  struct load_session **idle; /**< Sessions without a request. */
  uint32_t idle_count, idle_size;
  struct load_write *writes;
  uint32_t write_count;
  uint64_t offered[CLASS_COUNT];
  uint64_t outcomes[CLASS_COUNT][OUTCOME_COUNT];
  uint64_t within;         /**< Offered within rate and burst. */
  uint64_t refused;        /**< Refused because of the rate. */
  uint64_t wrongful;       /**< Of these, offered within rate and burst. */
  uint64_t not_run_within; /**< Not run for any reason, within the rate. */
  uint64_t by_replica;     /**< Reads served by a replica. */
  uint64_t violations;     /**< Session reads that missed the write. */
  uint64_t unsent;         /**< Not sent: too many in flight. */
  int64_t last_ack;
  int64_t gap;    /**< Longest time without an acknowledged write. */
  int64_t gap_at; /**< When it began. */
  struct histogram latency[CLASS_COUNT];
  struct load_code codes[LOAD_MAX_CODES];
  /* Verification. */
  uint64_t missing, duplicated, present, unknown_present, unexpected;
  char *cursor;
  bool verified;
};

struct load
{
  struct tevent_context *ev;
  struct load_transport *transport;
  struct load_organisation *organisations;
  char *run; /**< Distinguishes the ids of this run. */
  const char *service;
  const char *browse_freshness;
  int64_t deadline_ms;
  int target_count;
  int64_t max_in_flight;
  int sessions; /**< Of each organisation at the start. */
  bool no_keys;
  int64_t start;
  int64_t end;
  int64_t in_flight;
  int timer_fd; /**< Of the next arrival. */
  int verifying;
  bool verify_failed;
  struct load_organisation total; /**< Gap only. */
};

struct load_transport *load_http_create (struct load *load,
                                         const char *const *urls,
                                         int connections, struct error *err);

/** @param address HOST:PORT of an endpoint. */
struct load_transport *load_direct_create (struct load *load,
                                           const char *address,
                                           const char *database,
                                           const char *user, int connections,
                                           struct error *err);

/** Offer the load until load->end, and wait for the answers. */
void load_run (struct load *load);

/** Id of a write, for example "run-org-00000012"; memory of @p parent. */
char *load_write_id (void *parent, const struct load *load,
                     const struct load_organisation *o, uint32_t index);

/** Compare the ledger with the outcomes.
 * @return false if a page of it could not be read. */
bool load_verify (struct load *load);

/** Count requests that ended with an error code. */
void load_count_code (struct load_organisation *o, const char *code,
                      uint64_t count);

/** Print the measures. @return whether no guarantee was violated. */
bool load_report (struct load *load, bool as_json, bool verified);

#endif
