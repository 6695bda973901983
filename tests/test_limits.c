/** Rate limits shared by several daemons, in virtual time. */
#include "core/limits.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

#define OWNERS 8
/* Owners that the tests of large rates use. */
#define FEW 3
#define ORGANISATION 7
#define EXCHANGE_US 200000
#define STEP_US 1000
#define WINDOW_S 5
#define MAX_SECONDS 320

struct fleet_limits
{
  int owners;
  struct limits *owner[OWNERS];
  uint64_t incarnation[OWNERS];
  bool dead[OWNERS];
  bool cut[OWNERS]; /**< From the others; it owns nothing meanwhile. */
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
  f->incarnation[i]++;
  f->dead[i] = false;
}

static void
exchange (struct fleet_limits *f)
{
  for (int i = 0; i < f->owners; i++)
    {
      struct limits_demand report[4];
      if (f->dead[i])
        continue;
      int count = limits_report (f->owner[i], report, 4, f->now);
      for (int k = 0; k < f->owners; k++)
        if (k != i && !f->dead[k] && !f->cut[i] && !f->cut[k])
          limits_heard (f->owner[k],
                        &(struct limits_sender){ (uint64_t)i + 1,
                                                 f->incarnation[i], true },
                        report, count, f->now);
    }
  for (int i = 0; i < f->owners; i++)
    if (!f->dead[i])
      limits_share (f->owner[i], !f->cut[i], 1000000, f->now);
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
      for (int i = 0; i < f->owners; i++)
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
make (int owners, double rate, double burst)
{
  struct fleet_limits *f = talloc_zero (NULL, struct fleet_limits);
  f->random = 5;
  f->owners = owners;
  for (int i = 0; i < f->owners; i++)
    start_owner (f, i, rate, burst);
  return f;
}

static void
release (struct fleet_limits *f)
{
  for (int i = 0; i < f->owners; i++)
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
  struct fleet_limits *f = make (FEW, 100, 100);
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
  struct fleet_limits *f = make (FEW, 100, 100);
  run (f, (double[]){ 20, 20, 20 }, 6);
  for (int i = 0; i < f->owners; i++)
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
  struct fleet_limits *f = make (FEW, 100, 100);
  run (f, (double[]){ 10, 10, 10 }, 3);
  f->refused = 0;
  run (f, (double[]){ 45, 10, 5 }, 10);
  CU_ASSERT_TRUE (f->refused <= 600 / 100);
  release (f);
}

/* The first daemon is cut off from the other owners for six seconds.
   @param others requests per second at each of them, from the cut on. */
static struct fleet_limits *
make_after_a_cut (double others)
{
  struct fleet_limits *f = make (FEW, 100, 100);
  run (f, (double[]){ 20, 20, 20 }, 6);
  f->cut[0] = true;
  run (f, (double[]){ 0, others, others }, 6);
  f->cut[0] = false;
  run (f, (double[]){ 0, others, others }, 0.4);
  return f;
}

/* Pattern: a daemon that was cut off then owns the services of the others; the
   demand is below the rate all the time.  It does not count what the others
   spent meanwhile against a bucket that was full all the while. */
static void
owner_after_a_cut_refuses_little (void)
{
  struct fleet_limits *f = make_after_a_cut (30);
  f->refused = 0;
  run (f, (double[]){ 60, 0, 0 }, 10);
  printf ("[%d refused] ", f->refused);
  CU_ASSERT_TRUE (f->refused <= 600 / 100);
  release (f);
}

/* Pattern: the same while the organisation presses; the daemon comes to the
   bucket that the others have emptied. */
static void
owner_after_a_cut_gives_no_second_burst (void)
{
  struct fleet_limits *f = make_after_a_cut (400);
  run (f, (double[]){ 800, 0, 0 }, 6);
  CU_ASSERT_TRUE (worst_window (f) <= allowed (100, 100));
  release (f);
}

/* @return requests refused of an organisation with a rate and burst of 4 that
   sends 2.5 a second for 300 seconds, evenly to all owners. */
static int
refused_of_small_rate (int owners)
{
  struct fleet_limits *f = make (owners, 4, 4);
  double demand[OWNERS];
  for (int i = 0; i < owners; i++)
    demand[i] = 2.5 / owners;
  run (f, demand, 4);
  f->refused = 0;
  run (f, demand, 300);
  int refused = f->refused;
  release (f);
  return refused;
}

/* Pattern: a small organisation with less demand than its rate, spread over
   many owners, is refused little more often than before one owner. */
static void
small_rate_before_many_owners (void)
{
  int one = refused_of_small_rate (1);
  int many = refused_of_small_rate (OWNERS);
  printf ("[of 750: %d refused by one owner, %d by many] ", one, many);
  CU_ASSERT_TRUE (many <= one + 750 * 3 / 100);
}

/* Pattern: the same organisation sends many times its rate to all of them. */
static void
small_rate_binds_before_many_owners (void)
{
  struct fleet_limits *f = make (OWNERS, 4, 4);
  double calm[OWNERS], hot[OWNERS];
  for (int i = 0; i < OWNERS; i++)
    {
      calm[i] = 2.5 / OWNERS;
      hot[i] = 30.0 / OWNERS;
    }
  run (f, calm, 8);
  run (f, hot, 8);
  run (f, calm, 3);
  run (f, hot, 8);
  CU_ASSERT_TRUE (worst_window (f) <= allowed (4, 4));
  release (f);
}

/* Pattern: a large organisation turns from one owner to all of them at once,
   again and again, always with a full bucket. */
static void
large_rate_binds_before_many_owners (void)
{
  struct fleet_limits *f = make (OWNERS, 400, 400);
  double one[OWNERS] = { 200 }, all[OWNERS], none[OWNERS] = { 0 };
  for (int i = 0; i < OWNERS; i++)
    all[i] = 900;
  for (int i = 0; i < 4; i++)
    {
      run (f, one, 3);
      run (f, none, 2);
      run (f, all, 3);
    }
  printf ("[%d of %d in a window] ", worst_window (f), allowed (400, 400));
  CU_ASSERT_TRUE (worst_window (f) <= allowed (400, 400));
  release (f);
}

/* Pattern: callers of an organisation come to all owners in the same moment,
   after a time without requests; every first report counts. */
static void
first_burst_is_spent_once (void)
{
  struct fleet_limits *f = make (FEW, 60, 60);
  run (f, (double[]){ 0, 0, 0 }, 6);
  run (f, (double[]){ 4000, 4000, 4000 }, 3);
  int served = 0;
  for (int i = 60; i < 90; i++)
    served += f->served[i];
  printf ("[%d served] ", served);
  CU_ASSERT_TRUE (served <= 60 * 3 + 60);
  /* The same once more, after the reports have left it out. */
  run (f, (double[]){ 0, 0, 0 }, 8);
  run (f, (double[]){ 4000, 4000, 4000 }, 3);
  served = 0;
  for (int i = 170; i < 200; i++)
    served += f->served[i];
  printf ("[%d served] ", served);
  CU_ASSERT_TRUE (served <= 60 * 3 + 60);
  release (f);
}

/** A report on its way. */
struct sent_report
{
  struct limits_demand demand[4];
  int count;
  int64_t arrives; /**< 0: none. */
};

static void
send_report (struct fleet_limits *f, int i, struct sent_report *sent)
{
  sent->count = limits_report (f->owner[i], sent->demand, 4, f->now);
  sent->arrives = f->now + 2 * STEP_US;
  limits_share (f->owner[i], true, 1000000, f->now);
}

static void
deliver_report (struct fleet_limits *f, int i, struct sent_report *sent)
{
  struct limits_sender sender = { (uint64_t)i + 1, 1, true };
  for (int k = 0; k < f->owners; k++)
    if (k != i)
      limits_heard (f->owner[k], &sender, sent->demand, sent->count, f->now);
  sent->arrives = 0;
}

/* Pattern: a burst comes to all owners just after a heartbeat that was sent
   for another reason, so that their next regular reports are left out. */
static void
owners_do_not_spend_the_same_tokens (void)
{
  struct fleet_limits *f = make (FEW, 60, 60);
  struct sent_report sent[FEW] = { 0 };
  int served = 0, retry;
  for (f->now = STEP_US; f->now < 9000000; f->now += STEP_US)
    for (int i = 0; i < FEW; i++)
      {
        if (sent[i].arrives != 0 && f->now >= sent[i].arrives)
          deliver_report (f, i, &sent[i]);
        bool regular = (f->now + i * 66 * STEP_US) % EXCHANGE_US == 0;
        if (regular
            || (sent[i].arrives == 0 && limits_wants_report (f->owner[i])))
          send_report (f, i, &sent[i]);
        if (regular && f->now >= 6000000 && f->now < 6000000 + EXCHANGE_US)
          sent[i].arrives = 0;
        for (int n = 0; n < 4 && f->now > 6000000; n++)
          served += limits_take (f->owner[i], ORGANISATION, f->now, &retry);
      }
  printf ("[%d served] ", served);
  CU_ASSERT_TRUE (served <= 60 * 3 + 60 + 20);
  CU_ASSERT_TRUE (served >= 60 * 3 + 60 - 20);
  release (f);
}

/* Pattern: a daemon spends and then loses its last service; the others learn
   of what it had spent. */
static void
former_owner_tells_what_it_spent (void)
{
  struct limits_demand report[4];
  struct limits *a = limits_create (NULL), *b = limits_create (NULL);
  struct limits_sender sender = { 1, 1, true };
  int retry, served = 0, count;
  limits_configure (a, ORGANISATION, 60, 60, 1);
  limits_configure (b, ORGANISATION, 60, 60, 1);
  count = limits_report (a, report, 4, 1);
  limits_heard (b, &sender, report, count, 1);
  limits_share (a, true, 1000000, 2000000);
  for (int i = 0; i < 200; i++)
    served += limits_take (a, ORGANISATION, 2000000, &retry);
  CU_ASSERT_TRUE (served > 50);
  limits_share (a, false, 1000000, 2100000);
  sender.owns = false;
  count = limits_report (a, report, 4, 2100000);
  limits_heard (b, &sender, report, count, 2100000);
  limits_share (b, true, 1000000, 2100000);
  for (int i = 0; i < 200; i++)
    served += limits_take (b, ORGANISATION, 2100000, &retry);
  CU_ASSERT_TRUE (served <= 60 + 6 + 1);
  talloc_free (a);
  talloc_free (b);
}

/* Pattern: the operator lowers the limit while the organisation presses. */
static void
lower_limit_binds (void)
{
  struct fleet_limits *f = make (FEW, 200, 200);
  run (f, (double[]){ 300, 300, 300 }, 6);
  for (int i = 0; i < f->owners; i++)
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
  { "owner_after_a_cut_refuses_little", owner_after_a_cut_refuses_little },
  { "owner_after_a_cut_gives_no_second_burst",
    owner_after_a_cut_gives_no_second_burst },
  { "small_rate_before_many_owners", small_rate_before_many_owners },
  { "small_rate_binds_before_many_owners",
    small_rate_binds_before_many_owners },
  { "large_rate_binds_before_many_owners",
    large_rate_binds_before_many_owners },
  { "first_burst_is_spent_once", first_burst_is_spent_once },
  { "owners_do_not_spend_the_same_tokens",
    owners_do_not_spend_the_same_tokens },
  { "former_owner_tells_what_it_spent", former_owner_tells_what_it_spent },
  { "lower_limit_binds", lower_limit_binds },
  { "unknown_organisation_is_refused", unknown_organisation_is_refused },
  { NULL, NULL },
};

TEST_SUITE (limits, cases)
