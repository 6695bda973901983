#include "common/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Least free space of the buffer before each read. */
#define CHUNK_BYTES 4096

char *
file_read (void *parent, const char *path, size_t max_bytes, size_t *len,
           struct error *err)
{
  FILE *file = fopen (path, "rb");
  char *bytes = NULL;
  size_t used = 0, size = 0;
  if (file == NULL)
    {
      error_set (err, ERROR_INVALID, "%s: %s", path, strerror (errno));
      return NULL;
    }
  do
    {
      if (size - used < CHUNK_BYTES + 1)
        {
          size = 2 * size + CHUNK_BYTES + 1;
          bytes = talloc_realloc (parent, bytes, char, size);
        }
      used += fread (bytes + used, 1, size - used - 1, file);
    }
  while (!feof (file) && !ferror (file) && used <= max_bytes);
  bool failed = ferror (file);
  fclose (file);
  if (failed || used > max_bytes)
    {
      talloc_free (bytes);
      error_set (err, ERROR_INVALID,
                 "%s: read error, or larger than %zu bytes", path, max_bytes);
      return NULL;
    }
  bytes[used] = '\0';
  if (len != NULL)
    *len = used;
  return bytes;
}
