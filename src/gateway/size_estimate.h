/* SizeEstimate: bytes that a request will move, relative to the mean request.
 *
 * Load pattern: uploads, orders and small calls share links that are billed by
 * volume; placement has to know which of them is large before it sends one.
 *
 * The size of an answer is learned for each route, because it is not known
 * when a backend server is chosen. The mean is taken over the requests of
 * callers only: calls of backend servers are small and would lower it.
 *
 * Use:
 *  1. SizeEstimate_Create().
 *  2. SizeEstimate_Relative() before a choice.
 *  3. SizeEstimate_Observe() after each answer.
 *
 * Limits: remembers MAX_ROUTES routes and starts over beyond that. Not thread
 * safe.
 */
#ifndef GATEWAY_SIZE_ESTIMATE_H
#define GATEWAY_SIZE_ESTIMATE_H

#include <glib.h>
#include <stdint.h>

typedef struct SizeEstimate SizeEstimate;

SizeEstimate *SizeEstimate_Create(void);
void SizeEstimate_Destroy(SizeEstimate *estimate);

/* Records the bodies of a request and of its answer, in bytes. `is_call` marks
 * a call of a backend server. */
void SizeEstimate_Observe(SizeEstimate *estimate, uint64_t route,
                          size_t request_bytes, size_t answer_bytes,
                          gboolean is_call);

/* Returns the expected bytes of the request and its answer divided by the
 * mean; 1 while nothing is known. */
double SizeEstimate_Relative(const SizeEstimate *estimate, uint64_t route,
                             size_t request_bytes);

#endif
