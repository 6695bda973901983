/** @file
 * Tests of the fleet's guarantees with real processes under kill -9, SIGSTOP,
 * partitions, lost answers and a stopped platform.
 */
#include "tests/fleet.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

/* Maximum duration of a change of the primary that users accept. */
#define FAILOVER_BOUND_MS 19000
/* Maximum time until a configuration is in force, or a key is revoked, at all
   daemons. */
#define CONFIG_BOUND_MS 3000

/* Assert the condition; if it does not hold, print it and go to done. */
#define REQUIRE(condition)                                                    \
  do                                                                          \
    {                                                                         \
      bool holds_ = (condition);                                              \
      CU_ASSERT (holds_);                                                     \
      if (!holds_)                                                            \
        {                                                                     \
          printf ("%s:%d: %s\n", __FILE__, __LINE__, #condition);             \
          goto done;                                                          \
        }                                                                     \
    }                                                                         \
  while (0)

static const struct fleet_options three_daemons = { .daemons = 3 };

/* Run one statement.  @return whether the answer has this outcome. */
static bool
outcome_is (struct fleet *f, int daemon, const char *mode, const char *session,
            const char *extra, const char *sql, const char *outcome)
{
  struct fleet_answer a = fleet_sql (f, daemon, mode, session, extra, sql);
  bool same = strcmp (fleet_answer_text (&a, "outcome"), outcome) == 0;
  if (!same)
    printf ("status %ld: %s\n", a.status,
            a.json != NULL ? json_dumps (a.json, 0) : "no answer");
  json_decref (a.json);
  return same;
}

/* @return the number of bookings with this id, -1 on failure. */
static long
count_rows (struct fleet *f, int daemon, const char *id)
{
  char *body = talloc_asprintf (
      f,
      "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
      "\"SELECT count(*) FROM bookings WHERE id = $1\",\"params\":[\"%s\"]}]}",
      id);
  struct fleet_answer a
      = fleet_post (f, daemon, NULL, "/v1/query", f->key, NULL, body);
  long count = fleet_answer_number (&a);
  if (count < 0)
    printf ("count at daemon %d: status %ld code \"%s\" %s\n", daemon,
            a.status, fleet_answer_text (&a, "code"),
            fleet_answer_text (&a, "message"));
  json_decref (a.json);
  return count;
}

/* Guards against a stale read when a session continues at another daemon.
   The replicas apply changes 300 ms late. */
static void
reads_its_own_write_through_any_daemon (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 1, "apply_lag_ms=300"));
  REQUIRE (fleet_inject_fault (f, 2, "apply_lag_ms=300"));
  for (int i = 0; i < 12; i++)
    {
      char sql[128];
      snprintf (sql, sizeof sql, "INSERT INTO bookings VALUES ('r%d', 1)", i);
      struct fleet_answer w = fleet_sql (f, i % 3, "write", NULL, "", sql);
      snprintf (sql, sizeof sql, "SELECT n FROM bookings WHERE id = 'r%d'", i);
      struct fleet_answer r = fleet_sql (
          f, (i + 1) % 3, "read", fleet_answer_text (&w, "session"), "", sql);
      bool found = fleet_answer_has_rows (&r);
      json_decref (w.json);
      json_decref (r.json);
      REQUIRE (found);
    }
done:
  talloc_free (f);
}

/* Guards against the loss of an acknowledged write, and a service that stays
   unavailable, when the primary's process is killed. */
static void
primary_killed (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (outcome_is (f, 0, "write", NULL, "",
                       "INSERT INTO bookings VALUES ('before', 1)", "ran"));
  process_signal (f->endpoints[0], SIGKILL);
  int64_t killed = fleet_now_ms ();
  REQUIRE (outcome_is (f, 1, "write", NULL, ",\"deadline_ms\":19000",
                       "INSERT INTO bookings VALUES ('after', 1)", "ran"));
  CU_ASSERT (fleet_now_ms () - killed <= FAILOVER_BOUND_MS);
  printf ("gap %d ms ", (int)(fleet_now_ms () - killed));
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (count_rows (f, i, "before"), 1);
      CU_ASSERT_EQUAL (count_rows (f, i, "after"), 1);
    }
done:
  talloc_free (f);
}

/* Guards against a primary that acknowledges writes although it was replaced
   while it was cut off, and against reads of its diverged data after it
   returns. */
static void
primary_cut_off_and_back (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (outcome_is (f, 0, "write", NULL, "",
                       "INSERT INTO bookings VALUES ('before', 1)", "ran"));
  REQUIRE (fleet_inject_fault (f, 0, "cut=1"));
  REQUIRE (fleet_wait_primary (f, 0, 2, FAILOVER_BOUND_MS) > 0);
  REQUIRE (outcome_is (f, 0, "write", NULL, ",\"deadline_ms\":5000",
                       "INSERT INTO bookings VALUES ('after', 1)", "ran"));
  REQUIRE (fleet_inject_fault (f, 0, "cut=0"));
  for (int i = 0; i < 30; i++)
    {
      struct fleet_answer w
          = fleet_sql (f, i % 3, "write", NULL, ",\"deadline_ms\":5000",
                       "INSERT INTO bookings VALUES (hex(randomblob(8)), 1)");
      struct fleet_answer r = fleet_sql (
          f, (i + 1) % 3, "read", fleet_answer_text (&w, "session"), "",
          "SELECT n FROM bookings WHERE id = 'after'");
      bool ok = w.status == 200 && fleet_answer_has_rows (&r);
      json_decref (w.json);
      json_decref (r.json);
      REQUIRE (ok);
    }
  CU_ASSERT_EQUAL (count_rows (f, 2, "before"), 1);
done:
  talloc_free (f);
}

