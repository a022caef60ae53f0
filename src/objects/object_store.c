#include "objects/object_store.h"

int
ObjectRevision_Compare(ObjectRevision a, ObjectRevision b)
{
    if (a.generation != b.generation) {
        return a.generation < b.generation ? -1 : 1;
    }
    return (a.number > b.number) - (a.number < b.number);
}

void
ObjectRecord_Clear(ObjectRecord *record)
{
    g_free(record->name);
    json_decref(record->value);
    *record = (ObjectRecord){0};
}

static void
clear_record(gpointer data)
{
    ObjectRecord_Clear(data);
}

void
ObjectPage_Init(ObjectPage *page)
{
    *page = (ObjectPage){.records =
                             g_array_new(FALSE, TRUE, sizeof(ObjectRecord))};
    g_array_set_clear_func(page->records, clear_record);
}

void
ObjectPage_Clear(ObjectPage *page)
{
    g_array_unref(page->records);
    *page = (ObjectPage){0};
}
