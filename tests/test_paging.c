/** Tests of session daemons as processes that read a collection of the
 * platform's store in two pages, while it changes between the two answers. */
#include "tests/relay_site.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Objects that fill up the first page together with those of the test, whose
   names come first. */
#define OTHER_OBJECTS 500
/* Time within which a change is in force (config-apply-ms), and after which no
   statement reaches a database that drains or is gone (drain_ms). */
#define APPLY_MS 3000
#define DRAIN_MS 3000
/* Time within which a write must succeed after a start. */
#define SERVE_MS 8000
/* Time for which the second page is held back while copies arrive. */
#define HOLD_MS 1000
/* Services of which some are read by another daemon than their owner, and
   reads that show it. */
#define SERVICES 6
#define READS 20
/* Time in which a new reader learns positions that are old enough
   for the bound of the route. */
#define HISTORY_MS 2500
/* Time in which a new owner accepts a primary, if it does so without the
   answers of all databases; shorter than until it orders a promotion. */
#define SURVEY_MS 250
/* Time within which a lost list of voters is written again. */
#define LIST_MS 10000

/* Start daemons beside so many objects of @p kind that their list has two
   pages. */
static struct sessiond_site *
start_with_two_pages (const char *kind, int daemons, int services)
{
  char url[100], body[300];
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = daemons,
                                             .services = services });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/%s",
            process_port (s->platform), kind);
  for (int i = 0; i < OTHER_OBJECTS; i++)
    {
      snprintf (body, sizeof body,
                "{\"meta\":{\"name\":\"z-%03d\"},\"spec\":{\"service\":"
                "\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
                "\"slots\":1,\"state\":\"ready\",\"db-role\":\"replica\","
                "\"born\":1}}",
                i);
      CU_ASSERT_EQUAL_FATAL (process_http (s, "POST", url, body, NULL), 200);
    }
  return s;
}

/* Kill a daemon and start it again.
   @param page_changes what the stand-in does after it has answered with the
   first page of a list and before the second one, see standins/site_store.c;
   takes over the reference. */
static void
restart_with_changes (struct sessiond_site *s, int daemon,
                      json_t *page_changes)
{
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  bool due = true;
  CU_ASSERT_PTR_NOT_NULL_FATAL (page_changes);
  CU_ASSERT_TRUE_FATAL (sessiond_site_control (
      s, json_pack ("{s:o}", "page_changes", page_changes)));
  process_signal (s->daemons[daemon], SIGKILL);
  CU_ASSERT_TRUE_FATAL (sessiond_site_start_daemon (s, daemon));
  while (due && sessiond_site_now_ms () < end)
    {
      json_t *observed = sessiond_site_observed (s);
      due = json_is_true (json_object_get (observed, "page_changes_due"));
      json_decref (observed);
      usleep (5000);
    }
  CU_ASSERT_FALSE_FATAL (due);
}

/* As restart_with_changes, for the first daemon.
   @param changes bodies of calls to the stand-in; takes over the reference. */
static void
restart_between_pages (struct sessiond_site *s, const char *kind,
                       json_t *changes)
{
  restart_with_changes (
      s, 0, json_pack ("{s:s, s:o}", "kind", kind, "changes", changes));
}

/* @return a replica of service 1 that serves reads. */
static const char *
find_read_replica (struct sessiond_site *s)
{
  return sessiond_site_reads_at (s, "db-1-b", 500) > 0 ? "db-1-b" : "db-1-c";
}

/* Restart the daemon, and check that it sends nothing to the replica any more
   from drain_ms after the change on. */
static void
assert_replica_is_left (struct sessiond_site *s, const char *replica,
                        json_t *changes)
{
  restart_between_pages (s, "servers", changes);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  usleep (DRAIN_MS * 1000);
  CU_ASSERT_EQUAL (sessiond_site_reads_at (s, replica, 1000), 0);
}

/* Guards against statements at a draining database: it reported so after the
   page with its entry was read and before the last page was. */
static void
draining_between_pages_is_learned (void)
{
  struct sessiond_site *s = start_with_two_pages ("servers", 1, 1);
  const char *replica = find_read_replica (s);
  assert_replica_is_left (
      s, replica,
      json_pack ("[{s:s, s:s}]", "database", replica, "fault", "drain"));
  talloc_free (s);
}

/* Send reads of a service to a daemon.
   @return the number of those that ran at a replica. */
static int
read_replicas (struct sessiond_site *s, int daemon, int service)
{
  char database[16], primary[16];
  struct line_answer a;
  int count = 0;
  snprintf (database, sizeof database, "browse%d", service);
  snprintf (primary, sizeof primary, "db-%d-a", service);
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  CU_ASSERT_FATAL (c != NULL && line_start (c, database, "key-a1", &a));
  for (int i = 0; i < READS; i++)
    {
      CU_ASSERT_TRUE (line_query (c, &a, "READ item"));
      json_t *observed = sessiond_site_observed (s);
      const json_t *run = sessiond_site_run (observed, a.id);
      count
          += run != NULL
             && strcmp (json_string_value (json_object_get (run, "database")),
                        primary)
                    != 0;
      json_decref (observed);
    }
  talloc_free (c);
  return count;
}

