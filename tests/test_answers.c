/** Tests of the decision which request an answer belongs to, by random
 * schedules of one connection whose endpoint repeats answers. */
#include "core/answers.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

#define SCHEDULES 20000
#define MAX_STATEMENTS 30
#define MAX_LINE 4096

/** An answer on its way, and whose it is. */
struct model_answer
{
  struct answer_received received;
  char signature[24];
  int request;  /**< Number of the request that it answers. */
  bool is_copy; /**< It was sent before. */
};

/** A request, and how the endpoint handled it. */
struct model_request
{
  struct answer_form form;
  int number;
  bool is_refused; /**< The endpoint refused it because of a lost lead. */
};

/** One connection: the endpoint's state, and the answers on their way. */
struct model
{
  unsigned random_state;
  int copy_share; /**< Percent of the answers that come again. */
  enum session_state state;
  bool has_lost_lead; /**< Everything in the transaction is refused. */
  struct position position;
  int runs; /**< Makes signatures unique. */
  int requests;
  struct model_answer line[MAX_LINE]; /**< In the order of arrival. */
  int line_count;
  struct answers *answers;
  bool by_order; /**< Every answer is the oldest request's. */
  int wrong;     /**< Answers that were taken for another request's. */
  int doubts;
};

static int
random_below (struct model *m, int bound)
{
  return (int)((unsigned)rand_r (&m->random_state) % (unsigned)bound);
}

static void
insert_answer (struct model *m, int at, struct model_answer answer)
{
  if (m->line_count == MAX_LINE)
    return;
  for (int i = m->line_count++; i > at; i--)
    m->line[i] = m->line[i - 1];
  m->line[at] = answer;
}

/* Send an answer, and maybe a copy that is overtaken by up to five answers
   which are sent later: it is kept back until then. */
static struct model_answer held[8];
static int held_for[8];

static void
send_answer (struct model *m, struct model_answer answer)
{
  insert_answer (m, m->line_count, answer);
  for (int i = 0; i < 8; i++)
    if (held_for[i] > 0 && --held_for[i] == 0)
      insert_answer (m, m->line_count, held[i]);
  if (random_below (m, 100) >= m->copy_share)
    return;
  for (int i = 0; i < 8; i++)
    if (held_for[i] == 0)
      {
        held[i] = answer;
        held[i].is_copy = true;
        held_for[i] = 1 + random_below (m, 5);
        return;
      }
}

/* @return whether the endpoint refuses a request.  Settings and ROLLBACK take
   no slot: they are refused only if the lead is lost, with everything behind
   them. */
static bool
refuses (struct model *m, const struct answer_form *form, bool ends)
{
  bool is_setting
      = form->is_replaceable && form->success_state == m->state && !ends;
  bool is_rollback = ends && !form->is_signed;
  if (m->state == SESSION_IN_TRANSACTION && random_below (m, 20) == 0)
    m->has_lost_lead = true;
  return (m->state == SESSION_FAILED && !ends) || m->has_lost_lead
         || (!is_setting && !is_rollback && random_below (m, 12) == 0);
}

/* The endpoint runs a request and answers it. */
static void
run_request (struct model *m, struct model_request *request)
{
  const struct answer_form *form = &request->form;
  struct model_answer answer = { .request = request->number };
  bool begins
      = form->changes_state && form->success_state == SESSION_IN_TRANSACTION;
  bool ends = form->changes_state && !begins;
  bool has_failed = m->state == SESSION_FAILED && !ends;
  bool fails = refuses (m, form, ends);
  request->is_refused = fails && m->has_lost_lead;
  if (!m->has_lost_lead && random_below (m, 3) == 0)
    m->position.number++;
  if (fails)
    {
      answer.received.end = ANSWER_ERROR;
      answer.received.outcome = has_failed            ? OUTCOME_MALFORMED
                                : m->has_lost_lead    ? OUTCOME_NOT_PRIMARY
                                : random_below (m, 4) ? OUTCOME_BUSY
                                                      : OUTCOME_FAILED;
      answer.received.text = bstr_from ("db-1");
      if (ends)
        m->state = SESSION_IDLE;
      else if (m->state == SESSION_IN_TRANSACTION)
        m->state = SESSION_FAILED;
    }
  else
    {
      answer.received.end = ANSWER_COMPLETE;
      if (form->is_signed)
        snprintf (answer.signature, sizeof answer.signature, "s%d", ++m->runs);
      if (form->changes_state)
        m->state = form->success_state;
    }
  answer.received.state = m->state;
  answer.received.position = m->position;
  send_answer (m, answer);
}

/* Read answers until that of the last of the requests has come.
   @return OUTCOME_OK, the error, or OUTCOME_UNKNOWN if the connection was
   given up. */
