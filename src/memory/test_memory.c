/* Tests of the account of memory and of buffers on lease from it. */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "memory/memory_buffer.h"

#define KB ((size_t)1024)
#define LIMIT (1000 * KB)

/* Guards against memory that is lent beyond the account, a share of it or what
 * is set aside for small bodies. */
static void
test_shares(void)
{
    static const struct {
        const char *name;
        struct {
            MemoryHolder holder;
            uint64_t sender;
            size_t bytes;
            gboolean lent;
        } takes[4];
    } cases[] = {
        {"above the account", {{MEMORY_ANSWERS_READ, 1, LIMIT + 1, FALSE}}},
        {"overflow", {{MEMORY_ANSWERS_READ, 1, G_MAXSIZE, FALSE}}},
        {"overflow of the sum",
         {{MEMORY_ANSWERS_READ, 1, KB, TRUE},
          {MEMORY_ANSWERS_READ, 1, G_MAXSIZE, FALSE}}},
        {"share of a sender",
         {{MEMORY_ANSWERS_READ, 1, 400 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 1, 200 * KB, FALSE},
          {MEMORY_ANSWERS_READ, 2, 200 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 1, 100 * KB, TRUE}}},
        {"set aside",
         {{MEMORY_ANSWERS_READ, 1, 500 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 2, 380 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 3, 100 * KB, FALSE},
          {MEMORY_ANSWERS_READ, 3, 96 * KB, TRUE}}},
        {"small body of a sender above its share",
         {{MEMORY_ANSWERS_READ, 1, 500 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 1, 64 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 1, 64 * KB, FALSE}}},
        {"uploads have half",
         {{MEMORY_UPLOADS, 1, 300 * KB, TRUE},
          {MEMORY_UPLOADS, 2, 300 * KB, FALSE},
          {MEMORY_UPLOADS, 2, 60 * KB, TRUE},
          {MEMORY_ANSWERS_READ, 2, 300 * KB, TRUE}}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});
        MemoryLease leases[G_N_ELEMENTS(cases[i].takes)] = {{0}};
        size_t sum = 0;

        for (size_t k = 0; k < G_N_ELEMENTS(leases); k++) {
            size_t bytes = cases[i].takes[k].bytes;
            gboolean lent = cases[i].takes[k].lent;

            if (bytes == 0) {
                break;
            }
            g_test_message("%s %zu", cases[i].name, k);
            leases[k] = MemoryLease_Begin(memory, cases[i].takes[k].holder,
                                          cases[i].takes[k].sender);
            g_assert_cmpint(MemoryLease_CouldTake(&leases[k], bytes), ==,
                            lent || bytes <= LIMIT / 2);
            g_assert_cmpint(MemoryLease_Take(&leases[k], bytes), ==, lent);
            sum += lent ? bytes : 0;
            g_assert_cmpuint(leases[k].bytes, ==, lent ? bytes : 0);
            g_assert_cmpuint(Memory_Used(memory), ==, sum);
        }
        for (size_t k = 0; k < G_N_ELEMENTS(leases); k++) {
            MemoryLease_End(&leases[k]);
        }
        g_assert_cmpuint(Memory_Used(memory), ==, 0);
        g_assert_cmpuint(Memory_Peak(memory), ==, sum);
        for (int k = 0; k < MEMORY_HOLDER_COUNT; k++) {
            g_assert_cmpuint(Memory_Held(memory, (MemoryHolder)k), ==, 0);
        }
        Memory_Destroy(memory);
    }
}

/* Guards against a small lease that grows large out of what is set aside. */
static void
test_growth(void)
{
    Memory *memory = Memory_Create(
        &(Memory_desc){.limit_bytes = LIMIT, .sender_percent = 100});
    MemoryLease large = MemoryLease_Begin(memory, MEMORY_ANSWERS_READ, 1);
    MemoryLease grows = MemoryLease_Begin(memory, MEMORY_ANSWERS_READ, 2);

    g_assert_true(MemoryLease_Take(&large, 880 * KB));
    g_assert_true(MemoryLease_Take(&grows, 64 * KB));
    g_assert_false(MemoryLease_Take(&grows, 40 * KB));
    MemoryLease_Return(&large, 380 * KB);
    g_assert_true(MemoryLease_Take(&grows, 40 * KB));
    MemoryLease_End(&large);
    MemoryLease_End(&grows);
    Memory_Destroy(memory);
}

