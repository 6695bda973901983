/** @file
 * Choices of the session daemon among the endpoints of one database group (the
 * daemon of a cell uses core/routing.h): which of them serves a read, which
 * one is promoted after the primary has failed, and which position a read
 * requires.
 */
#ifndef CORE_REPLICAS_H
#define CORE_REPLICAS_H

#include "core/statement.h"

/** What is known of one endpoint, the primary or a replica. */
struct replica_view
{
  bool usable; /**< Answers, accepts statements, belongs to the group. */
  bool is_primary;
  bool is_near;          /**< In the failure domain of this daemon. */
  bool needs_connection; /**< The read would open a new connection. */
  int slots;             /**< Statements that it can run at a time. */
  int running;           /**< Statements sent and not answered. */
  int running_reads;     /**< Those of them that are reads. */
  /** Learned concurrency limit; 0: it is not learned, and the choice does not
   * consider expected_us. */
  int limit;
  /** Expected time of the statement if it is sent there now, in microseconds;
   * 0: not known. */
  int64_t expected_us;
  int64_t latency_us;       /**< Moving average of a statement's time. */
  struct position position; /**< Newest known position of its log. */
  uint64_t term;     /**< Newest term that it knows; 0: it has not said. */
  int64_t behind_at; /**< When it last lacked a required position;
                          0: never. */
};

/** The newest term of a group of which a promotion is known. */
struct replica_lineage
{
  uint64_t term;         /**< 0: none is known. */
  struct position start; /**< Newest position of the log that the term began
                              with, or an older one; term 0: not known. */
};

enum replicas_choice
{
  REPLICAS_FOUND,
  REPLICAS_FULL, /**< All endpoints that could serve the read are busy. */
  REPLICAS_NONE  /**< No endpoint can serve the read. */
};

/** Chooses the endpoint for a read.
 * @param required position that the endpoint's log must have reached.
 * @param prefer_primary the read needs the newest data, which replicas serve
 * only while no primary is usable.
 * @param index set if an endpoint was found. */
enum replicas_choice
replicas_choose_for_read (const struct replica_view *replicas, int count,
                          struct position required, bool prefer_primary,
                          int64_t now, int *index);
/** @return whether the endpoint's log may contain commits that a promotion
 * rolled back: it does not know the newest term, and its log goes beyond the
 * position at which that term began.  Its promotion would bring those commits
 * back in place of the ones that were acknowledged since. */
bool replicas_has_forked (const struct replica_view *view,
                          const struct replica_lineage *lineage);
/** @return whether the endpoint's log does contain such commits, if the newest
 * term had a primary: it ends in the term before, beyond that position. */
bool replicas_has_surely_forked (const struct replica_view *view,
                                 const struct replica_lineage *lineage);
/** @return the index of the usable replica with the newest log, which is to be
 * promoted; -1 if there is none.
 * @param lineage replicas whose logs have forked from it are left out; NULL:
 * none are. */
int replicas_choose_successor (const struct replica_view *replicas, int count,
                               const struct replica_lineage *lineage);

/** @return whether the answer to a read that outlived an answer of its
 * endpoint is to be taken for lost, so that the read is repeated.
 * @param waited_us time since the read was sent.
 * @param is_overtaken the endpoint has answered a statement that was sent
 * later. */
bool replicas_answer_is_lost (const struct replica_view *view,
                              int64_t waited_us, bool is_overtaken);
/** @return how long the endpoint may owe an answer before it is suspect, in
 * microseconds. */
int64_t replicas_silence_limit (const struct replica_view *view);
/** @return how many unanswered statements an endpoint may have. */
int replicas_max_statements (const struct replica_view *view);
/** @return whether the endpoint may get one more read.  If its limit is
 * learned, the primary keeps a slot for writes. */
bool replicas_has_room_for_read (const struct replica_view *view);
/** @return how many of the connections to a replica are for the daemon that
 * runs bounded reads of the callers in the replica's failure domain; the
 * others are for the owner, which has the reads of all other callers.
 * @param limit number of all of them.
 * @param replicas number of replicas in the group.
 * @param domains number of failure domains with callers. */
int replicas_reader_connections (int limit, int replicas, int domains);
/** Updates the moving average with the time that a statement took. */
void replicas_record_latency (struct replica_view *view, int64_t latency_us);

/* The samples cover about 6.4 s. */
#define COMMIT_HISTORY_SAMPLES 128
#define COMMIT_HISTORY_INTERVAL_US INT64_C (50000)

/** Samples of the newest acknowledged position over time, from which bounded
 * reads get the position that they require. */
struct commit_history
{
  struct
  {
    int64_t at;
    struct position position;
  } samples[COMMIT_HISTORY_SAMPLES];
  int first; /**< Index of the oldest sample; the array is a ring buffer. */
  int count;
  struct position newest; /**< Newest acknowledged position. */
};

/** Removes all samples.  All commits before @p now are at most @p position. */
void commit_history_restart (struct commit_history *h,
                             struct position position, int64_t now);
/** Records a commit that is about to be acknowledged. */
void commit_history_record (struct commit_history *h, struct position position,
                            int64_t now);
/** Takes a sample if the interval has passed; to be called at least once in
 * each COMMIT_HISTORY_INTERVAL_US. */
void commit_history_sample (struct commit_history *h, int64_t now);
/** @return a position that covers all commits acknowledged at @p time or
 * before.  If @p time is before the oldest sample, it is the position of that
 * sample. */
struct position commit_history_at (const struct commit_history *h,
                                   int64_t time);

/** Finds the position that a bounded read requires in a history that this
 * daemon only learned from the owner: sample times are times of its own clock
 * after which the owner reported the position.
 * @param time the read must see all commits acknowledged at that time or
 * before.
 * @param own position of the session's own writes; term 0: it has none, or
 * need not see them.
 * @param required set to the position.
 * @return whether the history tells it; otherwise only the owner can. */
bool commit_history_read_position (const struct commit_history *h,
                                   int64_t time, struct position own,
                                   struct position *required);

#endif
