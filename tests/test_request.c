/** The states of a request: golden files, and a search through all short
 * sequences of events. */
#include "core/request.h"
#include "tests/script.h"

#include <stdio.h>
#include <stdlib.h>

#define CHART_PATH "charts/request.chart"
/* Largest number of events in a sequence of the search. */
#define MAX_DEPTH 6

/* In the order of enum request_event. */
static const char *const event_names[]
    = { "queued",    "refused",   "expired",   "sent",      "fenced",
        "failed",    "answered",  "lost",      "confirmed", "discarded",
        "undecided", "found_ran", "found_not", "asked",     NULL };
static const char *const action_names[]
    = { "none", "send", "confirm", "resolve", "reply", NULL };
static const char *const outcome_names[] = { "not_run", "ran", "unknown" };
static const char *const kind_names[] = { "read", "write", "keyed", NULL };

enum
{
  READ,
  WRITE,
  KEYED,
  KIND_COUNT
};

static struct request_options
kind_options (const struct chart *chart, int kind, int max_sends)
{
  return (struct request_options){ .chart = chart,
                                   .has_key = kind == KEYED,
                                   .read_only = kind == READ,
                                   .max_sends = max_sends };
}

/* What one script works on. */
struct session
{
  void *scratch;
  struct chart *chart;
  struct request *request;
};

static void
apply_line (struct script *s, void *context)
{
  struct session *session = context;
  if (strcmp (s->words[0], "request") == 0)
    {
      int kind = script_find (s, kind_names, s->words[1]);
      struct request_options options = kind_options (
          session->chart, kind, atoi (script_value (s, "max_sends", "3")));
      session->request = request_create (session->scratch, &options);
      script_print (s, "request %s", s->words[1]);
      return;
    }
  for (int i = 0; i < s->word_count; i++)
    {
      int event = script_find (s, event_names, s->words[i]);
      const char *from = request_state (session->request);
      enum request_action action
          = request_handle_event (session->request, (enum request_event)event);
      script_print (s, "  %-9s %s -> %s%s%s%s%s", s->words[i], from,
                    request_state (session->request),
                    action != REQUEST_ACTION_NONE ? ": " : "",
                    action != REQUEST_ACTION_NONE ? action_names[action] : "",
                    action == REQUEST_ACTION_REPLY ? " " : "",
                    action == REQUEST_ACTION_REPLY
                        ? outcome_names[request_outcome (session->request)]
                        : "");
    }
}

