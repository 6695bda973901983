#include "cli/cli.h"

#include "common/clock.h"
#include "core/failover.h"

#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#define MAX_DAEMONS 1000
/* Including the final NUL; a longer label value is truncated. */
#define MAX_LABEL_BYTES 64

/* Admin URLs of the daemons that a command addresses. */
struct daemons
{
  char *urls[MAX_DAEMONS];
  int count;
};

static bool
add_admin_url (struct daemons *d, void *parent, struct bstr url,
               struct error *err)
{
  if (url.len > 0 && url.start[url.len - 1] == '/')
    url.len--;
  if (d->count == MAX_DAEMONS)
    return error_set (err, ERROR_INVALID, "more than %d daemons", MAX_DAEMONS);
  d->urls[d->count] = bstr_to_text (parent, url);
  if (strncmp (d->urls[d->count], "http://", 7) != 0)
    return error_set (err, ERROR_INVALID,
                      "the admin URL \"%s\" must be http://IP:PORT",
                      option_printable (parent, url));
  d->count++;
  return true;
}

/* Read the admin URLs from the command line or, if it has none, from the
   environment variable AZUREWIND_DAEMONS. */
static struct daemons *
read_admin_urls (struct cli *cli, struct error *err)
{
  struct daemons *d = talloc_zero (cli, struct daemons);
  for (int i = 0; i < cli->word_count; i++)
    if (!add_admin_url (d, d, bstr_from (cli->words[i]), err))
      return NULL;
  const char *list = getenv ("AZUREWIND_DAEMONS");
  while (cli->word_count == 0 && list != NULL && *list != '\0')
    {
      size_t len = strcspn (list, ", ");
      if (len > 0 && !add_admin_url (d, d, (struct bstr){ list, len }, err))
        return NULL;
      list += len + (list[len] != '\0');
    }
  if (d->count > 0)
    return d;
  error_set (err, ERROR_INVALID,
             "no daemon is given; name admin URLs or set the environment "
             "variable AZUREWIND_DAEMONS");
  return NULL;
}

/* Request the status of a daemon.
   @return a JSON object, or NULL with @p err set. */
static json_t *
get_status (void *parent, struct cli *cli, const char *url, struct error *err)
{
  char *path = talloc_asprintf (parent, "%s/status", url);
  struct bstr body = client_call (parent, cli->client, "GET", path, err);
  if (body.start == NULL)
    return NULL;
  json_t *json = json_loadb (body.start, body.len, 0, NULL);
  if (!json_is_object (json))
    {
      json_decref (json);
      error_set (err, ERROR_UNAVAILABLE, "%s: the answer is not JSON", path);
      return NULL;
    }
  return json;
}

static void
print_value (FILE *out, const char *name, const json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  if (json_is_string (value))
    fprintf (out, " %s=%s", name, json_string_value (value));
  else
    fprintf (out, " %s=%s", name, text);
  free (text);
}

/* Print the scalar members of a JSON object on one line and each object in
   its arrays on a line of its own, indented by two more columns. */
static void
print_object (FILE *out, const char *title, json_t *object, int indent)
{
  const char *name;
  json_t *value;
  fprintf (out, "%*s%s", indent, "", title);
  json_object_foreach (object, name, value)
  {
    if (!json_is_array (value) && !json_is_object (value))
      print_value (out, name, value);
  }
  fputc ('\n', out);
  json_object_foreach (object, name, value)
  {
    size_t i;
    json_t *entry;
    json_array_foreach (value, i, entry)
    {
      if (json_is_object (entry))
        print_object (out, name, entry, indent + 2);
    }
  }
}

static bool
run_status (struct cli *cli, struct error *err)
{
  struct daemons *d = read_admin_urls (cli, err);
  struct error last = { 0 };
  int failed = 0;
  if (d == NULL)
    return false;
  json_t *list = json_array ();
  for (int i = 0; i < d->count; i++)
    {
      struct error cause = { 0 };
      json_t *json = get_status (d, cli, d->urls[i], &cause);
      if (json == NULL)
        {
          last = cause;
          failed++;
          json_array_append_new (list,
                                 json_pack ("{s:s, s:s}", "url", d->urls[i],
                                            "error", cause.text));
          if (!cli->json)
            fprintf (cli->out, "%s error: %s\n", d->urls[i], cause.text);
          continue;
        }
      if (!cli->json)
        print_object (cli->out, d->urls[i], json, 0);
      json_object_set_new (json, "url", json_string (d->urls[i]));
      json_array_append_new (list, json);
    }
  if (cli->json)
    cli_print_json (cli, list);
  else
    json_decref (list);
  if (failed == 0)
    return true;
  *err = last;
  return error_wrap (err, ERROR_UNAVAILABLE, "%d of %d daemons failed", failed,
                     d->count);
}

