#include "core/drain.h"

/* In the order of enum drain_state. */
static const char *const state_names[]
    = { "live", "leaving", "drained", "gone", NULL };

/* Events of the chart. */
enum chart_event
{
  CHART_EVENT_MARK,
  CHART_EVENT_CLEAR,
  CHART_EVENT_IDLE,
  CHART_EVENT_BUSY,
  CHART_EVENT_VANISH,
  CHART_EVENT_RETURN,
  CHART_EVENT_RETURN_LEAVING,
  CHART_EVENT_COUNT
};

static const char *const chart_event_names[CHART_EVENT_COUNT + 1] = {
  [CHART_EVENT_MARK] = "mark",
  [CHART_EVENT_CLEAR] = "clear",
  [CHART_EVENT_IDLE] = "idle",
  [CHART_EVENT_BUSY] = "busy",
  [CHART_EVENT_VANISH] = "vanish",
  [CHART_EVENT_RETURN] = "return",
  [CHART_EVENT_RETURN_LEAVING] = "return_leaving",
};

/* In the order of enum drain_action_kind. */
static const char *const action_names[]
    = { "none", "stop", "report", "drop", "resume", NULL };

static const struct chart_vocabulary vocabulary
    = { "drain", state_names, chart_event_names, action_names };

/* A time that is not set: there is no evidence of that kind. */
#define NEVER INT64_MIN

/* Largest number of queued actions of one subject.  Only its newest two
   actions still matter, so older ones may be dropped. */
#define MAX_PENDING_ACTIONS 4

/* Largest number of chart events that one call applies.  One change of the
   evidence causes at most return_leaving, idle and vanish; the bound stops a
   chart whose states lead to each other without end. */
#define MAX_CHAINED_EVENTS 4

/* One endpoint or VM and the newest evidence about it. */
struct subject
{
  char *name;       /* Name of the subject; NULL if the index is free. */
  int64_t grace_us; /* Time for which it gets work after it was marked. */
  int state;        /* enum drain_state, as the chart's index. */
  enum drain_reason reason;
  uint64_t config_version; /* Version of the configuration; 0: none yet. */
  enum drain_mark config_mark;
  int64_t list_as_of; /* Time of the platform's list, NEVER: none yet. */
  enum drain_mark list_mark;
  /* Time of the newest report of the VM about itself, and when the first
     message of its process arrived; NEVER: no report yet. */
  int64_t reported_at, process_started_at;
  bool reported_leaving;
  int64_t direct_evidence_at; /* Send time of the newest direct evidence. */
  /* Send times of the first and the newest poll that failed since the newest
     answer; NEVER if none did. */
  int64_t first_failure_at, last_failure_at;
  int64_t leaving_since; /* When the newest leaving state began. */
  int running;           /* Number of requests that run on it. */
  struct drain_action pending[MAX_PENDING_ACTIONS];
  int pending_count;
};

struct drain
{
  struct drain_options options;
  struct subject *subjects;
  int count;
};

const struct chart_vocabulary *
drain_vocabulary (void)
{
  return &vocabulary;
}

struct drain *
drain_create (void *parent, const struct drain_options *options)
{
  struct drain *d = talloc_zero (parent, struct drain);
  d->options = *options;
  return d;
}

int
drain_find (const struct drain *d, const char *name)
{
  for (int i = 0; i < d->count; i++)
    if (d->subjects[i].name != NULL && strcmp (d->subjects[i].name, name) == 0)
      return i;
  return INDEX_NONE;
}

/* Returns a free index, growing the array if there is none. */
static int
allocate_index (struct drain *d)
{
  for (int i = 0; i < d->count; i++)
    if (d->subjects[i].name == NULL)
      return i;
  d->subjects
      = talloc_realloc (d, d->subjects, struct subject, (size_t)d->count + 1);
  return d->count++;
}

