/** Choice of endpoints in one database group. */
#include "core/replicas.h"
#include "tests/tests.h"

#define MS INT64_C (1000)

static struct replica_view
make_view (bool primary, int running, uint64_t number)
{
  return (struct replica_view){ .usable = true,
                                .is_primary = primary,
                                .slots = 2,
                                .running = running,
                                .latency_us = 9 * MS,
                                .position = { 1, number } };
}

static struct position
position_at (uint64_t number)
{
  return (struct position){ 1, number };
}

/* Guards against bounded reads that go to the primary while a replica has a
   free slot. */
static void
replicas_serve_bounded_reads (void)
{
  struct replica_view r[]
      = { make_view (true, 0, 50), make_view (false, 0, 50),
          make_view (false, 1, 50) };
  int index = -1;
  CU_ASSERT_EQUAL (
      replicas_choose_for_read (r, 3, position_at (40), false, 0, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 1);
  r[1].running = r[2].running = 2;
  CU_ASSERT_EQUAL (
      replicas_choose_for_read (r, 3, position_at (40), false, 0, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
}

/* Guards against reads that go to replicas whose log lacks the required
   position, as when they replay a hundred times as late. */
static void
replicas_that_lag_are_left_out (void)
{
  struct replica_view r[]
      = { make_view (true, 1, 90), make_view (false, 0, 50),
          make_view (false, 0, 60) };
  int index = -1;
  r[1].behind_at = r[2].behind_at = 1000 * MS;
  CU_ASSERT_EQUAL (replicas_choose_for_read (r, 3, position_at (80), false,
                                             1020 * MS, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
  /* After a pause one of them gets a read again. */
  CU_ASSERT_EQUAL (replicas_choose_for_read (r, 3, position_at (80), false,
                                             1100 * MS, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_NOT_EQUAL (index, 0);
  /* A position that a replica is known to have needs no pause. */
  CU_ASSERT_EQUAL (replicas_choose_for_read (r, 3, position_at (55), false,
                                             1020 * MS, &index),
                   REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 2);
}

/* Guards against reads of the newest data that a replica serves while there is
   a primary, and against reads that are refused while no primary answers but a
   replica has every acknowledged commit. */
static void
newest_data_comes_from_the_primary_first (void)
{
  struct replica_view r[]
      = { make_view (true, 1, 90), make_view (false, 0, 90) };
  int index = -1;
  CU_ASSERT_EQUAL (
      replicas_choose_for_read (r, 2, position_at (90), true, 0, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 0);
  r[0].running = 3;
  CU_ASSERT_EQUAL (
      replicas_choose_for_read (r, 2, position_at (90), true, 0, &index),
      REPLICAS_FULL);
  r[0].usable = false;
  CU_ASSERT_EQUAL (
      replicas_choose_for_read (r, 2, position_at (90), true, 0, &index),
      REPLICAS_FOUND);
  CU_ASSERT_EQUAL (index, 1);
}

/* Guards against a slow endpoint that gets as many statements as a fast one,
   or none at all. */
static void
slow_endpoints_get_less (void)
{
  struct replica_view r[]
      = { make_view (false, 0, 90), make_view (false, 0, 90) };
  int statements[2] = { 0, 0 };
  r[0].latency_us = 45 * MS;
  r[0].slots = r[1].slots = 8;
  for (int i = 0; i < 9; i++)
    {
      int index = -1;
      if (replicas_choose_for_read (r, 2, position_at (1), false, 0, &index)
          != REPLICAS_FOUND)
        break;
      r[index].running++;
      statements[index]++;
    }
  CU_ASSERT_TRUE (statements[0] >= 1);
  CU_ASSERT_TRUE (statements[1] > 3 * statements[0]);
}

/* Guards against the loss of acknowledged writes after the primary is lost,
   because a replica other than the one with the newest log is promoted. */
static void
newest_log_succeeds (void)
{
  struct replica_view r[]
      = { make_view (true, 0, 99), make_view (false, 0, 70),
          make_view (false, 0, 80), make_view (false, 0, 95) };
  r[3].usable = false;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), 2);
  r[1].position.term = 2;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), 1);
  r[1].usable = r[2].usable = false;
  CU_ASSERT_EQUAL (replicas_choose_successor (r, 4), -1);
}

/* Guards against bounded reads that miss a commit or that no replica can
   serve, with commits in quick succession and a staleness bound of 1.5 s. */
static void
history_covers_what_was_acknowledged (void)
{
  struct commit_history h = { .count = 0 };
  int64_t acknowledged[400];
  commit_history_restart (&h, position_at (1), 0);
  for (int i = 0; i < 400; i++)
    {
      int64_t now = (i + 1) * 13 * MS;
      acknowledged[i] = now;
      commit_history_record (&h, position_at ((uint64_t)i + 2), now);
      commit_history_sample (&h, now);
      if (i < 150)
        continue;
      int64_t time = now - 1500 * MS;
      struct position p = commit_history_at (&h, time);
      for (int k = 0; k <= i; k++)
        if (acknowledged[k] <= time)
          CU_ASSERT_TRUE (p.number >= (uint64_t)k + 2);
      /* A much newer position would keep replicas from serving the read. */
      CU_ASSERT_TRUE (p.number <= (uint64_t)i + 2 - 100);
    }
  CU_ASSERT_EQUAL (commit_history_at (&h, INT64_MAX).number, 401);
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
