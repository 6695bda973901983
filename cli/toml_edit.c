#include "cli/toml_edit.h"

#include "common/toml_reader.h"

static const struct toml_node *
walk (const struct toml_node *root, const char *const *path)
{
  for (; root != NULL && *path != NULL; path++)
    root = toml_reader_find (root, bstr_from (*path));
  return root;
}

/* The text has no NUL, because it is valid TOML. */
static struct bstr
replace (void *parent, struct bstr text, struct toml_span span,
         const char *with)
{
  struct bstr rest = bstr_skip (text, span.end);
  return bstr_from (talloc_asprintf (parent, "%.*s%s%.*s", (int)span.start,
                                     text.start, with, BSTR_ARG (rest)));
}

static size_t
line_start (struct bstr text, int line)
{
  size_t at = 0;
  for (; line > 1 && at < text.len; at++)
    line -= text.start[at] == '\n';
  return at;
}

static size_t
line_end (struct bstr text, size_t at)
{
  while (at < text.len && text.start[at] != '\n')
    at++;
  return at;
}

/* A table's span starts at the header of its first sub-table when it has no
   header of its own; the header's line alone tells which table it names. */
static bool
is_header_of (void *scratch, struct bstr text, size_t at,
              const char *const *path)
{
  struct bstr line = { text.start + at, line_end (text, at) - at };
  const struct toml_node *root
      = toml_reader_parse (scratch, "line", line, NULL);
  const struct toml_node *table = walk (root, path);
  return line.len > 0 && line.start[0] == '[' && table != NULL
         && table->kind == TOML_TABLE && table->child_count == 0;
}

/* The value that a dotted key such as "b.rate = 5" sets stands on one line;
   the new value takes the same prefix on the line before it. */
static struct bstr
insert_dotted (void *parent, struct bstr text, const struct toml_node *child,
               const char *key, const char *value)
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
  return replace (parent, text, (struct toml_span){ start, start }, line);
}

static struct bstr
insert (void *parent, struct bstr text, const struct toml_node *table,
        const char *const *path, const char *key, const char *value,
        struct error *err)
{
  size_t at = table->span.start;
  if (table->is_inline)
    {
      const char *rest = table->child_count > 0 ? "," : " ";
      char *entry = talloc_asprintf (parent, " %s = %s%s", key, value, rest);
      return replace (parent, text, (struct toml_span){ at + 1, at + 1 },
                      entry);
    }
  if (is_header_of (parent, text, at, path))
    {
      at = line_end (text, at);
      char *line = talloc_asprintf (parent, "\n%s = %s", key, value);
      return replace (parent, text, (struct toml_span){ at, at }, line);
    }
  if (table->child_count > 0 && table->children[0].kind != TOML_TABLE)
    return insert_dotted (parent, text, &table->children[0], key, value);
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
  const struct toml_node *table = walk (root, path);
  if (table == NULL || table->kind != TOML_TABLE)
    {
      error_set (err, ERROR_NOT_FOUND, "there is no such table");
      return out;
    }
  const struct toml_node *old = toml_reader_find (table, bstr_from (key));
  if (old != NULL)
    return replace (parent, text, old->span, value);
  return insert (parent, text, table, path, key, value, err);
}
