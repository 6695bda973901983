/** @file
 * Fuzzes settings_parse with configuration texts from operators.
 */
#include "core/settings.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct error err = { 0 };
  void *scratch = talloc_new (NULL);
  struct bstr text = { (const char *)data, size };
  const struct settings *s = settings_parse (scratch, "config", text, &err);
  FUZZ_CHECK (s != NULL || err.code == ERROR_INVALID);
  if (s == NULL)
    fuzz_check_utf8 (err.text);
  else
    {
      for (int i = 0; i < s->service_count; i++)
        FUZZ_CHECK (s->services[i].endpoint_count >= 1
                    && s->services[i].endpoint_count <= GROUP_MAX_ENDPOINTS);
      FUZZ_CHECK (strcmp (settings_diff (scratch, s, s), "") == 0);
      settings_diff (scratch, NULL, s);
    }
  talloc_free (scratch);
  return 0;
}
