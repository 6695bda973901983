/** @file
 * A loopback link into one daemon's bus.  Its marked connections, those that
 * were accepted after delay_link_mark (), can go silent for good without a
 * reset, while new ones work, or have their bytes wait.
 */
#ifndef REVIEW_DELAY_LINK_H
#define REVIEW_DELAY_LINK_H

#include <stdbool.h>

struct delay_link;

/** Start a thread that forwards @p listen_port to @p target_port, both of
 * 127.0.0.1.  @return NULL if the port is taken. */
struct delay_link *delay_link_start (int listen_port, int target_port);
/** Connections that are accepted from now on wait for the delay. */
void delay_link_mark (struct delay_link *l);
/** @return connections that were accepted after the mark. */
int delay_link_marked (const struct delay_link *l);
/** All marked connections that are open go silent: they stay open, and no more
 * bytes pass. */
void delay_link_silence (struct delay_link *l);
/** Set how long bytes that are received from now on wait, in milliseconds. */
void delay_link_set (struct delay_link *l, int delay_ms);

#endif
