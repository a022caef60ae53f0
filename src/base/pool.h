/* Pool: fixed pool of records addressed by 32-bit handles.
 *
 * Use:
 *  1. Pool_Create() with the record size and the largest number of records.
 *  2. Pool_Add() returns a handle and a zeroed record.
 *  3. Pool_Get() returns the record of a handle, or NULL once it was removed.
 *  4. Pool_Remove(), at the end Pool_Destroy().
 *
 * A handle holds the record's slot (upper 20 bits) and generation (lower 12
 * bits). The generation rises by 2 when a slot is reused, so a handle to a
 * removed record is recognised until its slot has been reused more than 2,047
 * times. Zero is never a valid handle.
 *
 * Limits: at most 1,048,575 records; not thread safe.
 */
#ifndef BASE_POOL_H
#define BASE_POOL_H

#include <stddef.h>
#include <stdint.h>

typedef uint32_t PoolHandle;
typedef struct Pool Pool;

#define POOL_NONE 0u

Pool *Pool_Create(size_t record_bytes, uint32_t max_records);
void Pool_Destroy(Pool *pool);

/* Returns POOL_NONE when the pool is full. */
PoolHandle Pool_Add(Pool *pool, void **record);
void *Pool_Get(const Pool *pool, PoolHandle handle);
void Pool_Remove(Pool *pool, PoolHandle handle);
uint32_t Pool_Count(const Pool *pool);

/* Returns the first record in use at or after *slot and advances *slot past
 * it. Returns NULL at the end. Start with *slot = 0. */
void *Pool_Next(const Pool *pool, uint32_t *slot, PoolHandle *handle);

#endif
