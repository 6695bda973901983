/** Tests of session daemons as processes: the statements of a session's
 * transactions while the daemons' messages to each other are late or lost. */
#include "tests/scripted_member.h"
#include "tests/site_fleet.h"
#include "tests/soak/proxy.h"
#include "tests/tests.h"

#include <stdio.h>
#include <unistd.h>

/* Time for which the owner receives nothing: a message that is held up for all
   of it is dropped by its age (600 ms), and the leases last longer. */
#define CUT_MS 650
/* Time after the beginning of the cut at which the first statement of the
   transaction is sent: it arrives in time. */
#define STATEMENT_MS 400
/* The routes of the test allow a statement 1500 ms. */
#define TIMEOUT_MS 1500
/* Time that the database needs for the write or COMMIT which is outstanding
   when the BEGIN times out at the entry daemon. */
#define SLOW_MS 1200
/* Time for the result of a statement that nothing holds up. */
#define ANSWER_MS 1000
/* Time in which heartbeats have passed again. */
#define HEARD_MS 500
/* Time for which a daemon hears nothing until it takes the others for gone
   (650 ms), with some to spare. */
#define SILENT_MS 800
/* Delay of messages that are not dropped by their age. */
#define DELAY_MS 400
/* Time after which an idle transaction is ended, less than that delay. */
#define IDLE_MS 200
/* Time-out of statements that wait for their owner. */
#define PATIENT_MS 4000
/* Attempts at a sequence of events that needs some speed of the machine; in
   each of them no statement may run outside of its transaction. */
#define ATTEMPTS 3
/* Id of the first statement of a reading transaction. */
#define FIRST_READ_ID "0000000a00000002"
/* Id of the statement that is sent behind a lost BEGIN. */
#define LOST_ID "0000000a00000001"

/** Several daemons, with proxies between them, and a session at a daemon that
 * does not own its service. */
struct fixture
{
  struct sessiond_site *site;
  struct proxy *proxy;
  struct line_caller *caller;
  int owner; /**< Daemon that owns the service. */
};

/* @return the daemon of the caller. */
static int
entry_of (const struct fixture *f)
{
  return (f->owner + 1) % 3;
}

/* @param settings of the daemons; NULL: those of the tests. */
static void
set_up_with (struct fixture *f, const char *settings)
{
  struct line_answer a;
  f->site = sessiond_site_start (NULL,
                                 &(struct sessiond_site_options){
                                     .daemons = 3,
                                     .services = 1,
                                     .settings = settings,
                                     .prepare = sessiond_site_add_bus_proxies,
                                     .data = &f->proxy });
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->site);
  sessiond_site_most_owned (f->site, &f->owner);
  CU_ASSERT_FATAL (f->owner >= 0);
  f->caller = line_open (f->site, sessiond_site_port (f->site, entry_of (f)));
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->caller);
  CU_ASSERT_TRUE_FATAL (line_start (f->caller, "main1", "key-a1", &a));
}

static void
set_up (struct fixture *f)
{
  set_up_with (f, NULL);
}

/* Begin a transaction whose BEGIN the owner drops by its age, and send its
   first statement, which is younger, with the id LOST_ID.
   @return the time of the BEGIN. */
static int64_t
begin_in_vain (struct fixture *f)
{
  struct line_answer a;
  proxy_set_fault (f->proxy, f->owner, PROXY_CUT_FORWARD, 0);
  int64_t begun = sessiond_site_now_ms ();
  CU_ASSERT_TRUE (line_query (f->caller, &a, "BEGIN"));
  usleep (STATEMENT_MS * 1000);
  CU_ASSERT_TRUE (line_send (f->caller, "QUERY " LOST_ID " WRITE one x\r\n"));
  usleep ((CUT_MS - STATEMENT_MS) * 1000);
  proxy_set_fault (f->proxy, f->owner, PROXY_PASS, 0);
  CU_ASSERT_EQUAL (line_count_answers (f->caller, 1), 1);
  CU_ASSERT_TRUE (sessiond_site_now_ms () - begun < TIMEOUT_MS);
  return begun;
}

