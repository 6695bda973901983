#include <stdexcept>

/* toml++ 3.3 asserts that a table header starts with a key character, which
   the text "[=]" breaks.  A malformed text must not stop the process, so a
   failed assertion becomes an error. */
struct assertion_failure : std::logic_error
{
  using std::logic_error::logic_error;
};

[[noreturn]] static void __attribute__ ((noinline))
fail_assertion (const char *text)
{
  throw assertion_failure (text);
}

#define TOML_ASSERT(expr)                                                     \
  (static_cast<bool> (expr) ? static_cast<void> (0) : fail_assertion (#expr))
#define TOML_EXCEPTIONS 1
#define TOML_MAX_NESTED_VALUES 32
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <stddef.h>
#include <string.h>
#include <string>
#include <talloc.h>
#include <vector>

extern "C"
{
#include "common/bstr.h"
#include "common/error.h"
#include "common/toml_reader.h"
}

namespace
{

struct source
{
  bstr text;
  std::vector<size_t> line_starts;
};

/* toml++ counts columns in code points. */
size_t
offset_of (const source &src, const toml::source_position &at)
{
  if (at.line == 0 || at.line > src.line_starts.size ())
    return src.text.len;
  size_t offset = src.line_starts[at.line - 1];
  for (toml::source_index column = 1;
       column < at.column && offset < src.text.len; column++)
    {
      offset++;
      while (offset < src.text.len
             && (static_cast<unsigned char> (src.text.start[offset]) & 0xC0)
                    == 0x80)
        offset++;
    }
  return offset;
}

bstr
copy_text (void *parent, std::string_view s)
{
  return bstr{ talloc_strndup (parent, s.data (), s.size ()), s.size () };
}

void fill (void *root, toml_node *out, const toml::node &node,
           const source &src);

void
fill_table (void *root, toml_node *out, const toml::table &table,
            const source &src)
{
  struct entry
  {
    const toml::key *key;
    const toml::node *node;
  };
  std::vector<entry> entries;
  for (auto &&[key, node] : table)
    entries.push_back ({ &key, &node });
  /* The map is sorted by key; the first error must be the first in the
     text. */
  std::stable_sort (entries.begin (), entries.end (),
                    [] (const entry &a, const entry &b) {
                      return a.key->source ().begin < b.key->source ().begin;
                    });
  out->kind = TOML_TABLE;
  out->is_inline = table.is_inline ();
  out->child_count = static_cast<int> (entries.size ());
  out->children = talloc_zero_array (root, toml_node, entries.size () + 1);
  for (size_t i = 0; i < entries.size (); i++)
    {
      toml_node *child = &out->children[i];
      child->key = copy_text (root, entries[i].key->str ());
      child->line = static_cast<int> (entries[i].key->source ().begin.line);
      fill (root, child, *entries[i].node, src);
    }
}

void
fill (void *root, toml_node *out, const toml::node &node, const source &src)
{
  if (out->line == 0)
    out->line = static_cast<int> (node.source ().begin.line);
  out->span.start = offset_of (src, node.source ().begin);
  out->span.end = offset_of (src, node.source ().end);
  if (const toml::table *table = node.as_table ())
    fill_table (root, out, *table, src);
  else if (const toml::array *array = node.as_array ())
    {
      out->kind = TOML_ARRAY;
      out->child_count = static_cast<int> (array->size ());
      out->children = talloc_zero_array (root, toml_node, array->size () + 1);
      for (size_t i = 0; i < array->size (); i++)
        fill (root, &out->children[i], (*array)[i], src);
    }
  else if (auto *text = node.as_string ())
    {
      out->kind = TOML_TEXT;
      out->text = copy_text (root, text->get ());
    }
  else if (auto *integer = node.as_integer ())
    {
      out->kind = TOML_INTEGER;
      out->integer = integer->get ();
      out->real = static_cast<double> (integer->get ());
    }
  else if (auto *real = node.as_floating_point ())
    {
      out->kind = TOML_REAL;
      out->real = real->get ();
    }
  else if (auto *boolean = node.as_boolean ())
    {
      out->kind = TOML_BOOLEAN;
      out->boolean = boolean->get ();
    }
  else
    out->kind = TOML_TIME;
}

bool
breaks_assertion (std::string_view text)
{
  try
    {
      (void)toml::parse (text);
    }
  catch (const assertion_failure &)
    {
      return true;
    }
  catch (const toml::parse_error &)
    {
      return false;
    }
  return false;
}

/* toml++ reads from the start to the end, so the shortest run of lines that
   breaks the assertion ends with the wrong line. */
int
line_of_assertion (const source &src)
{
  size_t good = 0, bad = src.line_starts.size ();
  while (bad - good > 1)
    {
      size_t middle = good + (bad - good) / 2;
      if (breaks_assertion ({ src.text.start, src.line_starts[middle] }))
        bad = middle;
      else
        good = middle;
    }
  return static_cast<int> (bad);
}

/* A table of a dotted key or header inside another one is a level of
   recursion here and in the destructor of toml++, which sets no limit. */
constexpr int max_key_dots = 64;

int
line_of_long_key (std::string_view text)
{
  int line = 1, dots = 0;
  for (char c : text)
    {
      dots = c == '\n' ? 0 : dots + (c == '.');
      line += c == '\n';
      if (dots > max_key_dots)
        return line;
    }
  return 0;
}

toml_node *
parse (void *parent, const char *path, const source &src, error *err)
{
  try
    {
      toml::table table
          = toml::parse (std::string_view (src.text.start, src.text.len));
      toml_node *root = talloc_zero (parent, toml_node);
      fill (root, root, table, src);
      return root;
    }
  catch (const toml::parse_error &cause)
    {
      std::string description (cause.description ());
      /* The description can quote bytes of the text. */
      for (char &c : description)
        if (c < ' ' || c > '~')
          c = '?';
      error_set (err, ERROR_INVALID, "%s:%d: not valid TOML: %s", path,
                 static_cast<int> (cause.source ().begin.line),
                 description.c_str ());
    }
  catch (const assertion_failure &)
    {
      error_set (err, ERROR_INVALID,
                 "%s:%d: not valid TOML: a key has an unexpected character",
                 path, line_of_assertion (src));
    }
  catch (const std::exception &cause)
    {
      error_set (err, ERROR_INTERNAL, "%s: toml++ failed: %s", path,
                 cause.what ());
    }
  return nullptr;
}

} // namespace

struct toml_node *
toml_reader_parse (void *parent, const char *path, struct bstr text,
                   struct error *err)
{
  if (text.start == nullptr)
    text.start = "";
  std::string_view view (text.start, text.len);
  int long_key = line_of_long_key (view);
  if (long_key != 0)
    {
      error_set (err, ERROR_INVALID, "%s:%d: more than %d dots in one line",
                 path, long_key, max_key_dots);
      return nullptr;
    }
  source src{ text, { 0 } };
  for (size_t i = 0; i < view.size (); i++)
    if (view[i] == '\n')
      src.line_starts.push_back (i + 1);
  return parse (parent, path, src, err);
}

const struct toml_node *
toml_reader_find (const struct toml_node *table, struct bstr key)
{
  if (table == nullptr || table->kind != TOML_TABLE)
    return nullptr;
  for (int i = 0; i < table->child_count; i++)
    if (bstr_equals (table->children[i].key, key))
      return &table->children[i];
  return nullptr;
}

const char *
toml_reader_kind_name (enum toml_kind kind)
{
  static const char *const names[]
      = { "a table",  "an array",      "a text",        "an integer",
          "a number", "true or false", "a date or time" };
  return names[kind];
}
