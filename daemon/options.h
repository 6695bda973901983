/** @file
 * The daemon's local settings: defaults, then the settings file, then the
 * command line.
 */
#ifndef DAEMON_OPTIONS_H
#define DAEMON_OPTIONS_H

#include "common/error.h"
#include "common/option.h"

#include <stdint.h>
#include <stdio.h>

struct daemon_options
{
  char *name; /**< Of this VM, as in the platform's list. */
  char *place;
  char *failure_domain;
  char *region;
  char *listen;       /**< IP:PORT of the callers' HTTP interface. */
  char *admin_listen; /**< IP:PORT of the admin interface. */
  char *peer_listen;  /**< ZeroMQ endpoint. */
  char *platform;     /**< URL of the object API. */
  char *cell;
  char *secret_file; /**< Fleet secret. */
  char *charts;      /**< Folder of the state charts. */
  char *log_level;
  char *tls_certificate; /**< NULL: no TLS. */
  char *tls_key;
  int64_t poll_ms;
  int64_t heartbeat_ms;
  int64_t hold_ms;
  int64_t max_body_bytes;
  int max_connections;
  bool baseline_primary_reads;
  bool baseline_static_shares;
  bool baseline_fifo;

  char *settings_file; /**< --settings, NULL if none was given. */
  bool exit_now;       /**< --help or --check was done; exit with success. */
};

/** Read "--settings FILE" and the other command line options, and check the
 * result.  "--help" and "--check" print to standard output.
 * @param argv as main has it; not kept.
 * @return NULL with ERROR_INVALID in @p err; an error in the file starts
 * with "FILE:LINE: ". */
struct daemon_options *daemon_options_parse (void *parent, int argc,
                                             const char **argv,
                                             struct error *err);

/** The option table, for the reference page. */
const struct option_spec *daemon_options_table (void);

/** Print what --help prints. */
void daemon_options_print_help (FILE *out);

#endif
