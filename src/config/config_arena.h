/* ConfigArena: compact storage for names and route details.
 *
 * Private to config. Blocks are addressed by 32-bit references in units of 4
 * bytes and never move. Only the writer adds and frees blocks. It frees a
 * block only when no table refers to it any more.
 *
 * Limits: a block has at most CONFIG_ARENA_MAX_BLOCK_BYTES, the arena 64 MB. A
 * freed block is reused for a block of its size or a slightly smaller one.
 */
#ifndef CONFIG_CONFIG_ARENA_H
#define CONFIG_CONFIG_ARENA_H

#include <glib.h>
#include <stdint.h>

#define CONFIG_ARENA_CHUNK_BYTES 65536
#define CONFIG_ARENA_MAX_CHUNKS 1024
#define CONFIG_ARENA_MAX_BLOCK_BYTES 32768

typedef struct ConfigArena {
    char *chunks[CONFIG_ARENA_MAX_CHUNKS];
    uint32_t chunk_count; /* atomic */
    uint32_t used;        /* bytes used in the last chunk */
    /* Heads of the lists of free blocks, by size in units. The first unit of
     * a free block refers to the next one. */
    uint32_t free_blocks[CONFIG_ARENA_MAX_BLOCK_BYTES / 4 + 1];
} ConfigArena;

void ConfigArena_Init(ConfigArena *arena);
void ConfigArena_Clear(ConfigArena *arena);

/* Copies the bytes into a new block. Returns its reference, 0 when the arena
 * is full. */
uint32_t ConfigArena_Add(ConfigArena *arena, const void *bytes, size_t length);
void ConfigArena_Free(ConfigArena *arena, uint32_t reference, size_t length);

static inline void *
ConfigArena_Get(const ConfigArena *arena, uint32_t reference)
{
    return arena->chunks[reference / (CONFIG_ARENA_CHUNK_BYTES / 4)] +
           (size_t)(reference % (CONFIG_ARENA_CHUNK_BYTES / 4)) * 4;
}

/* May be called while the writer adds blocks. */
size_t ConfigArena_GetBytes(const ConfigArena *arena);

#endif
