#include "common/json_lenient.h"
#include "tests/tests.h"

#include <stdlib.h>

static const char *const split[]
    = { "items", "events", "object", "meta", NULL };

static json_t *
parse (const char *text, size_t *unreadable)
{
  return json_lenient_parse (bstr_from (text), split, unreadable);
}

/* @return @p count times @p part, owned by @p parent. */
static char *
repeat (void *parent, const char *part, size_t count)
{
  size_t len = strlen (part);
  char *text = talloc_array (parent, char, len *count + 1);
  for (size_t i = 0; i < count; i++)
    memcpy (text + i * len, part, len);
  text[len * count] = '\0';
  return text;
}

static json_t *
member (json_t *list, size_t i, const char *name)
{
  return json_object_get (json_array_get (json_object_get (list, "items"), i),
                          name);
}

static void
check_odd_spec (const char *spec)
{
  size_t unreadable;
  char *text = talloc_asprintf (
      NULL,
      "{\"items\":[{\"meta\":{\"name\":\"a\"},\"spec\":{\"n\":1}},\n"
      "{\"meta\":{\"name\":\"odd\",\"revision\":7},\"spec\":%s},"
      "{\"meta\":{\"name\":\"z\"},\"spec\":{\"n\":2}}],"
      "\"has-more\":false,\"store-revision\":9}",
      spec);
  json_t *list = parse (text, &unreadable);
  CU_ASSERT_PTR_NOT_NULL (list);
  CU_ASSERT_EQUAL (unreadable, 1);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (list, "items")), 3);
  CU_ASSERT_TRUE (json_is_null (member (list, 1, "spec")));
  json_t *meta = member (list, 1, "meta");
  const char *name = json_string_value (json_object_get (meta, "name"));
  CU_ASSERT_TRUE (name != NULL && strcmp (name, "odd") == 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (meta, "revision")), 7);
  for (size_t i = 0; i < 3; i += 2)
    CU_ASSERT_EQUAL (
        json_integer_value (json_object_get (member (list, i, "spec"), "n")),
        i == 0 ? 1 : 2);
  CU_ASSERT_EQUAL (
      json_integer_value (json_object_get (list, "store-revision")), 9);
  json_decref (list);
  talloc_free (text);
}

/* Guards against one entry that makes a whole list unreadable. */
static void
odd_value_costs_only_itself (void)
{
  void *scratch = talloc_new (NULL);
  char *open = repeat (scratch, "[", 100000);
  char *close = repeat (scratch, "]", 100000);
  check_odd_spec ("{\"slots\":123456789012345678901234567890}");
  check_odd_spec ("{\"slots\":-9223372036854775809}");
  check_odd_spec ("{\"rate\":1e999}");
  check_odd_spec ("{\"text\":\"\\u0000\"}");
  check_odd_spec ("{\"text\":\"\\ud800\"}");
  check_odd_spec ("{\"text\":\"\xff\xfe\"}");
  check_odd_spec ("{\"\xff\":1}");
  check_odd_spec ("{\"text\":\"a\nb\"}");
  check_odd_spec ("{\"a\":1,}");
  check_odd_spec ("nonsense");
  check_odd_spec ("{\"text\":\"]}\\\"]},{\\\\\",\"n\":1e999}");
  check_odd_spec (talloc_asprintf (scratch, "%s%s", open, close));
  check_odd_spec (talloc_asprintf (scratch, "{\"a\":%s1%s}", open, close));
  talloc_free (scratch);
}

/* Guards against an event whose unreadable object loses its name, so that the
   old entry of that name stays in use. */
static void
event_keeps_the_name (void)
{
  size_t unreadable;
  json_t *body = parse (
      "{\"events\":[{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"a\","
      "\"revision\":8,\"odd\":1e999,\"\\u0000\":1},\"spec\":{\"n\":1e999},"
      "\"status\":null}}],\"store-revision\":8}",
      &unreadable);
  CU_ASSERT_PTR_NOT_NULL_FATAL (body);
  CU_ASSERT_EQUAL (unreadable, 3);
  json_t *object = json_object_get (
      json_array_get (json_object_get (body, "events"), 0), "object");
  json_t *meta = json_object_get (object, "meta");
  const char *name = json_string_value (json_object_get (meta, "name"));
  CU_ASSERT_TRUE (name != NULL && strcmp (name, "a") == 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (meta, "revision")), 8);
  CU_ASSERT_TRUE (json_is_null (json_object_get (meta, "odd")));
  CU_ASSERT_TRUE (json_is_null (json_object_get (object, "spec")));
  json_decref (body);
}

