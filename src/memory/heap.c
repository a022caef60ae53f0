#include "memory/heap.h"

#include <malloc.h>

void
Heap_Bound(void)
{
    /* Setting the thresholds keeps the allocator from raising them to the
     * size of the largest block that was freed. */
    (void)mallopt(M_MMAP_THRESHOLD, HEAP_BLOCK_BYTES);
    (void)mallopt(M_TRIM_THRESHOLD, HEAP_BLOCK_BYTES);
    (void)mallopt(M_ARENA_MAX, HEAP_ARENAS);
}