/* @return how many reads the daemon has run for services of other owners. */
static int
count_reader_runs (struct sessiond_site *s, int daemon)
{
  static const char name[] = "\nazurewind_reader_statements_total{ran=\"1\"} ";
  char *metrics = sessiond_site_metrics (s, daemon);
  const char *at = metrics != NULL ? strstr (metrics, name) : NULL;
  int count = at != NULL ? atoi (at + strlen (name)) : 0;
  talloc_free (metrics);
  return count;
}

/* Send reads of each service to the first daemon.
   @return a daemon that runs those of @p service, which it does not own; -1 if
   there is none. */
static int
look_for_reader (struct sessiond_site *s, int services, int *service)
{
  for (*service = 1; *service <= services; (*service)++)
    {
      int before[SITE_MAX_DAEMONS] = { 0 };
      for (int i = 0; i < s->daemon_count; i++)
        before[i] = count_reader_runs (s, i);
      read_replicas (s, 0, *service);
      for (int i = 0; i < s->daemon_count; i++)
        if (count_reader_runs (s, i) >= before[i] + READS / 2)
          return i;
    }
  return -1;
}

/* Find a service whose reads another daemon than its owner runs.  There may be
   none at first, as services move while the load of the daemons is balanced.
   @return that daemon, -1 if there is none in time. */
static int
find_reader (struct sessiond_site *s, int services, int *service)
{
  int reader;
  /* A reader exists from the first read on. */
  for (int i = 1; i <= services; i++)
    read_replicas (s, 0, i);
  usleep (HISTORY_MS * 1000);
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  do
    reader = look_for_reader (s, services, service);
  while (reader < 0 && sessiond_site_now_ms () < end);
  return reader;
}

/* Guards against a copy from another daemon that is replaced by a list whose
   first page is older: the other daemon has the revision of the last page too,
   so it sends no copy again.  Both replicas are removed before the second
   page, and the store's revision grows once more after the copy. */
static void
older_page_replaces_no_newer_copy (void)
{
  int service;
  char names[2][16];
  struct sessiond_site *s = start_with_two_pages ("servers", 3, SERVICES);
  int reader = find_reader (s, SERVICES, &service);
  CU_ASSERT_FATAL (reader >= 0);
  for (int i = 0; i < 2; i++)
    snprintf (names[i], sizeof names[i], "db-%d-%c", service, 'b' + i);
  restart_with_changes (
      s, reader,
      json_pack (
          "{s:s, s:[{s:{s:s, s:s}}, {s:{s:s, s:s}}], s:i, s:{s:{s:s, s:s, "
          "s:s}}}",
          "kind", "servers", "changes", "remove", "kind", "servers", "name",
          names[0], "remove", "kind", "servers", "name", names[1], "hold_ms",
          HOLD_MS, "last_change", "raw", "kind", "servers", "name", "z-000",
          "spec", "{}"));
  usleep (HOLD_MS * 3 / 2 * 1000);
  CU_ASSERT_TRUE (sessiond_site_wait (s, reader, service, SERVE_MS));
  CU_ASSERT_EQUAL (read_replicas (s, reader, service), 0);
  /* Until it knows old positions, the reader runs nothing, whatever copy it
     has. */
  usleep (HISTORY_MS * 1000);
  CU_ASSERT_EQUAL (read_replicas (s, reader, service), 0);
  char *log = bstr_to_text (s, process_output (s->daemons[reader]));
  CU_ASSERT_PTR_NOT_NULL (strstr (log, "event=copy_adopted kind=servers"));
  talloc_free (s);
}

/* Guards against statements at a database whose entry was removed between two
   pages, and which still answers. */
static void
removal_between_pages_is_learned (void)
{
  struct sessiond_site *s = start_with_two_pages ("servers", 1, 1);
  const char *replica = find_read_replica (s);
  assert_replica_is_left (s, replica,
                          json_pack ("[{s:{s:s, s:s}}]", "remove", "kind",
                                     "servers", "name", replica));
  talloc_free (s);
}

/* Wait until the daemon owns service 1 and has looked for its primary. */
static void
wait_for_takeover (struct sessiond_site *s)
{
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  bool owned = false;
  while (!owned && sessiond_site_now_ms () < end)
    {
      char *metrics = sessiond_site_metrics (s, 0);
      owned = metrics != NULL
              && strstr (metrics, "\nazurewind_owned_services 1") != NULL;
      talloc_free (metrics);
      usleep (5000);
    }
  CU_ASSERT_TRUE (owned);
  usleep (SURVEY_MS * 1000);
}

