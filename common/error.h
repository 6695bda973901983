/** @file
 * The error struct that callers pass down.  Each layer sets its own code;
 * a layer above replaces the code by one of its own and keeps the text of
 * the cause.
 */
#ifndef COMMON_ERROR_H
#define COMMON_ERROR_H

#include <stdbool.h>

enum error_code
{
  ERROR_NONE = 0,
  ERROR_INVALID,     /**< Input from outside is malformed or out of range. */
  ERROR_NOT_FOUND,   /**< The named thing does not exist. */
  ERROR_CONFLICT,    /**< A conditional update met another version. */
  ERROR_REFUSED,     /**< A rule or a limit forbids the call. */
  ERROR_UNAVAILABLE, /**< A peer, endpoint or the platform did not answer. */
  ERROR_UNKNOWN,     /**< Whether the call took effect is not known. */
  ERROR_INTERNAL     /**< A library call failed unexpectedly. */
};

struct error
{
  enum error_code code;
  char text[256];
};

/** Set code and text.  Does nothing if @p err is NULL.
 * @return false, so that a caller can return the result. */
bool error_set (struct error *err, enum error_code code, const char *format,
                ...) __attribute__ ((format (printf, 3, 4)));

/** Turn an error of the layer below into one of this layer: replace the
 * code and put the formatted context before the text.
 * @return false. */
bool error_wrap (struct error *err, enum error_code code, const char *format,
                 ...) __attribute__ ((format (printf, 3, 4)));

/** @return the stable lower-case name of @p code. */
const char *error_name (enum error_code code);

#endif
