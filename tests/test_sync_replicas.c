/** Tests of session daemons as processes: promotions of services whose commits
 * are acknowledged once a replica has received them. */
#include "tests/site_fleet.h"
#include "tests/tests.h"

#include <signal.h>
#include <unistd.h>

#define SERVE_MS 10000
#define WRITES 5
/* Longer than a probe of an endpoint may take otherwise. */
#define SLOW_STATUS "slow 700 STATUS"
/* The longest wait for an endpoint that has left, with the time to notice that
   and the promotion itself. */
#define GIVE_UP_MS 30000

/** A service of which one replica has not received the newest commits. */
struct fixture
{
  struct sessiond_site *site;
  int owner;
  struct line_answer
      writes[WRITES]; /**< Acknowledged; at db-1-a and db-1-c. */
};

static void
set_up (struct fixture *f)
{
  f->site = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .sync_replicas = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->site);
  sessiond_site_most_owned (f->site, &f->owner);
  CU_ASSERT_FATAL (f->owner >= 0);
  CU_ASSERT_TRUE (sessiond_site_fault (f->site, "db-1-b", "deaf"));
  struct line_caller *c
      = line_open (f->site, sessiond_site_port (f->site, (f->owner + 1) % 3));
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_TRUE_FATAL (line_start (c, "main1", "key-a1", &a));
  for (int i = 0; i < WRITES; i++)
    CU_ASSERT_TRUE (line_query (c, &f->writes[i], "WRITE one x"));
  talloc_free (c);
  /* Replication takes 5 ms. */
  usleep (100000);
}

static void
lose_primary (bool with_owner)
{
  struct fixture f;
  set_up (&f);
  CU_ASSERT_TRUE (sessiond_site_fault (f.site, "db-1-c", SLOW_STATUS));
  CU_ASSERT_TRUE (sessiond_site_fault (f.site, "db-1-a", "kill"));
  if (with_owner)
    process_signal (f.site->daemons[f.owner], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_wait (f.site, (f.owner + 1) % 3, 1, SERVE_MS));
  for (int i = 0; i < WRITES; i++)
    CU_ASSERT_EQUAL (sessiond_site_committed (f.site, f.writes[i].id), 1);
  talloc_free (f.site);
}

/* Guards against acknowledged commits that a promotion loses: the only replica
   that has them is slow, the other one answers at once. */
static void
slow_replica_keeps_acknowledged_commits (void)
{
  lose_primary (false);
}

/* The same for a new owner, which does not know what was acknowledged. */
static void
new_owner_keeps_acknowledged_commits (void)
{
  lose_primary (true);
}

static void
remove_entry (struct sessiond_site *s, const char *database)
{
  char *url = talloc_asprintf (s, "http://127.0.0.1:%d/v1/objects/servers/%s",
                               process_port (s->platform), database);
  CU_ASSERT_TRUE (sessiond_site_fault (s, database, "kill"));
  CU_ASSERT_EQUAL (process_http (s, "DELETE", url, NULL, NULL), 200);
}

/* Guards against a service that waits for ever for a replica that has left
   with its commits, and against one that does not wait for its restart. */
static void
lost_commits_are_given_up (void)
{
  struct fixture f;
  set_up (&f);
  remove_entry (f.site, "db-1-c");
  remove_entry (f.site, "db-1-a");
  CU_ASSERT_FALSE (sessiond_site_wait (f.site, f.owner, 1, SERVE_MS));
  CU_ASSERT_TRUE (
      sessiond_site_wait (f.site, f.owner, 1, GIVE_UP_MS - SERVE_MS));
  talloc_free (f.site);
}

static const struct test_case cases[] = {
  { "slow_replica_keeps_acknowledged_commits",
    slow_replica_keeps_acknowledged_commits },
  { "new_owner_keeps_acknowledged_commits",
    new_owner_keeps_acknowledged_commits },
  { "lost_commits_are_given_up", lost_commits_are_given_up },
  { NULL, NULL },
};

TEST_SUITE (sync_replicas, cases)
