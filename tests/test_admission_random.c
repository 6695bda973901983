#include "core/admission.h"
#include "tests/tests.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define MS INT64_C (1000)
#define ENTRIES 4000
#define ORGANISATIONS 40
#define MAX_QUEUED 20

/** State of an entry as the test expects it, kept apart from the module. */
struct item
{
  struct admission_entry entry;
  int organisation;
  bool waiting;
  int64_t order; /**< Number of the push that queued it. */
};

/** A random sequence of operations. */
struct walk
{
  unsigned short seed[3];
  struct admission *admission;
  struct item items[ENTRIES];
  char names[ORGANISATIONS][16];
  int64_t now, order;
  int waiting;
};

/* Whether both items belong to the same queue of the module. */
static bool
same_queue (const struct item *a, const struct item *b)
{
  return a->organisation == b->organisation
         && (a->entry.class_ == CLASS_BROWSE)
                == (b->entry.class_ == CLASS_BROWSE);
}

/* Number of waiting items in the queue of the item @p of. */
static int
count_queue (const struct walk *w, const struct item *of)
{
  int count = 0;
  for (int i = 0; i < ENTRIES; i++)
    count += w->items[i].waiting && same_queue (&w->items[i], of);
  return count;
}

static void
random_push (struct walk *w)
{
  struct item *item = &w->items[(int)(erand48 (w->seed) * ENTRIES)];
  int64_t retry = 0;
  if (item->waiting)
    return;
  *item = (struct item){ .organisation
                         = (int)(pow (erand48 (w->seed), 3) * ORGANISATIONS),
                         .order = ++w->order };
  item->entry = (struct admission_entry){
    .organisation = w->names[item->organisation],
    .class_ = (enum admission_class) (erand48 (w->seed) * CLASS_COUNT),
    .weight = 0.1 + 5 * erand48 (w->seed),
    .cost = 4 * erand48 (w->seed),
    .deadline = erand48 (w->seed) < 0.5
                    ? 0
                    : w->now + (int64_t)(erand48 (w->seed) * 300) * MS,
    .request = item,
  };
  int before = count_queue (w, item);
  switch (admission_push (w->admission, &item->entry, w->now, &retry))
    {
    case ADMISSION_QUEUED:
      item->waiting = true;
      w->waiting++;
      break;
    case ADMISSION_FULL:
      CU_ASSERT (before >= MAX_QUEUED);
      CU_ASSERT (retry > 0);
      break;
    case ADMISSION_TOO_LATE:
      CU_ASSERT (item->entry.deadline > 0);
      CU_ASSERT (retry > 0);
      break;
    }
}

/* Record that the module returned or removed the item. */
static void
record_removal (struct walk *w, struct item *item)
{
  CU_ASSERT (item->waiting);
  item->waiting = false;
  w->waiting--;
}

static void
random_pop (struct walk *w)
{
  struct admission_entry *e = admission_pop (w->admission, w->now);
  if (e == NULL)
    return;
  struct item *item = e->request;
  CU_ASSERT (e->deadline == 0 || e->deadline > w->now);
  record_removal (w, item);
  /* Each queue is first in, first out, except for entries that cannot meet
     their deadline. */
  for (int i = 0; i < ENTRIES; i++)
    if (w->items[i].waiting && same_queue (&w->items[i], item)
        && w->items[i].order < item->order)
      CU_ASSERT (w->items[i].entry.deadline > 0);
  admission_done (w->admission, e, (int64_t)(erand48 (w->seed) * 20) * MS,
                  w->now);
}

static void
random_remove (struct walk *w)
{
  struct item *item = &w->items[(int)(erand48 (w->seed) * ENTRIES)];
  admission_remove (w->admission, &item->entry);
  if (item->waiting)
    record_removal (w, item);
}

/* Take the expired entries, and check that the next deadline then is the
   earliest of the waiting items. */
static void
take_expired (struct walk *w)
{
  struct admission_entry *e;
  int64_t earliest = INT64_MAX;
  while ((e = admission_pop_expired (w->admission, w->now)) != NULL)
    record_removal (w, e->request);
  for (int i = 0; i < ENTRIES; i++)
    {
      const struct item *item = &w->items[i];
      if (item->waiting && item->entry.deadline > 0
          && item->entry.deadline < earliest)
        earliest = item->entry.deadline;
    }
  CU_ASSERT (earliest > w->now);
  CU_ASSERT_EQUAL (earliest, admission_next_deadline (w->admission));
}

static void
random_walk (bool no_early_refusal)
{
  struct walk *w = talloc_zero (NULL, struct walk);
  struct admission_options options = { .max_queued = MAX_QUEUED,
                                       .browse_share = 0.2,
                                       .no_early_refusal = no_early_refusal };
  w->admission = admission_create (w, &options);
  w->seed[0] = 3;
  for (int i = 0; i < ORGANISATIONS; i++)
    snprintf (w->names[i], sizeof w->names[i], "org-%d", i);
  for (int i = 0; i < 40000; i++)
    {
      double choice = erand48 (w->seed);
      w->now += choice < 0.1 ? (int64_t)(erand48 (w->seed) * 20) * MS : 0;
      if (choice < 0.6)
        random_push (w);
      else if (choice < 0.95)
        random_pop (w);
      else
        random_remove (w);
      take_expired (w);
      CU_ASSERT_EQUAL (admission_queued (w->admission), w->waiting);
    }
  talloc_free (w);
}

