#include "standins/platform_objects.h"

struct objects
{
  uint64_t revision;    /**< Number of changes so far. */
  struct object *first; /**< Includes deleted objects. */
};

/** One change of a VM. The list shows the state after the newest change of
 * each VM that is old enough to be shown. */
struct vm_change
{
  struct vm_change *next; /**< The next later change, of any VM. */
  int64_t at;             /**< Time of the change, us. */
  char *name;
  bool present; /**< False: the VM was removed. */
  bool leaving; /**< The VM is about to be removed. */
};

struct vms
{
  struct vm_change *first; /**< The oldest change. */
};

struct objects *
objects_create (void *parent)
{
  return talloc_zero (parent, struct objects);
}

uint64_t
objects_revision (const struct objects *o)
{
  return o->revision;
}

/* @return the object, also if it is deleted; NULL if there was none. */
static struct object *
find_object (const struct objects *o, const char *name)
{
  for (struct object *at = o->first; at != NULL; at = at->next)
    if (strcmp (at->name, name) == 0)
      return at;
  return NULL;
}

const struct object *
objects_find (const struct objects *o, const char *name)
{
  const struct object *found = find_object (o, name);
  return found != NULL && !found->deleted ? found : NULL;
}

uint64_t
objects_update (struct objects *o, const char *name, uint64_t version,
                const struct bstr *value)
{
  struct object *found = find_object (o, name);
  uint64_t current = found != NULL && !found->deleted ? found->version : 0;
  if (current != version || (value == NULL && current == 0))
    return 0;
  if (found == NULL)
    {
      found = talloc_zero (o, struct object);
      found->name = talloc_strdup (found, name);
      found->next = o->first;
      o->first = found;
    }
  talloc_free ((void *)found->value.start);
  found->value
      = value != NULL ? bstr_copy (found, *value) : (struct bstr){ NULL, 0 };
  found->deleted = value == NULL;
  found->version = ++o->revision;
  return found->version;
}

json_t *
objects_to_json (const struct object *object)
{
  json_t *value = object->deleted
                      ? json_null ()
                      : json_stringn (object->value.start, object->value.len);
  return json_pack ("{s:s, s:I, s:o}", "name", object->name, "version",
                    (json_int_t)object->version, "value", value);
}

json_t *
objects_changes_to_json (const struct objects *o, const char *prefix,
                         uint64_t since)
{
  json_t *array = json_array ();
  for (const struct object *at = o->first; at != NULL; at = at->next)
    if (at->version > since && (since > 0 || !at->deleted)
        && strncmp (at->name, prefix, strlen (prefix)) == 0)
      json_array_append_new (array, objects_to_json (at));
  return array;
}

struct vms *
vms_create (void *parent)
{
  return talloc_zero (parent, struct vms);
}

void
vms_set (struct vms *v, const char *name, bool present, bool leaving,
         int64_t now)
{
  struct vm_change *change = talloc_zero (v, struct vm_change);
  change->at = now;
  change->name = talloc_strdup (change, name);
  change->present = present;
  change->leaving = leaving;
  struct vm_change **at = &v->first;
  while (*at != NULL)
    at = &(*at)->next;
  *at = change;
}

/* @param first the oldest change of a VM.
   @return the newest change of that VM that is not after @p until. */
static const struct vm_change *
newest_change (const struct vm_change *first, int64_t until)
{
  const struct vm_change *newest = first;
  for (const struct vm_change *c = first; c != NULL; c = c->next)
    if (c->at <= until && strcmp (c->name, first->name) == 0)
      newest = c;
  return newest;
}

/* Whether @p change is the oldest one of its VM. */
static bool
is_first_change (const struct vms *v, const struct vm_change *change)
{
  for (const struct vm_change *c = v->first; c != change; c = c->next)
    if (strcmp (c->name, change->name) == 0)
      return false;
  return true;
}

json_t *
vms_to_json (struct vms *v, int64_t until)
{
  json_t *array = json_array ();
  for (const struct vm_change *c = v->first; c != NULL; c = c->next)
    {
      if (c->at > until || !is_first_change (v, c))
        continue;
      const struct vm_change *shown = newest_change (c, until);
      if (shown->present)
        json_array_append_new (array,
                               json_pack ("{s:s, s:b}", "name", shown->name,
                                          "leaving", shown->leaving));
    }
  return json_pack ("{s:o}", "vms", array);
}
