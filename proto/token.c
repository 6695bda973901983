#include "proto/token.h"

#include "proto/pack.h"

#include <sodium.h>

#define TOKEN_VERSION 1
#define TOKEN_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

void
secret_derive (unsigned char key[SECRET_BYTES],
               const unsigned char secret[SECRET_BYTES], const char *purpose)
{
  char context[crypto_kdf_CONTEXTBYTES] = { 0 };
  memcpy (context, purpose, strnlen (purpose, sizeof context));
  crypto_kdf_derive_from_key (key, SECRET_BYTES, 1, context, secret);
}

char *
token_encode (void *parent, const struct token *token,
              const unsigned char key[SECRET_BYTES])
{
  struct pack p;
  unsigned char mac[crypto_auth_BYTES];
  pack_begin (&p);
  pack_array (&p, 3);
  pack_uint (&p, TOKEN_VERSION);
  pack_bstr (&p, token->organisation);
  pack_array (&p, (unsigned)token->count);
  for (int i = 0; i < token->count; i++)
    {
      pack_array (&p, 3);
      pack_bstr (&p, token->entries[i].service);
      pack_uint (&p, token->entries[i].position.term);
      pack_uint (&p, token->entries[i].position.lsn);
    }
  struct bstr body = pack_bytes (&p);
  crypto_auth (mac, (const unsigned char *)body.start, body.len, key);
  pack_raw (&p, mac, sizeof mac);
  body = pack_bytes (&p);
  size_t size = sodium_base64_encoded_len (body.len, TOKEN_VARIANT);
  char *text = talloc_array (parent, char, size);
  sodium_bin2base64 (text, size, (const unsigned char *)body.start, body.len,
                     TOKEN_VARIANT);
  pack_end (&p);
  return text;
}

static bool
unpack_body (struct unpack *u, void *parent, struct token *token)
{
  unpack_array (u, 3);
  if (unpack_uint (u) != TOKEN_VERSION)
    return false;
  token->organisation = bstr_copy (parent, unpack_bstr (u));
  unsigned count = unpack_array_any (u, TOKEN_MAX_ENTRIES);
  for (unsigned i = 0; i < count && !u->failed; i++)
    {
      struct token_entry *entry = &token->entries[i];
      unpack_array (u, 3);
      entry->service = bstr_copy (parent, unpack_bstr (u));
      entry->position.term = unpack_uint (u);
      entry->position.lsn = unpack_uint (u);
      token->count = (int)i + 1;
    }
  return !u->failed;
}

bool
token_decode (void *parent, struct bstr text, struct bstr organisation,
              const unsigned char key[SECRET_BYTES], struct token *token,
              struct error *err)
{
  unsigned char raw[TOKEN_MAX_TEXT];
  size_t len;
  memset (token, 0, sizeof *token);
  if (text.len > TOKEN_MAX_TEXT
      || sodium_base642bin (raw, sizeof raw, text.start, text.len, NULL, &len,
                            NULL, TOKEN_VARIANT)
             != 0
      || len <= crypto_auth_BYTES)
    return error_set (err, ERROR_INVALID, "session token is malformed");
  size_t body = len - crypto_auth_BYTES;
  if (crypto_auth_verify (raw + body, raw, body, key) != 0)
    return error_set (err, ERROR_INVALID,
                      "session token has a wrong signature");
  struct unpack u;
  bool ok = unpack_begin (&u, (struct bstr){ (const char *)raw, body })
            && unpack_body (&u, parent, token);
  unpack_end (&u);
  if (!ok)
    return error_set (err, ERROR_INVALID, "session token is malformed");
  if (!bstr_equals (token->organisation, organisation))
    return error_set (err, ERROR_INVALID,
                      "session token belongs to another organisation");
  return true;
}

static bool
position_is_before (struct position a, struct position b)
{
  return a.term != b.term ? a.term < b.term : a.lsn < b.lsn;
}

void
token_advance (struct token *token, struct bstr service,
               struct position position)
{
  int i = 0;
  while (i < token->count && !bstr_equals (token->entries[i].service, service))
    i++;
  if (i < token->count
      && !position_is_before (token->entries[i].position, position))
    return;
  if (i == TOKEN_MAX_ENTRIES)
    i--;
  else if (i == token->count)
    token->count++;
  /* The entry moves to the front, so that the last one is the least recently
     raised. */
  memmove (&token->entries[1], &token->entries[0],
           (size_t)i * sizeof token->entries[0]);
  token->entries[0] = (struct token_entry){ service, position };
}

struct position
token_position (const struct token *token, struct bstr service)
{
  for (int i = 0; i < token->count; i++)
    if (bstr_equals (token->entries[i].service, service))
      return token->entries[i].position;
  return (struct position){ 0, 0 };
}
