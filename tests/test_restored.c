/** Tests of session daemons as processes while the platform's store comes back
 * from an older copy: revisions go back and are given out again, and what the
 * daemons wrote since is gone. */
#include "tests/relay_site.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Time within which a confirmed configuration is in force (config-apply-ms),
   and within which all services must be served again. */
#define APPLY_MS 3000
/* Time within which a write must succeed after a primary was killed. */
#define SERVE_MS 8000
/* Time within which a daemon that has started serves the configuration of its
   peers: 1 s until their heartbeats arrive and 1 s after them. */
#define START_MS 2000
/* Time after which no statement reaches a draining database (drain_ms). */
#define DRAIN_MS 3000
/* Time for which the store shows the older state before the operator and the
   databases write theirs again. */
#define REWRITE_MS 2000
/* Most calls that a daemon makes in a second. */
#define CALLS_PER_SECOND 20

/* Time after the start in which the daemons stop writing to the store. */
/* The store's part of a revision, without the era, is below this. */
#define REVISION_LIMIT ((json_int_t)1 << 40)
#define QUIET_MS 3000

/* Time until all daemons are in the list of voters after the start, and until
   daemons that have ended are removed from it. */
#define LIST_MS 10000
#define REMOVE_MS 30000

static json_int_t
observed_integer (struct sessiond_site *s, const char *name)
{
  json_t *observed = sessiond_site_observed (s);
  json_int_t value = json_integer_value (json_object_get (observed, name));
  json_decref (observed);
  return value;
}

static json_int_t
store_revision_of (struct sessiond_site *s)
{
  return observed_integer (s, "revision");
}

static void
take_snapshot (struct sessiond_site *s)
{
  CU_ASSERT_TRUE_FATAL (
      sessiond_site_control (s, json_pack ("{s:b}", "snapshot", 1)));
}

/* @param rewrite_ms time until the operator's and the databases' writes are
   repeated; -1: they are not. */
static void
restore_store (struct sessiond_site *s, int rewrite_ms)
{
  CU_ASSERT_TRUE_FATAL (sessiond_site_control (
      s, json_pack ("{s:b, s:i}", "restore", 1, "rewrite_ms", rewrite_ms)));
}

/* Restore, repeat the writes and publish the current configuration with a
   higher version, all before any daemon makes a call. */
static void
restore_and_configure (struct sessiond_site *s, bool answer_watches)
{
  json_t *version = json_object_get (s->config, "config-version");
  json_object_set_new (s->config, "config-version",
                       json_integer (json_integer_value (version) + 3));
  CU_ASSERT_TRUE_FATAL (sessiond_site_control (
      s, json_pack ("{s:b, s:i, s:b, s:O}", "restore", 1, "rewrite_ms", 0,
                    "answer_watches", answer_watches, "config", s->config)));
}

/* Add a route to the configuration, which is not published yet. */
static void
add_route (struct sessiond_site *s, const char *host)
{
  json_t *routes = json_object_get (s->config, "routes");
  json_t *route = json_copy (json_array_get (routes, 0));
  json_object_set_new (route, "name", json_string (host));
  json_object_set_new (route, "host", json_string (host));
  json_array_append_new (routes, route);
}

static json_t *
alpha_keys (struct sessiond_site *s)
{
  return json_object_get (
      json_array_get (json_object_get (s->config, "tenants"), 0), "api-keys");
}

/* Remove a key of organisation "alpha" from the configuration. */
static void
remove_key (struct sessiond_site *s, const char *key)
{
  json_t *keys = alpha_keys (s), *entry;
  size_t i;
  json_array_foreach (keys, i, entry)
  {
    if (strcmp (json_string_value (entry), key) != 0)
      continue;
    json_array_remove (keys, i);
    return;
  }
}

/* @return the code with which a session is refused; empty if it is
   accepted. */
static const char *
session_code (struct sessiond_site *s, int daemon, const char *host,
              const char *key)
{
  static struct line_answer a;
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  bool ready = c != NULL && line_start (c, host, key, &a);
  talloc_free (c);
  if (ready)
    return "";
  return c != NULL && a.code[0] != '\0' ? a.code : "none";
}

/* Wait until a session is refused with @p code, or accepted if it is empty.
   @param end time limit, see sessiond_site_now_ms. */