/* Guards against a promotion of a replica while the primary is only slow. */
static void
slow_primary_is_kept (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 0, "statement_delay_ms=400"));
  int64_t end = fleet_now_ms () + 4000;
  while (fleet_now_ms () < end)
    {
      struct fleet_answer a
          = fleet_sql (f, 0, "write", NULL, ",\"deadline_ms\":8000",
                       "INSERT INTO bookings VALUES (hex(randomblob(8)), 1)");
      json_decref (a.json);
    }
  REQUIRE (fleet_inject_fault (f, 0, "statement_delay_ms=0"));
  REQUIRE (fleet_wait_primary (f, 0, 1, FAILOVER_BOUND_MS) == 0);
  json_t *status = fleet_status (f, 0);
  json_t *group = json_array_get (json_object_get (status, "groups"), 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (group, "term")), 1);
  json_decref (status);
done:
  talloc_free (f);
}

/* Guards against a second execution when the answer to COMMIT is lost and the
   caller repeats the request with the same idempotency key at another
   daemon. */
static void
lost_commit_answer_with_key (void)
{
  static const char insert[] = "INSERT INTO bookings VALUES ('once', 1)";
  static const char key[] = ",\"idempotency_key\":\"k1\"";
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 0, "drop_commit_answer=1"));
  struct fleet_answer a = fleet_sql (f, 0, "write", NULL, key, insert);
  REQUIRE (fleet_inject_fault (f, 0, "drop_commit_answer=0"));
  CU_ASSERT_STRING_NOT_EQUAL (fleet_answer_text (&a, "outcome"), "not_run");
  json_decref (a.json);
  REQUIRE (outcome_is (f, 1, "write", NULL, key, insert, "ran"));
  a = fleet_get (f, 2, "/v1/requests/k1?service=lending", f->key);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "ran");
  json_decref (a.json);
  CU_ASSERT_EQUAL (count_rows (f, 2, "once"), 1);
done:
  talloc_free (f);
}

/* Guards against the outcome "not_run" for a write that may have been
   committed: the answer to COMMIT is lost. */
static void
lost_commit_answer_without_key (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 0, "drop_commit_answer=1"));
  REQUIRE (outcome_is (f, 0, "write", NULL, "",
                       "INSERT INTO bookings VALUES ('open', 1)", "unknown"));
  REQUIRE (fleet_inject_fault (f, 0, "drop_commit_answer=0"));
  CU_ASSERT_EQUAL (count_rows (f, 1, "open"), 1);
done:
  talloc_free (f);
}

/* @return the id of a new transaction, "" if it could not be opened. */
static char *
begin_transaction (struct fleet *f, int daemon, CURL *curl, const char *key)
{
  struct fleet_answer a = fleet_post (f, daemon, curl, "/v1/transactions", key,
                                      NULL, "{\"service\":\"lending\"}");
  char *id = talloc_strdup (f, fleet_answer_text (&a, "transaction"));
  json_decref (a.json);
  return id;
}

/* Post to the path @p verb of a transaction: "query" or "commit".
   @return "OUTCOME CODE" of the answer; the code is empty on success. */
static const char *
run_in_transaction (struct fleet *f, int daemon, CURL *curl, const char *key,
                    const char *id, const char *verb, const char *sql)
{
  char *path = talloc_asprintf (f, "/v1/transactions/%s/%s", id, verb);
  char *body = talloc_asprintf (
      f,
      "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
      "\"%s\"}]}",
      sql);
  struct fleet_answer a = fleet_post (f, daemon, curl, path, key, NULL, body);
  char *result
      = talloc_asprintf (f, "%s %s", fleet_answer_text (&a, "outcome"),
                         fleet_answer_text (&a, "code"));
  json_decref (a.json);
  return result;
}

/* Guards against a transaction that another key or another connection can use,
   and one that stays open after its caller has closed the connection. */
