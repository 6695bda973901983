/** @file
 * Writes log lines with log4c: the name of the component that logs, a short
 * sentence and key=value fields.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include "common/bstr.h"
#include "common/error.h"

/** Most bytes of a text from outside in a log line, with the NUL. */
#define LOG_TEXT_SIZE 130
/** Expand to an argument for "%s": a bstr from outside, escaped and cut so
 * that it adds no field or line and leaves room for the fields behind it. */
#define LOG_TEXT(s) bstr_escape ((char[LOG_TEXT_SIZE]){ "" }, LOG_TEXT_SIZE, s)

/** Open log4c and send the lines of every component to standard error.
 * @param level "error", "warn", "info" or "debug".
 * @return false if the level is unknown or log4c cannot start. */
bool log_open (const char *level, struct error *err);
/** Like log_open, but to standard output.  A line whose write would block is
 * dropped; the next line that can be written is preceded by one with the
 * number of dropped lines. */
bool log_open_stdout (const char *level, struct error *err);
/** Close log4c; later lines are dropped. */
void log_close (void);

/* Each writes one line if the level of the log includes it; they do nothing
   before log_open. */

void log_error (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_warn (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_info (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_debug (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
