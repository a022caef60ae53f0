/* MirrorSpread: decides who passes a large change on to whom.
 *
 * Load pattern: many hosts read the same change from one host at the same
 * moment. Sent to each of them over the link of that host, it arrives the
 * later the more read it, at all of them. Instead the first MIRROR_FANOUT
 * readers of a revision get it, and each later one is referred to an earlier
 * one, which has it by then or gets it soon. The readers form a tree of this
 * width, and no link carries a change more often than that, however many read
 * it.
 *
 * Use: MirrorSpread_Refer() for each reader of a large answer.
 *
 * A reader that asks again for the same revision is served: the host that it
 * was referred to has failed.
 *
 * Limits: thread safe. MIRROR_SPREAD_READERS for each revision; further ones
 * are served.
 */
#ifndef MIRROR_MIRROR_SPREAD_H
#define MIRROR_MIRROR_SPREAD_H

#include "objects/object_store.h"

/* Two levels reach a group of MIRROR_GROUP hosts. */
#define MIRROR_FANOUT 5
#define MIRROR_SPREAD_READERS 256

typedef struct MirrorSpread MirrorSpread;

MirrorSpread *MirrorSpread_Create(void);
void MirrorSpread_Destroy(MirrorSpread *spread);

/* Returns the hash of the host that the reader is referred to for the
 * revision, or 0 if this host serves it. */
uint64_t MirrorSpread_Refer(MirrorSpread *spread, ObjectRevision revision,
                            uint64_t reader);

#endif