static void
transaction_belongs_to_key_and_connection (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  CURL *mine = curl_easy_init (), *other = curl_easy_init ();
  REQUIRE (f != NULL);
  char *id = begin_transaction (f, 0, mine, f->key);
  REQUIRE (id[0] != '\0');
  CU_ASSERT_STRING_EQUAL (
      run_in_transaction (f, 0, mine, f->key, id, "query",
                          "INSERT INTO bookings VALUES ('t1', 1)"),
      "ran ");
  CU_ASSERT_STRING_EQUAL (
      run_in_transaction (f, 0, other, f->key, id, "query", "SELECT 1"),
      "not_run unknown_transaction");
  CU_ASSERT_STRING_EQUAL (
      run_in_transaction (f, 0, mine, f->other_key, id, "commit", "SELECT 1"),
      "not_run unknown_transaction");
  CU_ASSERT_STRING_EQUAL (
      run_in_transaction (f, 0, mine, f->key, id, "commit", "SELECT 1"),
      "ran ");
  CU_ASSERT_EQUAL (count_rows (f, 1, "t1"), 1);

  id = begin_transaction (f, 0, mine, f->key);
  run_in_transaction (f, 0, mine, f->key, id, "query",
                      "INSERT INTO bookings VALUES ('t2', 1)");
  curl_easy_cleanup (mine);
  mine = NULL;
  /* The write waits for the writer's lock until the rollback. */
  REQUIRE (outcome_is (f, 1, "write", NULL, ",\"deadline_ms\":9000",
                       "INSERT INTO bookings VALUES ('t3', 1)", "ran"));
  CU_ASSERT_EQUAL (count_rows (f, 1, "t2"), 0);
done:
  if (mine != NULL)
    curl_easy_cleanup (mine);
  curl_easy_cleanup (other);
  talloc_free (f);
}

/* Guards against a transaction that stays open, or is committed, after its
   daemon was killed. */
static void
daemon_killed_in_a_transaction (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  CURL *curl = curl_easy_init ();
  REQUIRE (f != NULL);
  char *id = begin_transaction (f, 0, curl, f->key);
  run_in_transaction (f, 0, curl, f->key, id, "query",
                      "INSERT INTO bookings VALUES ('lost', 1)");
  process_signal (f->daemons[0], SIGKILL);
  REQUIRE (outcome_is (f, 1, "write", NULL, ",\"deadline_ms\":9000",
                       "INSERT INTO bookings VALUES ('kept', 1)", "ran"));
  CU_ASSERT_EQUAL (count_rows (f, 2, "lost"), 0);
  CU_ASSERT_EQUAL (count_rows (f, 2, "kept"), 1);
done:
  curl_easy_cleanup (curl);
  talloc_free (f);
}

/* Guards against a daemon that uses expired leases after a pause: the primary
   is replaced while the daemon is stopped. */
static void
daemon_paused_during_a_failover (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  process_signal (f->daemons[0], SIGSTOP);
  REQUIRE (fleet_inject_fault (f, 0, "cut=1"));
  REQUIRE (fleet_wait_primary (f, 1, 2, FAILOVER_BOUND_MS) > 0);
  REQUIRE (fleet_inject_fault (f, 0, "cut=0"));
  process_signal (f->daemons[0], SIGCONT);
  for (int i = 0; i < 20; i++)
    {
      char id[32], sql[128];
      snprintf (id, sizeof id, "p%d", i);
      snprintf (sql, sizeof sql, "INSERT INTO bookings VALUES ('%s', 1)", id);
      struct fleet_answer a
          = fleet_sql (f, 0, "write", NULL, ",\"deadline_ms\":3000", sql);
      bool ran = strcmp (fleet_answer_text (&a, "outcome"), "ran") == 0;
      bool refused
          = strcmp (fleet_answer_text (&a, "outcome"), "not_run") == 0;
      json_decref (a.json);
      long count = count_rows (f, 1, id);
      REQUIRE (!ran || count == 1);
      REQUIRE (!refused || count == 0);
    }
done:
  if (f != NULL)
    process_signal (f->daemons[0], SIGCONT);
  talloc_free (f);
}

/* Guards against an outage of the service during an outage of the platform,
   which is stopped for longer than the duration of any lease. */
static void
platform_stopped (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  process_signal (f->platform, SIGSTOP);
  int64_t end = fleet_now_ms () + 6000;
  for (int i = 0; fleet_now_ms () < end; i++)
    {
      REQUIRE (outcome_is (
          f, i % 3, "write", NULL, "",
          "INSERT INTO bookings VALUES (hex(randomblob(8)), 1)", "ran"));
      fleet_sleep_ms (50);
    }
done:
  if (f != NULL)
    process_signal (f->platform, SIGCONT);
  talloc_free (f);
}

/* Guards against two primaries, and a promotion without agreement: the primary
   is killed while the platform is stopped. */
static void
primary_killed_while_the_platform_is_stopped (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  process_signal (f->platform, SIGSTOP);
  process_signal (f->endpoints[0], SIGKILL);
  CU_ASSERT_EQUAL (fleet_wait_primary (f, 0, 2, 4000), -1);
  REQUIRE (outcome_is (f, 1, "read", NULL, ",\"freshness\":\"any\"",
                       "SELECT count(*) FROM bookings", "ran"));
  process_signal (f->platform, SIGCONT);
  REQUIRE (fleet_wait_primary (f, 0, 2, FAILOVER_BOUND_MS) > 0);
done:
  if (f != NULL)
    process_signal (f->platform, SIGCONT);
  talloc_free (f);
}