static void
run_session (const char *name)
{
  struct session session = { .scratch = talloc_new (NULL) };
  struct error err = { 0 };
  session.chart
      = chart_load (session.scratch, request_vocabulary (), CHART_PATH, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (session.chart);
  script_run (name, name, apply_line, &session);
  talloc_free (session.scratch);
}

static void
session_refusals (void)
{
  run_session ("request-refused.txt");
}

static void
session_lost (void)
{
  run_session ("request-lost.txt");
}

static void
session_asked (void)
{
  run_session ("request-asked.txt");
}

static void
session_authority (void)
{
  run_session ("request-authority.txt");
}

/* An independent model of the rules.  It derives from the events alone what
   may have happened at the endpoint, and does not use the chart. */
struct reference_model
{
  bool read_only, has_key;
  int max_sends;
  int sends;
  bool admitted; /* The request was queued or sent. */
  /* A send is under way, and it is not known whether it ran. */
  bool in_flight;
  bool may_have_run; /* An earlier send may have run. */
  /* The newest answer reports that the request ran. */
  bool answered;
  /* Result of the newest lookup or key conflict. */
  bool found_ran, found_not_run;
  bool proven_ran, proven_not_run;
  /* A lookup was requested at some time; its result is still missing. */
  bool lookup_requested, lookup_open;
  bool send_requested; /* The newest action was to send. */
};

/* Applies an event to the model, before the request gets it. */
static void
update_model (struct reference_model *w, enum request_event event)
{
  switch (event)
    {
    case REQUEST_SENT:
      w->may_have_run = w->may_have_run || w->in_flight;
      w->in_flight = true;
      w->sends++;
      w->answered = false;
      break;
    case REQUEST_FENCED:
    case REQUEST_FAILED:
      /* After a lookup was requested, the event concerns the lookup. */
      if (!w->lookup_requested && !w->answered)
        w->in_flight = false;
      break;
    case REQUEST_LOST:
    case REQUEST_EXPIRED:
      w->may_have_run = w->may_have_run || w->in_flight;
      w->in_flight = false;
      break;
    case REQUEST_ANSWERED:
      if (w->in_flight)
        {
          w->answered = w->may_have_run = true;
          w->found_ran = w->found_not_run = w->in_flight = false;
        }
      break;
    case REQUEST_RESOLVED_RAN:
    case REQUEST_RESOLVED_NOT_RUN:
      /* Only a send or a lookup that is under way can find the key. */
      if (!w->has_key || w->read_only || (!w->in_flight && !w->lookup_open))
        break;
      w->found_ran = event == REQUEST_RESOLVED_RAN;
      w->found_not_run = !w->found_ran;
      w->may_have_run = w->may_have_run || w->in_flight;
      w->answered = w->in_flight = w->lookup_open = false;
      break;
    case REQUEST_CONFIRMED:
      w->proven_ran = w->answered || w->found_ran;
      w->proven_not_run = w->found_not_run;
      break;
    case REQUEST_DISCARDED:
      /* The newer term does not contain the write: it is not in the ledger. */
      w->proven_not_run = w->answered && !w->read_only;
      w->answered = w->found_ran = w->found_not_run = false;
      break;
    case REQUEST_ASKED:
      /* The earlier request may have run at any endpoint. */
      if (!w->admitted && w->has_key && !w->read_only)
        w->may_have_run = true;
      break;
    case REQUEST_UNDECIDED:
      w->answered = w->found_ran = w->found_not_run = false;
      break;
    default:
      break;
    }
  w->admitted = w->admitted || event == REQUEST_QUEUED || w->sends > 0;
}

/* Returns the rule that the action breaks, or NULL. */
static const char *
check_action_with_model (struct reference_model *w, enum request_action action,
                         enum outcome outcome)
{
  switch (action)
    {
    case REQUEST_ACTION_SEND:
      if (w->in_flight)
        return "sent while an earlier send is open";
      if (w->may_have_run && !w->read_only)
        return "a write is sent again after a send that may have run";
      if (w->sends >= w->max_sends)
        return "sent more often than max_sends";
      return NULL;
    case REQUEST_ACTION_RESOLVE:
      if (!w->has_key || w->read_only)
        return "lookup without a key";
      w->may_have_run = w->may_have_run || w->in_flight;
      w->in_flight = false;
      w->lookup_requested = w->lookup_open = true;
      return NULL;
    case REQUEST_ACTION_CONFIRM:
      if (!w->answered && !w->found_ran && !w->found_not_run)
        return "nothing to confirm";
      return NULL;
    case REQUEST_ACTION_REPLY:
      if (outcome == OUTCOME_NOT_RUN && (w->may_have_run || w->in_flight)
          && !w->proven_not_run)
        return "not_run although a send may have run";
      if (outcome == OUTCOME_RAN && !w->proven_ran)
        return "ran without a confirmed answer";
      if (outcome == OUTCOME_UNKNOWN && !w->may_have_run && !w->in_flight)
        return "unknown although no send can have run";
      return NULL;
    default:
      return NULL;
    }
}

/* A search through all sequences of events for one kind of request. */
struct search
{
  struct request_options options;
  enum request_event path[MAX_DEPTH]; /* The current sequence. */
  long sequences;
  const char *violation; /* First rule that was broken, NULL if none. */
  enum request_event violation_path[MAX_DEPTH];
  int violation_length;
};

/* The daemon sends a request at first or after the action "send"; it does not
   send a request that it only looks up. */
static bool
event_is_possible (const struct reference_model *w, enum request_event event)
{
  return event != REQUEST_SENT || w->send_requested
         || (w->sends == 0 && !w->lookup_requested);
}

/* Whether two deadlines end the request: the first may start a lookup, the
   second ends the lookup. */
static bool
ends_by_its_deadline (struct request *r)
{
  for (int i = 0; i < 2 && !request_is_done (r); i++)
    request_handle_event (r, REQUEST_EXPIRED);
  return request_is_done (r);
}

/* Applies the first events of the current sequence to a new request and to the
   model, up to an event that is not possible.
   @param done set to whether the request reached a final state.
   @return the first rule that was broken, or NULL. */
static const char *
replay (const struct search *s, int length, struct reference_model *w,
        bool *done)
{
  struct request *r = request_create (NULL, &s->options);
  const char *violation = NULL;
  *w = (struct reference_model){ .read_only = s->options.read_only,
                                 .has_key = s->options.has_key,
                                 .max_sends = s->options.max_sends };
  for (int i = 0; i < length && violation == NULL; i++)
    {
      if (!event_is_possible (w, s->path[i]))
        break;
      bool was_done = request_is_done (r);
      update_model (w, s->path[i]);
      enum request_action action = request_handle_event (r, s->path[i]);
      if (action != REQUEST_ACTION_NONE)
        w->send_requested = action == REQUEST_ACTION_SEND;
      if (s->path[i] == REQUEST_SENT)
        w->send_requested = false;
      violation
          = was_done && action != REQUEST_ACTION_NONE
                ? "an action after the reply"
                : check_action_with_model (w, action, request_outcome (r));
    }
  *done = request_is_done (r);
  if (violation == NULL && !ends_by_its_deadline (r))
    violation = "no reply after two deadlines";
  talloc_free (r);
  return violation;
}

/* Tries every sequence of events up to MAX_DEPTH; after the reply it tries one
   more event. */
static void
search_from (struct search *s, int length, bool was_done)
{
  struct reference_model w;
  bool done;
  for (int e = 0; e < REQUEST_EVENT_COUNT && s->violation == NULL; e++)
    {
      s->path[length] = (enum request_event)e;
      s->sequences++;
      const char *violation = replay (s, length + 1, &w, &done);
      if (violation != NULL)
        {
          s->violation = violation;
          s->violation_length = length + 1;
          memcpy (s->violation_path, s->path, sizeof s->path);
        }
      else if (!was_done && length + 1 < MAX_DEPTH)
        search_from (s, length + 1, done);
    }
}

static struct search
search_all (const struct chart *chart, int kind, int max_sends)
{
  struct search s = { .options = kind_options (chart, kind, max_sends) };
  search_from (&s, 0, false);
  return s;
}

static void
print_violation (const struct search *s)
{
  printf ("%s:", s->violation);
  for (int i = 0; i < s->violation_length; i++)
    printf (" %s", event_names[s->violation_path[i]]);
  printf ("\n");
}

/* Guards against a wrong outcome (P7) and a write that runs twice (P8), for
   every order of events, possible or not. */
static void
no_sequence_breaks_a_rule (void)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct chart *chart
      = chart_load (scratch, request_vocabulary (), CHART_PATH, &err);
  long sequences = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (chart);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    for (int max_sends = 1; max_sends <= 2; max_sends++)
      {
        struct search s = search_all (chart, kind, max_sends);
        sequences += s.sequences;
        CU_ASSERT_PTR_NULL (s.violation);
        if (s.violation != NULL)
          print_violation (&s);
      }
  printf ("%ld sequences of up to %d events ", sequences, MAX_DEPTH);
  talloc_free (scratch);
}