static bool
wait_for_code (struct sessiond_site *s, int daemon, const char *host,
               const char *key, const char *code, int64_t end)
{
  do
    {
      if (strcmp (session_code (s, daemon, host, key), code) == 0)
        return true;
      usleep (30000);
    }
  while (sessiond_site_now_ms () < end);
  printf ("[vm-%d: %s %s is \"%s\" instead of \"%s\"] ", daemon, host, key,
          session_code (s, daemon, host, key), code);
  return false;
}

/* Wait until each daemon accepts or refuses the session in time. */
static bool
is_in_force (struct sessiond_site *s, const char *host, const char *key,
             const char *code)
{
  int64_t end = sessiond_site_now_ms () + APPLY_MS;
  bool in_force = true;
  for (int i = 0; i < s->daemon_count; i++)
    in_force = wait_for_code (s, i, host, key, code, end) && in_force;
  return in_force;
}

/* Publish a configuration with a further route.
   @return whether each daemon serves it in time. */
static bool
route_is_served_in_time (struct sessiond_site *s, const char *host)
{
  add_route (s, host);
  return sessiond_site_configure (s) && is_in_force (s, host, "key-a1", "");
}

static void
assert_no_violation (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s);
  json_t *violations = json_object_get (observed, "violations");
  if (json_array_size (violations) > 0)
    {
      char *text = json_dumps (violations, 0);
      printf ("violations: %s\n", text);
      free (text);
    }
  CU_ASSERT_EQUAL (json_array_size (violations), 0);
  json_decref (observed);
}

/* Read through all daemons for some time; some of the reads must run.
   @return the number of reads that ran at @p database. */
static int
reads_at (struct sessiond_site *s, const char *database, int duration_ms)
{
  int count = sessiond_site_reads_at (s, database, duration_ms);
  CU_ASSERT_TRUE (count >= 0);
  return count;
}

/* @return a replica of service 1 that serves reads. */
static const char *
find_read_replica (struct sessiond_site *s)
{
  return reads_at (s, "db-1-b", 500) > 0 ? "db-1-b" : "db-1-c";
}

/* @return the value of a metric, -1 if there is none. */
static double
read_metric (struct sessiond_site *s, int daemon, const char *name)
{
  char *text = sessiond_site_metrics (s, daemon);
  const char *at = text != NULL ? strstr (text, name) : NULL;
  double value = at != NULL ? atof (at + strlen (name)) : -1;
  talloc_free (text);
  return value;
}

/* Guards against configurations that are confirmed after a restore and applied
   late, while the store's revision is below that of the daemons and passes
   it. */
static void
configuration_after_a_restore_is_in_force (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char host[16];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  for (int i = 0; i < 5; i++)
    {
      snprintf (host, sizeof host, "before%d", i);
      CU_ASSERT_TRUE (route_is_served_in_time (s, host));
    }
  restore_store (s, 0);
  for (int i = 0; i < 6; i++)
    {
      snprintf (host, sizeof host, "after%d", i);
      CU_ASSERT_TRUE (route_is_served_in_time (s, host));
    }
  remove_key (s, "key-a2");
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  CU_ASSERT_TRUE (is_in_force (s, "main1", "key-a2", "NOAUTH"));
  talloc_free (s);
}

/* Guards against a configuration that no daemon sees, as its revision is one
   that they had before the restore, when it stood for another change. */
static void
reused_revision_hides_no_configuration (void)
{
  for (int answer_watches = 0; answer_watches < 2; answer_watches++)
    {
      struct sessiond_site *s = sessiond_site_start (
          NULL,
          &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
      CU_ASSERT_PTR_NOT_NULL_FATAL (s);
      usleep (QUIET_MS * 1000);
      take_snapshot (s);
      CU_ASSERT_TRUE (route_is_served_in_time (s, "first"));
      CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "drain"));
      CU_ASSERT_TRUE (route_is_served_in_time (s, "second"));
      add_route (s, "third");
      remove_key (s, "key-a2");
      json_int_t before = store_revision_of (s);
      restore_and_configure (s, answer_watches);
      CU_ASSERT_EQUAL (store_revision_of (s), before);
      CU_ASSERT_TRUE (is_in_force (s, "third", "key-a1", ""));
      CU_ASSERT_TRUE (is_in_force (s, "main1", "key-a2", "NOAUTH"));
      assert_no_violation (s);
      talloc_free (s);
    }
}

/* Guards against draining databases that get statements, as their entries
   changed under a revision that the daemons had before the restore. */
