/** @file
 * The object store and the VM list of the platform stand-in, in memory.
 */
#ifndef STANDINS_PLATFORM_OBJECTS_H
#define STANDINS_PLATFORM_OBJECTS_H

#include "common/bstr.h"

#include <jansson.h>
#include <stdint.h>

/** A stored object, or the mark of a deleted one. */
struct object
{
  struct object *next;
  char *name;
  uint64_t version; /**< Revision of the store at its newest change. */
  bool deleted;     /**< Stays listed so that watches report the deletion. */
  struct bstr value;
};

/** The object store. */
struct objects;

struct objects *objects_create (void *parent);

/** @return the revision of the newest change in the store; 0: none yet. */
uint64_t objects_revision (const struct objects *o);

/** @return NULL if the object does not exist. */
const struct object *objects_find (const struct objects *o, const char *name);

/** Create, replace or delete an object if its current version is @p version.
 * @param version 0: the object must not exist.
 * @param value NULL: delete the object.
 * @return the new version; 0 if @p version does not match, or if the object
 * to delete does not exist. */
uint64_t objects_update (struct objects *o, const char *name, uint64_t version,
                         const struct bstr *value);

/** @return {"name","version","value"}; the value of a deleted object is
 * null. */
json_t *objects_to_json (const struct object *object);

/** @return an array of the objects whose name starts with @p prefix and whose
 * version is above @p since; deleted ones only if @p since is not 0. */
json_t *objects_changes_to_json (const struct objects *o, const char *prefix,
                                 uint64_t since);

/** The list of VMs with the history of its changes. */
struct vms;

struct vms *vms_create (void *parent);

/** Record that a VM was added, changed or removed.
 * @param present false: the VM was removed.
 * @param leaving the VM is about to be removed.
 * @param now time of the change, us. */
void vms_set (struct vms *v, const char *name, bool present, bool leaving,
              int64_t now);

/** @param until time, us; later changes are left out, as the platform's list
 * lags behind the real state.
 * @return {"vms":[{"name","leaving"}]}. */
json_t *vms_to_json (struct vms *v, int64_t until);

#endif
