/** @file
 * Settings of the session daemon, read from one TOML file.
 */
#ifndef SESSION_OPTIONS_H
#define SESSION_OPTIONS_H

#include "common/error.h"
#include "common/option.h"

#include <stdint.h>

struct relay_options
{
  char *name;           /**< Of this VM, unique in the fleet. */
  char *failure_domain; /**< Failure domain. */
  char *listen;         /**< IP:PORT of callers' sessions. */
  char *ready_listen;   /**< IP:PORT of the readiness probe. */
  char *metrics_listen; /**< IP:PORT of metrics and status. */
  char *bus;            /**< tcp://IP:PORT between daemons. */
  char *bus_advertise;  /**< As others reach it; empty: bus. */
  char *store;          /**< IP:PORT of the object store. */
  char *duties;         /**< IP:PORT of the calls of one holder at a time. */
  char *log_level;
  int grace_ms;    /**< From SIGTERM to the forced end. */
  int drain_ms;    /**< An endpoint that leaves gets no work after it. */
  double capacity; /**< Of the VM, in cores. */
  bool bootstrap;  /**< The whole fleet starts for the first time. */
  int max_sessions;
};

/** @return NULL with ERROR_INVALID and "FILE:LINE: cause". */
struct relay_options *relay_options_load (void *parent, const char *path,
                                          struct error *err);
/** @return the address of the bus as the other daemons reach it. */
const char *relay_options_bus (const struct relay_options *o);
/** The option table, for the reference page. */
const struct option_spec *relay_options_table (void);

#endif
