#include "tests/soak/check.h"

#include "tests/soak/caller.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* max-staleness-ms of the routes "browse" and "own" in the configuration of
   the stand-in. */
#define BROWSE_MAX_STALENESS_MS 1500
#define OWN_MAX_STALENESS_MS 2500

/** Final log of one service. */
struct service_log
{
  json_t *ids;     /**< Number of occurrences in the log by statement id. */
  json_int_t term; /**< Term of the primary that has this log. */
};

#define MAX_SERVICES 16

/** State of the check. */
struct check
{
  struct check_result result;
  struct service_log logs[MAX_SERVICES + 1]; /**< By service number, from 1. */
  struct caller_record *records; /**< Records of the current caller. */
  int count;                     /**< Number of these records. */
};

static void
report_violation (struct check *c, const char *rule,
                  const struct caller_record *r, const char *detail)
{
  c->result.violations++;
  printf ("violation: %s: id=%s item=%s service=%d session=%d kind=%c "
          "begin_ms=%lld end_ms=%lld %s\n",
          rule, r->id, r->item, r->service, r->session, r->kind,
          (long long)r->begin_ms, (long long)r->end_ms, detail);
}

/* Read the final log of each service, which is the log of the primary with the
   highest term. */
static void
read_logs (struct check *c, const json_t *observed)
{
  const json_t *database, *entry;
  size_t i, k;
  json_array_foreach (json_object_get (observed, "databases"), i, database)
  {
    const char *name
        = json_string_value (json_object_get (database, "service"));
    int service = atoi (name + strlen ("ledger-"));
    json_int_t term = json_integer_value (json_object_get (database, "term"));
    if (service < 1 || service > MAX_SERVICES
        || !json_is_true (json_object_get (database, "primary"))
        || term < c->logs[service].term)
      continue;
    struct service_log *log = &c->logs[service];
    json_decref (log->ids);
    *log = (struct service_log){ json_object (), term };
    json_array_foreach (json_object_get (database, "log"), k, entry)
    {
      const char *id = json_string_value (entry);
      json_int_t occurrences
          = json_integer_value (json_object_get (log->ids, id)) + 1;
      json_object_set_new (log->ids, id, json_integer (occurrences));
    }
  }
}

/* @return how often the statement of a record is in the final log. */
static json_int_t
count_in_log (const struct check *c, const struct caller_record *r)
{
  return json_integer_value (json_object_get (c->logs[r->service].ids, r->id));
}

/* Replace the current records by those of one caller's file. */
static void
read_records (struct check *c, const char *path)
{
  FILE *file = fopen (path, "r");
  struct caller_record r;
  int outcome;
  long long begin, end;
  c->count = 0;
  if (file == NULL)
    {
      printf ("%s cannot be read\n", path);
      c->result.violations++;
      return;
    }
  while (fscanf (file, "%c %d %23s %23s %d %d %lld %lld %23s\n", &r.kind,
                 &r.service, r.id, r.item, &r.session, &outcome, &begin, &end,
                 r.row)
         == 9)
    {
      r.outcome = (enum caller_outcome)outcome;
      r.begin_ms = begin;
      r.end_ms = end;
      c->records = talloc_realloc (NULL, c->records, struct caller_record,
                                   (size_t)c->count + 1);
      c->records[c->count++] = r;
    }
  fclose (file);
}

/* A write takes effect at most once, never if its answer excluded a commit,
   and an acknowledged write is lost only by a promotion (a term above 1). */
static void
check_write (struct check *c, const struct caller_record *r)
{
  json_int_t times = count_in_log (c, r);
  c->result.acknowledged += r->outcome == CALLER_OK;
  c->result.refused += r->outcome == CALLER_NOT_COMMITTED;
  c->result.unknown += r->outcome == CALLER_UNKNOWN;
  if (times > 1)
    report_violation (c, "a write took effect twice", r, "");
  if (r->outcome == CALLER_NOT_COMMITTED && times > 0)
    report_violation (c, "a write is kept although it was refused", r, "");
  if (r->outcome != CALLER_OK || times > 0)
    return;
  c->result.rolled_back++;
  if (c->logs[r->service].term <= 1)
    report_violation (c, "an acknowledged write is gone without a promotion",
                      r, "");
}

/* @return whether the route of the read promises that it sees the write, or a
   later write of the same item. */
static bool
read_must_see_write (const struct caller_record *read,
                     const struct caller_record *write)
{
  int64_t gap_ms = read->begin_ms - write->end_ms;
  if (write->kind != 'W' || write->outcome != CALLER_OK
      || write->service != read->service
      || strcmp (write->item, read->item) != 0 || gap_ms < 0)
    return false;
  switch (read->kind)
    {
    case 'M':
      return true;
    case 'O':
      return write->session == read->session || gap_ms > OWN_MAX_STALENESS_MS;
    default:
      return gap_ms > BROWSE_MAX_STALENESS_MS;
    }
}

/* A read sees the newest write that its route promises, or a later one.  The
   records of a caller are in the order of its writes, and no other caller
   writes its items. */
