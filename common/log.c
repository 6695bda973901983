#include "common/log.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static log4c_category_t *category;

/* Called by log4c for each event.  The event keeps a pointer to the result, so
   the buffer is static. */
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  static char line[1200];
  struct tm tm;
  time_t seconds = event->evt_timestamp.tv_sec;
  char stamp[32];
  gmtime_r (&seconds, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (line, sizeof line, "%s.%03ldZ %-5s %s\n", stamp,
            (long)event->evt_timestamp.tv_usec / 1000,
            log4c_priority_to_string (event->evt_priority), event->evt_msg);
  return line;
}

static const log4c_layout_type_t line_layout
    = { .name = "azurewind-line", .format = format_line };

/* Replaces the stream appender of log4c, which puts its name before each
   line. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t line_appender
    = { .name = "azurewind-stderr", .append = append_line };

/* Write a line to standard output, or drop it if that would block.  A pipe
   that poll reports as writable has space for PIPE_BUF bytes, and lines are
   shorter. */
static int
append_without_blocking (log4c_appender_t *appender,
                         const log4c_logging_event_t *event)
{
  static unsigned dropped;
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  char note[64];
  (void)appender;
  if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    {
      dropped++;
      return 0;
    }
  if (dropped > 0)
    {
      int len = snprintf (note, sizeof note,
                          "log: event=lines_lost count=%u\n", dropped);
      dropped = 0;
      if (write (STDOUT_FILENO, note, (size_t)len) < 0)
        return 0;
    }
  return (int)write (STDOUT_FILENO, event->evt_rendered_msg,
                     strlen (event->evt_rendered_msg));
}

static const log4c_appender_type_t stdout_appender
    = { .name = "azurewind-stdout", .append = append_without_blocking };

static bool
open_log (const char *level, const log4c_appender_type_t *type,
          struct error *err)
{
  int priority = log4c_priority_to_int (level);
  if (priority == LOG4C_PRIORITY_UNKNOWN)
    return error_set (err, ERROR_INVALID, "log level \"%s\" is unknown",
                      level);
  if (log4c_init () != 0)
    return error_set (err, ERROR_INTERNAL, "log4c cannot be initialised");
  log4c_layout_type_set (&line_layout);
  log4c_layout_t *layout = log4c_layout_get ("azurewind");
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_t *appender = log4c_appender_get ("azurewind");
  log4c_appender_type_set (type);
  log4c_appender_set_type (appender, type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("azurewind");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, priority);
  log4c_category_set_additivity (category, 0);
  return true;
}

bool
log_open (const char *level, struct error *err)
{
  return open_log (level, &line_appender, err);
}

bool
log_open_stdout (const char *level, struct error *err)
{
  return open_log (level, &stdout_appender, err);
}

void
log_close (void)
{
  category = NULL;
  log4c_fini ();
}

static void write_line (int priority, const char *component,
                        const char *format, va_list args)
    __attribute__ ((format (printf, 3, 0)));

static void
write_line (int priority, const char *component, const char *format,
            va_list args)
{
  if (category == NULL
      || !log4c_category_is_priority_enabled (category, priority))
    return;
  char text[1024];
  vsnprintf (text, sizeof text, format, args);
  /* Texts of others must not add lines. */
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == '\x7f')
      *c = '?';
  log4c_category_log (category, priority, "%s: %s", component, text);
}

#define DEFINE_LEVEL(name, priority)                                          \
  void name (const char *component, const char *format, ...)                  \
  {                                                                           \
    va_list args;                                                             \
    va_start (args, format);                                                  \
    write_line (priority, component, format, args);                           \
    va_end (args);                                                            \
  }

DEFINE_LEVEL (log_error, LOG4C_PRIORITY_ERROR)
DEFINE_LEVEL (log_warn, LOG4C_PRIORITY_WARN)
DEFINE_LEVEL (log_info, LOG4C_PRIORITY_INFO)
DEFINE_LEVEL (log_debug, LOG4C_PRIORITY_DEBUG)
