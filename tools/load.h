/** @file
 * Parts of azurewind-load: arrivals and checks of answers (load_run.c),
 * transports (load_http.c, load_direct.c), verification of the ledger
 * (load_verify.c), report (load_report.c).  Times and durations without a
 * unit in their name are in us, times are those of clock_now.
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
/** Number of distinct error codes that are counted for an organisation;
 * requests with further codes are not counted by code. */
#define LOAD_MAX_CODES 24

/** Kind of a request. */
enum load_class
{
  CLASS_WRITE,   /**< Inserts one booking. */
  CLASS_SESSION, /**< Reads back the last write of its session. */
  CLASS_BROWSE,  /**< Reads a list of bookings, possibly at a replica. */
  CLASS_COUNT
};

/** What an answer says about the execution of the request. */
enum load_outcome
{
  OUTCOME_RAN,     /**< It ran; it may still have ended with an error. */
  OUTCOME_NOT_RUN, /**< It certainly did not take effect. */
  OUTCOME_UNKNOWN, /**< It may have run. */
  OUTCOME_COUNT
};

struct load_request;

/** Answer to one request; valid during the callback only. */
struct load_answer
{
  enum load_outcome outcome;
  const char *code;       /**< Error code; NULL if the request succeeded. */
  const json_t *rows;     /**< Array of rows, each an array; NULL: none. */
  int64_t affected;       /**< Number of rows that the statement changed. */
  const char *session;    /**< New session token, or NULL. */
  bool from_replica;      /**< A replica served the request. */
  int64_t retry_after_ms; /**< 0: the answer names no delay. */
};

/** Callback for the answer to a request, or for its loss. */
typedef void load_done_fn (struct load_request *r,
                           const struct load_answer *answer);

/** One request; the transport owns it from send until it calls done. */
struct load_request
{
  struct load *load;
  struct load_organisation *organisation;
  struct load_session *session; /**< NULL: the request has no session. */
  enum load_class class;
  int64_t due;      /**< Time of its arrival; latency counts from here. */
  bool within_rate; /**< The rate and burst of the organisation allow it. */
  uint32_t write_index; /**< Index of the write that it makes or reads back. */
  bool to_primary;      /**< It must run at the primary. */
  const char *freshness;
  const char *sql;
  const char *params[LOAD_MAX_PARAMS];
  int param_count;
  const char *idempotency_key; /**< NULL: the request has none. */
  int target;                  /**< Index of the daemon that it is sent to. */
  load_done_fn *done;
};

/** Sends requests to the database; each transport extends this struct. */
struct load_transport
{
  void (*send) (struct load_transport *t, struct load_request *r);
};

/** Outcome of one write and what the verification found of it. */
struct load_write
{
  bool answered;
  enum load_outcome outcome; /**< Valid if it was answered. */
  uint32_t rows_found;       /**< Rows of this write in the ledger. */
};

/** Session of a caller; it has at most one request in flight. */
struct load_session
{
  char *token;         /**< Newest session token; NULL: none yet. */
  uint32_t last_write; /**< Index of its newest acknowledged write; valid
                            if has_write. */
  bool has_write;      /**< A write of the session was acknowledged. */
  int target;          /**< Index of the daemon for its next request. */
};

/** Number of requests that ended with one error code. */
struct load_code
{
  char text[40];
  uint64_t count; /**< 0: the entry is free. */
};

