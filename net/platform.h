/** @file
 * Client of the platform's object API, asynchronous inside a tevent loop
 * (libcurl multi).  Names are paths such as "azurewind/config".
 *
 * Every call ends in exactly one callback, unless the client is freed.
 */
#ifndef NET_PLATFORM_H
#define NET_PLATFORM_H

#include "common/bstr.h"
#include "common/error.h"

#include <stdint.h>
#include <tevent.h>

struct platform;

struct platform_options
{
  struct tevent_context *ev;
  const char *url;    /**< For example "http://127.0.0.1:8500". */
  int64_t timeout_ms; /**< Of a call; a watch has its own. */
};

/** One object; the strings are valid during the callback only. */
struct platform_object
{
  struct bstr name;
  uint64_t version; /**< 0: it does not exist. */
  struct bstr value;
};

/** Result of a read or a conditional update.
 * @param err code ERROR_NONE on success; ERROR_CONFLICT when the version did
 * not match (@p object then holds the current one); ERROR_UNKNOWN when the
 * answer to an update was lost, so that it may have taken effect;
 * ERROR_UNAVAILABLE when the call certainly had no effect; ERROR_REFUSED when
 * the value is too large.  A read of an object that does not exist succeeds
 * with version 0. */
typedef void platform_done_fn (void *data, const struct error *err,
                               const struct platform_object *object);

/** Result of a watch: the objects under the prefix that changed since, and
 * the revision to continue from.  A deleted object has version 0. */
typedef void platform_changed_fn (void *data, const struct error *err,
                                  const struct platform_object *objects,
                                  int count, uint64_t revision);

/** One VM in the platform's list. */
struct platform_vm
{
  struct bstr name;
  bool leaving;
};
typedef void platform_vms_fn (void *data, const struct error *err,
                              const struct platform_vm *vms, int count);

struct platform *platform_create (void *parent,
                                  const struct platform_options *options,
                                  struct error *err);
void platform_get (struct platform *p, const char *name,
                   platform_done_fn *done, void *data);
/** @param version to match, 0 to create. */
void platform_put (struct platform *p, const char *name, uint64_t version,
                   struct bstr value, platform_done_fn *done, void *data);
/** One long poll; the host starts the next one. @param since 0 returns all
 * objects under @p prefix at once. */
void platform_watch (struct platform *p, const char *prefix, uint64_t since,
                     int64_t timeout_ms, platform_changed_fn *changed,
                     void *data);
void platform_list_vms (struct platform *p, platform_vms_fn *done, void *data);
/** Calls made so far, watches included. */
uint64_t platform_calls (const struct platform *p);

#endif
