/** @file
 * A length-counted string that grows at its end.  Any byte may be added, NUL
 * too; nothing is terminated.
 */
#ifndef COMMON_BUFFER_H
#define COMMON_BUFFER_H

#include "common/bstr.h"

/** A growing string; a zeroed one with a parent is empty. */
struct buffer
{
  void *parent; /**< Talloc parent of the bytes. */
  char *start;  /**< NULL: empty. */
  size_t len;
};

void buffer_add (struct buffer *b, struct bstr bytes);
/** Add a text that ends at a NUL, for words that the program itself chose. */
void buffer_add_text (struct buffer *b, const char *text);
/** Add a formatted text, for numbers; strings from outside are added with
 * buffer_add, as printf ends them at a NUL. */
void buffer_add_format (struct buffer *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** @return the bytes, valid until more are added. */
struct bstr buffer_bytes (const struct buffer *b);
/** Free the bytes; the buffer is empty then. */
void buffer_clear (struct buffer *b);

#endif
