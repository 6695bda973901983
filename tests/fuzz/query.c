/** @file
 * Fuzzes query_parse with request bodies from callers.
 */
#include "daemon/query.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct error err = { 0 };
  void *scratch = talloc_new (NULL);
  const struct query *q
      = query_parse (scratch, (struct bstr){ (const char *)data, size }, &err);
  FUZZ_CHECK (q != NULL || err.code != ERROR_NONE);
  if (q == NULL)
    fuzz_check_utf8 (err.text);
  else
    FUZZ_CHECK (q->statement_count >= 1
                && q->statement_count <= CALL_MAX_STATEMENTS);
  talloc_free (scratch);
  return 0;
}