/* Guards against a cut or malformed answer that is taken for a shorter list.
 */
static void
broken_answer_is_refused (void)
{
  static const char whole[]
      = "{\"items\":[{\"meta\":{\"name\":\"a\"},\"spec\":{\"n\":1e999}},"
        "{\"meta\":{\"name\":\"b]\"},\"spec\":[1,2]}],\"store-revision\":9}";
  static const char *const broken[]
      = { "",          " ",           "7",
          "null",      "\"text\"",    "{]",
          "[1e999}",   "[1e999],[1]", "[1e999,]",
          "[,1e999]",  "{1e999}",     "{\"a\"1e999}",
          "{\"a\":}",  "[\"",         "[\"a\\\"]",
          "[1e999]]",  "1e999",       "{\"a\":1e999,}",
          "{a:1e999}", "[1e999] 1" };
  size_t unreadable;
  json_t *json = parse (whole, &unreadable);
  CU_ASSERT_TRUE (json != NULL && unreadable == 1);
  json_decref (json);
  for (size_t len = 0; len < sizeof whole - 1; len++)
    {
      json = json_lenient_parse ((struct bstr){ whole, len }, split,
                                 &unreadable);
      CU_ASSERT_PTR_NULL (json);
      json_decref (json);
    }
  for (size_t i = 0; i < sizeof broken / sizeof broken[0]; i++)
    {
      json = parse (broken[i], &unreadable);
      CU_ASSERT_TRUE (json == NULL && unreadable == 0);
      json_decref (json);
    }
}

/* Guards against a value that is readable within a list, but not in a copy of
   the list's items for another daemon. */
static void
copy_of_a_list_is_readable (void)
{
  void *scratch = talloc_new (NULL);
  size_t unreadable;
  for (size_t nesting = 2030; nesting < 2050; nesting++)
    {
      char *text = talloc_asprintf (
          scratch,
          "{\"items\":[{\"meta\":{\"name\":\"a\"},\"spec\":%s1%s},"
          "{\"meta\":{\"name\":\"b\"},\"spec\":1e999}]}",
          repeat (scratch, "[", nesting), repeat (scratch, "]", nesting));
      json_t *list = parse (text, &unreadable);
      CU_ASSERT_PTR_NOT_NULL_FATAL (list);
      CU_ASSERT_TRUE (unreadable == 1 || unreadable == 2);
      json_t *items = json_object (), *again;
      json_object_set (items, "a",
                       json_array_get (json_object_get (list, "items"), 0));
      char *copy = json_dumps (items, JSON_COMPACT);
      again = json_loads (copy, 0, NULL);
      CU_ASSERT_TRUE (json_equal (items, again));
      free (copy);
      json_decref (again);
      json_decref (items);
      json_decref (list);
    }
  talloc_free (scratch);
}

/* Guards against containers that are split without a bound on the depth, which
   would exhaust the stack. */
static void
depth_of_splitting_is_bounded (void)
{
  void *scratch = talloc_new (NULL);
  size_t unreadable;
  char *text = talloc_asprintf (scratch, "%s1e999%s",
                                repeat (scratch, "{\"meta\":", 200000),
                                repeat (scratch, "}", 200000));
  json_t *json = parse (text, &unreadable);
  CU_ASSERT_TRUE (json_is_object (json));
  CU_ASSERT_EQUAL (unreadable, 1);
  json_decref (json);
  text = repeat (scratch, "[", 1000000);
  CU_ASSERT_PTR_NULL (parse (text, &unreadable));
  talloc_free (scratch);
}

/* Guards against names of other writers that decide what is split. */
static void
other_members_are_whole (void)
{
  size_t unreadable;
  json_t *json = parse (
      "{\"a\":{\"b\":1,\"c\":1e999},\"d\":[1,1e999],\"e\":2}", &unreadable);
  json_t *expected = json_pack ("{s:n, s:n, s:i}", "a", "d", "e", 2);
  CU_ASSERT_TRUE (json_equal (json, expected));
  CU_ASSERT_EQUAL (unreadable, 2);
  json_decref (expected);
  json_decref (json);
}

static const struct test_case cases[] = {
  { "odd_value_costs_only_itself", odd_value_costs_only_itself },
  { "event_keeps_the_name", event_keeps_the_name },
  { "broken_answer_is_refused", broken_answer_is_refused },
  { "copy_of_a_list_is_readable", copy_of_a_list_is_readable },
  { "depth_of_splitting_is_bounded", depth_of_splitting_is_bounded },
  { "other_members_are_whole", other_members_are_whole },
  { NULL, NULL },
};
TEST_SUITE (json_lenient, cases)
