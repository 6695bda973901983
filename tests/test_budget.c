#include "tests/budget_world.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

/* P5 is the property that no organisation exceeds its rate and burst in the
   whole cell, and that no two members hold the same fraction. */

/* Number of random schedules that must keep P5. */
#define SCHEDULES 2000
/* Number of them that also run with a loss of power at each restart. */
#define POWER_SCHEDULES 500
/* Number of faults in a schedule. */
#define SCHEDULE_STEPS 9
/* Number of schedules that run with each protection switched off. */
#define FAULT_SCHEDULES 40

/* Start of every random schedule: five members under load. */
static const char *const schedule_start[] = {
  "set drift 0.005",
  "set jitter 2000",
  "set poisson 1",
  "org shop 40 20",
  "org tiny 20 2",
  "start a b c d e",
  "run 2",
  "load shop a 50",
  "load shop c 10",
  "load shop d 10",
  "load tiny b 10",
  "load tiny c 8",
  "load tiny e 8",
  "set lose 0.02",
  "set repeat 0.05",
  "run 1",
  NULL,
};

/* Ends all faults of the network and the platform, and resumes the paused
   processes. */
static const char *const schedule_heal[] = {
  "cut",
  "blind",
  "set platform-down 0",
  "set lose 0",
  "set lose-answer 0",
  "set lose-allot 0",
  "set lose-record 0",
  "set lose-budget 0",
  "resume a b c d e f g",
  NULL,
};

/* End of a healed schedule in which all processes run again. */
static const char *const schedule_return[] = {
  "revive a b c d e f g", "run 20", "quiet", "run 2", "show", NULL,
};

/* End of a healed schedule in which some processes do not run again. */
static const char *const schedule_loss[] = {
  "kill f g", "restart a c", "gone", "run 20", "quiet", "run 2", "show", NULL,
};

/* Start of a measurement of wrongful refusals. */
static const char *const measure_start[] = {
  "set poisson 1",         "set jitter 1000", "org shop 400 200",
  "start a b c d e f g h", "run 5",           NULL,
};

/* Faults of a random schedule; %c stands for a random node, %d for a random
   digit from 1 to 5. */
static const char *const schedule_faults[] = {
  "kill %c",
  "kill %c",
  "restart %c",
  "restart %c",
  "pause %c",
  "pause %c",
  "resume %c",
  "resume %c",
  "resume %c",
  "cut %c",
  "cut %c %c",
  "cut %c %c",
  "cut",
  "cut",
  "cut",
  "blind %c",
  "blind %c %c",
  "blind",
  "set platform-down 1",
  "set platform-down 0",
  "set platform-down 0",
  "start f",
  "start g",
  "set lose-answer 0.3",
  "set lose-allot 0.3",
  "set lose-record 0.3",
  "set lose-budget 0.2",
  "set lose-allot 0",
  "org shop 3%d 2%d",
  "org tiny 2%d %d",
  "load shop %c 3%d",
  "load tiny %c 2%d",
  "gone f",
  "restart a b c d e",
};

static void
run_lines (struct budget_world *w, const char *const *lines)
{
  for (; *lines != NULL; lines++)
    CU_ASSERT_FATAL (budget_world_command (w, *lines));
}

/* Choose a fault and write its command to @p line. */
static void
random_fault (struct budget_world *w, char *line, size_t size)
{
  size_t count = sizeof schedule_faults / sizeof *schedule_faults;
  const char *from
      = schedule_faults[(size_t)(budget_world_random (w) * (double)count)];
  size_t n = 0;
  for (; *from != '\0' && n + 1 < size; from++)
    if (*from == '%')
      line[n++] = (char)((*++from == 'c' ? 'a' : '1')
                         + (int)(budget_world_random (w) * 5));
    else
      line[n++] = *from;
  line[n] = '\0';
}

/* Run the schedule of @p seed.
   @param power_loss whether a restart is a loss of the VM's power.
   @return the world, in which the last faults still are in effect. */