/* Guards against a revoked key that still works on an open connection. */
static void
key_revoked_on_an_open_connection (void)
{
  static const char body[] = "{\"service\":\"lending\",\"mode\":\"read\","
                             "\"statements\":[{\"sql\":\"SELECT 1\"}]}";
  struct fleet *f = fleet_start (NULL, &three_daemons);
  CURL *curl = curl_easy_init ();
  REQUIRE (f != NULL);
  struct fleet_answer a
      = fleet_post (f, 0, curl, "/v1/query", f->key, NULL, body);
  json_decref (a.json);
  REQUIRE (a.status == 200);
  REQUIRE (fleet_put_keys (f, true));
  int64_t revoked = fleet_now_ms ();
  do
    {
      a = fleet_post (f, 0, curl, "/v1/query", f->key, NULL, body);
      json_decref (a.json);
    }
  while (a.status == 200 && fleet_now_ms () - revoked < 2 * CONFIG_BOUND_MS);
  CU_ASSERT_EQUAL (a.status, 401);
  CU_ASSERT (fleet_now_ms () - revoked <= CONFIG_BOUND_MS);
  for (int i = 0; i < 3; i++)
    {
      a = fleet_post (f, i, NULL, "/v1/query", f->other_key, NULL, body);
      json_decref (a.json);
      CU_ASSERT_EQUAL (a.status, 200);
    }
done:
  curl_easy_cleanup (curl);
  talloc_free (f);
}

/* Guards against callers without a valid key that are told what is wrong with
   their body. */
static void
unknown_callers_learn_nothing_of_the_body (void)
{
  static const char *const paths[] = { "/v1/query", "/v1/transactions" };
  static const char *const bodies[]
      = { "{", "{\"service\":7}", "{\"service\":\"lending\",\"mode\":1}" };
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  REQUIRE (f != NULL);
  for (int p = 0; p < 2; p++)
    for (int b = 0; b < 2 + (p == 0); b++)
      for (int k = 0; k < 3; k++)
        {
          const char *key = k == 0 ? NULL : k == 1 ? "azw_unknown" : f->key;
          struct fleet_answer a
              = fleet_post (f, 0, NULL, paths[p], key, NULL, bodies[b]);
          CU_ASSERT_EQUAL (a.status, k == 2 ? 400 : 401);
          CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"),
                                  "not_run");
          json_decref (a.json);
        }
done:
  talloc_free (f);
}

/* Guards against a request that runs for an organisation without access to the
   service, and a session token that another organisation can use. */
static void
other_organisations_are_refused (void)
{
  static const char body[] = "{\"service\":\"lending\",\"mode\":\"read\","
                             "\"statements\":[{\"sql\":\"SELECT 1\"}]}";
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  REQUIRE (f != NULL);
  struct fleet_answer a = fleet_post (f, 0, NULL, "/v1/query",
                                      f->key_without_service, NULL, body);
  CU_ASSERT_EQUAL (a.status, 403);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "not_run");
  json_decref (a.json);
  struct fleet_answer mine = fleet_sql (
      f, 0, "write", NULL, "", "INSERT INTO bookings VALUES ('mine', 1)");
  a = fleet_post (f, 0, NULL, "/v1/query", f->other_key,
                  fleet_answer_text (&mine, "session"), body);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), "invalid_session");
  json_decref (a.json);
  json_decref (mine.json);
done:
  talloc_free (f);
}

/* Guards against a request that runs for a revoked key because it was queued
   when the key was revoked: no endpoint answers at that time. */
static void
queued_request_of_a_revoked_key_is_refused (void)
{
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  pid_t child = -1;
  int status = 0;
  char *key = NULL;
  REQUIRE (f != NULL);
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    REQUIRE (fleet_inject_fault (f, i, "cut=1"));
  fleet_sleep_ms (1500);
  child = fork ();
  if (child == 0)
    {
      struct fleet_answer a
          = fleet_sql (f, 0, "write", NULL, ",\"deadline_ms\":15000",
                       "INSERT INTO bookings VALUES ('revoked', 1)");
      _exit (strcmp (fleet_answer_text (&a, "code"), "key_revoked") == 0 ? 0
                                                                         : 1);
    }
  fleet_sleep_ms (300);
  REQUIRE (fleet_put_keys (f, true));
  fleet_sleep_ms (500);
  for (int i = 0; i < FLEET_ENDPOINTS; i++)
    REQUIRE (fleet_inject_fault (f, i, "cut=0"));
  REQUIRE (waitpid (child, &status, 0) == child);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  key = f->key;
  f->key = f->other_key;
  CU_ASSERT_EQUAL (count_rows (f, 0, "revoked"), 0);
  f->key = key;
done:
  talloc_free (f);
}

/* Guards against a configuration that reaches a daemon later than
   CONFIG_BOUND_MS. */
static void
configuration_reaches_every_daemon (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_put_config (f, "deadline_ms = 7777", NULL));
  int64_t put = fleet_now_ms ();
  json_int_t version = 0;
  for (int i = 0; i < 3; i++)
    do
      {
        json_t *status = fleet_status (f, i);
        json_int_t seen
            = json_integer_value (json_object_get (status, "config_version"));
        json_decref (status);
        if (i == 0 || seen >= version)
          {
            version = seen > version ? seen : version;
            if (version > 2)
              break;
          }
      }
    while (fleet_now_ms () - put < 2 * CONFIG_BOUND_MS);
  CU_ASSERT (fleet_now_ms () - put <= CONFIG_BOUND_MS);
