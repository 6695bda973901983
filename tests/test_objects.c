#include "net/http.h"
#include "platform/objects.h"
#include "platform/store.h"
#include "tests/loop.h"
#include "tests/tests.h"

#include <stdio.h>

static const char good_entry[]
    = "{\"service\":\"ledger-1\",\"address\":\"127.0.0.1:8000\",\"zone\":"
      "\"z\","
      "\"slots\":2,\"state\":\"ready\",\"db-role\":\"primary\",\"born\":17}";

/* Decode an entry of which one member is replaced.
   @param value JSON text of the member; NULL: it is missing.
   @return whether it names a database to use. */
static bool
is_accepted (const char *id, const char *name, const char *value,
             struct endpoint_entry *entry)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  json_t *spec = json_loads (good_entry, 0, NULL);
  json_object_del (spec, name);
  if (value != NULL)
    json_object_set_new (spec, name,
                         json_loads (value, JSON_DECODE_ANY, NULL));
  json_t *object
      = json_pack ("{s:{s:s}, s:o}", "meta", "name", id, "spec", spec);
  bool accepted = objects_decode_endpoint (scratch, object, entry, &err);
  json_decref (object);
  talloc_free (scratch);
  return accepted;
}

static void
check_refused (const char *name, const char *const *values)
{
  struct endpoint_entry entry;
  for (; *values != NULL; values++)
    {
      bool accepted = is_accepted ("db-1", name, *values, &entry);
      if (accepted)
        printf ("accepted %s %.30s ", name, *values);
      CU_ASSERT_FALSE (accepted);
    }
}

/* Guards against an id or a service that adds fields or lines to what is sent
   to a database, or to the log. */
static void
ids_and_services_are_words (void)
{
  static const char *const bad[]
      = { "a b",      " a", "a\r\nQUERY 1 WRITE x y", "a\tb", "a\x7f",
          "a\x1b[0m", "" };
  static const char *const services[]
      = { "\"a b\"",  "\"a\\r\\nQUERY 1 WRITE x y\"",
          "\"a\\n\"", "\"\\u007f\"",
          "\"\"",     NULL };
  struct endpoint_entry entry;
  void *scratch = talloc_new (NULL);
  char *longest = talloc_zero_size (scratch, 1 << 20);
  memset (longest, 'a', (1 << 20) - 1);
  CU_ASSERT_TRUE (is_accepted ("db-1", "", NULL, &entry));
  CU_ASSERT_TRUE (is_accepted ("\xc3\xa9.-_:/", "", NULL, &entry));
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_FALSE (is_accepted (bad[i], "", NULL, &entry));
  CU_ASSERT_FALSE (is_accepted (longest, "", NULL, &entry));
  check_refused ("service", services);
  check_refused (
      "service",
      (const char *[]){ talloc_asprintf (scratch, "\"%s\"", longest), NULL });
  talloc_free (scratch);
}

/* Guards against a database at an address that no database can have. */
static void
address_needs_a_port (void)
{
  static const char *const bad[] = { "\"127.0.0.1:0\"",
                                     "\"127.0.0.1:65536\"",
                                     "\"127.0.0.1:-8000\"",
                                     "\"127.0.0.1:4294975296\"",
                                     "\"127.0.0.1\"",
                                     "8000",
                                     "[\"127.0.0.1:8000\"]",
                                     "null",
                                     NULL };
  struct endpoint_entry entry;
  check_refused ("address", bad);
  CU_ASSERT_FALSE (is_accepted ("db-1", "address", NULL, &entry));
}

/* Guards against an entry of another writer that names a database to use
   although a member has another type or cannot be true. */
static void
members_have_their_types (void)
{
  static const char *const slots[]
      = { "\"2\"", "2.5",  "1e30", "-1e30", "0",
          "-1",    "true", "null", "[2]",   "9223372036854775807",
          NULL };
  static const char *const born[]
      = { "\"17\"", "17.5", "1e30", "null", "{}", NULL };
  static const char *const zones[] = { "1", "null", "[]", NULL };
  static const char *const states[]
      = { "\"asleep\"", "\"READY\"", "1", "null", NULL };
  struct endpoint_entry entry;
  check_refused ("slots", slots);
  check_refused ("born", born);
  check_refused ("zone", zones);
  check_refused ("state", states);
  check_refused ("db-role", states);
  CU_ASSERT_FALSE (is_accepted ("db-1", "state", NULL, &entry));
  CU_ASSERT_FALSE (is_accepted ("db-1", "db-role", NULL, &entry));
  CU_ASSERT_TRUE (is_accepted ("db-1", "slots", "1000000000", &entry));
  CU_ASSERT_EQUAL (entry.slots, 1000000000);
}

