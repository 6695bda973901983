/** @file
 * The format of a group's object on the platform: JSON in which endpoints
 * appear by name.
 */
#ifndef DAEMON_GROUP_OBJECT_H
#define DAEMON_GROUP_OBJECT_H

#include "daemon/group.h"

/** @return the name of the service's group object. */
char *group_object_name (void *parent, const char *service);
/** @return the record as JSON text. */
struct bstr group_object_render (void *parent, const struct group *g,
                                 const struct group_record *r);
/** Parse the object's value into @p r.
 * @return false if it is malformed or names an unknown endpoint. */
bool group_object_parse (const struct platform_object *object,
                         const struct group *g, struct group_record *r);

#endif
