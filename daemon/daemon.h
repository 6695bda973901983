/** @file
 * The daemon's shared state: one event loop, one thread.
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

/** An object of the platform that the daemon keeps the newest version of,
 * from the platform or from a peer. */
struct known_object
{
  uint64_t version;
  struct bstr value;
};

struct daemon
{
  struct tevent_context *ev;
  const struct daemon_options *options;
  struct stats *stats;
  unsigned char token_key[SECRET_BYTES];
  unsigned char peer_key[SECRET_BYTES];
  uint64_t id; /**< Member id of this process start. */
  struct chart *request_chart;
  struct platform *platform;
  struct bus *bus;
  struct cell *cell;
  struct budget *budget;
  struct settings *settings; /**< NULL until the first configuration. */
  struct keys *keys;         /**< NULL until the first key list. */
  struct known_object config_object, keys_object;
  struct group *groups;
  struct transaction *transactions;
  struct front *front;
  struct control *control;
  struct peers *peers;
  struct admin *admin;
  char *tls_certificate_text; /**< PEM, NULL without TLS. */
  char *tls_key_text;
  bool draining;
  bool stopped;
};

/** Start a repeating timer; @p run gets @p data. It ends with @p parent. */
void daemon_every (struct daemon *d, void *parent, int64_t interval_us,
                   void (*run) (void *data), void *data);

/** Start a timer that fires once. */
struct tevent_timer *daemon_after (struct daemon *d, void *parent,
                                   int64_t delay_us,
                                   tevent_timer_handler_t run, void *data);

/** @return a fresh unique number. */
uint64_t daemon_unique (void);

/** Finish running requests, refuse new ones, then stop. */
void daemon_drain (struct daemon *d);

#endif
