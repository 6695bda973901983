#include "cli/toml_edit.h"

#include "common/toml_reader.h"

/* Find the node at the end of a path.
   @return NULL if it does not exist. */
static const struct toml_node *
find_node (const struct toml_node *root, const char *const *path)
{
  for (; root != NULL && *path != NULL; path++)
    root = toml_reader_find (root, bstr_from (*path));
  return root;
}

/* Replace a span of a text by @p with.  The formatted copy is complete: the
   text is valid TOML and therefore has no NUL. */
static struct bstr
replace_span (void *parent, struct bstr text, struct toml_span span,
              const char *with)
{
  struct bstr rest = bstr_skip (text, span.end);
  return bstr_from (talloc_asprintf (parent, "%.*s%s%.*s", (int)span.start,
                                     text.start, with, BSTR_ARG (rest)));
}

/* @return the offset at which a line starts; the first line is line 1. */
static size_t
line_start (struct bstr text, int line)
{
  size_t at = 0;
  for (; line > 1 && at < text.len; at++)
    line -= text.start[at] == '\n';
  return at;
}

/* @return the offset of the newline that ends the line at @p at. */
static size_t
line_end (struct bstr text, size_t at)
{
  while (at < text.len && text.start[at] != '\n')
    at++;
  return at;
}

/* Check whether the line at @p at is the header of the table @p path.  The
   span of a table without a header starts at the header of its first
   sub-table, so the line is parsed on its own to see which table it names. */
static bool
is_header_of (void *scratch, struct bstr text, size_t at,
              const char *const *path)
{
  struct bstr line = { text.start + at, line_end (text, at) - at };
  const struct toml_node *root
      = toml_reader_parse (scratch, "line", line, NULL);
  const struct toml_node *table = find_node (root, path);
  return line.len > 0 && line.start[0] == '[' && table != NULL
         && table->kind == TOML_TABLE && table->child_count == 0;
}

/* Insert a value into a table that is written with dotted keys, such as
   "b.rate = 5".  The new value goes on a line before that of @p child, with
   the same prefix. */
static struct bstr
insert_dotted_key (void *parent, struct bstr text,
                   const struct toml_node *child, const char *key,
                   const char *value)
{
  size_t start = line_start (text, child->line);
  size_t dot = start, equals = start;
  while (equals < text.len && text.start[equals] != '=')
    equals++;
  for (size_t i = start; i < equals; i++)
    if (text.start[i] == '.')
      dot = i + 1;
  char *line = talloc_asprintf (parent, "%.*s%s = %s\n", (int)(dot - start),
                                text.start + start, key, value);
  return replace_span (parent, text, (struct toml_span){ start, start }, line);
}

/* Insert a value at the start of a table, in the syntax of that table. */
static struct bstr
insert_value (void *parent, struct bstr text, const struct toml_node *table,
              const char *const *path, const char *key, const char *value,
              struct error *err)
{
  size_t at = table->span.start;
  if (table->is_inline)
    {
      const char *separator = table->child_count > 0 ? "," : " ";
      char *entry
          = talloc_asprintf (parent, " %s = %s%s", key, value, separator);
      return replace_span (parent, text, (struct toml_span){ at + 1, at + 1 },
                           entry);
    }
  if (is_header_of (parent, text, at, path))
    {
      at = line_end (text, at);
      char *line = talloc_asprintf (parent, "\n%s = %s", key, value);
      return replace_span (parent, text, (struct toml_span){ at, at }, line);
    }
  if (table->child_count > 0 && table->children[0].kind != TOML_TABLE)
    return insert_dotted_key (parent, text, &table->children[0], key, value);
  error_set (err, ERROR_INVALID,
             "line %d: the table cannot be edited in place; change the file "
             "and use \"config apply\"",
             table->line);
  return (struct bstr){ 0 };
}

struct bstr
toml_edit_set (void *parent, struct bstr text, const char *const *path,
               const char *key, const char *value, struct error *err)
{
  struct bstr out = { 0 };
  const struct toml_node *root
      = toml_reader_parse (parent, "config", text, err);
  if (root == NULL)
    return out;
  const struct toml_node *table = find_node (root, path);
  if (table == NULL || table->kind != TOML_TABLE)
    {
      error_set (err, ERROR_NOT_FOUND, "there is no such table");
      return out;
    }
  const struct toml_node *old = toml_reader_find (table, bstr_from (key));
  if (old != NULL)
    return replace_span (parent, text, old->span, value);
  return insert_value (parent, text, table, path, key, value, err);
}
