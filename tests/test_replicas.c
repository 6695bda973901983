/** Choice of endpoints in one database group. */
#include "core/replicas.h"
#include "tests/tests.h"

#define MS INT64_C (1000)

static struct replica
replica (bool primary, int running, uint64_t number)
{
  return (struct replica){ .usable = true,
                           .is_primary = primary,
                           .slots = 2,
                           .running = running,
                           .latency_us = 9 * MS,
                           .position = { 1, number } };
}

static struct position
at (uint64_t number)
{
  return (struct position){ 1, number };
}

/* Pattern: a calm day; replicas serve the reads that may be a little old. */
static void
replicas_serve_bounded_reads (void)
{
  struct replica r[] = { replica (true, 0, 50), replica (false, 0, 50),
                         replica (false, 1, 50) };
  int index = -1;
  CU_ASSERT_EQUAL (replicas_choose_read (r, 3, at (40), false, 0, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 1);
  r[1].running = r[2].running = 2;
  CU_ASSERT_EQUAL (replicas_choose_read (r, 3, at (40), false, 0, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
}

/* Pattern: replicas apply a hundred times as late. */
static void
replicas_that_lag_are_left_out (void)
{
  struct replica r[] = { replica (true, 1, 90), replica (false, 0, 50),
                         replica (false, 0, 60) };
  int index = -1;
  r[1].behind_at = r[2].behind_at = 1000 * MS;
  CU_ASSERT_EQUAL (
      replicas_choose_read (r, 3, at (80), false, 1020 * MS, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
  /* After a pause one of them is asked again. */
  CU_ASSERT_EQUAL (
      replicas_choose_read (r, 3, at (80), false, 1100 * MS, &index),
      REPLICAS_FOUND);
  CU_ASSERT_NOT_EQUAL (index, 0);
  /* What it is known to have needs no pause. */
  CU_ASSERT_EQUAL (
      replicas_choose_read (r, 3, at (55), false, 1020 * MS, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 2);
}

/* Pattern: reads of the newest data go to the primary, and to a replica that
   has every acknowledged commit while no primary answers. */
static void
newest_data_comes_from_the_primary_first (void)
{
  struct replica r[] = { replica (true, 1, 90), replica (false, 0, 90) };
  int index = -1;
  CU_ASSERT_EQUAL (replicas_choose_read (r, 2, at (90), true, 0, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
  r[0].running = 3;
  CU_ASSERT_EQUAL (replicas_choose_read (r, 2, at (90), true, 0, &index),
                   REPLICAS_FULL);
  r[0].usable = false;
  CU_ASSERT_EQUAL (replicas_choose_read (r, 2, at (90), true, 0, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 1);
}

/* Pattern: one endpoint turns slow; it gets less work, not none. */
static void
slow_endpoints_get_less (void)
{
  struct replica r[] = { replica (false, 0, 90), replica (false, 0, 90) };
  int work[2] = { 0, 0 };
  r[0].latency_us = 45 * MS;
  r[0].slots = r[1].slots = 8;
  for (int i = 0; i < 9; i++)
    {
      int index = -1;
      if (replicas_choose_read (r, 2, at (1), false, 0, &index)
          != REPLICAS_FOUND)
        break;
      r[index].running++;
      work[index]++;
    }
  CU_ASSERT_TRUE (work[0] >= 1);
  CU_ASSERT_TRUE (work[1] > 3 * work[0]);
}

/* Pattern: the primary is lost; the replica with the newest log leads. */
static void
newest_log_succeeds (void)
{
  struct replica r[] = { replica (true, 0, 99), replica (false, 0, 70),
                         replica (false, 0, 80), replica (false, 0, 95) };
  r[3].usable = false;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), 2);
  r[1].position.term = 2;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), 1);
  r[1].usable = r[2].usable = false;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), -1);
}

/* Pattern: commits in quick succession, read with a bound of 1.5 s. */
static void
history_covers_what_was_acknowledged (void)
{
  struct history h = { .count = 0 };
  int64_t acknowledged[400];
  history_restart (&h, at (1), 0);
  for (int i = 0; i < 400; i++)
    {
      int64_t now = (i + 1) * 13 * MS;
      acknowledged[i] = now;
      history_note (&h, at ((uint64_t)i + 2), now);
      history_sample (&h, now);
      if (i < 150)
        continue;
      int64_t time = now - 1500 * MS;
      struct position p = history_at (&h, time);
      for (int k = 0; k <= i; k++)
        if (acknowledged[k] <= time)
          CU_ASSERT_TRUE (p.number >= (uint64_t)k + 2);
      /* And not much more, else replicas could not serve. */
      CU_ASSERT_TRUE (p.number <= (uint64_t)i + 2 - 100);
    }
  CU_ASSERT_EQUAL (history_at (&h, INT64_MAX).number, 401);
}

static const struct test_case cases[] = {
  { "replicas_serve_bounded_reads", replicas_serve_bounded_reads },
  { "replicas_that_lag_are_left_out", replicas_that_lag_are_left_out },
  { "newest_data_comes_from_the_primary_first",
    newest_data_comes_from_the_primary_first },
  { "slow_endpoints_get_less", slow_endpoints_get_less },
  { "newest_log_succeeds", newest_log_succeeds },
  { "history_covers_what_was_acknowledged",
    history_covers_what_was_acknowledged },
  { NULL, NULL },
};

TEST_SUITE (replicas, cases)
