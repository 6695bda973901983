/** @file
 * Blocking client of the platform's object API and of the daemons' admin
 * ports (libcurl, easy interface).
 */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "common/bstr.h"
#include "common/error.h"

#include <jansson.h>
#include <stdint.h>

/** HTTP client of one platform and of the daemons' admin ports. */
struct client;

/** A versioned object that is stored on the platform. */
struct client_object
{
  uint64_t version;  /**< 0: the object does not exist. */
  struct bstr value; /**< JSON text; empty: the object does not exist. */
};

/** Create a client.
 * @param url URL of the platform, for example "http://127.0.0.1:8500".
 * @param timeout_ms time limit of one call.
 * @return NULL with @p err set on failure. */
struct client *client_create (void *parent, const char *url, long timeout_ms,
                              struct error *err);

/** Read an object; its value is owned by @p c.  If the object does not exist,
 * the call succeeds with version 0.
 * @return false with ERROR_UNAVAILABLE in @p err if the platform is out of
 * reach or its response is not valid. */
bool client_get (struct client *c, const char *name,
                 struct client_object *object, struct error *err);

/** Replace the object that was read as @p base by @p value, a JSON object.
 * The members "op" and "previous_ops" are added to @p value; "op" is the id of
 * the update.  If the response is lost, the object is read back: the update
 * took effect if the object's "op" or "previous_ops" contains its id.
 * @param current set to the new version, or to the newer object on a
 * conflict.
 * @return false with ERROR_CONFLICT if the object is newer than @p base,
 * ERROR_UNKNOWN if the update may have run; with any other code it certainly
 * did not run. */
bool client_update (struct client *c, const char *name,
                    const struct client_object *base, json_t *value,
                    struct client_object *current, struct error *err);

/** Send one request to an admin port.
 * @param method "GET" or "POST"; the request's body is empty.
 * @param url complete URL; the URL of the platform is not used.
 * @return the response's body, owned by @p parent; start is NULL with @p err
 * set if there was no response with a 2xx status. */
struct bstr client_call (void *parent, struct client *c, const char *method,
                         const char *url, struct error *err);

#endif
