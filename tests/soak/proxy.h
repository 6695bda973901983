/** @file
 * A loopback proxy in a process of its own.  Each link accepts connections on
 * one port, forwards their bytes to another port, and applies the current
 * fault of the link.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdbool.h>

#define PROXY_MAX_LINKS 256

/** Fault of a link. */
enum proxy_fault
{
  PROXY_PASS,    /**< No fault. */
  PROXY_DELAY,   /**< Bytes arrive later, by the delay of the link. */
  PROXY_RESET,   /**< All open connections are reset, once. */
  PROXY_SILENCE, /**< Open connections carry no more bytes; new ones work. */
  PROXY_CUT_FORWARD, /**< No bytes pass to the target until the fault ends. */
  PROXY_CUT_BACK,    /**< No bytes come back until the fault ends. */
  PROXY_FAULT_COUNT
};

struct proxy;

/** Start the proxy process; it ends when @p parent is freed.
 * @return NULL if the control socket cannot be created. */
struct proxy *proxy_start (void *parent);
/** Add a link to a port of 127.0.0.1.
 * @return its number, -1 if there are too many or the port is taken. */
int proxy_add_link (struct proxy *p, int listen_port, int target_port);
/** Set the fault of a link; PROXY_PASS ends it.
 * @param delay_ms delay in milliseconds, for PROXY_DELAY. */
void proxy_set_fault (struct proxy *p, int link, enum proxy_fault fault,
                      int delay_ms);
/** @return the name of the fault in the printed schedule. */
const char *proxy_fault_name (enum proxy_fault fault);

#endif
