/** @file
 * Sessions in virtual time: a script of events in tests/sessions/NAME.txt
 * and its transcript in tests/golden/NAME.txt.
 */
#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include "tests/tests.h"

#include <stdint.h>

#define SCRIPT_MAX_WORDS 16

struct script
{
  char *transcript; /**< Grows with script_print. */
  int line;
  int word_count;
  const char *words[SCRIPT_MAX_WORDS]; /**< Of the current line. */
};

typedef void script_handler (struct script *s, void *context);

/** Append a line to the transcript. */
void script_print (struct script *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return the index of a name in a NULL-terminated table; fails the test
 * if it is unknown. */
int script_find (const struct script *s, const char *const *names,
                 const char *word);

/** @return the word after @p name in the current line, or @p other. */
const char *script_value (const struct script *s, const char *name,
                          const char *other);

/** Call @p handler for each line of the session that is neither empty nor a
 * comment, and compare the transcript with the golden file.  Lines that start
 * with "##" are copied to the transcript. */
void script_run (const char *session, const char *golden,
                 script_handler *handler, void *context);

/** @return the file's content, owned by @p parent, NULL if it is missing. */
char *script_read_file (void *parent, const char *path);

#endif
