#include "store_objects.h"

#include <string.h>

typedef struct ObjectEntry {
    char *name;
    StoreRevision *newest;
} ObjectEntry;

struct StoreObjects {
    GHashTable *by_name; /* name -> ObjectEntry */
    GTree *by_version;   /* version of the newest revision -> ObjectEntry */
    int64_t version;
    int history;
};

static void
free_revisions(StoreRevision *revision)
{
    while (revision != NULL) {
        StoreRevision *previous = revision->previous;

        g_free(revision->value);
        g_free(revision);
        revision = previous;
    }
}

static void
free_entry(void *pointer)
{
    ObjectEntry *entry = pointer;

    free_revisions(entry->newest);
    g_free(entry->name);
    g_free(entry);
}

static int
compare_versions(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

StoreObjects *
StoreObjects_Create(int history)
{
    StoreObjects *objects = g_new0(StoreObjects, 1);

    objects->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    objects->by_version = g_tree_new(compare_versions);
    objects->history = history;
    return objects;
}

void
StoreObjects_Destroy(StoreObjects *objects)
{
    g_tree_unref(objects->by_version);
    g_hash_table_unref(objects->by_name);
    g_free(objects);
}

int64_t
StoreObjects_GetVersion(const StoreObjects *objects)
{
    return objects->version;
}

static const StoreRevision *
revision_as_of(const ObjectEntry *entry, int64_t as_of)
{
    const StoreRevision *revision = entry->newest;

    while (revision != NULL && revision->version > as_of) {
        revision = revision->previous;
    }
    return revision != NULL && revision->value != NULL ? revision : NULL;
}

const StoreRevision *
StoreObjects_Find(const StoreObjects *objects, const char *name, int64_t as_of)
{
    const ObjectEntry *entry = g_hash_table_lookup(objects->by_name, name);

    return entry != NULL ? revision_as_of(entry, as_of) : NULL;
}

static void
cut_history(StoreRevision *revision, int history)
{
    while (revision != NULL && --history > 0) {
        revision = revision->previous;
    }
    if (revision != NULL) {
        free_revisions(revision->previous);
        revision->previous = NULL;
    }
}

int64_t
StoreObjects_Put(StoreObjects *objects, const char *name, char *value,
                 int64_t now_ms)
{
    ObjectEntry *entry = g_hash_table_lookup(objects->by_name, name);
    StoreRevision *revision = g_new0(StoreRevision, 1);

    if (entry == NULL) {
        entry = g_new0(ObjectEntry, 1);
        entry->name = g_strdup(name);
        g_hash_table_insert(objects->by_name, entry->name, entry);
    }
    else {
        g_tree_remove(objects->by_version, &entry->newest->version);
    }
    revision->previous = entry->newest;
    revision->version = ++objects->version;
    revision->modified_ms = now_ms;
    revision->value = value;
    entry->newest = revision;
    cut_history(revision, objects->history);
    g_tree_insert(objects->by_version, &revision->version, entry);
    return revision->version;
}

typedef struct FoundObject {
    const char *name;
    const StoreRevision *revision;
} FoundObject;

static int
compare_found(const void *a, const void *b)
{
    return compare_versions(&((const FoundObject *)a)->revision->version,
                            &((const FoundObject *)b)->revision->version);
}

/* Lists a past state of the store. Visits every object, because the tree holds
 * only the newest versions. */
static void
list_as_of(const StoreObjects *objects, const char *prefix, int64_t after,
           int64_t as_of,
           gboolean (*callback)(void *, const char *, const StoreRevision *),
           void *context)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(FoundObject));
    GHashTableIter iterator;
    void *value;

    g_hash_table_iter_init(&iterator, objects->by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ObjectEntry *entry = value;
        FoundObject object = {entry->name, revision_as_of(entry, as_of)};

        if (object.revision != NULL && object.revision->version > after &&
            g_str_has_prefix(entry->name, prefix)) {
            g_array_append_val(found, object);
        }
    }
    g_array_sort(found, compare_found);
    for (guint i = 0; i < found->len; i++) {
        FoundObject *object = &g_array_index(found, FoundObject, i);

        if (!callback(context, object->name, object->revision)) {
            break;
        }
    }
    g_array_unref(found);
}

void
StoreObjects_List(const StoreObjects *objects, const char *prefix,
                  int64_t after, int64_t as_of,
                  gboolean (*callback)(void *context, const char *name,
                                       const StoreRevision *revision),
                  void *context)
{
    GTreeNode *node;

    if (as_of < objects->version) {
        list_as_of(objects, prefix, after, as_of, callback, context);
        return;
    }
    node = g_tree_upper_bound(objects->by_version, &after);
    for (; node != NULL; node = g_tree_node_next(node)) {
        const ObjectEntry *entry = g_tree_node_value(node);

        if (entry->newest->value != NULL &&
            g_str_has_prefix(entry->name, prefix) &&
            !callback(context, entry->name, entry->newest)) {
            return;
        }
    }
}
