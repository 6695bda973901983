/** @file
 * Session tokens: the positions that a caller has written or read, signed
 * and bound to its organisation.  Shape: base64url of
 * msgpack([1, organisation, [[service, term, lsn], ...]]) and its
 * authenticator (libsodium crypto_auth, 32 bytes).
 */
#ifndef PROTO_TOKEN_H
#define PROTO_TOKEN_H

#include "common/bstr.h"
#include "common/error.h"
#include "core/types.h"

#define TOKEN_MAX_ENTRIES 16
#define SECRET_BYTES 32
#define TOKEN_MAX_TEXT 4096

struct token_entry
{
  struct bstr service;
  struct position position;
};

struct token
{
  struct bstr organisation;
  struct token_entry entries[TOKEN_MAX_ENTRIES];
  int count;
};

/** Derive a key of its own for @p purpose (8 characters) from the fleet
 * secret, so that one secret serves tokens and peer messages. */
void secret_derive (unsigned char key[SECRET_BYTES],
                    const unsigned char secret[SECRET_BYTES],
                    const char *purpose);

/** @return printable text owned by @p parent. */
char *token_encode (void *parent, const struct token *token,
                    const unsigned char key[SECRET_BYTES]);

/** Check and read a token; its strings are owned by @p parent.
 * @return false with ERROR_INVALID if it is forged, malformed or belongs to
 * another organisation. */
bool token_decode (void *parent, struct bstr text, struct bstr organisation,
                   const unsigned char key[SECRET_BYTES], struct token *token,
                   struct error *err);

/** Raise the position of @p service; the oldest entry gives way when the
 * token is full. */
void token_advance (struct token *token, struct bstr service,
                    struct position position);
struct position token_position (const struct token *token,
                                struct bstr service);

#endif
