/* RateDirectory: where an entry finds the holder of each rate slot.
 *
 * Use:
 *  1. RateDirectory_SetView() whenever the live hosts or the first host of a
 *     slot changed.
 *  2. RateDirectory_Learn() for each place in a reply to a draw, and when this
 *     host itself takes or loses a slot.
 *  3. RateDirectory_NotHeld() when a host answered that it holds no slot of a
 *     team.
 *  4. RateDirectory_Tick() about every 50 ms.
 *
 * A slot whose holder is unknown is asked of the first live host of its order,
 * which reads the slot object and so knows the holder. A slot without a live
 * holder rests for a second before it is asked for again. What was learnt is
 * forgotten after a minute, so a slot that moved while its former holder lives
 * on is found again.
 *
 * Limits: not thread safe; does no I/O.
 */
#ifndef RATE_RATE_DIRECTORY_H
#define RATE_RATE_DIRECTORY_H

#include "rate/rate_hold.h"
#include "rate/rate_wallet.h"

typedef struct RateDirectory RateDirectory;

RateDirectory *RateDirectory_Create(RateWallet *wallet, const RateHost *self,
                                    int fleet_slots);
void RateDirectory_Destroy(RateDirectory *directory);
void RateDirectory_SetView(RateDirectory *directory, const RateHold *hold,
                           const RateHost *hosts, int count);
void RateDirectory_Learn(RateDirectory *directory, int slot, uint64_t host,
                         uint64_t incarnation, ClockMs now);
/* `slots` are the team's slots. */
void RateDirectory_NotHeld(RateDirectory *directory, uint64_t host,
                           uint64_t incarnation, const uint16_t *slots,
                           int count, ClockMs now);
void RateDirectory_Tick(RateDirectory *directory, ClockMs now);
RateHoldPlace RateDirectory_Get(const RateDirectory *directory, int slot);

#endif
