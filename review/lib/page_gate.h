/** @file
 * A loopback link from one daemon to the store.  It calls a function when the
 * daemon asks for the second page of the list of servers, before it passes
 * that request on.
 */
#ifndef REVIEW_PAGE_GATE_H
#define REVIEW_PAGE_GATE_H

/** @param on_second_page called once, in the thread of the link.
 * @return 0, -1 if the port is taken. */
int page_gate_start (int listen_port, int target_port,
                     void (*on_second_page) (void *data), void *data);
/** Call the function at the next second page. */
void page_gate_arm (void);

#endif