/* As begin_in_vain, and roll the transaction back. */
static int64_t
lose_begin (struct fixture *f)
{
  struct line_answer a;
  int64_t begun = begin_in_vain (f);
  CU_ASSERT_TRUE (line_query (f->caller, &a, "ROLLBACK"));
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_EQUAL (sessiond_site_committed (f->site, LOST_ID), 0);
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

/* Begin a transaction, write in it, and lose its next answer, so that the
   caller is told ABORTED and rolls it back while the owner still has it.
   @param kept id of the write. */
static void
leave_transaction (struct fixture *f, char kept[24])
{
  struct line_answer a;
  CU_ASSERT_TRUE (line_query (f->caller, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (f->caller, &a, "WRITE left x"));
  snprintf (kept, 24, "%s", a.id);
  proxy_set_fault (f->proxy, entry_of (f), PROXY_CUT_FORWARD, 0);
  CU_ASSERT_FALSE (line_query (f->caller, &a, "WRITE left y"));
  CU_ASSERT_STRING_EQUAL (a.code, "ABORTED");
  proxy_set_fault (f->proxy, entry_of (f), PROXY_PASS, 0);
  CU_ASSERT_TRUE (line_query (f->caller, &a, "ROLLBACK"));
  usleep (HEARD_MS * 1000);
}

/* Guards against a commit of writes that the caller was told are not kept: the
   owner still has an earlier transaction of the session, drops the BEGIN of
   the next one, and runs the statement behind it in the earlier one. */
static void
left_transaction_takes_no_later_statement (void)
{
  struct fixture f;
  struct line_answer a;
  char left[24];
  set_up (&f);
  leave_transaction (&f, left);
  begin_in_vain (&f);
  CU_ASSERT_FALSE (line_query (f.caller, &a, "COMMIT"));
  CU_ASSERT_EQUAL (sessiond_site_committed (f.site, left), 0);
  CU_ASSERT_EQUAL (sessiond_site_committed (f.site, LOST_ID), 0);
  CU_ASSERT_TRUE (line_query (f.caller, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (f.caller, &a, "WRITE left z"));
  CU_ASSERT_TRUE (line_query (f.caller, &a, "COMMIT"));
  talloc_free (f.site);
}

/* @return the number of the database connection that ran a statement, -1 if
   none did. */
static int
connection_of (struct sessiond_site *s, const char *id)
{
  json_t *observed = sessiond_site_observed (s);
  const json_t *run = sessiond_site_run (observed, id);
  int number
      = run != NULL
            ? (int)json_integer_value (json_object_get (run, "connection"))
            : -1;
  json_decref (observed);
  return number;
}

/* As set_up, with statements that wait at the entry daemon, for so long that
   none is refused there.
   @param idle_ms time after which an idle transaction is ended. */
static void
set_up_patient (struct fixture *f, int idle_ms)
{
  set_up_with (f, "entry_wait = true\n");
  json_object_set_new (json_object_get (f->site->config, "limits"),
                       "tx-idle-ms", json_integer (idle_ms));
  json_t *routes = json_object_get (f->site->config, "routes");
  for (size_t i = 0; i < json_array_size (routes); i++)
    json_object_set_new (json_array_get (routes, i), "timeout-ms",
                         json_integer (PATIENT_MS));
  CU_ASSERT_TRUE (sessiond_site_configure (f->site));
  usleep (HEARD_MS * 1000);
}

/* Begin a reading transaction whose results the entry daemon does not get, so
   that it takes the owner for gone, and gets once the owner has run the first
   statement.  What the entry daemon sends meanwhile arrives later. */
static void
begin_at_silent_owner (struct fixture *f)
{
  struct line_answer a;
  CU_ASSERT_TRUE (sessiond_site_fault (f->site, "db-1-a", "slow 900 READ"));
  proxy_set_fault (f->proxy, entry_of (f), PROXY_CUT_FORWARD, 0);
  CU_ASSERT_TRUE (line_query (f->caller, &a, "BEGIN READ"));
  CU_ASSERT_TRUE (
      line_send (f->caller, "QUERY " FIRST_READ_ID " READ one\r\n"));
  usleep (SILENT_MS * 1000);
  proxy_set_fault (f->proxy, f->owner, PROXY_DELAY, DELAY_MS);
  proxy_set_fault (f->proxy, entry_of (f), PROXY_PASS, 0);
  CU_ASSERT_EQUAL (line_count_answers (f->caller, 1), 1);
  CU_ASSERT_TRUE (sessiond_site_fault (f->site, "db-1-a", "slow 0 READ"));
}

/* Read a second time in a transaction whose first statement was answered.
   Whatever else happens, it must not run outside of that transaction.
   @return whether it succeeded. */
static bool
read_again (struct fixture *f, struct line_answer *a)
{
  bool has_run = line_query (f->caller, a, "READ one");
  if (has_run)
    CU_ASSERT_EQUAL (connection_of (f->site, FIRST_READ_ID),
                     connection_of (f->site, a->id));
  return has_run;
}

/* Guards against a reading transaction that is given up or opened again while
   it goes on: its owner was silent for a while only. */
static void
silent_owner_keeps_its_transaction (void)
{
  bool has_gone_on = false;
  for (int i = 0; i < ATTEMPTS && !has_gone_on; i++)
    {
      struct fixture f;
      struct line_answer a;
      set_up_patient (&f, PATIENT_MS);
      begin_at_silent_owner (&f);
      proxy_set_fault (f.proxy, f.owner, PROXY_PASS, 0);
      has_gone_on = read_again (&f, &a) && line_query (f.caller, &a, "COMMIT");
      talloc_free (f.site);
    }
  CU_ASSERT_TRUE (has_gone_on);
}

/* Guards against a transaction that goes on in another one: the entry daemon
   sends the unanswered BEGIN again although the owner ran the first statement,
   and the owner has ended the transaction, as it was idle for too long. */
static void
ended_transaction_is_not_opened_again (void)
{
  bool was_aborted = false;
  for (int i = 0; i < ATTEMPTS && !was_aborted; i++)
    {
      struct fixture f;
      struct line_answer a;
      set_up_patient (&f, IDLE_MS);
      begin_at_silent_owner (&f);
      was_aborted = !read_again (&f, &a) && strcmp (a.code, "ABORTED") == 0
                    && connection_of (f.site, a.id) == -1;
      talloc_free (f.site);
    }
  CU_ASSERT_TRUE (was_aborted);
}

/* Send a statement of a transaction, and wait for its result.
   @return whether it succeeded. */
static bool
run_scripted (struct scripted_member *d, enum statement_verb verb,
              const char *text, const char *id, uint64_t transaction)
{
  uint64_t sequence = ++d->first_sequence;
  scripted_member_send (
      d, &(struct scripted_statement){ .verb = verb,
                                       .text = text,
                                       .id = id,
                                       .sequence = sequence,
                                       .transaction = transaction,
                                       .in_transaction = verb != VERB_BEGIN });
  return scripted_member_await (d, sequence, ANSWER_MS)
         && d->outcomes[sequence] == OUTCOME_OK;
}

/* Guards against an owner that opens a second transaction for a BEGIN that
   comes again, runs the rest of the first one in it, and runs statements that
   belong to neither. */
static void
repeated_begin_opens_no_transaction (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  struct scripted_member d = { 0 };
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE_FATAL (scripted_member_join (s, &d));
  CU_ASSERT_TRUE (run_scripted (&d, VERB_BEGIN, "BEGIN", "a1", 1));
  CU_ASSERT_TRUE (run_scripted (&d, VERB_WRITE, "WRITE one x", "a2", 1));
  CU_ASSERT_TRUE (run_scripted (&d, VERB_BEGIN, "BEGIN", "a1", 1));
  CU_ASSERT_TRUE (run_scripted (&d, VERB_WRITE, "WRITE two x", "a3", 1));
  CU_ASSERT_EQUAL (connection_of (s, "a2"), connection_of (s, "a3"));
  /* The statement of an earlier transaction, and its BEGIN, end nothing. */
  CU_ASSERT_FALSE (run_scripted (&d, VERB_WRITE, "WRITE six x", "a4", 0));
  CU_ASSERT_FALSE (run_scripted (&d, VERB_BEGIN, "BEGIN", "a5", 0));
  CU_ASSERT_EQUAL (connection_of (s, "a4"), -1);
  CU_ASSERT_TRUE (run_scripted (&d, VERB_COMMIT, "COMMIT", "a6", 1));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, "a2"), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, "a3"), 1);
  /* The statement of a later one ends what is open. */
  CU_ASSERT_TRUE (run_scripted (&d, VERB_BEGIN, "BEGIN", "b1", 2));
  CU_ASSERT_TRUE (run_scripted (&d, VERB_WRITE, "WRITE one y", "b2", 2));
  CU_ASSERT_FALSE (run_scripted (&d, VERB_WRITE, "WRITE two y", "b3", 3));
  CU_ASSERT_FALSE (run_scripted (&d, VERB_COMMIT, "COMMIT", "b4", 2));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, "b2"), 0);
  CU_ASSERT_EQUAL (connection_of (s, "b3"), -1);
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "lost_begin_fails_no_later_statement",
    lost_begin_fails_no_later_statement },
  { "lost_begin_ends_no_later_transaction",
    lost_begin_ends_no_later_transaction },
  { "left_transaction_takes_no_later_statement",
    left_transaction_takes_no_later_statement },
  { "silent_owner_keeps_its_transaction", silent_owner_keeps_its_transaction },
  { "ended_transaction_is_not_opened_again",
    ended_transaction_is_not_opened_again },
  { "repeated_begin_opens_no_transaction",
    repeated_begin_opens_no_transaction },
  { NULL, NULL },
};

TEST_SUITE (transactions, cases)
