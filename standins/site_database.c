#include "common/log.h"
#include "standins/site_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Time from a promotion until the previous primary becomes a replica. */
#define FOLLOW_DELAY_MS 1000

unsigned
site_random (struct site_databases *g, unsigned bound)
{
  return (unsigned)rand_r (&g->random_state) % bound;
}

uint64_t
site_last_term (const struct database *d)
{
  return d->log_count > 0 ? d->log[d->log_count - 1].term : 1;
}

uint64_t
site_last_number (const struct database *d)
{
  return d->log_count > 0 ? d->log[d->log_count - 1].number : 0;
}

/* Write the state of a database to the object store. */
static void
publish_database (struct database *d)
{
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", d->port);
  site_store_write (
      d->site->options.store, "servers", d->id,
      json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:s, s:i, s:I}",
                 "service", d->service, "address", address, "zone", "zone-a",
                 "config-version", "v1", "slots", 3, "state",
                 d->draining ? "draining" : "ready", "cold-left-ms", 0,
                 "db-role", d->is_primary ? "primary" : "replica", "sequence",
                 1, "born", (json_int_t)d->born_ms));
}

void
site_record_violation (struct site_databases *g, const char *text,
                       const char *id)
{
  json_array_append_new (g->violations,
                         json_pack ("{s:s, s:s}", "rule", text, "id", id));
  log_warn (PART, "event=violation rule=\"%s\" id=%s", text, id);
}

/* Replication. */

/** A copy of the primary's log on its way to a replica. */
struct delivery
{
  struct database *replica;
  struct commit *log;
  int count;
  uint64_t term; /**< Term of the primary. */
};

static void
on_delivery (struct tevent_context *ev, struct tevent_timer *timer,
             struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct delivery *m = data;
  struct database *d = m->replica;
  if (!d->dead && !d->replication_stopped && !d->apart && !d->is_primary
      && m->term >= d->term)
    {
      talloc_free (d->log);
      d->log = talloc_steal (d, m->log);
      d->log_count = m->count;
      d->term = m->term;
    }
  talloc_free (m);
}

/* Send the primary's whole log to each other database of its service, which
   receives it after the replication lag. */
static void
replicate_log (struct database *primary)
{
  struct site_databases *g = primary->site;
  for (int i = 0; i < g->count; i++)
    {
      struct database *d = g->databases[i];
      if (d == primary || strcmp (d->service, primary->service) != 0)
        continue;
      struct delivery *m = talloc_zero (g, struct delivery);
      m->replica = d;
      m->count = primary->log_count;
      m->term = primary->term;
      m->log = talloc_memdup (m, primary->log,
                              sizeof m->log[0] * (size_t)m->count + 1);
      uint32_t us = (uint32_t)g->options.lag_ms * 1000;
      tevent_add_timer (
          g->options.ev, m,
          tevent_timeval_current_ofs (us / 1000000, us % 1000000), on_delivery,
          m);
    }
}

void
site_append_commits (struct database *d, const struct commit *writes,
                     int count)
{
  for (int i = 0; i < count; i++)
    {
      d->log = talloc_realloc (d, d->log, struct commit, d->log_count + 2);
      d->log[d->log_count] = (struct commit){
        .term = d->term,
        .number = site_last_number (d) + 1,
        .id = talloc_strdup (d->site, writes[i].id),
        .item = bstr_copy (d->site, writes[i].item),
        .data = bstr_copy (d->site, writes[i].data),
      };
      for (int k = 0; k < d->log_count; k++)
        if (strcmp (d->log[k].id, writes[i].id) == 0)
          site_record_violation (d->site, "a write took effect twice",
                                 writes[i].id);
      d->log_count++;
    }
  if (count > 0)
    replicate_log (d);
}

/* Promotion and faults. */

/** A promotion that was ordered. */
struct promotion
{
  struct database *database;
};

