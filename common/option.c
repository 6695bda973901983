#include "common/option.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <math.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>

/* Longest part of an untrusted text in a message. */
#define MAX_SHOWN_BYTES 60

/* Largest edit distance of a name that is suggested as a correction. */
#define MAX_NEAREST_DISTANCE 3

bool
option_is_name (struct bstr name)
{
  if (name.len == 0 || name.len > OPTION_MAX_NAME)
    return false;
  for (size_t i = 0; i < name.len; i++)
    {
      char c = name.start[i];
      if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'))
        return false;
    }
  return true;
}

char *
option_printable (void *parent, struct bstr text)
{
  bool cut = text.len > MAX_SHOWN_BYTES;
  size_t len = cut ? MAX_SHOWN_BYTES : text.len;
  char *out
      = talloc_asprintf (parent, "%*s%s", (int)len, "", cut ? "..." : "");
  for (size_t i = 0; i < len; i++)
    out[i]
        = text.start[i] >= ' ' && text.start[i] <= '~' ? text.start[i] : '?';
  return out;
}

/* @return the edit distance of two names; OPTION_MAX_NAME if one is too long
   to be valid. */
static int
name_distance (struct bstr a, struct bstr b)
{
  int row[OPTION_MAX_NAME + 1];
  if (a.len > OPTION_MAX_NAME || b.len > OPTION_MAX_NAME)
    return OPTION_MAX_NAME;
  for (size_t j = 0; j <= b.len; j++)
    row[j] = (int)j;
  for (size_t i = 1; i <= a.len; i++)
    {
      int diagonal = row[0];
      row[0] = (int)i;
      for (size_t j = 1; j <= b.len; j++)
        {
          int best = diagonal + (a.start[i - 1] != b.start[j - 1]);
          diagonal = row[j];
          if (row[j] + 1 < best)
            best = row[j] + 1;
          if (row[j - 1] + 1 < best)
            best = row[j - 1] + 1;
          row[j] = best;
        }
    }
  return row[b.len];
}

const char *
option_nearest (const struct option_spec *table,
                const char *const *other_names, struct bstr name)
{
  int least = MAX_NEAREST_DISTANCE + 1;
  const char *nearest = NULL;
  for (const struct option_spec *o = table; o != NULL && o->name != NULL; o++)
    {
      int distance = name_distance (name, bstr_from (o->name));
      if (distance < least)
        {
          least = distance;
          nearest = o->name;
        }
    }
  for (; other_names != NULL && *other_names != NULL; other_names++)
    {
      int distance = name_distance (name, bstr_from (*other_names));
      if (distance < least)
        {
          least = distance;
          nearest = *other_names;
        }
    }
  return nearest;
}

const struct option_spec *
option_find (const struct option_spec *table, struct bstr name)
{
  for (const struct option_spec *o = table; o->name != NULL; o++)
    if (bstr_equals_text (name, o->name))
      return o;
  return NULL;
}

static void *
member_of (const struct option_spec *spec, void *base)
{
  return (char *)base + spec->offset;
}

static const void *
const_member_of (const struct option_spec *spec, const void *base)
{
  return (const char *)base + spec->offset;
}

/* The enumeration lists all types of texts after OPTION_TEXT. */
static bool
is_text_type (enum option_type type)
{
  return type >= OPTION_TEXT;
}

static void
set_number (const struct option_spec *spec, void *base, double real,
            int64_t integer)
{
  switch (spec->type)
    {
    case OPTION_BOOL:
      *(bool *)member_of (spec, base) = integer != 0;
      break;
    case OPTION_INT:
      *(int *)member_of (spec, base) = (int)integer;
      break;
    case OPTION_INT64:
      *(int64_t *)member_of (spec, base) = integer;
      break;
    default:
      *(double *)member_of (spec, base) = real;
      break;
    }
}

void
option_set_defaults (const struct option_spec *table, void *parent, void *base)
{
  for (const struct option_spec *o = table; o->name != NULL; o++)
    if (is_text_type (o->type))
      *(char **)member_of (o, base)
          = o->text != NULL ? talloc_strdup (parent, o->text) : NULL;
    else
      set_number (o, base, o->number, (int64_t)o->number);
}

static bool
is_address (const char *text)
{
  unsigned char bytes[16];
  return inet_pton (AF_INET, text, bytes) == 1
         || inet_pton (AF_INET6, text, bytes) == 1;
}

/* An IPv6 address is in brackets before the port. */
static bool
is_listen_address (const char *text)
{
  char address[64];
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof address)
    return false;
  size_t len = (size_t)(colon - text);
  if (len >= 2 && text[0] == '[' && text[len - 1] == ']')
    snprintf (address, sizeof address, "%.*s", (int)len - 2, text + 1);
  else
    snprintf (address, sizeof address, "%.*s", (int)len, text);
  size_t digits = strspn (colon + 1, "0123456789");
  return digits >= 1 && digits <= 5 && colon[1 + digits] == '\0'
         && atoi (colon + 1) <= 65535 && is_address (address);
}