/* Guards against an entry that is lost, served twice or served after its
   deadline.  Without early refusal many more entries with a deadline wait. */
static void
every_entry_leaves_once (void)
{
  random_walk (false);
  random_walk (true);
}

/* Serve organisations that always have waiting entries.
   @param difference set to the largest difference, between two organisations,
   of the served cost per weight.
   @param browse set to the fraction of CLASS_BROWSE in the served cost. */
static void
serve_backlog (bool fifo, double *difference, double *browse)
{
  enum
  {
    COUNT = 10,
    DEPTH = 8
  };
  void *scratch = talloc_new (NULL);
  struct admission_options options
      = { .fifo = fifo, .max_queued = 1000, .browse_share = 0.2 };
  struct admission *a = admission_create (scratch, &options);
  struct admission_entry *entries
      = talloc_zero_array (scratch, struct admission_entry, COUNT * DEPTH * 2);
  unsigned short seed[3] = { 8, 8, 8 };
  double served[COUNT] = { 0 }, browsing = 0, all = 0;
  int64_t retry;
  for (int i = 0; i < COUNT * DEPTH * 2; i++)
    {
      struct admission_entry *e = &entries[i];
      int organisation = i % COUNT;
      e->organisation = talloc_asprintf (scratch, "%d", organisation);
      e->class_ = i < COUNT * DEPTH ? CLASS_WRITE : CLASS_BROWSE;
      e->weight = organisation < COUNT / 2 ? 1 : 4;
      e->cost = 0.25 + erand48 (seed);
      e->request = &served[organisation];
      admission_push (a, e, 0, &retry);
    }
  *difference = 0;
  for (int i = 0; i < 20000; i++)
    {
      struct admission_entry *e = admission_pop (a, 0);
      double low = 1e9, high = 0;
      all += e->cost;
      if (e->class_ == CLASS_BROWSE)
        browsing += e->cost;
      else
        *(double *)e->request += e->cost / e->weight;
      admission_done (a, e, -1, 0);
      admission_push (a, e, 0, &retry);
      for (int o = 0; o < COUNT; o++)
        {
          low = fmin (low, served[o]);
          high = fmax (high, served[o]);
        }
      *difference = fmax (*difference, high - low);
    }
  *browse = browsing / all;
  talloc_free (scratch);
}

/* Guards against an organisation whose share of the served cost drifts away
   from its weight.  The quantum of a weight of 1 is below 1.25 here, and a
   queue is ahead or behind by less than one quantum and one request of at
   most 1.25 each. */
static void
service_follows_weights (void)
{
  double difference, browse;
  serve_backlog (false, &difference, &browse);
  CU_ASSERT (difference < 5.0);
  CU_ASSERT (browse > 0.199 && browse < 0.201);
  printf ("difference %.2f, browsing %.1f%% ", difference, 100 * browse);
  serve_backlog (true, &difference, &browse);
  CU_ASSERT (difference > 100);
}

/* Guards against memory that grows with the queues of organisations that no
   longer send requests. */
static void
memory_is_bounded (void)
{
  struct admission_options options = { .max_queued = 10 };
  struct admission *a = admission_create (NULL, &options);
  struct admission_entry e, first = { .organisation = "a" };
  struct admission_entry last = { .organisation = "z" };
  char name[32];
  int64_t retry;
  /* These two entries wait all the time; their queues sort before and after
     those of the other organisations. */
  admission_push (a, &first, 0, &retry);
  admission_push (a, &last, 0, &retry);
  for (int i = 0; i < 100000; i++)
    {
      snprintf (name, sizeof name, "organisation-%d", i);
      e = (struct admission_entry){ .organisation = name };
      admission_push (a, &e, i, &retry);
      admission_remove (a, &e);
    }
  CU_ASSERT_PTR_EQUAL (admission_pop (a, 0), &first);
  CU_ASSERT_PTR_EQUAL (admission_pop (a, 0), &last);
  CU_ASSERT_PTR_NULL (admission_pop (a, 0));
  /* The queues of both organisations are found again by name. */
  admission_push (a, &first, 0, &retry);
  admission_push (a, &last, 0, &retry);
  CU_ASSERT_EQUAL (admission_queued (a), 2);
  CU_ASSERT (talloc_total_blocks (a) < 300);
  printf ("%zu blocks, %zu bytes ", talloc_total_blocks (a),
          talloc_total_size (a));
  talloc_free (a);
}

/* Guards against an estimate that still uses the concurrency of a time long
   past. */
