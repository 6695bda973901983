/** @file
 * Session tokens: the positions that a caller has written or read, signed
 * and bound to its organisation.  Format: base64url of
 * msgpack([1, organisation, [[service, term, lsn], ...]]) and its
 * authenticator (libsodium crypto_auth, 32 bytes).
 */
#ifndef PROTO_TOKEN_H
#define PROTO_TOKEN_H

#include "common/bstr.h"
#include "common/error.h"
#include "core/types.h"

#define TOKEN_MAX_ENTRIES 16 /**< Most services in one token. */
#define SECRET_BYTES 32 /**< Length of the fleet secret and derived keys. */
#define TOKEN_MAX_TEXT 4096 /**< In bytes. */

/** The newest position of one service that the caller has written or read. */
struct token_entry
{
  struct bstr service;
  struct position position;
};

/** A decoded session token. */
struct token
{
  struct bstr organisation;
  struct token_entry entries[TOKEN_MAX_ENTRIES]; /**< Last raised first. */
  int count;
};

/** Derive the key for @p purpose (at most 8 characters) from the fleet secret,
 * so that tokens and peer messages have different keys from one secret. */
void secret_derive (unsigned char key[SECRET_BYTES],
                    const unsigned char secret[SECRET_BYTES],
                    const char *purpose);

/** @return the token as printable text, owned by @p parent. */
char *token_encode (void *parent, const struct token *token,
                    const unsigned char key[SECRET_BYTES]);

/** Verify and decode a token; its strings are owned by @p parent.
 * @return false with ERROR_INVALID if it is forged, malformed or belongs to
 * another organisation. */
bool token_decode (void *parent, struct bstr text, struct bstr organisation,
                   const unsigned char key[SECRET_BYTES], struct token *token,
                   struct error *err);

/** Raise the position of @p service, whose bytes the token refers to; a lower
 * position is ignored.  If the token is full, the least recently raised entry
 * is dropped. */
void token_advance (struct token *token, struct bstr service,
                    struct position position);
/** @return the position of @p service; term 0 if the token has none. */
struct position token_position (const struct token *token,
                                struct bstr service);

#endif
