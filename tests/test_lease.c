/** Leases in virtual time: members that exchange heartbeats over a network
 * that delays, loses and cuts, and that pause and restart. */
#include "core/lease.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEMBERS 7
#define TERM 1000
#define BEAT 200
#define STEP 10
#define SERVICE 42
#define SEEDS 400
#define STEPS 2500
#define IN_FLIGHT 4000

struct flight
{
  bool used;
  int to;
  int64_t at;
  struct lease_heartbeat h;
  struct lease_claim claims[4];
  struct lease_grant grants[4];
};

struct member
{
  struct lease_table *table;
  uint64_t incarnation;
  int64_t offset; /**< Own clock less that of the world. */
  int64_t paused_until;
  int64_t down_until;
  int64_t next_beat;
  int64_t next_change;
  bool wants;
  bool reaches_store;
  uint64_t epoch; /**< Of the list that it has read. */
};

/** A list of voters; member i has the bit i. */
struct list
{
  unsigned voters;
  bool settled;
};

#define MAX_LISTS 200

struct world
{
  int64_t now;
  int members;
  struct member m[MEMBERS];
  bool cut[MEMBERS][MEMBERS]; /**< From, to. */
  struct flight flights[IN_FLIGHT];
  unsigned random;
  struct list lists[MAX_LISTS]; /**< By epoch; the last one is in the store. */
  uint64_t epoch;
};

static unsigned
draw (struct world *w, unsigned bound)
{
  return (unsigned)rand_r (&w->random) % bound;
}

static void
read_list (struct world *w, int i)
{
  struct member *m = &w->m[i];
  uint64_t ids[MEMBERS];
  int count = 0;
  for (int k = 0; k < w->members; k++)
    if (w->lists[w->epoch].voters & 1U << k)
      ids[count++] = (uint64_t)k + 1;
  m->epoch = w->epoch;
  lease_set_voters (
      m->table,
      &(struct lease_voters){ .ids = ids,
                              .count = count,
                              .epoch = m->epoch,
                              .settled = w->lists[w->epoch].settled },
      w->now + m->offset);
}

static void
start_member (struct world *w, int i)
{
  struct member *m = &w->m[i];
  talloc_free (m->table);
  m->incarnation++;
  m->table = lease_create (
      NULL, &(struct lease_options){ .self = (uint64_t)i + 1,
                                     .incarnation = m->incarnation,
                                     .term_us = TERM,
                                     .now = w->now + m->offset });
  read_list (w, i);
  m->next_beat = w->now;
  m->wants = false;
}

static void
send_beat (struct world *w, int from)
{
  struct member *m = &w->m[from];
  struct lease_claim claims[LEASE_MAX_SERVICES];
  struct lease_grant grants[LEASE_MAX_SERVICES];
  int claim_count = lease_claims (m->table, claims, w->now + m->offset);
  int grant_count = lease_grants (m->table, grants, w->now + m->offset);
  for (int to = 0; to < w->members; to++)
    {
      if (to == from || w->cut[from][to] || draw (w, 20) == 0)
        continue;
      int k = 0;
      while (k < IN_FLIGHT && w->flights[k].used)
        k++;
      if (k == IN_FLIGHT)
        continue;
      struct flight *f = &w->flights[k];
      f->used = true;
      f->to = to;
      f->at = w->now + 1 + draw (w, draw (w, 10) == 0 ? 600 : 20);
      memcpy (f->claims, claims, sizeof claims[0] * (size_t)claim_count);
      memcpy (f->grants, grants, sizeof grants[0] * (size_t)grant_count);
      f->h = (struct lease_heartbeat){
        .member = (uint64_t)from + 1,
        .incarnation = m->incarnation,
        .stamp = w->now + m->offset,
        .echo = lease_echo (m->table, (uint64_t)to + 1),
        .epoch = m->epoch,
        .claims = f->claims,
        .claim_count = claim_count,
        .grants = f->grants,
        .grant_count = grant_count,
      };
    }
}

static bool
runs (const struct world *w, int i)
{
  return w->now >= w->m[i].down_until && w->now >= w->m[i].paused_until;
}

static void
deliver (struct world *w)
{
  for (int k = 0; k < IN_FLIGHT; k++)
    {
      struct flight *f = &w->flights[k];
      if (!f->used || f->at > w->now)
        continue;
      int to = f->to;
      if (w->now < w->m[to].down_until)
        f->used = false;
      else if (runs (w, to))
        {
          f->used = false;
          lease_heard (w->m[to].table, &f->h, w->now + w->m[to].offset);
        }
    }
}

