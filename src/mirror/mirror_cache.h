/* MirrorCache: copy of the objects of one kind, read by other hosts.
 *
 * Use:
 *  1. MirrorCache_Create().
 *  2. The host's ObjectSync updates it: MirrorCache_Update(), _Retain(),
 *     _Confirm().
 *  3. Readers call MirrorCache_Wait() until there is a change after their
 *     revision, then MirrorCache_Read().
 *
 * Updates are staged until they are confirmed, then all become visible in one
 * step together with the revision, so that no page names a revision and lacks
 * a change below it. A change is filed under the object's own revision, a
 * deletion, which has none, under that of the answer. So a reader that has all
 * changes up to some revision, from any source, misses none. A state of an
 * object never replaces a later one. Deletions are kept for
 * MIRROR_DELETION_MS; those before a list are unknown, so readers that were
 * not as far have to list, too.
 *
 * The cache holds one generation of the store. The first update of a newer one
 * discards it, and updates of an earlier one are ignored. A reader of an
 * earlier generation has to read all objects; one of a newer generation gets
 * nothing, so it is never taken back.
 *
 * It keeps the text of each value, compressed if it is large, instead of the
 * value: many readers get the same bytes.
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

/* Stages a change; the revision is that of the answer that contained it. */
void MirrorCache_Update(MirrorCache *cache, const ObjectRecord *record,
                        ObjectRevision revision);

/* Stages the deletion of all objects that are not among the names. */
void MirrorCache_Retain(MirrorCache *cache, GHashTable *names,
                        ObjectRevision revision);

/* Publishes what was staged, and states that the cache then has all changes up
 * to the revision and that this was the newest state at the time as_of. */
void MirrorCache_Confirm(MirrorCache *cache, ClockMs as_of,
                         ObjectRevision revision);

/* States that changes have begun to arrive, which the next confirmation
 * contains, or that they no longer do. */
void MirrorCache_Announce(MirrorCache *cache, gboolean is_arriving);
gboolean MirrorCache_IsArriving(MirrorCache *cache);

/* Blocks until there is a change after the revision or the reader has to list,
 * until the next confirmation or for wait_ms, whichever comes first. If the
 * cache does not have the reader's generation yet, it waits for that. */
void MirrorCache_Wait(MirrorCache *cache, ObjectRevision revision,
                      ClockMs wait_ms);

/* Fills the page with all changes after the revision, or with all objects if
 * its number is negative; the records have texts, but no values. Returns
 * RESULT_STORE_HISTORY_GONE if the revision is of an earlier generation or
 * deletions after it have been discarded, RESULT_STORE_UNAVAILABLE if there is
 * no complete state yet or the reader's generation is newer. A reader of
 * unknown generation, -1, must not be ahead of the cache. */
Result MirrorCache_Read(MirrorCache *cache, ObjectRevision revision,
                        ObjectPage *page);

/* Blocks until the cache has the state at the revision, for wait_ms. Returns
 * FALSE if it has not. */
gboolean MirrorCache_AwaitRevision(MirrorCache *cache, ObjectRevision revision,
                                   ClockMs wait_ms);

/* Whether there are changes after the revision, in its generation. */
gboolean MirrorCache_IsAhead(MirrorCache *cache, ObjectRevision revision);

/* Returns the size of the texts of all objects together. */
size_t MirrorCache_Bytes(MirrorCache *cache);

/* Returns the revision up to which the cache has all changes. */
ObjectRevision MirrorCache_Revision(MirrorCache *cache);

/* Smallest text that is compressed: that of a value in the cache, or all of an
 * answer. */
#define _MIRROR_MIN_PACKED_BYTES 4096

#endif
