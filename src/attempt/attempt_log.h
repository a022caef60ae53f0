/* AttemptLog: the attempts that reached this host's peer port, and those that
 * must not run any more.
 *
 * An entry whose connection breaks cannot tell whether the owner has read the
 * request. It asks the owner by RPC (attempt_rpc.h), and the log decides. An
 * attempt that has not arrived becomes void: it is refused if it arrives
 * later.
 *
 * Use:
 *  1. AttemptLog_Create() before the peer port listens, after the RPC port is
 *     bound.
 *  2. AttemptLog_Note() for each attempt that must not run twice, before
 *     anything else is done with it. FALSE: it is void; refuse it as not run.
 *  3. AttemptLog_Ask() for each question.
 *  4. AttemptLog_Destroy().
 *
 * Why ATTEMPT_NOT_SEEN is final: the entry sends the request elsewhere, so no
 * copy may run here, neither before nor after the reply.
 *  - Note and question take the same lock. The attempt that is noted first is
 *    SEEN; one whose question is first is void and is refused, however long
 *    its copy waits in a buffer or this process is suspended between the two.
 *  - The log covers the whole time since the attempt was sent. The question
 *    carries the time that has passed since, as a duration. If this process
 *    started later, or has dropped a record of that time, the reply is
 *    ATTEMPT_UNKNOWN. ATTEMPT_MARGIN_MS more are required for the transit of
 *    the question and for clocks that run at different rates.
 *  - Processes of a host follow one another: each holds the RPC port from
 *    before its log is created until its peer port is destroyed. An attempt
 *    sent after the start of this log cannot have reached the process before,
 *    and a connection to that one does not lead to this one. Without a fixed
 *    RPC port the log must be created with CLOCK_NEVER, and nothing is void.
 *  - An id is used for one attempt only. If two have the same id by chance,
 *    the reply is SEEN, or one that could run is refused as not run.
 *  - A void id is kept for the life of the process. Only if the log is full of
 *    them, one older than ATTEMPT_VOID_MS is dropped: the connection of its
 *    attempt has ended, and no request waits here for its turn for so long
 *    unless the process is suspended meanwhile for minutes.
 *  A repeated question gets the same reply.
 *
 * Limits: the last 16,384 attempts, 54 s at 300 a second, and 4,096 void ids;
 * together 0.9 MB. While all void ids are younger than ATTEMPT_VOID_MS,
 * the reply is ATTEMPT_UNKNOWN. The clocks of both hosts must go on while
 * their processes are suspended, as CLOCK_BOOTTIME does. Thread safe.
 */
#ifndef ATTEMPT_ATTEMPT_LOG_H
#define ATTEMPT_ATTEMPT_LOG_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* Longest time since an attempt was sent at which it may be asked about. */
#define ATTEMPT_MAX_ELAPSED_MS 60000

/* Part of the margin for the transit of a question; the rest is for clocks. */
#define ATTEMPT_MAX_TRANSIT_MS 400
#define ATTEMPT_MARGIN_MS 500

/* Longer than a request that has been read can wait, 10 min. */
#define ATTEMPT_VOID_MS 900000

typedef struct AttemptLog AttemptLog;

/* Numbers of the RPC reply; they never change their meaning. */
typedef enum AttemptState {
    ATTEMPT_UNKNOWN = 0,  /* may have arrived */
    ATTEMPT_NOT_SEEN = 1, /* has not arrived and is void */
    ATTEMPT_SEEN = 2
} AttemptState;

typedef struct AttemptLog_desc {
    ClockMs started;    /* the log covers the time from then on */
    uint32_t max_noted; /* default 16,384 */
    uint32_t max_void;  /* default 4,096 */
} AttemptLog_desc;

AttemptLog *AttemptLog_Create(const AttemptLog_desc *desc);
void AttemptLog_Destroy(AttemptLog *log);

/* Returns FALSE if the attempt is void. */
gboolean AttemptLog_Note(AttemptLog *log, uint64_t id, ClockMs now);

/* Returns the state of an attempt that was sent `elapsed_ms` before the
 * question, and voids it if it has not arrived. */
AttemptState AttemptLog_Ask(AttemptLog *log, uint64_t id, ClockMs elapsed_ms,
                            ClockMs now);

#endif