static bool
run_drain (struct cli *cli, struct error *err)
{
  struct daemons *d = read_admin_urls (cli, err);
  if (d == NULL)
    return false;
  for (int i = 0; i < d->count; i++)
    {
      char *path = talloc_asprintf (d, "%s/drain", d->urls[i]);
      struct bstr body = client_call (d, cli->client, "POST", path, err);
      if (body.start == NULL)
        return false;
      cli_print_fields (cli, (const struct cli_field[]){
                                 { "daemon", d->urls[i], CLI_FIELD_TEXT },
                                 { "draining", "true", CLI_FIELD_LITERAL },
                                 { 0 } });
    }
  return true;
}

/* Counters of one organisation of a service, summed over the daemons. */
struct counters
{
  char service[MAX_LABEL_BYTES];
  char organisation[MAX_LABEL_BYTES];
  /* Requests by outcome, requests refused by the rate limit, and reads by the
     role of the endpoint that served them. */
  double ran, not_run, unknown, rate_limited, replica_reads, primary_reads;
  double p99_us; /**< Highest 0.99 quantile of the latency of any class on
                      any daemon. */
};

/* Status and counters of all daemons, as one refresh has read them. */
struct snapshot
{
  struct counters *counters_list;
  int count;
  int64_t taken_at; /**< Time of the refresh on clock_now, us. */
  json_t *status;   /**< One object per daemon whose status was read. */
  int failed;       /**< Number of daemons that failed to answer. */
};

/* Find the label @p name in the labels of a Prometheus sample. */
static bool
read_label (struct bstr labels, const char *name, char value[MAX_LABEL_BYTES])
{
  char start[MAX_LABEL_BYTES];
  int len = snprintf (start, sizeof start, "%s=\"", name);
  for (size_t i = 0; i + (size_t)len <= labels.len; i++)
    {
      bool at_label_start = i == 0 || labels.start[i - 1] == ',';
      struct bstr rest = bstr_skip (labels, i);
      if (!at_label_start || !bstr_starts_with (rest, start))
        continue;
      rest = bstr_skip (rest, (size_t)len);
      const char *end = memchr (rest.start, '"', rest.len);
      if (end == NULL)
        return false;
      snprintf (value, MAX_LABEL_BYTES, "%.*s", (int)(end - rest.start),
                rest.start);
      return true;
    }
  return false;
}

static struct counters *
find_counters (const struct snapshot *s, const char *service,
               const char *organisation)
{
  for (int i = 0; s != NULL && i < s->count; i++)
    if (strcmp (s->counters_list[i].service, service) == 0
        && strcmp (s->counters_list[i].organisation, organisation) == 0)
      return &s->counters_list[i];
  return NULL;
}

static struct counters *
find_or_add_counters (struct snapshot *s, const char *service,
                      const char *organisation)
{
  struct counters *c = find_counters (s, service, organisation);
  if (c != NULL)
    return c;
  s->counters_list = talloc_realloc (s, s->counters_list, struct counters,
                                     (unsigned)s->count + 1);
  c = &s->counters_list[s->count++];
  *c = (struct counters){ 0 };
  snprintf (c->service, sizeof c->service, "%s", service);
  snprintf (c->organisation, sizeof c->organisation, "%s", organisation);
  return c;
}

/* Add the value of a metric to the counters that it belongs to. */
static void
add_sample (struct counters *c, struct bstr name, struct bstr labels,
            double value)
{
  char label_value[MAX_LABEL_BYTES] = "";
  if (bstr_equals_text (name, "azurewind_requests_total")
      && read_label (labels, "outcome", label_value))
    {
      c->ran += strcmp (label_value, "ran") == 0 ? value : 0;
      c->not_run += strcmp (label_value, "not_run") == 0 ? value : 0;
      c->unknown += strcmp (label_value, "unknown") == 0 ? value : 0;
    }
  else if (bstr_equals_text (name, "azurewind_rate_limited_total"))
    c->rate_limited += value;
  else if (bstr_equals_text (name, "azurewind_reads_total")
           && read_label (labels, "served_by", label_value))
    {
      c->replica_reads += strcmp (label_value, "replica") == 0 ? value : 0;
      c->primary_reads += strcmp (label_value, "primary") == 0 ? value : 0;
    }
  else if (bstr_equals_text (name, "azurewind_latency_microseconds")
           && read_label (labels, "quantile", label_value)
           && strcmp (label_value, "0.99") == 0 && value > c->p99_us)
    c->p99_us = value;
}

