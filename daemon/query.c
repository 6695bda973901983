#include "daemon/query.h"

#include "common/clock.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* Statements that callers may not run, as they would end or change the
   daemon's own transaction, or leave state in the database session after
   it. */
static const char *const forbidden_statements[] = {
  "abort",   "begin",    "checkpoint", "close",   "commit",  "copy",
  "declare", "discard",  "end",        "execute", "fetch",   "listen",
  "load",    "lock",     "move",       "notify",  "prepare", "release",
  "reset",   "rollback", "savepoint",  "set",     "start",   "unlisten",
};

/* Field names of the body (indices 0 to 5) and of a statement (6 and 7). */
static const char *const field_names[]
    = { "service",     "mode",       "freshness", "idempotency_key",
        "deadline_ms", "statements", "sql",       "params" };

/* Releases the parsed body, which owns the query's strings, when the query is
   freed. */
static int
json_holder_destructor (json_t **holder)
{
  json_decref (*holder);
  return 0;
}

/* Skips a block comment by PostgreSQL's rules: block comments nest.
   @return NULL if the comment does not end. */
static const char *
skip_comment (const char *sql)
{
  int depth = 0;
  do
    {
      bool opens = strncmp (sql, "/*", 2) == 0;
      bool closes = strncmp (sql, "*/", 2) == 0;
      if (*sql == '\0')
        return NULL;
      depth += opens ? 1 : closes ? -1 : 0;
      sql += opens || closes ? 2 : 1;
    }
  while (depth > 0);
  return sql;
}

/* Skips white space, comments, '(' and ';' before the first word.  It must
   follow PostgreSQL's rules: a difference would let a caller hide COMMIT from
   is_forbidden. */
static const char *
skip_to_first_word (const char *sql)
{
  for (;;)
    {
      while (isspace ((unsigned char)*sql) || *sql == '(' || *sql == ';')
        sql++;
      if (strncmp (sql, "--", 2) == 0)
        sql += strcspn (sql, "\r\n");
      else if (strncmp (sql, "/*", 2) == 0)
        {
          sql = skip_comment (sql);
          if (sql == NULL)
            return "";
        }
      else
        return sql;
    }
}

/* Returns whether the first word of a statement is one of
   forbidden_statements, and that word. */
static bool
is_forbidden (const char *sql, const char **word)
{
  sql = skip_to_first_word (sql);
  size_t len = 0;
  while (isalpha ((unsigned char)sql[len]))
    len++;
  for (size_t i = 0;
       i < sizeof forbidden_statements / sizeof forbidden_statements[0]; i++)
    if (strlen (forbidden_statements[i]) == len
        && strncasecmp (sql, forbidden_statements[i], len) == 0)
      {
        *word = forbidden_statements[i];
        return true;
      }
  return false;
}

/* Checks that all fields are among field_names[first] to [last]. */
static bool
check_field_names (const json_t *object, unsigned first, unsigned last,
                   struct error *err)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)(uintptr_t)object, name, value)
  {
    bool known = false;
    for (unsigned i = first; i <= last; i++)
      known = known || strcmp (name, field_names[i]) == 0;
    if (!known)
      return error_set (err, ERROR_INVALID, "field \"%.*s\" is unknown",
                        BSTR_ARG (bstr_cut (bstr_from (name), 40)));
  }
  return true;
}

bool
query_is_text (struct bstr text)
{
  json_t *json = json_stringn (text.start, text.len);
  bool is_utf8 = json != NULL;
  json_decref (json);
  return is_utf8 && memchr (text.start, 0, text.len) == NULL;
}

/* Reads an optional string field; a missing one is empty. */
static bool
get_text (const json_t *json, const char *name, struct bstr *text,
          struct error *err)
{
  const json_t *value = json_object_get (json, name);
  *text = (struct bstr){ "", 0 };
  if (value == NULL)
    return true;
  if (!json_is_string (value))
    return error_set (err, ERROR_INVALID, "\"%s\" must be a string", name);
  *text
      = (struct bstr){ json_string_value (value), json_string_length (value) };
  if (memchr (text->start, 0, text->len) != NULL)
    return error_set (err, ERROR_INVALID, "\"%s\" contains a NUL character",
                      name);
  return true;
}

static bool
parse_freshness (struct query *q, struct bstr text, struct error *err)
{
  char *end;
  if (text.len == 0 || bstr_equals_text (text, "read-your-writes"))
    q->freshness = FRESHNESS_READ_YOUR_WRITES;
  else if (bstr_equals_text (text, "any"))
    q->freshness = FRESHNESS_ANY;
  else if (bstr_starts_with (text, "bounded:")
           && isdigit ((unsigned char)text.start[8]))
    {
      q->freshness = FRESHNESS_BOUNDED;
      long ms = strtol (text.start + 8, &end, 10);
      if (*end != '\0' || ms > QUERY_MAX_DEADLINE_MS)
        return error_set (err, ERROR_INVALID,
                          "\"freshness\" bounded:<ms> needs 0 to %d",
                          QUERY_MAX_DEADLINE_MS);
      q->max_staleness_us = ms * USEC_PER_MSEC;
    }
  else
    return error_set (err, ERROR_INVALID,
                      "\"freshness\" must be read-your-writes, bounded:<ms> "
                      "or any");
  return true;
}

static bool
parse_mode (struct query *q, struct bstr text, struct error *err)
{
  q->is_read = bstr_equals_text (text, "read");
  if (!q->is_read && !bstr_equals_text (text, "write"))
    return error_set (err, ERROR_INVALID, "\"mode\" must be read or write");
  return true;
}

