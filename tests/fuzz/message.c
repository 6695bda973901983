/** @file
 * Fuzzes message_decode.  If the first byte is odd, the rest is the plain text
 * of a message and is encrypted here; if even, bytes from the network.
 */
#include "proto/message.h"
#include "tests/fuzz/fuzz.h"

#include <float.h>
#include <math.h>
#include <sodium.h>

static const unsigned char key[SECRET_BYTES] = "fuzz";

static struct bstr
seal_message (void *parent, const uint8_t *plain, size_t size)
{
  static const unsigned char nonce[crypto_secretbox_NONCEBYTES];
  size_t len = sizeof nonce + crypto_secretbox_MACBYTES + size;
  unsigned char *sealed = talloc_array (parent, unsigned char, len);
  memcpy (sealed, nonce, sizeof nonce);
  crypto_secretbox_easy (sealed + sizeof nonce, plain, size, nonce, key);
  return (struct bstr){ (const char *)sealed, len };
}

/* Reports are sent as float32, but float64 is accepted too. */
static bool
fits_float (const struct message *m)
{
  for (int i = 0; i < m->report_count; i++)
    if (fabs (m->reports[i].fraction) > FLT_MAX
        || fabs (m->reports[i].tokens) > FLT_MAX
        || fabs (m->reports[i].demand) > FLT_MAX)
      return false;
  return true;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct message m, again;
  struct error err = { 0 };
  if (size == 0)
    return 0;
  void *scratch = talloc_new (NULL);
  bool sealed = data[0] & 1;
  struct bstr bytes = sealed
                          ? seal_message (scratch, data + 1, size - 1)
                          : (struct bstr){ (const char *)data + 1, size - 1 };
  bool ok = message_decode (scratch, bytes, key, &m, &err);
  FUZZ_CHECK (ok || err.code == ERROR_INVALID);
  FUZZ_CHECK (sealed || !ok);
  if (ok && fits_float (&m))
    {
      /* A decoded message can be encoded and decoded again, unless its new
         encoding is longer than MESSAGE_MAX_BYTES. */
      struct bstr copy = message_encode (scratch, &m, key);
      bool decoded = message_decode (scratch, copy, key, &again, &err);
      FUZZ_CHECK (decoded || copy.len > MESSAGE_MAX_BYTES);
      FUZZ_CHECK (!decoded
                  || (again.type == m.type && again.from == m.from
                      && again.view_count == m.view_count
                      && again.report_count == m.report_count
                      && again.fraction_count == m.fraction_count
                      && bstr_equals (again.value, m.value)));
    }
  talloc_free (scratch);
  return 0;
}
