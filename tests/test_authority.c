/** Authority over the writes of a group, and the choice of endpoints for
 * reads. */
#include "core/authority.h"
#include "core/routing.h"
#include "tests/tests.h"

#define MS INT64_C (1000)

static struct authority *
create_authority (int confirm)
{
  return authority_create (
      NULL, &(struct authority_options){ .endpoint_count = 3,
                                         .lease_us = 1000 * MS,
                                         .confirm_replicas = confirm });
}

static struct endpoint_status
primary_at (uint64_t term, uint64_t lsn)
{
  return (struct endpoint_status){ false, term, lsn, lsn, 0, 0 };
}

static struct endpoint_status
replica_at (uint64_t term, uint64_t lsn, uint64_t fence)
{
  return (struct endpoint_status){ true, term, lsn, lsn, fence, 0 };
}

static void
record_status (struct authority *a, int endpoint,
               struct endpoint_status status, int64_t sent_at)
{
  authority_record_status (a, endpoint, &status, sent_at);
}

/* Guards against a lease that is counted from the arrival of the answer, or
   that a minority keeps alive. */
static void
lease_counts_from_the_send_time_of_a_majority (void)
{
  struct authority *a = create_authority (0);
  record_status (a, 0, primary_at (1, 10), 5000 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 1), 0);
  record_status (a, 1, replica_at (1, 10, 0), 4000 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 1), 5000 * MS);
  record_status (a, 2, replica_at (1, 10, 0), 4500 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 1), 5500 * MS);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 5, 6, 5500 * MS - 1), ACK_SEND);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 5, 6, 5500 * MS), ACK_WAIT);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 5, 6, 600000 * MS), ACK_WAIT);
  talloc_free (a);
}

/* Guards against authority for a term that a fence marker has ended: a replica
   with the marker still reports the old term, and an answer to an earlier
   poll, without the marker, arrives late. */
static void
marker_withdraws_authority_for_good (void)
{
  struct authority *a = create_authority (0);
  record_status (a, 0, primary_at (1, 10), 100 * MS);
  record_status (a, 1, replica_at (1, 10, 2), 100 * MS);
  record_status (a, 2, replica_at (1, 10, 2), 100 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 1), 0);
  record_status (a, 1, replica_at (1, 10, 0), 50 * MS);
  record_status (a, 2, replica_at (1, 10, 0), 50 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 1), 0);
  talloc_free (a);
}

/* Guards against authority for a term below the highest ever seen or
   released. */
static void
terms_never_go_back (void)
{
  struct authority *a = create_authority (0);
  for (int i = 0; i < 3; i++)
    record_status (a, i, i == 0 ? primary_at (3, 10) : replica_at (3, 10, 0),
                   MS);
  CU_ASSERT (authority_expiry (a, 3) > 0);
  authority_release (a, 3);
  authority_release (a, 2);
  CU_ASSERT_EQUAL (authority_expiry (a, 3), 0);
  authority_record_term (a, 5);
  authority_record_term (a, 4);
  CU_ASSERT_EQUAL (authority_term (a), 5);
  for (int i = 0; i < 3; i++)
    record_status (a, i, i == 0 ? primary_at (4, 10) : replica_at (4, 10, 0),
                   2 * MS);
  CU_ASSERT_EQUAL (authority_expiry (a, 4), 0);
  talloc_free (a);
}

/* Guards against a confirmation by the primary itself, by a replica of
   another term, or of an earlier position. */
static void
only_replicas_of_the_term_confirm (void)
{
  struct authority *a = create_authority (1);
  record_status (a, 0, primary_at (2, 20), MS);
  record_status (a, 1, replica_at (2, 19, 0), MS);
  record_status (a, 2, replica_at (1, 30, 0), MS);
  CU_ASSERT_EQUAL (authority_confirmations (a, 2, 20), 0);
  CU_ASSERT_EQUAL (authority_decide (a, 2, 19, 20, 2 * MS), ACK_WAIT);
  record_status (a, 1, replica_at (2, 20, 0), 2 * MS);
  CU_ASSERT_EQUAL (authority_decide (a, 2, 19, 20, 3 * MS), ACK_SEND);
  talloc_free (a);
}

/* Guards against a wrong outcome of a write whose term ended before it was
   acknowledged: a lost write reported as run, or a kept one as not run. */
