/** @file
 * Stand-in for the users' platform: object store, promotion service and
 * database groups in one process, with faults that a test sets.
 */
#ifndef STANDINS_SITE_H
#define STANDINS_SITE_H

#include "common/bstr.h"
#include "common/clock.h"
#include "common/error.h"

#include <jansson.h>
#include <tevent.h>

/** The HTTP server of the object store and of the promotion service. */
struct site_store;

/** Address and callbacks of the store. */
struct site_store_options
{
  struct tevent_context *ev;
  const char *address; /**< IP:PORT. */
  /** Promote a database to primary of its service.
   * @param holder name of the caller.
   * @param token fencing token of the caller.
   * @return the HTTP status of the answer. */
  unsigned (*promote) (void *data, const char *service, const char *id,
                       struct bstr holder, uint64_t token);
  /** Set or end a fault of a database; requested by POST /control.
   * @return false if the database or the fault is unknown. */
  bool (*set_fault) (void *data, const char *id, const char *fault);
  /** Answer GET /control.
   * @return state and records of the databases; a new reference. */
  json_t *(*get_observations) (void *data);
  void *data; /**< First argument of the callbacks. */
};

struct site_store *site_store_create (void *parent,
                                      const struct site_store_options *options,
                                      struct error *err);
int site_store_port (const struct site_store *s);

/** Create or replace an object, as the operator and databases do; an object
 * with an equal spec keeps its revision.  If a restore from a copy loses the
 * change, it is written again; a write by HTTP is not.
 * @param spec takes over the reference. */
void site_store_write (struct site_store *s, const char *kind,
                       const char *name, json_t *spec);

/** Delete an object if it exists. */
void site_store_delete (struct site_store *s, const char *kind,
                        const char *name);

/** The databases of all services: for each service a group of a primary and
 * its replicas. */
struct site_databases;

struct site_databases_options
{
  struct tevent_context *ev;
  struct site_store *store;
  int services;
  int zones;           /**< Failure domains; see site_databases_create. */
  int replicas;        /**< Replicas of each service, beside its primary. */
  int work_ms;         /**< Run time of a statement. */
  int lag_ms;          /**< Replication lag. */
  int promote_ms;      /**< Time from the order to promote to the promotion. */
  int max_connections; /**< Connections to each database. */
  unsigned seed;       /**< Of what the faults choose at random. */
};

/** The databases of a service are in "zone-a", "zone-b" and so on, in turn. */
struct site_databases *
site_databases_create (void *parent,
                       const struct site_databases_options *options,
                       struct error *err);

/* Callbacks for struct site_store_options; @p data is the site_databases. */

unsigned site_databases_promote (void *data, const char *service,
                                 const char *id, struct bstr holder,
                                 uint64_t token);
bool site_databases_set_fault (void *data, const char *id, const char *fault);
json_t *site_databases_get_observations (void *data);

#endif
