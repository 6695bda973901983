#include "core/budget.h"
#include "tests/tests.h"

#define LEASE_US 2000000
#define START_US 5000000000LL

/* A member list of @p count members with the ids 1, 2, .... */
static struct cell_record
make_record (uint64_t version, int count)
{
  struct cell_record r = { .version = version, .op = 7, .coordinator = 1 };
  r.member_count = count;
  for (int i = 0; i < count; i++)
    {
      r.members[i].id = (uint64_t)i + 1;
      r.members[i].name[0] = r.members[i].address[0] = (char)('a' + i);
      r.members[i].join_op = 7;
    }
  return r;
}

/* The view of member @p id in a cell with the member list @p r. */
static struct cell *
make_cell (void *parent, uint64_t id, const struct cell_record *r)
{
  struct cell_options options = { .heartbeat_us = 500000,
                                  .member_lease_us = LEASE_US,
                                  .dead_after_us = 1500000 };
  options.self = r->members[id - 1];
  struct cell *c = cell_create (parent, &options, START_US);
  cell_on_record (c, r, START_US);
  return c;
}

/* Take all actions that are due and count those of one kind.
   @param last set to the last action of this kind. */
static int
count_actions (struct cell *c, int64_t now, enum cell_action_kind kind,
               struct cell_action *last)
{
  struct cell_action action;
  int count = 0;
  while (cell_next_action (c, now, 99, &action))
    if (action.kind == kind)
      {
        *last = action;
        count++;
      }
  return count;
}

/* Guards against a lease that counts from the arrival of an echo instead of
   from the heartbeat's send time: a delayed message would extend the lease. */
static void
lease_counts_from_the_echoed_heartbeat (void)
{
  struct cell_record r = make_record (1, 3);
  struct cell *c = make_cell (NULL, 1, &r);
  struct cell_heartbeat h
      = { .from = 2, .to = 1, .version = 1, .sent_at = 10 };
  CU_ASSERT_FALSE (cell_lease_valid (c, START_US));
  h.echo = START_US + 100;
  cell_on_heartbeat (c, &h, START_US + 1500000);
  CU_ASSERT_TRUE (cell_lease_valid (c, START_US + 1500000));
  CU_ASSERT_TRUE (cell_lease_valid (c, START_US + 100 + LEASE_US - 1));
  CU_ASSERT_FALSE (cell_lease_valid (c, START_US + 100 + LEASE_US));
  /* A send time in the future is not the echo of an own heartbeat.  Neither is
     one before the start of this process, which is not covered here. */
  h.sent_at = 20;
  h.echo = START_US + 9000000;
  cell_on_heartbeat (c, &h, START_US + 3000000);
  CU_ASSERT_FALSE (cell_lease_valid (c, START_US + 3000000));
  talloc_free (c);
}

/* Guards against a lease that a process takes from the echo of a heartbeat
   that an earlier process sent, before a loss of power after which the clock
   of the VM started anew: a peer that uses an older list sends it. */
static void
echo_for_an_earlier_process_confirms_nothing (void)
{
  struct cell_record r = make_record (2, 3);
  r.members[1].id = 4;
  struct cell *c = make_cell (NULL, 2, &r);
  struct cell_heartbeat h
      = { .from = 1, .to = 2, .version = 1, .sent_at = 10 };
  int64_t now = START_US + 1000000;
  h.echo = now - 100000;
  cell_on_heartbeat (c, &h, now);
  CU_ASSERT_FALSE (cell_lease_valid (c, now));
  h.to = 4;
  h.sent_at = 20;
  cell_on_heartbeat (c, &h, now);
  CU_ASSERT_TRUE (cell_lease_valid (c, now));
  talloc_free (c);
}

/* Guards against a removed member whose lease is renewed because a restarted
   process, or one that uses a newer version, confirms its heartbeats. */
