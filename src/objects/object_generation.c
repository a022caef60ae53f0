#include "objects/object_generation.h"

#include <stdatomic.h>

#include "base/counter.h"

struct ObjectGeneration {
    _Atomic int64_t newest;
};

ObjectGeneration *
ObjectGeneration_Create(void)
{
    return g_new0(ObjectGeneration, 1);
}

void
ObjectGeneration_Destroy(ObjectGeneration *generation)
{
    g_free(generation);
}

gboolean
ObjectGeneration_Note(ObjectGeneration *generation, int64_t number)
{
    int64_t newest = atomic_load(&generation->newest);

    while (number > newest) {
        if (atomic_compare_exchange_weak(&generation->newest, &newest,
                                         number)) {
            Counter_Add(COUNTER_STORE_RESTORATIONS, newest > 0);
            return TRUE;
        }
    }
    return number == newest;
}

int64_t
ObjectGeneration_Newest(const ObjectGeneration *generation)
{
    return atomic_load(&generation->newest);
}

Result
ObjectGeneration_Check(ObjectGeneration *generation, ObjectRevision *known,
                       ObjectRevision answer)
{
    if (!ObjectGeneration_Note(generation, answer.generation)) {
        return RESULT_STORE_UNAVAILABLE;
    }
    if (answer.generation == known->generation) {
        return RESULT_OK;
    }
    *known = (ObjectRevision){.generation = answer.generation, .number = -1};
    return RESULT_STORE_HISTORY_GONE;
}

gboolean
ObjectGeneration_NeedsList(const ObjectGeneration *generation,
                           ObjectRevision known)
{
    return known.number < 0 ||
           known.generation < ObjectGeneration_Newest(generation);
}
