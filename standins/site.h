/** @file
 * Stand-in for the users' platform: object store, promotion service and
 * database groups in one process, with faults that a test switches on.
 */
#ifndef STANDINS_SITE_H
#define STANDINS_SITE_H

#include "common/bstr.h"
#include "common/clock.h"
#include "common/error.h"

#include <jansson.h>
#include <tevent.h>

/** The object store. */
struct site_store;

struct site_store_options
{
  struct tevent_context *ev;
  const char *address; /**< IP:PORT. */
  /** Order to promote. @return the status of the answer. */
  unsigned (*promote) (void *data, const char *service, const char *id,
                       uint64_t token);
  /** A fault of a database: "POST /control/database". */
  bool (*fault) (void *data, const char *id, const char *fault);
  /** What the databases saw; a new reference. */
  json_t *(*observed) (void *data);
  void *data;
};

struct site_store *site_store_create (void *parent,
                                      const struct site_store_options *options,
                                      struct error *err);
int site_store_port (const struct site_store *s);
/** Create or replace an object, as the operator and databases do. */
void site_store_write (struct site_store *s, const char *kind,
                       const char *name, json_t *spec);
void site_store_delete (struct site_store *s, const char *kind,
                        const char *name);

/** Database groups. */
struct site_databases;

struct site_databases_options
{
  struct tevent_context *ev;
  struct site_store *store;
  int services;
  int replicas;   /**< Of each service, beside its primary. */
  int work_ms;    /**< Time that a statement takes. */
  int lag_ms;     /**< Of replicas. */
  int promote_ms; /**< From the order until it leads. */
  int max_connections;
};

struct site_databases *
site_databases_create (void *parent,
                       const struct site_databases_options *options,
                       struct error *err);
unsigned site_databases_promote (void *data, const char *service,
                                 const char *id, uint64_t token);
bool site_databases_fault (void *data, const char *id, const char *fault);
json_t *site_databases_observed (void *data);

#endif
