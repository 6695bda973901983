/** @file
 * A loopback proxy in a process of its own.  Each link accepts connections on
 * a port and passes them on to another one, with the faults that the link
 * has at the moment.
 */
#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <stdbool.h>

#define PROXY_MAX_LINKS 256

enum proxy_fault
{
  PROXY_PASS,    /**< No fault. */
  PROXY_DELAY,   /**< Bytes arrive later, by the fault's milliseconds. */
  PROXY_RESET,   /**< All connections are reset once. */
  PROXY_SILENCE, /**< Open connections carry nothing any more; new ones work.
                  */
  PROXY_CUT_FORWARD, /**< Nothing passes to the target until it is healed. */
  PROXY_CUT_BACK,    /**< Nothing comes back until it is healed. */
  PROXY_FAULT_COUNT
};

struct proxy;

/** Start the process; it ends when @p parent is freed. */
struct proxy *proxy_start (void *parent);
/** Add a link to a port of 127.0.0.1.
 * @return its number, -1 if there are too many or the port is taken. */
int proxy_add (struct proxy *p, int listen_port, int target_port);
/** @param ms of PROXY_DELAY. */
void proxy_set (struct proxy *p, int link, enum proxy_fault fault, int ms);
const char *proxy_fault_name (enum proxy_fault fault);

#endif
