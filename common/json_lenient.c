#include "common/json_lenient.h"

#include <limits.h>

/* Containers within containers that are split. */
#define MAX_SPLIT_DEPTH 8

struct parser
{
  const char *const *split; /* See json_lenient_parse. */
  size_t unreadable;
};

static json_t *split_container (struct parser *p, struct bstr text, int depth);

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static struct bstr
trim (struct bstr text)
{
  while (text.len > 0 && is_blank (text.start[0]))
    text = bstr_skip (text, 1);
  while (text.len > 0 && is_blank (text.start[text.len - 1]))
    text.len--;
  return text;
}

/* @return the index after the string that begins at @p at, 0 if it has no
   end. */
static size_t
string_end (struct bstr text, size_t at)
{
  for (size_t i = at + 1; i < text.len; i++)
    if (text.start[i] == '\\')
      i++;
    else if (text.start[i] == '"')
      return i + 1;
  return 0;
}

/* @return whether all strings have an end and all brackets are closed in
   order. */
static bool
is_balanced (struct bstr text)
{
  /* One bit for each open bracket: whether it is a brace. */
  unsigned char *braces
      = talloc_zero_array (NULL, unsigned char, text.len / CHAR_BIT + 1);
  size_t depth = 0, i = 0;
  bool balanced = true;
  while (balanced && i < text.len)
    {
      char c = text.start[i];
      size_t after = i + 1;
      if (c == '"')
        {
          after = string_end (text, i);
          balanced = after > 0;
        }
      else if (c == '[' || c == '{')
        {
          unsigned char bit = (unsigned char)(1U << depth % CHAR_BIT);
          if (c == '{')
            braces[depth / CHAR_BIT] |= bit;
          else
            braces[depth / CHAR_BIT] &= (unsigned char)~bit;
          depth++;
        }
      else if (c == ']' || c == '}')
        {
          balanced = depth > 0;
          if (balanced)
            {
              depth--;
              bool is_brace
                  = (braces[depth / CHAR_BIT] >> depth % CHAR_BIT & 1) != 0;
              balanced = is_brace == (c == '}');
            }
        }
      i = after;
    }
  talloc_free (braces);
  return balanced && depth == 0;
}

/* Measure the value at the start of balanced text.
   @param nesting set to the number of containers in each other.
   @return the length up to the comma or closing bracket behind the value. */
static size_t
measure_value (struct bstr text, size_t *nesting)
{
  size_t depth = 0, i = 0;
  *nesting = 0;
  while (i < text.len)
    {
      char c = text.start[i];
      if (depth == 0 && (c == ',' || c == ']' || c == '}'))
        break;
      if (c == '[' || c == '{')
        depth++;
      else if (c == ']' || c == '}')
        depth--;
      if (depth > *nesting)
        *nesting = depth;
      i = c == '"' ? string_end (text, i) : i + 1;
    }
  return i;
}

/* Parse a value that has @p depth containers around it. */
static json_t *
parse_strictly (struct bstr text, size_t nesting, int depth)
{
  /* What is accepted here must also be accepted within a whole document. */
  if (nesting + (size_t)depth >= JSON_PARSER_MAX_DEPTH)
    return NULL;
  return json_loadb (text.start, text.len, JSON_DECODE_ANY, NULL);
}

static bool
is_split (const struct parser *p, const char *name)
{
  const char *const *at = p->split;
  while (*at != NULL && strcmp (*at, name) != 0)
    at++;
  return *at != NULL;
}

/* @param name name of the member; NULL: the value is an element of an array.
   @return a new reference. */
static json_t *
parse_part (struct parser *p, struct bstr text, size_t nesting, int depth,
            const char *name)
{
  json_t *value = parse_strictly (text, nesting, depth);
  size_t unreadable = p->unreadable;
  if (value == NULL && depth < MAX_SPLIT_DEPTH
      && (name == NULL || is_split (p, name)))
    value = split_container (p, text, depth);
  if (value != NULL)
    return value;
  p->unreadable = unreadable + 1;
  return json_null ();
}

/* Remove the name of a member and the colon from @p rest.
   @param name set to a new reference; NULL: the name cannot be represented.
   @return whether there were a string and a colon. */
static bool
take_name (struct bstr *rest, json_t **name)
{
  *name = NULL;
  if (rest->len == 0 || rest->start[0] != '"')
    return false;
  size_t end = string_end (*rest, 0);
  struct bstr text = { rest->start, end };
  *rest = trim (bstr_skip (*rest, end));
  if (rest->len == 0 || rest->start[0] != ':')
    return false;
  *rest = bstr_skip (*rest, 1);
  *name = json_loadb (text.start, text.len, JSON_DECODE_ANY, NULL);
  return true;
}

/* Parse the next part of @p container and remove it, with the comma after it,
   from @p rest.
   @return false if the container is malformed. */
static bool
take_part (struct parser *p, struct bstr *rest, int depth, json_t *container)
{
  json_t *name = NULL;
  size_t nesting;
  bool ok = false;
  if (json_is_object (container) && !take_name (rest, &name))
    goto done;
  size_t len = measure_value (*rest, &nesting);
  struct bstr value = trim ((struct bstr){ rest->start, len });
  *rest = bstr_skip (*rest, len);
  if (value.len == 0 || (rest->len > 0 && rest->start[0] != ','))
    goto done;
  if (rest->len > 0)
    {
      *rest = trim (bstr_skip (*rest, 1));
      if (rest->len == 0)
        goto done;
    }
  ok = true;
  if (json_is_array (container))
    json_array_append_new (container,
                           parse_part (p, value, nesting, depth, NULL));
  else if (name != NULL)
    json_object_set_new (
        container, json_string_value (name),
        parse_part (p, value, nesting, depth, json_string_value (name)));
  else
    p->unreadable++;
done:
  json_decref (name);
  return ok;
}

/* Parse the parts of a container that has @p depth containers around it.
   @return a new reference; NULL if the text is no well-formed container. */
static json_t *
split_container (struct parser *p, struct bstr text, int depth)
{
  text = trim (text);
  if (text.len < 2 || (text.start[0] != '{' && text.start[0] != '['))
    return NULL;
  json_t *container = text.start[0] == '{' ? json_object () : json_array ();
  struct bstr rest = trim ((struct bstr){ text.start + 1, text.len - 2 });
  bool ok = true;
  while (ok && rest.len > 0)
    ok = take_part (p, &rest, depth + 1, container);
  if (ok)
    return container;
  json_decref (container);
  return NULL;
}

json_t *
json_lenient_parse (struct bstr text, const char *const *split,
                    size_t *unreadable)
{
  struct parser p = { .split = split };
  json_t *root
      = text.len > 0 ? json_loadb (text.start, text.len, 0, NULL) : NULL;
  if (root == NULL && text.len > 0 && is_balanced (text))
    root = split_container (&p, text, 0);
  *unreadable = root != NULL ? p.unreadable : 0;
  return root;
}