static enum outcome
read_answers (struct model *m, const struct model_request *requests, int count)
{
  int next = 0;
  while (next < count && m->line_count > 0)
    {
      struct model_answer answer = m->line[0];
      memmove (m->line, m->line + 1,
               sizeof m->line[0] * (size_t)--m->line_count);
      answer.received.signature = bstr_from (answer.signature);
      const struct model_request *oldest = &requests[next];
      enum answer_verdict verdict
          = m->by_order
                ? ANSWER_OWN
                : answers_judge (m->answers, &oldest->form, &answer.received);
      if (verdict == ANSWER_COPY)
        {
          m->wrong += !answer.is_copy && answer.request == oldest->number
                      && oldest->form.is_signed;
          continue;
        }
      if (verdict != ANSWER_OWN)
        {
          m->doubts++;
          return OUTCOME_UNKNOWN;
        }
      bool is_error = answer.received.end == ANSWER_ERROR;
      /* The error of a setting is not told: the connection is given up. */
      if (is_error && next + 1 < count)
        return OUTCOME_UNKNOWN;
      /* The error of a lost lead meets every request behind it. */
      bool is_shared = is_error && oldest->is_refused;
      if (answer.request != oldest->number && !is_shared
          && !(oldest->form.is_replaceable && !is_error))
        m->wrong++;
      if (is_error && !m->by_order && answers_are_unsure (m->answers))
        return OUTCOME_UNKNOWN;
      if (answer.received.end == ANSWER_ERROR)
        return answer.received.outcome;
      next++;
    }
  return next == count ? OUTCOME_OK : OUTCOME_UNKNOWN;
}

/* Send a statement, with up to two settings before it, and read its answer. */
static enum outcome
run_statement (struct model *m, struct answer_form form, bool in_transaction)
{
  struct model_request requests[3];
  bool rolls_back = form.changes_state && form.is_replaceable
                    && form.success_state == SESSION_IDLE;
  int count = 0, settings = rolls_back ? 0 : random_below (m, 6);
  for (int i = 0; i < (settings < 3 ? settings : 0); i++)
    requests[count++] = (struct model_request){
      .form = { .is_replaceable = true,
                .success_state
                = in_transaction ? SESSION_IN_TRANSACTION : SESSION_IDLE },
    };
  requests[count++] = (struct model_request){ .form = form };
  for (int i = 0; i < count; i++)
    {
      requests[i].number = ++m->requests;
      run_request (m, &requests[i]);
    }
  return read_answers (m, requests, count);
}

/* Run a transaction. @return whether the connection can go on. */
static bool
run_transaction (struct model *m, bool reads_only)
{
  struct answer_form begin = { .is_replaceable = reads_only,
                               .changes_state = true,
                               .success_state = SESSION_IN_TRANSACTION };
  struct answer_form statement
      = { .is_signed = true, .success_state = SESSION_IN_TRANSACTION };
  struct answer_form commit = { .is_signed = true, .changes_state = true };
  struct answer_form rollback
      = { .is_replaceable = true, .changes_state = true };
  enum outcome outcome = run_statement (m, begin, false);
  if (outcome != OUTCOME_OK)
    return outcome != OUTCOME_UNKNOWN;
  for (int i = random_below (m, 4); i > 0 && outcome == OUTCOME_OK; i--)
    outcome = run_statement (m, statement, true);
  if (outcome == OUTCOME_UNKNOWN)
    return false;
  return run_statement (m,
                        outcome == OUTCOME_OK && random_below (m, 3) > 0
                            ? commit
                            : rollback,
                        true)
         == OUTCOME_OK;
}

/* Run statements on one connection until it is given up or they have ended. */
static void
run_schedule (struct model *m)
{
  struct answer_form single = { .is_signed = true };
  bool goes_on = true;
  memset (held_for, 0, sizeof held_for);
  m->answers = answers_create (NULL);
  m->state = SESSION_IDLE;
  m->has_lost_lead = false;
  m->position = (struct position){ 1, 1 };
  m->line_count = 0;
  for (int i = 0; i < MAX_STATEMENTS && goes_on; i++)
    if (random_below (m, 3) == 0)
      goes_on = run_transaction (m, random_below (m, 2) == 0);
    else
      goes_on = run_statement (m, single, false) != OUTCOME_UNKNOWN;
  talloc_free (m->answers);
}

/* Run many schedules, and return the totals. */
static struct model
run_schedules (int copy_share, bool by_order)
{
  struct model *m = talloc_zero (NULL, struct model);
  m->copy_share = copy_share;
  m->by_order = by_order;
  for (unsigned seed = 0; seed < SCHEDULES; seed++)
    {
      m->random_state = seed;
      run_schedule (m);
    }
  struct model totals = *m;
  talloc_free (m);
  return totals;
}

/* Guards against an answer that is taken for that of another request, by
   random schedules of statements, settings, transactions, errors and copies;
   the schedules find it when answers are taken in their order. */