/* Make the previous primaries of the service replicas of the new one. */
static void
on_follow_due (struct tevent_context *ev, struct tevent_timer *timer,
               struct timeval at, void *data)
{
  (void)ev, (void)timer, (void)at;
  struct promotion *p = data;
  struct database *new_primary = p->database;
  for (int i = 0; i < new_primary->site->count; i++)
    {
      struct database *d = new_primary->site->databases[i];
      if (d != new_primary && d->is_primary && !d->apart
          && d->term < new_primary->term
          && strcmp (d->service, new_primary->service) == 0)
        {
          d->is_primary = false;
          if (!d->dead)
            publish_database (d);
        }
    }
  if (new_primary->is_primary)
    replicate_log (new_primary);
  talloc_free (p);
}

/* @return the newest term of the database's service. */
static uint64_t
newest_term (const struct database *d)
{
  const struct site_databases *g = d->site;
  uint64_t newest = 0;
  for (int i = 0; i < g->count; i++)
    if (strcmp (g->databases[i]->service, d->service) == 0
        && g->databases[i]->term > newest)
      newest = g->databases[i]->term;
  return newest;
}

/* @return whether the database is the present primary.  One that was replaced
   and has not learned of it regards itself as the primary too. */
static bool
is_present_primary (const struct database *d)
{
  return d->is_primary && d->term == newest_term (d);
}

/* Make the database primary, in a term above all others of its service. */
static void
begin_term (struct database *d)
{
  if (!d->dead && !is_present_primary (d))
    {
      d->is_primary = true;
      d->term = newest_term (d) + 1;
      publish_database (d);
      replicate_log (d);
    }
}

static void
on_promotion_due (struct tevent_context *ev, struct tevent_timer *timer,
                  struct timeval at, void *data)
{
  (void)timer, (void)at;
  struct promotion *p = data;
  begin_term (p->database);
  tevent_add_timer (ev, p,
                    tevent_timeval_current_ofs (FOLLOW_DELAY_MS / 1000,
                                                FOLLOW_DELAY_MS % 1000 * 1000),
                    on_follow_due, p);
}

static struct database *
find_database (struct site_databases *g, const char *id)
{
  for (int i = 0; i < g->count; i++)
    if (strcmp (g->databases[i]->id, id) == 0)
      return g->databases[i];
  return NULL;
}

static struct newest_order *
find_newest_order (struct site_databases *g, const char *service)
{
  struct newest_order *o = g->orders;
  while (o != NULL && strcmp (o->service, service) != 0)
    o = o->next;
  if (o != NULL)
    return o;
  o = talloc_zero (g, struct newest_order);
  o->service = talloc_strdup (o, service);
  o->next = g->orders;
  g->orders = o;
  return o;
}

/* Check an order's fencing token against the newest one of the service.  The
   owners of two services order at the same time, in any order of tokens. */
static void
check_token (struct site_databases *g, struct newest_order *newest,
             struct bstr holder, uint64_t token, const char *id)
{
  if (token < newest->token)
    site_record_violation (g, "a lower fencing token was used", id);
  else if (token == newest->token && newest->holder != NULL
           && !bstr_equals_text (holder, newest->holder))
    site_record_violation (g, "two holders used the same fencing token", id);
  else
    {
      newest->token = token;
      talloc_free (newest->holder);
      newest->holder = bstr_to_text (newest, holder);
    }
  if (token > g->newest_token)
    g->newest_token = token;
}

unsigned
site_databases_promote (void *data, const char *service, const char *id,
                        struct bstr holder, uint64_t token)
{
  struct site_databases *g = data;
  struct database *d = find_database (g, id);
  check_token (g, find_newest_order (g, service), holder, token, id);
  if (d == NULL || d->dead || strcmp (d->service, service) != 0)
    return 409;
  if (is_present_primary (d))
    return 200;
  struct promotion *p = talloc_zero (g, struct promotion);
  p->database = d;
  uint32_t us = (uint32_t)g->options.promote_ms * 1000;
  tevent_add_timer (g->options.ev, p,
                    tevent_timeval_current_ofs (us / 1000000, us % 1000000),
                    on_promotion_due, p);
  return 200;
}

/* Make the database a replica if another one leads a newer term. */
static void
follow_newer_primary (struct database *d)
{
  const struct site_databases *g = d->site;
  for (int i = 0; i < g->count; i++)
    if (strcmp (g->databases[i]->service, d->service) == 0
        && g->databases[i]->term > d->term)
      d->is_primary = false;
  publish_database (d);
}

