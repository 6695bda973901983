#include "common/buffer.h"

#include <stdarg.h>
#include <stdio.h>

/* Size of the first allocation; later ones double it. */
#define FIRST_BYTES 128

void
buffer_add (struct buffer *b, struct bstr bytes)
{
  size_t size = b->start != NULL ? talloc_get_size (b->start) : 0;
  if (bytes.len == 0)
    return;
  if (b->start == NULL || b->len + bytes.len > size)
    {
      if (size == 0)
        size = FIRST_BYTES;
      while (size < b->len + bytes.len)
        size *= 2;
      b->start = talloc_realloc (b->parent, b->start, char, size);
    }
  memcpy (b->start + b->len, bytes.start, bytes.len);
  b->len += bytes.len;
}

void
buffer_add_text (struct buffer *b, const char *text)
{
  buffer_add (b, bstr_from (text));
}

void
buffer_add_format (struct buffer *b, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = talloc_vasprintf (b->parent, format, args);
  va_end (args);
  buffer_add_text (b, text);
  talloc_free (text);
}

struct bstr
buffer_bytes (const struct buffer *b)
{
  return (struct bstr){ b->start, b->len };
}

void
buffer_clear (struct buffer *b)
{
  TALLOC_FREE (b->start);
  b->len = 0;
}
