/** @file
 * The format of the cell's object on the platform: JSON with the list of
 * members.
 */
#ifndef DAEMON_CELL_OBJECT_H
#define DAEMON_CELL_OBJECT_H

#include "common/bstr.h"
#include "core/cell.h"

/** @return the name of the cell's object. */
char *cell_object_name (void *parent, const char *cell);
/** @return the record as JSON text. */
struct bstr cell_object_render (void *parent, const struct cell_record *r);
/** Parse @p value into @p r.  @return false if it is malformed. */
bool cell_object_parse (struct bstr value, uint64_t version,
                        struct cell_record *r);

#endif