/* Parse one line of the Prometheus text format, NAME{LABELS} VALUE.  Comments
   and samples without the labels service and organisation are ignored. */
static void
parse_sample (struct snapshot *s, struct bstr line)
{
  char service[MAX_LABEL_BYTES], organisation[MAX_LABEL_BYTES],
      number[MAX_LABEL_BYTES];
  const char *open = memchr (line.start, '{', line.len);
  const char *close = memrchr (line.start, '}', line.len);
  if (line.start[0] == '#' || open == NULL || close == NULL || close < open)
    return;
  struct bstr name = { line.start, (size_t)(open - line.start) };
  struct bstr labels = { open + 1, (size_t)(close - open - 1) };
  struct bstr value = bstr_skip (line, (size_t)(close - line.start) + 1);
  if (!read_label (labels, "service", service)
      || !read_label (labels, "organisation", organisation)
      || value.len >= sizeof number)
    return;
  snprintf (number, sizeof number, "%.*s", BSTR_ARG (value));
  add_sample (find_or_add_counters (s, service, organisation), name, labels,
              strtod (number, NULL));
}

static void
parse_metrics (struct snapshot *s, struct bstr text)
{
  while (text.len > 0)
    {
      const char *end = memchr (text.start, '\n', text.len);
      size_t len = end != NULL ? (size_t)(end - text.start) : text.len;
      if (len > 0)
        parse_sample (s, (struct bstr){ text.start, len });
      text = bstr_skip (text, len + 1);
    }
}

static int
destroy_snapshot (struct snapshot *s)
{
  json_decref (s->status);
  return 0;
}

/* Read status and metrics of all daemons.  @p err describes the last failure;
   daemons that fail are counted. */
static struct snapshot *
take_snapshot (struct cli *cli, const struct daemons *d, struct error *err)
{
  struct snapshot *s = talloc_zero (cli, struct snapshot);
  s->status = json_array ();
  s->taken_at = clock_now ();
  talloc_set_destructor (s, destroy_snapshot);
  for (int i = 0; i < d->count; i++)
    {
      char *path = talloc_asprintf (s, "%s/metrics", d->urls[i]);
      json_t *json = get_status (s, cli, d->urls[i], err);
      struct bstr text = json != NULL
                             ? client_call (s, cli->client, "GET", path, err)
                             : (struct bstr){ 0 };
      s->failed += text.start == NULL;
      if (text.start != NULL)
        parse_metrics (s, text);
      if (json != NULL)
        json_array_append_new (s->status, json);
    }
  return s;
}

/* @return the rate of requests that ran since the previous snapshot; 0 if
   there is no previous snapshot or a daemon was restarted. */
static double
requests_per_second (const struct snapshot *s, const struct snapshot *previous,
                     const struct counters *c)
{
  const struct counters *old
      = find_counters (previous, c->service, c->organisation);
  double seconds
      = previous != NULL
            ? (double)(s->taken_at - previous->taken_at) / (double)USEC_PER_SEC
            : 0;
  /* The counters of a restarted daemon start at 0 again. */
  if (old == NULL || seconds <= 0 || c->ran < old->ran)
    return 0;
  return (c->ran - old->ran) / seconds;
}

static double
replica_read_percent (const struct counters *c)
{
  double reads = c->replica_reads + c->primary_reads;
  return reads > 0 ? 100 * c->replica_reads / reads : 0;
}

static const char *
phase_name (json_int_t phase)
{
  static const char *const names[] = {
    [FAILOVER_STABLE] = "stable",     [FAILOVER_AGREEING] = "agreeing",
    [FAILOVER_FENCING] = "fencing",   [FAILOVER_WAITING] = "waiting",
    [FAILOVER_CHOOSING] = "choosing", [FAILOVER_PROMOTING] = "promoting",
    [FAILOVER_OPENING] = "opening",
  };
  return phase >= 0 && phase < (json_int_t)(sizeof names / sizeof names[0])
             ? names[phase]
             : "unknown";
}