static void
act (struct world *w, int i)
{
  struct member *m = &w->m[i];
  int64_t own = w->now + m->offset;
  if (!runs (w, i))
    return;
  if (w->now >= m->next_change)
    {
      bool owns = lease_valid_until (m->table, SERVICE) > own;
      bool free = lease_owner (m->table, SERVICE, own) == 0;
      m->wants = owns ? draw (w, 20) != 0 : free && draw (w, 2) == 0;
      lease_claim (m->table, SERVICE, m->wants, own);
      m->next_change = w->now + 100 + draw (w, 400);
      m->next_beat = w->now;
    }
  if (w->now >= m->next_beat)
    {
      send_beat (w, i);
      m->next_beat = w->now + BEAT;
    }
}

static void
disturb (struct world *w)
{
  int i = (int)draw (w, (unsigned)w->members);
  switch (draw (w, 60))
    {
    case 0:
      w->m[i].paused_until = w->now + draw (w, 3000);
      break;
    case 1:
      start_member (w, i);
      w->m[i].down_until = w->now + draw (w, 800);
      break;
    case 2:
      for (int a = 0; a < w->members; a++)
        for (int b = 0; b < w->members; b++)
          w->cut[a][b] = (a <= i) != (b <= i) && draw (w, 4) != 0;
      break;
    case 3:
      memset (w->cut, 0, sizeof w->cut);
      break;
    default:
      break;
    }
}

static int
count_owners (const struct world *w)
{
  int owners = 0;
  for (int i = 0; i < w->members; i++)
    owners += w->now >= w->m[i].down_until
              && lease_valid_until (w->m[i].table, SERVICE)
                     > w->now + w->m[i].offset;
  return owners;
}

static struct world *
make_world (int members, unsigned seed)
{
  struct world *w = talloc_zero (NULL, struct world);
  w->random = seed;
  w->members = members;
  w->now = 1000000;
  w->epoch = 1;
  w->lists[1] = (struct list){ (1U << members) - 1, true };
  for (int i = 0; i < members; i++)
    {
      w->m[i].offset = (int64_t)draw (w, 1000000);
      start_member (w, i);
    }
  return w;
}

static void
free_world (struct world *w)
{
  for (int i = 0; i < w->members; i++)
    talloc_free (w->m[i].table);
  talloc_free (w);
}

static void
step (struct world *w)
{
  w->now += STEP;
  deliver (w);
  for (int i = 0; i < w->members; i++)
    act (w, i);
}

/* Some members read the newest list; one that is part of a majority and knows
   may replace it by one that may follow. */
static void
change_list (struct world *w)
{
  int i = (int)draw (w, (unsigned)w->members);
  struct member *m = &w->m[i];
  int64_t own = w->now + m->offset;
  unsigned voters = w->lists[w->epoch].voters;
  if (draw (w, 40) == 0)
    m->reaches_store = draw (w, 3) != 0;
  if (!runs (w, i) || !m->reaches_store)
    return;
  if (m->epoch != w->epoch)
    read_list (w, i);
  else if (draw (w, 10) == 0 && w->epoch + 1 < MAX_LISTS
           && lease_in_quorum (m->table, own)
           && lease_list_is_known (m->table, own))
    {
      struct list next = { voters, !w->lists[w->epoch].settled };
      unsigned other = 1U << draw (w, (unsigned)w->members);
      if (!w->lists[w->epoch].settled && draw (w, 2) == 0)
        next = (struct list){ voters ^ other, false };
      if (next.voters != 0)
        w->lists[++w->epoch] = next;
    }
}

/* Play a random schedule and check that there are never two owners.
   @return steps in which there was one. */
static int
run_schedule (struct world *w, unsigned seed, bool changes_lists)
{
  int most = 0, owned = 0;
  for (int k = 0; k < STEPS; k++)
    {
      if (draw (w, 3) == 0)
        disturb (w);
      if (changes_lists)
        change_list (w);
      step (w);
      int owners = count_owners (w);
      most = owners > most ? owners : most;
      owned += owners;
    }
  if (most > 1)
    printf ("two owners with seed %u\n", seed);
  CU_ASSERT_TRUE (most <= 1);
  return owned;
}

/* Pattern: pauses, restarts, cuts and late messages in any order never give
   a service two owners at a time. */
static void
never_two_owners (void)
{
  int owned = 0;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct world *w = make_world (3 + (int)(seed % 5), seed);
      owned += run_schedule (w, seed, false);
      free_world (w);
    }
  /* The schedules leave time to own, else nothing was shown. */
  CU_ASSERT_TRUE (owned > SEEDS * STEPS / 10);
}

