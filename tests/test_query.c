#include "common/json_text.h"
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

static const struct test_case cases[] = {
  { "comments_do_not_hide_a_statement", comments_do_not_hide_a_statement },
  { "messages_hold_whole_characters", messages_hold_whole_characters },
  { "messages_need_no_utf8", messages_need_no_utf8 },
  { NULL, NULL },
};
TEST_SUITE (query, cases)
