/** @file
 * Server side of PostgreSQL's wire protocol, version 3: framing only.
 * Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol".
 */
#ifndef STANDINS_POSTGRES_WIRE_H
#define STANDINS_POSTGRES_WIRE_H

#include "common/bstr.h"

#include <stdint.h>

/** Growing buffer of bytes to send or bytes received. */
struct wire_buffer
{
  char *bytes;  /**< Owned by the talloc parent of the struct. */
  size_t start; /**< Bytes before it were consumed. */
  size_t used;  /**< Bytes from the start. */
  size_t size;
};

static inline char *
wire_data (const struct wire_buffer *b)
{
  return b->bytes + b->start;
}

void wire_append (void *parent, struct wire_buffer *b, const void *bytes,
                  size_t len);
void wire_consume (struct wire_buffer *b, size_t len);

/** Start a message; @return its offset, for wire_end.  Nothing may be
 * consumed before wire_end. */
size_t wire_begin (void *parent, struct wire_buffer *b, char type);
void wire_end (struct wire_buffer *b, size_t offset);
void wire_int16 (void *parent, struct wire_buffer *b, int value);
void wire_int32 (void *parent, struct wire_buffer *b, int32_t value);
void wire_int64 (void *parent, struct wire_buffer *b, uint64_t value);
void wire_text (void *parent, struct wire_buffer *b, const char *text);

uint32_t wire_read32 (const char *bytes);
uint64_t wire_read64 (const char *bytes);

/** Reader over one message's payload; reads past the end set @c failed. */
struct wire_reader
{
  struct bstr rest;
  bool failed;
};

int wire_get16 (struct wire_reader *r);
int32_t wire_get32 (struct wire_reader *r);
/** @return a NUL-terminated string inside the payload. */
const char *wire_get_text (struct wire_reader *r);
struct bstr wire_get_bytes (struct wire_reader *r, size_t len);

#endif
