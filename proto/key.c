#include "proto/key.h"

#include "common/option.h"

#include <jansson.h>
#include <search.h>
#include <sodium.h>
#include <stdio.h>

/* Number of random bytes in the SECRET part of a key. */
#define SECRET_LENGTH 24
#define HASH_BYTES 32

struct keys
{
  struct key *entries;
  int count;
  struct hsearch_data table; /**< Maps an id to its entry. */
};

bool
key_create (char text[KEY_MAX_TEXT], char id[KEY_ID_LENGTH + 1],
            struct error *err)
{
  unsigned char public_part[KEY_ID_LENGTH / 2];
  unsigned char secret[SECRET_LENGTH];
  char secret_text[sodium_base64_ENCODED_LEN (
      SECRET_LENGTH, sodium_base64_VARIANT_URLSAFE_NO_PADDING)];
  if (sodium_init () < 0)
    return error_set (err, ERROR_INTERNAL, "libsodium cannot be initialised");
  randombytes_buf (public_part, sizeof public_part);
  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (id, KEY_ID_LENGTH + 1, public_part, sizeof public_part);
  sodium_bin2base64 (secret_text, sizeof secret_text, secret, sizeof secret,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  snprintf (text, KEY_MAX_TEXT, KEY_PREFIX "%s_%s", id, secret_text);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (secret_text, sizeof secret_text);
  return true;
}

void
key_hash (struct bstr text, char hash[KEY_HASH_LENGTH + 1])
{
  unsigned char bytes[HASH_BYTES];
  crypto_generichash (bytes, sizeof bytes, (const unsigned char *)text.start,
                      text.len, NULL, 0);
  sodium_bin2hex (hash, KEY_HASH_LENGTH + 1, bytes, sizeof bytes);
}

static bool
is_hex (const char *text, size_t len)
{
  return strlen (text) == len && strspn (text, "0123456789abcdef") == len;
}

static bool
parse_key (struct keys *keys, struct key *key, json_t *object,
           struct error *err)
{
  const char *id, *hash, *organisation, *created;
  int revoked = 0;
  if (json_unpack (object, "{s:s, s:s, s:s, s:s, s:b}", "id", &id, "hash",
                   &hash, "organisation", &organisation, "created", &created,
                   "revoked", &revoked)
      != 0)
    return error_set (err, ERROR_INVALID,
                      "key number %d lacks a field or has one of a wrong type",
                      keys->count + 1);
  if (!is_hex (id, KEY_ID_LENGTH) || !is_hex (hash, KEY_HASH_LENGTH)
      || !option_is_name (bstr_from (organisation)))
    return error_set (err, ERROR_INVALID,
                      "key number %d has a malformed id, hash or organisation",
                      keys->count + 1);
  memcpy (key->id, id, sizeof key->id);
  memcpy (key->hash, hash, sizeof key->hash);
  key->organisation = talloc_strdup (keys, organisation);
  key->created = talloc_strdup (keys, created);
  key->revoked = revoked;
  return true;
}

static int
keys_destructor (struct keys *keys)
{
  hdestroy_r (&keys->table);
  return 0;
}

static bool
add_to_index (struct keys *keys, struct key *key, struct error *err)
{
  ENTRY *found = NULL;
  ENTRY entry = { .key = key->id, .data = key };
  if (hsearch_r (entry, FIND, &found, &keys->table) != 0)
    return error_set (err, ERROR_INVALID, "the key id %s occurs twice",
                      key->id);
  if (hsearch_r (entry, ENTER, &found, &keys->table) == 0)
    return error_set (err, ERROR_INTERNAL, "the hash table of keys is full");
  return true;
}

static bool
parse_keys (struct keys *keys, const json_t *list, struct error *err)
{
  size_t count = json_array_size (list);
  if (!json_is_array (list))
    return error_set (err, ERROR_INVALID, "\"keys\" is not an array");
  keys->entries = talloc_zero_array (keys, struct key, (unsigned)count + 1);
  /* hsearch_r becomes slow when its table is nearly full. */
  if (hcreate_r (2 * count + 1, &keys->table) == 0)
    return error_set (err, ERROR_INTERNAL, "no memory for %zu keys", count);
  talloc_set_destructor (keys, keys_destructor);
  for (size_t i = 0; i < count; i++)
    {
      struct key *key = &keys->entries[i];
      if (!parse_key (keys, key, json_array_get (list, i), err)
          || !add_to_index (keys, key, err))
        return false;
      keys->count++;
    }
  return true;
}

struct keys *
keys_parse (void *parent, struct bstr json, struct error *err)
{
  struct keys *keys = talloc_zero (parent, struct keys);
  json_error_t cause;
  json_t *root = json_loadb (json.start != NULL ? json.start : "", json.len,
                             JSON_REJECT_DUPLICATES, &cause);
  bool ok;
  if (root == NULL)
    ok = error_set (err, ERROR_INVALID, "the keys are not valid JSON, line %d",
                    cause.line);
  else
    ok = parse_keys (keys, json_object_get (root, "keys"), err);
  json_decref (root);
  if (!ok)
    {
      talloc_free (keys);
      keys = NULL;
    }
  return keys;
}

int
keys_count (const struct keys *keys)
{
  return keys->count;
}

const struct key *
keys_at (const struct keys *keys, int index)
{
  return &keys->entries[index];
}

const struct key *
keys_find_id (const struct keys *keys, const char *id)
{
  ENTRY *found = NULL;
  ENTRY entry = { .key = (char *)id };
  /* hsearch_r takes the table without const, but FIND does not change it. */
  if (hsearch_r (entry, FIND, &found, (struct hsearch_data *)&keys->table)
      == 0)
    return NULL;
  return found->data;
}

enum key_verdict
keys_find (const struct keys *keys, struct bstr text, const struct key **found)
{
  const size_t prefix = sizeof KEY_PREFIX - 1;
  char id[KEY_ID_LENGTH + 1] = "";
  char hash[KEY_HASH_LENGTH + 1];
  *found = NULL;
  if (text.len >= KEY_MAX_TEXT || text.len <= prefix + KEY_ID_LENGTH + 1
      || !bstr_starts_with (text, KEY_PREFIX)
      || text.start[prefix + KEY_ID_LENGTH] != '_')
    return KEY_UNKNOWN;
  memcpy (id, text.start + prefix, KEY_ID_LENGTH);
  const struct key *key = keys_find_id (keys, id);
  if (key == NULL)
    return KEY_UNKNOWN;
  key_hash (text, hash);
  if (sodium_memcmp (hash, key->hash, KEY_HASH_LENGTH) != 0)
    return KEY_UNKNOWN;
  *found = key;
  return key->revoked ? KEY_REVOKED : KEY_VALID;
}

bool
keys_is_active (const struct keys *keys, const char *id)
{
  if (id[0] == '\0')
    return true;
  const struct key *key = keys_find_id (keys, id);
  return key != NULL && !key->revoked;
}