static struct budget_world *
run_schedule (void *parent, long seed, enum budget_world_fault fault,
              bool power_loss)
{
  struct budget_world *w = budget_world_create (parent, seed, fault);
  char line[64];
  if (power_loss)
    CU_ASSERT_FATAL (budget_world_command (w, "set clock-back 1"));
  run_lines (w, schedule_start);
  for (int i = 0; i < SCHEDULE_STEPS; i++)
    {
      random_fault (w, line, sizeof line);
      CU_ASSERT_FATAL (budget_world_command (w, line));
      snprintf (line, sizeof line, "run %.2f",
                0.1 + 2 * budget_world_random (w));
      CU_ASSERT_FATAL (budget_world_command (w, line));
    }
  return w;
}

/* Run @p count random schedules and check P5.  Every 16th seed also checks
   that the cell serves again after the faults have ended. */
static void
check_schedules (int count, bool power_loss)
{
  const char *only = getenv ("AZUREWIND_SEED");
  long first = only != NULL ? atol (only) : 1;
  long last = only != NULL ? first : count;
  for (long seed = first; seed <= last; seed++)
    {
      struct budget_world *w
          = run_schedule (NULL, seed, FAULT_NONE, power_loss);
      bool serves = true;
      if (seed % 16 == 0)
        {
          run_lines (w, schedule_heal);
          run_lines (w, seed % 32 == 0 ? schedule_loss : schedule_return);
          serves = budget_world_can_serve (w);
        }
      struct budget_world_result r = budget_world_result (w);
      if (!budget_world_limits_held (w) || !serves)
        {
          printf ("seed %ld: sum of fractions %.12f, central level %.6f%s\n",
                  seed, r.max_fraction_sum, r.min_central_level,
                  serves ? "" : ", does not serve after healing");
          CU_FAIL ("P5 does not hold");
        }
      if (only != NULL)
        printf ("%s", budget_world_transcript (w));
      talloc_free (w);
    }
}

/* Guards against a combination of faults that lets an organisation exceed its
   rate and burst, or lets two members hold the same fraction. */
static void
random_schedules_keep_the_rate (void)
{
  check_schedules (SCHEDULES, false);
}

/* Guards against a member that exceeds the rate, or never spends again, as the
   clock of its VM has started anew at a lower value. */
static void
losses_of_power_keep_the_rate (void)
{
  check_schedules (POWER_SCHEDULES, true);
}

/* Guards against checks that cannot fail: the same schedules must break P5
   when a protection is switched off. */
static void
missing_protections_are_noticed (void)
{
  static const char *const names[]
      = { "none", "deduction", "grant ids", "lease", "wait", "freeze" };
  for (int fault = FAULT_NO_DEDUCTION; fault <= FAULT_NO_FREEZE; fault++)
    {
      int noticed = 0;
      for (long seed = 1; seed <= FAULT_SCHEDULES; seed++)
        {
          struct budget_world *w = run_schedule (
              NULL, seed, (enum budget_world_fault)fault, false);
          noticed += !budget_world_limits_held (w);
          talloc_free (w);
        }
      printf ("without %s: noticed in %d of %d\n", names[fault], noticed,
              FAULT_SCHEDULES);
      CU_ASSERT (noticed > 0);
    }
}

/* Run a scripted session, compare its transcript with the golden file, and
   check whether P5 holds as expected. */
static void
run_session (const char *name, enum budget_world_fault fault, bool expect)
{
  void *scratch = talloc_new (NULL);
  char *path = talloc_asprintf (scratch, "tests/sessions/budget-%s.txt", name);
  char *golden = talloc_asprintf (scratch, "budget-%s.txt", name);
  struct budget_world *w = budget_world_create (scratch, 1, fault);
  CU_ASSERT (budget_world_run_script (w, path));
  if (budget_world_limits_held (w) != expect)
    printf ("%s: P5 %s\n", path, expect ? "broken" : "holds unexpectedly");
  CU_ASSERT_EQUAL (budget_world_limits_held (w), expect);
  if (fault == FAULT_NONE)
    CU_ASSERT (
        golden_matches (golden, bstr_from (budget_world_transcript (w))));
  talloc_free (scratch);
}

/* Guards against the failures that the scripts name in their first lines. */
static void
sessions_match (void)
{
  static const char *const names[]
      = { "skew",           "kill",      "pause",       "partition",
          "coordinator",    "grants",    "rate",        "outage-60",
          "outage-1800",    "join",      "restart",     "race",
          "tiny",           "leave",     "gone",        "late-allot",
          "partition-busy", "join-busy", "kill-holder", "power" };
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    run_session (names[i], FAULT_NONE, true);
}

