/** @file
 * The cell's object on the platform: JSON with the member list.
 */
#ifndef DAEMON_CELL_OBJECT_H
#define DAEMON_CELL_OBJECT_H

#include "common/bstr.h"
#include "core/cell.h"

char *cell_object_name (void *parent, const char *cell);
struct bstr cell_object_render (void *parent, const struct cell_record *r);
bool cell_object_parse (struct bstr value, uint64_t version,
                        struct cell_record *r);

#endif
