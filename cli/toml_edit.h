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
 * @return the new text owned by @p parent.  On failure start is NULL and
 * @p err is set: ERROR_NOT_FOUND if the table does not exist, ERROR_INVALID if
 * the table is written in a form that cannot be edited in place. */
struct bstr toml_edit_set (void *parent, struct bstr text,
                           const char *const *path, const char *key,
                           const char *value, struct error *err);

#endif
