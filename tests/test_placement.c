/** Distribution of services over daemons, without a network. */
#include "core/placement.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 8
#define DAEMONS 9
#define LARGE 500
#define SMALL 120

/* Multiplicative hash after Knuth.  The tests only need some fixed order. */
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

/* Guards against a VM that owns more services than its size allows after the
   fleet has started. */
static void
services_follow_the_size (void)
{
  struct placement_daemon d[DAEMONS];
  make_daemons (d);
  for (int s = 0; s < SERVICES; s++)
    {
      struct placement_service service = { (uint64_t)s + 100, "b", rank };
      int best = placement_choose_owner (d, DAEMONS, &service);
      CU_ASSERT_FATAL (best >= 0);
      d[best].owned++;
    }
  for (int i = 0; i < DAEMONS; i++)
    CU_ASSERT_EQUAL (d[i].owned, i < DAEMONS - 1);
}

/* Guards against an owner in another failure domain than the primary when an
   equally loaded daemon in the primary's domain is available. */
static void
near_daemon_comes_first (void)
{
  struct placement_daemon d[DAEMONS];
  struct placement_service service = { 7, "c", rank };
  make_daemons (d);
  int best = placement_choose_owner (d, DAEMONS, &service);
  CU_ASSERT_STRING_EQUAL (d[best].failure_domain, "c");
  service.failure_domain = NULL;
  CU_ASSERT_TRUE (placement_choose_owner (d, DAEMONS, &service) >= 0);
  CU_ASSERT_EQUAL (placement_choose_owner (d, 0, &service), -1);
}

/* Lets the daemons rebalance in rounds.  In a round all of them decide at the
   same time, by the numbers that were reported before it.
   @return the number of moves until no daemon wants to move a service; -1 if
   the moves do not end. */
static int
move_until_stable (struct placement_daemon *d, unsigned seed)
{
  int moves = 0;
  for (int round = 0; round < 60; round++)
    {
      struct placement_daemon reported[DAEMONS];
      bool has_target = false;
      memcpy (reported, d, sizeof reported);
      for (int i = 0; i < DAEMONS; i++)
        {
          int to = placement_choose_rebalance_target (reported, DAEMONS, i);
          has_target |= to >= 0;
          if (to < 0 || rand_r (&seed) % 2 == 0)
            continue;
          d[i].owned--;
          d[to].owned++;
          moves++;
        }
      if (!has_target)
        return moves;
    }
  return -1;
}

/* Guards against a small VM that keeps all services.  It was ready first after
   all VMs had lost power, and owns every service. */
static void
small_owner_of_all_is_relieved (void)
{
  for (unsigned seed = 1; seed <= 50; seed++)
    {
      struct placement_daemon d[DAEMONS];
      make_daemons (d);
      d[DAEMONS - 1].owned = SERVICES;
      int moves = move_until_stable (d, seed);
      CU_ASSERT_EQUAL (moves, SERVICES);
      CU_ASSERT_EQUAL (d[DAEMONS - 1].owned, 0);
      for (int i = 0; i < DAEMONS - 1; i++)
        CU_ASSERT_EQUAL (d[i].owned, 1);
    }
}

/* Guards against services that move back and forth without end.  Daemons were
   stopped in turn, so that a few own all services and move them at the same
   time. */
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
      int moves = move_until_stable (d, seed);
      CU_ASSERT_TRUE (moves >= 0);
      most = moves > most ? moves : most;
      for (int i = 0; i < DAEMONS; i++)
        CU_ASSERT_TRUE (d[i].owned <= 1);
    }
  printf ("[%d moves at most] ", most);
  CU_ASSERT_TRUE (most <= 2 * SERVICES);
}

/* Guards against moves of services that are distributed evenly already. */
static void
even_load_stays (void)
{
  struct placement_daemon d[DAEMONS];
  make_daemons (d);
  for (int i = 0; i < 3; i++)
    d[i].owned = 1;
  for (int i = 0; i < DAEMONS; i++)
    CU_ASSERT_EQUAL (placement_choose_rebalance_target (d, DAEMONS, i), -1);
  /* A daemon that is alone, and one that owns no service. */
  CU_ASSERT_EQUAL (placement_choose_rebalance_target (d, 1, 0), -1);
  CU_ASSERT_EQUAL (placement_choose_rebalance_target (d, DAEMONS, 5), -1);
}

/* Guards against a service that stays on a VM that has become five times
   slower, so that its event loop is late for a timer of 50 ms.  The service
   must move within about half a second, but not after a single pause. */
static void
slow_owner_is_relieved (void)
{
  struct placement_daemon d[DAEMONS];
  struct placement_lag lag = { 0 };
  int64_t now = 1000000;
  make_daemons (d);
  d[0].owned = 1;
  for (int i = 0; i < 40; i++)
    placement_update_lag (&lag, 50000, now += 52000);
  d[0].capacity = placement_effective_capacity (&lag, LARGE);
  CU_ASSERT_EQUAL (d[0].capacity, LARGE);
  CU_ASSERT_EQUAL (placement_choose_rebalance_target (d, DAEMONS, 0), -1);
  for (int i = 0; i < 5; i++)
    placement_update_lag (&lag, 50000, now += 110000);
  d[0].capacity = placement_effective_capacity (&lag, LARGE);
  CU_ASSERT_TRUE (d[0].capacity < LARGE * 2 / 3);
  CU_ASSERT_TRUE (placement_choose_rebalance_target (d, DAEMONS, 0) > 0);
  for (int i = 0; i < 60; i++)
    placement_update_lag (&lag, 50000, now += 51000);
  placement_update_lag (&lag, 50000, now += 150000);
  d[0].capacity = placement_effective_capacity (&lag, LARGE);
  CU_ASSERT_EQUAL (placement_choose_rebalance_target (d, DAEMONS, 0), -1);
}

