/** @file
 * Fuzzes keys_parse with key lists, and keys_find with the same bytes as
 * the key of a caller.
 */
#include "proto/key.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct key *found;
  struct error err = { 0 };
  void *scratch = talloc_new (NULL);
  struct bstr text = { (const char *)data, size };
  const struct keys *keys = keys_parse (scratch, text, &err);
  FUZZ_CHECK (keys != NULL || err.code == ERROR_INVALID);
  for (int i = 0; keys != NULL && i < keys_count (keys); i++)
    FUZZ_CHECK (keys_find_id (keys, keys_at (keys, i)->id)
                == keys_at (keys, i));
  if (keys != NULL)
    FUZZ_CHECK (keys_find (keys, text, &found) == KEY_UNKNOWN);
  talloc_free (scratch);
  return 0;
}