/* Parses the chart with one line replaced. */
static struct chart *
load_changed_chart (void *parent, const char *from, const char *to)
{
  struct error err = { 0 };
  char *text = script_read_file (parent, CHART_PATH);
  char *at = strstr (text, from);
  CU_ASSERT_PTR_NOT_NULL_FATAL (at);
  char *changed = talloc_asprintf (parent, "%.*s%s%s", (int)(at - text), text,
                                   to, at + strlen (from));
  struct chart *chart = chart_parse (parent, request_vocabulary (), CHART_PATH,
                                     bstr_from (changed), &err);
  if (chart == NULL)
    printf ("%s\n", err.text);
  return chart;
}

/* Guards against a property test that no fault can fail: with each rule of the
   chart changed, a violation must be found. */
static void
each_rule_of_the_chart_is_needed (void)
{
  static const struct
  {
    int kind;
    const char *from, *to;
  } changes[] = {
    { WRITE, "\nrunning lost_write -> done_unknown reply",
      "\nrunning lost_write -> sending send" },
    { WRITE, "\nrunning lost_write -> done_unknown reply",
      "\nrunning lost_write -> done_not_run reply" },
    { KEYED, "\nrunning lost_keyed -> resolving resolve",
      "\nrunning lost_keyed -> sending send" },
    { KEYED, "\nrunning lost_keyed -> resolving resolve",
      "\nrunning lost_keyed -> done_not_run reply" },
    { WRITE, "\nrunning expired_write -> done_unknown reply",
      "\nrunning expired_write -> done_not_run reply" },
    { KEYED, "\nrunning expired_keyed -> resolving resolve",
      "\nrunning expired_keyed -> done_not_run reply" },
    { READ, "\nrunning expired_read -> done_unknown reply",
      "\nrunning expired_read -> done_not_run reply" },
    { READ, "\nresending expired_read -> done_unknown reply",
      "\nresending expired_read -> done_not_run reply" },
    { READ, "\nresending exhausted -> done_unknown reply",
      "\nresending exhausted -> done_not_run reply" },
    { READ, "\nrerunning fenced -> resending send",
      "\nrerunning fenced -> sending send" },
    { READ, "\nrerunning failed -> done_unknown reply",
      "\nrerunning failed -> done_not_run reply" },
    { WRITE, "\nrunning answered -> confirming confirm",
      "\nrunning answered -> done_ran reply" },
    { WRITE, "\nconfirming undecided_write -> done_unknown reply",
      "\nconfirming undecided_write -> sending send" },
    { WRITE, "\nconfirming undecided_write -> done_unknown reply",
      "\nconfirming undecided_write -> done_not_run reply" },
    { KEYED, "\nconfirming undecided_keyed -> resolving resolve",
      "\nconfirming undecided_keyed -> sending send" },
    { WRITE, "\nconfirming expired_write -> done_unknown reply",
      "\nconfirming expired_write -> done_not_run reply" },
    { KEYED, "\nconfirming expired_keyed -> done_unknown reply",
      "\nconfirming expired_keyed -> confirming" },
    { KEYED, "\nnew asked -> resolving resolve",
      "\nnew asked -> done_not_run reply" },
    { KEYED, "\nresolving lost_keyed -> resolving resolve",
      "\nresolving lost_keyed -> sending send" },
    { KEYED, "\nresolving expired_keyed -> done_unknown reply",
      "\nresolving expired_keyed -> done_not_run reply" },
    { KEYED, "\nresolving resolved_not_run -> barred confirm",
      "\nresolving resolved_not_run -> sending send" },
    { KEYED, "\nresolving resolved_not_run -> barred confirm",
      "\nresolving resolved_not_run -> done_not_run reply" },
    { KEYED, "\nresolving resolved_ran -> found confirm",
      "\nresolving resolved_ran -> done_ran reply" },
    { KEYED, "\nfound undecided_keyed -> resolving resolve",
      "\nfound undecided_keyed -> done_ran reply" },
    { KEYED, "\nbarred undecided_keyed -> resolving resolve",
      "\nbarred undecided_keyed -> done_not_run reply" },
    { KEYED, "\nbarred discarded_write -> resolving resolve",
      "\nbarred discarded_write -> done_not_run reply" },
    { KEYED, "\nbarred expired_keyed -> done_unknown reply",
      "\nbarred expired_keyed -> done_not_run reply" },
    { KEYED, "\nfound discarded_write -> resolving resolve",
      "\nfound discarded_write -> sending send" },
  };
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      void *scratch = talloc_new (NULL);
      struct chart *chart
          = load_changed_chart (scratch, changes[i].from, changes[i].to);
      CU_ASSERT_PTR_NOT_NULL_FATAL (chart);
      struct search s = search_all (chart, changes[i].kind, 2);
      CU_ASSERT_PTR_NOT_NULL (s.violation);
      if (s.violation == NULL)
        printf ("no violation found:%s\n", changes[i].to);
      talloc_free (scratch);
    }
}

/* Guards against a chart that the daemon rejects at start. */
static void
the_chart_is_valid (void)
{
  struct error err = { 0 };
  struct chart *chart
      = chart_load (NULL, request_vocabulary (), CHART_PATH, &err);
  CU_ASSERT_PTR_NOT_NULL (chart);
  if (chart == NULL)
    printf ("%s\n", err.text);
  talloc_free (chart);
}

static const struct test_case cases[] = {
  { "the_chart_is_valid", the_chart_is_valid },
  { "session_refusals", session_refusals },
  { "session_lost", session_lost },
  { "session_authority", session_authority },
  { "session_asked", session_asked },
  { "no_sequence_breaks_a_rule", no_sequence_breaks_a_rule },
  { "each_rule_of_the_chart_is_needed", each_rule_of_the_chart_is_needed },
  { NULL, NULL },
};
TEST_SUITE (request, cases)
