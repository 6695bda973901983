#include "common/stats.h"
#include "core/admission.h"
#include "tests/script.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_LOADS 16
#define MAX_RUNNING 64
#define MS 1000

static const char *const class_names[]
    = { "write", "session", "browse", NULL };
static const char *const verdict_names[] = { "queued", "full", "too_late" };

/** Requests of one load, by how they ended. */
struct counts
{
  int offered;                    /**< All requests that arrived. */
  int good;                       /**< Answered within the deadline. */
  int failed;                     /**< Ended by a failure of the endpoint. */
  int late;                       /**< Answered after the deadline. */
  int full;                       /**< Refused because the queue was full. */
  int too_late;                   /**< Refused because of the deadline. */
  int expired;                    /**< Removed by admission_pop_expired. */
  struct histogram wait, latency; /**< In microseconds. */
};

/** A stream of requests of one organisation and class. */
struct load
{
  const char *name;
  enum admission_class class_;
  double rate; /**< Requests per second. */
  double weight, cost;
  int64_t deadline; /**< Time from the arrival; 0: none. */
  bool poisson;     /**< Exponential gaps between arrivals, else equal ones. */
  int64_t next;     /**< Time of the next arrival. */
  /** Counts since the last "report" command, and those that it printed. */
  struct counts now, reported;
};

/** One request. */
struct job
{
  struct admission_entry entry;
  struct load *load;
  int64_t arrived, started, ends;
};

/** Simulation of open-loop loads at one endpoint, in virtual time. */
struct sim
{
  void *scratch;
  struct admission *admission;
  struct admission_limit *limit;
  struct load loads[MAX_LOADS];
  int load_count;
  int64_t now;
  int64_t service_us; /**< Service time for a cost of 1, in microseconds. */
  int knee;           /**< Number of requests that run at full speed; more of
                         them share that speed. */
  bool exponential;   /**< Exponential service times, else equal ones. */
  double failing_fraction; /**< Fraction of the requests that fail. */
  unsigned short seed[3];
  struct job *running[MAX_RUNNING];
  int running_count;
  int limit_low, limit_high; /**< Extremes of the limit since the report. */
  int total_failed;
  /** Options that a test sets regardless of the session's script. */
  bool fifo, no_early_refusal, no_browse_share;
  enum admission_limit_mode limit_mode;
  /** Newest entries of the commands "push" and "pop". */
  struct admission_entry *last_pushed;
  struct admission_entry *last_popped;
};

static struct sim *
sim_create (void)
{
  struct sim *s = talloc_zero (NULL, struct sim);
  s->scratch = s;
  s->knee = MAX_RUNNING;
  s->seed[0] = 17;
  return s;
}

static double
draw_exponential (struct sim *s)
{
  return -log (1.0 - erand48 (s->seed));
}

static void
schedule_next (struct sim *s, struct load *l)
{
  double gap = 1e6 / l->rate;
  l->next += (int64_t)(l->poisson ? gap * draw_exponential (s) : gap);
}

/* Push one request of the load @p l. */
static void
push_arrival (struct sim *s, struct load *l)
{
  struct job *j = talloc_zero (s, struct job);
  int64_t retry = 0;
  *j = (struct job){ .load = l, .arrived = s->now };
  j->entry = (struct admission_entry){
    .organisation = l->name,
    .class_ = l->class_,
    .weight = l->weight,
    .cost = l->cost,
    .deadline = l->deadline > 0 ? s->now + l->deadline : 0,
    .request = j,
  };
  l->now.offered++;
  switch (admission_push (s->admission, &j->entry, s->now, &retry))
    {
    case ADMISSION_QUEUED:
      return;
    case ADMISSION_FULL:
      l->now.full++;
      break;
    case ADMISSION_TOO_LATE:
      l->now.too_late++;
      break;
    }
  CU_ASSERT (retry > 0);
  talloc_free (j);
}

static void
start_jobs (struct sim *s)
{
  struct admission_entry *e;
  while (s->running_count < MAX_RUNNING && admission_limit_start (s->limit))
    {
      e = admission_pop (s->admission, s->now);
      if (e == NULL)
        {
          /* No request used the slot, so nothing is measured. */
          admission_limit_cancel (s->limit);
          break;
        }
      struct job *j = e->request;
      double slow = s->running_count + 1 > s->knee
                        ? (double)(s->running_count + 1) / s->knee
                        : 1.0;
      double draw = s->exponential ? draw_exponential (s) : 1.0;
      double cost = e->cost > 0 ? e->cost : 1.0;
      j->started = s->now;
      j->ends = s->now + (int64_t)((double)s->service_us * slow * draw * cost);
      histogram_add (&j->load->now.wait, (uint64_t)(s->now - j->arrived));
      s->running[s->running_count++] = j;
    }
  int limit = admission_limit_value (s->limit);
  s->limit_low = limit < s->limit_low ? limit : s->limit_low;
  s->limit_high = limit > s->limit_high ? limit : s->limit_high;
}

