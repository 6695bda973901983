/** @file
 * Renders JSON values as text.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include "common/bstr.h"

#include <jansson.h>

/** Render @p json and release the reference to it.
 * @param flags flags of json_dumps, for example JSON_COMPACT.
 * @return the text, owned by @p parent. */
struct bstr json_text_take (void *parent, json_t *json, size_t flags);

/** @return a JSON string of @p text for people, for example of a server's
 * error; each byte that is not part of UTF-8 is replaced by U+FFFD. */
json_t *json_text_readable (struct bstr text);

#endif