/* Guards against the refusal of a request within the rate while a member does
   not know yet what its peers hold, or while the fraction of a member that
   ended is about to be allotted again. */
static void
changes_refuse_nothing_wrongly (void)
{
  static const char *const names[] = { "join-busy", "kill-holder" };
  for (int i = 0; i < 2; i++)
    {
      void *scratch = talloc_new (NULL);
      struct budget_world *w = budget_world_create (scratch, 1, FAULT_NONE);
      CU_ASSERT (budget_world_run_script (
          w, talloc_asprintf (scratch, "tests/sessions/budget-%s.txt",
                              names[i])));
      CU_ASSERT_EQUAL (budget_world_result (w).wrongful, 0);
      talloc_free (scratch);
    }
}

/* Guards against sessions that cannot fail: they must break P5 when the
   protection that they test is switched off. */
static void
sessions_fail_without_protection (void)
{
  run_session ("skew", FAULT_NO_DEDUCTION, false);
  run_session ("grants", FAULT_NO_GRANT_IDS, false);
  run_session ("partition-busy", FAULT_NO_LEASE, false);
  run_session ("partition-busy", FAULT_NO_WAIT, false);
  run_session ("late-allot", FAULT_NO_FREEZE, false);
}

/* Run 8 members for 60 s, with one organisation of 400 requests/s and a burst
   of 200 at 80% of its rate.
   @param skewed whether more than half of the requests arrive at one member.
   @param lost whether that member ends after 20 s. */
static struct budget_world_result
measure_refusals (bool static_fractions, bool skewed, bool lost)
{
  struct budget_world *w = budget_world_create (NULL, 7, FAULT_NONE);
  char line[64];
  if (static_fractions)
    budget_world_command (w, "set static 1");
  run_lines (w, measure_start);
  for (char node = 'a'; node <= 'h'; node++)
    {
      int rate = !skewed ? 40 : node == 'a' ? 180 : 20;
      snprintf (line, sizeof line, "load shop %c %d", node, rate);
      CU_ASSERT_FATAL (budget_world_command (w, line));
    }
  budget_world_command (w, "run 20");
  budget_world_command (w, lost ? "kill a" : "run 0");
  budget_world_command (w, "run 40");
  struct budget_world_result r = budget_world_result (w);
  CU_ASSERT (budget_world_limits_held (w));
  talloc_free (w);
  return r;
}

/* Guards against refusals of requests within the rate: none while all members
   run, and less than 0.5% if one member with skewed arrivals ends. */
static void
wrongful_refusals_stay_in_target (void)
{
  static const char *const names[] = { "even", "skewed", "skewed, one lost" };
  for (int i = 0; i < 3; i++)
    for (int static_fractions = 1; static_fractions >= 0; static_fractions--)
      {
        struct budget_world_result r
            = measure_refusals (static_fractions, i > 0, i > 1);
        double percent = 100.0 * (double)r.wrongful / (double)r.within;
        printf ("%s, %s: %ld of %ld wrongful (%.3f%%), %.0f B/s per member\n",
                names[i],
                static_fractions ? "static shares" : "moved fractions",
                r.wrongful, r.within, percent, (double)r.bytes / 60 / 8);
        if (!static_fractions)
          CU_ASSERT (i < 2 ? r.wrongful == 0 : percent < 0.5);
      }
}

static const struct test_case cases[] = {
  { "sessions_match", sessions_match },
  { "changes_refuse_nothing_wrongly", changes_refuse_nothing_wrongly },
  { "sessions_fail_without_protection", sessions_fail_without_protection },
  { "random_schedules_keep_the_rate", random_schedules_keep_the_rate },
  { "losses_of_power_keep_the_rate", losses_of_power_keep_the_rate },
  { "missing_protections_are_noticed", missing_protections_are_noticed },
  { "wrongful_refusals_stay_in_target", wrongful_refusals_stay_in_target },
  { NULL, NULL },
};
TEST_SUITE (budget, cases)