static void
held_writes_are_decided_by_the_branch (void)
{
  struct authority *a = create_authority (1);
  authority_record_opening (a, 2, 1, 100);
  CU_ASSERT_EQUAL (authority_primary (a), 1);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 101, 110, MS), ACK_DISCARDED);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 100, 101, MS), ACK_UNKNOWN);
  /* The new term contains the write, but only the new primary may have it so
     far. */
  CU_ASSERT_EQUAL (authority_decide (a, 1, 90, 100, MS), ACK_WAIT);
  record_status (a, 1, primary_at (2, 100), MS);
  record_status (a, 2, replica_at (2, 100, 2), MS);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 90, 100, 2 * MS), ACK_SEND);
  /* The opening of term 3 is missing: that term may have discarded the
     write. */
  authority_record_opening (a, 4, 2, 500);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 90, 100, 2 * MS), ACK_UNKNOWN);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 101, 110, MS), ACK_DISCARDED);
  authority_record_opening (a, 3, 0, 95);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 90, 100, 2 * MS), ACK_UNKNOWN);
  CU_ASSERT_EQUAL (authority_decide (a, 1, 96, 100, 2 * MS), ACK_DISCARDED);
  talloc_free (a);
}

static struct routing *
create_routing (void)
{
  struct routing *r = routing_create (
      NULL, &(struct routing_options){ .endpoint_count = 3,
                                       .catch_up_us = 50 * MS,
                                       .stale_poll_us = 1000 * MS });
  routing_set_primary (r, 0, 1, 0);
  return r;
}

static void
record_poll (struct routing *r, int endpoint, struct endpoint_status status,
             uint64_t replayed, int64_t now)
{
  status.replayed = replayed;
  routing_record_status (r, endpoint, &status, now);
}

/* Guards against a read that goes to the primary although a replica has its
   position, and against one sent to a replica that lags far behind. */
static void
prediction_selects_the_replica (void)
{
  struct routing *r = create_routing ();
  struct read_request read = { .after = { 1, 1000 } };
  record_poll (r, 0, primary_at (1, 1000), 1000, 100 * MS);
  record_poll (r, 1, replica_at (1, 1000, 0), 500, 100 * MS);
  record_poll (r, 2, replica_at (1, 1000, 0), 100, 100 * MS);
  struct route route = routing_choose (r, &read, 100 * MS);
  CU_ASSERT_EQUAL (route.kind, ROUTE_ENDPOINT);
  CU_ASSERT_EQUAL (route.endpoint, 0);
  record_poll (r, 0, primary_at (1, 1000), 1000, 200 * MS);
  record_poll (r, 1, replica_at (1, 1000, 0), 900, 200 * MS);
  /* The replica replayed 400 in 100 ms, weighted by 0.3: the missing 100 take
     83 ms. */
  route = routing_choose (r, &read, 200 * MS);
  CU_ASSERT_EQUAL (route.endpoint, 0);
  route = routing_choose (r, &read, 250 * MS);
  CU_ASSERT_EQUAL (route.kind, ROUTE_WAIT);
  CU_ASSERT (route.wait_us > 20 * MS && route.wait_us < 50 * MS);
  route = routing_choose (r, &read, 290 * MS);
  CU_ASSERT_EQUAL (route.endpoint, 1);
  CU_ASSERT (route.is_replica && route.guard.lsn == 1000);
  /* The guard on the replica fails at each try: the read waits 50 ms in all,
     then goes to the primary. */
  int waits = 0;
  do
    {
      read.tried = 1U << 1;
      route = routing_choose (r, &read, 290 * MS + read.waited_us);
      read.waited_us += route.wait_us;
      waits += route.kind == ROUTE_WAIT;
    }
  while (route.kind == ROUTE_WAIT && waits < 20);
  CU_ASSERT_EQUAL (waits, 5);
  CU_ASSERT_EQUAL (read.waited_us, 50 * MS);
  CU_ASSERT_EQUAL (route.endpoint, 0);
  /* After a wait the replica is tried again before the primary. */
  read.tried = 0;
  read.waited_us = 5 * MS;
  CU_ASSERT_EQUAL (routing_choose (r, &read, 295 * MS).endpoint, 1);
  /* After a pause all polls are too old. */
  route = routing_choose (r, &read, 600000 * MS);
  CU_ASSERT_EQUAL (route.kind, ROUTE_NONE);
  talloc_free (r);
}

/* Guards against reads that return discarded writes, and against reads from a
   replaced term that lacks the required position. */
