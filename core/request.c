#include "core/request.h"

enum kind
{
  KIND_READ,
  KIND_WRITE,
  KIND_KEYED,
  KIND_COUNT
};

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
  STATE_FOUND,
  STATE_BARRED,
  STATE_DONE_NOT_RUN,
  STATE_DONE_RAN,
  STATE_DONE_UNKNOWN,
  STATE_COUNT
};

/* Events of the chart; some carry the kind of the request. */
enum input
{
  INPUT_QUEUED,
  INPUT_ASKED,
  INPUT_REFUSED,
  INPUT_SENT,
  INPUT_FENCED,
  INPUT_FAILED,
  INPUT_ANSWERED,
  INPUT_CONFIRMED,
  INPUT_RESOLVED_RAN,
  INPUT_RESOLVED_NOT_RUN,
  INPUT_EXHAUSTED,
  INPUT_EXPIRED_READ,
  INPUT_EXPIRED_WRITE,
  INPUT_EXPIRED_KEYED,
  INPUT_LOST_READ,
  INPUT_LOST_WRITE,
  INPUT_LOST_KEYED,
  INPUT_DISCARDED_READ,
  INPUT_DISCARDED_WRITE,
  INPUT_UNDECIDED_READ,
  INPUT_UNDECIDED_WRITE,
  INPUT_UNDECIDED_KEYED,
  INPUT_COUNT
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

static const char *const input_names[INPUT_COUNT + 1] = {
  [INPUT_QUEUED] = "queued",
  [INPUT_ASKED] = "asked",
  [INPUT_REFUSED] = "refused",
  [INPUT_SENT] = "sent",
  [INPUT_FENCED] = "fenced",
  [INPUT_FAILED] = "failed",
  [INPUT_ANSWERED] = "answered",
  [INPUT_CONFIRMED] = "confirmed",
  [INPUT_RESOLVED_RAN] = "resolved_ran",
  [INPUT_RESOLVED_NOT_RUN] = "resolved_not_run",
  [INPUT_EXHAUSTED] = "exhausted",
  [INPUT_EXPIRED_READ] = "expired_read",
  [INPUT_EXPIRED_WRITE] = "expired_write",
  [INPUT_EXPIRED_KEYED] = "expired_keyed",
  [INPUT_LOST_READ] = "lost_read",
  [INPUT_LOST_WRITE] = "lost_write",
  [INPUT_LOST_KEYED] = "lost_keyed",
  [INPUT_DISCARDED_READ] = "discarded_read",
  [INPUT_DISCARDED_WRITE] = "discarded_write",
  [INPUT_UNDECIDED_READ] = "undecided_read",
  [INPUT_UNDECIDED_WRITE] = "undecided_write",
  [INPUT_UNDECIDED_KEYED] = "undecided_keyed",
};

/* In the order of enum request_step. */
static const char *const step_names[]
    = { "none", "send", "confirm", "resolve", "reply", NULL };

static const struct chart_vocabulary vocabulary
    = { "request", state_names, input_names, step_names };

/* INPUT_COUNT: the event has no meaning for this kind of request. */
static const enum input inputs[REQUEST_EVENT_COUNT][KIND_COUNT] = {
  [REQUEST_QUEUED] = { INPUT_QUEUED, INPUT_QUEUED, INPUT_QUEUED },
  [REQUEST_REFUSED] = { INPUT_REFUSED, INPUT_REFUSED, INPUT_REFUSED },
  [REQUEST_EXPIRED]
  = { INPUT_EXPIRED_READ, INPUT_EXPIRED_WRITE, INPUT_EXPIRED_KEYED },
  [REQUEST_SENT] = { INPUT_SENT, INPUT_SENT, INPUT_SENT },
  [REQUEST_FENCED] = { INPUT_FENCED, INPUT_FENCED, INPUT_FENCED },
  [REQUEST_FAILED] = { INPUT_FAILED, INPUT_FAILED, INPUT_FAILED },
  [REQUEST_ANSWERED] = { INPUT_ANSWERED, INPUT_ANSWERED, INPUT_ANSWERED },
  [REQUEST_LOST] = { INPUT_LOST_READ, INPUT_LOST_WRITE, INPUT_LOST_KEYED },
  [REQUEST_CONFIRMED] = { INPUT_CONFIRMED, INPUT_CONFIRMED, INPUT_CONFIRMED },
  [REQUEST_DISCARDED]
  = { INPUT_DISCARDED_READ, INPUT_DISCARDED_WRITE, INPUT_DISCARDED_WRITE },
  [REQUEST_UNDECIDED]
  = { INPUT_UNDECIDED_READ, INPUT_UNDECIDED_WRITE, INPUT_UNDECIDED_KEYED },
  [REQUEST_RESOLVED_RAN] = { INPUT_COUNT, INPUT_COUNT, INPUT_RESOLVED_RAN },
  [REQUEST_ASKED] = { INPUT_COUNT, INPUT_COUNT, INPUT_ASKED },
  [REQUEST_RESOLVED_NOT_RUN]
  = { INPUT_COUNT, INPUT_COUNT, INPUT_RESOLVED_NOT_RUN },
};

struct request
{
  const struct chart *chart;
  enum kind kind;
  int state;
  int sends, max_sends;
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

enum request_step
request_handle (struct request *r, enum request_event event)
{
  enum input input = inputs[event][r->kind];
  int step = -1;
  if (input != INPUT_COUNT)
    step = chart_step (r->chart, &r->state, (int)input);
  if (step < 0)
    return REQUEST_STEP_NONE;
  if (event == REQUEST_SENT)
    r->sends++;
  if (step == REQUEST_STEP_SEND && r->sends >= r->max_sends)
    step = chart_step (r->chart, &r->state, INPUT_EXHAUSTED);
  return step < 0 ? REQUEST_STEP_NONE : (enum request_step)step;
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