done:
  talloc_free (f);
}

/* Guards against a daemon that reverts to an older configuration: the platform
   restarts with an older state, and its versions start again. */
static void
configuration_never_reverts (void)
{
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  json_t *status = NULL;
  json_int_t before = 0, after = 0;
  REQUIRE (f != NULL);
  for (int i = 0; i < 3; i++)
    REQUIRE (fleet_put_config (f, "deadline_ms = 7777", NULL));
  fleet_sleep_ms (CONFIG_BOUND_MS);
  status = fleet_status (f, 0);
  before = json_integer_value (json_object_get (status, "config_version"));
  json_decref (status);
  char *address
      = talloc_asprintf (f, "127.0.0.1:%d", process_port (f->platform));
  const char *args[] = { "--listen", address, NULL };
  process_signal (f->platform, SIGKILL);
  REQUIRE (process_wait (f->platform, 5000) >= 0);
  f->platform = process_start (f, "standin-platform", args);
  REQUIRE (f->platform != NULL);
  REQUIRE (fleet_put_config (f, NULL, NULL));
  /* Longer than the longest pause between two attempts of the watch. */
  fleet_sleep_ms (6000);
  status = fleet_status (f, 0);
  after = json_integer_value (json_object_get (status, "config_version"));
  json_decref (status);
  CU_ASSERT (before > 1);
  CU_ASSERT_EQUAL (after, before);
done:
  talloc_free (f);
}

/* Guards against new reads at an endpoint that is marked as leaving. */
static void
leaving_endpoint_gets_no_new_reads (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (fleet_put_config (f, NULL, "leaving = true\n"));
  fleet_sleep_ms (CONFIG_BOUND_MS);
  for (int i = 0; i < 30; i++)
    {
      struct fleet_answer a = fleet_sql (f, i % 3, "read", NULL,
                                         ",\"freshness\":\"any\"", "SELECT 1");
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "served_by"), "replica");
      json_decref (a.json);
    }
done:
  talloc_free (f);
}

/* Guards against a primary that still accepts writes after it was marked as
   leaving, and a planned change that loses or refuses a write. */
static void
leaving_primary_is_replaced (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  REQUIRE (f != NULL);
  REQUIRE (outcome_is (f, 0, "write", NULL, "",
                       "INSERT INTO bookings VALUES ('before', 1)", "ran"));
  REQUIRE (fleet_put_config (f, NULL, "leaving = true\n"));
  int64_t end = fleet_now_ms () + FAILOVER_BOUND_MS;
  int primary = 0;
  /* fleet_wait_primary returns -1 while the change is in progress and no
     primary accepts writes. */
  for (int i = 0; primary <= 0 && fleet_now_ms () < end; i++)
    {
      REQUIRE (outcome_is (
          f, i % 3, "write", NULL, ",\"deadline_ms\":19000",
          "INSERT INTO bookings VALUES (hex(randomblob(8)), 1)", "ran"));
      primary = fleet_wait_primary (f, 0, 1, 1000);
    }
  printf ("[replaced after %d ms] ",
          (int)(fleet_now_ms () - end + FAILOVER_BOUND_MS));
  CU_ASSERT (primary > 0);
  CU_ASSERT_EQUAL (count_rows (f, 1, "before"), 1);
  /* The previous primary is a replica now; a read there would take
     1500 ms. */
  REQUIRE (fleet_inject_fault (f, 0, "statement_delay_ms=1500"));
  for (int i = 0; i < 30; i++)
    {
      int64_t sent = fleet_now_ms ();
      REQUIRE (outcome_is (f, i % 3, "read", NULL, ",\"freshness\":\"any\"",
                           "SELECT 1", "ran"));
      REQUIRE (fleet_now_ms () - sent < 1000);
    }
done:
  talloc_free (f);
}

/* Guards against an organisation that exceeds its rate and burst by using
   several daemons: requests go to three daemons in turn, as fast as they
   answer. */
static void
rate_holds_over_all_daemons (void)
{
  enum
  {
    RATE = 30,
    BURST = 30
  };
  struct fleet *f = fleet_start (
      NULL, &(struct fleet_options){ 3, "rate = 30\nburst = 30" });
  REQUIRE (f != NULL);
  int64_t started = fleet_now_ms ();
  int ran = 0, sent = 0;
  for (; fleet_now_ms () - started < 4000; sent++)
    {
      struct fleet_answer a = fleet_sql (f, sent % 3, "read", NULL,
                                         ",\"freshness\":\"any\"", "SELECT 1");
      ran += strcmp (fleet_answer_text (&a, "outcome"), "ran") == 0;
      json_decref (a.json);
    }
  double seconds = (double)(fleet_now_ms () - started) / 1000;
  CU_ASSERT (ran <= RATE * seconds + BURST);
  CU_ASSERT (sent > ran);
  CU_ASSERT (ran > BURST);
done:
  talloc_free (f);
}

/* Guards against an unanswered request and a crash of the daemon when a newer
   configuration replaces the group that the request waits for: a transaction
   is opened while there is no primary. */
