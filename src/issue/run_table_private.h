/* Declarations of RunTable that are private to this module. */
#ifndef ISSUE_RUN_TABLE_PRIVATE_H
#define ISSUE_RUN_TABLE_PRIVATE_H

#include <pthread.h>

#include "issue/run_table.h"

#define _RUN_MAX_PREDECESSORS 16

typedef enum _RunRecordState {
    RUN_RECORD_RUNNING,
    RUN_RECORD_DONE,
    RUN_RECORD_VOID,
    RUN_RECORD_LOST /* was still running at the hand-over */
} _RunRecordState;

/* 64 bytes. Team and route are not stored: the token holds them, protected by
 * its MAC. */
typedef struct _RunRecord {
    uint64_t serial;
    ClockMs valid_until; /* set for this incarnation's tokens only */
    ClockMs drop_at;     /* by this host's clock; CLOCK_NEVER while running */
    RunAnswer *answer;   /* answer of a done run; NULL if it was too large */
    size_t kept_bytes;   /* share of the table's kept_bytes */
    PoolHandle handle;
    PoolHandle next; /* next record in the same bucket */
    uint8_t source;  /* 0 = this incarnation, else 1 + predecessor's index */
    uint8_t state;   /* _RunRecordState */
    uint8_t run;     /* RunState of a done run */
} _RunRecord;

/* An incarnation whose table was handed over to this host. */
typedef struct _RunPredecessor {
    gboolean is_used;
    gboolean is_complete;
    uint64_t owner;
    uint64_t incarnation;
    uint64_t last_serial;
    ClockMs handed_at; /* hand-over time by the previous owner's clock */
    ClockMs ends_at;   /* end of all tokens' validity by this host's clock */
    uint32_t next_chunk;
} _RunPredecessor;

struct RunTable {
    RunTable_desc desc;
    pthread_mutex_t lock; /* protects all fields that follow */
    pthread_cond_t changed;
    /* Latest time passed in; never goes back. Otherwise a thread that was
     * paused between reading the clock and the call could run a token again
     * whose record has been dropped in the meantime. */
    ClockMs now;
    uint64_t last_serial;
    gboolean is_draining;
    uint32_t running;
    uint32_t done;
    uint32_t voided;
    uint32_t adopted;
    uint32_t waiters;
    size_t kept_bytes;
    Pool *records;
    PoolHandle *buckets;
    uint32_t bucket_mask;
    _RunPredecessor predecessors[_RUN_MAX_PREDECESSORS];
};

/* The caller holds the lock in all functions that follow. */
_RunRecord *_RunTable_Find(RunTable *table, uint8_t source, uint64_t serial);
/* Returns NULL if the table is full; void records may use the reserved part.
 */
_RunRecord *_RunTable_Add(RunTable *table, uint8_t source, uint64_t serial,
                          gboolean may_use_reserve);
void _RunTable_Remove(RunTable *table, _RunRecord *record);
/* Stores the answer in a done record, or only its run state if the answer is
 * too large. */
void _RunTable_Keep(RunTable *table, _RunRecord *record, RunAnswer *answer);
void _RunTable_DropPredecessor(RunTable *table, uint8_t source);
/* Advances table->now to `now` unless it is later already, and returns it. */
ClockMs _RunTable_Advance(RunTable *table, ClockMs now);

size_t _RunAnswer_Bytes(const RunAnswer *answer);

#endif
