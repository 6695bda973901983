#include "common/json_number.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

json_t *
json_number_new (uint64_t value)
{
  char text[24];
  snprintf (text, sizeof text, "%" PRIu64, value);
  return json_string (text);
}

bool
json_number_get (const json_t *object, const char *name, uint64_t *value)
{
  const char *text = json_string_value (json_object_get (object, name));
  /* strtoull accepts a sign and converts "-1" to the largest number. */
  if (text == NULL || *text == '\0'
      || strspn (text, "0123456789") != strlen (text))
    return false;
  errno = 0;
  *value = strtoull (text, NULL, 10);
  return errno == 0;
}
