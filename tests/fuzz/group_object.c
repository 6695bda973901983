/** @file
 * Fuzzes group_object_parse with values of a group's object.
 */
#include "daemon/group_object.h"
#include "tests/fuzz/fuzz.h"

static bool
is_endpoint (int index)
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
      FUZZ_CHECK (is_endpoint (r.primary) && is_endpoint (r.candidate));
      /* What is read can be written back. */
      object.value = group_object_render (scratch, &g, &r);
      FUZZ_CHECK (group_object_parse (&object, &g, &again));
      FUZZ_CHECK (memcmp (&r, &again, sizeof r) == 0);
    }
  talloc_free (scratch);
  return 0;
}
