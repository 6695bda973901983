/** @file
 * Fuzzes the reader and the writer of the line protocol together: what is
 * parsed and written again is the same, byte for byte, and what is written is
 * one line for a reader that ends lines at CR LF.
 */
#include "platform/wire.h"
#include "tests/fuzz/fuzz.h"

/* Check that the written bytes are one line, with this content. */
static void
check_line (struct buffer *out, struct bstr expected)
{
  struct bstr bytes = buffer_bytes (out);
  FUZZ_CHECK (bytes.len == expected.len + 2);
  FUZZ_CHECK (memcmp (bytes.start, expected.start, expected.len) == 0);
  FUZZ_CHECK (memcmp (bytes.start + expected.len, "\r\n", 2) == 0);
  FUZZ_CHECK (memmem (bytes.start, bytes.len, "\r\n", 2)
              == bytes.start + expected.len);
  buffer_clear (out);
}

/* A statement goes to an endpoint with its id and text unchanged. */
static void
check_request (struct bstr line)
{
  struct wire_request request = wire_parse_request (line);
  struct buffer out = { .parent = NULL };
  if (request.kind != WIRE_QUERY)
    return;
  wire_add_statement (&out, request.id, (struct position){ 0, 0 },
                      request.statement.text);
  check_line (&out, line);
}

/* Rows and signatures go to a caller unchanged; a line without the blank after
   its word has an empty last field. */
static void
check_reply (struct bstr line)
{
  struct wire_reply reply = wire_parse_reply (line);
  struct buffer out = { .parent = NULL };
  bool has_field = memchr (line.start, ' ', line.len) != NULL;
  if (reply.kind == WIRE_ROW)
    wire_add_row (&out, reply.text);
  else if (reply.kind == WIRE_COMPLETE)
    wire_add_complete (&out, reply.text);
  else
    return;
  if (has_field)
    check_line (&out, line);
  buffer_clear (&out);
}

/* Fields of any bytes, split at the first NUL byte of the input, are found
   again in what is written. */
static void
check_fields (struct bstr line)
{
  struct buffer out = { .parent = NULL };
  size_t at = strnlen (line.start, line.len);
  struct bstr name = { line.start, at }, rest = bstr_skip (line, at);
  if (name.len == 0 || rest.len == 0
      || memchr (name.start, ' ', name.len) != NULL
      || memmem (name.start, name.len, "\r\n", 2) != NULL
      || memmem (rest.start, rest.len, "\r\n", 2) != NULL)
    return;
  wire_add_set (&out, name, rest);
  struct bstr bytes = buffer_bytes (&out);
  struct wire_request request
      = wire_parse_request ((struct bstr){ bytes.start, bytes.len - 2 });
  FUZZ_CHECK (request.kind == WIRE_QUERY
              && request.statement.verb == VERB_SET);
  FUZZ_CHECK (bstr_equals (request.statement.name, name));
  FUZZ_CHECK (bstr_equals (request.statement.rest, rest));
  buffer_clear (&out);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bstr line = { (const char *)data, size };
  if (size == 0 || memmem (data, size, "\r\n", 2) != NULL)
    return 0;
  /* The line's end follows, and must not begin before it. */
  check_request (line);
  check_reply (line);
  check_fields (line);
  return 0;
}