static void
on_accepted (void *data, int fd)
{
  site_session_accept (data, fd);
}

/* Listen on the port of the database; on any free port the first time. */
static bool
start_listening (struct database *d)
{
  struct error err = { 0 };
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", d->port);
  d->server = stream_server_create (
      d,
      &(struct stream_server_options){ .ev = d->site->options.ev,
                                       .address = address,
                                       .accepted = on_accepted,
                                       .data = d },
      &err);
  if (d->server == NULL)
    {
      log_error (PART, "event=no_port reason=\"%s\"", err.text);
      return false;
    }
  d->port = stream_server_port (d->server);
  return true;
}

/* Set what every read answers in its first row, from hexadecimal digits. */
static bool
set_row (struct database *d, const char *hex)
{
  size_t len = strlen (hex) / 2;
  char *row = talloc_array (d, char, len + 1);
  for (size_t i = 0; i < len; i++)
    {
      unsigned byte;
      if (sscanf (hex + 2 * i, "%2x", &byte) != 1)
        return false;
      row[i] = (char)byte;
    }
  d->row = (struct bstr){ row, len };
  return true;
}

/* Repeat a share of the answers, of the kinds "signed", "unsigned", "errors"
   or "any". */
static bool
set_stutter (struct database *d, int share, const char *kinds)
{
  static const char *const names[] = {
    [ANSWER_SIGNED] = "signed",
    [ANSWER_UNSIGNED] = "unsigned",
    [ANSWER_ERROR] = "errors",
    [ANSWER_ANY] = "any",
  };
  for (int kind = 0; kind <= ANSWER_ANY; kind++)
    if (names[kind] != NULL && strcmp (names[kind], kinds) == 0)
      {
        d->stutter_kinds = (enum answer_kind)kind;
        d->stutter_share = share;
        return true;
      }
  return false;
}

static struct next_fault *
add_next_fault (struct database *d, const char *verb, const char *code,
                int repeat_ms)
{
  struct next_fault **at = &d->next_faults;
  while (*at != NULL)
    at = &(*at)->next;
  *at = talloc_zero (d, struct next_fault);
  (*at)->verb = talloc_strdup (*at, verb);
  (*at)->code = code != NULL ? talloc_strdup (*at, code) : NULL;
  (*at)->repeat_ms = repeat_ms;
  return *at;
}

static void
set_slow (struct database *d, int ms, const char *verb)
{
  talloc_free (d->slow_verb);
  d->slow_verb = talloc_strdup (d, verb);
  d->slow_ms = ms;
}

/* Set a fault that has arguments.
   "stutter PERCENT KINDS": answers come twice, see set_stutter.
   "busy PERCENT": reads and writes are refused.
   "row HEX": what reads answer first; "rows COUNT": how often.
   "repeat MS VERB": the answer of the next such statement comes again later.
   "refuse CODE VERB": the next such statement is not run.
   "refuse CODE VERB MS": its error comes again later.
   "withhold VERB": the next such statement runs, its answer never comes.
   "slow MS VERB": all such statements take so much longer. */
static bool
set_fault_with_arguments (struct database *d, const char *fault)
{
  char word[16], verb[16];
  int number;
  if (strncmp (fault, "row ", 4) == 0)
    return set_row (d, fault + 4);
  if (sscanf (fault, "stutter %d %15s", &number, word) == 2)
    return set_stutter (d, number, word);
  if (sscanf (fault, "busy %d", &number) == 1)
    d->busy_share = number;
  else if (sscanf (fault, "rows %d", &number) == 1)
    d->row_count = number;
  else if (sscanf (fault, "repeat %d %15s", &number, verb) == 2)
    add_next_fault (d, verb, NULL, number);
  else if (sscanf (fault, "refuse %15s %15s %d", word, verb, &number) == 3)
    add_next_fault (d, verb, word, number);
  else if (sscanf (fault, "refuse %15s %15s", word, verb) == 2)
    add_next_fault (d, verb, word, 0);
  else if (sscanf (fault, "withhold %15s", verb) == 1)
    add_next_fault (d, verb, NULL, 0)->withheld = true;
  else if (sscanf (fault, "slow %d %15s", &number, verb) == 2)
    set_slow (d, number, verb);
  else
    return false;
  return true;
}