/* Guards against memory lent while more is used than a new limit allows, and
 * against a block that stays with its former holder. */
static void
test_changes(void)
{
    Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});
    MemoryLease lease = MemoryLease_Begin(memory, MEMORY_ANSWERS_READ, 1);

    g_assert_true(MemoryLease_Take(&lease, 400 * KB));
    Memory_SetLimit(memory, 300 * KB);
    g_assert_false(MemoryLease_Take(&lease, 1));
    MemoryLease_Return(&lease, 399 * KB);
    g_assert_true(MemoryLease_Take(&lease, KB));
    MemoryLease_SetHolder(&lease, MEMORY_ANSWERS_HELD);
    g_assert_cmpuint(Memory_Held(memory, MEMORY_ANSWERS_HELD), ==, 2 * KB);
    g_assert_cmpuint(Memory_Held(memory, MEMORY_ANSWERS_READ), ==, 0);
    MemoryLease_End(&lease);
    Memory_Destroy(memory);
}

/* Guards against an account that leaves a host less than three fifths of its
 * memory. */
static void
test_hosts(void)
{
    static const int64_t hosts_mb[] = {64, 160, 260, 512, 1048576};
    Memory *memory = Memory_Create(&(Memory_desc){0});

    for (size_t i = 0; i < G_N_ELEMENTS(hosts_mb); i++) {
        size_t host = (size_t)hosts_mb[i] * KB * KB;

        g_assert_cmpuint(Memory_LimitOfHost(hosts_mb[i]), <=, host / 5 * 2);
        g_assert_cmpuint(Memory_LimitOfHost(hosts_mb[i]), >,
                         host / 5 * 2 - KB);
    }
    g_assert_cmpuint(Memory_Limit(memory), ==, Memory_LimitOfHost(160));
    Memory_Destroy(memory);
}

#define THREADS 8
#define ROUNDS 20000

static void *
run_taker(void *context)
{
    Memory *memory = context;
    uint64_t sender = (uint64_t)(uintptr_t)&memory;

    for (size_t i = 0; i < ROUNDS; i++) {
        MemoryLease lease =
            MemoryLease_Begin(memory, MEMORY_ANSWERS_READ, sender % 3);

        if (MemoryLease_Take(&lease, (i % 300 + 1) * KB)) {
            MemoryLease_SetHolder(&lease, MEMORY_ANSWERS_HELD);
        }
        g_assert_cmpuint(Memory_Used(memory), <=, LIMIT);
        MemoryLease_End(&lease);
    }
    return NULL;
}

/* Guards against sums that exceed the limit or do not return to zero when
 * several threads take and return at the same time. */
static void
test_threads(void)
{
    Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});
    pthread_t threads[THREADS];

    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, run_taker, memory);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    g_assert_cmpuint(Memory_Used(memory), ==, 0);
    g_assert_cmpuint(Memory_Peak(memory), <=, LIMIT);
    g_assert_cmpuint(Memory_Held(memory, MEMORY_ANSWERS_HELD), ==, 0);
    Memory_Destroy(memory);
}

typedef struct BufferCase {
    const char *name;
    size_t reserved;
    size_t total;
    size_t max;
    size_t max_peak;
} BufferCase;

#define PART_BYTES 1000

static void
fill_buffer(MemoryBuffer *buffer, const BufferCase *c)
{
    char part[PART_BYTES];

    memset(part, 'x', sizeof(part));
    while (buffer->length < c->total) {
        size_t count = MIN(PART_BYTES, c->total - buffer->length);

        g_assert_true(MemoryBuffer_Append(buffer, part, count, c->max));
        g_assert_cmpuint(buffer->lease.bytes, ==, buffer->capacity);
        g_assert_cmpuint(buffer->capacity, >, buffer->length);
    }
}

