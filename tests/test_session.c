/** Whole sessions against golden files.  These contain each line of a caller,
 * whether the session answers or forwards it, and the state after it. */
#include "core/session.h"
#include "platform/wire.h"
#include "tests/script.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

/** One session that a script drives. */
struct fixture
{
  struct session *session;
  struct statement last_statement;
  char *line;
};

/* In the order of enum session_action. */
static const char *const actions[] = { "answer", "refuse", "forward", "open" };

/* Prints the transaction state as I (idle), T (in a transaction) or E
   (failed), and the rest of the session's state. */
static void
print_state (struct script *s, const struct session *session)
{
  script_print (s, "  state=%c values=%d prepared=%d own=%d.%d",
                "ITE"[session->state], session -> value_count,
                session -> prepared_count, (int)session -> own.term,
                (int)session->own.number);
}

static void
decide_line (struct script *s, struct fixture *f)
{
  char *line = talloc_strdup (f->session, "");
  for (int i = 0; i < s->word_count; i++)
    line
        = talloc_asprintf_append (line, "%s%s", i > 0 ? " " : "", s->words[i]);
  talloc_free (f->line);
  f->line = line;
  struct wire_request r = wire_parse_request (bstr_from (line));
  script_print (s, "> %s", line);
  if (r.kind != WIRE_QUERY)
    {
      script_print (s, "  malformed");
      return;
    }
  struct session_step step = session_decide (f->session, &r.statement);
  f->last_statement = r.statement;
  if (step.action == SESSION_REFUSE)
    script_print (s, "  refuse %s", wire_outcome_name (step.outcome));
  else if (step.prepared != NULL)
    script_print (s, "  %s %s shape=%.*s", actions[step.action],
                  step.is_read ? "read" : "write",
                  BSTR_ARG (step.prepared->shape));
  else
    script_print (s, "  %s %s", actions[step.action],
                  step.is_read ? "read" : "write");
  print_state (s, f->session);
}

static void
record_result (struct script *s, struct fixture *f)
{
  int outcome = 0;
  while (outcome < OUTCOME_COUNT
         && strcmp (wire_outcome_name ((enum outcome)outcome), s->words[1])
                != 0)
    outcome++;
  CU_ASSERT_TRUE_FATAL (outcome < OUTCOME_COUNT);
  struct position position = { 0, 0 };
  if (s->word_count > 2)
    position = (struct position){ 1, strtoull (s->words[2], NULL, 10) };
  session_record_result (f->session, &f->last_statement, (enum outcome)outcome,
                         position);
  script_print (s, "< %s", s->words[1]);
  print_state (s, f->session);
}

static void
run_line (struct script *s, void *context)
{
  struct fixture *f = context;
  if (strcmp (s->words[0], "result") == 0)
    record_result (s, f);
  else
    decide_line (s, f);
}

static void
run_session (const char *name)
{
  struct fixture f = { .session = session_create (NULL) };
  char golden[64];
  snprintf (golden, sizeof golden, "%s", name);
  script_run (name, golden, run_line, &f);
  talloc_free (f.session);
}

static void
values_and_prepared_statements (void)
{
  run_session ("session-values.txt");
}

static void
transactions (void)
{
  run_session ("session-transactions.txt");
}

/* Guards against a caller that exhausts the memory with values and prepared
   statements. */
static void
memory_of_a_session_is_bounded (void)
{
  struct session *s = session_create (NULL);
  int refused = 0;
  for (int i = 0; i < 2000; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      struct statement set = { .verb = VERB_SET,
                               .name = bstr_from (name),
                               .rest = bstr_from ("v") };
      struct statement prepare = { .verb = VERB_PREPARE,
                                   .name = bstr_from (name),
                                   .rest = bstr_from ("shape") };
      refused += session_decide (s, &set).action == SESSION_REFUSE;
      refused += session_decide (s, &prepare).action == SESSION_REFUSE;
    }
  CU_ASSERT_EQUAL (s->value_count, SESSION_MAX_VALUES);
  CU_ASSERT_EQUAL (s->prepared_count, SESSION_MAX_PREPARED);
  CU_ASSERT_EQUAL (refused, 4000 - SESSION_MAX_VALUES - SESSION_MAX_PREPARED);
  talloc_free (s);
}

/* Guards against a prepared statement that is lost when its name is refused a
   larger one. */
static void
refused_prepare_keeps_the_old_one (void)
{
  struct session *s = session_create (NULL);
  char *large = talloc_zero_array (s, char, SESSION_MAX_BYTES);
  struct statement prepare = { .verb = VERB_PREPARE,
                               .name = bstr_from ("s1"),
                               .rest = bstr_from ("shape") };
  struct statement execute = { .verb = VERB_EXECUTE,
                               .name = bstr_from ("s1"),
                               .rest = bstr_from ("item") };
  CU_ASSERT_EQUAL (session_decide (s, &prepare).action, SESSION_ANSWER);
  prepare.rest = (struct bstr){ large, SESSION_MAX_BYTES };
  CU_ASSERT_EQUAL (session_decide (s, &prepare).action, SESSION_REFUSE);
  struct session_step step = session_decide (s, &execute);
  CU_ASSERT_PTR_NOT_NULL_FATAL (step.prepared);
  CU_ASSERT_TRUE (bstr_equals_text (step.prepared->shape, "shape"));
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "values_and_prepared_statements", values_and_prepared_statements },
  { "transactions", transactions },
  { "memory_of_a_session_is_bounded", memory_of_a_session_is_bounded },
  { "refused_prepare_keeps_the_old_one", refused_prepare_keeps_the_old_one },
  { NULL, NULL },
};

TEST_SUITE (session, cases)