static void
reused_revision_hides_no_draining (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 2 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  usleep (QUIET_MS * 1000);
  const char *replica = find_read_replica (s);
  take_snapshot (s);
  CU_ASSERT_TRUE (route_is_served_in_time (s, "first"));
  CU_ASSERT_TRUE (route_is_served_in_time (s, "second"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-2-b", "drain"));
  usleep (DRAIN_MS * 1000);
  json_int_t before = store_revision_of (s);
  restore_store (s, 0);
  CU_ASSERT_TRUE (sessiond_site_fault (s, replica, "drain"));
  CU_ASSERT_EQUAL (store_revision_of (s), before);
  usleep (DRAIN_MS * 1000);
  CU_ASSERT_EQUAL (reads_at (s, replica, 2000), 0);
  talloc_free (s);
}

/* Guards against routes and keys that are as they were in the copy, while the
   store shows the older configuration and after it. */
static void
configuration_before_a_restore_stays (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  remove_key (s, "key-a2");
  CU_ASSERT_TRUE (route_is_served_in_time (s, "late"));
  CU_ASSERT_TRUE (is_in_force (s, "main1", "key-a2", "NOAUTH"));
  restore_store (s, REWRITE_MS);
  int older = 0;
  int64_t end = sessiond_site_now_ms () + REWRITE_MS + APPLY_MS;
  for (int i = 0; sessiond_site_now_ms () < end; i = (i + 1) % 3)
    {
      older += strcmp (session_code (s, i, "late", "key-a1"), "") != 0;
      older += strcmp (session_code (s, i, "main1", "key-a2"), "NOAUTH") != 0;
      usleep (10000);
    }
  CU_ASSERT_EQUAL (older, 0);
  CU_ASSERT_TRUE (route_is_served_in_time (s, "later"));
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a daemon that starts while the store shows the older
   configuration, and keeps to it although its peers have the newer one. */
static void
daemon_starts_with_the_newest_configuration (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  remove_key (s, "key-a2");
  CU_ASSERT_TRUE (route_is_served_in_time (s, "late"));
  for (int i = 0; i < 3; i++)
    {
      restore_store (s, -1);
      process_signal (s->daemons[i], SIGKILL);
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      int64_t end = sessiond_site_now_ms () + START_MS;
      CU_ASSERT_TRUE (wait_for_code (s, i, "late", "key-a1", "", end));
      CU_ASSERT_TRUE (wait_for_code (s, i, "main1", "key-a2", "NOAUTH", end));
      int older = 0;
      for (int k = 0; k < 100; k++)
        {
          older += strcmp (session_code (s, i, "late", "key-a1"), "") != 0;
          older += strcmp (session_code (s, i, "main1", "key-a2"), "NOAUTH")
                   != 0;
          usleep (10000);
        }
      CU_ASSERT_EQUAL (older, 0);
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a draining database that gets statements again because the
   restored store shows it as ready. */
static void
draining_database_stays_draining (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  usleep (QUIET_MS * 1000);
  const char *replica = find_read_replica (s);
  take_snapshot (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, replica, "drain"));
  int64_t left = sessiond_site_now_ms () + DRAIN_MS;
  usleep (500000);
  restore_store (s, REWRITE_MS);
  usleep ((useconds_t)(left - sessiond_site_now_ms ()) * 1000);
  CU_ASSERT_EQUAL (reads_at (s, replica, APPLY_MS), 0);
  restore_store (s, REWRITE_MS);
  CU_ASSERT_EQUAL (reads_at (s, replica, REWRITE_MS + APPLY_MS), 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against daemons that call the store without a pause, as it does not
   have the revision from which they watch. */
static void
calls_after_a_restore_are_few (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  CU_ASSERT_TRUE (route_is_served_in_time (s, "first"));
  CU_ASSERT_TRUE (route_is_served_in_time (s, "second"));
  for (int rewrite_ms = -1; rewrite_ms <= REWRITE_MS;
       rewrite_ms += REWRITE_MS + 1)
    {
      double before[3];
      json_int_t all_before = observed_integer (s, "requests");
      for (int i = 0; i < 3; i++)
        before[i] = read_metric (s, i, "azurewind_store_calls_total ");
      restore_store (s, rewrite_ms);
      usleep (3000000);
      for (int i = 0; i < 3; i++)
        {
          double calls
              = read_metric (s, i, "azurewind_store_calls_total ") - before[i];
          printf ("[vm-%d: %d calls] ", i, (int)calls);
          CU_ASSERT_TRUE (calls <= 3 * CALLS_PER_SECOND);
        }
      CU_ASSERT_TRUE (observed_integer (s, "requests") - all_before
                      <= 3 * 3 * CALLS_PER_SECOND);
    }
  talloc_free (s);
}

/* @return the id of the primary of service "ledger-1" in the newest term, in
   @p id. */
static void
find_primary (struct sessiond_site *s, char id[16])
{
  json_t *observed = sessiond_site_observed (s), *database;
  json_int_t newest = 0;
  size_t i;
  id[0] = '\0';
  json_array_foreach (json_object_get (observed, "databases"), i, database)
  {
    json_int_t term = json_integer_value (json_object_get (database, "term"));
    if (!json_is_true (json_object_get (database, "primary"))
        || term <= newest)
      continue;
    newest = term;
    snprintf (id, 16, "%s",
              json_string_value (json_object_get (database, "id")));
  }
  json_decref (observed);
}

/* Kill the primary of service 1.
   @return its id, in @p id. */
static void
kill_primary (struct sessiond_site *s, char id[16])
{
  find_primary (s, id);
  CU_ASSERT_TRUE_FATAL (sessiond_site_fault (s, id, "kill"));
}

/* Guards against a primary that is replaced because of a promotion record that
   was removed and that a restore of the store has brought back. */
static void
record_that_came_back_starts_no_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char url[100];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  usleep (QUIET_MS * 1000);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-promotions",
            process_port (s->platform));
  CU_ASSERT_EQUAL (process_http (s, "POST", url,
                                 "{\"meta\":{\"name\":\"ledger-1\"},"
                                 "\"spec\":{\"holder\":\"vm-0\","
                                 "\"endpoint\":\"db-1-b\"}}",
                                 NULL),
                   200);
  int owner = 0;
  while (owner < 2 && read_metric (s, owner, "azurewind_owned_services ") < 1)
    owner++;
  process_signal (s->daemons[owner], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 1) % 3, 1, SERVE_MS));
  usleep (SERVE_MS * 1000 / 2);
  json_t *observed = sessiond_site_observed (s), *database;
  size_t i;
  json_array_foreach (json_object_get (observed, "databases"), i, database)
      CU_ASSERT_EQUAL (json_integer_value (json_object_get (database, "term")),
                       1);
  json_decref (observed);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a fencing token that is lower than one before the restore,
   as a promotion record gets a revision that was given out already. */
static void
fencing_token_never_falls (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char first[16], second[16], third[16];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  for (int i = 0; i < 20; i++)
    CU_ASSERT_TRUE (sessiond_site_configure (s));
  kill_primary (s, first);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_fault (s, first, "revive"));
  restore_store (s, 0);
  kill_primary (s, second);
  CU_ASSERT_STRING_NOT_EQUAL (first, second);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  assert_no_violation (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, second, "revive"));
  restore_store (s, REWRITE_MS);
  process_signal (s->daemons[0], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, 0));
  kill_primary (s, third);
  CU_ASSERT_STRING_NOT_EQUAL (second, third);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against two owners that promote with the same token, as the record
   of the second gets the revision that the record of the first had before the
   restore. */
static void
fencing_token_has_one_holder (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char first[16], second[16];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  usleep (QUIET_MS * 1000);
  take_snapshot (s);
  for (int i = 0; i < 20; i++)
    CU_ASSERT_TRUE (sessiond_site_configure (s));
  kill_primary (s, first);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_fault (s, first, "revive"));
  usleep (REWRITE_MS * 1000);
  json_int_t token = observed_integer (s, "token");
  CU_ASSERT_TRUE (token > 0);
  restore_store (s, 0);
  int owner = 0;
  while (owner < 2 && read_metric (s, owner, "azurewind_owned_services ") < 1)
    owner++;
  process_signal (s->daemons[owner], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 1) % 3, 1, SERVE_MS));
  while (store_revision_of (s) < token % REVISION_LIMIT - 1)
    CU_ASSERT_TRUE_FATAL (sessiond_site_configure (s));
  kill_primary (s, second);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 1) % 3, 1, SERVE_MS));
  CU_ASSERT_TRUE (observed_integer (s, "token") > token);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a promotion that does not end, or is done with a lower
   token, when its record is lost by a restore at any moment of it. */
