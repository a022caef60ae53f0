/* RunTable: the owner's record of which issuances ran.
 *
 * Use at the owner:
 *  1. RunTable_Create() with the host id and the incarnation.
 *  2. RunTable_Mint() for each token asked for (RPC kind 20).
 *  3. RunTable_Begin() when an issuance arrives with a verified token. Only
 *     for RUN_EXECUTE, send the request to the backend server, and end with
 *     exactly one of
 *       RunTable_Finish()  an answer, or RUN_UNKNOWN if it was lost;
 *       RunTable_Abort()   known not run; the token becomes void.
 *  4. RunTable_Await() for a repeat of a running token (RUN_WAIT).
 *  5. RunTable_Void() for an entry that lost its answer (RPC kind 21).
 *  6. On a graceful stop: RunTable_Drain(), RunTable_AwaitIdle(),
 *     RunTable_HandOver(), and RunTable_Adopt() at the successor for each
 *     chunk.
 *
 * A token is fresh (no record), running, done or void. A running record is
 * never dropped. A done or void one is kept until the token's validity ends
 * and at least for keep_ms after it ended.
 *
 * Run states in refusals: RUN_NO from this module is final, because the token
 * cannot run afterwards. There are two exceptions, in which RUN_NO is said of
 * this presentation only: with RESULT_FULL the token stays fresh, and with
 * RESULT_TOKEN_OTHER_TEAM it stays as it was for its own team and route.
 *
 * Limits: records and kept bytes are fixed. While either is used up, new runs
 * get RESULT_FULL (run no). An eighth of the records is reserved for void
 * tokens. An answer up to max_answer_bytes is always kept, because Begin
 * reserves the space; of a larger one only the fact is kept, and repeats get
 * RESULT_ANSWER_NOT_KEPT with run yes.
 *
 * Thread safe. Functions take the time by CLOCK_BOOTTIME from the caller;
 * only the two Await functions block and read the clock.
 */
#ifndef ISSUE_RUN_TABLE_H
#define ISSUE_RUN_TABLE_H

#include <glib.h>

#include "base/clock.h"
#include "base/pool.h"
#include "base/result.h"
#include "issue/run_token.h"

typedef struct RunTable RunTable;

typedef struct RunTable_desc {
    uint64_t owner;
    uint64_t incarnation;
    uint32_t max_runs;       /* records; 0 means 65,536 */
    uint32_t max_waiters;    /* threads in RunTable_Await(); 0 means 64 */
    size_t max_answer_bytes; /* headers and body of one answer; 0 means 64 KiB
                              */
    size_t max_kept_bytes;   /* all answers; 0 means 64 MiB */
    ClockMs validity_ms;     /* of a token; 0 means 600,000 */
    ClockMs keep_ms;         /* least life of a finished record; 0 means
                                60,000 */
} RunTable_desc;

typedef struct RunHeader {
    const char *name;
    const char *value;
} RunHeader;

/* What the caller of an issuance got; immutable and reference counted. */
typedef struct RunAnswer RunAnswer;

typedef struct RunAnswer_desc {
    int status;    /* HTTP status */
    Result result; /* RESULT_OK for an answer of the backend server */
    RunState run;
    const RunHeader *headers; /* the selected ones; copied */
    size_t header_count;
    const void *body; /* copied */
    size_t body_bytes;
} RunAnswer_desc;

RunAnswer *RunAnswer_Create(const RunAnswer_desc *desc);
RunAnswer *RunAnswer_Ref(RunAnswer *answer);
void RunAnswer_Unref(RunAnswer *answer);

/* A view of the answer, valid as long as the reference. */
const RunAnswer_desc *RunAnswer_Get(const RunAnswer *answer);

typedef enum RunAction {
    RUN_EXECUTE, /* run it; `handle` names the run */
    RUN_ANSWER,  /* send `answer`, which the caller unrefs */
    RUN_WAIT,    /* running: RunTable_Await(), or refuse with `result` */
    RUN_REFUSE   /* refuse with `result` and `run` */
} RunAction;

typedef struct RunBegin {
    RunAction action;
    Result result;
    RunState run;
    PoolHandle handle;
    RunAnswer *answer;
} RunBegin;

