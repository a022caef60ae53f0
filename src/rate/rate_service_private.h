/* The state of RateService, shared by rate_service.c (requests, messages) and
 * rate_service_leases.c (store, member view). */
#ifndef RATE_RATE_SERVICE_PRIVATE_H
#define RATE_RATE_SERVICE_PRIVATE_H

#include <pthread.h>

#include "rate/rate_codec.h"
#include "rate/rate_directory.h"
#include "rate/rate_service.h"

#define DRAW_THREADS 8
#define DRAW_QUEUE 32

/* A draw to send. */
typedef struct DrawJob {
    RatePlan plan;
    RateDrawMessage message;
} DrawJob;

/* Lock order: lease_lock, cache_lock. holder_lock is taken alone. */
struct RateService {
    RateService_desc desc;
    pthread_mutex_t lease_lock;
    pthread_mutex_t cache_lock;
    pthread_mutex_t holder_lock;
    pthread_cond_t answered;   /* with cache_lock: a draw was answered */
    pthread_cond_t settle;     /* with cache_lock: reports are due */
    pthread_cond_t lease_wake; /* with lease_lock */
    RateLease *lease;
    RateHolder *holder;
    RateCache *cache;
    RateDirectory *directory;
    pthread_cond_t draw_wake; /* with cache_lock: draws are queued */
    pthread_t draw_threads[DRAW_THREADS];
    int queue_first;
    int queue_count;
    DrawJob queue[DRAW_QUEUE];
    pthread_t lease_thread;
    pthread_t cache_thread;
    gboolean started;
    /* Written with lease_lock and cache_lock, read with either. */
    gboolean stop;
    gboolean releasing; /* all slots are released or being released */
    uint64_t view_number;
    gboolean view_known;
    ClockMs view_ms;
    ClockMs holder_tick_ms;
    RateServiceStatus status; /* counters only, with cache_lock */
};

ClockMs _RateService_Now(const RateService *service);
gboolean _RateService_IsSelf(const RateService *service, uint64_t host,
                             uint64_t incarnation);
void _RateService_SendSettlement(RateService *service, uint64_t holder,
                                 uint64_t incarnation,
                                 const RateSettleMessage *message,
                                 int timeout_ms);
void _RateService_ReleaseAll(RateService *service);
void *_RateService_RunLeases(void *context);

#endif
