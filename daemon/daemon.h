/** @file
 * The state that all modules of the daemon azurewindd share.  The daemon runs
 * one event loop in one thread.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "common/stats.h"
#include "core/budget.h"
#include "core/cell.h"
#include "core/chart.h"
#include "core/settings.h"
#include "daemon/options.h"
#include "net/bus.h"
#include "net/http.h"
#include "net/platform.h"
#include "proto/key.h"
#include "proto/token.h"

#include <tevent.h>

struct group;
struct transaction;
struct front;
struct control;
struct peers;
struct admin;

/** The newest version that the daemon has seen of an object of the platform;
 * it came from the platform or from a peer. */
struct known_object
{
  uint64_t version; /**< 0: not received yet. */
  struct bstr value;
};

/** The process-wide state of the daemon. */
struct daemon
{
  struct tevent_context *ev;
  const struct daemon_options *options;
  struct stats *stats;
  unsigned char token_key[SECRET_BYTES]; /**< Key of the session tokens. */
  unsigned char peer_key[SECRET_BYTES];  /**< Key of messages to peers. */
  uint64_t id; /**< This process's member id, new at each start. */
  struct chart *request_chart;
  struct platform *platform;
  struct bus *bus;
  struct cell *cell;
  struct budget *budget;
  struct settings *settings; /**< NULL until a valid configuration arrives. */
  struct keys *keys;         /**< NULL until a valid key list arrives. */
  struct known_object config_object, keys_object;
  struct group *groups; /**< All groups, the retired ones included. */
  struct transaction *transactions;
  struct front *front;
  struct control *control;
  struct peers *peers;
  struct admin *admin;
  char *tls_certificate_text; /**< PEM text; NULL without TLS. */
  char *tls_key_text;         /**< PEM text; NULL without TLS. */
  bool draining;              /**< daemon_drain was called. */
  bool stopped;               /**< The event loop is to end. */
};

/** Start a timer that calls @p run with @p data every @p interval_us, until
 * @p parent is freed. */
void daemon_add_repeating_timer (struct daemon *d, void *parent,
                                 int64_t interval_us, void (*run) (void *data),
                                 void *data);

/** Start a timer that calls @p run with @p data once, after @p delay_us;
 * freeing @p parent cancels it. */
struct tevent_timer *daemon_add_timer (struct daemon *d, void *parent,
                                       int64_t delay_us,
                                       tevent_timer_handler_t run, void *data);

/** @return a random number other than 0, for use as a unique id. */
uint64_t daemon_random_id (void);

/** Drain the daemon: fail the health check, later refuse new requests, finish
 * the running ones, then stop. */
void daemon_drain (struct daemon *d);

#endif
