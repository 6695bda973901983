/** @file
 * The session daemon as a whole.
 */
#ifndef SESSION_RUN_H
#define SESSION_RUN_H

/** Run the session daemon until it is told to end.
 * @param settings path of its TOML file.
 * @return the exit status. */
int relay_run (const char *settings);

#endif
