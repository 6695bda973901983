#include "common/clock.h"
#include "tools/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const class_names[CLASS_COUNT]
    = { "write", "session", "browse" };

/** Sums over the classes of an organisation; `ran` and `reads` only count
 * requests that ran without an error. */
struct class_sums
{
  uint64_t offered, ran, not_run, unknown, reads;
  double goodput; /**< Successful requests per second. */
  /** Goodput as a share of the offered load that the rate allows; 1 if there
   * was no load. */
  double goodput_share;
};

static double
usec_to_seconds (int64_t usec)
{
  return (double)usec / USEC_PER_SEC;
}

/* @return 0 if @p whole is 0. */
static double
ratio (uint64_t part, uint64_t whole)
{
  return whole > 0 ? (double)part / (double)whole : 0;
}

static struct class_sums
sum_classes (const struct load *load, const struct load_organisation *o)
{
  struct class_sums s = { 0 };
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      s.offered += o->offered[i];
      s.ran += o->latency[i].count;
      s.not_run += o->outcomes[i][OUTCOME_NOT_RUN];
      s.unknown += o->outcomes[i][OUTCOME_UNKNOWN];
    }
  s.reads = o->latency[CLASS_SESSION].count + o->latency[CLASS_BROWSE].count;
  double length = usec_to_seconds (load->end - load->start);
  double allowed = o->rate * length;
  if ((double)s.offered < allowed)
    allowed = (double)s.offered;
  s.goodput = (double)s.ran / length;
  s.goodput_share = allowed > 0 ? (double)s.ran / allowed : 1;
  return s;
}

static json_t *
classes_to_json (const struct load_organisation *o)
{
  json_t *classes = json_object ();
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      const struct histogram *h = &o->latency[i];
      json_object_set_new (
          classes, class_names[i],
          json_pack ("{s:I, s:I, s:f, s:f, s:f}", "offered",
                     (json_int_t)o->offered[i], "ran", (json_int_t)h->count,
                     "p50_ms", (double)histogram_quantile (h, 0.5) / 1000,
                     "p99_ms", (double)histogram_quantile (h, 0.99) / 1000,
                     "max_ms", (double)h->max / 1000));
    }
  return classes;
}

static json_t *
codes_to_json (const struct load_organisation *o)
{
  json_t *codes = json_object ();
  for (int i = 0; i < LOAD_MAX_CODES && o->codes[i].count > 0; i++)
    json_object_set_new (codes, o->codes[i].text,
                         json_integer ((json_int_t)o->codes[i].count));
  return codes;
}

static json_t *
verification_to_json (const struct load_organisation *o)
{
  return json_pack ("{s:I, s:I, s:I, s:I, s:I}", "acknowledged_missing",
                    (json_int_t)o->acknowledged_missing, "duplicated",
                    (json_int_t)o->duplicated, "not_run_present",
                    (json_int_t)o->not_run_present, "unknown_present",
                    (json_int_t)o->unknown_present, "unexpected",
                    (json_int_t)o->unexpected);
}

static json_t *
counts_to_json (const struct load_organisation *o, const struct class_sums *s)
{
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:I, s:I, s:f, s:I, "
      "s:I}",
      "offered", (json_int_t)s->offered, "ran", (json_int_t)s->ran, "not_run",
      (json_int_t)s->not_run, "unknown", (json_int_t)s->unknown, "unsent",
      (json_int_t)o->unsent, "goodput_per_s", s->goodput, "replica_read_share",
      ratio (o->replica_reads, s->reads), "gap_s",
      usec_to_seconds (o->ack_gap), "goodput_share", s->goodput_share,
      "within_rate", (json_int_t)o->offered_within_rate, "wrongful_refusals",
      (json_int_t)o->wrongful_refusals, "wrongful_refusal_share",
      ratio (o->wrongful_refusals, o->offered_within_rate),
      "not_run_within_rate", (json_int_t)o->not_run_within_rate,
      "read_your_writes_violations", (json_int_t)o->violations);
}

static json_t *
organisation_to_json (const struct load *load,
                      const struct load_organisation *o, bool verified)
{
  struct class_sums s = sum_classes (load, o);
  json_t *json = counts_to_json (o, &s);
  json_object_set_new (json, "name", json_string (o->name));
  json_object_set_new (json, "rate_per_s", json_real (o->rate));
  json_object_set_new (
      json, "gap_at_s",
      json_real (usec_to_seconds (o->ack_gap_start - load->start)));
  json_object_set_new (json, "refused",
                       json_integer ((json_int_t)o->refused_by_rate));
  json_object_set_new (json, "classes", classes_to_json (o));
  json_object_set_new (json, "codes", codes_to_json (o));
  if (verified)
    json_object_set_new (json, "verification", verification_to_json (o));
  return json;
}

static void
add_histogram (struct histogram *to, const struct histogram *from)
{
  to->count += from->count;
  to->sum += from->sum;
  if (from->max > to->max)
    to->max = from->max;
  for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
    to->bucket[i] += from->bucket[i];
}

