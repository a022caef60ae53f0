#include "memory/memory.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define SENDER_BITS 8
#define SENDERS (1 << SENDER_BITS)

#define HOST_SHARE_PERCENT 40
#define SET_ASIDE_PERCENT 12
#define DEFAULT_SENDER_PERCENT 50
#define DEFAULT_HOST_MB 160

/* Odd multiplier that spreads consecutive numbers over the upper bits. */
#define SPREAD UINT64_C(0x9E3779B97F4A7C15)

struct Memory {
    atomic_size_t limit;
    unsigned sender_percent;
    atomic_size_t used;
    atomic_size_t peak;
    atomic_size_t held[MEMORY_HOLDER_COUNT];
    atomic_size_t sent[SENDERS];
};

#define PERCENT_ROW(name, share_percent, help) (share_percent),
static const unsigned holder_percent[] = {MEMORY_HOLDER_LIST(PERCENT_ROW)};
#undef PERCENT_ROW

Memory *
Memory_Create(const Memory_desc *desc)
{
    Memory *memory = g_new0(Memory, 1);

    memory->sender_percent =
        desc->sender_percent ? desc->sender_percent : DEFAULT_SENDER_PERCENT;
    atomic_store(&memory->limit, desc->limit_bytes
                                     ? desc->limit_bytes
                                     : Memory_LimitOfHost(DEFAULT_HOST_MB));
    return memory;
}

void
Memory_Destroy(Memory *memory)
{
    g_free(memory);
}

static pthread_once_t once = PTHREAD_ONCE_INIT;
static Memory *process_memory;
static Memory *control_memory;

static void
create_accounts(void)
{
    process_memory = Memory_Create(&(Memory_desc){0});
    control_memory = Memory_Create(&(Memory_desc){
        .limit_bytes = MEMORY_CONTROL_BYTES, .sender_percent = 100});
}

Memory *
Memory_Process(void)
{
    pthread_once(&once, create_accounts);
    return process_memory;
}

Memory *
Memory_Control(void)
{
    pthread_once(&once, create_accounts);
    return control_memory;
}

static size_t
percent_of(size_t bytes, unsigned percent)
{
    return bytes / 100 * percent;
}

size_t
Memory_LimitOfHost(int64_t memory_mb)
{
    return percent_of((size_t)memory_mb * 1024 * 1024, HOST_SHARE_PERCENT);
}

void
Memory_SetLimit(Memory *memory, size_t limit_bytes)
{
    atomic_store(&memory->limit, limit_bytes);
}

size_t
Memory_Limit(const Memory *memory)
{
    return atomic_load(&memory->limit);
}

size_t
Memory_Used(const Memory *memory)
{
    return atomic_load(&memory->used);
}

size_t
Memory_Peak(const Memory *memory)
{
    return atomic_load(&memory->peak);
}

size_t
Memory_Held(const Memory *memory, MemoryHolder holder)
{
    return atomic_load(&memory->held[holder]);
}

/* Adds unless the sum would exceed the limit. */
static gboolean
add_below(atomic_size_t *sum, size_t bytes, size_t limit)
{
    size_t old = atomic_load_explicit(sum, memory_order_relaxed);

    do {
        if (old > limit || bytes > limit - old) {
            return FALSE;
        }
    } while (!atomic_compare_exchange_weak_explicit(
        sum, &old, old + bytes, memory_order_relaxed, memory_order_relaxed));
    return TRUE;
}

static void
subtract(atomic_size_t *sum, size_t bytes)
{
    atomic_fetch_sub_explicit(sum, bytes, memory_order_relaxed);
}

static void
note_peak(Memory *memory)
{
    size_t used = atomic_load_explicit(&memory->used, memory_order_relaxed);
    size_t peak = atomic_load_explicit(&memory->peak, memory_order_relaxed);

    while (used > peak && !atomic_compare_exchange_weak_explicit(
                              &memory->peak, &peak, used, memory_order_relaxed,
                              memory_order_relaxed)) {
    }
}

static atomic_size_t *
sender_sum(const MemoryLease *lease)
{
    return &lease->memory
                ->sent[(lease->sender * SPREAD) >> (64 - SENDER_BITS)];
}

