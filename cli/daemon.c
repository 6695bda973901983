#include "cli/cli.h"

#include "common/clock.h"
#include "core/failover.h"

#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#define MAX_DAEMONS 1000
#define MAX_LABEL 64

/* The admin URLs of this run. */
struct daemons
{
  char *urls[MAX_DAEMONS];
  int count;
};

static bool
add_daemon (struct daemons *d, void *parent, struct bstr url,
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

/* Take the URLs from the command line, or else from the environment. */
static struct daemons *
find_daemons (struct cli *cli, struct error *err)
{
  struct daemons *d = talloc_zero (cli, struct daemons);
  for (int i = 0; i < cli->word_count; i++)
    if (!add_daemon (d, d, bstr_from (cli->words[i]), err))
      return NULL;
  const char *list = getenv ("AZUREWIND_DAEMONS");
  while (cli->word_count == 0 && list != NULL && *list != '\0')
    {
      size_t len = strcspn (list, ", ");
      if (len > 0 && !add_daemon (d, d, (struct bstr){ list, len }, err))
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
print_member (FILE *out, const char *name, const json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  if (json_is_string (value))
    fprintf (out, " %s=%s", name, json_string_value (value));
  else
    fprintf (out, " %s=%s", name, text);
  free (text);
}

/* Print the plain members of an object on one line and each object of its
   arrays on a line of its own, further right. */
static void
print_tree (FILE *out, const char *title, json_t *object, int indent)
{
  const char *name;
  json_t *value;
  fprintf (out, "%*s%s", indent, "", title);
  json_object_foreach (object, name, value)
  {
    if (!json_is_array (value) && !json_is_object (value))
      print_member (out, name, value);
  }
  fputc ('\n', out);
  json_object_foreach (object, name, value)
  {
    size_t i;
    json_t *entry;
    json_array_foreach (value, i, entry)
    {
      if (json_is_object (entry))
        print_tree (out, name, entry, indent + 2);
    }
  }
}

static bool
run_status (struct cli *cli, struct error *err)
{
  struct daemons *d = find_daemons (cli, err);
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
        print_tree (cli->out, d->urls[i], json, 0);
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
  struct daemons *d = find_daemons (cli, err);
  if (d == NULL)
    return false;
  for (int i = 0; i < d->count; i++)
    {
      char *path = talloc_asprintf (d, "%s/drain", d->urls[i]);
      struct bstr body = client_call (d, cli->client, "POST", path, err);
      if (body.start == NULL)
        return false;
      cli_print_fields (
          cli, (const struct cli_field[]){ { "daemon", d->urls[i], CLI_TEXT },
                                           { "draining", "true", CLI_PLAIN },
                                           { 0 } });
    }
  return true;
}

/* Counters of one organisation of a service, summed over the daemons. */
struct usage
{
  char service[MAX_LABEL];
  char organisation[MAX_LABEL];
  double ran, not_run, unknown, limited, replica_reads, primary_reads;
  double p99_us; /**< Of the slowest class and daemon. */
};

/* What one refresh has read. */
struct view
{
  struct usage *usages;
  int count;
  int64_t taken_at; /**< us. */
  json_t *status;   /**< One object per daemon that answered. */
  int failed;
};

static bool
read_label (struct bstr labels, const char *name, char value[MAX_LABEL])
{
  char start[MAX_LABEL];
  int len = snprintf (start, sizeof start, "%s=\"", name);
  for (size_t i = 0; i + (size_t)len <= labels.len; i++)
    {
      bool at_border = i == 0 || labels.start[i - 1] == ',';
      struct bstr rest = bstr_skip (labels, i);
      if (!at_border || !bstr_starts_with (rest, start))
        continue;
      rest = bstr_skip (rest, (size_t)len);
      const char *end = memchr (rest.start, '"', rest.len);
      if (end == NULL)
        return false;
      snprintf (value, MAX_LABEL, "%.*s", (int)(end - rest.start), rest.start);
      return true;
    }
  return false;
}

static struct usage *
find_usage (const struct view *v, const char *service,
            const char *organisation)
{
  for (int i = 0; v != NULL && i < v->count; i++)
    if (strcmp (v->usages[i].service, service) == 0
        && strcmp (v->usages[i].organisation, organisation) == 0)
      return &v->usages[i];
  return NULL;
}

static struct usage *
find_or_add_usage (struct view *v, const char *service,
                   const char *organisation)
{
  struct usage *u = find_usage (v, service, organisation);
  if (u != NULL)
    return u;
  v->usages
      = talloc_realloc (v, v->usages, struct usage, (unsigned)v->count + 1);
  u = &v->usages[v->count++];
  *u = (struct usage){ 0 };
  snprintf (u->service, sizeof u->service, "%s", service);
  snprintf (u->organisation, sizeof u->organisation, "%s", organisation);
  return u;
}

static void
add_sample (struct usage *u, struct bstr name, struct bstr labels,
            double value)
{
  char by[MAX_LABEL] = "";
  if (bstr_equals_text (name, "azurewind_requests_total")
      && read_label (labels, "outcome", by))
    {
      u->ran += strcmp (by, "ran") == 0 ? value : 0;
      u->not_run += strcmp (by, "not_run") == 0 ? value : 0;
      u->unknown += strcmp (by, "unknown") == 0 ? value : 0;
    }
  else if (bstr_equals_text (name, "azurewind_rate_limited_total"))
    u->limited += value;
  else if (bstr_equals_text (name, "azurewind_reads_total")
           && read_label (labels, "served_by", by))
    {
      u->replica_reads += strcmp (by, "replica") == 0 ? value : 0;
      u->primary_reads += strcmp (by, "primary") == 0 ? value : 0;
    }
  else if (bstr_equals_text (name, "azurewind_latency_microseconds")
           && read_label (labels, "quantile", by) && strcmp (by, "0.99") == 0
           && value > u->p99_us)
    u->p99_us = value;
}

/* One line of Prometheus text: NAME{LABELS} VALUE. */
static void
read_sample (struct view *v, struct bstr line)
{
  char service[MAX_LABEL], organisation[MAX_LABEL], number[MAX_LABEL];
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
  add_sample (find_or_add_usage (v, service, organisation), name, labels,
              strtod (number, NULL));
}

static void
read_metrics (struct view *v, struct bstr text)
{
  while (text.len > 0)
    {
      const char *end = memchr (text.start, '\n', text.len);
      size_t len = end != NULL ? (size_t)(end - text.start) : text.len;
      if (len > 0)
        read_sample (v, (struct bstr){ text.start, len });
      text = bstr_skip (text, len + 1);
    }
}

static int
destroy_view (struct view *v)
{
  json_decref (v->status);
  return 0;
}

static struct view *
take_view (struct cli *cli, const struct daemons *d, struct error *err)
{
  struct view *v = talloc_zero (cli, struct view);
  v->status = json_array ();
  v->taken_at = clock_now ();
  talloc_set_destructor (v, destroy_view);
  for (int i = 0; i < d->count; i++)
    {
      char *path = talloc_asprintf (v, "%s/metrics", d->urls[i]);
      json_t *json = get_status (v, cli, d->urls[i], err);
      struct bstr text = json != NULL
                             ? client_call (v, cli->client, "GET", path, err)
                             : (struct bstr){ 0 };
      v->failed += text.start == NULL;
      if (text.start != NULL)
        read_metrics (v, text);
      if (json != NULL)
        json_array_append_new (v->status, json);
    }
  return v;
}

static double
per_second (const struct view *v, const struct view *before,
            const struct usage *u)
{
  const struct usage *old = find_usage (before, u->service, u->organisation);
  double seconds = before != NULL ? (double)(v->taken_at - before->taken_at)
                                        / (double)USEC_PER_SEC
                                  : 0;
  /* A daemon that was restarted counts from 0 again. */
  if (old == NULL || seconds <= 0 || u->ran < old->ran)
    return 0;
  return (u->ran - old->ran) / seconds;
}

static double
replica_share (const struct usage *u)
{
  double reads = u->replica_reads + u->primary_reads;
  return reads > 0 ? 100 * u->replica_reads / reads : 0;
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
print_view (struct cli *cli, const struct daemons *d, const struct view *v,
            const struct view *before)
{
  fprintf (cli->out, "%d of %d daemons answered\n\n", d->count - v->failed,
           d->count);
  fprintf (cli->out, "%-20s  %-20s  %10s  %8s  %8s  %8s  %8s  %8s  %8s\n",
           "SERVICE", "ORGANISATION", "RAN", "RAN/S", "NOT_RUN", "UNKNOWN",
           "LIMITED", "REPLICA%", "P99_MS");
  for (int i = 0; i < v->count; i++)
    {
      const struct usage *u = &v->usages[i];
      fprintf (cli->out,
               "%-20s  %-20s  %10.0f  %8.1f  %8.0f  %8.0f  %8.0f  %8.1f  "
               "%8.1f\n",
               u->service, u->organisation, u->ran, per_second (v, before, u),
               u->not_run, u->unknown, u->limited, replica_share (u),
               u->p99_us / 1000);
    }
  print_groups (cli->out, v->status);
}

static void
print_view_json (struct cli *cli, const struct daemons *d,
                 const struct view *v, const struct view *before)
{
  json_t *list = json_array ();
  for (int i = 0; i < v->count; i++)
    {
      const struct usage *u = &v->usages[i];
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
                           "service", u->service, "organisation",
                           u->organisation, "ran", u->ran, "ran_per_second",
                           per_second (v, before, u), "not_run", u->not_run,
                           "unknown", u->unknown, "rate_limited", u->limited,
                           "replica_percent", replica_share (u), "p99_us",
                           u->p99_us));
    }
  cli_print_json (cli, json_pack ("{s:i, s:i, s:o, s:O}", "daemons", d->count,
                                  "failed", v->failed, "organisations", list,
                                  "status", v->status));
}

static bool
run_top (struct cli *cli, struct error *err)
{
  struct daemons *d = find_daemons (cli, err);
  struct view *before = NULL;
  bool once = cli->given & CLI_ONCE;
  bool clear = !once && !cli->json && isatty (fileno (cli->out));
  if (d == NULL)
    return false;
  for (;;)
    {
      struct view *v = take_view (cli, d, err);
      if (v->failed == d->count)
        return error_wrap (err, ERROR_UNAVAILABLE, "no daemon answered");
      if (clear)
        fputs ("\033[H\033[2J", cli->out);
      if (cli->json)
        print_view_json (cli, d, v, before);
      else
        print_view (cli, d, v, before);
      fflush (cli->out);
      talloc_free (before);
      before = v;
      if (once)
        return true;
      usleep ((useconds_t)cli->interval_ms * 1000);
    }
}

const struct cli_command cli_daemon_commands[] = {
  { "status", "[URL...]", 0, 30, 0, false, run_status,
    "Print the state of daemons, by their admin URLs or AZUREWIND_DAEMONS" },
  { "top", "[URL...] [--once] [--interval-ms=NUMBER]", 0, 30,
    CLI_ONCE | CLI_INTERVAL, false, run_top,
    "Show counters per organisation and the failover state, refreshed" },
  { "drain", "URL...", 1, 30, 0, false, run_drain,
    "Let daemons end their requests and leave" },
  { 0 },
};
