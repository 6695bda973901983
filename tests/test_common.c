#include "common/address.h"
#include "common/compress.h"
#include "common/error.h"
#include "common/json_number.h"
#include "common/log.h"
#include "common/sorted.h"
#include "common/stats.h"
#include "tests/tests.h"

/* Guards against a layer that hides the cause of an error. */
static void
wrap_keeps_the_cause (void)
{
  struct error err = { 0 };
  error_set (&err, ERROR_UNAVAILABLE, "connection refused");
  CU_ASSERT_FALSE (error_wrap (&err, ERROR_REFUSED, "endpoint %s", "a"));
  CU_ASSERT_EQUAL (err.code, ERROR_REFUSED);
  CU_ASSERT_STRING_EQUAL (err.text, "endpoint a: connection refused");
}

/* Guards against a bucket index that loses precision at powers of two.  The
   documented relative error is 1/16. */
static void
quantiles_stay_within_the_stated_error (void)
{
  struct histogram h = { 0 };
  for (uint64_t v = 1; v <= 100000; v++)
    histogram_add (&h, v);
  uint64_t p50 = histogram_quantile (&h, 0.5);
  uint64_t p99 = histogram_quantile (&h, 0.99);
  CU_ASSERT (p50 >= 50000 && p50 <= 50000 + 50000 / 16);
  CU_ASSERT (p99 >= 99000 && p99 <= 100000);
  CU_ASSERT_EQUAL (histogram_quantile (&h, 1.0), 100000);
}

/* Guards against an answer that loses its error text because the text was cut
   inside a UTF-8 character. */
static void
errors_hold_whole_characters (void)
{
  struct error err = { 0 };
  char text[400] = "x";
  for (int i = 0; i < 190; i++)
    strcat (text, "\xC3\xA9");
  error_set (&err, ERROR_INVALID, "%s", text);
  CU_ASSERT_EQUAL (strlen (err.text), 255);
  error_set (&err, ERROR_INVALID, "%s", text + 1);
  CU_ASSERT_EQUAL (strlen (err.text), 254);
  error_wrap (&err, ERROR_REFUSED, "%s", "a");
  CU_ASSERT_EQUAL (strlen (err.text), 255);
  error_wrap (&err, ERROR_REFUSED, "%s", text);
  CU_ASSERT_EQUAL (strlen (err.text), 255);
}

/* Guards against a copy that stops at a NUL but keeps the full length, so that
   its readers run past the end. */
static void
copies_keep_every_byte (void)
{
  struct bstr copy = bstr_copy (NULL, (struct bstr){ "a\0b", 3 });
  CU_ASSERT_EQUAL (copy.len, 3);
  CU_ASSERT_EQUAL (talloc_get_size (copy.start), 4);
  CU_ASSERT_EQUAL (memcmp (copy.start, "a\0b", 4), 0);
  talloc_free ((void *)(uintptr_t)copy.start);
}

/* Guards against an operation id that is parsed as a different one. */
static void
json_numbers_are_exact (void)
{
  static const char *const bad[]
      = { "", "-1", "+1", " 1", "1 ", "0x1", "1.0", "18446744073709551616" };
  uint64_t value;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      json_t *json = json_pack ("{s:s}", "n", bad[i]);
      CU_ASSERT_FALSE (json_number_get (json, "n", &value));
      json_decref (json);
    }
  json_t *json = json_pack ("{s:o, s:i}", "n", json_number_new (UINT64_MAX),
                            "integer", 1);
  CU_ASSERT (json_number_get (json, "n", &value) && value == UINT64_MAX);
  CU_ASSERT_FALSE (json_number_get (json, "integer", &value));
  CU_ASSERT_FALSE (json_number_get (json, "absent", &value));
  json_decref (json);
}

/* Guards against an address that is taken for another one: a port beyond 65535
   that loses its upper bits, or text after the port. */
static void
addresses_are_exact (void)
{
  static const char *const bad[] = { "",
                                     ":1",
                                     "127.0.0.1",
                                     "127.0.0.1:",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:99999",
                                     "127.0.0.1:-1",
                                     "127.0.0.1:+1",
                                     "127.0.0.1: 1",
                                     "127.0.0.1:4294967297",
                                     "127.0.0.1:18446744073709551617",
                                     "127.0.0.1:99999999999999999999999999",
                                     "127.0.0.1:80x",
                                     "127.0.0.1:80 ",
                                     "127.0.0.1:80\r\nQUERY",
                                     " 127.0.0.1:80",
                                     "127.0.0.1:80:81",
                                     "127.0.0:80",
                                     "256.0.0.1:80",
                                     "nowhere:80",
                                     "[::1]:80" };
  struct sockaddr_in address;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      bool accepted = address_parse (bad[i], &address);
      if (accepted)
        printf ("accepted \"%s\" with port %d ", bad[i],
                ntohs (address.sin_port));
      CU_ASSERT_FALSE (accepted);
    }
  CU_ASSERT_TRUE (address_parse ("127.0.0.1:65535", &address));
  CU_ASSERT_EQUAL (ntohs (address.sin_port), 65535);
  CU_ASSERT_EQUAL (ntohl (address.sin_addr.s_addr), INADDR_LOOPBACK);
  CU_ASSERT_TRUE (address_parse ("0.0.0.0:0", &address));
  CU_ASSERT_EQUAL (ntohs (address.sin_port), 0);
}