static void
copies_are_no_answers (void)
{
  struct model by_order = run_schedules (20, true);
  struct model judged = run_schedules (20, false);
  printf ("[in order: %d wrong; judged: %d wrong, %d doubts in %d requests] ",
          by_order.wrong, judged.wrong, judged.doubts, judged.requests);
  CU_ASSERT_TRUE (by_order.wrong > 1000);
  CU_ASSERT_EQUAL (judged.wrong, 0);
}

/* Guards against an answer that is ignored although the endpoint repeats
   none. */
static void
nothing_is_ignored_without_copies (void)
{
  struct model m = run_schedules (0, false);
  printf ("[%d doubts in %d requests] ", m.doubts, m.requests);
  CU_ASSERT_EQUAL (m.wrong, 0);
}

static struct answer_received
complete (const char *signature, enum session_state state, uint64_t number)
{
  return (struct answer_received){ .end = ANSWER_COMPLETE,
                                   .signature = bstr_from (signature),
                                   .state = state,
                                   .position = { 1, number } };
}

/* Guards against an acknowledgement whose position shows that it is no answer
   to the request: the log had to be further. */
static void
early_position_is_a_copy (void)
{
  struct answers *a = answers_create (NULL);
  struct answer_form begin = { .is_replaceable = true,
                               .changes_state = true,
                               .success_state = SESSION_IN_TRANSACTION };
  struct answer_received r = complete ("", SESSION_IN_TRANSACTION, 5);
  CU_ASSERT_EQUAL (answers_judge (a, &begin, &r), ANSWER_OWN);
  begin.after = (struct position){ 1, 6 };
  CU_ASSERT_EQUAL (answers_judge (a, &begin, &r), ANSWER_COPY);
  r.position.number = 6;
  CU_ASSERT_EQUAL (answers_judge (a, &begin, &r), ANSWER_OWN);
  talloc_free (a);
}

/* Guards against a copy that is forgotten while its connection is in use, and
   against a signed answer of a statement that ran outside of its
   transaction. */
static void
old_signatures_are_known (void)
{
  struct answers *a = answers_create (NULL);
  struct answer_form read = { .is_signed = true };
  char signature[16];
  for (int i = 0; i < 500; i++)
    {
      snprintf (signature, sizeof signature, "s%d", i);
      struct answer_received r = complete (signature, SESSION_IDLE, 1);
      CU_ASSERT_EQUAL (answers_judge (a, &read, &r), ANSWER_OWN);
    }
  struct answer_received old = complete ("s0", SESSION_IDLE, 1);
  CU_ASSERT_EQUAL (answers_judge (a, &read, &old), ANSWER_COPY);
  CU_ASSERT_EQUAL (answers_judge (a, NULL, &old), ANSWER_COPY);
  struct answer_received outside = complete ("new", SESSION_IDLE, 1);
  read.success_state = SESSION_IN_TRANSACTION;
  CU_ASSERT_EQUAL (answers_judge (a, &read, &outside), ANSWER_WRONG);
  talloc_free (a);
}

/* Guards against an answer of the endpoint's status that is older than the
   question. */
static void
repeated_status_is_doubtful (void)
{
  struct answers *a = answers_create (NULL);
  struct answer_form status = { .has_row = true };
  struct bstr row = bstr_from ("primary 1 1.1 0 0 0 1");
  struct answer_received r = complete ("", SESSION_IDLE, 1);
  r.rows = &row;
  r.row_count = 1;
  CU_ASSERT_EQUAL (answers_judge (a, &status, &r), ANSWER_OWN);
  CU_ASSERT_EQUAL (answers_judge (a, &status, &r), ANSWER_DOUBTFUL);
  CU_ASSERT_EQUAL (answers_judge (a, NULL, &r), ANSWER_COPY);
  talloc_free (a);
}

/* Guards against answers of an endpoint that gives no position, which are
   neither too early nor those of a BEGIN that can be told apart. */
static void
answers_without_position (void)
{
  struct answers *a = answers_create (NULL);
  struct answer_form read = { .is_signed = true, .after = { 1, 6 } };
  struct answer_form begin
      = { .changes_state = true, .success_state = SESSION_IN_TRANSACTION };
  struct answer_received r = complete ("s1", SESSION_IDLE, 0);
  r.position.term = 0;
  CU_ASSERT_EQUAL (answers_judge (a, &read, &r), ANSWER_OWN);
  CU_ASSERT_FALSE (answers_repeat_begin (a, (struct position){ 0, 0 }));
  r = complete ("", SESSION_IN_TRANSACTION, 0);
  r.position.term = 0;
  CU_ASSERT_EQUAL (answers_judge (a, &begin, &r), ANSWER_OWN);
  CU_ASSERT_TRUE (answers_repeat_begin (a, (struct position){ 0, 0 }));
  CU_ASSERT_EQUAL (answers_judge (a, &begin, &r), ANSWER_DOUBTFUL);
  talloc_free (a);
}

