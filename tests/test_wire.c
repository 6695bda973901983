/** Tests of the platform's line protocol and of its objects. */
#include "platform/objects.h"
#include "platform/wire.h"
#include "tests/tests.h"

#include <stdlib.h>

static struct wire_request
parse (const char *line)
{
  return wire_parse_request (bstr_from (line));
}

/* Guards against a part of a caller's line that is lost or decoded into
   another field. */
static void
requests_of_callers (void)
{
  struct wire_request r = parse ("START lepu270 u3f1");
  CU_ASSERT_EQUAL (r.kind, WIRE_START);
  CU_ASSERT_TRUE (bstr_equals_text (r.database, "lepu270"));
  CU_ASSERT_TRUE (bstr_equals_text (r.key, "u3f1"));
  r = parse ("START lepu270");
  CU_ASSERT_EQUAL (r.kind, WIRE_START);
  CU_ASSERT_EQUAL (r.key.len, 0);
  CU_ASSERT_EQUAL (parse ("RELEASE").kind, WIRE_RELEASE);
  r = parse ("QUERY 5c0e EXECUTE s1 1a4 xkq pwn");
  CU_ASSERT_EQUAL (r.kind, WIRE_QUERY);
  CU_ASSERT_EQUAL (r.statement.verb, VERB_EXECUTE);
  CU_ASSERT_TRUE (bstr_equals_text (r.id, "5c0e"));
  CU_ASSERT_TRUE (bstr_equals_text (r.statement.name, "s1"));
  CU_ASSERT_TRUE (bstr_equals_text (r.statement.rest, "1a4 xkq pwn"));
  r = parse ("QUERY 1 PREPARE s1 WRITE q2c");
  CU_ASSERT_EQUAL (r.statement.verb, VERB_PREPARE);
  CU_ASSERT_FALSE (r.statement.reads_only);
  CU_ASSERT_TRUE (bstr_equals_text (r.statement.rest, "q2c"));
  r = parse ("QUERY 1 BEGIN READ");
  CU_ASSERT_TRUE (r.statement.reads_only);
}

/* Guards against a malformed line, or a statement that only the session daemon
   may send, that is accepted from a caller. */
static void
malformed_requests_are_recognised (void)
{
  static const char *const lines[] = { "",
                                       "START",
                                       "QUERY",
                                       "QUERY 1",
                                       "QUERY 1 ",
                                       "QUERY 1 READ",
                                       "QUERY 1 BEGIN WRITE",
                                       "QUERY 1 COMMIT now",
                                       "QUERY 1 PREPARE s1",
                                       "QUERY 1 PREPARE s1 LOOK x",
                                       "QUERY 1 SET a",
                                       "QUERY 1 EXECUTE s1",
                                       "QUERY 1 AFTER 3.1 READ a",
                                       "QUERY 1 STATUS",
                                       "query 1 READ a",
                                       "GET / HTTP/1.1" };
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    CU_ASSERT_EQUAL (parse (lines[i]).kind, WIRE_MALFORMED);
}

static void
replies_of_endpoints (void)
{
  struct wire_reply r = wire_parse_reply (bstr_from ("READY T 3.1209"));
  CU_ASSERT_EQUAL (r.kind, WIRE_READY);
  CU_ASSERT_EQUAL (r.state, SESSION_IN_TRANSACTION);
  CU_ASSERT_EQUAL (r.position.term, 3);
  CU_ASSERT_EQUAL (r.position.number, 1209);
  r = wire_parse_reply (bstr_from ("COMPLETE 7.1f3.c"));
  CU_ASSERT_EQUAL (r.kind, WIRE_COMPLETE);
  CU_ASSERT_TRUE (wire_is_signature (r.text));
  CU_ASSERT_FALSE (
      wire_is_signature (wire_parse_reply (bstr_from ("COMPLETE -")).text));
  CU_ASSERT_FALSE (wire_is_signature (bstr_from ("")));
  r = wire_parse_reply (bstr_from ("READY I -"));
  CU_ASSERT_EQUAL (r.kind, WIRE_READY);
  CU_ASSERT_EQUAL (r.position.term, 0);
  r = wire_parse_reply (bstr_from ("ERROR LAGGING i-7f3a91c2"));
  CU_ASSERT_EQUAL (r.kind, WIRE_ERROR);
  CU_ASSERT_EQUAL (r.outcome, OUTCOME_BEHIND);
  CU_ASSERT_TRUE (bstr_equals_text (r.text, "i-7f3a91c2"));
  /* After an error with an unknown code the statement may have taken
     effect. */
  r = wire_parse_reply (bstr_from ("ERROR TOOBIG x"));
  CU_ASSERT_EQUAL (r.outcome, OUTCOME_FAILED);
  CU_ASSERT_FALSE (outcome_is_refusal (r.outcome));
  /* A line that was broken off, or has bytes of another one in it. */
  CU_ASSERT_EQUAL (wire_parse_reply (bstr_from ("READY I 1.ROW")).kind,
                   WIRE_UNKNOWN);
  CU_ASSERT_EQUAL (wire_parse_reply (bstr_from ("READY X 1.1")).kind,
                   WIRE_UNKNOWN);
  struct wire_status status;
  CU_ASSERT_TRUE (
      wire_parse_status (bstr_from ("replica 3 3.1209 0 12 2 17"), &status));
  CU_ASSERT_FALSE (status.is_primary);
  CU_ASSERT_EQUAL (status.term, 3);
  CU_ASSERT_EQUAL (status.received.number, 1209);
  CU_ASSERT_EQUAL (status.lag_ms, 12);
  CU_ASSERT_FALSE (wire_parse_status (bstr_from ("BUSY"), &status));
  CU_ASSERT_FALSE (wire_parse_status (bstr_from (""), &status));
}

