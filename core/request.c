#include "core/request.h"

/* Kinds of request, which the chart treats differently. */
enum request_kind
{
  KIND_READ,
  KIND_WRITE, /* Without an idempotency key. */
  KIND_KEYED, /* A write with an idempotency key. */
  KIND_COUNT
};

/* States of the chart; charts/request.chart says what they mean. */
enum state
{
  STATE_NEW,
  STATE_QUEUED,
  STATE_SENDING,
  STATE_RUNNING,
  STATE_RESENDING,
  STATE_RERUNNING,
  STATE_CONFIRMING,
  STATE_RESOLVING,
  STATE_FOUND,  /* An answer is stored under the key. */
  STATE_BARRED, /* A tombstone is stored under the key. */
  STATE_DONE_NOT_RUN,
  STATE_DONE_RAN,
  STATE_DONE_UNKNOWN,
  STATE_COUNT
};

/* Events of the chart; some are separate for each kind of request. */
enum chart_event
{
  CHART_EVENT_QUEUED,
  CHART_EVENT_ASKED,
  CHART_EVENT_REFUSED,
  CHART_EVENT_SENT,
  CHART_EVENT_FENCED,
  CHART_EVENT_FAILED,
  CHART_EVENT_ANSWERED,
  CHART_EVENT_CONFIRMED,
  CHART_EVENT_RESOLVED_RAN,
  CHART_EVENT_RESOLVED_NOT_RUN,
  CHART_EVENT_EXHAUSTED, /* No send is left of max_sends. */
  CHART_EVENT_EXPIRED_READ,
  CHART_EVENT_EXPIRED_WRITE,
  CHART_EVENT_EXPIRED_KEYED,
  CHART_EVENT_LOST_READ,
  CHART_EVENT_LOST_WRITE,
  CHART_EVENT_LOST_KEYED,
  CHART_EVENT_DISCARDED_READ,
  CHART_EVENT_DISCARDED_WRITE,
  CHART_EVENT_UNDECIDED_READ,
  CHART_EVENT_UNDECIDED_WRITE,
  CHART_EVENT_UNDECIDED_KEYED,
  CHART_EVENT_COUNT
};

static const char *const state_names[STATE_COUNT + 1] = {
  [STATE_NEW] = "new",
  [STATE_QUEUED] = "queued",
  [STATE_SENDING] = "sending",
  [STATE_RUNNING] = "running",
  [STATE_RESENDING] = "resending",
  [STATE_RERUNNING] = "rerunning",
  [STATE_CONFIRMING] = "confirming",
  [STATE_RESOLVING] = "resolving",
  [STATE_FOUND] = "found",
  [STATE_BARRED] = "barred",
  [STATE_DONE_NOT_RUN] = "done_not_run",
  [STATE_DONE_RAN] = "done_ran",
  [STATE_DONE_UNKNOWN] = "done_unknown",
};

static const char *const chart_event_names[CHART_EVENT_COUNT + 1] = {
  [CHART_EVENT_QUEUED] = "queued",
  [CHART_EVENT_ASKED] = "asked",
  [CHART_EVENT_REFUSED] = "refused",
  [CHART_EVENT_SENT] = "sent",
  [CHART_EVENT_FENCED] = "fenced",
  [CHART_EVENT_FAILED] = "failed",
  [CHART_EVENT_ANSWERED] = "answered",
  [CHART_EVENT_CONFIRMED] = "confirmed",
  [CHART_EVENT_RESOLVED_RAN] = "resolved_ran",
  [CHART_EVENT_RESOLVED_NOT_RUN] = "resolved_not_run",
  [CHART_EVENT_EXHAUSTED] = "exhausted",
  [CHART_EVENT_EXPIRED_READ] = "expired_read",
  [CHART_EVENT_EXPIRED_WRITE] = "expired_write",
  [CHART_EVENT_EXPIRED_KEYED] = "expired_keyed",
  [CHART_EVENT_LOST_READ] = "lost_read",
  [CHART_EVENT_LOST_WRITE] = "lost_write",
  [CHART_EVENT_LOST_KEYED] = "lost_keyed",
  [CHART_EVENT_DISCARDED_READ] = "discarded_read",
  [CHART_EVENT_DISCARDED_WRITE] = "discarded_write",
  [CHART_EVENT_UNDECIDED_READ] = "undecided_read",
  [CHART_EVENT_UNDECIDED_WRITE] = "undecided_write",
  [CHART_EVENT_UNDECIDED_KEYED] = "undecided_keyed",
};

/* In the order of enum request_action. */
static const char *const action_names[]
    = { "none", "send", "confirm", "resolve", "reply", NULL };

