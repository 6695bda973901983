/** @file
 * Functions shared by the stand-in programs: command line and main loop.
 */
#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <popt.h>
#include <stdbool.h>
#include <tevent.h>

/** Parse the command line into the variables of @p options.
 * @return false, after a message on stderr, if an option is wrong. */
bool standin_read_options (const char *name, const struct poptOption *options,
                           int argc, const char **argv);

/** Run the event loop until SIGTERM or SIGINT. */
void standin_run (struct tevent_context *ev);

#endif
