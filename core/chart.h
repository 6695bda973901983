/** @file
 * State charts in text files, read and checked at start.  One line per
 * transition: "STATE EVENT -> STATE [ACTION]"; "initial STATE" and
 * "final STATE" lines; "#" starts a comment.
 */
#ifndef CORE_CHART_H
#define CORE_CHART_H

#include "common/bstr.h"
#include "common/error.h"

#define CHART_MAX_STATES 24
#define CHART_MAX_EVENTS 24

/** The names that the code knows; a chart must use exactly these. */
struct chart_vocabulary
{
  const char *name;           /**< Of the chart, for messages. */
  const char *const *states;  /**< NULL-terminated; the index is the value. */
  const char *const *events;  /**< NULL-terminated. */
  const char *const *actions; /**< NULL-terminated; index 0 is "none". */
};

struct chart;

/** @param text the file's content, @param path for messages.
 * @return NULL with the line in @p err if the chart is invalid: unknown
 * name, duplicate transition, unreachable state, or a state that is not
 * final and has no way out. */
struct chart *chart_parse (void *parent, const struct chart_vocabulary *v,
                           const char *path, struct bstr text,
                           struct error *err);
struct chart *chart_load (void *parent, const struct chart_vocabulary *v,
                          const char *path, struct error *err);
int chart_initial (const struct chart *c);
bool chart_is_final (const struct chart *c, int state);

/** Apply an event.
 * @param state updated if there is a transition.
 * @return the action's index, or -1 if @p event is not allowed here. */
int chart_step (const struct chart *c, int *state, int event);

#endif