bool
site_databases_set_fault (void *data, const char *id, const char *fault)
{
  struct site_databases *g = data;
  struct database *d = find_database (g, id);
  if (d == NULL)
    return false;
  if (strcmp (fault, "kill") == 0)
    {
      d->dead = true;
      TALLOC_FREE (d->server);
      while (d->sessions != NULL)
        site_session_close (d->sessions);
    }
  else if (strcmp (fault, "revive") == 0)
    {
      d->dead = false;
      follow_newer_primary (d);
      return start_listening (d);
    }
  else if (strcmp (fault, "silence") == 0)
    d->silent = true;
  else if (strcmp (fault, "speak") == 0)
    d->silent = false;
  else if (strcmp (fault, "deaf") == 0)
    d->replication_stopped = true;
  else if (strcmp (fault, "hear") == 0)
    d->replication_stopped = false;
  else if (strcmp (fault, "part") == 0)
    d->apart = true;
  else if (strcmp (fault, "join") == 0)
    {
      d->apart = false;
      follow_newer_primary (d);
    }
  else if (strcmp (fault, "lose") == 0)
    d->lose_next_answer = true;
  else if (strcmp (fault, "unsigned") == 0)
    d->omit_next_signature = true;
  else if (strcmp (fault, "lead") == 0)
    begin_term (d);
  else if (strcmp (fault, "drain") == 0)
    {
      d->draining = true;
      publish_database (d);
    }
  else if (strcmp (fault, "steady") == 0)
    {
      d->stutter_share = d->busy_share = 0;
      TALLOC_FREE (d->slow_verb);
      d->row = (struct bstr){ NULL, 0 };
      d->row_count = 1;
    }
  else
    return set_fault_with_arguments (d, fault);
  return true;
}

json_t *
site_databases_get_observations (void *data)
{
  struct site_databases *g = data;
  json_t *databases = json_array ();
  for (int i = 0; i < g->count; i++)
    {
      const struct database *d = g->databases[i];
      json_t *log = json_array ();
      for (int k = 0; k < d->log_count; k++)
        json_array_append_new (log, json_string (d->log[k].id));
      json_array_append_new (
          databases,
          json_pack ("{s:s, s:s, s:b, s:b, s:I, s:o, s:i}", "id", d->id,
                     "service", d->service, "primary", d->is_primary, "dead",
                     d->dead, "term", (json_int_t)d->term, "log", log,
                     "connections", d->connections));
    }
  return json_pack ("{s:o, s:O, s:O, s:I}", "databases", databases, "runs",
                    g->runs, "violations", g->violations, "token",
                    (json_int_t)g->newest_token);
}

static int
databases_destructor (struct site_databases *g)
{
  json_decref (g->runs);
  json_decref (g->violations);
  return 0;
}

struct site_databases *
site_databases_create (void *parent,
                       const struct site_databases_options *options,
                       struct error *err)
{
  struct site_databases *g = talloc_zero (parent, struct site_databases);
  g->options = *options;
  g->random_state = options->seed;
  g->runs = json_array ();
  g->violations = json_array ();
  talloc_set_destructor (g, databases_destructor);
  for (int s = 0; s < options->services; s++)
    for (int i = 0; i <= options->replicas && g->count < SITE_MAX_DATABASES;
         i++)
      {
        struct database *d = talloc_zero (g, struct database);
        d->site = g;
        d->service = talloc_asprintf (d, "ledger-%d", s + 1);
        d->id = talloc_asprintf (d, "db-%d-%c", s + 1, 'a' + i);
        d->is_primary = i == 0;
        d->term = 1;
        d->row_count = 1;
        d->born_ms = s * 100 + i + 1;
        g->databases[g->count++] = d;
        if (!start_listening (d))
          {
            error_set (err, ERROR_UNAVAILABLE, "no port for %s", d->id);
            talloc_free (g);
            return NULL;
          }
        publish_database (d);
      }
  return g;
}