static void
check_read (struct check *c, int index)
{
  const struct caller_record *r = &c->records[index];
  int required = -1, seen = -1;
  if (r->outcome != CALLER_OK)
    return;
  for (int i = 0; i < c->count; i++)
    {
      const struct caller_record *w = &c->records[i];
      if (read_must_see_write (r, w) && count_in_log (c, w) > 0
          && i > required)
        required = i;
      if (w->kind == 'W' && strcmp (w->id, r->row) == 0)
        seen = i;
    }
  if (required >= 0 && seen < required)
    report_violation (c, "a read is stale", r, c->records[required].id);
}

struct check_result
check_records (const json_t *observed, const char *const *paths, int count)
{
  struct check c = { 0 };
  const json_t *violations = json_object_get (observed, "violations");
  const json_t *entry;
  size_t k;
  read_logs (&c, observed);
  json_array_foreach (violations, k, entry)
  {
    char *text = json_dumps (entry, JSON_COMPACT | JSON_ENCODE_ANY);
    printf ("violation: %s\n", text);
    free (text);
    c.result.violations++;
  }
  for (int i = 0; i < count; i++)
    {
      read_records (&c, paths[i]);
      c.result.records += c.count;
      for (int n = 0; n < c.count; n++)
        if (c.records[n].kind == 'W')
          check_write (&c, &c.records[n]);
        else
          check_read (&c, n);
    }
  for (int i = 0; i <= MAX_SERVICES; i++)
    json_decref (c.logs[i].ids);
  talloc_free (c.records);
  return c.result;
}

/* Text that sessiond_site_wait sends. */
#define WAIT_TEXT "WRITE ready x"

/* Read the sent statements of all callers into an object by id. */
static json_t *
read_sent (const char *const *paths, int count)
{
  json_t *sent = json_object (), *one;
  for (int i = 0; i < count; i++)
    {
      FILE *file = fopen (paths[i], "r");
      while (file != NULL
             && (one = json_loadf (file, JSON_DISABLE_EOF_CHECK, NULL))
                    != NULL)
        json_object_set_new (
            sent, json_string_value (json_object_get (one, "id")), one);
      if (file == NULL)
        printf ("%s cannot be read\n", paths[i]);
      else
        fclose (file);
    }
  return sent;
}

static const char *
member (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text != NULL ? text : "";
}

/* @return what a run did that nobody asked for, NULL: nothing. */
static const char *
find_fault_of_run (const json_t *run, const json_t *sent)
{
  const char *text = member (run, "text"), *shape = member (sent, "shape");
  if (sent == NULL)
    return strcmp (text, WAIT_TEXT) != 0 ? "nobody sent it" : NULL;
  if (!json_equal (json_object_get (run, "values"),
                   json_object_get (sent, "values")))
    return "the session values are others";
  if (shape[0] == '\0')
    return strcmp (text, member (sent, "text")) != 0 ? "the text is another"
                                                     : NULL;
  /* "EXECUTE", the name of the daemon, and the arguments. */
  const char *arguments = strchr (text, ' ');
  arguments = arguments != NULL ? strchr (arguments + 1, ' ') : NULL;
  if (strcmp (member (run, "what"), shape) != 0)
    return "the shape is another";
  return arguments == NULL
                 || strcmp (arguments + 1, member (sent, "text")) != 0
             ? "the arguments are others"
             : NULL;
}

/* @return whether a run that a caller was told the result of is on the
   connection of the other statements of its transaction.
   @param places database and connection of each transaction. */
static bool
check_place (const json_t *run, const json_t *sent, json_t *places)
{
  const char *transaction = member (sent, "transaction");
  json_t *place = json_pack ("[O, O]", json_object_get (run, "database"),
                             json_object_get (run, "connection"));
  const json_t *first = json_object_get (places, transaction);
  bool is_same = first == NULL || json_equal (first, place);
  if (transaction[0] != '\0' && first == NULL)
    json_object_set (places, transaction, place);
  json_decref (place);
  return is_same;
}

int
check_statements (const json_t *observed, const char *const *paths, int count)
{
  json_t *sent = read_sent (paths, count), *run, *one;
  /* Successes that no run has confirmed yet. */
  json_t *unconfirmed = json_object ();
  json_t *places = json_object ();
  int violations = 0;
  size_t i;
  const char *id;
  json_object_foreach (sent, id, one)
  {
    if (json_is_true (json_object_get (one, "ok")))
      json_object_set (unconfirmed, id, one);
  }
  json_array_foreach (json_object_get (observed, "runs"), i, run)
  {
    id = member (run, "id");
    one = json_object_get (sent, id);
    const char *fault = find_fault_of_run (run, one);
    if (fault != NULL)
      {
        violations++;
        printf ("violation: id=%s ran \"%s\" at %s: %s\n", id,
                member (run, "text"), member (run, "database"), fault);
      }
    if (one != NULL
        && strcmp (member (run, "signature"), member (one, "signature")) == 0
        && json_equal (json_object_get (run, "rows"),
                       json_object_get (one, "rows")))
      {
        if (!check_place (run, one, places))
          {
            violations++;
            printf ("violation: id=%s \"%s\" ran on another connection than "
                    "its transaction's first statement\n",
                    id, member (one, "text"));
          }
        json_object_del (unconfirmed, id);
      }
  }
  json_object_foreach (unconfirmed, id, one)
  {
    violations++;
    printf ("violation: id=%s \"%s\": signature or rows of no run of it\n", id,
            member (one, "text"));
  }
  json_decref (places);
  json_decref (unconfirmed);
  json_decref (sent);
  return violations;
}