static bool
matches_pattern (const char *pattern, const char *text)
{
  regex_t regex;
  if (regcomp (&regex, pattern, REG_EXTENDED | REG_NOSUB) != 0)
    return false;
  bool found = regexec (&regex, text, 0, NULL, 0) == 0;
  regfree (&regex);
  return found;
}

static bool
is_choice (const char *choices, struct bstr value)
{
  while (value.len > 0 && *choices != '\0')
    {
      size_t len = strcspn (choices, "|");
      if (bstr_equals (value, (struct bstr){ choices, len }))
        return true;
      choices += len + (choices[len] == '|');
    }
  return false;
}

static bool
is_printable (struct bstr text)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.start[i] < ' ' || text.start[i] == 0x7F)
      return false;
  return true;
}

char *
option_range (const struct option_spec *spec, void *parent)
{
  switch (spec->type)
    {
    case OPTION_BOOL:
      return talloc_strdup (parent, "true or false");
    case OPTION_INT:
    case OPTION_INT64:
    case OPTION_REAL:
      return talloc_asprintf (parent, "%.15g to %.15g", spec->min, spec->max);
    case OPTION_NAME:
      return talloc_asprintf (parent, "1 to %d characters from a-z, 0-9 and -",
                              OPTION_MAX_NAME);
    case OPTION_ADDRESS:
      return talloc_strdup (parent, "an IPv4 or IPv6 address");
    case OPTION_LISTEN:
      return talloc_strdup (parent, "IP:PORT");
    case OPTION_CHOICE:
      {
        char *list = talloc_strdup (parent, "");
        const char *at = spec->pattern;
        while (*at != '\0')
          {
            size_t len = strcspn (at, "|");
            const char *join = at == spec->pattern ? ""
                               : at[len] == '|'    ? ", "
                                                   : " or ";
            list = talloc_asprintf_append (list, "%s%.*s", join, (int)len, at);
            at += len + (at[len] == '|');
          }
        return list;
      }
    default:
      if (spec->form != NULL)
        return talloc_strdup (parent, spec->form);
      return talloc_asprintf (parent, "%.15g to %.15g printable bytes",
                              spec->min, spec->max);
    }
}

static bool
text_is_valid (const struct option_spec *spec, struct bstr value)
{
  if (value.len == 0 && (spec->flags & OPTION_MAY_BE_EMPTY))
    return true;
  if (!is_printable (value))
    return false;
  switch (spec->type)
    {
    case OPTION_NAME:
      return option_is_name (value);
    case OPTION_ADDRESS:
      return is_address (value.start);
    case OPTION_LISTEN:
      return is_listen_address (value.start);
    case OPTION_CHOICE:
      return is_choice (spec->pattern, value);
    default:
      return (double)value.len >= spec->min && (double)value.len <= spec->max
             && (spec->pattern == NULL
                 || matches_pattern (spec->pattern, value.start));
    }
}

static bool
set_checked_text (const struct option_spec *spec, void *parent, void *base,
                  struct bstr value, struct error *err)
{
  if (!text_is_valid (spec, value))
    {
      void *scratch = talloc_new (NULL);
      error_set (err, ERROR_INVALID, "%s is \"%s\", it must be %s", spec->name,
                 option_printable (scratch, value),
                 option_range (spec, scratch));
      talloc_free (scratch);
      return false;
    }
  *(char **)member_of (spec, base) = bstr_to_text (parent, value);
  return true;
}

/* The comparison is written so that NaN counts as out of range. */
static bool
set_checked_number (const struct option_spec *spec, void *base, double real,
                    int64_t integer, struct error *err)
{
  if (!(real >= spec->min && real <= spec->max))
    return error_set (
        err, ERROR_INVALID, "%s is %.15g, it must be %.15g to %.15g%s%s",
        spec->name, real, spec->min, spec->max, spec->unit != NULL ? " " : "",
        spec->unit != NULL ? spec->unit : "");
  set_number (spec, base, real, integer);
  return true;
}

static const char *
expected_type (enum option_type type)
{
  switch (type)
    {
    case OPTION_BOOL:
      return "true or false";
    case OPTION_INT:
    case OPTION_INT64:
      return "an integer";
    case OPTION_REAL:
      return "a number";
    default:
      return "a text";
    }
}

static bool
kind_fits (enum option_type type, enum toml_kind kind)
{
  switch (type)
    {
    case OPTION_BOOL:
      return kind == TOML_BOOLEAN;
    case OPTION_INT:
    case OPTION_INT64:
      return kind == TOML_INTEGER;
    case OPTION_REAL:
      return kind == TOML_INTEGER || kind == TOML_REAL;
    default:
      return kind == TOML_TEXT;
    }
}

