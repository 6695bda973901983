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
#define QUIET_MS 3000

/* @return the store's revision. */
static json_int_t
store_revision_of (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s);
  json_int_t revision
      = json_integer_value (json_object_get (observed, "revision"));
  json_decref (observed);
  return revision;
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

static const struct test_case cases[] = {
  { "configuration_after_a_restore_is_in_force",
    configuration_after_a_restore_is_in_force },
  { "reused_revision_hides_no_configuration",
    reused_revision_hides_no_configuration },
  { NULL, NULL },
};

TEST_SUITE (restored, cases)
