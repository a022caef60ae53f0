#include "mirror/mirror_spread.h"

#include <pthread.h>

struct MirrorSpread {
    pthread_mutex_t lock;
    ObjectRevision revision;                 /* of the readers below */
    uint64_t readers[MIRROR_SPREAD_READERS]; /* in the order of their calls */
    unsigned count;
};

MirrorSpread *
MirrorSpread_Create(void)
{
    MirrorSpread *spread = g_new0(MirrorSpread, 1);

    pthread_mutex_init(&spread->lock, NULL);
    return spread;
}

void
MirrorSpread_Destroy(MirrorSpread *spread)
{
    if (spread != NULL) {
        pthread_mutex_destroy(&spread->lock);
        g_free(spread);
    }
}

/* Adds the reader. Returns its place, or MIRROR_SPREAD_READERS if it is there
 * already or there is no room. Called with the lock held. */
static unsigned
add_reader(MirrorSpread *spread, uint64_t reader)
{
    for (unsigned i = 0; i < spread->count; i++) {
        if (spread->readers[i] == reader) {
            return MIRROR_SPREAD_READERS;
        }
    }
    if (spread->count == MIRROR_SPREAD_READERS) {
        return MIRROR_SPREAD_READERS;
    }
    spread->readers[spread->count] = reader;
    return spread->count++;
}

uint64_t
MirrorSpread_Refer(MirrorSpread *spread, ObjectRevision revision,
                   uint64_t reader)
{
    uint64_t referred = 0;
    unsigned place;

    pthread_mutex_lock(&spread->lock);
    if (ObjectRevision_Compare(revision, spread->revision) != 0) {
        spread->revision = revision;
        spread->count = 0;
    }
    place = add_reader(spread, reader);
    if (place >= MIRROR_FANOUT && place < MIRROR_SPREAD_READERS) {
        referred = spread->readers[place / MIRROR_FANOUT - 1];
    }
    pthread_mutex_unlock(&spread->lock);
    return referred;
}
