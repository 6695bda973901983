#include "proto/pack.h"

#include <math.h>

void
pack_begin (struct pack *p)
{
  msgpack_sbuffer_init (&p->buffer);
  msgpack_packer_init (&p->packer, &p->buffer, msgpack_sbuffer_write);
}

void
pack_end (struct pack *p)
{
  msgpack_sbuffer_destroy (&p->buffer);
}

struct bstr
pack_bytes (const struct pack *p)
{
  return (struct bstr){ p->buffer.data, p->buffer.size };
}

void
pack_array (struct pack *p, unsigned count)
{
  msgpack_pack_array (&p->packer, count);
}

void
pack_uint (struct pack *p, uint64_t value)
{
  msgpack_pack_uint64 (&p->packer, value);
}

void
pack_int (struct pack *p, int64_t value)
{
  msgpack_pack_int64 (&p->packer, value);
}

void
pack_bool (struct pack *p, bool value)
{
  if (value)
    msgpack_pack_true (&p->packer);
  else
    msgpack_pack_false (&p->packer);
}

void
pack_double (struct pack *p, double value)
{
  msgpack_pack_double (&p->packer, value);
}

void
pack_float (struct pack *p, float value)
{
  msgpack_pack_float (&p->packer, value);
}

void
pack_bstr (struct pack *p, struct bstr value)
{
  msgpack_pack_str (&p->packer, value.len);
  msgpack_pack_str_body (&p->packer, value.start, value.len);
}

void
pack_raw (struct pack *p, const void *bytes, size_t len)
{
  msgpack_sbuffer_write (&p->buffer, bytes, len);
}

/* @return whether @p bytes contain only the types that the writer above uses.
   For an array with a 32-bit count msgpack would allocate up to 96 GiB before
   it reads the elements; no array that fits into a message needs such a
   count. */
static bool
has_only_known_types (struct bstr bytes)
{
  static const unsigned char number_sizes[]
      = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 }; /* From float32 to int64. */
  const unsigned char *at = (const unsigned char *)bytes.start;
  size_t left = bytes.len;
  while (left > 0)
    {
      unsigned char type = *at;
      size_t size = 1;
      if (type >= 0xCA && type <= 0xD3)
        size += number_sizes[type - 0xCA];
      else if (type >= 0xA0 && type <= 0xBF)
        size += type & 0x1F;
      else if (type == 0xD9 && left >= 2)
        size += 1 + (size_t)at[1];
      else if (type == 0xDA && left >= 3)
        size += 2 + ((size_t)at[1] << 8 | at[2]);
      else if (type == 0xDB && left >= 5)
        size += 4
                + ((size_t)at[1] << 24 | (size_t)at[2] << 16
                   | (size_t)at[3] << 8 | at[4]);
      else if (type == 0xDC)
        size += 2;
      else if (!(type <= 0x7F || type >= 0xE0 || (type & 0xF0) == 0x90
                 || type == 0xC2 || type == 0xC3))
        return false;
      if (size > left)
        return false;
      at += size;
      left -= size;
    }
  return true;
}

bool
unpack_begin (struct unpack *u, struct bstr bytes)
{
  size_t used = 0;
  memset (u, 0, sizeof *u);
  msgpack_unpacked_init (&u->message);
  if (!has_only_known_types (bytes)
      || msgpack_unpack_next (&u->message, bytes.start, bytes.len, &used)
             != MSGPACK_UNPACK_SUCCESS
      || used != bytes.len)
    {
      u->failed = true;
      return false;
    }
  u->level[0].next = &u->message.data;
  u->level[0].left = 1;
  return true;
}

void
unpack_end (struct unpack *u)
{
  msgpack_unpacked_destroy (&u->message);
}

/* Advance to the next value.
   @return it, or NULL if there is none or it is not of @p type. */
static const msgpack_object *
next_object (struct unpack *u, msgpack_object_type type)
{
  while (!u->failed && u->depth > 0 && u->level[u->depth].left == 0)
    u->depth--;
  if (u->failed || u->level[u->depth].left == 0)
    {
      u->failed = true;
      return NULL;
    }
  const msgpack_object *object = u->level[u->depth].next++;
  u->level[u->depth].left--;
  if (object->type != type)
    {
      u->failed = true;
      return NULL;
    }
  return object;
}

unsigned
unpack_array_any (struct unpack *u, unsigned max_count)
{
  const msgpack_object *object = next_object (u, MSGPACK_OBJECT_ARRAY);
  if (object == NULL || object->via.array.size > max_count
      || u->depth + 1 >= UNPACK_MAX_DEPTH)
    {
      u->failed = true;
      return 0;
    }
  u->depth++;
  u->level[u->depth].next = object->via.array.ptr;
  u->level[u->depth].left = object->via.array.size;
  return object->via.array.size;
}

void
unpack_array (struct unpack *u, unsigned count)
{
  if (unpack_array_any (u, count) != count)
    u->failed = true;
}

uint64_t
unpack_uint (struct unpack *u)
{
  const msgpack_object *object
      = next_object (u, MSGPACK_OBJECT_POSITIVE_INTEGER);
  return object != NULL ? object->via.u64 : 0;
}

int64_t
unpack_int (struct unpack *u)
{
  while (u->depth > 0 && u->level[u->depth].left == 0)
    u->depth--;
  if (!u->failed && u->level[u->depth].left > 0
      && u->level[u->depth].next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return next_object (u, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
  uint64_t value = unpack_uint (u);
  if (value > INT64_MAX)
    u->failed = true;
  return u->failed ? 0 : (int64_t)value;
}

bool
unpack_bool (struct unpack *u)
{
  const msgpack_object *object = next_object (u, MSGPACK_OBJECT_BOOLEAN);
  return object != NULL && object->via.boolean;
}

double
unpack_double (struct unpack *u)
{
  while (u->depth > 0 && u->level[u->depth].left == 0)
    u->depth--;
  bool single = !u->failed && u->level[u->depth].left > 0
                && u->level[u->depth].next->type == MSGPACK_OBJECT_FLOAT32;
  const msgpack_object *object = next_object (
      u, single ? MSGPACK_OBJECT_FLOAT32 : MSGPACK_OBJECT_FLOAT64);
  double value = object != NULL ? object->via.f64 : 0;
  if (!isfinite (value))
    u->failed = true;
  return u->failed ? 0 : value;
}

struct bstr
unpack_bstr (struct unpack *u)
{
  const msgpack_object *object = next_object (u, MSGPACK_OBJECT_STR);
  if (object == NULL)
    return (struct bstr){ "", 0 };
  return (struct bstr){ object->via.str.ptr, object->via.str.size };
}

void
unpack_text (struct unpack *u, char *text, size_t size)
{
  struct bstr value = unpack_bstr (u);
  if (value.len >= size || memchr (value.start, 0, value.len) != NULL)
    {
      u->failed = true;
      value.len = 0;
    }
  memcpy (text, value.start, value.len);
  text[value.len] = '\0';
}
