#include "core/request.h"
#include "tests/script.h"

#include <stdio.h>
#include <stdlib.h>

#define CHART_PATH "charts/request.chart"
#define MAX_DEPTH 6

static const char *const event_names[]
    = { "queued",    "refused",   "expired",   "sent",      "fenced",
        "failed",    "answered",  "lost",      "confirmed", "discarded",
        "undecided", "found_ran", "found_not", "asked",     NULL };
static const char *const step_names[]
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

struct session
{
  void *scratch;
  struct chart *chart;
  struct request *request;
};

static void
play_line (struct script *s, void *context)
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
      enum request_step step
          = request_handle (session->request, (enum request_event)event);
      script_print (s, "  %-9s %s -> %s%s%s%s%s", s->words[i], from,
                    request_state (session->request),
                    step != REQUEST_STEP_NONE ? ": " : "",
                    step != REQUEST_STEP_NONE ? step_names[step] : "",
                    step == REQUEST_STEP_REPLY ? " " : "",
                    step == REQUEST_STEP_REPLY
                        ? outcome_names[request_outcome (session->request)]
                        : "");
    }
}

static void
play (const char *name)
{
  struct session session = { .scratch = talloc_new (NULL) };
  struct error err = { 0 };
  session.chart
      = chart_load (session.scratch, request_vocabulary (), CHART_PATH, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (session.chart);
  script_run (name, name, play_line, &session);
  talloc_free (session.scratch);
}

static void
session_refusals (void)
{
  play ("request-refused.txt");
}

static void
session_lost (void)
{
  play ("request-lost.txt");
}

static void
session_asked (void)
{
  play ("request-asked.txt");
}

static void
session_authority (void)
{
  play ("request-authority.txt");
}

/* An independent statement of the rules.  It follows what was physically
   possible, from the events alone, and knows nothing of the chart. */
struct witness
{
  bool read_only, has_key;
  int max_sends;
  int sends;
  bool admitted;
  bool in_flight;                /* A send whose fate is open. */
  bool may_have_run;             /* An earlier send that may have run. */
  bool answered;                 /* The newest answer says that it ran. */
  bool found_ran, found_not_run; /* The newest lookup, or key conflict. */
  bool proved_ran, proved_not_run;
  bool asked_lookup, lookup_open;
  bool send_step; /* The newest step was to send. */
};

static void
witness_event (struct witness *w, enum request_event event)
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
      /* After a lookup was asked for, the event concerns the lookup. */
      if (!w->asked_lookup && !w->answered)
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
      /* Only an open send or an open lookup can meet the key. */
      if (!w->has_key || w->read_only || (!w->in_flight && !w->lookup_open))
        break;
      w->found_ran = event == REQUEST_RESOLVED_RAN;
      w->found_not_run = !w->found_ran;
      w->may_have_run = w->may_have_run || w->in_flight;
      w->answered = w->in_flight = w->lookup_open = false;
      break;
    case REQUEST_CONFIRMED:
      w->proved_ran = w->answered || w->found_ran;
      w->proved_not_run = w->found_not_run;
      break;
    case REQUEST_DISCARDED:
      /* The newer term does not hold it: it is not in the ledger. */
      w->proved_not_run = w->answered && !w->read_only;
      w->answered = w->found_ran = w->found_not_run = false;
      break;
    case REQUEST_ASKED:
      /* The request in question may have run anywhere. */
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

/* Returns the rule that the step breaks, or NULL. */
static const char *
witness_step (struct witness *w, enum request_step step, enum outcome outcome)
{
  switch (step)
    {
    case REQUEST_STEP_SEND:
      if (w->in_flight)
        return "sent while an earlier send is open";
      if (w->may_have_run && !w->read_only)
        return "a write is sent again after a send that may have run";
      if (w->sends >= w->max_sends)
        return "sent more often than max_sends";
      return NULL;
    case REQUEST_STEP_RESOLVE:
      if (!w->has_key || w->read_only)
        return "lookup without a key";
      w->may_have_run = w->may_have_run || w->in_flight;
      w->in_flight = false;
      w->asked_lookup = w->lookup_open = true;
      return NULL;
    case REQUEST_STEP_CONFIRM:
      if (!w->answered && !w->found_ran && !w->found_not_run)
        return "nothing to confirm";
      return NULL;
    case REQUEST_STEP_REPLY:
      if (outcome == OUTCOME_NOT_RUN && (w->may_have_run || w->in_flight)
          && !w->proved_not_run)
        return "not_run although a send may have run";
      if (outcome == OUTCOME_RAN && !w->proved_ran)
        return "ran without a confirmed answer";
      if (outcome == OUTCOME_UNKNOWN && !w->may_have_run && !w->in_flight)
        return "unknown although no send can have run";
      return NULL;
    default:
      return NULL;
    }
}

struct search
{
  struct request_options options;
  enum request_event path[MAX_DEPTH];
  long sequences;
  const char *broken; /* First broken rule. */
  enum request_event broken_path[MAX_DEPTH];
  int broken_length;
};

/* A host sends only when it was told to, or first of all; it does not send a
   request that it only looks up. */
static bool
host_may (const struct witness *w, enum request_event event)
{
  return event != REQUEST_SENT || w->send_step
         || (w->sends == 0 && !w->asked_lookup);
}

/* The first deadline may start a lookup, the second ends it. */
static bool
ends_by_its_deadline (struct request *r)
{
  for (int i = 0; i < 2 && !request_is_done (r); i++)
    request_handle (r, REQUEST_EXPIRED);
  return request_is_done (r);
}

static const char *
replay (const struct search *s, int length, struct witness *w, bool *done)
{
  struct request *r = request_create (NULL, &s->options);
  const char *broken = NULL;
  *w = (struct witness){ .read_only = s->options.read_only,
                         .has_key = s->options.has_key,
                         .max_sends = s->options.max_sends };
  for (int i = 0; i < length && broken == NULL; i++)
    {
      if (!host_may (w, s->path[i]))
        break;
      bool was_done = request_is_done (r);
      witness_event (w, s->path[i]);
      enum request_step step = request_handle (r, s->path[i]);
      if (step != REQUEST_STEP_NONE)
        w->send_step = step == REQUEST_STEP_SEND;
      if (s->path[i] == REQUEST_SENT)
        w->send_step = false;
      broken = was_done && step != REQUEST_STEP_NONE
                   ? "a step after the reply"
                   : witness_step (w, step, request_outcome (r));
    }
  *done = request_is_done (r);
  if (broken == NULL && !ends_by_its_deadline (r))
    broken = "no reply after two deadlines";
  talloc_free (r);
  return broken;
}

/* Every sequence of events up to MAX_DEPTH, cut one event after the reply. */
static void
search_from (struct search *s, int length, bool was_done)
{
  struct witness w;
  bool done;
  for (int e = 0; e < REQUEST_EVENT_COUNT && s->broken == NULL; e++)
    {
      s->path[length] = (enum request_event)e;
      s->sequences++;
      const char *broken = replay (s, length + 1, &w, &done);
      if (broken != NULL)
        {
          s->broken = broken;
          s->broken_length = length + 1;
          memcpy (s->broken_path, s->path, sizeof s->path);
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
print_broken (const struct search *s)
{
  printf ("%s:", s->broken);
  for (int i = 0; i < s->broken_length; i++)
    printf (" %s", event_names[s->broken_path[i]]);
  printf ("\n");
}

/* Guards P7 and P8 against every order of events, possible or not. */
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
        CU_ASSERT_PTR_NULL (s.broken);
        if (s.broken != NULL)
          print_broken (&s);
      }
  printf ("%ld sequences of up to %d events ", sequences, MAX_DEPTH);
  talloc_free (scratch);
}

/* The chart with one line replaced. */
static struct chart *
load_changed (void *parent, const char *from, const char *to)
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

/* Guards against a property test that no fault can fail: each rule of the
   chart is switched off and a violation has to be found. */
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
          = load_changed (scratch, changes[i].from, changes[i].to);
      CU_ASSERT_PTR_NOT_NULL_FATAL (chart);
      struct search s = search_all (chart, changes[i].kind, 2);
      CU_ASSERT_PTR_NOT_NULL (s.broken);
      if (s.broken == NULL)
        printf ("no violation found:%s\n", changes[i].to);
      talloc_free (scratch);
    }
}

/* Guards against a chart that the daemon refuses at start. */
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
