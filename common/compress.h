/** @file
 * Compression of long texts that are sent to many.
 */
#ifndef COMMON_COMPRESS_H
#define COMMON_COMPRESS_H

#include "common/bstr.h"
#include "common/error.h"

/** @return compressed bytes owned by @p parent; length 0 with
 * ERROR_INTERNAL. */
struct bstr compress_text (void *parent, struct bstr text, struct error *err);

/** Restore what compress_text made.
 * @param length of the text, in bytes, as the sender says.
 * @return the text, owned by @p parent; length 0 with ERROR_INVALID if the
 * bytes are not a compressed text of this length. */
struct bstr compress_restore (void *parent, struct bstr bytes, size_t length,
                              struct error *err);

#endif