/* Guards against a change of the lines that endpoints expect, and against a
   byte of a string that ends or changes its line: NUL, CR, LF and blanks. */
static void
lines_to_endpoints (void)
{
  static const char expected[] = "START huvo11a tenant i-7f3a91c2\r\n"
                                 "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"
                                 "QUERY 5c0f COMMIT\r\n"
                                 "QUERY 5c10 EXECUTE w_q2c 1a4 x\0k\r\r\n"
                                 "QUERY - AFTER 3.1207 BEGIN READ\r\n"
                                 "QUERY - SET zo\0ne \na b \r\n"
                                 "QUERY - PREPARE w_q2c WRITE q\0 2c\r\n"
                                 "QUERY - ROLLBACK\r\n"
                                 "QUERY - RESET\r\n"
                                 "QUERY - STATUS\r\n"
                                 "ROW a\0b\nc\r\n"
                                 "ROW \r\n"
                                 "COMPLETE s\0g\r\n"
                                 "ERROR BUSY a\0b\r\n"
                                 "READY T 3.1207\r\n"
                                 "READY I -\r\n";
  struct buffer out = { 0 };
  struct position none = { 0, 0 }, after = { 3, 1207 };
  wire_add_start (&out, bstr_from ("huvo11a"), bstr_from ("tenant"),
                  bstr_from ("i-7f3a91c2"));
  wire_add_statement (&out, bstr_from ("5c0e"), after, bstr_from ("READ 1a4"));
  wire_add_statement (&out, bstr_from ("5c0f"), none, bstr_from ("COMMIT"));
  wire_add_execute (&out, bstr_from ("5c10"), none, bstr_from ("w_q2c"),
                    (struct bstr){ "1a4 x\0k\r", 8 });
  wire_add_begin (&out, after, true);
  wire_add_set (&out, (struct bstr){ "zo\0ne", 5 },
                (struct bstr){ "\na b ", 5 });
  wire_add_prepare (&out, bstr_from ("w_q2c"), false,
                    (struct bstr){ "q\0 2c", 5 });
  wire_add_rollback (&out);
  wire_add_reset (&out);
  wire_add_status (&out);
  wire_add_row (&out, (struct bstr){ "a\0b\nc", 5 });
  wire_add_row (&out, bstr_from (""));
  wire_add_complete (&out, (struct bstr){ "s\0g", 3 });
  wire_add_error (&out, OUTCOME_BUSY, (struct bstr){ "a\0b", 3 });
  wire_add_ready (&out, SESSION_IN_TRANSACTION, after);
  wire_add_ready (&out, SESSION_IDLE, none);
  CU_ASSERT_TRUE (bstr_equals (
      buffer_bytes (&out), (struct bstr){ expected, sizeof expected - 1 }));
  buffer_clear (&out);
}

/* Guards against a route of an unknown kind that is used, and a configuration
   without routes that is accepted. */
