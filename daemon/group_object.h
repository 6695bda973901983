/** @file
 * The group's object on the platform: JSON with endpoints by name.
 */
#ifndef DAEMON_GROUP_OBJECT_H
#define DAEMON_GROUP_OBJECT_H

#include "daemon/group.h"

char *group_object_name (void *parent, const char *service);
struct bstr group_object_render (void *parent, const struct group *g,
                                 const struct group_record *r);
/** @return false if the value is malformed or names an unknown endpoint. */
bool group_object_parse (const struct platform_object *object,
                         const struct group *g, struct group_record *r);

#endif
