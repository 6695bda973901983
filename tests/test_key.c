#include "proto/key.h"
#include "tests/tests.h"

#include <stdio.h>

#define HASH64                                                                \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define ENTRY_JSON(id, hash, organisation)                                    \
  "{\"id\":\"" id "\",\"hash\":\"" hash "\",\"organisation\":"                \
  "\"" organisation "\",\"created\":\"2026-01-01T00:00:00Z\","                \
  "\"revoked\":false}"

#define KEY_COUNT 500

/* The random part follows "azw_ID_" and can itself contain "_". */
#define SECRET_OFFSET (sizeof KEY_PREFIX - 1 + KEY_ID_LENGTH + 1)

/* A key as key_create returned it. */
struct created_key
{
  char text[KEY_MAX_TEXT];
  char id[KEY_ID_LENGTH + 1];
};

/* Create KEY_COUNT keys, of which every second is revoked.
   @param json set to the object that stores them. */
static struct created_key *
create_keys (void *parent, char **json)
{
  struct created_key *created
      = talloc_zero_array (parent, struct created_key, KEY_COUNT);
  *json = talloc_strdup (parent, "{\"keys\":[");
  for (int i = 0; i < KEY_COUNT; i++)
    {
      char hash[KEY_HASH_LENGTH + 1];
      CU_ASSERT_TRUE (key_create (created[i].text, created[i].id, NULL));
      key_hash (bstr_from (created[i].text), hash);
      *json = talloc_asprintf_append (
          *json,
          "%s{\"id\":\"%s\",\"hash\":\"%s\",\"organisation\":\"org-%d\","
          "\"created\":\"2026-01-01T00:00:00Z\",\"revoked\":%s}",
          i > 0 ? "," : "", created[i].id, hash, i,
          i % 2 != 0 ? "true" : "false");
    }
  *json = talloc_asprintf_append (*json, "]}");
  return created;
}

/* Guards against a key that is accepted for another organisation, after it was
   revoked, or with a changed byte. */
static void
keys_are_found_by_their_whole_text (void)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  char *json;
  int wrong = 0;
  struct created_key *created = create_keys (scratch, &json);
  struct keys *keys = keys_parse (scratch, bstr_from (json), &err);
  CU_ASSERT_STRING_EQUAL (err.text, "");
  CU_ASSERT_PTR_NOT_NULL_FATAL (keys);
  CU_ASSERT_EQUAL (keys_count (keys), KEY_COUNT);
  for (int i = 0; i < KEY_COUNT; i++)
    {
      const struct key *key;
      char name[16];
      struct bstr text = bstr_from (created[i].text);
      enum key_verdict verdict = keys_find (keys, text, &key);
      snprintf (name, sizeof name, "org-%d", i);
      wrong += verdict != (i % 2 != 0 ? KEY_REVOKED : KEY_VALID) || key == NULL
               || strcmp (key->organisation, name) != 0
               || keys_find_id (keys, created[i].id) != key;
      wrong
          += keys_find (keys, (struct bstr){ text.start, text.len - 1 }, &key)
             != KEY_UNKNOWN;
      created[i].text[strlen (created[i].text) - 1 - i % 30] ^= 1;
      wrong += keys_find (keys, text, &key) != KEY_UNKNOWN;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  talloc_free (scratch);
}

/* Guards against a stored object that contains a key or its secret. */
static void
stored_form_does_not_hold_the_key (void)
{
  void *scratch = talloc_new (NULL);
  char *json;
  int wrong = 0;
  struct created_key *created = create_keys (scratch, &json);
  for (int i = 0; i < KEY_COUNT; i++)
    wrong += strstr (json, created[i].text) != NULL
             || strstr (json, created[i].text + SECRET_OFFSET) != NULL;
  CU_ASSERT_EQUAL (wrong, 0);
  talloc_free (scratch);
}

/* Guards against a malformed object of keys, or a malformed key, that is
   accepted. */
static void
malformed_objects_are_refused (void)
{
  static const char *const bad[] = {
    "",
    "{",
    "[]",
    "{}",
    "{\"keys\":{}}",
    "{\"keys\":[1]}",
    "{\"keys\":[{\"id\":\"0123456789ab\"}]}",
    "{\"keys\":[" ENTRY_JSON ("0123456789AB", HASH64, "a") "]}",
    "{\"keys\":[" ENTRY_JSON ("0123456789ab", "00", "a") "]}",
    "{\"keys\":[" ENTRY_JSON ("0123456789ab", HASH64, "A") "]}",
    "{\"keys\":[" ENTRY_JSON ("0123456789ab", HASH64, "a") "," ENTRY_JSON (
        "0123456789ab", HASH64, "b") "]}",
    "{\"keys\":[],\"keys\":[]}",
  };
  static const char *const malformed_keys[] = {
    "",
    "azw_",
    "azw_0123456789ab",
    "azw_0123456789ab_",
    "azw_0123456789ab_x",
    "AZW_0123456789ab_xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
    "azw_0123456789ab_xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
  };
  void *scratch = talloc_new (NULL);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct error err = { 0 };
      CU_ASSERT_PTR_NULL (keys_parse (scratch, bstr_from (bad[i]), &err));
      CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
      CU_ASSERT_PTR_NULL (strstr (err.text, HASH64));
    }
  struct keys *one = keys_parse (
      scratch,
      bstr_from ("{\"keys\":[" ENTRY_JSON ("0123456789ab", HASH64, "a") "]}"),
      NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (one);
  for (size_t i = 0; i < sizeof malformed_keys / sizeof malformed_keys[0]; i++)
    {
      const struct key *key;
      CU_ASSERT_EQUAL (keys_find (one, bstr_from (malformed_keys[i]), &key),
                       KEY_UNKNOWN);
      CU_ASSERT_PTR_NULL (key);
    }
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "keys_are_found_by_their_whole_text", keys_are_found_by_their_whole_text },
  { "stored_form_does_not_hold_the_key", stored_form_does_not_hold_the_key },
  { "malformed_objects_are_refused", malformed_objects_are_refused },
  { NULL, NULL },
};
TEST_SUITE (key, cases)
