#include "standins/postgres_wire.h"

#include <arpa/inet.h>
#include <endian.h>

void
wire_append (void *parent, struct wire_buffer *b, const void *bytes,
             size_t len)
{
  if (b->start + b->used + len > b->size && b->start > 0)
    {
      memmove (b->bytes, b->bytes + b->start, b->used);
      b->start = 0;
    }
  if (b->used + len > b->size)
    {
      size_t size = b->size > 0 ? b->size : 512;
      while (size < b->used + len)
        size *= 2;
      b->bytes = talloc_realloc (parent, b->bytes, char, size);
      b->size = size;
    }
  if (len > 0)
    memcpy (wire_data (b) + b->used, bytes, len);
  b->used += len;
}

void
wire_consume (struct wire_buffer *b, size_t len)
{
  b->used -= len;
  b->start = b->used > 0 ? b->start + len : 0;
}

size_t
wire_begin_message (void *parent, struct wire_buffer *b, char type)
{
  size_t offset = b->used;
  wire_append (parent, b, &type, 1);
  wire_append_int32 (parent, b, 0);
  return offset;
}

void
wire_end_message (struct wire_buffer *b, size_t offset)
{
  uint32_t len = htonl ((uint32_t)(b->used - offset - 1));
  memcpy (wire_data (b) + offset + 1, &len, sizeof len);
}

void
wire_append_int16 (void *parent, struct wire_buffer *b, int value)
{
  uint16_t raw = htons ((uint16_t)value);
  wire_append (parent, b, &raw, sizeof raw);
}

void
wire_append_int32 (void *parent, struct wire_buffer *b, int32_t value)
{
  uint32_t raw = htonl ((uint32_t)value);
  wire_append (parent, b, &raw, sizeof raw);
}

void
wire_append_int64 (void *parent, struct wire_buffer *b, uint64_t value)
{
  uint64_t raw = htobe64 (value);
  wire_append (parent, b, &raw, sizeof raw);
}

void
wire_append_text (void *parent, struct wire_buffer *b, const char *text)
{
  wire_append (parent, b, text, strlen (text) + 1);
}

uint32_t
wire_decode_uint32 (const char *bytes)
{
  uint32_t raw;
  memcpy (&raw, bytes, sizeof raw);
  return ntohl (raw);
}

uint64_t
wire_decode_uint64 (const char *bytes)
{
  uint64_t raw;
  memcpy (&raw, bytes, sizeof raw);
  return be64toh (raw);
}

struct bstr
wire_get_bytes (struct wire_reader *r, size_t len)
{
  if (r->failed || r->rest.len < len)
    {
      r->failed = true;
      return (struct bstr){ NULL, 0 };
    }
  struct bstr result = { r->rest.start, len };
  r->rest = bstr_skip (r->rest, len);
  return result;
}

int
wire_get_int16 (struct wire_reader *r)
{
  struct bstr raw = wire_get_bytes (r, 2);
  uint16_t value;
  if (r->failed)
    return 0;
  memcpy (&value, raw.start, sizeof value);
  return (int16_t)ntohs (value);
}

int32_t
wire_get_int32 (struct wire_reader *r)
{
  struct bstr raw = wire_get_bytes (r, 4);
  return r->failed ? 0 : (int32_t)wire_decode_uint32 (raw.start);
}

const char *
wire_get_text (struct wire_reader *r)
{
  const char *end
      = r->rest.len > 0 ? memchr (r->rest.start, 0, r->rest.len) : NULL;
  if (r->failed || end == NULL)
    {
      r->failed = true;
      return "";
    }
  return wire_get_bytes (r, (size_t)(end - r->rest.start) + 1).start;
}
