#include "core/drain.h"

/* In the order of enum drain_state. */
static const char *const state_names[]
    = { "live", "leaving", "drained", "gone", NULL };

enum input
{
  INPUT_MARK,
  INPUT_CLEAR,
  INPUT_IDLE,
  INPUT_BUSY,
  INPUT_VANISH,
  INPUT_RETURN,
  INPUT_RETURN_LEAVING,
  INPUT_COUNT
};

static const char *const input_names[INPUT_COUNT + 1] = {
  [INPUT_MARK] = "mark",
  [INPUT_CLEAR] = "clear",
  [INPUT_IDLE] = "idle",
  [INPUT_BUSY] = "busy",
  [INPUT_VANISH] = "vanish",
  [INPUT_RETURN] = "return",
  [INPUT_RETURN_LEAVING] = "return_leaving",
};

/* In the order of enum drain_step. */
static const char *const step_names[]
    = { "none", "stop", "report", "drop", "resume", NULL };

static const struct chart_vocabulary vocabulary
    = { "drain", state_names, input_names, step_names };

/* An unused time: no evidence of that kind. */
#define NEVER INT64_MIN

/* Steps that the host has not taken yet; a state has at most two in a row
   that still matter. */
#define MAX_PENDING 4

/* One event causes at most return_leaving, idle and vanish; the bound stops a
   chart whose states chase each other. */
#define MAX_STEPS 4

struct subject
{
  char *name; /* NULL if the index is free. */
  int64_t grace;
  int state;
  enum drain_reason reason;
  uint64_t config_version;
  enum drain_mark config_mark;
  int64_t list_as_of;
  enum drain_mark list_mark;
  int64_t stated_at, started;
  bool stated_leaving;
  int64_t answered_at; /* Send time of the newest direct evidence. */
  /* Send times of the first and the newest failed poll without an answer
     since, NEVER if there is none. */
  int64_t failed_first, failed_last;
  int64_t leaving_since;
  int running;
  struct drain_action pending[MAX_PENDING];
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

static int
free_index (struct drain *d)
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
  index = free_index (d);
  d->subjects[index] = (struct subject){
    .name = talloc_strdup (d, name),
    .grace = grace_us < DRAIN_MAX_GRACE_US ? grace_us : DRAIN_MAX_GRACE_US,
    .state = chart_initial (d->options.chart),
    .list_as_of = NEVER,
    .stated_at = NEVER,
    .started = NEVER,
    .answered_at = NEVER,
    .failed_first = NEVER,
    .failed_last = NEVER,
  };
  return index;
}

void
drain_remove (struct drain *d, int subject)
{
  TALLOC_FREE (d->subjects[subject].name);
}

/* The newest time from which the list's entry is certain. */
static int64_t
list_time (const struct drain *d, const struct subject *s)
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
  return d->options.trust_list || list_time (d, s) > s->answered_at;
}

/* An answer to a poll shows that it is there, not that it stays, so only a
   newer process refutes a leaving mark of the list. */
static bool
list_says_leaving (const struct drain *d, const struct subject *s)
{
  if (s->list_as_of == NEVER || s->list_mark == DRAIN_MARK_LIVE)
    return false;
  if (s->list_mark == DRAIN_MARK_ABSENT)
    return list_says_gone (d, s);
  return d->options.trust_list || list_time (d, s) >= s->started;
}

static enum drain_reason
leaving_reason (const struct drain *d, const struct subject *s)
{
  if (s->config_mark != DRAIN_MARK_LIVE)
    return DRAIN_REASON_CONFIG;
  if (s->stated_leaving)
    return DRAIN_REASON_SELF;
  return list_says_leaving (d, s) ? DRAIN_REASON_LIST : DRAIN_REASON_NONE;
}

/* Between polls that were sent, not by the time now: a daemon that was paused
   has no evidence for the time of its pause. */
static enum drain_reason
gone_reason (const struct drain *d, const struct subject *s)
{
  if (s->failed_first != NEVER
      && s->failed_last - s->failed_first >= d->options.silent_us)
    return DRAIN_REASON_SILENT;
  if (list_says_gone (d, s))
    return DRAIN_REASON_LIST;
  if (s->config_mark == DRAIN_MARK_ABSENT
      && (s->state == DRAIN_DRAINED || s->state == DRAIN_GONE))
    return DRAIN_REASON_CONFIG;
  return DRAIN_REASON_NONE;
}

