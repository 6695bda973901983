/** @file
 * A small fleet of session daemons in front of the stand-in of the users'
 * platform, and callers that use the line protocol.
 */
#ifndef TESTS_RELAY_SITE_H
#define TESTS_RELAY_SITE_H

#include "tests/process.h"

#include <jansson.h>
#include <stdint.h>

#define SITE_MAX_DAEMONS 64

/** Number of consecutive ports of each session daemon: for callers, readiness,
 * metrics and the bus, in this order; the rest is for the test's own use. */
#define SITE_PORTS 8

/** Ports of the proxies between a session daemon and others; 0: no proxy. */
struct site_proxy_ports
{
  int bus;   /**< Proxy through which others reach the daemon's bus. */
  int store; /**< Proxy through which the daemon reaches the platform. */
};

/** Outcome of one statement. */
struct line_answer
{
  char id[24];        /**< Id of the statement. */
  char code[16];      /**< Error code; empty on success. */
  char text[200];     /**< Error text. */
  char row[100];      /**< First row of the result. */
  char signature[64]; /**< Rest of the COMPLETE line. */
  char state;         /**< From READY; 0: no READY line came in time. */
};

/** The running processes and how to reach them. */
struct sessiond_site
{
  struct process *platform;
  struct process *daemons[SITE_MAX_DAEMONS];
  int daemon_count;     /**< With the spare ones. */
  int spares;           /**< As in the options. */
  int large;            /**< As in the options. */
  int zones;            /**< As in the options. */
  int grace_ms;         /**< Longest time from SIGTERM to a daemon's end. */
  const char *settings; /**< As in the options. */
  int first_port; /**< First port of daemon 0; each daemon has SITE_PORTS. */
  struct site_proxy_ports proxy_ports[SITE_MAX_DAEMONS];
  char *folder;   /**< Folder of the settings files; removed at the end. */
  char *url;      /**< URL of the stand-in's control interface. */
  json_t *config; /**< Current configuration of the platform. */
};

/** What sessiond_site_start () starts. */
struct sessiond_site_options
{
  int daemons;
  /** Daemons with higher numbers that are not started: they come later, as
   * additions to the fleet. */
  int spares;
  int services;
  int sync_replicas; /**< Of each service; the stand-in does not wait. */
  int lag_ms;        /**< Replication lag of the databases. */
  int promote_ms;    /**< Time until a promotion takes effect; 0: 200. */
  int grace_ms; /**< Longest time from SIGTERM to a daemon's end; 0: 450. */
  double rate;  /**< Rate and burst of organisation "beta"; 0: 10000. */
  /** Number of daemons on large VMs; those after them are on small ones; 0:
   * all are on large VMs. */
  int large;
  int zones; /**< Failure domains; 0: 1. */
  /** Called before the daemons start, for example to set their proxy ports;
   * may be NULL. */
  bool (*prepare) (struct sessiond_site *s, void *data);
  void *data;           /**< For prepare. */
  const char *settings; /**< Further lines of settings; NULL: none. */
};

/** Start all processes and wait until each daemon serves writes of each
 * service.
 * @return NULL, with the reason on stdout, on failure. */
struct sessiond_site *
sessiond_site_start (void *parent,
                     const struct sessiond_site_options *options);
/** Reserve ports of 127.0.0.1 until @p parent is freed: no other test run on
 * this machine gets them, although no process listens there yet.
 * @return the first of @p count consecutive ports, 0 if there are none. */
int sessiond_site_reserve_ports (void *parent, int count);
/** Start daemon @p i, or stop it and start it again. */
bool sessiond_site_start_daemon (struct sessiond_site *s, int i);
/** Wait until a write to @p service succeeds through daemon @p i. */
bool sessiond_site_wait (struct sessiond_site *s, int i, int service,
                         int timeout_ms);
/** @return the port of daemon @p i for callers. */
int sessiond_site_port (const struct sessiond_site *s, int i);
/** @return the HTTP status of the readiness check, 0 without an answer. */
int sessiond_site_ready (const struct sessiond_site *s, int i);
/** @return the metrics as text, owned by @p s. */
char *sessiond_site_metrics (struct sessiond_site *s, int i);

/** Change the behaviour of the platform, for example with {"down": true}.
 * Takes ownership of @p body. */
bool sessiond_site_control (struct sessiond_site *s, json_t *body);
/** Inject a fault into a database. */
bool sessiond_site_fault (struct sessiond_site *s, const char *database,
                          const char *fault);
/** Write the object @p name of @p kind; answers of the platform's store
 * contain @p spec as it is, which need not be valid JSON. */
bool sessiond_site_write_raw (struct sessiond_site *s, const char *kind,
                              const char *name, const char *spec);
/** Publish the current configuration with a higher version. */
bool sessiond_site_configure (struct sessiond_site *s);
/** @return the statements and logs of the databases; a new reference. */
json_t *sessiond_site_observed (struct sessiond_site *s);
/** @return number of log entries of the write @p id on the primary of the
 * newest term. */
int sessiond_site_committed (struct sessiond_site *s, const char *id);
/** @return the run of statement @p id that a database recorded, NULL if
 * none. */
const json_t *sessiond_site_run (const json_t *observed, const char *id);

/** @return whether the answer has the signature of the run that a database
 * recorded for the statement; each run has a new one. */
bool sessiond_site_signed (struct sessiond_site *s,
                           const struct line_answer *a);

/** Read from service 1 through all daemons for some time.
 * @return the number of reads that ran at @p database, -1 if none ran at any
 * one. */
int sessiond_site_reads_at (struct sessiond_site *s, const char *database,
                            int duration_ms);

/** @return the time since the VM started. */
int64_t sessiond_site_now_ms (void);

/** Connection of a caller.  A line ends in CR LF and nowhere else. */
struct line_caller
{
  int fd;
  char *in; /**< Bytes received and not handled yet. */
  size_t used;
  struct bstr *rows; /**< Rows of the newest answer. */
  int row_count;
  void *row_memory; /**< Owns the rows. */
};

/** Connect to a session daemon.  @return NULL on failure. */
struct line_caller *line_open (void *parent, int port);
/** Start the session.
 * @return whether it is ready; a refusal's error code is in @p answer. */
bool line_start (struct line_caller *c, const char *database, const char *key,
                 struct line_answer *answer);
/** Run one statement. @return whether it succeeded. */
bool line_query (struct line_caller *c, struct line_answer *answer,
                 const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/** Run one statement with any bytes. @return whether it succeeded. */
bool line_query_bytes (struct line_caller *c, struct line_answer *answer,
                       struct bstr statement);
/** @return whether the rows of the newest answer are those that a run
 * recorded. */
bool line_rows_match (const struct line_caller *c, const json_t *run);
/** Send bytes without waiting for answers. */
bool line_send_bytes (struct line_caller *c, struct bstr bytes);
/** Send lines without waiting for answers. */
bool line_send (struct line_caller *c, const char *lines);
/** @return whether bytes came that belong to no answer, within
 * @p timeout_ms. */
bool line_has_more (struct line_caller *c, int timeout_ms);
/** Read answers until there are @p expected of them, one is late or the
 * session is closed.
 * @return their number. */
int line_count_answers (struct line_caller *c, int expected);
/** @return whether the daemon has closed the session. */
bool line_is_closed (struct line_caller *c, int timeout_ms);

#endif