/* Pattern: voters are added and removed while some of them are cut off from
   the store, from each other, paused or started again.  A list follows
   another one only if that is known, so that there are never two owners. */
static void
changing_lists_give_no_two_owners (void)
{
  int owned = 0;
  uint64_t changes = 0;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct world *w = make_world (MEMBERS, seed);
      w->lists[1].voters = 0x1f;
      for (int i = 0; i < w->members; i++)
        {
          w->m[i].reaches_store = true;
          read_list (w, i);
        }
      owned += run_schedule (w, seed, true);
      changes += w->epoch;
      free_world (w);
    }
  /* The schedules leave time to change lists and to own. */
  printf ("[%d lists, owned %d%%] ", (int)changes,
          owned / (SEEDS * STEPS / 100));
  CU_ASSERT_TRUE (changes > SEEDS);
  CU_ASSERT_TRUE (owned > SEEDS * STEPS / 10);
}

static bool
run_until_owned (struct world *w, int member, int64_t ms)
{
  for (int64_t end = w->now + ms; w->now < end;)
    {
      step (w);
      if (lease_valid_until (w->m[member].table, SERVICE)
          > w->now + w->m[member].offset)
        return true;
    }
  return false;
}

static void
claim_only (struct world *w, int member)
{
  for (int i = 0; i < w->members; i++)
    w->m[i].next_change = INT64_MAX;
  lease_claim (w->m[member].table, SERVICE, true,
               w->now + w->m[member].offset);
}

static void
split (struct world *w, int first_half)
{
  for (int a = 0; a < w->members; a++)
    for (int b = 0; b < w->members; b++)
      w->cut[a][b] = (a < first_half) != (b < first_half);
}

/* Pattern: a voter is lost and replaced, in four lists that follow each other;
   the voters read each one at different times, some before the owner and some
   after it.  The owner goes on. */
static void
owner_outlives_changes_of_the_list (void)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      struct world *w = make_world (MEMBERS, seed);
      static const struct list lists[] = {
        { 0x1f, false }, { 0x0f, false }, { 0x2f, false }, { 0x2f, true }
      };
      int lost = 0;
      w->lists[1].voters = 0x1f;
      for (int i = 0; i < w->members; i++)
        read_list (w, i);
      claim_only (w, 1);
      CU_ASSERT_TRUE (run_until_owned (w, 1, 4000));
      for (int k = 0; k < 4; k++)
        {
          int64_t reads[MEMBERS] = { 0 };
          w->lists[++w->epoch] = lists[k];
          for (int i = 0; i < w->members; i++)
            reads[i] = w->now + draw (w, 300);
          for (int64_t end = w->now + 4 * TERM; w->now < end;)
            {
              step (w);
              for (int i = 0; i < w->members; i++)
                if (w->m[i].epoch != w->epoch && w->now >= reads[i])
                  read_list (w, i);
              lost += count_owners (w) != 1;
            }
          CU_ASSERT_TRUE (
              lease_list_is_known (w->m[1].table, w->now + w->m[1].offset));
        }
      CU_ASSERT_EQUAL (lost, 0);
      free_world (w);
    }
}

/* Pattern: a fleet of six is cut in two halves of three; the half with the
   casting vote goes on, the other does not. */
static void
casting_vote_decides_between_halves (void)
{
  struct world *w = make_world (6, 7);
  split (w, 3);
  claim_only (w, 1);
  lease_claim (w->m[4].table, SERVICE, true, w->now + w->m[4].offset);
  CU_ASSERT_TRUE (run_until_owned (w, 1, 4000));
  CU_ASSERT_FALSE (run_until_owned (w, 4, 4000));
  CU_ASSERT_TRUE (lease_in_quorum (w->m[0].table, w->now + w->m[0].offset));
  CU_ASSERT_FALSE (lease_in_quorum (w->m[5].table, w->now + w->m[5].offset));
  free_world (w);
}

/* Pattern: all processes are killed and start again; once they have heard
   each other they need not wait for leases that nobody holds. */
static void
restart_of_all_is_quick (void)
{
  struct world *w = make_world (5, 3);
  claim_only (w, 0);
  CU_ASSERT_TRUE (run_until_owned (w, 0, 800));
  for (int i = 0; i < w->members; i++)
    start_member (w, i);
  claim_only (w, 2);
  CU_ASSERT_TRUE (run_until_owned (w, 2, 800));
  free_world (w);
}

