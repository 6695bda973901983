/** @file
 * The daemon's client of the platform's object API, asynchronous inside a
 * tevent loop (libcurl multi).  The session daemon uses platform/store.h.
 * Object names are paths such as "azurewind/config".
 *
 * Every call ends in exactly one callback, unless the client is freed first.
 */
#ifndef NET_PLATFORM_H
#define NET_PLATFORM_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>
#include <tevent.h>

/** One client. */
struct platform;

struct platform_options
{
  struct tevent_context *ev;
  const char *url;    /**< Base URL, such as "http://127.0.0.1:8500". */
  int64_t timeout_ms; /**< Timeout of a call; a watch adds its own. */
};

/** One stored object; its strings are valid during the callback only. */
struct platform_object
{
  struct bstr name;
  uint64_t version; /**< 0: the object does not exist. */
  struct bstr value;
};

/** Result of a read or a conditional update.
 * @param err its code is ERROR_NONE on success; ERROR_CONFLICT if the version
 * did not match (@p object then holds the current one); ERROR_UNKNOWN if the
 * response to an update was lost, so that it may have taken effect;
 * ERROR_UNAVAILABLE if the call certainly had no effect; ERROR_REFUSED if the
 * value is too large.  A read of an object that does not exist succeeds with
 * version 0. */
typedef void platform_done_fn (void *data, const struct error *err,
                               const struct platform_object *object);

/** Result of a watch: the objects under the prefix that changed after the
 * watch's revision, and the revision to continue from.  A deleted object has
 * version 0. */
typedef void platform_changed_fn (void *data, const struct error *err,
                                  const struct platform_object *objects,
                                  int count, uint64_t revision);

/** One VM in the platform's list; the name is valid during the callback
 * only. */
struct platform_vm
{
  struct bstr name;
  bool leaving; /**< The platform is going to remove the VM. */
};

/** Result of platform_list_vms. */
typedef void platform_vms_fn (void *data, const struct error *err,
                              const struct platform_vm *vms, int count);

/** @return NULL if the HTTP client cannot be set up. */
struct platform *platform_create (void *parent,
                                  const struct platform_options *options,
                                  struct error *err);
/** Read an object. */
void platform_get (struct platform *p, const char *name,
                   platform_done_fn *done, void *data);
/** Update an object if its version is still @p version, or create it if
 * @p version is 0. */
void platform_put (struct platform *p, const char *name, uint64_t version,
                   struct bstr value, platform_done_fn *done, void *data);
/** Wait for changes with one long poll, which the user of the client repeats.
 * @param since revision after which changes count; 0: return all objects under
 * @p prefix at once.
 * @param timeout_ms time after which the platform returns without changes. */
void platform_watch (struct platform *p, const char *prefix, uint64_t since,
                     int64_t timeout_ms, platform_changed_fn *changed,
                     void *data);
/** List the VMs. */
void platform_list_vms (struct platform *p, platform_vms_fn *done, void *data);
/** @return the number of calls made so far, watches included. */
uint64_t platform_call_count (const struct platform *p);

#endif
