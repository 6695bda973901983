/** @file
 * Fuzzes cell_object_parse with contents of the object of a cell.
 */
#include "daemon/cell_object.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct cell_record r, again;
  void *scratch = talloc_new (NULL);
  if (cell_object_parse ((struct bstr){ (const char *)data, size }, 1, &r))
    {
      FUZZ_CHECK (r.member_count >= 0 && r.member_count <= CELL_MAX_MEMBERS);
      /* Rendering and parsing a record again gives the same record. */
      FUZZ_CHECK (
          cell_object_parse (cell_object_render (scratch, &r), 1, &again));
      FUZZ_CHECK (memcmp (&r, &again, sizeof r) == 0);
    }
  talloc_free (scratch);
  return 0;
}
