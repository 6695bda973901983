/** @file
 * API keys that callers present.  A key is "azw_ID_SECRET": ID is public and
 * identifies the key to operators, SECRET is random.  Only the hash of the
 * whole text is stored.
 *
 * Format of the object "azurewind/keys":
 * {"keys": [{"id", "hash", "organisation", "created", "revoked"}]}.
 */
#ifndef PROTO_KEY_H
#define PROTO_KEY_H

#include "common/bstr.h"
#include "common/error.h"

#define KEY_PREFIX "azw_"
#define KEY_ID_LENGTH 12   /**< In hexadecimal digits. */
#define KEY_HASH_LENGTH 64 /**< In hexadecimal digits: 32 bytes. */
#define KEY_MAX_TEXT 64    /**< Size of a whole key's text, with the NUL. */

/** One stored key. */
struct key
{
  char id[KEY_ID_LENGTH + 1];
  char hash[KEY_HASH_LENGTH + 1];
  char *organisation;
  char *created; /**< UTC, "2026-01-31T12:00:00Z". */
  bool revoked;
};

/** The keys of one version of the object, indexed by id. */
struct keys;

enum key_verdict
{
  KEY_VALID,
  KEY_UNKNOWN, /**< Malformed, or no stored key has this text. */
  KEY_REVOKED
};

/** Generate a key with libsodium's random numbers.
 * @param text set to the key, which is to be shown once and not stored.
 * @param id set to the key's ID.
 * @return false with ERROR_INTERNAL if libsodium cannot be initialised. */
bool key_create (char text[KEY_MAX_TEXT], char id[KEY_ID_LENGTH + 1],
                 struct error *err);

/** Hash a key's text with crypto_generichash. */
void key_hash (struct bstr text, char hash[KEY_HASH_LENGTH + 1]);

/** Parse the object's value.
 * @return NULL with ERROR_INVALID if a field is missing or malformed or two
 * keys have the same id; the text of @p err never contains a hash. */
struct keys *keys_parse (void *parent, struct bstr json, struct error *err);
int keys_count (const struct keys *keys);

/** @return the key at @p index, in the order of the object. */
const struct key *keys_at (const struct keys *keys, int index);

/** Look up the key that a caller presents, in constant time for a given id.
 * @param found set to the stored key unless the verdict is KEY_UNKNOWN;
 * valid as long as @p keys. */
enum key_verdict keys_find (const struct keys *keys, struct bstr text,
                            const struct key **found);

/** Look up a key by its id, for a connection whose key was verified against
 * an older version of the object.
 * @return NULL if no key has this id. */
const struct key *keys_find_id (const struct keys *keys, const char *id);

/** @return whether requests of the key with this id may run; true for an
 * empty id, which stands for a request without a key. */
bool keys_is_active (const struct keys *keys, const char *id);

#endif
