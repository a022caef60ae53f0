/* Tests of the limits of the allocator. */
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "memory/heap.h"

#define THREADS 16
#define ROUNDS 4
#define BLOCK_BYTES (16 * HEAP_BLOCK_BYTES)
#define MAX_KEPT_BYTES ((size_t)8 << 20)

typedef struct Worker {
    pthread_t thread;
    pthread_barrier_t *barrier;
} Worker;

static size_t
resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    unsigned long pages = 0;

    g_assert_nonnull(file);
    g_assert_cmpint(fscanf(file, "%*u %lu", &pages), ==, 1);
    (void)fclose(file);
    return pages * (size_t)sysconf(_SC_PAGESIZE);
}

/* Frees a large block several times, like a thread that reads large answers.
 * All threads hold their blocks at the same time. */
static void *
run_worker(void *context)
{
    Worker *worker = context;

    for (int round = 0; round < ROUNDS; round++) {
        char *block = g_malloc(BLOCK_BYTES);

        memset(block, 1, BLOCK_BYTES);
        pthread_barrier_wait(worker->barrier);
        g_free(block);
    }
    pthread_barrier_wait(worker->barrier);
    pthread_barrier_wait(worker->barrier);
    return NULL;
}

/* Guards against memory that stays with the process after the threads that
 * used it have freed it. */
static void
test_given_back(void)
{
    Worker workers[THREADS];
    pthread_barrier_t barrier;
    size_t before;
    size_t after;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    g_test_skip("the sanitizer replaces the allocator");
    return;
#endif
    Heap_Bound();
    before = resident_bytes();
    pthread_barrier_init(&barrier, NULL, THREADS + 1);
    for (int i = 0; i < THREADS; i++) {
        workers[i].barrier = &barrier;
        pthread_create(&workers[i].thread, NULL, run_worker, &workers[i]);
    }
    for (int i = 0; i <= ROUNDS; i++) {
        pthread_barrier_wait(&barrier);
    }
    after = resident_bytes();
    g_test_message("%zu bytes before, %zu after", before, after);
    g_assert_cmpuint(after, <, before + MAX_KEPT_BYTES);
    pthread_barrier_wait(&barrier);
    for (int i = 0; i < THREADS; i++) {
        pthread_join(workers[i].thread, NULL);
    }
    pthread_barrier_destroy(&barrier);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/heap/given-back", test_given_back);
    return g_test_run();
}
