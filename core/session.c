#include "core/session.h"

struct session *
session_create (void *parent)
{
  return talloc_zero (parent, struct session);
}

static struct session_step
refuse_statement (enum outcome outcome)
{
  return (struct session_step){ .action = SESSION_REFUSE, .outcome = outcome };
}

static struct session_step
set_value (struct session *s, const struct statement *statement)
{
  int i = 0;
  while (i < s->value_count
         && !bstr_equals (s->values[i].name, statement->name))
    i++;
  size_t old_bytes = i < s->value_count
                         ? s->values[i].name.len + s->values[i].value.len
                         : 0;
  size_t bytes = statement->name.len + statement->rest.len;
  if (i == SESSION_MAX_VALUES
      || s->bytes - old_bytes + bytes > SESSION_MAX_BYTES)
    return refuse_statement (OUTCOME_FAILED);
  s->bytes += bytes - old_bytes;
  if (i == s->value_count)
    {
      s->values = talloc_realloc (s, s->values, struct session_value, i + 1);
      s->values[i].name = bstr_copy (s, statement->name);
      s->value_count++;
    }
  else
    talloc_free ((char *)s->values[i].value.start);
  s->values[i].value = bstr_copy (s, statement->rest);
  s->values_changed = true;
  return (struct session_step){ .action = SESSION_ANSWER };
}

static int
find_prepared (const struct session *s, struct bstr name)
{
  for (int i = 0; i < s->prepared_count; i++)
    if (bstr_equals (s->prepared[i].name, name))
      return i;
  return -1;
}

static void
drop_prepared (struct session *s, int i)
{
  s->bytes -= s->prepared[i].name.len + s->prepared[i].shape.len;
  talloc_free ((char *)s->prepared[i].name.start);
  talloc_free ((char *)s->prepared[i].shape.start);
  s->prepared[i] = s->prepared[--s->prepared_count];
}

static struct session_step
prepare_statement (struct session *s, const struct statement *statement)
{
  int i = find_prepared (s, statement->name);
  size_t old_bytes
      = i >= 0 ? s->prepared[i].name.len + s->prepared[i].shape.len : 0;
  size_t bytes = statement->name.len + statement->rest.len;
  if ((i < 0 && s->prepared_count == SESSION_MAX_PREPARED)
      || s->bytes - old_bytes + bytes > SESSION_MAX_BYTES)
    return refuse_statement (OUTCOME_FAILED);
  if (i >= 0)
    drop_prepared (s, i);
  s->bytes += bytes;
  s->prepared = talloc_realloc (s, s->prepared, struct session_prepared,
                                s->prepared_count + 1);
  s->prepared[s->prepared_count++] = (struct session_prepared){
    .name = bstr_copy (s, statement->name),
    .shape = bstr_copy (s, statement->rest),
    .reads_only = statement->reads_only,
  };
  return (struct session_step){ .action = SESSION_ANSWER };
}

static struct session_step
forward_statement (struct session *s, const struct statement *statement)
{
  struct session_step step = { .action = SESSION_FORWARD };
  if (statement->verb == VERB_EXECUTE)
    {
      int i = find_prepared (s, statement->name);
      if (i < 0)
        return refuse_statement (OUTCOME_NOT_PREPARED);
      step.prepared = &s->prepared[i];
      step.is_read = step.prepared->reads_only;
    }
  else
    step.is_read = statement->verb == VERB_READ;
  if (s->state == SESSION_IN_TRANSACTION && statement->verb != VERB_COMMIT
      && !step.is_read)
    s->has_written = true;
  return step;
}

/* Decides about a statement in a failed transaction, which only accepts its
   end. */
static struct session_step
decide_in_failed_transaction (struct session *s,
                              const struct statement *statement)
{
  if (statement->verb == VERB_ROLLBACK)
    {
      s->state = SESSION_IDLE;
      return (struct session_step){ .action = SESSION_ANSWER };
    }
  if (statement->verb != VERB_COMMIT)
    return refuse_statement (OUTCOME_MALFORMED);
  s->state = SESSION_IDLE;
  return refuse_statement (OUTCOME_ABORTED);
}

struct session_step
session_decide (struct session *s, const struct statement *statement)
{
  if (s->state == SESSION_FAILED)
    return decide_in_failed_transaction (s, statement);
  int i;
  switch (statement->verb)
    {
    case VERB_SET:
      return set_value (s, statement);
    case VERB_PREPARE:
      return prepare_statement (s, statement);
    case VERB_DEALLOCATE:
      i = find_prepared (s, statement->name);
      if (i < 0)
        return refuse_statement (OUTCOME_NOT_PREPARED);
      drop_prepared (s, i);
      return (struct session_step){ .action = SESSION_ANSWER };
    case VERB_BEGIN:
      if (s->state != SESSION_IDLE)
        return refuse_statement (OUTCOME_MALFORMED);
      s->state = SESSION_IN_TRANSACTION;
      s->has_written = false;
      return (struct session_step){ .action = SESSION_OPEN,
                                    .is_read = statement->reads_only };
    case VERB_COMMIT:
    case VERB_ROLLBACK:
      if (s->state != SESSION_IN_TRANSACTION)
        return refuse_statement (OUTCOME_MALFORMED);
      return forward_statement (s, statement);
    default:
      return forward_statement (s, statement);
    }
}

void
session_record_result (struct session *s, const struct statement *statement,
                       enum outcome outcome, struct position position)
{
  bool ends
      = statement->verb == VERB_COMMIT || statement->verb == VERB_ROLLBACK;
  bool wrote = s->state == SESSION_IDLE || s->has_written;
  if (ends)
    s->state = SESSION_IDLE;
  else if (s->state == SESSION_IN_TRANSACTION && outcome != OUTCOME_OK)
    s->state = SESSION_FAILED;
  /* A read outside a transaction updates the position too, so that later reads
     need a log that is as new as one that the caller has already seen. */
  if (outcome == OUTCOME_OK && wrote && s->state == SESSION_IDLE
      && statement->verb != VERB_ROLLBACK)
    s->own = position_max (s->own, position);
}

void
session_fail_transaction (struct session *s)
{
  if (s->state == SESSION_IN_TRANSACTION)
    s->state = SESSION_FAILED;
}
