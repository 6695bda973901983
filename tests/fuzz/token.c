/** @file
 * Fuzzes token_decode.  If the first byte is odd, the rest is the body of a
 * token and is signed here; if even, the text of a token from a caller.
 */
#include "proto/token.h"
#include "tests/fuzz/fuzz.h"

#include <sodium.h>

static const unsigned char key[SECRET_BYTES] = "fuzz";

static struct bstr
sign_token (void *parent, const uint8_t *body, size_t size)
{
  const int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  size_t len = size + crypto_auth_BYTES;
  unsigned char *raw = talloc_array (parent, unsigned char, len);
  size_t text_size = sodium_base64_encoded_len (len, variant);
  char *text = talloc_array (parent, char, text_size);
  memcpy (raw, body, size);
  crypto_auth (raw + size, body, size, key);
  sodium_bin2base64 (text, text_size, raw, len, variant);
  return bstr_from (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct bstr organisation = bstr_from ("moshi");
  struct token token, again;
  struct error err = { 0 };
  if (size == 0)
    return 0;
  void *scratch = talloc_new (NULL);
  bool is_signed = data[0] & 1;
  struct bstr text = is_signed
                         ? sign_token (scratch, data + 1, size - 1)
                         : (struct bstr){ (const char *)data + 1, size - 1 };
  bool ok = token_decode (scratch, text, organisation, key, &token, &err);
  FUZZ_CHECK (ok || err.code == ERROR_INVALID);
  FUZZ_CHECK (is_signed || !ok);
  if (ok)
    {
      struct bstr copy = bstr_from (token_encode (scratch, &token, key));
      FUZZ_CHECK (
          copy.len > TOKEN_MAX_TEXT
          || token_decode (scratch, copy, organisation, key, &again, &err));
      FUZZ_CHECK (copy.len > TOKEN_MAX_TEXT || again.count == token.count);
    }
  talloc_free (scratch);
  return 0;
}
