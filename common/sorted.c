#include "common/sorted.h"

#include <string.h>

int
sorted_lower_bound (const void *items, int count, size_t size, uint64_t key)
{
  int low = 0, high = count;
  while (low < high)
    {
      int middle = (low + high) / 2;
      uint64_t at;
      memcpy (&at, (const char *)items + size * (size_t)middle, sizeof at);
      if (at < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}
