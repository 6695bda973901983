/** @file
 * Runs sessions in virtual time: a session is a script of events in
 * tests/sessions, and its transcript must equal a file in tests/golden.
 */
#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include "tests/tests.h"

#include <stdint.h>

#define SCRIPT_MAX_WORDS 16

/** A session that is being run. */
struct script
{
  char *transcript; /**< What script_print appended so far. */
  int line;         /**< Number of the current line. */
  int word_count;
  const char *words[SCRIPT_MAX_WORDS]; /**< Words of the current line. */
};

/** Handles the current line of a session. */
typedef void script_handler (struct script *s, void *context);

/** Append a line to the transcript. */
void script_print (struct script *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return the index of @p word in a NULL-terminated table; fails the test if
 * it is not there. */
int script_find (const struct script *s, const char *const *names,
                 const char *word);

/** @return the word after @p name in the current line, or @p fallback. */
const char *script_value (const struct script *s, const char *name,
                          const char *fallback);

/** Call @p handler for each line of the session that is neither empty nor a
 * comment, and compare the transcript with the golden file.  Lines that start
 * with "##" are copied to the transcript. */
void script_run (const char *session, const char *golden,
                 script_handler *handler, void *context);

/** @return the file's content, owned by @p parent, NULL if it is missing. */
char *script_read_file (void *parent, const char *path);

#endif