static void
confirms_only_what_it_may (void)
{
  struct cell_record r = make_record (1, 3), r2 = make_record (2, 2);
  struct cell *c = make_cell (NULL, 1, &r);
  struct cell_heartbeat h = { .from = 2, .version = 1, .sent_at = 10 };
  struct cell_action a = { 0 };
  int64_t now = START_US + 400000;
  cell_on_heartbeat (c, &h, now);
  CU_ASSERT (count_actions (c, now, CELL_SEND_HEARTBEAT, &a) > 0);
  CU_ASSERT_EQUAL (a.heartbeat.echo, 0);
  now = START_US + LEASE_US + 400000;
  h.sent_at = 20;
  cell_on_heartbeat (c, &h, now);
  h.from = 3;
  cell_on_heartbeat (c, &h, now);
  CU_ASSERT_EQUAL (count_actions (c, now, CELL_SEND_HEARTBEAT, &a), 2);
  CU_ASSERT_EQUAL (a.heartbeat.echo, 20);
  cell_on_record (c, &r2, now);
  CU_ASSERT_EQUAL (count_actions (c, now, CELL_SEND_HEARTBEAT, &a), 1);
  CU_ASSERT_EQUAL (a.heartbeat.echo, 0);
  talloc_free (c);
}

/* Guards against a member that is paused for minutes and then removes the
   other members, because they seem silent. */
static void
waking_up_removes_nobody (void)
{
  struct cell_record r = make_record (1, 2);
  struct cell *c = make_cell (NULL, 1, &r);
  struct cell_action a = { 0 };
  count_actions (c, START_US, CELL_UPDATE, &a);
  CU_ASSERT_EQUAL (count_actions (c, START_US + 600000000, CELL_UPDATE, &a),
                   0);
  talloc_free (c);
}

/* The budget of member @p self of two, with a fraction of the organisation
   "shop" under a settled version. */
static struct budget *
make_budget (void *parent, uint64_t self, uint64_t version, double fraction)
{
  struct budget_options options = { .self = self, .resend_us = 10000 };
  struct cell_record r = make_record (version, 2);
  struct budget *b = budget_create (parent, &options);
  budget_set_rate (b, "shop", 100, 100, START_US);
  budget_freeze (b, &r, true, START_US);
  budget_allot (b, version, "shop", fraction, START_US);
  CU_ASSERT_TRUE (budget_settle (b, version, START_US));
  return b;
}

/* Fraction of the first organisation. */
static double
fraction_of (const struct budget *b)
{
  struct budget_holding h = { 0 };
  CU_ASSERT_TRUE (budget_holding (b, 0, &h));
  return h.fraction;
}

/* Guards against a fraction that two members hold: because the sender of a
   grant deducts it late, or because the receiver applies a duplicate. */
static void
grant_moves_once (void)
{
  void *scratch = talloc_new (NULL);
  struct budget *sender = make_budget (scratch, 1, 5, 0.9);
  struct budget *receiver = make_budget (scratch, 2, 5, 0.1);
  struct budget_message need
      = { BUDGET_NEED, 2, 1, 5, "shop", 0, 0.3, 10, true, 0, 0, 0 };
  struct budget_message grant, again, ack;
  int64_t now = START_US + 1000000;
  budget_on_message (sender, &need, now);
  CU_ASSERT_DOUBLE_EQUAL (fraction_of (sender), 0.6, 1e-12);
  CU_ASSERT_TRUE_FATAL (budget_next_message (sender, now, &grant));
  CU_ASSERT_FALSE (budget_next_message (sender, now, &again));
  CU_ASSERT_TRUE_FATAL (budget_next_message (sender, now + 10000, &again));
  CU_ASSERT_EQUAL (grant.id, again.id);
  budget_on_message (receiver, &grant, now);
  budget_on_message (receiver, &again, now);
  CU_ASSERT_DOUBLE_EQUAL (fraction_of (receiver), 0.4, 1e-12);
  CU_ASSERT_TRUE_FATAL (budget_next_message (receiver, now, &ack));
  CU_ASSERT_EQUAL (ack.kind, BUDGET_GRANT_ACK);
  budget_on_message (sender, &ack, now);
  CU_ASSERT_FALSE (budget_next_message (sender, now + 90000, &again));
  talloc_free (scratch);
}

/* Guards against fractions that move between a member's report and the
   allotment, and against an allotment that is applied a second time. */