static void
check_buffer(Memory *memory, const BufferCase *c)
{
    MemoryBuffer buffer;
    MemoryLease lease;
    char *bytes;

    MemoryBuffer_Init(&buffer, memory, MEMORY_ANSWERS_READ, 1);
    if (c->reserved > 0) {
        g_assert_true(MemoryBuffer_Reserve(&buffer, c->reserved));
    }
    fill_buffer(&buffer, c);
    g_assert_cmpuint(Memory_Peak(memory), <=, c->max_peak);
    bytes = MemoryBuffer_Steal(&buffer, &lease);
    g_assert_cmpuint(bytes ? strlen(bytes) : 0, ==, c->total);
    g_assert_cmpuint(Memory_Used(memory), ==, lease.bytes);
    g_assert_cmpuint(lease.bytes, <=, c->total + 4 * KB);
    g_free(bytes);
    MemoryLease_End(&lease);
}

/* Guards against a buffer whose lease differs from its capacity, counts only
 * one of two blocks while it grows, or loses bytes. */
static void
test_buffer(void)
{
    static const BufferCase cases[] = {
        {"empty", 0, 0, KB, 0},
        {"one byte", 0, 1, KB, 4 * KB},
        {"small", 0, 60 * KB, 1000 * KB, 96 * KB},
        {"large, known length", 200 * KB, 200 * KB, 1000 * KB, 200 * KB + 1},
        {"large, unknown length", 0, 200 * KB, 1000 * KB, 500 * KB},
        {"up to the maximum", 0, 200 * KB, 200 * KB, 360 * KB},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});

        g_test_message("%s", cases[i].name);
        check_buffer(memory, &cases[i]);
        g_assert_cmpuint(Memory_Used(memory), ==, 0);
        Memory_Destroy(memory);
    }
}

/* Guards against a buffer that is changed, or keeps what it took, when the
 * account does not lend enough. */
static void
test_buffer_refused(void)
{
    Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});
    MemoryBuffer buffer;

    MemoryBuffer_Init(&buffer, memory, MEMORY_ANSWERS_READ, 1);
    g_assert_false(MemoryBuffer_Reserve(&buffer, G_MAXSIZE));
    g_assert_true(MemoryBuffer_Append(&buffer, "abc", 3, LIMIT));
    g_assert_false(MemoryBuffer_Reserve(&buffer, LIMIT));
    g_assert_cmpstr(buffer.bytes, ==, "abc");
    g_assert_cmpuint(Memory_Used(memory), ==, buffer.capacity);
    MemoryBuffer_Clear(&buffer);
    g_assert_cmpuint(Memory_Used(memory), ==, 0);
    g_assert_true(MemoryBuffer_Append(&buffer, "d", 1, LIMIT));
    MemoryBuffer_Clear(&buffer);
    Memory_Destroy(memory);
}

/* Guards against a gauge that the metrics page lacks. */
static void
test_gauges(void)
{
    Memory *memory = Memory_Create(&(Memory_desc){.limit_bytes = LIMIT});
    MemoryLease lease = MemoryLease_Begin(memory, MEMORY_UPLOADS, 1);
    GString *text = g_string_new(NULL);

    g_assert_true(MemoryLease_Take(&lease, 5000));
    Memory_Write(memory, text);
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_memory_uploads_bytes 5000\n"));
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_memory_peak_bytes 5000\n"));
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_memory_limit_bytes 1024000\n"));
    g_assert_nonnull(
        strstr(text->str, "\nradishknot_memory_answers_read_bytes 0\n"));
    MemoryLease_End(&lease);
    g_string_free(text, TRUE);
    Memory_Destroy(memory);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/memory/shares", test_shares);
    g_test_add_func("/memory/growth", test_growth);
    g_test_add_func("/memory/changes", test_changes);
    g_test_add_func("/memory/hosts", test_hosts);
    g_test_add_func("/memory/threads", test_threads);
    g_test_add_func("/memory/buffer", test_buffer);
    g_test_add_func("/memory/buffer-refused", test_buffer_refused);
    g_test_add_func("/memory/gauges", test_gauges);
    return g_test_run();
}
