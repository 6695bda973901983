/** @file
 * Reads TOML with toml++ into a plain tree that keeps line numbers, so that
 * C code can name the line of a wrong value.
 */
#ifndef COMMON_TOML_READER_H
#define COMMON_TOML_READER_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum toml_kind
  {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_TEXT,
    TOML_INTEGER,
    TOML_REAL,
    TOML_BOOLEAN,
    TOML_TIME
  };

  /** Part of the text, as byte offsets. */
  struct toml_span
  {
    size_t start;
    size_t end; /**< After the last byte. */
  };

  struct toml_node
  {
    struct bstr key; /**< Empty in an array and at the root. */
    enum toml_kind kind;
    int line;       /**< Of the key, or of the value in an array; from 1. */
    bool is_inline; /**< A table in braces. */
    /** A value, or the header of a table. */
    struct toml_span span;
    struct bstr text;
    int64_t integer;
    double real; /**< Set for TOML_INTEGER too. */
    bool boolean;
    struct toml_node *children; /**< In the order of the text. */
    int child_count;
  };

  /** Parse @p text.  All memory is owned by the returned root table.
   * @param path for messages only.
   * @return NULL with ERROR_INVALID and "PATH:LINE: cause" in @p err. */
  struct toml_node *toml_reader_parse (void *parent, const char *path,
                                       struct bstr text, struct error *err);

  /** @return the child of a table, NULL if @p table is NULL or has no such
   * key. */
  const struct toml_node *toml_reader_find (const struct toml_node *table,
                                            struct bstr key);

  /** @return a noun for messages, such as "a table". */
  const char *toml_reader_kind_name (enum toml_kind kind);

#ifdef __cplusplus
}
#endif

#endif
