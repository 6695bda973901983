/** @file
 * Parses TOML with toml++ into a tree of C structs that keeps line numbers, so
 * that C code can report the line of an invalid value.
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
    TOML_TIME /**< A date, a time or both; its value is not kept. */
  };

  /** A range of the parsed text, as byte offsets. */
  struct toml_span
  {
    size_t start;
    size_t end; /**< After the last byte. */
  };

  /** A value, an array or a table. */
  struct toml_node
  {
    struct bstr key; /**< Empty in an array and at the root. */
    enum toml_kind kind;
    int line;       /**< Line of the key, or of a value in an array; from 1. */
    bool is_inline; /**< TOML_TABLE: written in braces. */
    /** Range of the value, or of the header of a table. */
    struct toml_span span;
    struct bstr text;           /**< TOML_TEXT. */
    int64_t integer;            /**< TOML_INTEGER. */
    double real;                /**< TOML_REAL and TOML_INTEGER. */
    bool boolean;               /**< TOML_BOOLEAN. */
    struct toml_node *children; /**< In the order of the text. */
    int child_count;
  };

  /** Parse @p text.  All memory is owned by the returned root table.
   * @param path used in messages only.
   * @return NULL with ERROR_INVALID and "PATH:LINE: cause" in @p err. */
  struct toml_node *toml_reader_parse (void *parent, const char *path,
                                       struct bstr text, struct error *err);

  /** @return the child of a table, NULL if @p table is NULL or has no such
   * key. */
  const struct toml_node *toml_reader_find (const struct toml_node *table,
                                            struct bstr key);

  /** @return the kind as a noun for messages, such as "a table". */
  const char *toml_reader_kind_name (enum toml_kind kind);

#ifdef __cplusplus
}
#endif

#endif