static bool
parse_deadline (struct query *q, const json_t *json, struct error *err)
{
  const json_t *value = json_object_get (json, "deadline_ms");
  if (value == NULL)
    return true;
  q->deadline_ms = json_integer_value (value);
  if (!json_is_integer (value) || q->deadline_ms < 1
      || q->deadline_ms > QUERY_MAX_DEADLINE_MS)
    return error_set (err, ERROR_INVALID,
                      "\"deadline_ms\" must be an integer from 1 to %d",
                      QUERY_MAX_DEADLINE_MS);
  return true;
}

/* Converts a parameter to text.
   @return false for arrays, objects and strings with a NUL character. */
static bool
parse_param (void *parent, const json_t *value, const char **param)
{
  switch (json_typeof (value))
    {
    case JSON_STRING:
      *param = json_string_value (value);
      return memchr (*param, 0, json_string_length (value)) == NULL;
    case JSON_INTEGER:
      *param = talloc_asprintf (parent, "%" JSON_INTEGER_FORMAT,
                                json_integer_value (value));
      return true;
    case JSON_REAL:
      *param = talloc_asprintf (parent, "%.17g", json_real_value (value));
      return true;
    case JSON_TRUE:
      *param = "true";
      return true;
    case JSON_FALSE:
      *param = "false";
      return true;
    case JSON_NULL:
      *param = NULL;
      return true;
    default:
      return false;
    }
}

static bool
parse_statement (struct query *q, const json_t *json, struct error *err)
{
  struct query_statement *s = &q->statements[q->statement_count];
  const json_t *params = json_object_get (json, "params");
  const char *word;
  struct bstr sql;
  int number = q->statement_count + 1;
  if (!json_is_object (json))
    return error_set (err, ERROR_INVALID, "statement %d must be an object",
                      number);
  if (!check_field_names (json, 6, 7, err)
      || !get_text (json, "sql", &sql, err))
    return false;
  if (sql.len == 0 || *skip_to_first_word (sql.start) == '\0')
    return error_set (err, ERROR_INVALID, "statement %d has no \"sql\"",
                      number);
  if (is_forbidden (sql.start, &word))
    return error_set (err, ERROR_REFUSED,
                      "statement %d: \"%s\" is not allowed; the proxy owns "
                      "the transaction and the session",
                      number, word);
  size_t count = json_array_size (params);
  if ((params != NULL && !json_is_array (params)) || count > QUERY_MAX_PARAMS)
    return error_set (err, ERROR_INVALID,
                      "statement %d: \"params\" must be an array of at most "
                      "%d values",
                      number, QUERY_MAX_PARAMS);
  s->sql = sql.start;
  s->params = talloc_zero_array (q, const char *, count);
  for (size_t i = 0; i < count; i++)
    if (!parse_param (q, json_array_get (params, i), &s->params[i]))
      return error_set (err, ERROR_INVALID,
                        "statement %d: parameter %zu must be a string, a "
                        "number, a boolean or null",
                        number, i + 1);
  s->param_count = (int)count;
  q->statement_count++;
  return true;
}

static bool
parse_statements (struct query *q, const json_t *json, struct error *err)
{
  const json_t *list = json_object_get (json, "statements");
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count < 1 || count > CALL_MAX_STATEMENTS)
    return error_set (err, ERROR_INVALID,
                      "\"statements\" must be an array of 1 to %d statements",
                      CALL_MAX_STATEMENTS);
  for (size_t i = 0; i < count; i++)
    if (!parse_statement (q, json_array_get (list, i), err))
      return false;
  return true;
}

struct query *
query_parse (void *parent, struct bstr body, struct error *err)
{
  struct query *q = talloc_zero (parent, struct query);
  struct bstr mode, freshness;
  json_error_t where;
  json_t **holder = talloc (q, json_t *);
  *holder = json_loadb (body.start != NULL ? body.start : "", body.len,
                        JSON_REJECT_DUPLICATES, &where);
  talloc_set_destructor (holder, json_holder_destructor);
  json_t *json = *holder;
  if (json == NULL)
    {
      error_set (err, ERROR_INVALID, "body is not JSON: line %d column %d: %s",
                 where.line, where.column, where.text);
      goto fail;
    }
  if (!json_is_object (json))
    {
      error_set (err, ERROR_INVALID, "body must be a JSON object");
      goto fail;
    }
  if (!check_field_names (json, 0, 5, err)
      || !get_text (json, "service", &q->service, err)
      || !get_text (json, "mode", &mode, err)
      || !get_text (json, "freshness", &freshness, err)
      || !get_text (json, "idempotency_key", &q->key, err)
      || !parse_mode (q, mode, err) || !parse_freshness (q, freshness, err)
      || !parse_deadline (q, json, err) || !parse_statements (q, json, err))
    goto fail;
  if (q->key.len > QUERY_MAX_KEY_BYTES)
    {
      error_set (err, ERROR_INVALID,
                 "\"idempotency_key\" has %zu bytes, at most %d are allowed",
                 q->key.len, QUERY_MAX_KEY_BYTES);
      goto fail;
    }
  if (q->is_read && q->key.len > 0)
    {
      error_set (err, ERROR_INVALID, "\"idempotency_key\" is for writes only");
      goto fail;
    }
  return q;
fail:
  talloc_free (q);
  return NULL;
}