/* What is known of a token, for RPC kind 21. */
typedef enum RunTokenState {
    RUN_TOKEN_FRESH,   /* not started; only when it could not be voided */
    RUN_TOKEN_RUNNING, /* may still end either way */
    RUN_TOKEN_DONE,    /* repeat the request to get the answer */
    RUN_TOKEN_VOID,    /* not run and never will */
    RUN_TOKEN_UNKNOWN  /* expired, of another incarnation, or invalid */
} RunTokenState;

RunTable *RunTable_Create(const RunTable_desc *desc);

/* No other thread may use the table any more. */
void RunTable_Destroy(RunTable *table);

/* Mints `count` tokens with successive serials; *first gets the first one.
 * Takes no space. RESULT_SHUTTING_DOWN while draining. */
Result RunTable_Mint(RunTable *table, uint64_t team, uint64_t route,
                     uint32_t count, ClockMs now, RunToken *first);

/* Decides about a presented token (verified by RunToken_Verify()). `team` and
 * `route` are those of the request. */
RunBegin RunTable_Begin(RunTable *table, const RunToken *token, uint64_t team,
                        uint64_t route, ClockMs now);

/* Waits until the token is no longer running, at most until the deadline (by
 * Clock_Now()), and then decides as RunTable_Begin() does for a token that is
 * not fresh: never RUN_EXECUTE. Still RUN_WAIT (RESULT_STILL_RUNNING, run
 * unknown) after the deadline, or at once when there are max_waiters. */
RunBegin RunTable_Await(RunTable *table, const RunToken *token, uint64_t team,
                        uint64_t route, ClockMs deadline);

/* Ends a run with its answer. The caller keeps its own reference.
 * RESULT_NOT_FOUND if the run has already ended. */
Result RunTable_Finish(RunTable *table, PoolHandle handle, RunAnswer *answer,
                       ClockMs now);

/* Ends a run of which it is known that no backend server ran it. The token
 * becomes void, because a copy of the request that arrives later must not run
 * after somebody was told "not run". */
Result RunTable_Abort(RunTable *table, PoolHandle handle, ClockMs now);

/* Voids the token if it is fresh, and returns its state. */
RunTokenState RunTable_Void(RunTable *table, const RunToken *token,
                            ClockMs now);

/* Drops the records whose time has ended; returns how many. To be called
 * about every second. */
uint32_t RunTable_Expire(RunTable *table, ClockMs now);

/* From now on no token begins: fresh ones get RESULT_SHUTTING_DOWN (run no).
 */
void RunTable_Drain(RunTable *table);

/* Waits until no run is left; FALSE if the deadline passed first. */
gboolean RunTable_AwaitIdle(RunTable *table, ClockMs deadline);

/* Returns the table as chunks (GBytes) of about chunk_bytes each, to be given
 * to RunTable_Adopt() of one successor in this order. Drains the table if
 * that was not done. Runs that have not ended are handed over as unknown. */
GPtrArray *RunTable_HandOver(RunTable *table, size_t chunk_bytes, ClockMs now);

/* Takes one chunk. A repeated chunk is accepted and ignored. The successor
 * answers for the former incarnation once all chunks are there, and drops it
 * when all its tokens are past their validity. RESULT_MALFORMED, RESULT_FULL
 * (nothing of this incarnation is kept), RESULT_SHUTTING_DOWN (choose another
 * successor) or RESULT_NOT_FOUND (an earlier chunk is missing: start again
 * with the first). */
Result RunTable_Adopt(RunTable *table, const void *chunk, size_t bytes,
                      ClockMs now);

typedef struct RunTableStats {
    uint32_t running;
    uint32_t done;
    uint32_t voided;
    uint32_t adopted;    /* records of former incarnations */
    uint32_t formers;    /* former incarnations answered for */
    uint32_t capacity;   /* max_runs */
    uint64_t kept_bytes; /* answers, and space reserved by runs */
    uint64_t last_serial;
} RunTableStats;

void RunTable_GetStats(RunTable *table, RunTableStats *stats);

#endif
