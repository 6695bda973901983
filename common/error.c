#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
error_set (struct error *err, enum error_code code, const char *format, ...)
{
  if (err != NULL)
    {
      va_list args;
      va_start (args, format);
      err->code = code;
      vsnprintf (err->text, sizeof err->text, format, args);
      va_end (args);
    }
  return false;
}

bool
error_wrap (struct error *err, enum error_code code, const char *format, ...)
{
  if (err != NULL)
    {
      char cause[sizeof err->text];
      memcpy (cause, err->text, sizeof cause);
      va_list args;
      va_start (args, format);
      err->code = code;
      int used = vsnprintf (err->text, sizeof err->text, format, args);
      va_end (args);
      if (used >= 0 && (size_t)used < sizeof err->text)
        snprintf (err->text + used, sizeof err->text - (size_t)used, ": %s",
                  cause);
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
