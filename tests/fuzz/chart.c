/** @file
 * Fuzzes chart_parse with texts of chart files.
 */
#include "core/chart.h"
#include "tests/fuzz/fuzz.h"

static const char *const states[]
    = { "live", "leaving", "drained", "gone", NULL };
static const char *const events[] = {
  "mark", "clear", "idle", "busy", "vanish", "return", "return_leaving", NULL,
};
static const char *const actions[]
    = { "none", "stop", "resume", "report", "drop", NULL };
static const struct chart_vocabulary vocabulary
    = { "drain", states, events, actions };

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct error err = { 0 };
  void *scratch = talloc_new (NULL);
  const struct chart *c
      = chart_parse (scratch, &vocabulary, "drain.chart",
                     (struct bstr){ (const char *)data, size }, &err);
  FUZZ_CHECK (c != NULL || err.code == ERROR_INVALID);
  /* Each step of an accepted chart stays within the vocabulary. */
  for (int s = 0; c != NULL && states[s] != NULL; s++)
    for (int e = 0; events[e] != NULL; e++)
      {
        int state = s;
        int action = chart_apply_event (c, &state, e);
        FUZZ_CHECK (action >= -1 && action < 5 && state >= 0 && state < 4);
      }
  talloc_free (scratch);
  return 0;
}