static void
waiting_request_outlives_its_group (void)
{
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  pid_t child = -1;
  int status = 0;
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 0, "cut=1"));
  REQUIRE (fleet_inject_fault (f, 1, "cut=1"));
  REQUIRE (fleet_inject_fault (f, 2, "cut=1"));
  fleet_sleep_ms (1500);
  child = fork ();
  if (child == 0)
    {
      struct fleet_answer a
          = fleet_post (f, 0, NULL, "/v1/transactions", f->key, NULL,
                        "{\"service\":\"lending\"}");
      _exit (strcmp (fleet_answer_text (&a, "outcome"), "not_run") == 0 ? 0
                                                                        : 1);
    }
  fleet_sleep_ms (500);
  REQUIRE (fleet_put_config (f, "lease_ms = 1100", NULL));
  fleet_sleep_ms (1000);
  REQUIRE (fleet_put_config (f, "lease_ms = 1200", NULL));
  REQUIRE (waitpid (child, &status, 0) == child);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CU_ASSERT_EQUAL (process_wait (f->daemons[0], 0), -1);
done:
  talloc_free (f);
}

/* Guards against a caller that waits for its whole deadline although the queue
   shows at once that the deadline cannot be met: there is one connection for
   writes, each write takes half a second, and the daemon has measured that
   with ten of them. */
static void
hopeless_request_is_refused_early (void)
{
  static const char insert[]
      = "INSERT INTO bookings VALUES (hex(randomblob(8)), 1)";
  struct fleet *f
      = fleet_start (NULL, &(struct fleet_options){ 1, "connections = 3" });
  pid_t child = -1;
  REQUIRE (f != NULL);
  REQUIRE (fleet_inject_fault (f, 0, "statement_delay_ms=100"));
  for (int i = 0; i < 10; i++)
    REQUIRE (outcome_is (f, 0, "write", NULL, ",\"deadline_ms\":9000", insert,
                         "ran"));
  child = fork ();
  if (child == 0)
    _exit (outcome_is (f, 0, "write", NULL, ",\"deadline_ms\":9000", insert,
                       "ran")
               ? 0
               : 1);
  fleet_sleep_ms (50);
  int64_t sent = fleet_now_ms ();
  struct fleet_answer a
      = fleet_sql (f, 0, "write", NULL, ",\"deadline_ms\":250", insert);
  CU_ASSERT (fleet_now_ms () - sent < 150);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), "deadline");
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "not_run");
  json_decref (a.json);
done:
  if (child > 0)
    {
      int status = 0;
      CU_ASSERT_EQUAL (waitpid (child, &status, 0), child);
      CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
    }
  talloc_free (f);
}

/* Guards against a row limit without effect, and against the outcome not_run
   for a statement that ran but whose answer is too long. */
static void
too_many_rows_are_refused (void)
{
  static const char ten[] = "WITH RECURSIVE n (i) AS (SELECT 1 UNION ALL "
                            "SELECT i + 1 FROM n WHERE i < 10) SELECT i "
                            "FROM n";
  struct fleet *f
      = fleet_start (NULL, &(struct fleet_options){ 1, "max_rows = 9" });
  REQUIRE (f != NULL);
  struct fleet_answer a = fleet_sql (f, 0, "read", NULL, "", ten);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), "too_many_rows");
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "ran");
  json_decref (a.json);
done:
  talloc_free (f);
}

/* Guards against a text of another program, here a name of the configuration,
   that adds fields to the log. */
static void
errors_forge_no_log_field (void)
{
  char log[16384];
  int own_stderr = dup (STDERR_FILENO);
  FILE *file = tmpfile ();
  CU_ASSERT_FATAL (own_stderr >= 0 && file != NULL);
  /* The daemon inherits the file. */
  dup2 (fileno (file), STDERR_FILENO);
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  dup2 (own_stderr, STDERR_FILENO);
  close (own_stderr);
  REQUIRE (f != NULL);
  fleet_put_config (f, "\"x\\\" version=\\\"9\" = 1", NULL);
  const char *line = NULL;
  int64_t end = fleet_now_ms () + CONFIG_BOUND_MS;
  while (line == NULL && fleet_now_ms () < end)
    {
      fleet_sleep_ms (20);
      ssize_t len = pread (fileno (file), log, sizeof log - 1, 0);
      log[len > 0 ? len : 0] = '\0';
      line = strstr (log, "configuration refused version=");
    }
  REQUIRE (line != NULL);
  CU_ASSERT_PTR_NULL (strstr (line, "x\" version="));
  CU_ASSERT_PTR_NOT_NULL (strstr (line, "x\\\" version="));
done:
  talloc_free (f);
  fclose (file);
}

/* Guards against an empty answer, and one without some columns, when a server
   sends text that is not UTF-8 (an SQL_ASCII database). */
