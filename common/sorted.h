/** @file
 * Search in sorted arrays.
 */
#ifndef COMMON_SORTED_H
#define COMMON_SORTED_H

#include <stddef.h>
#include <stdint.h>

/** Search for the first item whose key is at least @p key.
 * @param items sorted by their keys; each begins with its key, a uint64_t.
 * @param size of one item, in bytes.
 * @return its index, @p count if there is none: where the item with @p key is
 * or has to be inserted. */
int sorted_lower_bound (const void *items, int count, size_t size,
                        uint64_t key);

#endif
