/* MirrorCache: the objects of one kind as a host that follows the store has
 * them, for others to follow.
 *
 * Use:
 *  1. MirrorCache_Create().
 *  2. The host's ObjectSync feeds it: MirrorCache_Change(), _List(),
 *     _Confirm().
 *  3. Others read: MirrorCache_Wait() until something is newer than their
 *     revision, then MirrorCache_Read().
 *
 * A change is kept under the store's revision of the answer that brought it,
 * which is never below its own. So a reader that has everything up to some
 * revision, from whatever source, misses nothing. Deletions are remembered for
 * MIRROR_DELETION_MS.
 *
 * Limits: thread safe.
 */
#ifndef MIRROR_MIRROR_CACHE_H
#define MIRROR_MIRROR_CACHE_H

#include "objects/object_store.h"

#define MIRROR_DELETION_MS 60000

typedef struct MirrorCache MirrorCache;

MirrorCache *MirrorCache_Create(void);
void MirrorCache_Destroy(MirrorCache *cache);

void MirrorCache_Change(MirrorCache *cache, const ObjectRecord *record,
                        int64_t revision);
void MirrorCache_List(MirrorCache *cache, GHashTable *names, int64_t revision);

/* Everything up to the revision has been passed in, and was the newest state
 * at this moment. */
void MirrorCache_Confirm(MirrorCache *cache, ClockMs moment, int64_t revision);

/* Blocks until there is a change after the revision or the next confirmation,
 * at most for wait_ms. */
void MirrorCache_Wait(MirrorCache *cache, int64_t revision, ClockMs wait_ms);

/* Fills the page with all changes after the revision, or with all objects if
 * it is negative. RESULT_STORE_HISTORY_GONE if deletions since then have been
 * forgotten; RESULT_STORE_UNAVAILABLE if there is no complete state yet. */
Result MirrorCache_Read(MirrorCache *cache, int64_t revision,
                        ObjectPage *page);

#endif
