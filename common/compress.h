/** @file
 * Compression of long texts that are sent to many peers.
 */
#ifndef COMMON_COMPRESS_H
#define COMMON_COMPRESS_H

#include "common/bstr.h"
#include "common/error.h"

/** @return the compressed bytes, owned by @p parent; length 0 with
 * ERROR_INTERNAL on failure. */
struct bstr compress_text (void *parent, struct bstr text, struct error *err);

/** Decompress the result of compress_text.
 * @param length of the text in bytes, as stated by the sender.
 * @return the text, owned by @p parent; length 0 with ERROR_INVALID if the
 * bytes are not a compressed text of this length. */
struct bstr compress_restore (void *parent, struct bstr bytes, size_t length,
                              struct error *err);

#endif