static void
freeze_stops_moving_but_not_spending (void)
{
  struct budget *b = make_budget (NULL, 1, 5, 0.5);
  struct cell_record r = make_record (6, 2);
  struct budget_message grant
      = { BUDGET_GRANT, 2, 1, 6, "shop", 1, 0.3, 10, false, 0, 0, 0 };
  int64_t now = START_US + 1000000;
  budget_freeze (b, &r, true, now);
  budget_on_message (b, &grant, now);
  grant.version = 5;
  budget_on_message (b, &grant, now);
  CU_ASSERT_DOUBLE_EQUAL (fraction_of (b), 0.5, 1e-12);
  CU_ASSERT_EQUAL (budget_admit (b, "shop", true, 0, now).verdict,
                   BUDGET_ADMIT);
  CU_ASSERT_EQUAL (budget_admit (b, "shop", false, 0, now).verdict,
                   BUDGET_REFUSE);
  budget_allot (b, 6, "shop", 0.6, now);
  CU_ASSERT_TRUE (budget_settle (b, 6, now));
  budget_allot (b, 6, "shop", 0.9, now);
  CU_ASSERT_DOUBLE_EQUAL (fraction_of (b), 0.6, 1e-12);
  /* The member was removed and added again before it knew of the removal. */
  r.version = 7;
  budget_freeze (b, &r, false, now);
  CU_ASSERT_DOUBLE_EQUAL (fraction_of (b), 0, 1e-12);
  talloc_free (b);
}

/* Guards against a new organisation of which no member has a fraction until
   the next change of membership, and against a member that takes a fraction of
   it before the version is settled. */
static void
new_organisation_is_divided_equally (void)
{
  struct budget *b = make_budget (NULL, 1, 5, 0.9);
  struct cell_record r = make_record (6, 2);
  struct budget_holding h = { 0 };
  budget_set_rate (b, "zoo", 10, 10, START_US);
  CU_ASSERT_TRUE (budget_holding (b, 1, &h));
  CU_ASSERT_DOUBLE_EQUAL (h.fraction, 0.5, 1e-12);
  budget_freeze (b, &r, true, START_US);
  budget_set_rate (b, "zoo2", 10, 10, START_US);
  CU_ASSERT_TRUE (budget_holding (b, 2, &h));
  CU_ASSERT_DOUBLE_EQUAL (h.fraction, 0, 1e-12);
  talloc_free (b);
}

/* Guards against a coordinator whose allotment changes when a member reports
   its holdings again, so that the allotted fractions do not add up to 1.  The
   allotment of an organisation that no member holds is not covered here. */
static void
allotment_sums_to_one (void)
{
  struct budget *b = make_budget (NULL, 1, 5, 0.2);
  struct cell_record r = make_record (6, 2);
  struct budget_holding h = { .member = 2, .organisation = "shop" }, out;
  double sum = 0;
  budget_set_rate (b, "zoo", 10, 10, START_US);
  budget_freeze (b, &r, true, START_US);
  h.fraction = 0.6;
  budget_on_holding (b, 6, &h);
  for (uint64_t id = 1; id <= 2; id++)
    {
      CU_ASSERT_TRUE (budget_allotment (b, id, 0, &out));
      CU_ASSERT_DOUBLE_EQUAL (out.fraction, id == 1 ? 0.25 : 0.75, 1e-12);
      sum += out.fraction;
      h.fraction = 0.9;
      budget_on_holding (b, 6, &h);
    }
  CU_ASSERT_DOUBLE_EQUAL (sum, 1, 1e-12);
  talloc_free (b);
}

static const struct test_case cases[] = {
  { "lease_counts_from_the_echoed_heartbeat",
    lease_counts_from_the_echoed_heartbeat },
  { "echo_for_an_earlier_process_confirms_nothing",
    echo_for_an_earlier_process_confirms_nothing },
  { "confirms_only_what_it_may", confirms_only_what_it_may },
  { "waking_up_removes_nobody", waking_up_removes_nobody },
  { "grant_moves_once", grant_moves_once },
  { "freeze_stops_moving_but_not_spending",
    freeze_stops_moving_but_not_spending },
  { "new_organisation_is_divided_equally",
    new_organisation_is_divided_equally },
  { "allotment_sums_to_one", allotment_sums_to_one },
  { NULL, NULL },
};
TEST_SUITE (cell, cases)
