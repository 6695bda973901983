/** @file
 * A small fleet of session daemons before the stand-in of the users'
 * platform, and callers that speak the line protocol.
 */
#ifndef TESTS_RELAY_SITE_H
#define TESTS_RELAY_SITE_H

#include "tests/process.h"

#include <jansson.h>
#include <stdint.h>

#define SITE_MAX_DAEMONS 64

/** Ports of each daemon: callers, readiness, metrics, bus, and others that are
 * free for the test. */
#define SITE_PORTS 8

/** Ports through which a daemon is reached and reaches the platform, when a
 * proxy lies between; 0: the direct way. */
struct site_detour
{
  int bus;
  int store;
};

struct sessiond_site
{
  struct process *platform;
  struct process *daemons[SITE_MAX_DAEMONS];
  int daemon_count;
  int large;
  int grace_ms;
  int first_port; /**< SITE_PORTS for each daemon. */
  struct site_detour detours[SITE_MAX_DAEMONS];
  char *folder;
  char *url; /**< Of the stand-in's control interface. */
  json_t *config;
};

struct sessiond_site_options
{
  int daemons;
  int services;
  int lag_ms;
  int grace_ms; /**< From SIGTERM to the end; 0: short. */
  double rate;  /**< Of organisation "beta"; 0: plenty. */
  /** Daemons that come behind this number are on small VMs; 0: none. */
  int large;
  /** Called before the daemons start, for example to set their detours. */
  bool (*prepare) (struct sessiond_site *s, void *data);
  void *data;
};

/** Start everything and wait until each daemon serves writes of each
 * service. @return NULL, with the reason on stdout, if it does not. */
struct sessiond_site *
sessiond_site_start (void *parent,
                     const struct sessiond_site_options *options);
bool sessiond_site_start_daemon (struct sessiond_site *s, int i);
/** Wait until a write succeeds through daemon @p i. */
bool sessiond_site_wait (struct sessiond_site *s, int i, int service,
                         int timeout_ms);
/** Port of callers' sessions. */
int sessiond_site_port (const struct sessiond_site *s, int i);
int sessiond_site_ready (const struct sessiond_site *s, int i);
char *sessiond_site_metrics (struct sessiond_site *s, int i);

/** Change what the platform does, for example {"down": true}. */
bool sessiond_site_control (struct sessiond_site *s, json_t *body);
bool sessiond_site_fault (struct sessiond_site *s, const char *database,
                          const char *fault);
/** Put the present configuration again with the next version. */
bool sessiond_site_configure (struct sessiond_site *s);
/** What the databases saw; a new reference. */
json_t *sessiond_site_observed (struct sessiond_site *s);
/** @return how often a write with this id is in the primary's log. */
int sessiond_site_committed (struct sessiond_site *s, const char *id);
/** @return the run with this id as the databases saw it, NULL if none. */
const json_t *sessiond_site_run (const json_t *observed, const char *id);

int64_t sessiond_site_now_ms (void);

/** A caller. */
struct line_caller
{
  int fd;
  size_t used;
  char in[65536];
};

/** Outcome of one statement. */
struct line_answer
{
  char id[24];    /**< Of the statement. */
  char code[16];  /**< Empty on success. */
  char text[200]; /**< Of the error. */
  char row[100];  /**< First row. */
  char signature[64];
  char state; /**< 0: the connection ended or nothing came. */
};

struct line_caller *line_open (void *parent, int port);
/** @return whether the session is ready; the code of a refusal in
 * @p answer. */
bool line_start (struct line_caller *c, const char *database, const char *key,
                 struct line_answer *answer);
/** Run one statement. @return whether it succeeded. */
bool line_query (struct line_caller *c, struct line_answer *answer,
                 const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/** @return whether the daemon has closed the session. */
bool line_is_closed (struct line_caller *c, int timeout_ms);

#endif