/* Guards against a network link that is saturated by copies of a large
   configuration: one daemon sends it to about thirty others, and a change must
   be in force within three seconds. */
static void
large_configuration_is_compressed (void)
{
  struct error err = { 0 };
  void *memory = talloc_new (NULL);
  char *text = talloc_strdup (memory, "");
  for (int i = 0; i < 3400; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "{\"host\":\"%x.example\",\"service\":\"service-%d\","
        "\"kind\":\"primary\",\"timeout-ms\":800,\"priority\":%d}",
        i * 40503, i / 3, i % 3);
  struct bstr whole = bstr_from (text);
  struct bstr bytes = compress_text (memory, whole, &err);
  CU_ASSERT (bytes.len > 0 && bytes.len * 5 < whole.len);
  struct bstr restored = compress_restore (memory, bytes, whole.len, &err);
  CU_ASSERT_TRUE (bstr_equals (restored, whole));
  /* Lengths and bytes that a faulty sender could send. */
  CU_ASSERT_EQUAL (compress_restore (memory, bytes, whole.len - 1, &err).len,
                   0);
  CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
  CU_ASSERT_EQUAL (compress_restore (memory, bytes, whole.len + 1, &err).len,
                   0);
  CU_ASSERT_EQUAL (compress_restore (memory, whole, 100, &err).len, 0);
  bytes.len /= 2;
  CU_ASSERT_EQUAL (compress_restore (memory, bytes, whole.len, &err).len, 0);
  talloc_free (memory);
}

/* Guards against a text from outside that forges a field or a line of the log,
   or hides the fields behind it. */
static void
texts_add_no_field_to_the_log (void)
{
  char buffer[12];
  CU_ASSERT_STRING_EQUAL (
      bstr_escape (buffer, sizeof buffer, (struct bstr){ "a\0b\nc\"d", 7 }),
      "a?b\\nc\\\"d");
  CU_ASSERT_STRING_EQUAL (
      bstr_escape (buffer, sizeof buffer, bstr_from ("\r\x7f\\")), "??\\\\");
  CU_ASSERT_STRING_EQUAL (
      bstr_escape (buffer, sizeof buffer, bstr_from ("0123456789abcdef")),
      "0123456789");
  CU_ASSERT_STRING_EQUAL (LOG_TEXT (bstr_from ("x")), "x");
}

/* Guards against a search that fails at the ends of an array. */
static void
places_in_sorted_arrays (void)
{
  struct
  {
    uint64_t key;
    char other;
  } items[] = { { 2, 'a' }, { 4, 'b' }, { UINT64_MAX, 'c' } };
  static const struct
  {
    uint64_t key;
    int index;
  } cases[] = { { 0, 0 }, { 2, 0 }, { 3, 1 },
                { 4, 1 }, { 5, 2 }, { UINT64_MAX, 2 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (
        sorted_lower_bound (items, 3, sizeof items[0], cases[i].key),
        cases[i].index);
  CU_ASSERT_EQUAL (sorted_lower_bound (items, 2, sizeof items[0], 5), 2);
  CU_ASSERT_EQUAL (sorted_lower_bound (NULL, 0, sizeof items[0], 5), 0);
}

static const struct test_case cases[] = {
  { "wrap_keeps_the_cause", wrap_keeps_the_cause },
  { "quantiles_stay_within_the_stated_error",
    quantiles_stay_within_the_stated_error },
  { "errors_hold_whole_characters", errors_hold_whole_characters },
  { "copies_keep_every_byte", copies_keep_every_byte },
  { "json_numbers_are_exact", json_numbers_are_exact },
  { "addresses_are_exact", addresses_are_exact },
  { "large_configuration_is_compressed", large_configuration_is_compressed },
  { "texts_add_no_field_to_the_log", texts_add_no_field_to_the_log },
  { "places_in_sorted_arrays", places_in_sorted_arrays },
  { NULL, NULL },
};
TEST_SUITE (common, cases)