static void
configuration_is_decoded (void)
{
  struct error err = { 0 };
  json_t *object = json_loads (
      "{\"meta\":{\"name\":\"main\",\"revision\":9},\"spec\":{"
      "\"config-version\":7,\"routes\":["
      "{\"host\":\"b\",\"kind\":\"bounded_staleness\",\"service\":\"s\","
      "\"timeout-ms\":1200,\"max-staleness-ms\":1500},"
      "{\"host\":\"a\",\"kind\":\"primary\",\"service\":\"s\","
      "\"public-access\":true},"
      "{\"host\":\"c\",\"kind\":\"unheard_of\",\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\",\"max-connections\":22}],"
      "\"limits\":{\"tx-idle-ms\":2000},"
      "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],"
      "\"rate-per-s\":142,\"burst\":70}]}}",
      0, NULL);
  struct config *c = objects_decode_config (NULL, object, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_EQUAL (c->version, 7);
  CU_ASSERT_EQUAL (c->route_count, 2);
  CU_ASSERT_EQUAL (c->idle_transaction_ms, 2000);
  const struct route *a = config_find_route (c, bstr_from ("a"));
  const struct route *b = config_find_route (c, bstr_from ("b"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (a);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b);
  CU_ASSERT_TRUE (a->is_public);
  CU_ASSERT_EQUAL (b->kind, ROUTE_BOUNDED);
  CU_ASSERT_EQUAL (b->stale_ms, 1500);
  CU_ASSERT_PTR_NULL (config_find_route (c, bstr_from ("c")));
  const struct organisation *t
      = config_find_organisation (c, bstr_from ("k2"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  CU_ASSERT_EQUAL (t->rate, 142);
  CU_ASSERT_PTR_NULL (config_find_organisation (c, bstr_from ("k3")));
  CU_ASSERT_PTR_NULL (config_find_organisation (c, bstr_from ("")));
  talloc_free (c);
  json_object_del (json_object_get (object, "spec"), "routes");
  CU_ASSERT_PTR_NULL (objects_decode_config (NULL, object, &err));
  CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
  json_decref (object);
}

/* Guards against an endpoint that is used although its object, which another
   program or a newer version wrote, lacks a field or has one of a wrong type,
   and against one that is rejected for an unknown field. */
static void
endpoints_are_decoded (void)
{
  static const struct
  {
    const char *spec;
    bool usable;
  } entries[] = {
    { "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
      "\"slots\":2,\"state\":\"ready\",\"db-role\":\"replica\","
      "\"born\":17,\"new-field\":{}}",
      true },
    { "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"state\":"
      "\"draining\",\"db-role\":\"primary\"}",
      true },
    { "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"state\":\"ready\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.1.0.9\",\"state\":\"ready\","
      "\"db-role\":\"replica\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"state\":\"ready\","
      "\"db-role\":\"replica\",\"born\":\"x\"}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"state\":\"ready\","
      "\"db-role\":\"replica\",\"slots\":0}",
      false },
    { "{\"service\":5,\"address\":6,\"state\":7,\"db-role\":8}", false },
    { "[1]", false },
    { "null", false },
  };
  for (size_t i = 0; i < sizeof entries / sizeof entries[0]; i++)
    {
      void *scratch = talloc_new (NULL);
      struct endpoint_entry entry;
      struct error err = { 0 };
      json_t *object = json_pack (
          "{s:{s:s, s:i}, s:o}", "meta", "name", "i-1", "revision", 4, "spec",
          json_loads (entries[i].spec, JSON_DECODE_ANY, NULL));
      CU_ASSERT_EQUAL (objects_decode_endpoint (scratch, object, &entry, &err),
                       entries[i].usable);
      CU_ASSERT_TRUE (entries[i].usable || err.code == ERROR_INVALID);
      json_decref (object);
      talloc_free (scratch);
    }
}

static void
promotion_records (void)
{
  const struct promotion_record written = {
    .endpoint = bstr_from ("i-1"), .term = 7, .position = { 6, 54 }, .led = 8
  };
  json_t *object
      = json_pack ("{s:o}", "spec", objects_encode_promotion ("vm", &written));
  struct promotion_record record = objects_decode_promotion (object);
  CU_ASSERT_TRUE (bstr_equals_text (record.endpoint, "i-1"));
  CU_ASSERT_EQUAL (record.term, 7);
  CU_ASSERT_EQUAL (record.position.term, 6);
  CU_ASSERT_EQUAL (record.position.number, 54);
  CU_ASSERT_EQUAL (record.led, 8);
  json_decref (object);
  object = json_pack ("{s:{s:i, s:i}}", "spec", "endpoint", 4, "term", -3);
  record = objects_decode_promotion (object);
  CU_ASSERT_EQUAL (record.endpoint.len, 0);
  CU_ASSERT_EQUAL (record.term, 0);
  CU_ASSERT_EQUAL (record.position.term, 0);
  CU_ASSERT_EQUAL (record.led, 0);
  json_decref (object);
}

static const struct test_case cases[] = {
  { "requests_of_callers", requests_of_callers },
  { "malformed_requests_are_recognised", malformed_requests_are_recognised },
  { "replies_of_endpoints", replies_of_endpoints },
  { "lines_to_endpoints", lines_to_endpoints },
  { "configuration_is_decoded", configuration_is_decoded },
  { "endpoints_are_decoded", endpoints_are_decoded },
  { "promotion_records", promotion_records },
  { NULL, NULL },
};

TEST_SUITE (wire, cases)
