/** @file
 * The clock of the process, in microseconds.  It also counts the time while
 * the VM is suspended, so that a lease expires while its owner is paused.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>
#include <time.h>

#define USEC_PER_MSEC INT64_C (1000)
#define USEC_PER_SEC INT64_C (1000000)

/** @return the time since the VM started. */
static inline int64_t
clock_now (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

#endif