static void
text_that_is_not_utf8_is_an_error (void)
{
  static const char select[] = "SELECT CAST(x'63C3' AS text) AS n";
  static const char body[]
      = "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
        "\"SELECT CAST(x'63C3' AS text) AS n\"}]}";
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  CURL *curl = curl_easy_init ();
  REQUIRE (f != NULL);
  for (int i = 0; i < 3; i++)
    {
      struct fleet_answer a;
      if (i < 2)
        a = fleet_sql (f, 0, i == 0 ? "read" : "write", NULL, "", select);
      else
        {
          a = fleet_post (f, 0, curl, "/v1/transactions", f->key, NULL,
                          "{\"service\":\"lending\"}");
          char *path = talloc_asprintf (f, "/v1/transactions/%s/query",
                                        fleet_answer_text (&a, "transaction"));
          json_decref (a.json);
          a = fleet_post (f, 0, curl, path, f->key, NULL, body);
        }
      CU_ASSERT_EQUAL (a.status, 422);
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), "not_utf8");
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "ran");
      json_decref (a.json);
    }
done:
  curl_easy_cleanup (curl);
  talloc_free (f);
}

/* Guards against an answer to another request with the same key, whose texts
   follow one another in the same order, and against a key of an earlier
   version that is taken for another request's. */
static void
key_tells_similar_requests_apart (void)
{
  static const struct
  {
    const char *key, *statements, *code;
  } requests[] = {
    { "a", "{\"sql\":\"SELECT $1\",\"params\":[null]}", "" },
    { "a", "{\"sql\":\"SELECT $1\",\"params\":[\"\\u0001\"]}",
      "idempotency_key_reused" },
    { "a", "{\"sql\":\"SELECT $1\",\"params\":[null]}", "" },
    { "b", "{\"sql\":\"SELECT $1\",\"params\":[\"SELECT 1\"]}", "" },
    { "b", "{\"sql\":\"SELECT $1\"},{\"sql\":\"SELECT 1\"}",
      "idempotency_key_reused" },
    { "b", "{\"sql\":\"SELECT $1\",\"params\":[\"SELECT 1\"]}", "" },
    /* The row of a key as an earlier version wrote it for "SELECT 1". */
    { "c",
      "{\"sql\":\"INSERT INTO azurewind_requests (organisation, key, digest, "
      "state) VALUES ('moshi', 'd', $1, "
      "'ran')\",\"params\":[\"8a5f1a85c860ebf866f7"
      "607893f0d4408d71ec5e803ef7b7c4d0f7b430d6f9ac\"]}",
      "" },
    { "d", "{\"sql\":\"SELECT 1\"}", "" },
    { "d", "{\"sql\":\"SELECT 2\"}", "idempotency_key_reused" },
  };
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  REQUIRE (f != NULL);
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    {
      char *body = talloc_asprintf (
          f,
          "{\"service\":\"lending\",\"mode\":\"write\",\"idempotency_key\":"
          "\"%s\",\"statements\":[%s]}",
          requests[i].key, requests[i].statements);
      struct fleet_answer a
          = fleet_post (f, 0, NULL, "/v1/query", f->key, NULL, body);
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"),
                              requests[i].code);
      json_decref (a.json);
    }
done:
  talloc_free (f);
}

/* Guards against a lookup that reads and bars another key, the one before an
   encoded NUL, and one that asks until its deadline for a key that no server
   accepts. */
static void
lookup_of_a_key_that_is_no_text_is_refused (void)
{
  static const char *const paths[] = { "/v1/requests/k%00x?service=lending",
                                       "/v1/requests/k%FF?service=lending",
                                       "/v1/requests/%00?service=lending" };
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  REQUIRE (f != NULL);
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    {
      struct fleet_answer a = fleet_get (f, 0, paths[i], f->key);
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"),
                              "invalid_request");
      json_decref (a.json);
    }
  REQUIRE (outcome_is (f, 0, "write", NULL, ",\"idempotency_key\":\"k\"",
                       "INSERT INTO bookings VALUES ('k', 1)", "ran"));
done:
  talloc_free (f);
}

/* Guards against a planned stop that aborts an open transaction. */
static void
graceful_shutdown_cuts_nothing (void)
{
  struct fleet *f = fleet_start (NULL, &three_daemons);
  CURL *curl = curl_easy_init ();
  REQUIRE (f != NULL);
  char *id = begin_transaction (f, 0, curl, f->key);
  REQUIRE (id[0] != '\0');
  run_in_transaction (f, 0, curl, f->key, id, "query",
                      "INSERT INTO bookings VALUES ('drain', 1)");
  process_signal (f->daemons[0], SIGTERM);
  CU_ASSERT_EQUAL (process_wait (f->daemons[0], 1500), -1);
  CU_ASSERT_STRING_EQUAL (
      run_in_transaction (f, 0, curl, f->key, id, "commit", "SELECT 1"),
      "ran ");
  CU_ASSERT_EQUAL (process_wait (f->daemons[0], 10000), 0);
  CU_ASSERT_EQUAL (count_rows (f, 1, "drain"), 1);
done:
  curl_easy_cleanup (curl);
  talloc_free (f);
}

/** A malformed request body and the answer that it must get. */
struct bad_input
{
  const char *body;
  long status;
  const char *code;
};

/* Guards against malformed input that crashes the daemon, gets an answer other
   than the one expected error, or changes data. */
