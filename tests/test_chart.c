/** Parsing and checks of state charts. */
#include "core/chart.h"
#include "tests/script.h"

#include <stdio.h>

static const char *const states[] = { "open", "busy", "shut", NULL };
static const char *const events[] = { "call", "end", NULL };
static const char *const actions[] = { "none", "ring", NULL };
static const struct chart_vocabulary vocabulary
    = { "door", states, events, actions };

#define VALID_CHART                                                           \
  "# A comment.\n"                                                            \
  "initial open\n"                                                            \
  "final shut  # and another\n"                                               \
  "\n"                                                                        \
  "open call -> busy ring\n"                                                  \
  "busy end -> shut\n"

/* Guards against a chart that is parsed into other transitions than its text
   defines. */
static void
transitions_follow_the_text (void)
{
  struct error err = { 0 };
  struct chart *c = chart_parse (NULL, &vocabulary, "door.chart",
                                 bstr_from (VALID_CHART), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  int state = chart_initial (c);
  CU_ASSERT_EQUAL (state, 0);
  CU_ASSERT_EQUAL (chart_apply_event (c, &state, 1), -1);
  CU_ASSERT_EQUAL (state, 0);
  CU_ASSERT_EQUAL (chart_apply_event (c, &state, 0), 1);
  CU_ASSERT_EQUAL (chart_apply_event (c, &state, 1), 0);
  CU_ASSERT (chart_is_final (c, state));
  talloc_free (c);
}

/* Guards against a chart whose fault is found only when an event occurs
   instead of at start. */
static void
bad_charts_are_refused_with_path_and_line (void)
{
  static const struct
  {
    const char *text, *message;
  } bad[] = {
    { "initial open\nopen call -> bsy\n",
      "door.chart:2: unknown state \"bsy\" in chart \"door\"" },
    { "initial opn\n",
      "door.chart:1: unknown state \"opn\" in chart \"door\"" },
    { "initial open\n\nopen cal -> busy\n",
      "door.chart:3: unknown event \"cal\" in chart \"door\"" },
    { "initial open\nopen call -> busy rung\n",
      "door.chart:2: unknown action \"rung\" in chart \"door\"" },
    { VALID_CHART "open call -> shut\n",
      "door.chart:7: duplicate transition \"open call\", first on line 5" },
    { "initial open\nfinal shut\nopen call -> shut\nbusy end -> shut\n",
      "door.chart:4: unreachable state \"busy\"" },
    { "initial open\nfinal shut\nopen call -> shut\nopen end -> shut\n",
      "door.chart:4: unreachable state \"busy\"" },
    { "initial open\nopen call -> busy\nbusy end -> shut\n",
      "door.chart:3: dead end in state \"shut\"" },
    { "initial open\nfinal shut\nopen call -> busy\nbusy end -> busy\n"
      "open end -> shut\n",
      "door.chart:3: dead end in state \"busy\"" },
    { "final shut\nopen call -> busy\nbusy end -> shut\n",
      "door.chart:3: no initial state" },
    { VALID_CHART "initial busy\n",
      "door.chart:7: second initial state \"busy\"" },
    { VALID_CHART "shut end -> open\n",
      "door.chart:7: transition out of final state \"shut\"" },
    { "initial open\nfinal shut\nopen call -> busy\nbusy call -> shut\n",
      "door.chart:4: event \"end\" has no transition" },
    { "initial open\nopen call => busy\n",
      "door.chart:2: expected \"STATE EVENT -> STATE [ACTION]\", \"initial "
      "STATE\" or \"final STATE\"" },
    { "initial open\nopen call -> busy ring twice\n",
      "door.chart:2: expected \"STATE EVENT -> STATE [ACTION]\", \"initial "
      "STATE\" or \"final STATE\"" },
    { "", "door.chart:0: no initial state" },
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct error err = { 0 };
      CU_ASSERT_PTR_NULL (chart_parse (NULL, &vocabulary, "door.chart",
                                       bstr_from (bad[i].text), &err));
      CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
      CU_ASSERT_STRING_EQUAL (err.text, bad[i].message);
      if (strcmp (err.text, bad[i].message) != 0)
        printf ("\"%s\"\n", err.text);
    }
}

/* Guards against states that lead to each other but never to a final state, in
   a chart that has one. */
static void
a_loop_without_an_end_is_refused (void)
{
  static const char *const loop_states[]
      = { "open", "busy", "idle", "shut", NULL };
  static const struct chart_vocabulary v
      = { "loop", loop_states, events, actions };
  struct error err = { 0 };
  CU_ASSERT_PTR_NULL (
      chart_parse (NULL, &v, "loop.chart",
                   bstr_from ("initial open\nfinal shut\nopen end -> shut\n"
                              "open call -> busy\nbusy call -> idle\n"
                              "idle call -> busy\n"),
                   &err));
  CU_ASSERT_STRING_EQUAL (
      err.text, "loop.chart:4: no way to a final state from state \"busy\"");
}

/* Guards against an error that does not name the file that is missing. */
static void
a_missing_file_is_named (void)
{
  struct error err = { 0 };
  CU_ASSERT_PTR_NULL (
      chart_load (NULL, &vocabulary, "tests/absent.chart", &err));
  CU_ASSERT_EQUAL (err.code, ERROR_NOT_FOUND);
  CU_ASSERT_STRING_EQUAL (err.text,
                          "tests/absent.chart: cannot open chart \"door\"");
}

static const struct test_case cases[] = {
  { "transitions_follow_the_text", transitions_follow_the_text },
  { "bad_charts_are_refused_with_path_and_line",
    bad_charts_are_refused_with_path_and_line },
  { "a_loop_without_an_end_is_refused", a_loop_without_an_end_is_refused },
  { "a_missing_file_is_named", a_missing_file_is_named },
  { NULL, NULL },
};
TEST_SUITE (chart, cases)
