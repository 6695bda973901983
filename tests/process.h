/** @file
 * Programs that a test starts, and blocking HTTP calls to them.
 */
#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include "common/bstr.h"

#include <stdint.h>

struct process;

/** Start a program from the build folder and wait up to 10 s for its line
 * "ready port=N".  It is stopped with SIGTERM when the result is freed, and
 * with SIGKILL if it does not end within 5 s.
 * @param args ends with NULL; without the program's name.
 * @return NULL, with the reason on stdout, if it does not get ready. */
struct process *process_start (void *parent, const char *program,
                               const char *const *args);

/** As process_start, for a program that prints no ready line and ends by
 * itself; its output is collected. */
struct process *process_run (void *parent, const char *program,
                             const char *const *args);

int process_port (const struct process *p);

/** Send a signal to this process only. */
void process_signal (const struct process *p, int signum);

/** Wait for its end.
 * @return the exit code, 128 + signal if a signal ended it, -1 if it still
 * runs after @p timeout_ms. */
int process_wait (struct process *p, int timeout_ms);

/** @return what it printed on stdout after the ready line so far. */
struct bstr process_output (struct process *p);

/** @return resident memory in KB, 0 if it cannot be read. */
long process_memory_kb (const struct process *p);

/** For CURLOPT_WRITEFUNCTION: append to the talloc text at @p data, a
 * char **. */
size_t process_collect (char *bytes, size_t size, size_t count, void *data);

/** One blocking HTTP call with a timeout of 10 s.
 * @param body may be NULL.
 * @param answer set to memory owned by @p parent; may be NULL.
 * @return the status, 0 if there was no answer. */
long process_http (void *parent, const char *method, const char *url,
                   const char *body, char **answer);

/** As process_http, with the header If-Match: @p version. */
long process_http_match (void *parent, const char *method, const char *url,
                         const char *version, const char *body, char **answer);

#endif
