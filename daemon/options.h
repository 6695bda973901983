/** @file
 * The daemon's local settings.  The settings file overrides the defaults,
 * and the command line overrides the file.
 */
#ifndef DAEMON_OPTIONS_H
#define DAEMON_OPTIONS_H

#include "common/error.h"
#include "common/option.h"

#include <stdint.h>
#include <stdio.h>

/** The settings by their names in the file; the table in options.c has their
 * ranges and defaults. */
struct daemon_options
{
  char *name; /**< Name of this VM, as in the platform's list. */
  char *place;
  char *failure_domain;
  char *region;
  char *listen;       /**< IP:PORT of the callers' HTTP interface. */
  char *admin_listen; /**< IP:PORT of the admin interface. */
  char *peer_listen;  /**< ZeroMQ endpoint for the other members. */
  char *platform;     /**< URL of the object API. */
  char *cell;
  char *secret_file; /**< File with the fleet secret. */
  char *charts;      /**< Directory of the state charts. */
  char *log_level;
  char *tls_certificate; /**< NULL: no TLS. */
  char *tls_key;
  int64_t poll_ms;
  int64_t heartbeat_ms;
  int64_t hold_ms; /**< Duration of a member's lease. */
  int64_t max_body_bytes;
  int max_connections;
  int memory_mb; /**< Memory of the VM; 0: not bounded by it. */
  /** Bytes held for callers, in MB; 0: a third of memory_mb, or 1024. */
  int client_memory_mb;
  int half_message_ms; /**< Time for the rest of a request. */
  /** Baseline for comparisons: every read goes to the primary. */
  bool baseline_primary_reads;
  /** Baseline for comparisons: no budget moves between daemons. */
  bool baseline_static_shares;
  /** Baseline for comparisons: one queue for all organisations and classes. */
  bool baseline_fifo;

  char *settings_file; /**< Value of --settings; NULL: not given. */
  bool exit_now;       /**< --help or --check is done; exit with success. */
};

/** Read the file of "--settings FILE" and the other command line options,
 * and validate the result.  "--help" and "--check" print to standard output.
 * @param argv arguments of main; no pointer to them is kept.
 * @return the options; NULL with ERROR_INVALID in @p err.  The message about
 * an error in the file starts with "FILE:LINE: ". */
struct daemon_options *daemon_options_parse (void *parent, int argc,
                                             const char **argv,
                                             struct error *err);

/** @return the option table; the reference page is checked against it. */
const struct option_spec *daemon_options_specs (void);

/** Print the text of --help. */
void daemon_options_print_help (FILE *out);

#endif
