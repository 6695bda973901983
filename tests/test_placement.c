/** Spreading of services over daemons, without a network. */
#include "core/placement.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 8
#define DAEMONS 9
#define LARGE 500
#define SMALL 120

/* Multiplicative hash (Knuth); any fixed order does for the tests. */
static uint64_t
rank (uint64_t service, uint64_t daemon)
{
  return (service * 31 + daemon) * UINT64_C (11400714819323198485);
}

/* Eight large VMs and a small one, in four failure domains. */
static void
make_daemons (struct placement_daemon *out)
{
  static const char *const domains[] = { "a", "b", "c", "d" };
  for (int i = 0; i < DAEMONS; i++)
    out[i] = (struct placement_daemon){ (uint64_t)i + 1, domains[i % 4],
                                        i < DAEMONS - 1 ? LARGE : SMALL, 0 };
}

/* Pattern: a fleet starts; all daemons come to the same distribution, in which
   no VM has more than its size allows. */
static void
services_follow_the_size (void)
{
  struct placement_daemon d[DAEMONS];
  make_daemons (d);
  for (int s = 0; s < SERVICES; s++)
    {
      struct placement_service service = { (uint64_t)s + 100, "b", rank };
      int best = placement_best (d, DAEMONS, &service);
      CU_ASSERT_FATAL (best >= 0);
      d[best].owned++;
    }
  for (int i = 0; i < DAEMONS; i++)
    CU_ASSERT_EQUAL (d[i].owned, i < DAEMONS - 1);
}

/* Pattern: equal daemons; the one beside the primary comes first. */
static void
near_daemon_comes_first (void)
{
  struct placement_daemon d[DAEMONS];
  struct placement_service service = { 7, "c", rank };
  make_daemons (d);
  int best = placement_best (d, DAEMONS, &service);
  CU_ASSERT_STRING_EQUAL (d[best].failure_domain, "c");
  service.failure_domain = NULL;
  CU_ASSERT_TRUE (placement_best (d, DAEMONS, &service) >= 0);
  CU_ASSERT_EQUAL (placement_best (d, 0, &service), -1);
}

/* Daemons decide at the same time, each by what it heard before the round.
   @return the number of moves until nobody moves any more, -1: never. */
static int
settle (struct placement_daemon *d, unsigned seed)
{
  int moves = 0;
  for (int round = 0; round < 60; round++)
    {
      struct placement_daemon seen[DAEMONS];
      bool wanted = false;
      memcpy (seen, d, sizeof seen);
      for (int i = 0; i < DAEMONS; i++)
        {
          int to = placement_relief (seen, DAEMONS, i);
          wanted |= to >= 0;
          if (to < 0 || rand_r (&seed) % 2 == 0)
            continue;
          d[i].owned--;
          d[to].owned++;
          moves++;
        }
      if (!wanted)
        return moves;
    }
  return -1;
}

/* Pattern: after a loss of power of all VMs a small one was ready first and
   owns every service. */
static void
small_owner_of_all_is_relieved (void)
{
  for (unsigned seed = 1; seed <= 50; seed++)
    {
      struct placement_daemon d[DAEMONS];
      make_daemons (d);
      d[DAEMONS - 1].owned = SERVICES;
      int moves = settle (d, seed);
      CU_ASSERT_EQUAL (moves, SERVICES);
      CU_ASSERT_EQUAL (d[DAEMONS - 1].owned, 0);
      for (int i = 0; i < DAEMONS - 1; i++)
        CU_ASSERT_EQUAL (d[i].owned, 1);
    }
}

/* Pattern: daemons were stopped in turn, and two are left with everything;
   they move services at the same time, and it comes to an end. */
static void
moves_come_to_an_end (void)
{
  int most = 0;
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      struct placement_daemon d[DAEMONS];
      make_daemons (d);
      for (int s = 0; s < SERVICES; s++)
        d[seed * (unsigned)(s + 3) % 7 % 3].owned++;
      int moves = settle (d, seed);
      CU_ASSERT_TRUE (moves >= 0);
      most = moves > most ? moves : most;
      for (int i = 0; i < DAEMONS; i++)
        CU_ASSERT_TRUE (d[i].owned <= 1);
    }
  printf ("[%d moves at most] ", most);
  CU_ASSERT_TRUE (most <= 2 * SERVICES);
}

/* Pattern: a quiet day; what is spread evenly stays where it is. */
static void
even_load_stays (void)
{
  struct placement_daemon d[DAEMONS];
  make_daemons (d);
  for (int i = 0; i < 3; i++)
    d[i].owned = 1;
  for (int i = 0; i < DAEMONS; i++)
    CU_ASSERT_EQUAL (placement_relief (d, DAEMONS, i), -1);
  /* Alone, or with nothing to give. */
  CU_ASSERT_EQUAL (placement_relief (d, 1, 0), -1);
  CU_ASSERT_EQUAL (placement_relief (d, DAEMONS, 5), -1);
}

/* Pattern: a VM turns five times slower while its daemon owns a service; its
   loop comes late to a timer of 50 ms, and the service goes elsewhere within
   half a second.  A single pause moves nothing. */
static void
slow_owner_is_relieved (void)
{
  struct placement_daemon d[DAEMONS];
  struct placement_lag lag = { 0 };
  int64_t now = 1000000;
  make_daemons (d);
  d[0].owned = 1;
  for (int i = 0; i < 40; i++)
    placement_lag_note (&lag, 50000, now += 52000);
  d[0].capacity = placement_capacity (&lag, LARGE);
  CU_ASSERT_EQUAL (d[0].capacity, LARGE);
  CU_ASSERT_EQUAL (placement_relief (d, DAEMONS, 0), -1);
  for (int i = 0; i < 5; i++)
    placement_lag_note (&lag, 50000, now += 110000);
  d[0].capacity = placement_capacity (&lag, LARGE);
  CU_ASSERT_TRUE (d[0].capacity < LARGE * 2 / 3);
  CU_ASSERT_TRUE (placement_relief (d, DAEMONS, 0) > 0);
  for (int i = 0; i < 60; i++)
    placement_lag_note (&lag, 50000, now += 51000);
  placement_lag_note (&lag, 50000, now += 150000);
  d[0].capacity = placement_capacity (&lag, LARGE);
  CU_ASSERT_EQUAL (placement_relief (d, DAEMONS, 0), -1);
}

static const struct test_case cases[] = {
  { "services_follow_the_size", services_follow_the_size },
  { "near_daemon_comes_first", near_daemon_comes_first },
  { "small_owner_of_all_is_relieved", small_owner_of_all_is_relieved },
  { "moves_come_to_an_end", moves_come_to_an_end },
  { "even_load_stays", even_load_stays },
  { "slow_owner_is_relieved", slow_owner_is_relieved },
  { NULL, NULL },
};

TEST_SUITE (placement, cases)
