/** @file
 * Which endpoints and VMs get new work: live, leaving, drained or gone.
 * The states are in charts/drain.chart.  docs/design.md, section 3 and P9.
 *
 * Four sources are weighed.  Marks in the configuration are ordered by its
 * version.  Statements of a VM about itself and answers to polls are direct
 * evidence.  The platform's list lags, so that an entry counts only from
 * list_lag_us before its time: an entry older than direct evidence does not
 * win.
 */
#ifndef CORE_DRAIN_H
#define CORE_DRAIN_H

#include "core/chart.h"
#include "core/types.h"

/** Longest time for which a leaving VM may get new work. */
#define DRAIN_MAX_GRACE_US INT64_C (3000000)

struct drain;

enum drain_state
{
  DRAIN_LIVE,
  DRAIN_LEAVING, /**< No new work; running requests finish. */
  DRAIN_DRAINED, /**< Nothing runs; it may be switched off. */
  DRAIN_GONE
};

enum drain_mark
{
  DRAIN_MARK_LIVE,
  DRAIN_MARK_LEAVING,
  DRAIN_MARK_ABSENT /**< Not listed. */
};

/** Why it is not live. */
enum drain_reason
{
  DRAIN_REASON_NONE,
  DRAIN_REASON_CONFIG,
  DRAIN_REASON_LIST,
  DRAIN_REASON_SELF,  /**< It said so itself. */
  DRAIN_REASON_SILENT /**< Polls fail. */
};

enum drain_step
{
  DRAIN_STEP_NONE,
  DRAIN_STEP_STOP,   /**< Route nothing new to it. */
  DRAIN_STEP_REPORT, /**< Tell operators that it is drained. */
  DRAIN_STEP_DROP,   /**< Close its connections. */
  DRAIN_STEP_RESUME  /**< Route to it again. */
};

struct drain_options
{
  const struct chart *chart;
  int64_t silent_us;   /**< Failing polls until it counts as gone. */
  int64_t list_lag_us; /**< How far the platform's list may lag. */
  bool trust_list;     /**< Baseline: the list wins over direct evidence. */
};

struct drain_action
{
  enum drain_step step;
  int subject;
  enum drain_reason reason;
};

const struct chart_vocabulary *drain_vocabulary (void);
struct drain *drain_create (void *parent, const struct drain_options *options);

/** Add an endpoint or VM; it is live until evidence says otherwise.
 * @param grace_us for which it gets new work after it was marked, so that a
 * load balancer notices first; 0 for endpoints, at most DRAIN_MAX_GRACE_US.
 * @return its index, the index that it has if it was added before. */
int drain_add (struct drain *d, const char *name, int64_t grace_us);
/** @return INDEX_NONE if @p name was not added. */
int drain_find (const struct drain *d, const char *name);
/** Forget a subject.  Its index may be used for a later one. */
void drain_remove (struct drain *d, int subject);

/** The configuration of @p version marks it; a lower version than the newest
 * is ignored. */
void drain_on_config (struct drain *d, int subject, uint64_t version,
                      enum drain_mark mark, int64_t now);
/** The platform's list shows it, read directly or through a peer.
 * @param as_of time of the list, on this daemon's clock: when the read was
 * sent. */
void drain_on_list (struct drain *d, int subject, enum drain_mark mark,
                    int64_t as_of, int64_t now);
/** A VM said about itself whether it is leaving.
 * @param at when it said so, @param started when its process was first heard
 * of; marks of the list from before are about the VM before it. */
void drain_on_statement (struct drain *d, int subject, bool leaving,
                         int64_t at, int64_t started, int64_t now);
/** A poll was answered, or failed.  A late answer counts as an answer. */
void drain_on_poll (struct drain *d, int subject, bool answered,
                    int64_t sent_at, int64_t now);
/** Requests that run there. */
void drain_set_running (struct drain *d, int subject, int running,
                        int64_t now);

/** Advance time.  Call every 250 ms and after each event.
 * @return false when there is no further action now. */
bool drain_next (struct drain *d, int64_t now, struct drain_action *action);

/** @return whether new work may be sent to it. */
bool drain_accepts (const struct drain *d, int subject, int64_t now);
enum drain_state drain_state (const struct drain *d, int subject);
enum drain_reason drain_reason (const struct drain *d, int subject);

#endif
