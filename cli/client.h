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

struct client;

struct client_object
{
  uint64_t version; /**< 0: the object does not exist. */
  struct bstr value;
};

/** @param url of the platform, for example "http://127.0.0.1:8500".
 * @param timeout_ms of one call. */
struct client *client_create (void *parent, const char *url, long timeout_ms,
                              struct error *err);

/** Read an object; its value is owned by @p c.
 * @return false with ERROR_UNAVAILABLE in @p err. */
bool client_get (struct client *c, const char *name,
                 struct client_object *object, struct error *err);

/** Replace the object that was read as @p base by @p value, a JSON object.
 * The members "op" and "previous_ops" are added to it.  A lost answer is
 * resolved by reading the object back: the update took effect if its "op" is
 * the object's or stands in the "previous_ops" of a newer one.
 * @param current set to the new version, or to the newer object on a
 * conflict.
 * @return false with ERROR_CONFLICT if the object is newer than @p base,
 * ERROR_UNAVAILABLE if the update certainly did not run, ERROR_UNKNOWN if
 * that cannot be found out. */
bool client_update (struct client *c, const char *name,
                    const struct client_object *base, json_t *value,
                    struct client_object *current, struct error *err);

/** One call to an admin port.
 * @param method "GET" or "POST"; the body is empty.
 * @return the answer's body, owned by @p parent; start is NULL with @p err
 * set if there was no answer with a status of success. */
struct bstr client_call (void *parent, struct client *c, const char *method,
                         const char *url, struct error *err);

#endif
