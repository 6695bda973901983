/** @file
 * Tables of options.  A constant table describes members of a struct: their
 * names, types, ranges, defaults and help texts.  The TOML reader, the command
 * line and the reference pages use the same table.
 */
#ifndef COMMON_OPTION_H
#define COMMON_OPTION_H

#include "common/bstr.h"
#include "common/error.h"
#include "common/toml_reader.h"

#include <stddef.h>

enum option_type
{
  OPTION_BOOL,    /**< bool. */
  OPTION_INT,     /**< int. */
  OPTION_INT64,   /**< int64_t. */
  OPTION_REAL,    /**< double. */
  OPTION_TEXT,    /**< char *; min and max are lengths in bytes. */
  OPTION_NAME,    /**< char *; see option_is_name. */
  OPTION_ADDRESS, /**< char *, an IPv4 or IPv6 address. */
  OPTION_LISTEN,  /**< char *, IP:PORT, port 0 to 65535. */
  OPTION_CHOICE   /**< char *; one of the words in "pattern", separated by
                      "|". */
};

enum option_flag
{
  OPTION_REQUIRED = 1,     /**< The text must be set. */
  OPTION_MAY_BE_EMPTY = 2, /**< An empty text is valid, whatever the type. */
  OPTION_FIRST_USER_FLAG = 256 /**< First flag that the module with
                                     the table may define. */
};

/** Longest name of a service, endpoint, organisation, failure domain or VM, in
 * characters. */
#define OPTION_MAX_NAME 60

/** Describes one option, which sets one member of a struct. */
struct option_spec
{
  const char *name;    /**< NULL ends a table. */
  size_t offset;       /**< Offset of the member in the struct. */
  double min, max;     /**< Range of a number or of a text's length. */
  double number;       /**< Default of a number or a bool. */
  const char *text;    /**< Default of a text, NULL for none. */
  const char *unit;    /**< NULL if there is none. */
  const char *help;    /**< One sentence. */
  const char *pattern; /**< OPTION_TEXT: extended regular expression, NULL for
                          any text; OPTION_CHOICE: the allowed words. */
  const char *form;    /**< Description of the pattern, for messages. */
  enum option_type type;
  unsigned flags;
};

/** Set every member to its default.  Texts are owned by @p parent. */
void option_set_defaults (const struct option_spec *table, void *parent,
                          void *base);

/** Set the members that are named in @p node.  On an error, members that were
 * read before it are changed.
 * @param other_names names of sub-tables that the calling function reads
 * itself, ended by NULL; may be NULL.
 * @return false with "PATH:LINE: cause" in @p err on an unknown name, a
 * wrong type or a value out of range. */
bool option_read (const struct option_spec *table,
                  const char *const *other_names, void *parent, void *base,
                  const char *path, const struct toml_node *node,
                  struct error *err);

/** Set one member from a text, for example of the command line.
 * @return false with the cause, without file and line, in @p err. */
bool option_set_text (const struct option_spec *spec, void *parent, void *base,
                      const char *value, struct error *err);

/** Check that every required text member is set.
 * @return the first option that is missing; NULL if there is none. */
const struct option_spec *option_missing (const struct option_spec *table,
                                          const void *base);

/** @return the option with this name; NULL if there is none. */
const struct option_spec *option_find (const struct option_spec *table,
                                       struct bstr name);

/** @return whether two structs hold the same value of this option. */
bool option_equals (const struct option_spec *spec, const void *a,
                    const void *b);

/** Render a member's value as in TOML, but without quotes. */
char *option_value (const struct option_spec *spec, void *parent,
                    const void *base);
/** Render the allowed values, such as "0 to 10". */
char *option_range (const struct option_spec *spec, void *parent);
/** Render the default, "required" or "none". */
char *option_default (const struct option_spec *spec, void *parent);

/** Find the likely intended name for a misspelt one.
 * @return the name in the table or in @p other_names with the smallest edit
 * distance to @p name; NULL if none is close. */
const char *option_nearest (const struct option_spec *table,
                            const char *const *other_names, struct bstr name);

/** @return whether @p name has 1 to OPTION_MAX_NAME characters, all from
 * a-z, 0-9 and "-". */
bool option_is_name (struct bstr name);

/** Copy at most 60 bytes of untrusted text for use in a message.  Every byte
 * that is not printable ASCII becomes "?"; "..." follows a shortened text. */
char *option_printable (void *parent, struct bstr text);

#endif