/** One organisation: its settings, its state and its counters. */
struct load_organisation
{
  struct load_organisation *next;
  char *name;
  char *key;          /**< Key that authenticates it. */
  double rate;        /**< Its rate limit, requests per second. */
  double burst;       /**< Its burst limit, requests. */
  double load_factor; /**< Offered load as a multiple of the rate. */
  double class_share[CLASS_COUNT]; /**< Share of each class of its load. */
  unsigned short random_state[3];  /**< State of erand48. */
  int64_t next_arrival;            /**< Time of its next request. */
  /** Tokens in the bucket that models its rate and burst. */
  double tokens;
  int64_t tokens_updated_at;
  struct load_session **idle_sessions; /**< Sessions without a request. */
  uint32_t idle_count, idle_capacity;
  struct load_write *writes;
  uint32_t write_count;
  uint64_t offered[CLASS_COUNT];
  uint64_t outcomes[CLASS_COUNT][OUTCOME_COUNT];
  uint64_t offered_within_rate; /**< Requests within rate and burst. */
  uint64_t refused_by_rate;     /**< Requests refused as rate_limited. */
  uint64_t wrongful_refusals;   /**< Refusals within rate and burst. */
  /** Requests within rate and burst that did not run, for any reason. */
  uint64_t not_run_within_rate;
  uint64_t replica_reads; /**< Reads served by a replica. */
  uint64_t violations;    /**< Session reads that missed their write. */
  /** Requests that were not sent: too many were in flight. */
  uint64_t unsent;
  int64_t last_ack;      /**< Time of the newest acknowledged write. */
  int64_t ack_gap;       /**< Longest time without an acknowledged write. */
  int64_t ack_gap_start; /**< Time when this gap began. */
  struct histogram
      latency[CLASS_COUNT]; /**< Latency of the successful requests. */
  struct load_code codes[LOAD_MAX_CODES];
  /* Results of the verification: numbers of writes, except for the rows that
     belong to no write (unexpected). */
  uint64_t acknowledged_missing, duplicated, not_run_present, unknown_present,
      unexpected;
  char *last_id_read; /**< Id after which the next page of rows starts. */
  bool verified;      /**< All of its rows were read. */
};

/** One run of the load generator. */
struct load
{
  struct tevent_context *ev;
  struct load_transport *transport;
  struct load_organisation *organisations;
  /** Prefix of the ids of its writes, which tells runs apart. */
  char *run_id;
  const char *service;
  const char *browse_freshness;
  int64_t deadline_ms;
  int target_count;      /**< Number of daemons; 1 with a direct connection. */
  int64_t max_in_flight; /**< Requests beyond this are not sent. */
  int sessions_per_organisation; /**< At the start. */
  bool no_keys;                  /**< Writes carry no idempotency keys. */
  int64_t start;
  int64_t end; /**< End of the load; its duration until load_run starts. */
  int64_t in_flight;
  int arrival_timer_fd;         /**< Expires at the next arrival. */
  int unfinished_verifications; /**< Organisations still to verify. */
  bool verify_failed;
  /** Sums over all organisations, which load_report adds up; until then only
   * the times of acknowledged writes and their gap are kept. */
  struct load_organisation total;
};

/** Create a transport that sends requests to daemons.
 * @param urls base URLs of the load->target_count daemons.
 * @param connections most connections to one daemon. */
struct load_transport *load_http_create (struct load *load,
                                         const char *const *urls,
                                         int connections, struct error *err);

/** Create a transport that sends statements straight to an endpoint.
 * @param address HOST:PORT of the endpoint.
 * @param connections number of connections to it. */
struct load_transport *load_direct_create (struct load *load,
                                           const char *address,
                                           const char *database,
                                           const char *user, int connections,
                                           struct error *err);

/** Offer the load until load->end, then wait for the answers. */
void load_run (struct load *load);

/** @return the id of a write, for example "run-org-00000012", as memory of
 * @p parent. */
char *load_write_id (void *parent, const struct load *load,
                     const struct load_organisation *o, uint32_t index);

/** Compare the rows of the ledger with the outcomes of the writes.
 * @return false if a page of the ledger could not be read. */
bool load_verify (struct load *load);

/** Add @p count requests that ended with the error code @p code. */
void load_count_code (struct load_organisation *o, const char *code,
                      uint64_t count);

/** Print the measurements. @return whether no guarantee was violated. */
bool load_report (struct load *load, bool as_json, bool verified);

#endif
