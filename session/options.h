/** @file
 * Settings of the session daemon, read from one TOML file.
 */
#ifndef SESSION_OPTIONS_H
#define SESSION_OPTIONS_H

#include "common/error.h"
#include "common/option.h"

#include <stdint.h>

/** Settings of the session daemon. */
struct sessiond_options
{
  char *name;           /**< Name of this VM, unique in the fleet. */
  char *failure_domain; /**< Failure domain of this VM. */
  char *listen;         /**< IP:PORT for callers' sessions. */
  char *ready_listen;   /**< IP:PORT of the readiness probe. */
  char *metrics_listen; /**< IP:PORT of metrics and status. */
  char *bus;            /**< tcp://IP:PORT for the other members. */
  /** Address of the bus as other members reach it; empty: that of @c bus. */
  char *bus_advertise;
  char *store; /**< IP:PORT of the platform's object store. */
  /** IP:PORT of the platform's promotion service, for calls that only one
   * daemon at a time may make. */
  char *duties;
  char *log_level;
  int grace_ms; /**< Time between SIGTERM and the forced end. */
  int drain_ms; /**< Time after which a draining endpoint gets no work. */
  /** Time from the store's acknowledgement of an evacuation after which no
   * statement reaches the failure domain; 0: evacuations are not read. */
  int evacuation_ms;
  double capacity; /**< Capacity of the VM, in cores. */
  bool bootstrap;  /**< The whole fleet starts for the first time. */
  bool entry_wait; /**< Statements of a service without an owner wait for the
                      next one, in order and bounded. */
  bool rate_schedule; /**< Requests wait for a token of their organisation. */
  /** Reads whose answer is overdue are sent to a second endpoint too. */
  bool hedged_reads;
  int max_sessions; /**< Maximum number of callers' sessions at a time. */
  int memory_mb;    /**< Memory of the VM; 0: not bounded by it. */
  /** Bytes held for callers, in MB; 0: a third of memory_mb, or 1024. */
  int client_memory_mb;
  int session_memory_kb; /**< Bytes held for one session, in KB. */
  int half_message_ms;   /**< Time for the rest of a message. */
  /** Endpoints are chosen by the expected time of the statement, and run as
   * many statements as their times show to be useful. */
  bool learned_capacity;
};

/** Read the settings file.
 * @return NULL if it is not valid; @p err then has the code ERROR_INVALID and
 * the text "FILE:LINE: cause". */
struct sessiond_options *sessiond_options_load (void *parent, const char *path,
                                                struct error *err);
/** @return the address of the bus as the other members reach it. */
const char *sessiond_options_bus_address (const struct sessiond_options *o);
/** @return the most bytes held for callers. */
size_t sessiond_options_client_bytes (const struct sessiond_options *o);
/** @return the table of options, for the reference page. */
const struct option_spec *sessiond_options_table (void);

#endif