static const struct chart_vocabulary vocabulary
    = { "request", state_names, chart_event_names, action_names };

/* Maps an event and the kind of the request to the event of the chart.
   CHART_EVENT_COUNT: the event has no meaning for this kind. */
static const enum chart_event chart_events[REQUEST_EVENT_COUNT][KIND_COUNT] = {
  [REQUEST_QUEUED]
  = { CHART_EVENT_QUEUED, CHART_EVENT_QUEUED, CHART_EVENT_QUEUED },
  [REQUEST_REFUSED]
  = { CHART_EVENT_REFUSED, CHART_EVENT_REFUSED, CHART_EVENT_REFUSED },
  [REQUEST_EXPIRED] = { CHART_EVENT_EXPIRED_READ, CHART_EVENT_EXPIRED_WRITE,
                        CHART_EVENT_EXPIRED_KEYED },
  [REQUEST_SENT] = { CHART_EVENT_SENT, CHART_EVENT_SENT, CHART_EVENT_SENT },
  [REQUEST_FENCED]
  = { CHART_EVENT_FENCED, CHART_EVENT_FENCED, CHART_EVENT_FENCED },
  [REQUEST_FAILED]
  = { CHART_EVENT_FAILED, CHART_EVENT_FAILED, CHART_EVENT_FAILED },
  [REQUEST_ANSWERED]
  = { CHART_EVENT_ANSWERED, CHART_EVENT_ANSWERED, CHART_EVENT_ANSWERED },
  [REQUEST_LOST]
  = { CHART_EVENT_LOST_READ, CHART_EVENT_LOST_WRITE, CHART_EVENT_LOST_KEYED },
  [REQUEST_CONFIRMED]
  = { CHART_EVENT_CONFIRMED, CHART_EVENT_CONFIRMED, CHART_EVENT_CONFIRMED },
  [REQUEST_DISCARDED]
  = { CHART_EVENT_DISCARDED_READ, CHART_EVENT_DISCARDED_WRITE,
      CHART_EVENT_DISCARDED_WRITE },
  [REQUEST_UNDECIDED]
  = { CHART_EVENT_UNDECIDED_READ, CHART_EVENT_UNDECIDED_WRITE,
      CHART_EVENT_UNDECIDED_KEYED },
  [REQUEST_RESOLVED_RAN]
  = { CHART_EVENT_COUNT, CHART_EVENT_COUNT, CHART_EVENT_RESOLVED_RAN },
  [REQUEST_ASKED]
  = { CHART_EVENT_COUNT, CHART_EVENT_COUNT, CHART_EVENT_ASKED },
  [REQUEST_RESOLVED_NOT_RUN]
  = { CHART_EVENT_COUNT, CHART_EVENT_COUNT, CHART_EVENT_RESOLVED_NOT_RUN },
};

struct request
{
  const struct chart *chart;
  enum request_kind kind;
  int state;
  int sends; /* Number of REQUEST_SENT events that were applied. */
  int max_sends;
};

const struct chart_vocabulary *
request_vocabulary (void)
{
  return &vocabulary;
}

struct request *
request_create (void *parent, const struct request_options *options)
{
  struct request *r = talloc_zero (parent, struct request);
  r->chart = options->chart;
  r->kind = options->read_only ? KIND_READ
            : options->has_key ? KIND_KEYED
                               : KIND_WRITE;
  r->state = chart_initial (r->chart);
  r->max_sends = options->max_sends;
  return r;
}

enum request_action
request_handle_event (struct request *r, enum request_event event)
{
  enum chart_event chart_event = chart_events[event][r->kind];
  int action = -1;
  if (chart_event != CHART_EVENT_COUNT)
    action = chart_apply_event (r->chart, &r->state, (int)chart_event);
  if (action < 0)
    return REQUEST_ACTION_NONE;
  if (event == REQUEST_SENT)
    r->sends++;
  if (action == REQUEST_ACTION_SEND && r->sends >= r->max_sends)
    action = chart_apply_event (r->chart, &r->state, CHART_EVENT_EXHAUSTED);
  return action < 0 ? REQUEST_ACTION_NONE : (enum request_action)action;
}

enum outcome
request_outcome (const struct request *r)
{
  switch (r->state)
    {
    case STATE_DONE_NOT_RUN:
      return OUTCOME_NOT_RUN;
    case STATE_DONE_RAN:
      return OUTCOME_RAN;
    default:
      return OUTCOME_UNKNOWN;
    }
}

bool
request_is_done (const struct request *r)
{
  return chart_is_final (r->chart, r->state);
}

const char *
request_state (const struct request *r)
{
  return state_names[r->state];
}
