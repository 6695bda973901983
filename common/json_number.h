/** @file
 * Numbers of 64 bits in JSON.  They are written as text, because JSON
 * readers often use doubles.
 */
#ifndef COMMON_JSON_NUMBER_H
#define COMMON_JSON_NUMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** @return a new reference to decimal text. */
json_t *json_number_new (uint64_t value);

/** Read the member @p name of @p object.
 * @return false if it is absent or not the text of a number from 0 to
 * UINT64_MAX in decimal digits only. */
bool json_number_get (const json_t *object, const char *name, uint64_t *value);

#endif