static void
end_job (struct sim *s, int index)
{
  struct job *j = s->running[index];
  s->running[index] = s->running[--s->running_count];
  bool in_time = j->entry.deadline <= 0 || s->now <= j->entry.deadline;
  bool failed
      = s->failing_fraction > 0 && erand48 (s->seed) < s->failing_fraction;
  if (failed)
    j->load->now.failed++;
  else if (in_time)
    j->load->now.good++;
  else
    j->load->now.late++;
  histogram_add (&j->load->now.latency, (uint64_t)(s->now - j->started));
  admission_limit_end (s->limit, s->now - j->started, failed, s->now);
  admission_done (s->admission, &j->entry, s->now - j->started, s->now);
  talloc_free (j);
}

static void
expire_jobs (struct sim *s)
{
  struct admission_entry *e;
  while ((e = admission_pop_expired (s->admission, s->now)) != NULL)
    {
      struct job *j = e->request;
      j->load->now.expired++;
      talloc_free (j);
    }
}

/* Process the events before @p until in the order of their times. */
static void
run_until (struct sim *s, int64_t until)
{
  for (;;)
    {
      int64_t next = admission_next_deadline (s->admission);
      struct load *arrival = NULL;
      int ending = -1;
      for (int i = 0; i < s->load_count; i++)
        if (s->loads[i].rate > 0 && s->loads[i].next < next)
          {
            next = s->loads[i].next;
            arrival = &s->loads[i];
          }
      for (int i = 0; i < s->running_count; i++)
        if (s->running[i]->ends < next)
          {
            next = s->running[i]->ends;
            ending = i;
          }
      if (next >= until)
        break;
      s->now = next > s->now ? next : s->now;
      if (ending >= 0)
        end_job (s, ending);
      else if (arrival != NULL)
        {
          schedule_next (s, arrival);
          push_arrival (s, arrival);
        }
      expire_jobs (s);
      start_jobs (s);
    }
  s->now = until;
}

static void
do_report (struct script *t, struct sim *s)
{
  script_print (t, "at %lld ms: limit %d (%d to %d)", (long long)(s->now / MS),
                admission_limit_value (s->limit), s->limit_low, s->limit_high);
  script_print (t, "  %-9s %-7s %7s %6s %6s %5s %6s %8s %7s %8s %8s", "load",
                "class", "offered", "good", "failed", "late", "full",
                "too_late", "expired", "p99_wait", "p50_run");
  for (int i = 0; i < s->load_count; i++)
    {
      struct load *l = &s->loads[i];
      const struct counts *c = &l->now;
      script_print (
          t, "  %-9s %-7s %7d %6d %6d %5d %6d %8d %7d %5lld ms %5lld ms",
          l->name, class_names[l->class_], c->offered, c->good, c->failed,
          c->late, c->full, c->too_late, c->expired,
          (long long)histogram_quantile (&c->wait, 0.99) / MS,
          (long long)histogram_quantile (&c->latency, 0.5) / MS);
      s->total_failed += c->failed;
      l->reported = l->now;
      l->now = (struct counts){ 0 };
    }
  s->limit_low = s->limit_high = admission_limit_value (s->limit);
}

static int64_t
ms_value (const struct script *t, const char *name, const char *other)
{
  return (int64_t)(atof (script_value (t, name, other)) * MS);
}

static bool
has_word (const struct script *t, const char *word)
{
  for (int i = 0; i < t->word_count; i++)
    if (strcmp (t->words[i], word) == 0)
      return true;
  return false;
}

static void
do_options (struct script *t, struct sim *s)
{
  struct admission_options options = {
    .fifo = s->fifo,
    .max_queued = atoi (script_value (t, "max_queued", "1000")),
    .browse_share
    = s->no_browse_share ? 0 : atof (script_value (t, "browse_share", "0.1")),
    .no_early_refusal = s->no_early_refusal,
  };
  s->admission = admission_create (s, &options);
}