/* Guards against a replaced primary that gets writes, as the new one said
   between two pages that it leads and then answered nothing for a while: the
   writes are acknowledged and lost. */
static void
new_primary_between_pages_is_learned (void)
{
  struct sessiond_site *s = start_with_two_pages ("servers", 1, 1);
  struct line_answer a = { .state = 0 };
  int64_t end;
  bool written = false;
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "part"));
  restart_between_pages (s, "servers",
                         json_pack ("[{s:s, s:s}, {s:s, s:s}]", "database",
                                    "db-1-b", "fault", "lead", "database",
                                    "db-1-b", "fault", "silence"));
  wait_for_takeover (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "speak"));
  end = sessiond_site_now_ms () + SERVE_MS;
  while (!written && sessiond_site_now_ms () < end)
    {
      struct line_caller *c = line_open (s, sessiond_site_port (s, 0));
      written = c != NULL && line_start (c, "main1", "key-a1", &a)
                && line_query (c, &a, "WRITE one x");
      talloc_free (c);
      usleep (30000);
    }
  CU_ASSERT_TRUE (written);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  talloc_free (s);
}

/* Guards against a configuration that never takes effect, as it was written
   between two pages. */
static void
configuration_between_pages_is_learned (void)
{
  struct sessiond_site *s = start_with_two_pages ("config", 1, 1);
  json_t *routes = json_object_get (s->config, "routes");
  json_t *route = json_copy (json_array_get (routes, 0));
  json_t *version = json_object_get (s->config, "config-version");
  struct line_answer a;
  bool ready = false;
  json_object_set_new (route, "name", json_string ("between"));
  json_object_set_new (route, "host", json_string ("between"));
  json_array_append_new (routes, route);
  json_object_set_new (s->config, "config-version",
                       json_integer (json_integer_value (version) + 1));
  restart_between_pages (s, "config",
                         json_pack ("[{s:O}]", "config", s->config));
  int64_t end = sessiond_site_now_ms () + APPLY_MS;
  while (!ready && sessiond_site_now_ms () < end)
    {
      struct line_caller *c = line_open (s, sessiond_site_port (s, 0));
      ready = c != NULL && line_start (c, "between", "key-a1", &a);
      talloc_free (c);
      usleep (30000);
    }
  CU_ASSERT_TRUE (ready);
  talloc_free (s);
}

/* Guards against a list of voters that is lost between two pages and never
   written again. */
static void
lost_voter_list_between_pages_is_written_again (void)
{
  struct sessiond_site *s = start_with_two_pages ("azurewind-voters", 1, 1);
  char url[100];
  restart_between_pages (s, "azurewind-voters",
                         json_pack ("[{s:{s:s, s:s}}]", "remove", "kind",
                                    "azurewind-voters", "name", "main"));
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-voters/main",
            process_port (s->platform));
  int64_t end = sessiond_site_now_ms () + LIST_MS;
  long status = 0;
  while (status != 200 && sessiond_site_now_ms () < end)
    {
      status = process_http (s, "GET", url, NULL, NULL);
      usleep (30000);
    }
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  talloc_free (s);
}

/* Guards against a database that is lost, as the watch reports a change once
   more that is older than the page with the entry. */
static void
repeated_removal_removes_no_newer_entry (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  char url[100], body[60];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
            process_port (s->platform));
  /* The databases are on the second page. */
  for (int i = 0; i < OTHER_OBJECTS; i++)
    {
      snprintf (body, sizeof body,
                "{\"meta\":{\"name\":\"a-%03d\"},\"spec\":{}}", i);
      CU_ASSERT_EQUAL_FATAL (process_http (s, "POST", url, body, NULL), 200);
    }
  const char *replica = find_read_replica (s);
  restart_between_pages (s, "servers",
                         json_pack ("[{s:{s:s, s:s}}, {s:s, s:s}]", "remove",
                                    "kind", "servers", "name", replica,
                                    "database", replica, "fault", "join"));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  usleep (DRAIN_MS * 1000);
  CU_ASSERT_TRUE (sessiond_site_reads_at (s, replica, 1000) > 0);
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "draining_between_pages_is_learned", draining_between_pages_is_learned },
  { "older_page_replaces_no_newer_copy", older_page_replaces_no_newer_copy },
  { "removal_between_pages_is_learned", removal_between_pages_is_learned },
  { "new_primary_between_pages_is_learned",
    new_primary_between_pages_is_learned },
  { "configuration_between_pages_is_learned",
    configuration_between_pages_is_learned },
  { "lost_voter_list_between_pages_is_written_again",
    lost_voter_list_between_pages_is_written_again },
  { "repeated_removal_removes_no_newer_entry",
    repeated_removal_removes_no_newer_entry },
  { NULL, NULL },
};

TEST_SUITE (paging, cases)
