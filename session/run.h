/** @file
 * Entry point of the session daemon.
 */
#ifndef SESSION_RUN_H
#define SESSION_RUN_H

/** Run the session daemon until it is stopped.
 * @param settings path of its TOML file.
 * @return the exit status. */
int sessiond_run (const char *settings);

#endif