static void
do_server (struct script *t, struct sim *s)
{
  int slots = atoi (script_value (t, "slots", "1"));
  s->limit = admission_limit_create (s, slots);
  admission_limit_set_mode (s->limit, has_word (t, "adaptive") ? s->limit_mode
                                                               : LIMIT_FIXED);
  s->service_us = ms_value (t, "service_ms", "10");
  s->knee = atoi (script_value (t, "knee", "64"));
  s->exponential = has_word (t, "exponential");
  s->limit_low = s->limit_high = slots;
}

static void
do_load (struct script *t, struct sim *s)
{
  struct load *l = &s->loads[s->load_count++];
  CU_ASSERT_FATAL (s->load_count <= MAX_LOADS);
  *l = (struct load){
    .name = talloc_strdup (s, t->words[1]),
    .class_ = (enum admission_class)script_find (
        t, class_names, script_value (t, "class", "write")),
    .rate = atof (script_value (t, "rate", "1")),
    .weight = atof (script_value (t, "weight", "1")),
    .cost = atof (script_value (t, "cost", "1")),
    .deadline = ms_value (t, "deadline_ms", "0"),
    .poisson = has_word (t, "poisson"),
    .next = s->now,
  };
  schedule_next (s, l);
}

/* Commands for single steps, which test the order of service. */

static void
do_push (struct script *t, struct sim *s)
{
  int times = atoi (script_value (t, "times", "1"));
  for (int i = 0; i < times; i++)
    {
      struct admission_entry *e = talloc_zero (s, struct admission_entry);
      int64_t retry;
      e->organisation = talloc_strdup (e, t->words[1]);
      e->class_
          = (enum admission_class)script_find (t, class_names, t->words[2]);
      e->weight = atof (script_value (t, "weight", "1"));
      e->cost = atof (script_value (t, "cost", "1"));
      if (has_word (t, "deadline_ms"))
        e->deadline = s->now + ms_value (t, "deadline_ms", "0");
      enum admission_verdict verdict
          = admission_push (s->admission, e, s->now, &retry);
      if (verdict == ADMISSION_QUEUED)
        s->last_pushed = e;
      if (verdict != ADMISSION_QUEUED)
        script_print (t, "push %s: %s, retry after %lld us", t->words[1],
                      verdict_names[verdict], (long long)retry);
      else if (i == times - 1)
        script_print (t, "push %s: %s, %d waiting", t->words[1],
                      verdict_names[verdict], admission_queued (s->admission));
    }
}

static void
do_pop (struct script *t, struct sim *s)
{
  int times = atoi (script_value (t, "times", "1"));
  char *line = talloc_strdup (s, "pop:");
  for (int i = 0; i < times; i++)
    {
      struct admission_entry *e = admission_pop (s->admission, s->now);
      if (e == NULL)
        line = talloc_strdup_append (line, " -");
      else
        line = talloc_asprintf_append (line, " %s%s", e->organisation,
                                       e->class_ == CLASS_BROWSE ? "/browse"
                                                                 : "");
      s->last_popped = e;
    }
  script_print (t, "%s", line);
}

static void
do_expired (struct script *t, struct sim *s)
{
  struct admission_entry *e;
  while ((e = admission_pop_expired (s->admission, s->now)) != NULL)
    script_print (t, "expired: %s, queued at %lld ms", e->organisation,
                  (long long)(e->queued_at / MS));
  script_print (t, "%d waiting", admission_queued (s->admission));
}

static void
do_remove (struct script *t, struct sim *s)
{
  admission_remove (s->admission, s->last_pushed);
  script_print (t, "remove: %d waiting", admission_queued (s->admission));
}

static void
do_done (struct script *t, struct sim *s)
{
  admission_done (s->admission, s->last_popped, atoll (t->words[1]) * MS,
                  s->now);
}

static void
do_time (struct script *t, struct sim *s)
{
  s->now = atoll (t->words[1]) * MS;
  script_print (t, "time %s ms", t->words[1]);
}

static void
do_run (struct script *t, struct sim *s)
{
  run_until (s, atoll (t->words[1]) * MS);
}

static void
do_service (struct script *t, struct sim *s)
{
  s->service_us = (int64_t)(atof (t->words[1]) * MS);
}

static void
do_knee (struct script *t, struct sim *s)
{
  s->knee = atoi (t->words[1]);
}

static void
do_fail (struct script *t, struct sim *s)
{
  s->failing_fraction = atof (t->words[1]);
}

