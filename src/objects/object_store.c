#include "objects/object_store.h"

#include <string.h>

gboolean
ObjectName_IsValid(const char *name)
{
    size_t bytes = name != NULL ? strlen(name) : 0;

    for (size_t i = 0; i < bytes; i++) {
        if (name[i] == '/' || (unsigned char)name[i] <= ' ' ||
            name[i] == '\x7f') {
            return FALSE;
        }
    }
    return bytes > 0 && bytes <= OBJECT_NAME_BYTES && strcmp(name, ".") != 0 &&
           strcmp(name, "..") != 0;
}

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
    g_clear_pointer(&record->text, g_bytes_unref);
    *record = (ObjectRecord){0};
}

static void
clear_record(gpointer data)
{
    ObjectRecord_Clear(data);
}

ObjectTransfer
ObjectTransfer_Make(ClockMs called, ClockMs head_at, int64_t expected_bytes,
                    size_t received_bytes)
{
    ClockMs now = Clock_Now();
    ClockMs head = head_at > 0 ? head_at : now;

    return (ObjectTransfer){.head_ms = head - called,
                            .body_ms = now - head,
                            .expected_bytes = expected_bytes,
                            .received_bytes = (int64_t)received_bytes};
}

void
ObjectPage_Init(ObjectPage *page)
{
    *page = (ObjectPage){.records =
                             g_array_new(FALSE, TRUE, sizeof(ObjectRecord))};
    g_array_set_clear_func(page->records, clear_record);
}

Result
ObjectPage_Advance(const ObjectPage *page, char **after, gboolean *more)
{
    const ObjectRecord *last;

    *more = page->more;
    if (!page->more) {
        return RESULT_OK;
    }
    if (page->records->len == 0) {
        return RESULT_STORE_UNAVAILABLE;
    }
    last = &g_array_index(page->records, ObjectRecord, page->records->len - 1);
    if (strcmp(last->name, *after) == 0) {
        return RESULT_STORE_UNAVAILABLE;
    }
    g_free(*after);
    *after = g_strdup(last->name);
    return RESULT_OK;
}

void
ObjectPage_Clear(ObjectPage *page)
{
    g_array_unref(page->records);
    *page = (ObjectPage){0};
}

void
ObjectPage_Reset(ObjectPage *page)
{
    ObjectPage kept = *page;

    ObjectPage_Clear(page);
    ObjectPage_Init(page);
    page->begun = kept.begun;
    page->context = kept.context;
    page->max_bytes = kept.max_bytes;
    page->stall_ms = kept.stall_ms;
}

gboolean
ObjectPage_Begin(void *context, int status, int64_t expected_bytes)
{
    ObjectPage *page = context;

    page->has_begun = status == 200;
    if (page->begun != NULL && status == 200 &&
        expected_bytes >= OBJECT_CHANGES_BYTES) {
        page->begun(page->context);
    }
    page->is_too_large = status == 200 && page->max_bytes > 0 &&
                         expected_bytes > page->max_bytes;
    return !page->is_too_large;
}
