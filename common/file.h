/** @file
 * Reads whole files.
 */
#ifndef COMMON_FILE_H
#define COMMON_FILE_H

#include "common/error.h"

#include <stddef.h>

/** Read a file of at most @p max_bytes.
 * @param len set to its length; may be NULL.
 * @return the content followed by a NUL, owned by @p parent; NULL with
 * ERROR_INVALID, the path and the reason on failure. */
char *file_read (void *parent, const char *path, size_t max_bytes, size_t *len,
                 struct error *err);

#endif
