/** @file
 * Fuzzes group_object_parse with contents of the object of a group.
 */
#include "daemon/group_object.h"
#include "tests/fuzz/fuzz.h"

static bool
is_valid_endpoint_index (int index)
{
  return index == INDEX_NONE || (index >= 0 && index < 3);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static char names[][2] = { "a", "b", "c" };
  struct endpoint endpoints[3] = {
    { .name = names[0] },
    { .name = names[1] },
    { .name = names[2] },
  };
  const struct group g = { .endpoints = endpoints, .endpoint_count = 3 };
  struct platform_object object
      = { .version = 1, .value = { (const char *)data, size } };
  struct group_record r, again;
  void *scratch = talloc_new (NULL);
  memset (&r, 0, sizeof r);
  memset (&again, 0, sizeof again);
  if (group_object_parse (&object, &g, &r))
    {
      FUZZ_CHECK (is_valid_endpoint_index (r.primary)
                  && is_valid_endpoint_index (r.candidate));
      /* Rendering and parsing a record again gives the same record. */
      object.value = group_object_render (scratch, &g, &r);
      FUZZ_CHECK (group_object_parse (&object, &g, &again));
      FUZZ_CHECK (memcmp (&r, &again, sizeof r) == 0);
    }
  talloc_free (scratch);
  return 0;
}
