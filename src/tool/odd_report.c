#include "tool/odd_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define HEAD_WORDS 4 /* time, daemon, level, number of the event */
#define TIME_BYTES 32
#define KIND_BYTES 64
#define NAME_BYTES 256

/* The newest that was logged of an object, or of the objects of a kind that
 * have no usable name. */
typedef struct OddObject {
    char kind[KIND_BYTES];
    char name[NAME_BYTES]; /* empty: no usable name */
    int64_t generation;
    int64_t revision;
    unsigned count; /* without a usable name */
    gboolean decoded;
    char time[TIME_BYTES]; /* last line */
    GHashTable *daemons;   /* names */
} OddObject;

struct OddReport {
    GHashTable *objects; /* "kind name" -> OddObject */
};

static void
free_object(gpointer data)
{
    OddObject *object = data;

    g_hash_table_destroy(object->daemons);
    g_free(object);
}

OddReport *
OddReport_Create(void)
{
    OddReport *report = g_new0(OddReport, 1);

    report->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
    return report;
}

void
OddReport_Destroy(OddReport *report)
{
    if (report != NULL) {
        g_hash_table_destroy(report->objects);
        g_free(report);
    }
}

/* Returns the last words before the event's name; NULL if there are too few.
 */
static char **
split_head(const char *line, const char *event)
{
    g_autofree char *head = g_strndup(line, (gsize)(event - line));
    char **words = g_strsplit(g_strchomp(head), " ", 0);
    guint count = g_strv_length(words);
    char **last = NULL;

    if (count >= HEAD_WORDS) {
        last = g_strdupv(words + count - HEAD_WORDS);
    }
    g_strfreev(words);
    return last;
}

static OddObject *
find_object(OddReport *report, const char *kind, const char *name)
{
    char *key = g_strdup_printf("%s %s", kind, name);
    OddObject *object = g_hash_table_lookup(report->objects, key);

    if (object != NULL) {
        g_free(key);
        return object;
    }
    object = g_new0(OddObject, 1);
    g_strlcpy(object->kind, kind, sizeof(object->kind));
    g_strlcpy(object->name, name, sizeof(object->name));
    object->daemons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(report->objects, key, object);
    return object;
}

/* Reads the fields of OBJECT_REJECTED. A name may contain spaces and "=". */
static gboolean
read_rejected(const char *fields, OddObject *seen)
{
    const char *name;
    const char *end = g_strrstr(fields, " generation=");
    int decoded;

    if (end == NULL || sscanf(fields, " kind=%63s", seen->kind) != 1) {
        return FALSE;
    }
    name = strstr(fields, " name=");
    if (name == NULL || name >= end ||
        sscanf(end, " generation=%" SCNd64 " revision=%" SCNd64 " decoded=%d",
               &seen->generation, &seen->revision, &decoded) != 3) {
        return FALSE;
    }
    name += strlen(" name=");
    g_strlcpy(seen->name, name,
              MIN((size_t)(end - name) + 1, sizeof(seen->name)));
    seen->decoded = decoded != 0;
    return seen->name[0] != '\0';
}

static gboolean
read_unnamed(const char *fields, OddObject *seen)
{
    return sscanf(fields,
                  " kind=%63s count=%u generation=%" SCNd64
                  " revision=%" SCNd64,
                  seen->kind, &seen->count, &seen->generation,
                  &seen->revision) == 4;
}

/* Times of one format are ordered as texts. */
static void
note_seen(OddReport *report, const OddObject *seen, char **head)
{
    OddObject *object = find_object(report, seen->kind, seen->name);

    g_hash_table_add(object->daemons, g_strdup(head[1]));
    if (seen->generation > object->generation ||
        (seen->generation == object->generation &&
         seen->revision >= object->revision)) {
        object->generation = seen->generation;
        object->revision = seen->revision;
        object->count = seen->count;
        object->decoded = seen->decoded;
    }
    if (strcmp(head[0], object->time) > 0) {
        g_strlcpy(object->time, head[0], sizeof(object->time));
    }
}

gboolean
OddReport_AddLine(OddReport *report, const char *line)
{
    static const struct {
        const char *event;
        gboolean (*read)(const char *fields, OddObject *seen);
    } kinds[] = {{"OBJECT_REJECTED: ", read_rejected},
                 {"OBJECTS_UNNAMED: ", read_unnamed}};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        const char *event = strstr(line, kinds[i].event);
        const char *fields = event ? strstr(event, " kind=") : NULL;
        OddObject seen = {0};
        char **head;

        if (fields == NULL || !kinds[i].read(fields, &seen)) {
            continue;
        }
        head = split_head(line, event);
        if (head != NULL) {
            note_seen(report, &seen, head);
            g_strfreev(head);
            return TRUE;
        }
    }
    return FALSE;
}

static gint
compare_objects(gconstpointer a, gconstpointer b)
{
    const OddObject *left = a;
    const OddObject *right = b;
    int order = strcmp(left->kind, right->kind);

    return order != 0 ? order : strcmp(left->name, right->name);
}

static void
print_object(const OddObject *object, GString *text)
{
    g_string_append_printf(text, "  %-16s ", object->kind);
    if (object->name[0] != '\0') {
        g_string_append_printf(
            text, "%-24s %" PRId64 ".%" PRId64 " %s", object->name,
            object->generation, object->revision,
            object->decoded ? "fields not valid" : "value not readable");
    }
    else {
        g_string_append_printf(text,
                               "%-24s %" PRId64 ".%" PRId64
                               " %u without a usable name or revision",
                               "-", object->generation, object->revision,
                               object->count);
    }
    g_string_append_printf(text, ", on %u daemons, last at %s\n",
                           g_hash_table_size(object->daemons), object->time);
}

void
OddReport_Print(const OddReport *report, GString *text)
{
    GList *objects =
        g_list_sort(g_hash_table_get_values(report->objects), compare_objects);

    g_string_append_printf(text, "ODD OBJECTS: %u\n",
                           g_hash_table_size(report->objects));
    if (objects != NULL) {
        g_string_append_printf(text, "  %-16s %-24s %s\n", "kind", "name",
                               "newest generation.revision seen");
    }
    for (const GList *item = objects; item != NULL; item = item->next) {
        print_object(item->data, text);
    }
    g_list_free(objects);
}
