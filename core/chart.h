/** @file
 * State charts in text files, which are read and checked at start.  A line
 * is a transition, "STATE EVENT -> STATE [ACTION]", or declares a state,
 * "initial STATE" or "final STATE"; "#" starts a comment.
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
  const char *name;           /**< Name of the chart, for messages. */
  const char *const *states;  /**< NULL-terminated; the index is the number
                                 of the state. */
  const char *const *events;  /**< NULL-terminated. */
  const char *const *actions; /**< NULL-terminated; index 0 is "none". */
};

/** A checked state chart. */
struct chart;

/** Parse and check a chart.
 * @param path name of the file, for messages.
 * @param text content of the file.
 * @return NULL with the line in @p err if the chart is invalid: an unknown
 * name, a duplicate transition, an unreachable state, or a state that is not
 * final and has no way out. */
struct chart *chart_parse (void *parent, const struct chart_vocabulary *v,
                           const char *path, struct bstr text,
                           struct error *err);
/** Read a file and parse it with chart_parse. */
struct chart *chart_load (void *parent, const struct chart_vocabulary *v,
                          const char *path, struct error *err);
/** @return the index of the initial state. */
int chart_initial (const struct chart *c);
/** @return whether a chart line declares the state final. */
bool chart_is_final (const struct chart *c, int state);

/** Apply an event.
 * @param state current state; set to the next one if there is a transition.
 * @return the index of the action, or -1 if @p state does not allow
 * @p event. */
int chart_apply_event (const struct chart *c, int *state, int event);

#endif
