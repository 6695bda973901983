/** @file
 * A client of the wire protocol that records what it sent and what was
 * answered in record.txt.
 */
#ifndef REVIEW_SESSION_H
#define REVIEW_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct client
{
  int fd; /**< -1: not connected. */
  char name[16];
  size_t used;
  char in[8192];
};

/** Answer to one line of a client. */
struct reply
{
  char code[16]; /**< Error code; empty: success. */
  char text[160];
  char row[80];
  char signature[80];
  char state; /**< From READY; 0: there was no READY. */
};

/** Open the record; all functions write to it. */
bool record_open (const char *path);
/** Write one line with the time since record_open. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t now_ms (void);
/** @return a new statement id. */
uint64_t new_id (void);

/** Connect and send START.  @return whether the session is ready. */
bool client_start (struct client *c, const char *name, int port,
                   const char *database, const char *key);
/** Send a statement and wait for its answer.
 * @return whether it succeeded. */
bool client_query (struct client *c, uint64_t id, const char *statement,
                   struct reply *r);
void client_close (struct client *c);
/** @return whether an error code promises that nothing of the attempt is
 * kept. */
bool is_promise (const char *code);

#endif
