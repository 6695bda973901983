/** @file
 * Changes single values in a TOML text and keeps the rest, including
 * comments, byte for byte.
 */
#ifndef CLI_TOML_EDIT_H
#define CLI_TOML_EDIT_H

#include "common/bstr.h"
#include "common/error.h"

/** Set @p key in an existing table.
 * @param path keys from the root to the table, ends with NULL.
 * @param value the value in TOML syntax.
 * @return the new text owned by @p parent; start is NULL with
 * ERROR_NOT_FOUND in @p err if the table does not exist. */
struct bstr toml_edit_set (void *parent, struct bstr text,
                           const char *const *path, const char *key,
                           const char *value, struct error *err);

#endif