static void
promotion_survives_a_restore (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char id[16];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  take_snapshot (s);
  for (int i = 0; i < 20; i++)
    CU_ASSERT_TRUE (sessiond_site_configure (s));
  for (int wait_ms = 50; wait_ms <= 850; wait_ms += 200)
    {
      kill_primary (s, id);
      usleep ((useconds_t)wait_ms * 1000);
      restore_store (s, wait_ms % 400 == 50 ? 0 : REWRITE_MS);
      for (int i = 0; i < 3; i++)
        CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
      CU_ASSERT_TRUE (sessiond_site_fault (s, id, "revive"));
      usleep (REWRITE_MS * 1000);
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* @return the number of daemons that own the only service at one moment: they
   own it in two passes, and the moment is between these. */
static int
count_owners (struct sessiond_site *s)
{
  bool owns[SITE_MAX_DAEMONS];
  int count = 0;
  for (int i = 0; i < s->daemon_count; i++)
    owns[i] = read_metric (s, i, "azurewind_owned_services ") > 0;
  for (int i = 0; i < s->daemon_count; i++)
    count += owns[i] && read_metric (s, i, "azurewind_owned_services ") > 0;
  return count;
}

/* Count the owners again and again, and check that there are never two.
   @return the time from the beginning to the last moment without an owner. */
static int64_t
watch_owners (struct sessiond_site *s, int duration_ms)
{
  int64_t begin = sessiond_site_now_ms (), last_without = 0;
  int most = 0;
  while (sessiond_site_now_ms () < begin + duration_ms)
    {
      int owners = count_owners (s);
      if (owners == 0)
        last_without = sessiond_site_now_ms () - begin;
      if (owners > most)
        most = owners;
    }
  printf ("[%d ms without owner] ", (int)last_without);
  CU_ASSERT_TRUE (most <= 1);
  return last_without;
}

/* @return the number of entries in the store's list of voters; -1: there is
   no list. */
static int
listed_voters (struct sessiond_site *s)
{
  char url[100];
  char *body = NULL;
  int count = -1;
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-voters/main",
            process_port (s->platform));
  if (process_http (s, "GET", url, NULL, &body) == 200)
    {
      json_t *object = json_loads (body, 0, NULL);
      count = (int)json_array_size (
          json_object_get (json_object_get (object, "spec"), "voters"));
      json_decref (object);
    }
  talloc_free (body);
  return count;
}

static bool
wait_for_voters (struct sessiond_site *s, int count, int timeout_ms)
{
  int64_t end = sessiond_site_now_ms () + timeout_ms;
  while (listed_voters (s) != count)
    {
      if (sessiond_site_now_ms () > end)
        return false;
      usleep (50000);
    }
  return true;
}

static bool
snapshot_without_voters (struct sessiond_site *s, void *data)
{
  (void)data;
  return sessiond_site_control (s, json_pack ("{s:b}", "snapshot", 1));
}

/* Guards against a daemon that starts again while the restored store has no
   list of voters, and owns the service alone although the others hold it. */
static void
lost_voter_list_gives_no_second_owner (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL,
      &(struct sessiond_site_options){
          .daemons = 5, .services = 1, .prepare = snapshot_without_voters });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (wait_for_voters (s, 5, LIST_MS));
  for (int i = 0; i < 5; i++)
    {
      restore_store (s, i % 2 == 0 ? 0 : REWRITE_MS);
      process_signal (s->daemons[i], SIGKILL);
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      CU_ASSERT_TRUE (watch_owners (s, 5000) < APPLY_MS);
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
    }
  restore_store (s, 0);
  for (int i = 0; i < 5; i += 2)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 5; i += 2)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE (watch_owners (s, 6000) < APPLY_MS);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a list of voters that a daemon begins anew after a restore,
   and that all others adopt, as its revision is above that of their list. */