static void
run_command (struct script *t, void *context)
{
  static const char *const names[]
      = { "options",    "server", "load", "run",  "report",
          "service_ms", "knee",   "fail", "push", "pop",
          "expired",    "remove", "done", "time", NULL };
  static void (*const commands[]) (struct script *, struct sim *)
      = { do_options, do_server, do_load, do_run,  do_report,
          do_service, do_knee,   do_fail, do_push, do_pop,
          do_expired, do_remove, do_done, do_time };
  commands[script_find (t, names, t->words[0])](t, context);
}

/* Counts of the last report on the load @p name. */
static const struct counts *
counts_of (const struct sim *s, const char *name)
{
  for (int i = 0; i < s->load_count; i++)
    if (strcmp (s->loads[i].name, name) == 0)
      return &s->loads[i].reported;
  CU_FAIL_FATAL ("no such load");
  return NULL;
}

/* Fraction of the offered requests that were answered in time. */
static double
good_fraction (const struct counts *c)
{
  return c->offered > 0 ? (double)c->good / c->offered : 1.0;
}

/* Smallest fraction of good answers among the loads whose names start with
   "quiet". */
static double
worst_quiet_fraction (const struct sim *s)
{
  double worst = 1.0;
  for (int i = 0; i < s->load_count; i++)
    if (strncmp (s->loads[i].name, "quiet", 5) == 0)
      worst = fmin (worst, good_fraction (&s->loads[i].reported));
  return worst;
}

/* Guards against entries that are served in another order than the round robin
   and the priority of the classes demand. */
static void
order_of_service (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-order.txt", "admission-order.txt", run_command, s);
  talloc_free (s);
}

/* Guards against requests that are started after their deadline or queued
   although the estimate exceeds it. */
static void
deadlines_and_refusals (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-deadline.txt", "admission-deadline.txt", run_command,
              s);
  talloc_free (s);
}

/* Guards against an organisation whose excess load delays the requests of the
   others, as it does in one common queue. */
static void
a_noisy_organisation_harms_no_other (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-noisy.txt", "admission-noisy.txt", run_command, s);
  CU_ASSERT (worst_quiet_fraction (s) >= 0.95);
  CU_ASSERT_EQUAL (counts_of (s, "quiet-1")->full, 0);
  talloc_free (s);

  s = sim_create ();
  s->fifo = true;
  script_run ("admission-noisy.txt", "admission-noisy-fifo.txt", run_command,
              s);
  CU_ASSERT (worst_quiet_fraction (s) < 0.95);
  CU_ASSERT (counts_of (s, "quiet-1")->full > 0);
  talloc_free (s);
}

/* Guards against reads of CLASS_BROWSE that take the capacity of the other
   classes, and against other classes that stop all reads of CLASS_BROWSE.  The
   load "clerks" sends writes. */
static void
clerks_come_before_browsing (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-browse.txt", "admission-browse.txt", run_command, s);
  CU_ASSERT (good_fraction (counts_of (s, "clerks")) >= 0.99);
  talloc_free (s);

  s = sim_create ();
  s->fifo = true;
  script_run ("admission-browse.txt", "admission-browse-fifo.txt", run_command,
              s);
  CU_ASSERT (good_fraction (counts_of (s, "clerks")) < 0.9);
  talloc_free (s);
}

/* Guards against writes that exceed the capacity and leave none to reads of
   CLASS_BROWSE. */
static void
browsing_keeps_its_least_share (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-minimum.txt", "admission-minimum.txt", run_command,
              s);
  const struct counts *browse = counts_of (s, "readers");
  const struct counts *clerks = counts_of (s, "clerks");
  CU_ASSERT (browse->good >= (browse->good + clerks->good) * 0.095);
  talloc_free (s);

  s = sim_create ();
  s->no_browse_share = true;
  script_run ("admission-minimum.txt", "admission-minimum-off.txt",
              run_command, s);
  CU_ASSERT (counts_of (s, "readers")->good
             < counts_of (s, "clerks")->good * 0.05);
  talloc_free (s);
}

/* Guards against requests that wait until their deadline before they are
   refused, although it was clear that the deadline could not be met. */
static void
refusals_are_early (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-early.txt", "admission-early.txt", run_command, s);
  const struct counts *c = counts_of (s, "office");
  int good = c->good;
  CU_ASSERT (c->too_late > 0);
  CU_ASSERT ((c->expired + c->late) * 100 < c->offered);
  talloc_free (s);

  s = sim_create ();
  s->no_early_refusal = true;
  script_run ("admission-early.txt", "admission-early-off.txt", run_command,
              s);
  c = counts_of (s, "office");
  CU_ASSERT ((c->expired + c->late) * 10 > c->offered);
  CU_ASSERT (c->good < good);
  talloc_free (s);
}