/* Pattern: a process is killed; a refused connection shows that it has
   ended, and its service is free at once. */
static void
ended_process_owns_nothing (void)
{
  struct world *w = make_world (5, 9);
  claim_only (w, 0);
  CU_ASSERT_TRUE (run_until_owned (w, 0, 2000));
  w->m[0].down_until = INT64_MAX;
  for (int i = 1; i < w->members; i++)
    lease_ended (w->m[i].table, 1, w->m[0].incarnation);
  claim_only (w, 3);
  CU_ASSERT_TRUE (run_until_owned (w, 3, 500));
  free_world (w);
}

/* Pattern: an owner that is cut off announces a change of the primary in the
   last part of its lease; no majority confirms it, so it is not ordered. */
static void
change_is_confirmed_by_a_majority_only (void)
{
  struct world *w = make_world (5, 11);
  claim_only (w, 0);
  CU_ASSERT_TRUE (run_until_owned (w, 0, 2000));
  split (w, 1);
  int64_t since = w->now + w->m[0].offset;
  lease_set_state (w->m[0].table, SERVICE, LEASE_CHANGING);
  for (int k = 0; k < 60; k++)
    step (w);
  CU_ASSERT_FALSE (lease_confirmed_since (w->m[0].table, SERVICE, since));
  claim_only (w, 2);
  CU_ASSERT_TRUE (run_until_owned (w, 2, 3000));
  CU_ASSERT_FALSE (lease_is_changing (w->m[2].table, SERVICE));
  free_world (w);
}

/* Pattern: the owner dies after a majority heard of its change; the next
   owner knows that it must look for the record. */
static void
next_owner_hears_of_a_change (void)
{
  struct world *w = make_world (5, 12);
  claim_only (w, 0);
  CU_ASSERT_TRUE (run_until_owned (w, 0, 2000));
  int64_t since = w->now + w->m[0].offset;
  lease_set_state (w->m[0].table, SERVICE, LEASE_CHANGING);
  for (int k = 0; k < 80; k++)
    step (w);
  CU_ASSERT_TRUE (lease_confirmed_since (w->m[0].table, SERVICE, since));
  w->m[0].down_until = INT64_MAX;
  claim_only (w, 4);
  CU_ASSERT_TRUE (run_until_owned (w, 4, 4000));
  CU_ASSERT_TRUE (lease_is_changing (w->m[4].table, SERVICE));
  lease_set_state (w->m[4].table, SERVICE, LEASE_SETTLED);
  for (int k = 0; k < 60; k++)
    step (w);
  CU_ASSERT_FALSE (lease_is_changing (w->m[4].table, SERVICE));
  free_world (w);
}

static void
hear (struct lease_table *t, uint64_t member, uint64_t incarnation,
      const struct lease_claim *claims, int count, int64_t now)
{
  static const struct lease_grant none[1];
  lease_heard (t,
               &(struct lease_heartbeat){ .member = member,
                                          .incarnation = incarnation,
                                          .stamp = now,
                                          .claims = claims,
                                          .claim_count = count,
                                          .grants = none },
               now);
}

/* Pattern: an observer sends statements to the voter that holds a service,
   not to one that only asks for it, and follows it to the next one. */
static void
observer_follows_the_owner (void)
{
  struct lease_table *t = lease_create (
      NULL, &(struct lease_options){
                .self = 9, .incarnation = 1, .term_us = TERM, .now = 0 });
  uint64_t voters[] = { 1, 2, 3 };
  struct lease_claim wants = { .service = SERVICE };
  struct lease_claim holds = { .service = SERVICE, .held = true };
  lease_set_voters (
      t,
      &(struct lease_voters){
          .ids = voters, .count = 3, .epoch = 1, .settled = true },
      0);
  CU_ASSERT_FALSE (lease_is_voter (t));
  hear (t, 1, 1, &wants, 1, 10);
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 10), 0);
  CU_ASSERT_FALSE (lease_in_quorum (t, 10));
  hear (t, 2, 1, &holds, 1, 20);
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 20), 2);
  CU_ASSERT_TRUE (lease_in_quorum (t, 20));
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 20 + 2 * TERM), 0);
  hear (t, 2, 1, &holds, 0, 30);
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 30), 0);
  hear (t, 2, 1, &holds, 1, 40);
  hear (t, 3, 1, &holds, 1, 50);
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 50), 3);
  CU_ASSERT_TRUE (lease_ended (t, 3, 1));
  CU_ASSERT_EQUAL (lease_owner (t, SERVICE, 50), 0);
  talloc_free (t);
}

