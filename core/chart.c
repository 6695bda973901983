#include "core/chart.h"

#include "common/file.h"

#include <stdio.h>

#define MAX_FILE_BYTES 65536

/* A transition with an action has five words. */
#define MAX_WORDS_PER_LINE 5

/* What an event does in a state. */
struct transition
{
  int target; /* Next state, INDEX_ABSENT if the event is not allowed. */
  int action;
  int line; /* Line of the chart that defines it. */
};

#define INDEX_ABSENT (-1)

struct chart
{
  int initial;
  int state_count, event_count;
  bool is_final[CHART_MAX_STATES];
  /* Line that mentions the state first, 0: none. */
  int first_mention_line[CHART_MAX_STATES];
  struct transition table[CHART_MAX_STATES][CHART_MAX_EVENTS];
};

/* What one call of chart_parse works on. */
struct parser
{
  const struct chart_vocabulary *vocabulary;
  const char *path;
  struct chart *chart;
  struct error *err;
  int line; /* Number of the current line, the first is 1. */
};

static int
count_names (const char *const *names)
{
  int count = 0;
  while (names[count] != NULL)
    count++;
  return count;
}

/* Returns the index of a word in a table of names, or INDEX_ABSENT. */
static int
find_index (const char *const *names, struct bstr word)
{
  for (int i = 0; names[i] != NULL; i++)
    if (bstr_equals_text (word, names[i]))
      return i;
  return INDEX_ABSENT;
}

/* Removes the first line from the text and returns it. */
static struct bstr
take_line (struct bstr *text)
{
  const char *end
      = text->len > 0 ? memchr (text->start, '\n', text->len) : NULL;
  size_t len = end != NULL ? (size_t)(end - text->start) : text->len;
  struct bstr line = { text->start, len };
  *text = bstr_skip (*text, len + 1);
  return line;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r';
}

/* Splits a line, without its comment, into words.  Returns their number,
   MAX_WORDS_PER_LINE + 1 if there are more. */
static int
split_words (struct bstr line, struct bstr words[MAX_WORDS_PER_LINE])
{
  int count = 0;
  size_t at = 0;
  while (at < line.len && line.start[at] != '#')
    {
      size_t start = at;
      while (at < line.len && !is_blank (line.start[at])
             && line.start[at] != '#')
        at++;
      if (at > start)
        {
          if (count == MAX_WORDS_PER_LINE)
            return MAX_WORDS_PER_LINE + 1;
          words[count++] = (struct bstr){ line.start + start, at - start };
        }
      else
        at++;
    }
  return count;
}

/* Looks a word up in a table of names; sets the error if it is unknown. */
static bool
resolve_name (const struct parser *p, const char *const *names,
              const char *kind, struct bstr word, int *index)
{
  *index = find_index (names, word);
  if (*index != INDEX_ABSENT)
    return true;
  return error_set (p->err, ERROR_INVALID,
                    "%s:%d: unknown %s \"%.*s\" in chart \"%s\"", p->path,
                    p->line, kind, BSTR_ARG (word), p->vocabulary->name);
}

/* Looks a state up and records the line that mentions it first. */
static bool
resolve_state (const struct parser *p, struct bstr word, int *state)
{
  if (!resolve_name (p, p->vocabulary->states, "state", word, state))
    return false;
  if (p->chart->first_mention_line[*state] == 0)
    p->chart->first_mention_line[*state] = p->line;
  return true;
}

static bool
parse_transition (const struct parser *p, const struct bstr *words, int count)
{
  int state, event, target, action = 0;
  if (!resolve_state (p, words[0], &state)
      || !resolve_name (p, p->vocabulary->events, "event", words[1], &event)
      || !resolve_state (p, words[3], &target)
      || (count == 5
          && !resolve_name (p, p->vocabulary->actions, "action", words[4],
                            &action)))
    return false;
  struct transition *t = &p->chart->table[state][event];
  if (t->target != INDEX_ABSENT)
    return error_set (p->err, ERROR_INVALID,
                      "%s:%d: duplicate transition \"%.*s %.*s\", first on "
                      "line %d",
                      p->path, p->line, BSTR_ARG (words[0]),
                      BSTR_ARG (words[1]), t->line);
  *t = (struct transition){ target, action, p->line };
  return true;
}

static bool
parse_line (const struct parser *p, struct bstr line)
{
  struct bstr words[MAX_WORDS_PER_LINE];
  int count = split_words (line, words);
  int state;
  if (count == 0)
    return true;
  if (count == 2 && bstr_equals_text (words[0], "initial"))
    {
      if (p->chart->initial != INDEX_ABSENT)
        return error_set (p->err, ERROR_INVALID,
                          "%s:%d: second initial state \"%.*s\"", p->path,
                          p->line, BSTR_ARG (words[1]));
      return resolve_state (p, words[1], &p->chart->initial);
    }
  if (count == 2 && bstr_equals_text (words[0], "final"))
    {
      if (!resolve_state (p, words[1], &state))
        return false;
      p->chart->is_final[state] = true;
      return true;
    }
  if ((count == 4 || count == 5) && bstr_equals_text (words[2], "->"))
    return parse_transition (p, words, count);
  return error_set (p->err, ERROR_INVALID,
                    "%s:%d: expected \"STATE EVENT -> STATE [ACTION]\", "
                    "\"initial STATE\" or \"final STATE\"",
                    p->path, p->line);
}

