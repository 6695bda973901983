/** @file
 * What the programs of the stand-ins share: options and the main loop.
 */
#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <popt.h>
#include <stdbool.h>
#include <tevent.h>

/** Read the command line.
 * @return false, after a line on stderr, if an option is wrong. */
bool standin_read_options (const char *name, const struct poptOption *options,
                           int argc, const char **argv);

/** Run until SIGTERM or SIGINT. */
void standin_run (struct tevent_context *ev);

#endif