/* Pattern: an observer becomes a voter; what it has heard of an owner does not
   keep it from granting the service to another one, and it waits one lease as
   every new voter does. */
static void
observer_becomes_a_voter (void)
{
  struct lease_table *t = lease_create (
      NULL, &(struct lease_options){
                .self = 9, .incarnation = 1, .term_us = TERM, .now = 0 });
  struct lease_grant grants[LEASE_MAX_SERVICES];
  uint64_t voters[] = { 1, 2, 9 };
  struct lease_claim wants = { .service = SERVICE };
  struct lease_claim holds = { .service = SERVICE, .held = true };
  lease_set_voters (
      t,
      &(struct lease_voters){
          .ids = voters, .count = 2, .epoch = 1, .settled = true },
      0);
  hear (t, 1, 1, &holds, 1, 100);
  CU_ASSERT_EQUAL (lease_grants (t, grants, 100), 0);
  lease_set_voters (
      t,
      &(struct lease_voters){
          .ids = voters, .count = 3, .epoch = 2, .settled = true },
      100);
  CU_ASSERT_TRUE (lease_is_voter (t));
  hear (t, 2, 1, &wants, 1, 200);
  CU_ASSERT_EQUAL (lease_grants (t, grants, 200), 0);
  hear (t, 2, 1, &wants, 1, 2 * TERM);
  CU_ASSERT_EQUAL (lease_grants (t, grants, 2 * TERM), 1);
  CU_ASSERT_EQUAL (grants[0].member, 2);
  talloc_free (t);
}

/* Pattern: a fleet before 2,000 databases in groups of three; one voter is
   left and owns all of them. */
static void
every_one_of_many_services_is_owned (void)
{
  enum
  {
    SERVICES = 667
  };
  struct lease_table *t = lease_create (
      NULL, &(struct lease_options){
                .self = 9, .incarnation = 1, .term_us = TERM, .now = 0 });
  struct lease_grant grants[LEASE_MAX_SERVICES];
  uint64_t voters[] = { 9 };
  int owned = 0;
  lease_set_voters (
      t,
      &(struct lease_voters){
          .ids = voters, .count = 1, .epoch = 1, .settled = true },
      0);
  for (int i = 1; i <= SERVICES; i++)
    lease_claim (t, (uint64_t)i, true, 0);
  CU_ASSERT_EQUAL (lease_grants (t, grants, 100), SERVICES);
  for (int i = 1; i <= SERVICES; i++)
    owned += lease_valid_until (t, (uint64_t)i) > 100;
  CU_ASSERT_EQUAL (owned, SERVICES);
  talloc_free (t);
}

/* Pattern: a process that is not in the list of members decides nothing. */
static void
stranger_owns_nothing (void)
{
  struct lease_table *t = lease_create (
      NULL, &(struct lease_options){
                .self = 1, .incarnation = 1, .term_us = TERM, .now = 0 });
  struct lease_grant grants[LEASE_MAX_SERVICES];
  uint64_t others[] = { 2, 3 };
  lease_set_voters (
      t,
      &(struct lease_voters){
          .ids = others, .count = 2, .epoch = 1, .settled = true },
      0);
  lease_claim (t, SERVICE, true, 5000);
  CU_ASSERT_EQUAL (lease_grants (t, grants, 5000), 0);
  CU_ASSERT_FALSE (lease_in_quorum (t, 5000));
  CU_ASSERT_EQUAL (lease_valid_until (t, SERVICE), 0);
  talloc_free (t);
}

static const struct test_case cases[] = {
  { "never_two_owners", never_two_owners },
  { "changing_lists_give_no_two_owners", changing_lists_give_no_two_owners },
  { "owner_outlives_changes_of_the_list", owner_outlives_changes_of_the_list },
  { "casting_vote_decides_between_halves",
    casting_vote_decides_between_halves },
  { "restart_of_all_is_quick", restart_of_all_is_quick },
  { "ended_process_owns_nothing", ended_process_owns_nothing },
  { "change_is_confirmed_by_a_majority_only",
    change_is_confirmed_by_a_majority_only },
  { "next_owner_hears_of_a_change", next_owner_hears_of_a_change },
  { "observer_follows_the_owner", observer_follows_the_owner },
  { "every_one_of_many_services_is_owned",
    every_one_of_many_services_is_owned },
  { "observer_becomes_a_voter", observer_becomes_a_voter },
  { "stranger_owns_nothing", stranger_owns_nothing },
  { NULL, NULL },
};

TEST_SUITE (lease, cases)