/* Marks every state that can be reached from a marked state (forward), or from
   which a marked state can be reached (backward). */
static void
propagate_marks (const struct chart *c, bool marked[CHART_MAX_STATES],
                 bool forward)
{
  bool changed = true;
  while (changed)
    {
      changed = false;
      for (int s = 0; s < c->state_count; s++)
        for (int e = 0; e < c->event_count; e++)
          {
            int target = c->table[s][e].target;
            if (target == INDEX_ABSENT)
              continue;
            int from = forward ? s : target, to = forward ? target : s;
            if (marked[from] && !marked[to])
              marked[to] = changed = true;
          }
    }
}

/* Sets an error about a state.  If no line mentions the state, the error names
   the last line.  Returns false. */
static bool
reject_state (const struct parser *p, int state, const char *fault)
{
  int line = p->chart->first_mention_line[state];
  return error_set (p->err, ERROR_INVALID, "%s:%d: %s state \"%s\"", p->path,
                    line != 0 ? line : p->line, fault,
                    p->vocabulary->states[state]);
}

/* Whether a transition leads from the state to another one. */
static bool
has_exit (const struct chart *c, int state)
{
  for (int e = 0; e < c->event_count; e++)
    if (c->table[state][e].target != INDEX_ABSENT
        && c->table[state][e].target != state)
      return true;
  return false;
}

static bool
check_events (const struct parser *p)
{
  const struct chart *c = p->chart;
  for (int e = 0; e < c->event_count; e++)
    {
      bool used = false;
      for (int s = 0; s < c->state_count; s++)
        {
          const struct transition *t = &c->table[s][e];
          used = used || t->target != INDEX_ABSENT;
          if (t->target != INDEX_ABSENT && c->is_final[s])
            return error_set (p->err, ERROR_INVALID,
                              "%s:%d: transition out of final state \"%s\"",
                              p->path, t->line, p->vocabulary->states[s]);
        }
      if (!used)
        return error_set (p->err, ERROR_INVALID,
                          "%s:%d: event \"%s\" has no transition", p->path,
                          p->line, p->vocabulary->events[e]);
    }
  return true;
}

static bool
check_states (const struct parser *p)
{
  const struct chart *c = p->chart;
  bool reached[CHART_MAX_STATES] = { false };
  bool reaches_final[CHART_MAX_STATES] = { false };
  bool any_final = false;
  reached[c->initial] = true;
  propagate_marks (c, reached, true);
  for (int s = 0; s < c->state_count; s++)
    {
      reaches_final[s] = c->is_final[s];
      any_final = any_final || c->is_final[s];
    }
  propagate_marks (c, reaches_final, false);
  for (int s = 0; s < c->state_count; s++)
    {
      if (!reached[s])
        return reject_state (p, s, "unreachable");
      if (!c->is_final[s] && !has_exit (c, s))
        return reject_state (p, s, "dead end in");
      if (any_final && !reaches_final[s])
        return reject_state (p, s, "no way to a final state from");
    }
  return true;
}

static bool
check_chart (const struct parser *p)
{
  if (p->chart->initial == INDEX_ABSENT)
    return error_set (p->err, ERROR_INVALID, "%s:%d: no initial state",
                      p->path, p->line);
  return check_states (p) && check_events (p);
}

struct chart *
chart_parse (void *parent, const struct chart_vocabulary *v, const char *path,
             struct bstr text, struct error *err)
{
  struct chart *c = talloc_zero (parent, struct chart);
  struct parser p = { v, path, c, err, 0 };
  bool ok = false;
  c->initial = INDEX_ABSENT;
  c->state_count = count_names (v->states);
  c->event_count = count_names (v->events);
  if (c->state_count > CHART_MAX_STATES || c->event_count > CHART_MAX_EVENTS)
    {
      error_set (err, ERROR_INTERNAL, "%s: chart \"%s\" is too large", path,
                 v->name);
      goto out;
    }
  for (int s = 0; s < CHART_MAX_STATES; s++)
    for (int e = 0; e < CHART_MAX_EVENTS; e++)
      c->table[s][e].target = INDEX_ABSENT;
  while (text.len > 0)
    {
      p.line++;
      if (!parse_line (&p, take_line (&text)))
        goto out;
    }
  ok = check_chart (&p);
out:
  if (!ok)
    TALLOC_FREE (c);
  return c;
}

struct chart *
chart_load (void *parent, const struct chart_vocabulary *v, const char *path,
            struct error *err)
{
  size_t len;
  char *text = file_read (parent, path, MAX_FILE_BYTES, &len, NULL);
  if (text == NULL)
    {
      error_set (err, ERROR_NOT_FOUND, "%s: cannot open chart \"%s\"", path,
                 v->name);
      return NULL;
    }
  struct chart *c
      = chart_parse (parent, v, path, (struct bstr){ text, len }, err);
  talloc_free (text);
  return c;
}

int
chart_initial (const struct chart *c)
{
  return c->initial;
}

bool
chart_is_final (const struct chart *c, int state)
{
  return c->is_final[state];
}

int
chart_apply_event (const struct chart *c, int *state, int event)
{
  const struct transition *t = &c->table[*state][event];
  if (t->target == INDEX_ABSENT)
    return -1;
  *state = t->target;
  return t->action;
}