int
drain_add (struct drain *d, const char *name, int64_t grace_us)
{
  int index = drain_find (d, name);
  if (index != INDEX_NONE)
    return index;
  index = allocate_index (d);
  d->subjects[index] = (struct subject){
    .name = talloc_strdup (d, name),
    .grace_us = grace_us < DRAIN_MAX_GRACE_US ? grace_us : DRAIN_MAX_GRACE_US,
    .state = chart_initial (d->options.chart),
    .list_as_of = NEVER,
    .reported_at = NEVER,
    .process_started_at = NEVER,
    .direct_evidence_at = NEVER,
    .first_failure_at = NEVER,
    .last_failure_at = NEVER,
  };
  return index;
}

void
drain_remove (struct drain *d, int subject)
{
  TALLOC_FREE (d->subjects[subject].name);
}

/* Returns the time up to which the subject's entry in the platform's list is
   certain. */
static int64_t
list_certain_until (const struct drain *d, const struct subject *s)
{
  return s->list_as_of == NEVER ? NEVER
                                : s->list_as_of - d->options.list_lag_us;
}

static int64_t
later (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static bool
list_says_gone (const struct drain *d, const struct subject *s)
{
  if (s->list_as_of == NEVER || s->list_mark != DRAIN_MARK_ABSENT)
    return false;
  return d->options.trust_list
         || list_certain_until (d, s) > s->direct_evidence_at;
}

/* An answer to a poll shows that the subject is there, not that it stays.
   Only a newer process of the VM therefore disproves a leaving mark of the
   list. */
static bool
list_says_leaving (const struct drain *d, const struct subject *s)
{
  if (s->list_as_of == NEVER || s->list_mark == DRAIN_MARK_LIVE)
    return false;
  if (s->list_mark == DRAIN_MARK_ABSENT)
    return list_says_gone (d, s);
  return d->options.trust_list
         || list_certain_until (d, s) >= s->process_started_at;
}

static enum drain_reason
leaving_reason (const struct drain *d, const struct subject *s)
{
  if (s->config_mark != DRAIN_MARK_LIVE)
    return DRAIN_REASON_CONFIG;
  if (s->reported_leaving)
    return DRAIN_REASON_SELF;
  return list_says_leaving (d, s) ? DRAIN_REASON_LIST : DRAIN_REASON_NONE;
}

/* Silence is the time between the first and the newest failed poll, not the
   time until now: a daemon that was paused has no evidence about the time of
   its pause. */
static enum drain_reason
gone_reason (const struct drain *d, const struct subject *s)
{
  if (s->first_failure_at != NEVER
      && s->last_failure_at - s->first_failure_at >= d->options.silent_us)
    return DRAIN_REASON_SILENT;
  if (list_says_gone (d, s))
    return DRAIN_REASON_LIST;
  if (s->config_mark == DRAIN_MARK_ABSENT
      && (s->state == DRAIN_DRAINED || s->state == DRAIN_GONE))
    return DRAIN_REASON_CONFIG;
  return DRAIN_REASON_NONE;
}

/* Whether a leaving subject may no longer get new work. */
static bool
grace_is_over (const struct subject *s, int64_t now)
{
  return now - s->leaving_since >= s->grace_us;
}

/* Returns the event that the evidence requires in the current state, or
   CHART_EVENT_COUNT for none. */
static enum chart_event
next_chart_event (const struct drain *d, const struct subject *s, int64_t now)
{
  bool gone = gone_reason (d, s) != DRAIN_REASON_NONE;
  bool leaving = leaving_reason (d, s) != DRAIN_REASON_NONE;
  if (s->state == DRAIN_GONE)
    return gone      ? CHART_EVENT_COUNT
           : leaving ? CHART_EVENT_RETURN_LEAVING
                     : CHART_EVENT_RETURN;
  if (gone)
    return CHART_EVENT_VANISH;
  if (s->state == DRAIN_LIVE)
    return leaving ? CHART_EVENT_MARK : CHART_EVENT_COUNT;
  if (!leaving)
    return CHART_EVENT_CLEAR;
  if (s->state == DRAIN_LEAVING && s->running == 0 && grace_is_over (s, now))
    return CHART_EVENT_IDLE;
  if (s->state == DRAIN_DRAINED && s->running > 0)
    return CHART_EVENT_BUSY;
  return CHART_EVENT_COUNT;
}

static void
remove_first_pending (struct subject *s)
{
  s->pending_count--;
  memmove (s->pending, s->pending + 1,
           (size_t)s->pending_count * sizeof s->pending[0]);
}

/* Appends an action for drain_next.  A full queue loses its oldest action. */
static void
queue_action (struct drain *d, struct subject *s,
              enum drain_action_kind action)
{
  if (s->pending_count == MAX_PENDING_ACTIONS)
    remove_first_pending (s);
  s->pending[s->pending_count++]
      = (struct drain_action){ action, (int)(s - d->subjects), s->reason };
}

/* Applies events to the chart until the state agrees with the evidence. */
static void
apply_evidence (struct drain *d, struct subject *s, int64_t now)
{
  for (int i = 0; i < MAX_CHAINED_EVENTS; i++)
    {
      enum chart_event event = next_chart_event (d, s, now);
      if (event == CHART_EVENT_COUNT)
        return;
      enum drain_reason gone = gone_reason (d, s);
      int action = chart_apply_event (d->options.chart, &s->state, (int)event);
      if (action < 0)
        return;
      s->reason = gone != DRAIN_REASON_NONE ? gone : leaving_reason (d, s);
      if (event == CHART_EVENT_MARK || event == CHART_EVENT_RETURN_LEAVING)
        s->leaving_since = now;
      if (action != DRAIN_ACTION_NONE)
        queue_action (d, s, (enum drain_action_kind)action);
    }
}

void
drain_on_config (struct drain *d, int subject, uint64_t version,
                 enum drain_mark mark, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (version < s->config_version)
    return;
  s->config_version = version;
  s->config_mark = mark;
  apply_evidence (d, s, now);
}

void
drain_on_list (struct drain *d, int subject, enum drain_mark mark,
               int64_t as_of, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (as_of < s->list_as_of && !d->options.trust_list)
    return;
  s->list_as_of = as_of;
  s->list_mark = mark;
  apply_evidence (d, s, now);
}

/* Records evidence of the given time that the subject is there. */
static void
record_direct_evidence (struct subject *s, int64_t at)
{
  s->direct_evidence_at = later (s->direct_evidence_at, at);
  s->first_failure_at = s->last_failure_at = NEVER;
}

void
drain_on_self_report (struct drain *d, int subject, bool leaving, int64_t at,
                      int64_t process_started_at, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (process_started_at < s->process_started_at
      || (process_started_at == s->process_started_at && at < s->reported_at))
    return;
  s->process_started_at = process_started_at;
  s->reported_at = at;
  s->reported_leaving = leaving;
  record_direct_evidence (s, at);
  apply_evidence (d, s, now);
}

void
drain_on_poll (struct drain *d, int subject, bool answered, int64_t sent_at,
               int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (answered)
    record_direct_evidence (s, sent_at);
  else if (sent_at > s->direct_evidence_at)
    {
      if (s->first_failure_at == NEVER || sent_at < s->first_failure_at)
        s->first_failure_at = sent_at;
      s->last_failure_at = later (s->last_failure_at, sent_at);
    }
  apply_evidence (d, s, now);
}

void
drain_set_running (struct drain *d, int subject, int running, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  s->running = running;
  apply_evidence (d, s, now);
}

bool
drain_next (struct drain *d, int64_t now, struct drain_action *action)
{
  for (int i = 0; i < d->count; i++)
    {
      struct subject *s = &d->subjects[i];
      if (s->name == NULL)
        continue;
      apply_evidence (d, s, now);
      if (s->pending_count == 0)
        continue;
      *action = s->pending[0];
      remove_first_pending (s);
      return true;
    }
  return false;
}

bool
drain_accepts (const struct drain *d, int subject, int64_t now)
{
  const struct subject *s = &d->subjects[subject];
  return s->state == DRAIN_LIVE
         || (s->state == DRAIN_LEAVING && !grace_is_over (s, now));
}

enum drain_state
drain_state (const struct drain *d, int subject)
{
  return (enum drain_state)d->subjects[subject].state;
}

enum drain_reason
drain_reason (const struct drain *d, int subject)
{
  return d->subjects[subject].reason;
}
