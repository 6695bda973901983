/** @file
 * Thin wrapper of msgpack: a writer, and a reader that checks types and
 * bounds.  After the first error a reader returns zeros and empty values.
 */
#ifndef PROTO_PACK_H
#define PROTO_PACK_H

#include "common/bstr.h"

#include <msgpack.h>

/** A writer of msgpack values. */
struct pack
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
};

/** Start with an empty buffer, which pack_end frees. */
void pack_begin (struct pack *p);
void pack_end (struct pack *p);
/** @return the bytes written so far, valid until more are written or pack_end
 * is called. */
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

/** Deepest nesting of arrays, including the level outside all arrays. */
#define UNPACK_MAX_DEPTH 8

/** A reader of msgpack values. */
struct unpack
{
  msgpack_unpacked message;
  /** The arrays that the reader has entered, the innermost at @c depth; index
   * 0 stands for the whole message. */
  struct
  {
    const msgpack_object *next; /**< Next element to read. */
    uint32_t left;              /**< Number of elements not read yet. */
  } level[UNPACK_MAX_DEPTH];
  int depth;
  bool failed; /**< An error has occurred. */
};

/** Start to read @p bytes, which must be exactly one msgpack value.  Call
 * unpack_end in any case.
 * @return false if they are not. */
bool unpack_begin (struct unpack *u, struct bstr bytes);
void unpack_end (struct unpack *u);
/** Enter an array of exactly @p count elements. */
void unpack_array (struct unpack *u, unsigned count);
/** Enter an array of at most @p max_count elements. @return its length. */
unsigned unpack_array_any (struct unpack *u, unsigned max_count);
uint64_t unpack_uint (struct unpack *u);
int64_t unpack_int (struct unpack *u);
bool unpack_bool (struct unpack *u);
double unpack_double (struct unpack *u);
/** @return a string that points into the message. */
struct bstr unpack_bstr (struct unpack *u);
/** Copy a string into an array of @p size bytes.  A string that is too long or
 * contains a NUL is an error. */
void unpack_text (struct unpack *u, char *text, size_t size);

#endif
