/** @file
 * Objects and VM list of the platform stand-in, in memory.
 */
#ifndef STANDINS_PLATFORM_OBJECTS_H
#define STANDINS_PLATFORM_OBJECTS_H

#include "common/bstr.h"

#include <jansson.h>
#include <stdint.h>

struct object
{
  struct object *next;
  char *name;
  uint64_t version; /**< Global revision of the last change. */
  bool deleted;     /**< Kept, so that a watch reports the deletion. */
  struct bstr value;
};

struct objects;

struct objects *objects_create (void *parent);

/** @return the newest revision; 0 before the first change. */
uint64_t objects_revision (const struct objects *o);

/** @return NULL if the object does not exist. */
const struct object *objects_find (const struct objects *o, const char *name);

/** Change the object if its version is @p version (0: it does not exist).
 * @param value NULL to delete.
 * @return the new version, 0 if the version does not match. */
uint64_t objects_update (struct objects *o, const char *name, uint64_t version,
                         const struct bstr *value);

/** @return {"name","version","value"}; a null value if it was deleted. */
json_t *objects_to_json (const struct object *object);

/** @return an array of the objects under @p prefix with a version above
 * @p since. */
json_t *objects_changed (const struct objects *o, const char *prefix,
                         uint64_t since);

struct vms;

struct vms *vms_create (void *parent);

/** Record a change of the real state.
 * @param now us. */
void vms_set (struct vms *v, const char *name, bool present, bool leaving,
              int64_t now);

/** @param until changes after this time, us, are not shown yet.
 * @return {"vms":[{"name","leaving"}]}. */
json_t *vms_to_json (struct vms *v, int64_t until);

#endif
