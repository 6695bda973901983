/** @file
 * 64-bit numbers in JSON.  They are written as strings, because many JSON
 * parsers store numbers as doubles and lose digits.
 */
#ifndef COMMON_JSON_NUMBER_H
#define COMMON_JSON_NUMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** @return a new reference to a string with the decimal digits of
 * @p value. */
json_t *json_number_new (uint64_t value);

/** Read the member @p name of @p object.
 * @return false if it is absent or not a string of decimal digits with a value
 * from 0 to UINT64_MAX. */
bool json_number_get (const json_t *object, const char *name, uint64_t *value);

#endif
