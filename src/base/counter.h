/* Counter: the process's counters and latency histograms.
 *
 * Use: add a line to base/counter_list.h and call Counter_Add(). There is
 * also one counter for each refusal code and one for each retry reason.
 * Counter_Write() writes all of them in the Prometheus text exposition format.
 *
 * Limits: counters are 64-bit atomics; adding never blocks or allocates.
 */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

#include "base/counter_list.h"
#include "base/result.h"

#define _COUNTER_ENUM(name, help) COUNTER_##name,
typedef enum Counter { COUNTER_LIST(_COUNTER_ENUM) COUNTER_COUNT } Counter;
#undef _COUNTER_ENUM

/* Histograms of microseconds. */
typedef enum CounterHistogram {
    HISTOGRAM_ENTRY_TOTAL,  /* whole request of a caller */
    HISTOGRAM_ENTRY_RATE,   /* wait for a rate token */
    HISTOGRAM_OWNER_QUEUE,  /* wait for a slot of the backend server */
    HISTOGRAM_OWNER_SERVER, /* time in the backend server */
    HISTOGRAM_COUNT
} CounterHistogram;

void Counter_Add(Counter counter, uint64_t amount);
uint64_t Counter_Get(Counter counter);

/* Counts a refusal sent to a caller. */
void Counter_Refusal(Result result);
uint64_t Counter_GetRefusals(Result result);

/* Counts a retry, by the result that caused it. */
void Counter_Retry(Result reason);
uint64_t Counter_GetRetries(Result reason);

/* Adds one observation in microseconds. */
void Counter_Observe(CounterHistogram histogram, int64_t microseconds);

/* Returns the value in microseconds that the given share (0 to 1) of the
 * observations does not exceed, rounded up to its bucket (within 12.5%). */
int64_t Counter_Quantile(CounterHistogram histogram, double share);

/* Appends all counters in the Prometheus text exposition format. */
void Counter_Write(GString *out);

#endif