static void
replaced_terms_serve_no_newer_position (void)
{
  struct routing *r = create_routing ();
  struct read_request read = { .after = { 2, 90 } };
  routing_set_primary (r, 1, 2, 100);
  record_poll (r, 0, primary_at (1, 150), 150, 100 * MS);
  record_poll (r, 2, replica_at (1, 120, 2), 120, 100 * MS);
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).kind, ROUTE_NONE);
  read.after.term = 1;
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).kind, ROUTE_NONE);
  record_poll (r, 2, replica_at (1, 95, 2), 95, 200 * MS);
  struct route route = routing_choose (r, &read, 200 * MS);
  CU_ASSERT_EQUAL (route.endpoint, 2);
  struct endpoint_status status = replica_at (1, 95, 2);
  CU_ASSERT (routing_guard_holds (r, &route, &status));
  status.replayed = 89;
  CU_ASSERT_FALSE (routing_guard_holds (r, &route, &status));
  status.replayed = 120;
  CU_ASSERT_FALSE (routing_guard_holds (r, &route, &status));
  route.guard.term = 2;
  status.replayed = 95;
  CU_ASSERT_FALSE (routing_guard_holds (r, &route, &status));
  status.term = 2;
  CU_ASSERT (routing_guard_holds (r, &route, &status));
  talloc_free (r);
}

/* Guards against new reads at a leaving, failed or busier replica, and
   against a bounded read that is staler than its bound. */
static void
state_and_bound_limit_the_choice (void)
{
  struct routing *r = create_routing ();
  struct read_request any = { .freshness = FRESHNESS_ANY };
  struct read_request bounded
      = { .freshness = FRESHNESS_BOUNDED, .max_staleness_us = 300 * MS };
  record_poll (r, 0, primary_at (1, 100), 100, 100 * MS);
  record_poll (r, 0, primary_at (1, 200), 200, 400 * MS);
  record_poll (r, 1, replica_at (1, 200, 0), 150, 400 * MS);
  record_poll (r, 2, replica_at (1, 200, 0), 150, 400 * MS);
  routing_set_load (r, 1, 2, 4);
  routing_set_load (r, 2, 1, 4);
  CU_ASSERT_EQUAL (routing_choose (r, &any, 400 * MS).endpoint, 2);
  routing_set_leaving (r, 2, true);
  CU_ASSERT_EQUAL (routing_choose (r, &any, 400 * MS).endpoint, 1);
  struct route route = routing_choose (r, &bounded, 400 * MS);
  CU_ASSERT (route.endpoint == 1 && route.guard.lsn == 100);
  CU_ASSERT_EQUAL (routing_choose (r, &bounded, 500 * MS).endpoint, 0);
  routing_mark_failed (r, 1, 400 * MS);
  CU_ASSERT_EQUAL (routing_choose (r, &any, 400 * MS).endpoint, 0);
  talloc_free (r);
}

/* Guards against reads that take the primary's slots, or that wait as if a
   replica lagged, only because the replicas' slots are in use. */
static void
busy_replicas_are_waited_for (void)
{
  struct routing *r = create_routing ();
  struct read_request read = { .freshness = FRESHNESS_ANY };
  for (int i = 0; i < 3; i++)
    record_poll (r, i, i == 0 ? primary_at (1, 100) : replica_at (1, 100, 0),
                 100, 100 * MS);
  routing_set_load (r, 1, 4, 4);
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).endpoint, 2);
  routing_set_load (r, 2, 4, 4);
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).kind, ROUTE_BUSY);
  routing_mark_failed (r, 1, 100 * MS);
  routing_mark_failed (r, 2, 100 * MS);
  CU_ASSERT_FALSE (routing_has_replica (r, 100 * MS));
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).endpoint, 0);
  routing_set_load (r, 0, 4, 4);
  CU_ASSERT_EQUAL (routing_choose (r, &read, 100 * MS).kind, ROUTE_BUSY);
  talloc_free (r);
}

static const struct test_case cases[] = {
  { "lease_counts_from_the_send_time_of_a_majority",
    lease_counts_from_the_send_time_of_a_majority },
  { "marker_withdraws_authority_for_good",
    marker_withdraws_authority_for_good },
  { "terms_never_go_back", terms_never_go_back },
  { "only_replicas_of_the_term_confirm", only_replicas_of_the_term_confirm },
  { "held_writes_are_decided_by_the_branch",
    held_writes_are_decided_by_the_branch },
  { "prediction_selects_the_replica", prediction_selects_the_replica },
  { "replaced_terms_serve_no_newer_position",
    replaced_terms_serve_no_newer_position },
  { "busy_replicas_are_waited_for", busy_replicas_are_waited_for },
  { "state_and_bound_limit_the_choice", state_and_bound_limit_the_choice },
  { NULL, NULL },
};
TEST_SUITE (authority, cases)