/* Guards against a growing number of requests at an endpoint that became slow,
   and against a limit that stays low after the endpoint recovered. */
static void
the_limit_follows_a_slow_endpoint (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-slow.txt", "admission-slow.txt", run_command, s);
  int64_t p50
      = (int64_t)histogram_quantile (&counts_of (s, "office")->latency, 0.5);
  CU_ASSERT (p50 < 5 * MS * 4);
  talloc_free (s);

  s = sim_create ();
  s->limit_mode = LIMIT_FIXED;
  script_run ("admission-slow.txt", "admission-slow-fixed.txt", run_command,
              s);
  p50 = (int64_t)histogram_quantile (&counts_of (s, "office")->latency, 0.5);
  CU_ASSERT (p50 >= 5 * MS * 4);
  talloc_free (s);
}

/* Guards against a limit that stays low for ever at an endpoint that became
   permanently slower, because the reference latency is never measured again.
 */
static void
the_lowest_latency_ages (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-slower.txt", "admission-slower.txt", run_command, s);
  CU_ASSERT (admission_limit_value (s->limit) >= 18);
  talloc_free (s);

  s = sim_create ();
  s->limit_mode = LIMIT_NO_PROBE;
  script_run ("admission-slower.txt", "admission-slower-off.txt", run_command,
              s);
  CU_ASSERT (admission_limit_value (s->limit) <= 2);
  talloc_free (s);
}

/* Guards against a failing endpoint that gets as many requests as a healthy
   one. */
static void
the_limit_follows_failures (void)
{
  struct sim *s = sim_create ();
  script_run ("admission-failing.txt", "admission-failing.txt", run_command,
              s);
  int adaptive = s->total_failed;
  CU_ASSERT (admission_limit_value (s->limit) >= 18);
  talloc_free (s);

  s = sim_create ();
  s->limit_mode = LIMIT_FIXED;
  script_run ("admission-failing.txt", "admission-failing-fixed.txt",
              run_command, s);
  CU_ASSERT (s->total_failed > 5 * adaptive);
  talloc_free (s);
}

/* Number of answers in 60 s of a healthy endpoint whose slots are all in
   use. */
static int
healthy_answers (int slots, enum admission_limit_mode mode)
{
  struct sim *s = sim_create ();
  struct admission_options options = { .max_queued = 200 };
  s->admission = admission_create (s, &options);
  s->limit = admission_limit_create (s, slots);
  admission_limit_set_mode (s->limit, mode);
  s->service_us = 10 * MS;
  s->exponential = true;
  s->loads[s->load_count++] = (struct load){ .name = "office",
                                             .rate = 150.0 * slots,
                                             .poisson = true };
  run_until (s, 60 * 1000 * MS);
  int good = s->loads[0].now.good;
  talloc_free (s);
  return good;
}

/* Guards against an adaptive limit that costs a healthy endpoint more than 3%
   of its answers. */
static void
measure_cost_of_the_limit (void)
{
  static const int slots[] = { 2, 4, 8, 20 };
  for (int i = 0; i < 4; i++)
    {
      int fixed = healthy_answers (slots[i], LIMIT_FIXED);
      int adaptive = healthy_answers (slots[i], LIMIT_ADAPTIVE);
      printf ("\n    %d slots: %d answers, %d with a fixed limit (%.1f%%)",
              slots[i], adaptive, fixed, 100.0 * adaptive / fixed);
      CU_ASSERT (adaptive >= 0.97 * fixed);
    }
  printf ("\n  ");
}

/* Percentage of the requests of eight organisations that miss their deadline
   or are refused.
   @param load total rate of the organisations as a fraction of the capacity.
 */
static double
percent_missed (double load, bool no_early_refusal)
{
  struct sim *s = sim_create ();
  struct admission_options options = { .max_queued = 200,
                                       .browse_share = 0.1,
                                       .no_early_refusal = no_early_refusal };
  int offered = 0, good = 0;
  s->admission = admission_create (s, &options);
  s->limit = admission_limit_create (s, 4);
  admission_limit_set_mode (s->limit, LIMIT_FIXED);
  s->service_us = 10 * MS;
  s->exponential = true;
  for (int i = 0; i < 8; i++)
    {
      s->loads[s->load_count++]
          = (struct load){ .name = talloc_asprintf (s, "org-%d", i),
                           .class_ = i % 2 == 0 ? CLASS_WRITE : CLASS_BROWSE,
                           .rate = load * 400 / 8,
                           .deadline = 200 * MS,
                           .poisson = true };
      schedule_next (s, &s->loads[i]);
    }
  run_until (s, 300 * 1000 * MS);
  for (int i = 0; i < 8; i++)
    {
      offered += s->loads[i].now.offered;
      good += s->loads[i].now.good;
    }
  talloc_free (s);
  return 100.0 * (offered - good) / offered;
}