static void
old_concurrency_is_forgotten (void)
{
  enum
  {
    COUNT = 10
  };
  struct admission_options options = { .max_queued = 100 };
  struct admission *a = admission_create (NULL, &options);
  struct admission_entry entries[2 * COUNT] = { 0 }, asked = { 0 };
  const int64_t hour = 3600 * 1000 * MS;
  int64_t retry;
  for (int i = 0; i < COUNT; i++)
    admission_push (a, &entries[i], 0, &retry);
  for (int i = 0; i < COUNT; i++)
    admission_pop (a, 0);
  for (int i = 0; i < COUNT; i++)
    admission_done (a, &entries[i], 10 * MS, 10 * MS);
  for (int i = COUNT; i < 2 * COUNT; i++)
    admission_push (a, &entries[i], 20 * MS, &retry);
  CU_ASSERT_EQUAL (admission_estimate (a, &asked), 20 * MS);
  for (int i = COUNT; i < 2 * COUNT; i++)
    admission_remove (a, &entries[i]);
  for (int i = COUNT; i < 2 * COUNT; i++)
    admission_push (a, &entries[i], hour, &retry);
  CU_ASSERT_EQUAL (admission_estimate (a, &asked), 110 * MS);
  talloc_free (a);
}

/* Run @p rounds rounds of up to @p at_once concurrent requests with the given
   latency. */
static void
run_limit (struct admission_limit *l, int rounds, int at_once, int64_t latency,
           int64_t *now)
{
  for (int i = 0; i < rounds; i++)
    {
      int started = 0;
      while (started < at_once && admission_limit_start (l))
        started++;
      *now += latency;
      for (int j = 0; j < started; j++)
        admission_limit_end (l, latency, false, *now);
      CU_ASSERT (admission_limit_value (l) >= 1);
    }
}

/* Guards against a limit above the number of slots, and against one that grows
   while few requests use it and then admits many at once. */
static void
the_limit_stays_in_bounds (void)
{
  struct admission_limit *l = admission_limit_create (NULL, 16);
  int64_t now = 0;
  run_limit (l, 100, 16, 5 * MS, &now);
  CU_ASSERT_EQUAL (admission_limit_value (l), 16);
  run_limit (l, 20, 16, 50 * MS, &now);
  int low = admission_limit_value (l);
  CU_ASSERT (low < 8);
  run_limit (l, 500, 1, 5 * MS, &now);
  /* The limit stops at twice the used slots and one more step. */
  CU_ASSERT (admission_limit_value (l) <= (low > 4 ? low : 4));
  run_limit (l, 500, 16, 5 * MS, &now);
  CU_ASSERT_EQUAL (admission_limit_value (l), 16);
  /* Change the slots during a probe, whose end restores the limit before it.
   */
  while (admission_limit_value (l) == 16)
    run_limit (l, 1, 16, 5 * MS, &now);
  admission_limit_set_slots (l, 6);
  for (int i = 0; i < 500; i++)
    {
      run_limit (l, 1, 16, 5 * MS, &now);
      CU_ASSERT (admission_limit_value (l) <= 6);
    }
  admission_limit_set_slots (l, 0);
  CU_ASSERT_EQUAL (admission_limit_value (l), 1);
  CU_ASSERT_EQUAL (admission_limit_running (l), 0);
  talloc_free (l);
}

/* Nanoseconds of processor time of one push, pop and done while @p depth
   entries of each organisation wait. */
static double
operation_ns (int organisations, int depth)
{
  void *scratch = talloc_new (NULL);
  struct admission_options options = { .max_queued = depth + 1 };
  struct admission *a = admission_create (scratch, &options);
  int count = organisations * depth, rounds = 200000;
  struct admission_entry *entries
      = talloc_zero_array (scratch, struct admission_entry, count);
  int64_t retry;
  for (int i = 0; i < count; i++)
    {
      entries[i].organisation = i < organisations
                                    ? talloc_asprintf (scratch, "org-%d", i)
                                    : entries[i - organisations].organisation;
      entries[i].deadline = INT64_C (1000000000000) + i;
      admission_push (a, &entries[i], 0, &retry);
    }
  clock_t start = clock ();
  for (int i = 0; i < rounds; i++)
    {
      struct admission_entry *e = admission_pop (a, i);
      admission_done (a, e, 10, i);
      admission_push (a, e, i, &retry);
    }
  double ns = 1e9 * (double)(clock () - start) / CLOCKS_PER_SEC / rounds;
  talloc_free (scratch);
  return ns;
}

/* Guards against a processor time per request that grows with the number of
   waiting requests.  The bound allows for cache misses and a busy machine. */
static void
cost_hardly_grows_with_the_queue (void)
{
  double small = operation_ns (8, 10), large = operation_ns (1000, 100);
  printf ("80 waiting: %.0f ns, 100,000 waiting: %.0f ns ", small, large);
  CU_ASSERT (large < 50 * small);
}

static const struct test_case cases[] = {
  { "every_entry_leaves_once", every_entry_leaves_once },
  { "service_follows_weights", service_follows_weights },
  { "memory_is_bounded", memory_is_bounded },
  { "old_concurrency_is_forgotten", old_concurrency_is_forgotten },
  { "the_limit_stays_in_bounds", the_limit_stays_in_bounds },
  { "cost_hardly_grows_with_the_queue", cost_hardly_grows_with_the_queue },
  { NULL, NULL },
};
TEST_SUITE (admission_random, cases)
