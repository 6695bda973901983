/** @file
 * Strings with an explicit length.  A bstr does not own its bytes; they belong
 * to a talloc parent.
 */
#ifndef COMMON_BSTR_H
#define COMMON_BSTR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <talloc.h>

struct bstr
{
  const char *start;
  size_t len;
};

/** Expand to the two arguments that "%.*s" takes. */
#define BSTR_ARG(s) (int)(s).len, (s).start

/** @return the string @p text; an empty one if @p text is NULL. */
static inline struct bstr
bstr_from (const char *text)
{
  return (struct bstr){ text, text != NULL ? strlen (text) : 0 };
}

static inline bool
bstr_equals (struct bstr a, struct bstr b)
{
  return a.len == b.len
         && (a.len == 0 || memcmp (a.start, b.start, a.len) == 0);
}

static inline bool
bstr_equals_text (struct bstr a, const char *text)
{
  return bstr_equals (a, bstr_from (text));
}

static inline bool
bstr_starts_with (struct bstr s, const char *prefix)
{
  size_t n = strlen (prefix);
  return s.len >= n && memcmp (s.start, prefix, n) == 0;
}

/** Drop the first @p count bytes, or all of them if there are fewer. */
static inline struct bstr
bstr_skip (struct bstr s, size_t count)
{
  if (count > s.len)
    count = s.len;
  return (struct bstr){ s.start + count, s.len - count };
}

/** Shorten @p s to at most @p max_len bytes without splitting a UTF-8
 * sequence. */
static inline struct bstr
bstr_cut (struct bstr s, size_t max_len)
{
  if (s.len <= max_len)
    return s;
  while (max_len > 0 && ((unsigned char)s.start[max_len] & 0xC0) == 0x80)
    max_len--;
  return (struct bstr){ s.start, max_len };
}

/** Copy @p s, with a terminating NUL, into memory owned by @p parent. */
static inline char *
bstr_to_text (void *parent, struct bstr s)
{
  /* talloc_strndup would stop at a NUL inside the string. */
  char *text = talloc_array (parent, char, s.len + 1);
  if (s.len > 0)
    memcpy (text, s.start, s.len);
  text[s.len] = '\0';
  return text;
}

/** Write @p s so that it can stand between quotes in a log line or a label of
 * a metric: quotes and backslashes are escaped, a line feed becomes "\\n",
 * other control characters and NUL become "?".  It is cut to fit.
 * @return @p buffer. */
static inline const char *
bstr_escape (char *buffer, size_t size, struct bstr s)
{
  size_t at = 0;
  for (size_t i = 0; i < s.len && at + 2 < size; i++)
    {
      unsigned char byte = (unsigned char)s.start[i];
      if (byte == '"' || byte == '\\' || byte == '\n')
        buffer[at++] = '\\';
      buffer[at++] = byte == '\n'                   ? 'n'
                     : byte < ' ' || byte == '\x7f' ? '?'
                                                    : (char)byte;
    }
  buffer[at] = '\0';
  return buffer;
}

/** Copy @p s into memory owned by @p parent. */
static inline struct bstr
bstr_copy (void *parent, struct bstr s)
{
  return (struct bstr){ bstr_to_text (parent, s), s.len };
}

#endif
