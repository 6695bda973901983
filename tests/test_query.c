#include "common/json_text.h"
#include "daemon/call.h"
#include "daemon/query.h"
#include "tests/tests.h"

#include <jansson.h>

/* Parses the body of a write with one statement.
   @return the code of the error, ERROR_NONE for none. */
static enum error_code
parse_sql (const char *sql)
{
  struct error err = { 0 };
  void *scratch = talloc_new (NULL);
  json_t *json = json_pack ("{s:s, s:[{s:s}]}", "mode", "write", "statements",
                            "sql", sql);
  char *body = json_dumps (json, 0);
  query_parse (scratch, bstr_from (body), &err);
  free (body);
  json_decref (json);
  talloc_free (scratch);
  return err.code;
}

/* Guards against a caller that ends the daemon's own transaction by a
   statement after a comment: in PostgreSQL block comments nest, and a carriage
   return ends a line comment. */
static void
comments_do_not_hide_a_statement (void)
{
  static const char *const refused[] = {
    "COMMIT",
    " ;( commit",
    "/* a */ COMMIT",
    "/* /* a */ */ COMMIT",
    "/*/**/*/COMMIT",
    "/* a */ -- b\nROLLBACK",
    "-- a\rCOMMIT /*\n x */",
    "--\r\nset a = 1",
  };
  static const char *const allowed[] = {
    "SELECT 1",
    "/* /* COMMIT */ COMMIT */ SELECT 1",
    "-- COMMIT\nSELECT 1",
    "committed",
  };
  for (size_t i = 0; i < sizeof refused / sizeof refused[0]; i++)
    CU_ASSERT_EQUAL (parse_sql (refused[i]), ERROR_REFUSED);
  for (size_t i = 0; i < sizeof allowed / sizeof allowed[0]; i++)
    CU_ASSERT_EQUAL (parse_sql (allowed[i]), ERROR_NONE);
  CU_ASSERT_EQUAL (parse_sql ("/* /* a */ COMMIT"), ERROR_INVALID);
  CU_ASSERT_EQUAL (parse_sql ("/*"), ERROR_INVALID);
}

/* Guards against an error reply without its message: a message that is cut
   inside a UTF-8 character cannot become a JSON string. */
static void
messages_hold_whole_characters (void)
{
  struct error err = { 0 };
  char body[80] = "{\"";
  for (int i = 0; i < 30; i++)
    strcat (body, "\xC3\xA9");
  strcat (body, "\":1}");
  memmove (body + 3, body + 2, strlen (body) - 1);
  body[2] = 'x'; /* The 40th byte is inside a character. */
  CU_ASSERT_PTR_NULL (query_parse (NULL, bstr_from (body), &err));
  json_t *json = json_string (err.text);
  CU_ASSERT_PTR_NOT_NULL (json);
  json_decref (json);
}

/* Guards against a text that is cut at a NUL and run as another statement, or
   with another value, key or service.  Bytes of other kinds stay. */
static void
texts_are_whole_or_refused (void)
{
  static const char *const wholes[]
      = { "\\u0001\\u001f\\u007f", "a\\n\\r\\t b", "'\\\"`\\\\$1",
          "\\uD83D\\uDE42\xC3\xA9", "\\u2028 " };
  static const struct bstr refused[]
      = { { "a\\u0000b", 8 }, { "\\u0000", 6 },  { "a\0b", 3 },
          { "a\nb", 3 },      { "\xFF", 1 },     { "\xED\xA0\x80", 3 },
          { "\\uD800", 6 },   { "\xC0\x80", 2 }, { "a\x1F", 2 } };
  static const char *const parts[]
      = { "{\"service\":\"s", "\",\"mode\":\"write\",\"idempotency_key\":\"k",
          "\",\"statements\":[{\"sql\":\"SELECT 1 ", "\",\"params\":[\"p",
          "\"]}]}" };
  const int whole_count = (int)(sizeof wholes / sizeof wholes[0]);
  const int refused_count = (int)(sizeof refused / sizeof refused[0]);
  for (int place = 0; place < 4; place++)
    for (int i = 0; i < whole_count + refused_count; i++)
      {
        struct error err = { 0 };
        char body[300];
        size_t len = 0;
        struct bstr text = i < whole_count ? bstr_from (wholes[i])
                                           : refused[i - whole_count];
        for (int k = 0; k < 5; k++)
          {
            memcpy (body + len, parts[k], strlen (parts[k]));
            len += strlen (parts[k]);
            if (k == place)
              {
                memcpy (body + len, text.start, text.len);
                len += text.len;
              }
          }
        struct query *q = query_parse (NULL, (struct bstr){ body, len }, &err);
        if (i >= whole_count)
          {
            CU_ASSERT_PTR_NULL (q);
            CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
            talloc_free (q);
            continue;
          }
        CU_ASSERT_PTR_NOT_NULL_FATAL (q);
        const struct bstr texts[]
            = { q->service, q->key, bstr_from (q->statements[0].sql + 9),
                bstr_from (q->statements[0].params[0]) };
        char *quoted = talloc_asprintf (q, "\"%s\"", wholes[i]);
        json_t *json = json_loads (quoted, JSON_DECODE_ANY, NULL);
        size_t first = place == 2 ? 0 : 1;
        CU_ASSERT (bstr_equals (bstr_skip (texts[place], first),
                                (struct bstr){ json_string_value (json),
                                               json_string_length (json) }));
        json_decref (json);
        talloc_free (q);
      }
}

