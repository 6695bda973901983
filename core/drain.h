/** @file
 * Decides which endpoints and VMs get new work: live, leaving, drained or
 * gone.  The states are in charts/drain.chart.  docs/design.md, section 3
 * and property P9.
 *
 * An endpoint or VM that is tracked here is called a subject.  Evidence
 * about a subject comes from four sources.  Marks in the configuration are
 * ordered by the version of the configuration.  Reports of a VM about itself
 * and answers to polls are direct evidence.  The platform's list may lag by
 * up to list_lag_us, so an entry is certain only up to list_lag_us before the
 * time of the list and loses against newer direct evidence.
 */
#ifndef CORE_DRAIN_H
#define CORE_DRAIN_H

#include "core/chart.h"
#include "core/types.h"

/** Longest time for which a leaving VM may get new work. */
#define DRAIN_MAX_GRACE_US INT64_C (3000000)

/** The subjects and the evidence about each of them. */
struct drain;

/** State of a subject. */
enum drain_state
{
  DRAIN_LIVE,
  DRAIN_LEAVING, /**< It gets no new work; running requests finish. */
  DRAIN_DRAINED, /**< No request runs on it; it may be switched off. */
  DRAIN_GONE /**< It is silent or not listed; its connections are closed. */
};

/** How the configuration or the platform's list shows a subject. */
enum drain_mark
{
  DRAIN_MARK_LIVE,
  DRAIN_MARK_LEAVING,
  DRAIN_MARK_ABSENT /**< The subject is not listed. */
};

/** Why a subject is not live. */
enum drain_reason
{
  DRAIN_REASON_NONE,
  DRAIN_REASON_CONFIG, /**< The configuration marks it. */
  DRAIN_REASON_LIST,   /**< The platform's list marks it. */
  DRAIN_REASON_SELF,   /**< The VM reported itself as leaving. */
  DRAIN_REASON_SILENT  /**< Polls fail. */
};

/** What to do about a subject. */
enum drain_action_kind
{
  DRAIN_ACTION_NONE,
  DRAIN_ACTION_STOP,   /**< Route no new work to it. */
  DRAIN_ACTION_REPORT, /**< Report to operators that it is drained. */
  DRAIN_ACTION_DROP,   /**< Close its connections. */
  DRAIN_ACTION_RESUME  /**< Route new work to it again. */
};

struct drain_options
{
  const struct chart *chart;
  int64_t silent_us;   /**< Time of failing polls after which it is gone. */
  int64_t list_lag_us; /**< Largest lag of the platform's list. */
  bool trust_list;     /**< Baseline: the list wins over direct evidence. */
};

struct drain_action
{
  enum drain_action_kind kind;
  int subject; /**< Index of the subject. */
  enum drain_reason reason;
};

/** @return the names that charts/drain.chart must use. */
const struct chart_vocabulary *drain_vocabulary (void);
struct drain *drain_create (void *parent, const struct drain_options *options);

/** Add an endpoint or VM; it is live until evidence says otherwise.
 * @param grace_us time for which it still gets new work after it was marked,
 * so that a load balancer notices the mark first; 0 for endpoints, at most
 * DRAIN_MAX_GRACE_US.
 * @return the index of the subject, also if it was added before. */
int drain_add (struct drain *d, const char *name, int64_t grace_us);
/** @return the index of the subject, INDEX_NONE if @p name was not added. */
int drain_find (const struct drain *d, const char *name);
/** Remove a subject.  A subject that is added later may get its index. */
void drain_remove (struct drain *d, int subject);

/** Record how the configuration of @p version marks a subject.  A version
 * below the newest one is ignored. */
void drain_on_config (struct drain *d, int subject, uint64_t version,
                      enum drain_mark mark, int64_t now);
/** Record how the platform's list shows a subject, read directly or through
 * a peer.
 * @param as_of time of the list: when the read was sent, on this daemon's
 * clock. */
void drain_on_list (struct drain *d, int subject, enum drain_mark mark,
                    int64_t as_of, int64_t now);
/** Record whether a VM reported itself as leaving.
 * @param at time of the report.
 * @param process_started_at when the first message of the VM's process
 * arrived; a leaving mark in a list that is certain only up to an earlier time
 * concerns an earlier process and is ignored. */
void drain_on_self_report (struct drain *d, int subject, bool leaving,
                           int64_t at, int64_t process_started_at,
                           int64_t now);
/** Record that a poll was answered or failed.  An answer that arrives late
 * counts as an answer. */
void drain_on_poll (struct drain *d, int subject, bool answered,
                    int64_t sent_at, int64_t now);
/** Set the number of requests that run on a subject. */
void drain_set_running (struct drain *d, int subject, int running,
                        int64_t now);

/** Advance time.  Call every 250 ms and after each event.
 * @return false when there is no further action now. */
bool drain_next (struct drain *d, int64_t now, struct drain_action *action);

/** @return whether new work may be sent to the subject. */
bool drain_accepts (const struct drain *d, int subject, int64_t now);
enum drain_state drain_state (const struct drain *d, int subject);
enum drain_reason drain_reason (const struct drain *d, int subject);

#endif