/* Adds all that can be summed; load_run measures the gap of the total. */
static void
add_to_total (struct load_organisation *total,
              const struct load_organisation *o)
{
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      total->offered[i] += o->offered[i];
      for (int j = 0; j < OUTCOME_COUNT; j++)
        total->outcomes[i][j] += o->outcomes[i][j];
      add_histogram (&total->latency[i], &o->latency[i]);
    }
  for (int i = 0; i < LOAD_MAX_CODES && o->codes[i].count > 0; i++)
    load_count_code (total, o->codes[i].text, o->codes[i].count);
  total->rate += o->rate;
  total->offered_within_rate += o->offered_within_rate;
  total->refused_by_rate += o->refused_by_rate;
  total->wrongful_refusals += o->wrongful_refusals;
  total->not_run_within_rate += o->not_run_within_rate;
  total->replica_reads += o->replica_reads;
  total->violations += o->violations;
  total->unsent += o->unsent;
  total->acknowledged_missing += o->acknowledged_missing;
  total->duplicated += o->duplicated;
  total->not_run_present += o->not_run_present;
  total->unknown_present += o->unknown_present;
  total->unexpected += o->unexpected;
}

static void
print_organisation (const struct load *load, const struct load_organisation *o,
                    bool verified)
{
  struct class_sums s = sum_classes (load, o);
  printf ("%s: rate=%.1f/s offered=%" PRIu64 " ran=%" PRIu64
          " not_run=%" PRIu64 " unknown=%" PRIu64 " unsent=%" PRIu64
          " goodput=%.1f/s\n",
          o->name, o->rate, s.offered, s.ran, s.not_run, s.unknown, o->unsent,
          s.goodput);
  printf ("  replica_read_share=%.4f gap=%.3fs gap_at=%.3fs "
          "goodput_share=%.4f wrongful_refusals=%" PRIu64 "/%" PRIu64
          " violations=%" PRIu64 "\n",
          ratio (o->replica_reads, s.reads), usec_to_seconds (o->ack_gap),
          usec_to_seconds (o->ack_gap_start - load->start), s.goodput_share,
          o->wrongful_refusals, o->offered_within_rate, o->violations);
  for (int i = 0; i < CLASS_COUNT; i++)
    printf ("  %s: offered=%" PRIu64 " ran=%" PRIu64
            " p50=%.3fms p99=%.3fms max=%.3fms\n",
            class_names[i], o->offered[i], o->latency[i].count,
            (double)histogram_quantile (&o->latency[i], 0.5) / 1000,
            (double)histogram_quantile (&o->latency[i], 0.99) / 1000,
            (double)o->latency[i].max / 1000);
  for (int i = 0; i < LOAD_MAX_CODES && o->codes[i].count > 0; i++)
    printf ("  code %s: %" PRIu64 "\n", o->codes[i].text, o->codes[i].count);
  if (verified)
    printf ("  verification: acknowledged_missing=%" PRIu64
            " duplicated=%" PRIu64 " not_run_present=%" PRIu64
            " unknown_present=%" PRIu64 " unexpected=%" PRIu64 "\n",
            o->acknowledged_missing, o->duplicated, o->not_run_present,
            o->unknown_present, o->unexpected);
}

static void
print_json (const struct load *load, const char *worst, double worst_share,
            bool verified)
{
  json_t *list = json_array ();
  for (const struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    json_array_append_new (list, organisation_to_json (load, o, verified));
  json_t *json = json_pack (
      "{s:f, s:b, s:o, s:{s:s, s:f}, s:o}", "seconds",
      usec_to_seconds (load->end - load->start), "verified", verified, "total",
      organisation_to_json (load, &load->total, verified), "worst_served",
      "organisation", worst, "goodput_share", worst_share, "organisations",
      list);
  char *text = json_dumps (json, JSON_INDENT (1) | JSON_PRESERVE_ORDER
                                     | JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
  json_decref (json);
}

bool
load_report (struct load *load, bool as_json, bool verified)
{
  struct load_organisation *total = &load->total;
  const char *worst = "none";
  double worst_share = 1e9;
  total->name = talloc_strdup (load, "total");
  for (const struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      struct class_sums s = sum_classes (load, o);
      add_to_total (total, o);
      if (s.goodput_share < worst_share)
        {
          worst = o->name;
          worst_share = s.goodput_share;
        }
    }
  if (as_json)
    print_json (load, worst, worst_share, verified);
  else
    {
      for (const struct load_organisation *o = load->organisations; o != NULL;
           o = o->next)
        print_organisation (load, o, verified);
      print_organisation (load, total, verified);
      printf ("worst served: organisation=%s goodput_share=%.4f\n", worst,
              worst_share);
    }
  return total->violations == 0 && total->acknowledged_missing == 0
         && total->duplicated == 0 && total->not_run_present == 0
         && total->unexpected == 0;
}