static void
print_groups (FILE *out, const json_t *status)
{
  size_t i, j;
  json_t *daemon, *group;
  fprintf (out, "\n%-16s  %-20s  %6s  %-16s  %-8s  %-9s  %6s\n", "DAEMON",
           "SERVICE", "TERM", "PRIMARY", "WRITABLE", "PHASE", "QUEUED");
  json_array_foreach (status, i, daemon)
  {
    const char *name = "";
    json_unpack (daemon, "{s?s}", "name", &name);
    json_array_foreach (json_object_get (daemon, "groups"), j, group)
    {
      const char *service = "", *primary = "";
      json_int_t term = 0, queued = 0, phase = 0;
      int writable = 0;
      json_unpack (group, "{s?s, s?I, s?s, s?b, s?I, s?I}", "service",
                   &service, "term", &term, "primary", &primary, "writable",
                   &writable, "phase", &phase, "queued", &queued);
      fprintf (out,
               "%-16s  %-20s  %6" JSON_INTEGER_FORMAT
               "  %-16s  %-8s  %-9s  %6" JSON_INTEGER_FORMAT "\n",
               name, service, term, primary, writable ? "yes" : "no",
               phase_name (phase), queued);
    }
  }
}

static void
print_snapshot (struct cli *cli, const struct daemons *d,
                const struct snapshot *s, const struct snapshot *previous)
{
  fprintf (cli->out, "%d of %d daemons answered\n\n", d->count - s->failed,
           d->count);
  fprintf (cli->out, "%-20s  %-20s  %10s  %8s  %8s  %8s  %8s  %8s  %8s\n",
           "SERVICE", "ORGANISATION", "RAN", "RAN/S", "NOT_RUN", "UNKNOWN",
           "LIMITED", "REPLICA%", "P99_MS");
  for (int i = 0; i < s->count; i++)
    {
      const struct counters *c = &s->counters_list[i];
      fprintf (cli->out,
               "%-20s  %-20s  %10.0f  %8.1f  %8.0f  %8.0f  %8.0f  %8.1f  "
               "%8.1f\n",
               c->service, c->organisation, c->ran,
               requests_per_second (s, previous, c), c->not_run, c->unknown,
               c->rate_limited, replica_read_percent (c), c->p99_us / 1000);
    }
  print_groups (cli->out, s->status);
}

static void
print_snapshot_json (struct cli *cli, const struct daemons *d,
                     const struct snapshot *s, const struct snapshot *previous)
{
  json_t *list = json_array ();
  for (int i = 0; i < s->count; i++)
    {
      const struct counters *c = &s->counters_list[i];
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
                           "service", c->service, "organisation",
                           c->organisation, "ran", c->ran, "ran_per_second",
                           requests_per_second (s, previous, c), "not_run",
                           c->not_run, "unknown", c->unknown, "rate_limited",
                           c->rate_limited, "replica_percent",
                           replica_read_percent (c), "p99_us", c->p99_us));
    }
  cli_print_json (cli, json_pack ("{s:i, s:i, s:o, s:O}", "daemons", d->count,
                                  "failed", s->failed, "organisations", list,
                                  "status", s->status));
}

static bool
run_top (struct cli *cli, struct error *err)
{
  struct daemons *d = read_admin_urls (cli, err);
  struct snapshot *previous = NULL;
  bool once = cli->given_options & CLI_OPTION_ONCE;
  bool clear = !once && !cli->json && isatty (fileno (cli->out));
  if (d == NULL)
    return false;
  for (;;)
    {
      struct snapshot *s = take_snapshot (cli, d, err);
      if (s->failed == d->count)
        return error_wrap (err, ERROR_UNAVAILABLE, "no daemon answered");
      if (clear)
        fputs ("\033[H\033[2J", cli->out);
      if (cli->json)
        print_snapshot_json (cli, d, s, previous);
      else
        print_snapshot (cli, d, s, previous);
      fflush (cli->out);
      talloc_free (previous);
      previous = s;
      if (once)
        return true;
      usleep ((useconds_t)cli->interval_ms * 1000);
    }
}

const struct cli_command cli_daemon_commands[] = {
  { "status", "[URL...]", 0, 30, 0, false, run_status,
    "Print the state of daemons, by their admin URLs or AZUREWIND_DAEMONS" },
  { "top", "[URL...] [--once] [--interval-ms=NUMBER]", 0, 30,
    CLI_OPTION_ONCE | CLI_OPTION_INTERVAL, false, run_top,
    "Show counters per organisation and the failover state, refreshed" },
  { "drain", "URL...", 1, 30, 0, false, run_drain,
    "Let daemons end their requests and leave" },
  { 0 },
};
