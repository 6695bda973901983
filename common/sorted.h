/** @file
 * Search in sorted arrays.
 */
#ifndef COMMON_SORTED_H
#define COMMON_SORTED_H

#include <stddef.h>
#include <stdint.h>

/** @param items sorted by a uint64_t with which each of them begins.
 * @param size of one item, in bytes.
 * @return where the item with @p key is, or belongs. */
int sorted_place (const void *items, int count, size_t size, uint64_t key);

#endif
