/** @file
 * Options as const tables.  One table gives the names, types, ranges,
 * defaults and help texts of a struct's members to the TOML reader, the
 * command line and the reference pages.
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
  OPTION_TEXT,    /**< char *, min and max are lengths. */
  OPTION_NAME,    /**< char *, see option_is_name. */
  OPTION_ADDRESS, /**< char *, an IPv4 or IPv6 address. */
  OPTION_LISTEN,  /**< char *, IP:PORT, port 0 to 65535. */
  OPTION_CHOICE   /**< char *, one of "pattern", separated by "|". */
};

enum option_flag
{
  OPTION_REQUIRED = 1,
  OPTION_MAY_BE_EMPTY = 2,
  OPTION_FIRST_OWN_FLAG = 256 /**< From here the flags belong to the user. */
};

/** Longest name of a service, endpoint, organisation, place or VM. */
#define OPTION_MAX_NAME 60

struct option_spec
{
  const char *name; /**< NULL ends a table. */
  size_t offset;    /**< Of the member. */
  double min, max;
  double number;       /**< Default of a number or a bool. */
  const char *text;    /**< Default of a text, NULL for none. */
  const char *unit;    /**< NULL if there is none. */
  const char *help;    /**< One sentence. */
  const char *pattern; /**< OPTION_TEXT: extended regular expression. */
  const char *form;    /**< The pattern in words, for messages. */
  enum option_type type;
  unsigned flags;
};

/** Set every member to its default.  Texts are owned by @p parent. */
void option_set_defaults (const struct option_spec *table, void *parent,
                          void *base);

/** Set the members that @p node names.  Names of sub-tables that the caller
 * reads itself are listed in @p others.  @p base is changed partly on an
 * error.
 * @param others NULL-terminated, may be NULL.
 * @return false with "PATH:LINE: cause" in @p err on an unknown name, a
 * wrong type or a value out of range. */
bool option_read (const struct option_spec *table, const char *const *others,
                  void *parent, void *base, const char *path,
                  const struct toml_node *node, struct error *err);

/** Set one member from a text, as on the command line.
 * @return false with the cause in @p err, without file and line. */
bool option_set_text (const struct option_spec *spec, void *parent, void *base,
                      const char *value, struct error *err);

/** Check that every required text member is set.
 * @return NULL or the first option that is missing. */
const struct option_spec *option_missing (const struct option_spec *table,
                                          const void *base);

const struct option_spec *option_find (const struct option_spec *table,
                                       struct bstr name);

/** @return whether two structs hold the same value of this option. */
bool option_equals (const struct option_spec *spec, const void *a,
                    const void *b);

/** Render a member's value as TOML would show it, without quotes. */
char *option_value (const struct option_spec *spec, void *parent,
                    const void *base);
/** Render the range, such as "0 to 10". */
char *option_range (const struct option_spec *spec, void *parent);
char *option_default (const struct option_spec *spec, void *parent);

/** @return the name in the table or in @p others that is nearest to
 * @p name, NULL if none is near. */
const char *option_nearest (const struct option_spec *table,
                            const char *const *others, struct bstr name);

/** @return whether @p name has 1 to OPTION_MAX_NAME characters, all from
 * a-z, 0-9 and "-". */
bool option_is_name (struct bstr name);

/** Copy at most 60 bytes of untrusted text with "?" for every byte that is
 * not printable ASCII, for messages. */
char *option_printable (void *parent, struct bstr text);

#endif