static void
bad_input_gets_one_clear_error (void)
{
  static const struct bad_input inputs[] = {
    { "", 400, "invalid_request" },
    { "{", 400, "invalid_request" },
    { "[]", 400, "invalid_request" },
    { "{\"service\":1}", 400, "invalid_request" },
    { "{\"service\":\"lending\",\"service\":\"x\"}", 400, "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"read\",\"statements\":[]}", 400,
      "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"maybe\",\"statements\":[{\"sql\":"
      "\"SELECT 1\"}]}",
      400, "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"read\",\"statement\":[{\"sql\":"
      "\"SELECT 1\"}]}",
      400, "invalid_request" },
    { "{\"service\":\"none\",\"mode\":\"read\",\"statements\":[{\"sql\":"
      "\"SELECT 1\"}]}",
      404, "unknown_service" },
    { "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
      "\" /* x */ commit\"}]}",
      400, "forbidden_statement" },
    { "{\"service\":\"lending\",\"mode\":\"write\",\"deadline_ms\":0,"
      "\"statements\":[{\"sql\":\"SELECT 1\"}]}",
      400, "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
      "\"SELECT $1\",\"params\":[{}]}]}",
      400, "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"read\",\"freshness\":\"bounded:x\","
      "\"statements\":[{\"sql\":\"SELECT 1\"}]}",
      400, "invalid_request" },
    { "{\"service\":\"lending\",\"mode\":\"write\",\"statements\":[{\"sql\":"
      "\"SELEKT\"}]}",
      422, "statement_failed" },
  };
  struct fleet *f = fleet_start (NULL, &(struct fleet_options){ 1, NULL });
  REQUIRE (f != NULL);
  for (size_t i = 0; i < sizeof inputs / sizeof inputs[0]; i++)
    {
      struct fleet_answer a
          = fleet_post (f, 0, NULL, "/v1/query", f->key, NULL, inputs[i].body);
      CU_ASSERT_EQUAL (a.status, inputs[i].status);
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), inputs[i].code);
      CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "not_run");
      json_decref (a.json);
    }
  struct fleet_answer a = fleet_sql (f, 0, "read", "forged", "", "SELECT 1");
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "code"), "invalid_session");
  json_decref (a.json);
  a = fleet_post (f, 0, NULL, "/v1/query", "azw_bad", NULL, inputs[12].body);
  CU_ASSERT_STRING_EQUAL (fleet_answer_text (&a, "outcome"), "not_run");
  json_decref (a.json);
  CU_ASSERT_EQUAL (count_rows (f, 0, "none"), 0);
done:
  talloc_free (f);
}

static const struct test_case cases[] = {
  { "reads_its_own_write_through_any_daemon",
    reads_its_own_write_through_any_daemon },
  { "primary_killed", primary_killed },
  { "primary_cut_off_and_back", primary_cut_off_and_back },
  { "slow_primary_is_kept", slow_primary_is_kept },
  { "lost_commit_answer_with_key", lost_commit_answer_with_key },
  { "lost_commit_answer_without_key", lost_commit_answer_without_key },
  { "transaction_belongs_to_key_and_connection",
    transaction_belongs_to_key_and_connection },
  { "daemon_killed_in_a_transaction", daemon_killed_in_a_transaction },
  { "daemon_paused_during_a_failover", daemon_paused_during_a_failover },
  { "platform_stopped", platform_stopped },
  { "primary_killed_while_the_platform_is_stopped",
    primary_killed_while_the_platform_is_stopped },
  { "key_revoked_on_an_open_connection", key_revoked_on_an_open_connection },
  { "unknown_callers_learn_nothing_of_the_body",
    unknown_callers_learn_nothing_of_the_body },
  { "other_organisations_are_refused", other_organisations_are_refused },
  { "queued_request_of_a_revoked_key_is_refused",
    queued_request_of_a_revoked_key_is_refused },
  { "configuration_reaches_every_daemon", configuration_reaches_every_daemon },
  { "leaving_endpoint_gets_no_new_reads", leaving_endpoint_gets_no_new_reads },
  { "leaving_primary_is_replaced", leaving_primary_is_replaced },
  { "waiting_request_outlives_its_group", waiting_request_outlives_its_group },
  { "hopeless_request_is_refused_early", hopeless_request_is_refused_early },
  { "rate_holds_over_all_daemons", rate_holds_over_all_daemons },
  { "configuration_never_reverts", configuration_never_reverts },
  { "too_many_rows_are_refused", too_many_rows_are_refused },
  { "key_tells_similar_requests_apart", key_tells_similar_requests_apart },
  { "errors_forge_no_log_field", errors_forge_no_log_field },
  { "text_that_is_not_utf8_is_an_error", text_that_is_not_utf8_is_an_error },
  { "lookup_of_a_key_that_is_no_text_is_refused",
    lookup_of_a_key_that_is_no_text_is_refused },
  { "graceful_shutdown_cuts_nothing", graceful_shutdown_cuts_nothing },
  { "bad_input_gets_one_clear_error", bad_input_gets_one_clear_error },
  { NULL, NULL },
};
TEST_SUITE (fleet, cases)
