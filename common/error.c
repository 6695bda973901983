#include "common/error.h"

#include "common/bstr.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Size of a buffer for a text before it is shortened.  It exceeds that of
   error.text, so that bstr_cut sees whether a character crosses the limit. */
#define FULL_TEXT_BYTES (sizeof ((struct error *)NULL)->text + 4)

/* Texts become part of JSON answers, where an incomplete character is not
   allowed. */
static void
set_text (struct error *err, const char *full)
{
  struct bstr cut = bstr_cut (bstr_from (full), sizeof err->text - 1);
  memcpy (err->text, cut.start, cut.len);
  err->text[cut.len] = '\0';
}

bool
error_set (struct error *err, enum error_code code, const char *format, ...)
{
  if (err != NULL)
    {
      char full[FULL_TEXT_BYTES];
      va_list args;
      va_start (args, format);
      vsnprintf (full, sizeof full, format, args);
      va_end (args);
      err->code = code;
      set_text (err, full);
    }
  return false;
}

bool
error_wrap (struct error *err, enum error_code code, const char *format, ...)
{
  if (err != NULL)
    {
      char full[FULL_TEXT_BYTES];
      va_list args;
      va_start (args, format);
      int used = vsnprintf (full, sizeof full, format, args);
      va_end (args);
      err->code = code;
      if (used >= 0 && (size_t)used < sizeof full)
        snprintf (full + used, sizeof full - (size_t)used, ": %s", err->text);
      set_text (err, full);
    }
  return false;
}

const char *
error_name (enum error_code code)
{
  static const char *const names[] = {
    [ERROR_NONE] = "none",           [ERROR_INVALID] = "invalid",
    [ERROR_NOT_FOUND] = "not_found", [ERROR_CONFLICT] = "conflict",
    [ERROR_REFUSED] = "refused",     [ERROR_UNAVAILABLE] = "unavailable",
    [ERROR_UNKNOWN] = "unknown",     [ERROR_INTERNAL] = "internal",
  };
  return names[code];
}