/* Guards against an error reply without its message, the text of a server that
   does not use UTF-8. */
static void
messages_need_no_utf8 (void)
{
  static const char *const texts[][2] = {
    { "", "" },
    { "caf\xC3\xA9 \xF0\x9F\x99\x82", "caf\xC3\xA9 \xF0\x9F\x99\x82" },
    { "caf\xE9", "caf\xEF\xBF\xBD" },
    { "\xFF\"\n\xC3", "\xEF\xBF\xBD\"\n\xEF\xBF\xBD" },
    { "\xED\xA0\x80 \xC3\xA9",
      "\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD \xC3\xA9" },
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      json_t *json = json_text_readable (bstr_from (texts[i][0]));
      CU_ASSERT_PTR_NOT_NULL_FATAL (json);
      CU_ASSERT_STRING_EQUAL (json_string_value (json), texts[i][1]);
      json_decref (json);
    }
}

/* @return a result with one column of these bytes. */
static PGresult *
make_result (struct bstr name, struct bstr value)
{
  PGresult *result = PQmakeEmptyPGresult (NULL, PGRES_TUPLES_OK);
  char *text = bstr_to_text (NULL, name);
  PGresAttDesc column = { .name = text, .typid = 25, .typlen = -1 };
  CU_ASSERT_EQUAL_FATAL (PQsetResultAttrs (result, 1, &column), 1);
  CU_ASSERT_EQUAL_FATAL (PQsetvalue (result, 0, 0,
                                     (char *)(uintptr_t)value.start,
                                     (int)value.len),
                         1);
  talloc_free (text);
  return result;
}

/* Guards against rows and names of columns that are cut or missing in an
   answer. */
static void
results_are_whole_or_none (void)
{
  static const struct
  {
    struct bstr name, value;
    bool whole;
  } results[] = {
    { { "n", 1 }, { "a\"\\\n\r\x01\x7F'b", 9 }, true },
    { { "\"n\"\n", 4 }, { "", 0 }, true },
    { { "\xC3\xA9", 2 }, { "\xF0\x9F\x99\x82", 4 }, true },
    { { "n", 1 }, { "ab\0cd", 5 }, true },
    { { "n", 1 }, { "caf\xE9", 4 }, false },
    { { "caf\xE9", 4 }, { "x", 1 }, false },
  };
  for (size_t i = 0; i < sizeof results / sizeof results[0]; i++)
    {
      PGresult *result = make_result (results[i].name, results[i].value);
      json_t *json = call_result_json (result);
      CU_ASSERT_EQUAL (json != NULL, results[i].whole);
      struct bstr text = json_text_take (NULL, json, JSON_COMPACT);
      json = json_loadb (text.start, text.len, JSON_ALLOW_NUL, NULL);
      CU_ASSERT_EQUAL (json != NULL, results[i].whole);
      const json_t *name
          = json_array_get (json_object_get (json, "columns"), 0);
      const json_t *value = json_array_get (
          json_array_get (json_object_get (json, "rows"), 0), 0);
      CU_ASSERT (!results[i].whole
                 || (json_string_length (name) == results[i].name.len
                     && json_string_length (value) == results[i].value.len
                     && memcmp (json_string_value (value),
                                results[i].value.start, results[i].value.len)
                            == 0));
      json_decref (json);
      talloc_free ((char *)(uintptr_t)text.start);
      PQclear (result);
    }
}

static const struct test_case cases[] = {
  { "comments_do_not_hide_a_statement", comments_do_not_hide_a_statement },
  { "messages_hold_whole_characters", messages_hold_whole_characters },
  { "texts_are_whole_or_refused", texts_are_whole_or_refused },
  { "messages_need_no_utf8", messages_need_no_utf8 },
  { "results_are_whole_or_none", results_are_whole_or_none },
  { NULL, NULL },
};
TEST_SUITE (query, cases)
