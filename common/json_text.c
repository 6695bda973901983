#include "common/json_text.h"

#include <stdlib.h>

struct bstr
json_text_take (void *parent, json_t *json, size_t flags)
{
  char *text = json_dumps (json, flags);
  struct bstr result = bstr_copy (parent, bstr_from (text));
  free (text);
  json_decref (json);
  return result;
}

/* @return the length of the UTF-8 character at the start of @p text, 0 if
   there is none. */
static size_t
character_len (struct bstr text)
{
  for (size_t len = 1; len <= 4 && len <= text.len; len++)
    {
      json_t *json = json_stringn (text.start, len);
      json_decref (json);
      if (json != NULL)
        return len;
    }
  return 0;
}

json_t *
json_text_readable (struct bstr text)
{
  json_t *json = json_stringn (text.start != NULL ? text.start : "", text.len);
  if (json != NULL)
    return json;
  char *readable = talloc_strdup (NULL, "");
  while (text.len > 0)
    {
      size_t len = character_len (text);
      readable = len > 0
                     ? talloc_strndup_append_buffer (readable, text.start, len)
                     : talloc_strdup_append_buffer (readable, "\xEF\xBF\xBD");
      text = bstr_skip (text, len > 0 ? len : 1);
    }
  json = json_string (readable);
  talloc_free (readable);
  return json;
}