/* Guards against an answer that is ignored, so that its caller waits for the
   time-out, once a promotion has rolled the endpoint's log back. */
static void
rolled_back_positions_are_no_copies (void)
{
  struct answers *a = answers_create (NULL);
  struct answer_form read = { .is_signed = true };
  struct answer_form rollback
      = { .is_replaceable = true, .changes_state = true };
  struct answer_received at_5 = complete ("", SESSION_IDLE, 5);
  struct answer_received at_9 = complete ("s1", SESSION_IDLE, 9);
  struct answer_received back = complete ("s2", SESSION_IDLE, 5);
  CU_ASSERT_EQUAL (answers_judge (a, &rollback, &at_5), ANSWER_OWN);
  CU_ASSERT_EQUAL (answers_judge (a, &read, &at_9), ANSWER_OWN);
  CU_ASSERT_EQUAL (answers_judge (a, &rollback, &at_5), ANSWER_COPY);
  CU_ASSERT_EQUAL (answers_judge (a, &read, &back), ANSWER_OWN);
  CU_ASSERT_EQUAL (answers_judge (a, &rollback, &at_5), ANSWER_OWN);
  talloc_free (a);
}

/* Guards against a promise for a statement that may have run: where answers
   come twice, an error behind a setting whose answer may have been a copy can
   be that of the setting.  Where none does, it is the statement's, which is
   then not told as unknown. */
static void
error_behind_a_doubtful_setting (void)
{
  struct answer_form set = { .is_replaceable = true };
  struct answer_form write = { .is_signed = true };
  struct answer_received ok = complete ("", SESSION_IDLE, 1);
  struct answer_received written = complete ("s1", SESSION_IDLE, 1);
  struct answer_received busy
      = { .end = ANSWER_ERROR, .outcome = OUTCOME_BUSY, .position = { 1, 1 } };
  for (int copies = 0; copies < 2; copies++)
    {
      struct answers *a = answers_create (NULL);
      CU_ASSERT_EQUAL (answers_judge (a, &set, &ok), ANSWER_OWN);
      CU_ASSERT_EQUAL (answers_judge (a, &write, &written), ANSWER_OWN);
      if (copies)
        CU_ASSERT_EQUAL (answers_judge (a, NULL, &written), ANSWER_COPY);
      CU_ASSERT_EQUAL (answers_judge (a, &set, &ok), ANSWER_OWN);
      CU_ASSERT_EQUAL (answers_judge (a, &write, &busy),
                       copies ? ANSWER_DOUBTFUL : ANSWER_OWN);
      talloc_free (a);
    }
}

/* Guards against rows of one answer that are passed on with another, or lost,
   when a copy comes in the middle of an answer. */
static void
copy_inside_an_answer_is_doubtful (void)
{
  struct answer_form read = { .is_signed = true };
  struct bstr rows[] = { bstr_from ("a"), bstr_from ("b") };
  struct answer_received first = complete ("s1", SESSION_IDLE, 1);
  struct answer_received busy
      = { .end = ANSWER_ERROR, .outcome = OUTCOME_BUSY, .position = { 1, 1 } };
  struct answers *a = answers_create (NULL);
  first.rows = rows;
  first.row_count = 1;
  CU_ASSERT_EQUAL (answers_judge (a, &read, &first), ANSWER_OWN);
  CU_ASSERT_EQUAL (answers_judge (a, &read, &first), ANSWER_COPY);
  first.row_count = 2;
  CU_ASSERT_EQUAL (answers_judge (a, &read, &first), ANSWER_DOUBTFUL);
  CU_ASSERT_EQUAL (answers_judge (a, &read, &busy), ANSWER_OWN);
  busy.rows = rows;
  busy.row_count = 1;
  CU_ASSERT_EQUAL (answers_judge (a, &read, &busy), ANSWER_DOUBTFUL);
  talloc_free (a);
}

static const struct test_case cases[] = {
  { "error_behind_a_doubtful_setting", error_behind_a_doubtful_setting },
  { "copy_inside_an_answer_is_doubtful", copy_inside_an_answer_is_doubtful },
  { "copies_are_no_answers", copies_are_no_answers },
  { "nothing_is_ignored_without_copies", nothing_is_ignored_without_copies },
  { "early_position_is_a_copy", early_position_is_a_copy },
  { "old_signatures_are_known", old_signatures_are_known },
  { "repeated_status_is_doubtful", repeated_status_is_doubtful },
  { "answers_without_position", answers_without_position },
  { "rolled_back_positions_are_no_copies",
    rolled_back_positions_are_no_copies },
  { NULL, NULL },
};

TEST_SUITE (answers, cases)
