#include "core/drain.h"
#include "tests/script.h"

#include <stdio.h>
#include <stdlib.h>

#define CHART_PATH "charts/drain.chart"
#define MS INT64_C (1000)
#define SILENT (3000 * MS)
#define LAG (60000 * MS)

static const char *const state_names[]
    = { "live", "leaving", "drained", "gone" };
static const char *const mark_names[] = { "live", "leaving", "absent", NULL };
static const char *const step_names[]
    = { "none", "stop", "report", "drop", "resume" };
static const char *const reason_names[]
    = { "-", "config", "list", "self", "silent" };

struct session
{
  void *scratch;
  struct drain *drain;
  int64_t now;
  int cut;     /* Running requests whose connections were closed. */
  int refused; /* Checks that expected new work to be accepted. */
  int wrong;   /* Checks with another result than the session expects. */
  int running[8];
};

static struct session
session_create (const char *from, const char *to, bool trust_list)
{
  struct session s = { .scratch = talloc_new (NULL) };
  struct error err = { 0 };
  char *text = script_read_file (s.scratch, CHART_PATH);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  if (from != NULL)
    {
      char *at = strstr (text, from);
      CU_ASSERT_PTR_NOT_NULL_FATAL (at);
      text = talloc_asprintf (s.scratch, "%.*s%s%s", (int)(at - text), text,
                              to, at + strlen (from));
    }
  struct chart *chart = chart_parse (s.scratch, drain_vocabulary (),
                                     CHART_PATH, bstr_from (text), &err);
  if (chart == NULL)
    printf ("%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (chart);
  struct drain_options options = { .chart = chart,
                                   .silent_us = SILENT,
                                   .list_lag_us = LAG,
                                   .trust_list = trust_list };
  s.drain = drain_create (s.scratch, &options);
  return s;
}

static void
take_actions (struct script *t, struct session *s)
{
  struct drain_action action;
  while (drain_next (s->drain, s->now, &action))
    {
      script_print (t, "    %s because of %s", step_names[action.step],
                    reason_names[action.reason]);
      if (action.step == DRAIN_STEP_DROP)
        {
          s->cut += s->running[action.subject];
          s->running[action.subject] = 0;
        }
    }
}

static int64_t
time_value (const struct script *t, const char *name, int64_t other)
{
  const char *text = script_value (t, name, NULL);
  return text != NULL ? atoll (text) * MS : other;
}

/* "TIME_MS SUBJECT EVENT ARGUMENT [NAME VALUE]..." */
static void
play_line (struct script *t, void *context)
{
  static const char *const events[]
      = { "add", "config", "list",  "says",   "poll",
          "run", "time",   "takes", "remove", NULL };
  struct session *s = context;
  s->now = atoll (t->words[0]) * MS;
  int event = script_find (t, events, t->words[2]);
  const char *argument = t->word_count > 3 ? t->words[3] : "";
  int i = drain_find (s->drain, t->words[1]);
  int64_t at = time_value (t, "at", s->now);
  char *line = talloc_strdup (s->scratch, "");
  for (int w = 0; w < t->word_count; w++)
    line
        = talloc_asprintf_append (line, "%s%s", w > 0 ? " " : "", t->words[w]);
  switch (event)
    {
    case 0:
      i = drain_add (s->drain, t->words[1], time_value (t, "grace", 0));
      break;
    case 1:
      drain_on_config (
          s->drain, i, (uint64_t)atoll (script_value (t, "version", "1")),
          (enum drain_mark)script_find (t, mark_names, argument), s->now);
      break;
    case 2:
      drain_on_list (s->drain, i,
                     (enum drain_mark)script_find (t, mark_names, argument),
                     at, s->now);
      break;
    case 3:
      drain_on_statement (s->drain, i, strcmp (argument, "leaving") == 0, at,
                          time_value (t, "started", 0), s->now);
      break;
    case 4:
      drain_on_poll (s->drain, i, strcmp (argument, "answered") == 0, at,
                     s->now);
      break;
    case 5:
      s->running[i] = atoi (argument);
      drain_set_running (s->drain, i, s->running[i], s->now);
      break;
    case 7:
      s->wrong += drain_accepts (s->drain, i, s->now)
                  != (strcmp (argument, "work") == 0);
      break;
    case 8:
      drain_remove (s->drain, i);
      script_print (t, "%s", line);
      return;
    default:
      break;
    }
  script_print (t, "%-42s %s%s", line, state_names[drain_state (s->drain, i)],
                drain_accepts (s->drain, i, s->now) ? ", takes work" : "");
  take_actions (t, s);
}

static void
play (const char *name)
{
  struct session s = session_create (NULL, NULL, false);
  script_run (name, name, play_line, &s);
  CU_ASSERT_EQUAL (s.wrong, 0);
  CU_ASSERT_EQUAL (s.cut, 0);
  talloc_free (s.scratch);
}

static void
session_silent (void)
{
  struct session s = session_create (NULL, NULL, false);
  script_run ("drain-silent.txt", "drain-silent.txt", play_line, &s);
  CU_ASSERT_EQUAL (s.wrong, 0);
  talloc_free (s.scratch);
}

/* Guards against an entry of the list that takes an endpoint out although
   it answered later. */
static void
an_old_list_entry_does_not_win (void)
{
  play ("drain-list.txt");
  struct session s = session_create (NULL, NULL, true);
  script_run ("drain-list.txt", "drain-list-trusted.txt", play_line, &s);
  CU_ASSERT (s.wrong > 0);
  talloc_free (s.scratch);
}

/* Guards against a planned stop that cuts running requests. */
static void
running_requests_finish (void)
{
  play ("drain-leaving.txt");
  struct session s = session_create (
      "\nlive mark -> leaving stop",
      "\nlive mark -> gone drop\nlive idle -> leaving", false);
  script_run ("drain-leaving.txt", "drain-leaving-cut.txt", play_line, &s);
  CU_ASSERT (s.cut > 0);
  talloc_free (s.scratch);
}

/* Guards against steps that pile up for a host that is slow to take them. */
static void
only_the_newest_steps_are_kept (void)
{
  struct session s = session_create (NULL, NULL, false);
  struct drain_action action = { 0 };
  int count = 0;
  drain_add (s.drain, "db-1", 0);
  for (int i = 1; i <= 20; i++)
    drain_on_config (s.drain, 0, (uint64_t)i,
                     i % 2 == 1 ? DRAIN_MARK_LEAVING : DRAIN_MARK_LIVE, i);
  while (drain_next (s.drain, 30, &action))
    count++;
  CU_ASSERT (count <= 4);
  CU_ASSERT_EQUAL (action.step, DRAIN_STEP_RESUME);
  CU_ASSERT (drain_accepts (s.drain, 0, 30));
  talloc_free (s.scratch);
}

/* An independent statement of the rules over the whole history. */

#define HISTORY 64

struct evidence
{
  enum
  {
    EVIDENCE_CONFIG,
    EVIDENCE_LIST,
    EVIDENCE_STATEMENT,
    EVIDENCE_ANSWER,
    EVIDENCE_FAILURE
  } kind;
  enum drain_mark mark;
  int64_t order; /* Version, as_of, at or sent_at. */
  int64_t started;
  int64_t received;
};

/* The newest evidence of a kind; of equals, the one received last. */
static const struct evidence *
newest (const struct evidence *all, int count, int kind)
{
  const struct evidence *found = NULL;
  for (int i = 0; i < count; i++)
    if ((int)all[i].kind == kind
        && (found == NULL || all[i].started > found->started
            || (all[i].started == found->started
                && all[i].order >= found->order)))
      found = &all[i];
  return found;
}

static bool
must_refuse (const struct evidence *all, int count)
{
  const struct evidence *config = newest (all, count, EVIDENCE_CONFIG);
  const struct evidence *said = newest (all, count, EVIDENCE_STATEMENT);
  const struct evidence *list = newest (all, count, EVIDENCE_LIST);
  return (config != NULL && config->mark != DRAIN_MARK_LIVE)
         || (said != NULL && said->mark == DRAIN_MARK_LEAVING)
         || (list != NULL && list->mark == DRAIN_MARK_LEAVING
             && (said == NULL || list->order - LAG >= said->started));
}

/* Nothing marks it and the last thing known of it is an answer. */
static bool
must_accept (const struct evidence *all, int count)
{
  const struct evidence *list = newest (all, count, EVIDENCE_LIST);
  const struct evidence *said = newest (all, count, EVIDENCE_STATEMENT);
  int64_t direct = said != NULL ? said->order : -1;
  bool answered_last = false;
  if (must_refuse (all, count))
    return false;
  for (int i = 0; i < count; i++)
    {
      if (all[i].kind == EVIDENCE_ANSWER)
        direct = all[i].order > direct ? all[i].order : direct;
      if (all[i].kind == EVIDENCE_ANSWER || all[i].kind == EVIDENCE_FAILURE)
        answered_last = all[i].kind == EVIDENCE_ANSWER;
    }
  return answered_last
         && (list == NULL || list->mark != DRAIN_MARK_ABSENT
             || list->order - LAG <= direct);
}

static struct evidence
draw_evidence (unsigned short seed[3], int64_t now)
{
  struct evidence e = { .received = now };
  int kind = (int)(erand48 (seed) * 8);
  int64_t age = (int64_t)(erand48 (seed) * 4) * 500 * MS;
  e.kind = kind <= 3 ? kind : kind <= 6 ? EVIDENCE_ANSWER : EVIDENCE_FAILURE;
  e.mark = (enum drain_mark) (erand48 (seed) * 3);
  e.order = e.kind == EVIDENCE_CONFIG ? 1 + (int64_t)(erand48 (seed) * 20)
            : e.kind == EVIDENCE_LIST ? now - age * 30
                                      : now - age;
  if (e.kind == EVIDENCE_STATEMENT)
    {
      e.mark = e.mark == DRAIN_MARK_ABSENT ? DRAIN_MARK_LIVE : e.mark;
      e.started = now > 60000 * MS ? 60000 * MS : 0;
    }
  return e;
}

static void
give_evidence (struct drain *d, const struct evidence *e)
{
  switch (e->kind)
    {
    case EVIDENCE_CONFIG:
      drain_on_config (d, 0, (uint64_t)e->order, e->mark, e->received);
      break;
    case EVIDENCE_LIST:
      drain_on_list (d, 0, e->mark, e->order, e->received);
      break;
    case EVIDENCE_STATEMENT:
      drain_on_statement (d, 0, e->mark == DRAIN_MARK_LEAVING, e->order,
                          e->started, e->received);
      break;
    default:
      drain_on_poll (d, 0, e->kind == EVIDENCE_ANSWER, e->order, e->received);
    }
}

struct walk_result
{
  int checks, accepted_wrongly, refused_wrongly, drained_busy;
};

static struct walk_result
random_walks (bool trust_list, int walks)
{
  struct walk_result result = { 0 };
  unsigned short seed[3] = { 5, 6, 7 };
  for (int w = 0; w < walks; w++)
    {
      struct session s = session_create (NULL, NULL, trust_list);
      struct evidence history[HISTORY];
      int running = 0;
      drain_add (s.drain, "endpoint", 0);
      for (int i = 0; i < HISTORY; i++)
        {
          struct drain_action action;
          s.now += (int64_t)(erand48 (seed) * 4000) * MS;
          history[i] = draw_evidence (seed, s.now);
          give_evidence (s.drain, &history[i]);
          while (drain_next (s.drain, s.now, &action))
            if (action.step == DRAIN_STEP_REPORT && running > 0)
              result.drained_busy++;
          bool accepts = drain_accepts (s.drain, 0, s.now);
          result.checks++;
          result.accepted_wrongly += accepts && must_refuse (history, i + 1);
          result.refused_wrongly += !accepts && must_accept (history, i + 1);
          /* Work starts only where it is accepted, and ends at any time. */
          if (erand48 (seed) < 0.5)
            running = accepts ? running + 1 : running > 0 ? running - 1 : 0;
          drain_set_running (s.drain, 0, running, s.now);
        }
      talloc_free (s.scratch);
    }
  return result;
}

/* Guards P9 and the use of capacity against every mix of evidence, also out
   of order. */
static void
random_evidence_is_weighed_as_stated (void)
{
  struct walk_result r = random_walks (false, 2000);
  CU_ASSERT_EQUAL (r.accepted_wrongly, 0);
  CU_ASSERT_EQUAL (r.refused_wrongly, 0);
  CU_ASSERT_EQUAL (r.drained_busy, 0);
  printf ("%d checks ", r.checks);
  r = random_walks (true, 200);
  CU_ASSERT (r.accepted_wrongly > 0);
  CU_ASSERT (r.refused_wrongly > 0);
}

static const struct test_case cases[] = {
  { "running_requests_finish", running_requests_finish },
  { "an_old_list_entry_does_not_win", an_old_list_entry_does_not_win },
  { "session_silent", session_silent },
  { "only_the_newest_steps_are_kept", only_the_newest_steps_are_kept },
  { "random_evidence_is_weighed_as_stated",
    random_evidence_is_weighed_as_stated },
  { NULL, NULL },
};
TEST_SUITE (drain, cases)
