#include "config/config_arena.h"

#include <string.h>

/* A free block may be larger than requested by up to this many units; the rest
 * of it stays free. */
#define MAX_EXCESS_UNITS 16

void
ConfigArena_Init(ConfigArena *arena)
{
    memset(arena, 0, sizeof(*arena));
}

void
ConfigArena_Clear(ConfigArena *arena)
{
    for (uint32_t i = 0; i < arena->chunk_count; i++) {
        g_free(arena->chunks[i]);
    }
    ConfigArena_Init(arena);
}

static uint32_t
to_units(size_t length)
{
    return (uint32_t)((MAX(length, 1) + 3) / 4);
}

static void
push_free(ConfigArena *arena, uint32_t reference, uint32_t units)
{
    memcpy(ConfigArena_Get(arena, reference), &arena->free_blocks[units],
           sizeof(uint32_t));
    arena->free_blocks[units] = reference;
}

static uint32_t
pop_free(ConfigArena *arena, uint32_t units)
{
    uint32_t max_units =
        MIN(units + MAX_EXCESS_UNITS, CONFIG_ARENA_MAX_BLOCK_BYTES / 4);

    for (uint32_t size = units; size <= max_units; size++) {
        uint32_t reference = arena->free_blocks[size];

        if (reference != 0) {
            memcpy(&arena->free_blocks[size],
                   ConfigArena_Get(arena, reference), sizeof(uint32_t));
            if (size > units) {
                push_free(arena, reference + units, size - units);
            }
            return reference;
        }
    }
    return 0;
}

static gboolean
add_chunk(ConfigArena *arena)
{
    if (arena->chunk_count == CONFIG_ARENA_MAX_CHUNKS) {
        return FALSE;
    }
    arena->chunks[arena->chunk_count] = g_malloc(CONFIG_ARENA_CHUNK_BYTES);
    __atomic_store_n(&arena->chunk_count, arena->chunk_count + 1,
                     __ATOMIC_RELEASE);
    /* Reference 0 means "none", so the first unit of the arena is unused. */
    arena->used = arena->chunk_count == 1 ? 4 : 0;
    return TRUE;
}

uint32_t
ConfigArena_Add(ConfigArena *arena, const void *bytes, size_t length)
{
    uint32_t units = to_units(length);
    uint32_t reference;

    if (length > CONFIG_ARENA_MAX_BLOCK_BYTES) {
        return 0;
    }
    reference = pop_free(arena, units);
    if (reference == 0) {
        if ((arena->chunk_count == 0 ||
             arena->used + units * 4 > CONFIG_ARENA_CHUNK_BYTES) &&
            !add_chunk(arena)) {
            return 0;
        }
        reference = (arena->chunk_count - 1) * (CONFIG_ARENA_CHUNK_BYTES / 4) +
                    arena->used / 4;
        arena->used += units * 4;
    }
    memcpy(ConfigArena_Get(arena, reference), bytes, length);
    return reference;
}

void
ConfigArena_Free(ConfigArena *arena, uint32_t reference, size_t length)
{
    push_free(arena, reference, to_units(length));
}

size_t
ConfigArena_GetBytes(const ConfigArena *arena)
{
    return sizeof(*arena) +
           (size_t)__atomic_load_n(&arena->chunk_count, __ATOMIC_ACQUIRE) *
               CONFIG_ARENA_CHUNK_BYTES;
}
