/** Rate limits shared by several daemons, in virtual time. */
#include "core/limits.h"
#include "tests/tests.h"

#include <stdlib.h>

#define OWNERS 3
#define ORGANISATION 7
#define EXCHANGE_US 200000
#define STEP_US 1000
#define WINDOW_S 5
#define MAX_SECONDS 40

struct fleet_limits
{
  struct limits *owner[OWNERS];
  bool dead[OWNERS];
  int64_t now;
  unsigned random;
  int served[MAX_SECONDS * 10]; /**< In each tenth of a second. */
  int refused;
};

static void
start_owner (struct fleet_limits *f, int i, double rate, double burst)
{
  talloc_free (f->owner[i]);
  f->owner[i] = limits_create (NULL);
  limits_configure (f->owner[i], ORGANISATION, rate, burst, f->now);
  f->dead[i] = false;
}

static void
exchange (struct fleet_limits *f)
{
  for (int i = 0; i < OWNERS; i++)
    {
      struct limits_demand report[4];
      if (f->dead[i])
        continue;
      int count = limits_report (f->owner[i], report, 4, f->now);
      for (int k = 0; k < OWNERS; k++)
        if (k != i && !f->dead[k])
          limits_heard (f->owner[k], (uint64_t)i + 1, report, count, f->now);
    }
  for (int i = 0; i < OWNERS; i++)
    if (!f->dead[i])
      limits_share (f->owner[i], true, 1000000, f->now);
}

/* @param demand requests per second at each owner. */
static void
run (struct fleet_limits *f, const double *demand, double seconds)
{
  int64_t end = f->now + (int64_t)(seconds * 1e6);
  for (; f->now < end; f->now += STEP_US)
    {
      int retry;
      if (f->now % EXCHANGE_US == 0)
        exchange (f);
      for (int i = 0; i < OWNERS; i++)
        if (!f->dead[i]
            && (double)(rand_r (&f->random) % 1000000) < demand[i] * STEP_US)
          {
            if (limits_take (f->owner[i], ORGANISATION, f->now, &retry))
              f->served[f->now / 100000]++;
            else
              f->refused++;
          }
    }
}

static struct fleet_limits *
make (double rate, double burst)
{
  struct fleet_limits *f = talloc_zero (NULL, struct fleet_limits);
  f->random = 5;
  for (int i = 0; i < OWNERS; i++)
    start_owner (f, i, rate, burst);
  return f;
}

static void
release (struct fleet_limits *f)
{
  for (int i = 0; i < OWNERS; i++)
    talloc_free (f->owner[i]);
  talloc_free (f);
}

/* @return the most that was served in any window. */
static int
worst_window (const struct fleet_limits *f)
{
  int worst = 0;
  for (int start = 0; start + WINDOW_S * 10 <= MAX_SECONDS * 10; start++)
    {
      int sum = 0;
      for (int i = 0; i < WINDOW_S * 10; i++)
        sum += f->served[start + i];
      worst = sum > worst ? sum : worst;
    }
  return worst;
}

static int
allowed (double rate, double burst)
{
  return (int)((rate * WINDOW_S + burst) * 1.1 + 20);
}

/* Pattern: an organisation sends many times its rate, first to one service,
   then to others, then to all. */
static void
hot_organisation_stays_within_its_limit (void)
{
  struct fleet_limits *f = make (100, 100);
  run (f, (double[]){ 20, 20, 20 }, 6);
  run (f, (double[]){ 800, 5, 5 }, 6);
  run (f, (double[]){ 5, 800, 800 }, 6);
  run (f, (double[]){ 400, 400, 400 }, 6);
  CU_ASSERT_TRUE (worst_window (f) <= allowed (100, 100));
  release (f);
}

/* Pattern: owners are killed and start again while an organisation presses; a
   new process holds no burst that the old one has spent. */
static void
restarts_give_no_second_burst (void)
{
  struct fleet_limits *f = make (100, 100);
  run (f, (double[]){ 20, 20, 20 }, 6);
  for (int i = 0; i < OWNERS; i++)
    {
      run (f, (double[]){ 500, 500, 500 }, 2);
      f->dead[i] = true;
      run (f, (double[]){ 500, 500, 500 }, 1.5);
      start_owner (f, i, 100, 100);
    }
  run (f, (double[]){ 500, 500, 500 }, 3);
  CU_ASSERT_TRUE (worst_window (f) <= allowed (100, 100));
  release (f);
}

/* Pattern: demand below the rate, unevenly spread, is not refused. */
static void
little_is_refused_below_the_rate (void)
{
  struct fleet_limits *f = make (100, 100);
  run (f, (double[]){ 10, 10, 10 }, 3);
  f->refused = 0;
  run (f, (double[]){ 45, 10, 5 }, 10);
  CU_ASSERT_TRUE (f->refused <= 600 / 100);
  release (f);
}

/* Pattern: the operator lowers the limit while the organisation presses. */
static void
lower_limit_binds (void)
{
  struct fleet_limits *f = make (200, 200);
  run (f, (double[]){ 300, 300, 300 }, 6);
  for (int i = 0; i < OWNERS; i++)
    {
      limits_configure (f->owner[i], ORGANISATION, 40, 40, f->now);
      limits_forget_others (f->owner[i]);
    }
  int64_t since = f->now / 100000;
  run (f, (double[]){ 300, 300, 300 }, 6);
  int sum = 0;
  for (int i = 0; i < WINDOW_S * 10; i++)
    sum += f->served[since + i];
  CU_ASSERT_TRUE (sum <= allowed (40, 40));
  release (f);
}

/* Pattern: a key of an organisation that no configuration holds any more. */
static void
unknown_organisation_is_refused (void)
{
  struct limits *l = limits_create (NULL);
  int retry = 0;
  limits_configure (l, 1, 10, 10, 0);
  limits_forget_others (l);
  limits_share (l, true, 1000, 0);
  CU_ASSERT_TRUE (limits_take (l, 1, 5000000, &retry));
  CU_ASSERT_FALSE (limits_take (l, 2, 5000000, &retry));
  CU_ASSERT_TRUE (retry > 0);
  limits_configure (l, 2, 10, 10, 0);
  limits_forget_others (l);
  CU_ASSERT_FALSE (limits_take (l, 1, 5000000, &retry));
  talloc_free (l);
}

static const struct test_case cases[] = {
  { "hot_organisation_stays_within_its_limit",
    hot_organisation_stays_within_its_limit },
  { "restarts_give_no_second_burst", restarts_give_no_second_burst },
  { "little_is_refused_below_the_rate", little_is_refused_below_the_rate },
  { "lower_limit_binds", lower_limit_binds },
  { "unknown_organisation_is_refused", unknown_organisation_is_refused },
  { NULL, NULL },
};

TEST_SUITE (limits, cases)