static void
new_voter_list_replaces_no_majority (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL,
      &(struct sessiond_site_options){
          .daemons = 5, .services = 1, .prepare = snapshot_without_voters });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (wait_for_voters (s, 5, LIST_MS));
  for (int i = 0; i < 5; i++)
    {
      restore_store (s, 0);
      for (int k = 0; k < 20; k++)
        CU_ASSERT_TRUE (sessiond_site_configure (s));
      process_signal (s->daemons[i], SIGKILL);
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      CU_ASSERT_TRUE (watch_owners (s, 4000) < APPLY_MS);
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* @param changes number of configurations that are published after the
   restore, so that a change of the older list gets a higher revision than the
   newer list had. */
static void
bring_older_voters_back (int changes)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 5, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE_FATAL (wait_for_voters (s, 5, LIST_MS));
  take_snapshot (s);
  process_signal (s->daemons[3], SIGKILL);
  process_signal (s->daemons[4], SIGKILL);
  CU_ASSERT_TRUE_FATAL (wait_for_voters (s, 3, REMOVE_MS));
  usleep (500000);
  restore_store (s, 0);
  for (int i = 0; i < changes; i++)
    CU_ASSERT_TRUE (sessiond_site_configure (s));
  process_signal (s->daemons[2], SIGKILL);
  for (int i = 2; i < 5; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE (watch_owners (s, 6000) < APPLY_MS);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against two majorities, one of the list of voters and one of the
   older, longer list in the restored store, when daemons that had been removed
   come back. */
static void
older_voter_list_gives_no_second_owner (void)
{
  bring_older_voters_back (0);
  bring_older_voters_back (20);
}

/* Guards against voters that were added after the copy and are forgotten: the
   restored list is shorter, and one of its members starts again. */
static void
shorter_voter_list_gives_no_second_owner (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 5, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE_FATAL (wait_for_voters (s, 5, LIST_MS));
  for (int i = 4; i >= 2; i--)
    {
      process_signal (s->daemons[i], SIGTERM);
      CU_ASSERT_TRUE_FATAL (wait_for_voters (s, i, REMOVE_MS));
    }
  take_snapshot (s);
  for (int i = 2; i < 5; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE_FATAL (wait_for_voters (s, 5, REMOVE_MS));
  usleep (500000);
  restore_store (s, 0);
  for (int i = 0; i < 2; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE (watch_owners (s, 6000) < APPLY_MS);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, APPLY_MS));
  assert_no_violation (s);
  talloc_free (s);
}

/* One random step of a schedule of changes, copies and restores. */
static void
run_random_step (struct sessiond_site *s, unsigned *seed, int step)
{
  char host[16];
  switch (rand_r (seed) % 6)
    {
    case 0:
      take_snapshot (s);
      break;
    case 1:
      restore_store (s, rand_r (seed) % 600);
      break;
    case 2:
      restore_and_configure (s, rand_r (seed) % 2 == 0);
      break;
    case 3:
      json_array_append_new (alpha_keys (s), json_sprintf ("key-%d", step));
      CU_ASSERT_TRUE (sessiond_site_configure (s));
      break;
    default:
      snprintf (host, sizeof host, "step%d", step);
      add_route (s, host);
      CU_ASSERT_TRUE (sessiond_site_configure (s));
      break;
    }
  usleep ((useconds_t)(rand_r (seed) % 400) * 1000);
}

/* Guards against configurations that are lost in a random series of copies,
   restores and changes: at its end the newest one is in force in time. */
static void
random_restores_lose_no_configuration (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char host[16];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (unsigned first = 1; first <= 10; first++)
    {
      unsigned seed = first;
      take_snapshot (s);
      for (int step = 0; step < 8; step++)
        run_random_step (s, &seed, (int)first * 100 + step);
      restore_store (s, rand_r (&seed) % 600);
      snprintf (host, sizeof host, "end%u", first);
      bool served = route_is_served_in_time (s, host);
      if (!served)
        printf ("[seed %u] ", first);
      CU_ASSERT_TRUE (served);
    }
  assert_no_violation (s);
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "configuration_after_a_restore_is_in_force",
    configuration_after_a_restore_is_in_force },
  { "reused_revision_hides_no_configuration",
    reused_revision_hides_no_configuration },
  { "reused_revision_hides_no_draining", reused_revision_hides_no_draining },
  { "configuration_before_a_restore_stays",
    configuration_before_a_restore_stays },
  { "daemon_starts_with_the_newest_configuration",
    daemon_starts_with_the_newest_configuration },
  { "draining_database_stays_draining", draining_database_stays_draining },
  { "calls_after_a_restore_are_few", calls_after_a_restore_are_few },
  { "record_that_came_back_starts_no_promotion",
    record_that_came_back_starts_no_promotion },
  { "fencing_token_never_falls", fencing_token_never_falls },
  { "fencing_token_has_one_holder", fencing_token_has_one_holder },
  { "promotion_survives_a_restore", promotion_survives_a_restore },
  { "lost_voter_list_gives_no_second_owner",
    lost_voter_list_gives_no_second_owner },
  { "new_voter_list_replaces_no_majority",
    new_voter_list_replaces_no_majority },
  { "older_voter_list_gives_no_second_owner",
    older_voter_list_gives_no_second_owner },
  { "shorter_voter_list_gives_no_second_owner",
    shorter_voter_list_gives_no_second_owner },
  { "random_restores_lose_no_configuration",
    random_restores_lose_no_configuration },
  { NULL, NULL },
};

TEST_SUITE (restored, cases)