MemoryLease
MemoryLease_Begin(Memory *memory, MemoryHolder holder, uint64_t sender)
{
    return (MemoryLease){.memory = memory ? memory : Memory_Process(),
                         .holder = holder,
                         .sender = sender};
}

/* What the sums may reach with the lease. */
typedef struct Bounds {
    size_t used;
    size_t held;
    size_t sent;
} Bounds;

static Bounds
bounds_of(const MemoryLease *lease, size_t bytes)
{
    size_t limit = Memory_Limit(lease->memory);
    size_t set_aside = percent_of(limit, SET_ASIDE_PERCENT);
    gboolean small = bytes <= MEMORY_SMALL_BYTES &&
                     lease->bytes <= MEMORY_SMALL_BYTES - bytes;
    size_t more = small ? set_aside : 0;

    return (Bounds){
        .used = limit - set_aside + more,
        .held = percent_of(limit, holder_percent[lease->holder]) + more,
        .sent = percent_of(limit, lease->memory->sender_percent) + more};
}

gboolean
MemoryLease_Take(MemoryLease *lease, size_t bytes)
{
    Memory *memory = lease->memory;
    Bounds bounds = bounds_of(lease, bytes);
    atomic_size_t *held = &memory->held[lease->holder];

    if (!add_below(&memory->used, bytes, bounds.used)) {
        return FALSE;
    }
    if (!add_below(held, bytes, bounds.held)) {
        subtract(&memory->used, bytes);
        return FALSE;
    }
    if (!add_below(sender_sum(lease), bytes, bounds.sent)) {
        subtract(held, bytes);
        subtract(&memory->used, bytes);
        return FALSE;
    }
    lease->bytes += bytes;
    note_peak(memory);
    return TRUE;
}

gboolean
MemoryLease_CouldTake(const MemoryLease *lease, size_t bytes)
{
    Bounds bounds = bounds_of(lease, bytes);

    return bytes <= MIN(bounds.used, MIN(bounds.held, bounds.sent));
}

void
MemoryLease_Return(MemoryLease *lease, size_t bytes)
{
    if (lease->memory == NULL || bytes == 0) {
        return;
    }
    lease->bytes -= bytes;
    subtract(sender_sum(lease), bytes);
    subtract(&lease->memory->held[lease->holder], bytes);
    subtract(&lease->memory->used, bytes);
}

void
MemoryLease_SetHolder(MemoryLease *lease, MemoryHolder holder)
{
    if (lease->memory != NULL) {
        subtract(&lease->memory->held[lease->holder], lease->bytes);
        atomic_fetch_add_explicit(&lease->memory->held[holder], lease->bytes,
                                  memory_order_relaxed);
        lease->holder = holder;
    }
}

void
MemoryLease_End(MemoryLease *lease)
{
    MemoryLease_Return(lease, lease->bytes);
    memset(lease, 0, sizeof(*lease));
}

void
Memory_Write(const Memory *memory, GString *out)
{
#define NAME_ROW(name, share_percent, help) {#name, help},
    static const struct {
        const char *name;
        const char *help;
    } names[] = {MEMORY_HOLDER_LIST(NAME_ROW)};
#undef NAME_ROW

    g_string_append_printf(out,
                           "# TYPE radishknot_memory_limit_bytes gauge\n"
                           "radishknot_memory_limit_bytes %zu\n"
                           "# TYPE radishknot_memory_peak_bytes gauge\n"
                           "radishknot_memory_peak_bytes %zu\n",
                           Memory_Limit(memory), Memory_Peak(memory));
    for (int i = 0; i < MEMORY_HOLDER_COUNT; i++) {
        char *lower = g_ascii_strdown(names[i].name, -1);

        g_string_append_printf(out,
                               "# HELP radishknot_memory_%s_bytes %s\n"
                               "# TYPE radishknot_memory_%s_bytes gauge\n"
                               "radishknot_memory_%s_bytes %zu\n",
                               lower, names[i].help, lower, lower,
                               Memory_Held(memory, (MemoryHolder)i));
        g_free(lower);
    }
}