#define START_SERVICES 20
#define START_TICK_MS 10
#define START_TICKS 40

/* @return when the member is ready; the one with the smallest id is neither
   the first nor the last. */
static int
ready_at (int member)
{
  return 200 + (member * 4 + 2) % DAEMONS * 20;
}

/* Nine members of a fleet that starts become ready within 160 ms.  The others
   know of it, and of claims, 30 ms later.  Members act once they know of a
   majority.
   @return the number of claims beyond one for each service. */
static int
count_surplus_claims (bool has_assigner)
{
  int claimed_at[START_SERVICES][DAEMONS], assigned_at[START_SERVICES] = { 0 };
  int assigned_to[START_SERVICES] = { 0 }, surplus = 0;
  memset (claimed_at, 0, sizeof claimed_at);
  for (int now = 200; now < 200 + START_TICKS * START_TICK_MS;
       now += START_TICK_MS)
    for (int self = 0; self < DAEMONS; self++)
      {
        struct placement_daemon d[DAEMONS];
        struct placement_view view = { (uint64_t)self + 1, 0, d, 0 };
        struct placement_daemon all[DAEMONS];
        make_daemons (all);
        if (now < ready_at (self))
          continue;
        for (int i = 0; i < DAEMONS; i++)
          {
            int delay = i == self ? 0 : 30;
            if (now < ready_at (i) + delay)
              continue;
            for (int s = 0; s < START_SERVICES; s++)
              all[i].owned
                  += claimed_at[s][i] != 0 && now >= claimed_at[s][i] + delay;
            d[view.count++] = all[i];
          }
        if (view.count <= DAEMONS / 2)
          continue;
        if (has_assigner)
          view.assigner = d[0].id;
        for (int s = 0; s < START_SERVICES; s++)
          {
            struct placement_service service = { (uint64_t)s, "b", rank };
            bool is_claimed = false;
            int chosen = -1;
            for (int i = 0; i < DAEMONS; i++)
              is_claimed |= claimed_at[s][i] != 0
                            && now >= claimed_at[s][i] + (i == self ? 0 : 30);
            if (is_claimed)
              continue;
            bool is_named
                = assigned_to[s] == self + 1 && now >= assigned_at[s] + 30;
            enum placement_action action
                = is_named ? PLACEMENT_CLAIM
                  : assigned_to[s] != 0
                      ? PLACEMENT_WAIT
                      : placement_decide (&view, &service, 0, &chosen);
            if (chosen >= 0)
              d[chosen].owned++;
            if (action == PLACEMENT_CLAIM)
              claimed_at[s][self] = now;
            if (action == PLACEMENT_ASSIGN)
              {
                assigned_to[s] = (int)d[chosen].id;
                assigned_at[s] = now;
              }
          }
      }
  for (int s = 0; s < START_SERVICES; s++)
    {
      int claims = 0;
      for (int i = 0; i < DAEMONS; i++)
        claims += claimed_at[s][i] != 0;
      CU_ASSERT_TRUE (claims >= 1);
      surplus += claims - 1;
    }
  return surplus;
}

/* Guards against members of a fleet that starts which claim the same services,
   as each ranks first in its own view. */
static void
members_that_start_claim_no_service_twice (void)
{
  int without = count_surplus_claims (false);
  printf ("[%d surplus claims without an assigner] ", without);
  CU_ASSERT_TRUE (without > 0);
  CU_ASSERT_EQUAL (count_surplus_claims (true), 0);
}

/* Guards against services that nobody claims because the member that assigns
   them does not act. */
static void
assigner_is_not_waited_for_long (void)
{
  struct placement_daemon d[DAEMONS];
  struct placement_view view = { 2, 1, d, DAEMONS };
  struct placement_service service = { 7, "c", rank };
  int chosen;
  make_daemons (d);
  CU_ASSERT_EQUAL (placement_decide (&view, &service, 300000, &chosen),
                   PLACEMENT_WAIT);
  CU_ASSERT_EQUAL (placement_decide (&view, &service, 500000, &chosen),
                   PLACEMENT_CLAIM);
  view.count = 0;
  CU_ASSERT_EQUAL (placement_decide (&view, &service, 500000, &chosen),
                   PLACEMENT_WAIT);
}

static const struct test_case cases[] = {
  { "services_follow_the_size", services_follow_the_size },
  { "near_daemon_comes_first", near_daemon_comes_first },
  { "small_owner_of_all_is_relieved", small_owner_of_all_is_relieved },
  { "moves_come_to_an_end", moves_come_to_an_end },
  { "even_load_stays", even_load_stays },
  { "slow_owner_is_relieved", slow_owner_is_relieved },
  { "members_that_start_claim_no_service_twice",
    members_that_start_claim_no_service_twice },
  { "assigner_is_not_waited_for_long", assigner_is_not_waited_for_long },
  { NULL, NULL },
};

TEST_SUITE (placement, cases)