/* Guards against early refusals of requests that would have met their
   deadline. */
static void
measure_wrongful_refusals (void)
{
  static const double loads[] = { 0.5, 0.7, 0.9 };
  for (int i = 0; i < 3; i++)
    {
      double on = percent_missed (loads[i], false),
             off = percent_missed (loads[i], true);
      printf ("\n    load %.0f%%: %.3f%% refused or late, %.3f%% without "
              "early refusal",
              100 * loads[i], on, off);
      CU_ASSERT (on <= off + 0.5);
      CU_ASSERT (loads[i] > 0.7 || on < 0.5);
    }
  printf ("\n  ");
}

/* Print the goodput and the p99 wait of the worst-served of eight
   organisations, whose rates add up to 90% of the capacity of one slot; the
   first organisation sends five times its rate.
   @param worst set to that goodput as a fraction of the rate. */
static void
measure_worst_goodput (bool fifo, bool poisson, double *worst)
{
  struct sim *s = sim_create ();
  struct admission_options options
      = { .fifo = fifo, .max_queued = 200, .browse_share = 0.1 };
  const double rate = 0.9 * 100 / 8;
  uint64_t wait = 0;
  s->admission = admission_create (s, &options);
  s->limit = admission_limit_create (s, 1);
  admission_limit_set_mode (s->limit, LIMIT_FIXED);
  s->service_us = 10 * MS;
  for (int i = 0; i < 8; i++)
    {
      struct load *l = &s->loads[s->load_count++];
      *l = (struct load){ .name = talloc_asprintf (s, "org-%d", i),
                          .rate = i == 0 ? 5 * rate : rate,
                          .deadline = 1000 * MS,
                          .poisson = poisson };
      schedule_next (s, l);
    }
  run_until (s, 120 * 1000 * MS);
  *worst = 1.0;
  for (int i = 0; i < 8; i++)
    {
      const struct counts *c = &s->loads[i].now;
      double within = i == 0 ? c->offered / 5.0 : c->offered;
      *worst = fmin (*worst, c->good / within);
      if (i > 0 && histogram_quantile (&c->wait, 0.99) > wait)
        wait = histogram_quantile (&c->wait, 0.99);
    }
  printf ("\n    %s, %s arrivals: worst goodput %.1f%% of its rate, worst p99 "
          "wait of the others %.0f ms",
          fifo ? "fifo" : "fair", poisson ? "Poisson" : "regular",
          100 * *worst, (double)wait / MS);
  talloc_free (s);
}

/* Guards against a worst-served organisation that gets less than 95% of its
   rate while another one exceeds its own. */
static void
measure_worst_served (void)
{
  double fifo, fair;
  for (int poisson = 0; poisson <= 1; poisson++)
    {
      measure_worst_goodput (true, poisson != 0, &fifo);
      measure_worst_goodput (false, poisson != 0, &fair);
      CU_ASSERT (fair >= 0.95);
      CU_ASSERT (fifo < 0.95);
    }
  printf ("\n  ");
}

static const struct test_case cases[] = {
  { "order_of_service", order_of_service },
  { "deadlines_and_refusals", deadlines_and_refusals },
  { "a_noisy_organisation_harms_no_other",
    a_noisy_organisation_harms_no_other },
  { "clerks_come_before_browsing", clerks_come_before_browsing },
  { "browsing_keeps_its_least_share", browsing_keeps_its_least_share },
  { "refusals_are_early", refusals_are_early },
  { "the_limit_follows_a_slow_endpoint", the_limit_follows_a_slow_endpoint },
  { "the_lowest_latency_ages", the_lowest_latency_ages },
  { "the_limit_follows_failures", the_limit_follows_failures },
  { "measure_cost_of_the_limit", measure_cost_of_the_limit },
  { "measure_wrongful_refusals", measure_wrongful_refusals },
  { "measure_worst_served", measure_worst_served },
  { NULL, NULL },
};
TEST_SUITE (admission, cases)
