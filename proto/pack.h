/** @file
 * Thin cover over msgpack: a writer, and a reader that checks types and
 * bounds.  A reader that met an error returns zeros from then on.
 */
#ifndef PROTO_PACK_H
#define PROTO_PACK_H

#include "common/bstr.h"

#include <msgpack.h>

struct pack
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
};

void pack_begin (struct pack *p);
void pack_end (struct pack *p);
/** @return the bytes so far, valid until the next call. */
struct bstr pack_bytes (const struct pack *p);
void pack_array (struct pack *p, unsigned count);
void pack_uint (struct pack *p, uint64_t value);
void pack_int (struct pack *p, int64_t value);
void pack_bool (struct pack *p, bool value);
void pack_double (struct pack *p, double value);
void pack_float (struct pack *p, float value);
void pack_bstr (struct pack *p, struct bstr value);
/** Append bytes that are not msgpack. */
void pack_raw (struct pack *p, const void *bytes, size_t len);

/** Nesting of arrays that a reader follows. */
#define UNPACK_MAX_DEPTH 8

struct unpack
{
  msgpack_unpacked message;
  struct
  {
    const msgpack_object *next;
    uint32_t left;
  } level[UNPACK_MAX_DEPTH];
  int depth;
  bool failed;
};

/** Parse one msgpack value that fills @p bytes. */
bool unpack_begin (struct unpack *u, struct bstr bytes);
void unpack_end (struct unpack *u);
/** Enter an array of exactly @p count elements. */
void unpack_array (struct unpack *u, unsigned count);
/** Enter an array of at most @p most elements. @return its length. */
unsigned unpack_array_any (struct unpack *u, unsigned most);
uint64_t unpack_uint (struct unpack *u);
int64_t unpack_int (struct unpack *u);
bool unpack_bool (struct unpack *u);
double unpack_double (struct unpack *u);
/** @return bytes inside the message. */
struct bstr unpack_bstr (struct unpack *u);
/** Copy a string into a fixed array; too long is an error. */
void unpack_text (struct unpack *u, char *text, size_t size);

#endif
