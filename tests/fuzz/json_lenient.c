/** @file
 * Fuzzes the parser of documents with values of other writers.  It must agree
 * with json_loadb on each document that json_loadb accepts, also where that
 * document is split because a part that cannot be represented was added.
 */
#include "common/json_lenient.h"
#include "tests/fuzz/fuzz.h"

/* Keeps the nesting well below the limit of jansson, at which the added part
   would count. */
#define MAX_COMPARED_BYTES 1500

static const char *const split[]
    = { "items", "events", "object", "meta", NULL };

static json_t *
parse (struct bstr text, size_t *unreadable)
{
  return json_lenient_parse (text, split, unreadable);
}

/* A document of which the strict value is an element. */
static void
check_as_element (void *scratch, struct bstr text, json_t *strict)
{
  size_t unreadable;
  struct bstr open = bstr_from ("[1e999,"), all;
  char *bytes = talloc_array (scratch, char, open.len + text.len + 1);
  memcpy (bytes, open.start, open.len);
  memcpy (bytes + open.len, text.start, text.len);
  bytes[open.len + text.len] = ']';
  all = (struct bstr){ bytes, open.len + text.len + 1 };
  json_t *json = parse (all, &unreadable);
  FUZZ_CHECK (json_array_size (json) == 2 && unreadable == 1);
  FUZZ_CHECK (json_is_null (json_array_get (json, 0)));
  FUZZ_CHECK (json_equal (json_array_get (json, 1), strict));
  json_decref (json);
}

/* The document itself with one more part, so that it is split. */
static void
check_as_parts (void *scratch, struct bstr text, json_t *strict)
{
  size_t unreadable;
  struct bstr part
      = bstr_from (json_is_object (strict) ? "\"odd part\":1e999," : "1e999,");
  while (text.start[0] != '{' && text.start[0] != '[')
    text = bstr_skip (text, 1);
  if (json_object_get (strict, "odd part") != NULL
      || json_object_size (strict) + json_array_size (strict) == 0)
    return;
  char *bytes = talloc_array (scratch, char, part.len + text.len);
  bytes[0] = text.start[0];
  memcpy (bytes + 1, part.start, part.len);
  memcpy (bytes + 1 + part.len, text.start + 1, text.len - 1);
  json_t *json
      = parse ((struct bstr){ bytes, part.len + text.len }, &unreadable);
  FUZZ_CHECK (json != NULL && unreadable == 1);
  if (json_is_object (strict))
    json_object_del (json, "odd part");
  else
    json_array_remove (json, 0);
  FUZZ_CHECK (json_equal (json, strict));
  json_decref (json);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bstr text = { (const char *)data, size };
  void *scratch = talloc_new (NULL);
  size_t unreadable;
  json_t *strict = size > 0 ? json_loadb (text.start, size, 0, NULL) : NULL;
  json_t *json = parse (text, &unreadable);
  if (strict != NULL)
    FUZZ_CHECK (json_equal (json, strict) && unreadable == 0);
  else
    FUZZ_CHECK ((json != NULL) == (unreadable > 0));
  if (strict != NULL && size <= MAX_COMPARED_BYTES)
    {
      check_as_element (scratch, text, strict);
      check_as_parts (scratch, text, strict);
    }
  if (json != NULL)
    {
      /* Other daemons get copies. */
      char *copy = json_dumps (json, JSON_COMPACT);
      json_t *again = json_loads (copy, 0, NULL);
      FUZZ_CHECK (json_equal (json, again));
      json_decref (again);
      free (copy);
    }
  json_decref (strict);
  json_decref (json);
  talloc_free (scratch);
  return 0;
}
