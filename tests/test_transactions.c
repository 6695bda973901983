/** Tests of session daemons as processes: the statements of a session's
 * transactions while the daemons' messages to each other are late or lost. */
#include "tests/site_fleet.h"
#include "tests/soak/proxy.h"
#include "tests/tests.h"

#include <stdio.h>
#include <unistd.h>

/* Time for which the owner receives nothing: a message that is held up for all
   of it is dropped by its age (600 ms), and the leases last longer. */
#define CUT_MS 700
/* Time after the beginning of the cut at which the first statement of the
   transaction is sent: it arrives in time. */
#define STATEMENT_MS 450
/* The routes of the test allow a statement 1500 ms. */
#define TIMEOUT_MS 1500
/* Time that the database needs for the write or COMMIT which is outstanding
   when the BEGIN times out at the entry daemon. */
#define SLOW_MS 1200

/** Several daemons, with proxies between them, and a session at a daemon that
 * does not own its service. */
struct fixture
{
  struct sessiond_site *site;
  struct proxy *proxy;
  struct line_caller *caller;
  int owner; /**< Daemon that owns the service. */
};

static void
set_up (struct fixture *f)
{
  struct line_answer a;
  f->site = sessiond_site_start (NULL,
                                 &(struct sessiond_site_options){
                                     .daemons = 3,
                                     .services = 1,
                                     .prepare = sessiond_site_add_bus_proxies,
                                     .data = &f->proxy });
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->site);
  sessiond_site_most_owned (f->site, &f->owner);
  CU_ASSERT_FATAL (f->owner >= 0);
  f->caller
      = line_open (f->site, sessiond_site_port (f->site, (f->owner + 1) % 3));
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->caller);
  CU_ASSERT_TRUE_FATAL (line_start (f->caller, "main1", "key-a1", &a));
}

/* Begin a transaction whose BEGIN the owner drops, and roll it back once its
   first statement is refused.
   @return the time of the BEGIN. */
static int64_t
lose_begin (struct fixture *f)
{
  struct line_answer a;
  proxy_set_fault (f->proxy, f->owner, PROXY_CUT_FORWARD, 0);
  int64_t begun = sessiond_site_now_ms ();
  CU_ASSERT_TRUE (line_query (f->caller, &a, "BEGIN"));
  usleep (STATEMENT_MS * 1000);
  CU_ASSERT_TRUE (
      line_send (f->caller, "QUERY 0000000a00000001 WRITE one x\r\n"));
  usleep ((CUT_MS - STATEMENT_MS) * 1000);
  proxy_set_fault (f->proxy, f->owner, PROXY_PASS, 0);
  CU_ASSERT_EQUAL (line_count_answers (f->caller, 1), 1);
  CU_ASSERT_TRUE (sessiond_site_now_ms () - begun < TIMEOUT_MS);
  CU_ASSERT_TRUE (line_query (f->caller, &a, "ROLLBACK"));
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_EQUAL (sessiond_site_committed (f->site, "0000000a00000001"), 0);
  return begun;
}

/* Guards against a write or a COMMIT that is answered with ABORTED and is
   committed: while it runs, the BEGIN of an earlier transaction of the session
   times out, which the owner has dropped by its age. */
static void
lost_begin_fails_no_later_statement (void)
{
  static const char *const slow[] = { "slow 1200 WRITE", "slow 1200 COMMIT" };
  struct fixture f;
  struct line_answer a, write;
  set_up (&f);
  for (int with_commit = 0; with_commit < 2; with_commit++)
    {
      int64_t begun = lose_begin (&f);
      CU_ASSERT_TRUE (
          sessiond_site_fault (f.site, "db-1-a", slow[with_commit]));
      if (with_commit)
        CU_ASSERT_TRUE (line_query (f.caller, &a, "BEGIN"));
      bool is_kept = line_query (f.caller, &write, "WRITE two x");
      if (with_commit)
        is_kept = line_query (f.caller, &a, "COMMIT");
      CU_ASSERT_TRUE (is_kept);
      CU_ASSERT_TRUE (sessiond_site_now_ms () - begun > TIMEOUT_MS);
      usleep (SLOW_MS * 1000);
      CU_ASSERT_EQUAL (sessiond_site_committed (f.site, write.id), is_kept);
      CU_ASSERT_TRUE (sessiond_site_fault (f.site, "db-1-a", "slow 0 WRITE"));
    }
  talloc_free (f.site);
}

/* Guards against a transaction that ends because the BEGIN of the one before
   it times out. */
static void
lost_begin_ends_no_later_transaction (void)
{
  struct fixture f;
  struct line_answer a, write;
  set_up (&f);
  int64_t begun = lose_begin (&f);
  CU_ASSERT_TRUE (line_query (f.caller, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (f.caller, &write, "WRITE two x"));
  while (sessiond_site_now_ms () - begun < TIMEOUT_MS + 400)
    usleep (20000);
  CU_ASSERT_TRUE (line_query (f.caller, &a, "READ two"));
  CU_ASSERT_TRUE (line_query (f.caller, &a, "COMMIT"));
  CU_ASSERT_EQUAL (sessiond_site_committed (f.site, write.id), 1);
  talloc_free (f.site);
}

static const struct test_case cases[] = {
  { "lost_begin_fails_no_later_statement",
    lost_begin_fails_no_later_statement },
  { "lost_begin_ends_no_later_transaction",
    lost_begin_ends_no_later_transaction },
  { NULL, NULL },
};

TEST_SUITE (transactions, cases)