/* Guards against an organisation whose name is more than one field of the
   line that opens a connection. */
static void
organisations_are_fields (void)
{
  struct error err = { 0 };
  json_t *object = json_pack (
      "{s:{s:i, s:[], s:[], s:[{s:s, s:[s]}, {s:s, s:[s]}, {s:s, s:[s]},"
      " {s:s, s:[s]}]}}",
      "spec", "config-version", 3, "routes", "services", "tenants", "name",
      "a b", "api-keys", "k1", "name", "a\r\nQUERY - DEMOTE 9", "api-keys",
      "k2", "name", "", "api-keys", "k3", "name", "a\nb", "api-keys", "k4");
  struct config *config = objects_decode_config (NULL, object, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  CU_ASSERT_EQUAL (config->organisation_count, 1);
  for (int i = 1; i <= 4; i++)
    {
      char key[8];
      snprintf (key, sizeof key, "k%d", i);
      CU_ASSERT_EQUAL (
          config_find_organisation (config, bstr_from (key)) != NULL, i == 4);
    }
  talloc_free (config);
  json_decref (object);
}

/* A store that keeps the path of the last request. */
struct path_keeper
{
  struct http_handler handler; /* First, so that it can be cast back. */
  char path[80];
  bool answered;
};

static void
keep_path (struct http_handler *handler, struct http_request *request)
{
  struct path_keeper *keeper = (struct path_keeper *)handler;
  snprintf (keeper->path, sizeof keeper->path, "%s %zu %s",
            bstr_to_text (keeper, request->method), request->path.len,
            bstr_to_text (keeper, request->path));
  http_reply (request, 200, "application/json", bstr_from ("{}"), NULL);
}

static void
on_answer (void *data, const struct error *err, const json_t *body)
{
  (void)err, (void)body;
  *(bool *)data = true;
}

static bool
is_answered (const void *data)
{
  return *(const bool *)data;
}

/* Guards against a call about another object than the one with this name, in
   which '?' or '#' ends the path and '%' begins another byte. */
static void
names_are_one_part_of_a_path (void)
{
  static const struct http_handler_ops ops = { keep_path, NULL };
  static const char *const names[]
      = { "plain-1.a_b", "a?b", "a#b", "a%62", "..", "\xC3\xA9\"'" };
  struct path_keeper *keeper = talloc_zero (NULL, struct path_keeper);
  struct tevent_context *ev = tevent_context_init (keeper);
  struct error err = { 0 };
  keeper->handler.ops = &ops;
  struct http_server *server = http_server_create (
      keeper,
      &(struct http_server_options){ .ev = ev,
                                     .address = "127.0.0.1:0",
                                     .handler = &keeper->handler,
                                     .max_body = 1000,
                                     .max_connections = 9,
                                     .idle_seconds = 60 },
      &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  char *address
      = talloc_asprintf (keeper, "127.0.0.1:%d", http_server_port (server));
  struct store *store = store_create (
      keeper,
      &(struct store_options){
          .ev = ev, .objects = address, .duties = address, .holder = "h" },
      &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (store);
  for (size_t i = 0; i < 3 * sizeof names / sizeof names[0]; i++)
    {
      static const char *const methods[] = { "GET", "PUT", "DELETE" };
      const char *name = names[i / 3];
      char expected[80];
      keeper->answered = false;
      if (i % 3 == 0)
        store_get (store, "k", name, 2000, on_answer, &keeper->answered);
      else if (i % 3 == 1)
        store_put (store, "k", name, 1, json_object (), 2000, on_answer,
                   &keeper->answered);
      else
        store_remove (store, "k", name, 1, 2000, on_answer, &keeper->answered);
      CU_ASSERT (
          loop_run (ev, LOOP_TIMEOUT_MS, is_answered, &keeper->answered));
      snprintf (expected, sizeof expected, "%s %zu /v1/objects/k/%s",
                methods[i % 3], strlen ("/v1/objects/k/") + strlen (name),
                name);
      CU_ASSERT_STRING_EQUAL (keeper->path, expected);
      if (strcmp (keeper->path, expected) != 0)
        printf ("%s, not %s ", keeper->path, expected);
    }
  talloc_free (keeper);
}

static const struct test_case cases[] = {
  { "organisations_are_fields", organisations_are_fields },
  { "ids_and_services_are_words", ids_and_services_are_words },
  { "address_needs_a_port", address_needs_a_port },
  { "members_have_their_types", members_have_their_types },
  { "names_are_one_part_of_a_path", names_are_one_part_of_a_path },
  { NULL, NULL },
};
TEST_SUITE (objects, cases)
