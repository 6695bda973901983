/** @file
 * Server side of PostgreSQL's wire protocol, version 3: framing
 * and integers only.
 * Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol".
 */
#ifndef STANDINS_POSTGRES_WIRE_H
#define STANDINS_POSTGRES_WIRE_H

#include "common/bstr.h"

#include <stdint.h>

/** Growing buffer of bytes to send, or of bytes received. */
struct wire_buffer
{
  char *bytes;  /**< Owned by the talloc parent of the struct. */
  size_t start; /**< Offset of the first byte not yet consumed. */
  size_t used;  /**< Bytes in use from there on. */
  size_t size;  /**< Allocated bytes. */
};

/** @return the first byte not yet consumed. */
static inline char *
wire_data (const struct wire_buffer *b)
{
  return b->bytes + b->start;
}

void wire_append (void *parent, struct wire_buffer *b, const void *bytes,
                  size_t len);
void wire_consume (struct wire_buffer *b, size_t len);

/** Start a message.  Nothing may be consumed before wire_end_message.
 * @return its offset, for wire_end_message. */
size_t wire_begin_message (void *parent, struct wire_buffer *b, char type);

/** Write the length of the message into its header. */
void wire_end_message (struct wire_buffer *b, size_t offset);
void wire_append_int16 (void *parent, struct wire_buffer *b, int value);
void wire_append_int32 (void *parent, struct wire_buffer *b, int32_t value);
void wire_append_int64 (void *parent, struct wire_buffer *b, uint64_t value);
void wire_append_text (void *parent, struct wire_buffer *b, const char *text);

uint32_t wire_decode_uint32 (const char *bytes);
uint64_t wire_decode_uint64 (const char *bytes);

/** Reader over one message's payload; a read past the end sets @c failed. */
struct wire_reader
{
  struct bstr rest; /**< Bytes not yet read. */
  bool failed;
};

int wire_get_int16 (struct wire_reader *r);
int32_t wire_get_int32 (struct wire_reader *r);

/** @return a NUL-terminated string inside the payload, "" past the end. */
const char *wire_get_text (struct wire_reader *r);

struct bstr wire_get_bytes (struct wire_reader *r, size_t len);

#endif