static bool
set_from_node (const struct option_spec *spec, void *parent, void *base,
               const struct toml_node *node, struct error *err)
{
  if (!kind_fits (spec->type, node->kind))
    return error_set (err, ERROR_INVALID, "%s is %s, it must be %s",
                      spec->name, toml_reader_kind_name (node->kind),
                      expected_type (spec->type));
  if (is_text_type (spec->type))
    return set_checked_text (spec, parent, base, node->text, err);
  if (spec->type == OPTION_BOOL)
    {
      set_number (spec, base, 0, node->boolean);
      return true;
    }
  return set_checked_number (spec, base, node->real, node->integer, err);
}

static bool
is_in_list (const char *const *names, struct bstr name)
{
  for (; names != NULL && *names != NULL; names++)
    if (bstr_equals_text (name, *names))
      return true;
  return false;
}

/* Set @p err for the unknown name of @p node.
   @return false. */
static bool
report_unknown_name (const struct option_spec *table,
                     const char *const *other_names, const char *path,
                     const struct toml_node *node, struct error *err)
{
  void *scratch = talloc_new (NULL);
  const char *shown = option_printable (scratch, node->key);
  const char *nearest = option_nearest (table, other_names, node->key);
  if (nearest != NULL)
    error_set (err, ERROR_INVALID,
               "%s:%d: \"%s\" is unknown; the nearest name is \"%s\"", path,
               node->line, shown, nearest);
  else
    error_set (err, ERROR_INVALID, "%s:%d: \"%s\" is unknown", path,
               node->line, shown);
  talloc_free (scratch);
  return false;
}

bool
option_read (const struct option_spec *table, const char *const *other_names,
             void *parent, void *base, const char *path,
             const struct toml_node *node, struct error *err)
{
  for (int i = 0; i < node->child_count; i++)
    {
      const struct toml_node *child = &node->children[i];
      if (is_in_list (other_names, child->key))
        continue;
      const struct option_spec *spec = option_find (table, child->key);
      if (spec == NULL)
        return report_unknown_name (table, other_names, path, child, err);
      struct error cause = { 0 };
      if (!set_from_node (spec, parent, base, child, &cause))
        return error_set (err, ERROR_INVALID, "%s:%d: %s", path, child->line,
                          cause.text);
    }
  return true;
}

bool
option_set_text (const struct option_spec *spec, void *parent, void *base,
                 const char *value, struct error *err)
{
  if (is_text_type (spec->type))
    return set_checked_text (spec, parent, base, bstr_from (value), err);
  if (spec->type == OPTION_BOOL)
    {
      bool on = strcmp (value, "true") == 0;
      if (!on && strcmp (value, "false") != 0)
        return error_set (err, ERROR_INVALID, "%s must be true or false",
                          spec->name);
      set_number (spec, base, 0, on);
      return true;
    }
  char *end;
  double real = strtod (value, &end);
  if (end == value || *end != '\0'
      || (spec->type != OPTION_REAL && real != floor (real)))
    return error_set (err, ERROR_INVALID, "%s must be %s", spec->name,
                      expected_type (spec->type));
  int64_t integer = fabs (real) < 9e15 ? (int64_t)real : 0;
  return set_checked_number (spec, base, real, integer, err);
}

const struct option_spec *
option_missing (const struct option_spec *table, const void *base)
{
  for (const struct option_spec *o = table; o->name != NULL; o++)
    if ((o->flags & OPTION_REQUIRED) && is_text_type (o->type)
        && *(char *const *)const_member_of (o, base) == NULL)
      return o;
  return NULL;
}

char *
option_value (const struct option_spec *spec, void *parent, const void *base)
{
  const void *at = const_member_of (spec, base);
  switch (spec->type)
    {
    case OPTION_BOOL:
      return talloc_strdup (parent, *(const bool *)at ? "true" : "false");
    case OPTION_INT:
      return talloc_asprintf (parent, "%d", *(const int *)at);
    case OPTION_INT64:
      return talloc_asprintf (parent, "%" PRId64, *(const int64_t *)at);
    case OPTION_REAL:
      return talloc_asprintf (parent, "%.15g", *(const double *)at);
    default:
      return talloc_strdup (
          parent, *(char *const *)at != NULL ? *(char *const *)at : "");
    }
}

bool
option_equals (const struct option_spec *spec, const void *a, const void *b)
{
  void *scratch = talloc_new (NULL);
  bool equal = strcmp (option_value (spec, scratch, a),
                       option_value (spec, scratch, b))
               == 0;
  talloc_free (scratch);
  return equal;
}

char *
option_default (const struct option_spec *spec, void *parent)
{
  if (spec->flags & OPTION_REQUIRED)
    return talloc_strdup (parent, "required");
  if (is_text_type (spec->type))
    return talloc_strdup (parent, spec->text != NULL && spec->text[0] != '\0'
                                      ? spec->text
                                      : "none");
  if (spec->type == OPTION_BOOL)
    return talloc_strdup (parent, spec->number != 0 ? "true" : "false");
  return talloc_asprintf (parent, "%.15g", spec->number);
}
