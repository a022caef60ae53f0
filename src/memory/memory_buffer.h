/* MemoryBuffer: a growing block of bytes on lease from an account of memory.
 *
 * Use:
 *  1. MemoryBuffer_Init().
 *  2. MemoryBuffer_Reserve() if the length is known before, then
 *     MemoryBuffer_Append().
 *  3. MemoryBuffer_Steal() hands block and lease to another owner, or
 *     MemoryBuffer_Clear() gives both back.
 *
 * The block has a NUL behind its bytes. It grows in steps, at first to 4, 16
 * and 68 KiB, then by half; during a step the old and the new block are on
 * lease.
 *
 * Errors: MemoryBuffer_Reserve() and MemoryBuffer_Append() return FALSE if the
 * account does not lend enough. The buffer is unchanged then.
 */
#ifndef MEMORY_MEMORY_BUFFER_H
#define MEMORY_MEMORY_BUFFER_H

#include "memory/memory.h"

typedef struct MemoryBuffer {
    char *bytes; /* NULL while the capacity is 0 */
    size_t length;
    size_t capacity;
    MemoryLease lease;
} MemoryBuffer;

void MemoryBuffer_Init(MemoryBuffer *buffer, Memory *memory,
                       MemoryHolder holder, uint64_t sender);

/* Makes the block large enough for `length` bytes, and no larger. */
gboolean MemoryBuffer_Reserve(MemoryBuffer *buffer, size_t length);

/* `max_length` bounds the step, not the bytes that are appended. */
gboolean MemoryBuffer_Append(MemoryBuffer *buffer, const char *bytes,
                             size_t count, size_t max_length);

/* Returns the block, cut to its length, and moves the lease to *lease; NULL if
 * the buffer is empty. Free it with g_free() before the lease ends. */
char *MemoryBuffer_Steal(MemoryBuffer *buffer, MemoryLease *lease);

/* The buffer can be filled again. */
void MemoryBuffer_Clear(MemoryBuffer *buffer);

#endif
