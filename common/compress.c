#include "common/compress.h"

#include <talloc.h>
#include <zlib.h>

struct bstr
compress_text (void *parent, struct bstr text, struct error *err)
{
  uLongf size = compressBound (text.len);
  Bytef *bytes = talloc_array (parent, Bytef, size);
  int rc = compress2 (bytes, &size, (const Bytef *)text.start, text.len,
                      Z_BEST_SPEED);
  if (rc != Z_OK)
    {
      talloc_free (bytes);
      error_set (err, ERROR_INTERNAL, "cannot compress %zu bytes: %s",
                 text.len, zError (rc));
      return (struct bstr){ NULL, 0 };
    }
  bytes = talloc_realloc (parent, bytes, Bytef, size);
  return (struct bstr){ (const char *)bytes, size };
}

struct bstr
compress_restore (void *parent, struct bstr bytes, size_t length,
                  struct error *err)
{
  uLongf size = length;
  char *text = talloc_array (parent, char, length + 1);
  int rc = uncompress ((Bytef *)text, &size, (const Bytef *)bytes.start,
                       bytes.len);
  if (rc != Z_OK || size != length)
    {
      talloc_free (text);
      error_set (err, ERROR_INVALID,
                 "%zu compressed bytes do not expand to %zu bytes: %s",
                 bytes.len, length, zError (rc));
      return (struct bstr){ NULL, 0 };
    }
  text[length] = '\0';
  return (struct bstr){ text, length };
}
