/** @file
 * Parses JSON documents that contain values of other writers.
 */
#ifndef COMMON_JSON_LENIENT_H
#define COMMON_JSON_LENIENT_H

#include "common/bstr.h"

#include <jansson.h>

/** Parse an object or array.  A document that json_loadb accepts gives the
 * same value.  In any other one the root, the elements of arrays that are
 * split, and the members that @p split names are split into their parts, down
 * to a fixed depth.  A part that cannot be represented becomes null: a number
 * out of range, text that is not UTF-8 or contains a NUL, nesting that is too
 * deep, or malformed text between balanced brackets.  A member whose name
 * cannot be represented is left out.
 * @param split names of members, ends with NULL.
 * @param unreadable set to the number of parts that were replaced or left out.
 * @return a new reference; NULL if strings or brackets are not closed in
 * order, or if the root cannot be split. */
json_t *json_lenient_parse (struct bstr text, const char *const *split,
                            size_t *unreadable);

#endif
