#include "base/pool.h"

#include <glib.h>
#include <string.h>

#define GENERATION_BITS 12
#define GENERATION_MASK ((1u << GENERATION_BITS) - 1)
#define MAX_SLOTS ((1u << 20) - 1)
#define NO_SLOT UINT32_MAX

typedef struct PoolSlot {
    uint32_t generation; /* odd while the slot is in use */
    uint32_t next_free;
} PoolSlot;

struct Pool {
    size_t record_bytes;
    uint32_t max_records;
    uint32_t used;
    uint32_t high_water; /* first slot that was never used */
    uint32_t first_free;
    PoolSlot *slots;
    unsigned char *records;
};

Pool *
Pool_Create(size_t record_bytes, uint32_t max_records)
{
    Pool *pool = g_new0(Pool, 1);

    g_assert(max_records <= MAX_SLOTS);
    pool->record_bytes = (record_bytes + 15) & ~(size_t)15;
    pool->max_records = max_records;
    pool->first_free = NO_SLOT;
    pool->slots = g_new0(PoolSlot, max_records);
    pool->records = g_malloc0(pool->record_bytes * max_records);
    return pool;
}

void
Pool_Destroy(Pool *pool)
{
    if (pool != NULL) {
        g_free(pool->slots);
        g_free(pool->records);
        g_free(pool);
    }
}

static PoolHandle
handle_of(const Pool *pool, uint32_t slot)
{
    return ((slot + 1) << GENERATION_BITS) |
           (pool->slots[slot].generation & GENERATION_MASK);
}

static void *
record_of(const Pool *pool, uint32_t slot)
{
    return pool->records + pool->record_bytes * slot;
}

PoolHandle
Pool_Add(Pool *pool, void **record)
{
    uint32_t slot = pool->first_free;

    if (slot != NO_SLOT) {
        pool->first_free = pool->slots[slot].next_free;
    }
    else if (pool->high_water < pool->max_records) {
        slot = pool->high_water++;
    }
    else {
        return POOL_NONE;
    }
    pool->slots[slot].generation++;
    pool->used++;
    *record = record_of(pool, slot);
    memset(*record, 0, pool->record_bytes);
    return handle_of(pool, slot);
}

void *
Pool_Get(const Pool *pool, PoolHandle handle)
{
    uint32_t slot = (handle >> GENERATION_BITS) - 1;

    if (handle == POOL_NONE || slot >= pool->high_water ||
        (pool->slots[slot].generation & 1) == 0 ||
        handle_of(pool, slot) != handle) {
        return NULL;
    }
    return record_of(pool, slot);
}

void
Pool_Remove(Pool *pool, PoolHandle handle)
{
    uint32_t slot = (handle >> GENERATION_BITS) - 1;

    if (Pool_Get(pool, handle) == NULL) {
        return;
    }
    pool->slots[slot].generation++;
    pool->slots[slot].next_free = pool->first_free;
    pool->first_free = slot;
    pool->used--;
}

uint32_t
Pool_Count(const Pool *pool)
{
    return pool->used;
}

void *
Pool_Next(const Pool *pool, uint32_t *slot, PoolHandle *handle)
{
    for (; *slot < pool->high_water; (*slot)++) {
        if (pool->slots[*slot].generation & 1) {
            if (handle != NULL) {
                *handle = handle_of(pool, *slot);
            }
            return record_of(pool, (*slot)++);
        }
    }
    return NULL;
}