static bool
grace_is_over (const struct subject *s, int64_t now)
{
  return now - s->leaving_since >= s->grace;
}

/* The event that the evidence calls for in the present state, or
   INPUT_COUNT. */
static enum input
next_input (const struct drain *d, const struct subject *s, int64_t now)
{
  bool gone = gone_reason (d, s) != DRAIN_REASON_NONE;
  bool leaving = leaving_reason (d, s) != DRAIN_REASON_NONE;
  if (s->state == DRAIN_GONE)
    return gone ? INPUT_COUNT : leaving ? INPUT_RETURN_LEAVING : INPUT_RETURN;
  if (gone)
    return INPUT_VANISH;
  if (s->state == DRAIN_LIVE)
    return leaving ? INPUT_MARK : INPUT_COUNT;
  if (!leaving)
    return INPUT_CLEAR;
  if (s->state == DRAIN_LEAVING && s->running == 0 && grace_is_over (s, now))
    return INPUT_IDLE;
  if (s->state == DRAIN_DRAINED && s->running > 0)
    return INPUT_BUSY;
  return INPUT_COUNT;
}

static void
drop_first_pending (struct subject *s)
{
  s->pending_count--;
  memmove (s->pending, s->pending + 1,
           (size_t)s->pending_count * sizeof s->pending[0]);
}

static void
add_pending (struct drain *d, struct subject *s, enum drain_step step)
{
  if (s->pending_count == MAX_PENDING)
    drop_first_pending (s);
  s->pending[s->pending_count++]
      = (struct drain_action){ step, (int)(s - d->subjects), s->reason };
}

static void
settle (struct drain *d, struct subject *s, int64_t now)
{
  for (int i = 0; i < MAX_STEPS; i++)
    {
      enum input input = next_input (d, s, now);
      if (input == INPUT_COUNT)
        return;
      enum drain_reason gone = gone_reason (d, s);
      int step = chart_step (d->options.chart, &s->state, (int)input);
      if (step < 0)
        return;
      s->reason = gone != DRAIN_REASON_NONE ? gone : leaving_reason (d, s);
      if (input == INPUT_MARK || input == INPUT_RETURN_LEAVING)
        s->leaving_since = now;
      if (step != DRAIN_STEP_NONE)
        add_pending (d, s, (enum drain_step)step);
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
  settle (d, s, now);
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
  settle (d, s, now);
}

static void
note_answer (struct subject *s, int64_t at)
{
  s->answered_at = later (s->answered_at, at);
  s->failed_first = s->failed_last = NEVER;
}

void
drain_on_statement (struct drain *d, int subject, bool leaving, int64_t at,
                    int64_t started, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (started < s->started || (started == s->started && at < s->stated_at))
    return;
  s->started = started;
  s->stated_at = at;
  s->stated_leaving = leaving;
  note_answer (s, at);
  settle (d, s, now);
}

void
drain_on_poll (struct drain *d, int subject, bool answered, int64_t sent_at,
               int64_t now)
{
  struct subject *s = &d->subjects[subject];
  if (answered)
    note_answer (s, sent_at);
  else if (sent_at > s->answered_at)
    {
      if (s->failed_first == NEVER || sent_at < s->failed_first)
        s->failed_first = sent_at;
      s->failed_last = later (s->failed_last, sent_at);
    }
  settle (d, s, now);
}

void
drain_set_running (struct drain *d, int subject, int running, int64_t now)
{
  struct subject *s = &d->subjects[subject];
  s->running = running;
  settle (d, s, now);
}

bool
drain_next (struct drain *d, int64_t now, struct drain_action *action)
{
  for (int i = 0; i < d->count; i++)
    {
      struct subject *s = &d->subjects[i];
      if (s->name == NULL)
        continue;
      settle (d, s, now);
      if (s->pending_count == 0)
        continue;
      *action = s->pending[0];
      drop_first_pending (s);
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
