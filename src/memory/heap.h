/* Heap: limits of the C library's allocator for a process with many threads.
 *
 * Use: call Heap_Bound() once at the start, before the first thread.
 *
 * A block of HEAP_BLOCK_BYTES or more is mapped by itself and is given back to
 * the system when it is freed, whichever thread frees it. Smaller blocks come
 * from at most HEAP_ARENAS arenas, each of which gives back what is free at
 * its end beyond HEAP_BLOCK_BYTES.
 *
 * Limits: a setting of the allocator's own environment variables is
 * overridden. No effect with an allocator other than the C library's.
 */
#ifndef MEMORY_HEAP_H
#define MEMORY_HEAP_H

#define HEAP_BLOCK_BYTES (128 * 1024)
#define HEAP_ARENAS 4

void Heap_Bound(void);

#endif
