#include "tests/script.h"

#include "common/file.h"

#include <stdarg.h>
#include <stdio.h>

#define MAX_FILE_BYTES 10000000

char *
script_read_file (void *parent, const char *path)
{
  return file_read (parent, path, MAX_FILE_BYTES, NULL, NULL);
}

void
script_print (struct script *s, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  s->transcript = talloc_vasprintf_append_buffer (s->transcript, format, args);
  va_end (args);
  s->transcript = talloc_strdup_append_buffer (s->transcript, "\n");
}

int
script_find (const struct script *s, const char *const *names,
             const char *word)
{
  for (int i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], word) == 0)
      return i;
  printf ("line %d: unknown name \"%s\"\n", s->line, word);
  CU_FAIL_FATAL ("unknown name in session");
  return 0;
}

const char *
script_value (const struct script *s, const char *name, const char *fallback)
{
  for (int i = 0; i + 1 < s->word_count; i++)
    if (strcmp (s->words[i], name) == 0)
      return s->words[i + 1];
  return fallback;
}

/* Split a line into its words, in place. */
static void
split_words (struct script *s, char *line)
{
  char *rest = line, *word;
  s->word_count = 0;
  while ((word = strsep (&rest, " \t")) != NULL)
    if (*word != '\0' && s->word_count < SCRIPT_MAX_WORDS)
      s->words[s->word_count++] = word;
}

void
script_run (const char *session, const char *golden, script_handler *handler,
            void *context)
{
  void *scratch = talloc_new (NULL);
  char *path = talloc_asprintf (scratch, "tests/sessions/%s", session);
  char *text = script_read_file (scratch, path);
  struct script s = { .transcript = talloc_strdup (scratch, "") };
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  char *line;
  while ((line = strsep (&text, "\n")) != NULL)
    {
      s.line++;
      if (strncmp (line, "##", 2) == 0)
        script_print (&s, "%s", line);
      if (*line == '\0' || *line == '#')
        continue;
      split_words (&s, line);
      handler (&s, context);
    }
  CU_ASSERT (golden_matches (golden, bstr_from (s.transcript)));
  talloc_free (scratch);
}
