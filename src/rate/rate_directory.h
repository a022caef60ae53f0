/* RateDirectory: the holder of each rate slot, as far as this entry knows it.
 *
 * Use:
 *  1. RateDirectory_SetView() whenever the live hosts or the first host of a
 *     slot changed.
 *  2. RateDirectory_Learn() for each holder that a reply to a draw reports,
 *     and when this host itself takes or loses a slot.
 *  3. RateDirectory_NotHeld() when a host replied that it holds no slot of a
 *     team.
 *  4. RateDirectory_Tick() about every 50 ms.
 *
 * While the holder of a slot is unknown, draws go to the first live host of
 * the slot's order. That host reads the slot object and so knows the holder. A
 * slot without a live holder is tried again after one second. A learnt holder
 * expires after one minute, so that a slot is found again if it moved while
 * its former holder still runs.
 *
 * Limits: not thread safe; does no I/O.
 */
#ifndef RATE_RATE_DIRECTORY_H
#define RATE_RATE_DIRECTORY_H

#include "rate/rate_cache.h"
#include "rate/rate_lease.h"

typedef struct RateDirectory RateDirectory;

RateDirectory *RateDirectory_Create(RateCache *cache, const RateHost *self,
                                    int fleet_slots);
void RateDirectory_Destroy(RateDirectory *directory);
void RateDirectory_SetView(RateDirectory *directory, const RateLease *lease,
                           const RateHost *hosts, int count);
void RateDirectory_Learn(RateDirectory *directory, int slot, uint64_t host,
                         uint64_t incarnation, ClockMs now);
/* `slots` are the team's slots. */
void RateDirectory_NotHeld(RateDirectory *directory, uint64_t host,
                           uint64_t incarnation, const uint16_t *slots,
                           int count, ClockMs now);
void RateDirectory_Tick(RateDirectory *directory, ClockMs now);
RateHostId RateDirectory_Get(const RateDirectory *directory, int slot);

#endif
