/** Tests of session daemons as processes: machines are replaced by others at
 * new addresses, so that the list of voters changes. */
#include "tests/relay_site.h"
#include "tests/tests.h"

#include <signal.h>
#include <unistd.h>

#define MACHINES 5
/* Time between the replacements of two machines. */
#define GAP_MS 2000
#define GRACE_MS 3000
/* The users' bound for the recovery after all processes were killed. */
#define RECOVERY_MS 12000
/* The time after which members no longer wait for a majority of the voters, 30
   s, with some for the change and the services. */
#define LOST_MS 40000

/* Guards against a list of voters that names more machines which are gone than
   machines which are there, after all were replaced as planned, one by one:
   nothing is served then, and nothing any more once all processes were
   killed. */
static void
rolling_replacement_keeps_a_majority (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = MACHINES,
                                             .spares = MACHINES,
                                             .services = 1,
                                             .grace_ms = GRACE_MS });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < MACHINES; i++)
    {
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, MACHINES + i));
      usleep (GAP_MS / 2 * 1000);
      process_signal (s->daemons[i], SIGTERM);
      usleep (GAP_MS / 2 * 1000);
    }
  CU_ASSERT_TRUE (sessiond_site_wait (s, MACHINES, 1, GAP_MS));
  for (int i = 0; i < s->daemon_count; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < MACHINES; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, MACHINES + i));
  for (int i = 0; i < MACHINES; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, MACHINES + i, 1, RECOVERY_MS));
  for (int i = 0; i < s->daemon_count; i++)
    process_signal (s->daemons[i], SIGKILL);
  talloc_free (s);
}

/* Guards against a fleet that never serves again: while a third voter joins
   two others, one of these is lost for good, so that the voters before the
   change have no majority. */
static void
lost_voter_ends_a_change (void)
{
  for (int lost = 0; lost < 2; lost++)
    {
      struct sessiond_site *s = sessiond_site_start (
          NULL, &(struct sessiond_site_options){
                    .daemons = 2, .spares = 1, .services = 1 });
      CU_ASSERT_PTR_NOT_NULL_FATAL (s);
      /* Until the list of two is in force; then until the change has begun. */
      usleep (3000000);
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, 2));
      usleep (1300000);
      process_signal (s->daemons[lost], SIGKILL);
      /* Leases of before have ended. */
      usleep (3000000);
      CU_ASSERT_TRUE (sessiond_site_wait (s, 1 - lost, 1, LOST_MS));
      for (int i = 0; i < s->daemon_count; i++)
        process_signal (s->daemons[i], SIGKILL);
      talloc_free (s);
    }
}

static const struct test_case cases[] = {
  { "rolling_replacement_keeps_a_majority",
    rolling_replacement_keeps_a_majority },
  { "lost_voter_ends_a_change", lost_voter_ends_a_change },
  { NULL, NULL },
};

TEST_SUITE (replacement, cases)
