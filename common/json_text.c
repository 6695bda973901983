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
