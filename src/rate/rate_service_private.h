/* The parts of RateService that rate_service.c (requests, messages) and
 * rate_service_holds.c (store, member view) share. */
#ifndef RATE_RATE_SERVICE_PRIVATE_H
#define RATE_RATE_SERVICE_PRIVATE_H

#include <pthread.h>

#include "rate/rate_codec.h"
#include "rate/rate_directory.h"
#include "rate/rate_service.h"

#define DRAW_THREADS 8
#define DRAW_QUEUE 32

/* A draw that is to be sent. */
typedef struct DrawJob {
    RatePlan plan;
    RateDrawMessage message;
} DrawJob;

/* Locks are taken in the order hold, wallet; holder is taken alone. */
struct RateService {
    RateService_desc desc;
    pthread_mutex_t hold_lock;
    pthread_mutex_t wallet_lock;
    pthread_mutex_t holder_lock;
    pthread_cond_t answered;  /* with wallet_lock: a draw was answered */
    pthread_cond_t settle;    /* with wallet_lock: reports are due */
    pthread_cond_t hold_wake; /* with hold_lock */
    RateHold *hold;
    RateHolder *holder;
    RateWallet *wallet;
    RateDirectory *directory;
    pthread_cond_t draw_wake; /* with wallet_lock: draws are queued */
    pthread_t draw_threads[DRAW_THREADS];
    int queue_first;
    int queue_count;
    DrawJob queue[DRAW_QUEUE];
    pthread_t hold_thread;
    pthread_t wallet_thread;
    gboolean started;
    gboolean stop;     /* with both locks written, either read */
    gboolean released; /* slots are being given up */
    uint64_t view_number;
    gboolean view_known;
    ClockMs view_ms;
    ClockMs holder_tick_ms;
    RateServiceStatus status; /* counters only, with wallet_lock */
};

ClockMs _RateService_Now(const RateService *service);
gboolean _RateService_IsSelf(const RateService *service, uint64_t host,
                             uint64_t incarnation);
void _RateService_SendSettlement(RateService *service, uint64_t holder,
                                 uint64_t incarnation,
                                 const RateSettleMessage *message,
                                 int timeout_ms);
void _RateService_ReleaseAll(RateService *service);
void *_RateService_RunHolds(void *context);

#endif
