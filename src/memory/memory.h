/* Memory: the account of the memory that a process lends to message bodies.
 *
 * Use:
 *  1. Memory_Process() returns the account of the process; at the start, and
 *     when the settings change, Memory_SetLimit() with Memory_LimitOfHost().
 *     Tests create accounts of their own with Memory_Create().
 *  2. MemoryLease_Begin() opens a lease for one block of memory,
 *     MemoryLease_Take() draws on the account before the block is allocated or
 *     grows, MemoryLease_Return() after it shrank. Both count capacity: while
 *     a block is moved, the old and the new one are both on lease.
 *  3. The lease goes with the block from owner to owner, as a plain copy of
 *     which only the last is used. MemoryLease_SetHolder() says what the block
 *     is now used for.
 *  4. MemoryLease_End() when the block has been freed.
 *
 * Who gets memory when it is short:
 *  - A lease of up to MEMORY_SMALL_BYTES may use the whole account, a larger
 *    one all but the part that is set aside. So small bodies still pass when
 *    large ones have used up the rest.
 *  - One sender holds at most its share of the account, and all blocks of one
 *    holder at most that holder's share (memory/memory_list.h), both without
 *    what is set aside. The bodies of requests have a smaller share than those
 *    of answers: what is refused before it has run can be sent again.
 *  - The account keeps no queue: what does not fit is refused at once.
 *
 * Errors: MemoryLease_Take() returns FALSE and takes nothing.
 *
 * Limits: taking and returning never lock, allocate or block. Senders are told
 * apart by a hash of 256 values; two that have the same share one share. An
 * account must outlive its leases.
 */
#ifndef MEMORY_MEMORY_H
#define MEMORY_MEMORY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "memory/memory_list.h"

/* Largest lease that may use what is set aside: a block for a body of
 * MEMORY_SMALL_BODY_BYTES with the smaller block that it replaces. */
#define MEMORY_SMALL_BYTES (96 * 1024)
#define MEMORY_SMALL_BODY_BYTES (64 * 1024)

/* A page of the store has 1 MB, and a few are read at the same time. */
#define MEMORY_CONTROL_BYTES ((size_t)24 << 20)

#define _MEMORY_ENUM(name, share_percent, help) MEMORY_##name,
typedef enum MemoryHolder {
    MEMORY_HOLDER_LIST(_MEMORY_ENUM) MEMORY_HOLDER_COUNT
} MemoryHolder;
#undef _MEMORY_ENUM

typedef struct Memory Memory;

typedef struct Memory_desc {
    size_t limit_bytes;      /* default that of a host with 160 MB */
    unsigned sender_percent; /* share of one sender, default 50 */
} Memory_desc;

typedef struct MemoryLease {
    Memory *memory; /* NULL: no lease */
    MemoryHolder holder;
    uint64_t sender;
    size_t bytes;
} MemoryLease;

Memory *Memory_Create(const Memory_desc *desc);
void Memory_Destroy(Memory *memory);
Memory *Memory_Process(void);

/* Returns a second account of the process, of MEMORY_CONTROL_BYTES, for what
 * the daemon reads itself: lists of the store and pages of neighbours. Bodies
 * of callers and backend servers cannot use it up. */
Memory *Memory_Control(void);

/* Returns the limit of the account on a host with so much memory: two fifths.
 * The rest is for code, stacks, control and the system. */
size_t Memory_LimitOfHost(int64_t memory_mb);

/* Leases above a new limit stay; nothing is lent until they have ended. */
void Memory_SetLimit(Memory *memory, size_t limit_bytes);

size_t Memory_Limit(const Memory *memory);
size_t Memory_Used(const Memory *memory);
size_t Memory_Peak(const Memory *memory);
size_t Memory_Held(const Memory *memory, MemoryHolder holder);

/* Appends the account in the Prometheus text exposition format. */
void Memory_Write(const Memory *memory, GString *out);

/* `sender` identifies who causes the memory to be used. A NULL account is that
 * of the process. */
MemoryLease MemoryLease_Begin(Memory *memory, MemoryHolder holder,
                              uint64_t sender);
gboolean MemoryLease_Take(MemoryLease *lease, size_t bytes);

/* Whether MemoryLease_Take() would return TRUE if nothing else was on lease.
 */
gboolean MemoryLease_CouldTake(const MemoryLease *lease, size_t bytes);
void MemoryLease_Return(MemoryLease *lease, size_t bytes);

/* Does not check the share of the new holder: the block exists already. */
void MemoryLease_SetHolder(MemoryLease *lease, MemoryHolder holder);

/* Returns all that was taken and clears the lease. */
void MemoryLease_End(MemoryLease *lease);

#endif
