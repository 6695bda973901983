/** @file
 * Log lines through log4c: a fixed prefix per part, a short sentence,
 * key=value fields.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include "common/error.h"

/** Open log4c and send every part's lines to standard error.
 * @param level "error", "warn", "info" or "debug".
 * @return false if the level is unknown or log4c cannot start. */
bool log_open (const char *level, struct error *err);
/** As log_open, but to standard output.  A line that would block is dropped;
 * the next one says how many were. */
bool log_open_stdout (const char *level, struct error *err);
void log_close (void);

void log_error (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_warn (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_info (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void log_debug (const char *part, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
