/* The store's side of ConfigSync: tickets, withdrawals and snapshots. */
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "config/config_sync_private.h"

#define TICKET_PREFIX "ticket/"
#define WITHDRAWN_PREFIX "withdrawn/"
#define NEWEST_SNAPSHOT "snapshot/newest"
/* Tickets may have 900 KB each, and their JSON takes several times as much
 * memory. */
#define TICKETS_PER_CALL 4
#define WITHDRAWN_PER_CALL 1000
#define SWEEP_WRITES 50

static char *
ticket_name(int64_t number)
{
    return g_strdup_printf(TICKET_PREFIX "%" G_GINT64_FORMAT, number);
}

static char *
part_name(int64_t snapshot, uint32_t part)
{
    return g_strdup_printf("snapshot/%" G_GINT64_FORMAT "/%u", snapshot, part);
}

static Result
get_object(ConfigSync *sync, const char *name, StoreObject *object)
{
    Result result = Store_Get(sync->store, name, object, NULL);

    if (result == RESULT_OK || result == RESULT_NOT_FOUND) {
        _ConfigSync_NoteContact(sync, 0);
    }
    return result;
}

static gboolean
list_objects(ConfigSync *sync, const char *prefix, int64_t after, int wait_ms,
             int limit, StoreList *list)
{
    if (Store_List(sync->store, prefix, after, wait_ms, limit, list, NULL) !=
        RESULT_OK) {
        return FALSE;
    }
    _ConfigSync_NoteContact(sync, 0);
    return TRUE;
}

/* Creates an object from JSON text with this id. Returns its version if it now
 * exists with the id, else 0. */
static int64_t
create_object(ConfigSync *sync, const char *name, const char *id,
              const char *text)
{
    const char *found;
    StoreObject object;
    int64_t version = 0;
    Result result = Store_PutText(sync->store, name, 0, text, &object, NULL);

    if (result == RESULT_STORE_UNCERTAIN) {
        StoreObject_Clear(&object);
        (void)get_object(sync, name, &object);
    }
    found = json_string_value(json_object_get(object.value, "id"));
    if (result == RESULT_OK || (found != NULL && strcmp(found, id) == 0)) {
        _ConfigSync_NoteContact(sync, 0);
        version = object.version;
    }
    StoreObject_Clear(&object);
    return version;
}

/* Writes `withdrawn/<hex>`; TRUE if it exists afterwards, whoever wrote it. */
static gboolean
write_withdrawal(ConfigSync *sync, const ConfigKeyHash *hash)
{
    char *id = g_uuid_string_random();
    json_t *value = json_pack("{s:s,s:s,s:I}", "id", id, "host", sync->host,
                              "when_ms", (json_int_t)Clock_WallMs());
    char name[sizeof(WITHDRAWN_PREFIX) + 65];
    char hex[65];
    Result result;

    Config_HashToHex(hash, hex);
    g_snprintf(name, sizeof(name), WITHDRAWN_PREFIX "%s", hex);
    result = Store_Put(sync->store, name, 0, value, NULL, NULL);
    json_decref(value);
    g_free(id);
    if (result != RESULT_OK && result != RESULT_STORE_CONFLICT) {
        return FALSE;
    }
    _ConfigSync_NoteContact(sync, 0);
    ConfigWithdrawn_SetStored(sync->config->withdrawn, hash);
    return TRUE;
}

gboolean
_ConfigSync_WriteQueue(ConfigSync *sync)
{
    ConfigKeyHash hash;
    gboolean more;

    for (;;) {
        pthread_mutex_lock(&sync->lock);
        more = sync->unwritten->len > 0;
        if (more) {
            hash = g_array_index(sync->unwritten, ConfigKeyHash, 0);
        }
        pthread_mutex_unlock(&sync->lock);
        if (!more) {
            return TRUE;
        }
        if (!write_withdrawal(sync, &hash)) {
            return FALSE;
        }
        /* Others only append, so the first one is still the same. */
        pthread_mutex_lock(&sync->lock);
        g_array_remove_index(sync->unwritten, 0);
        pthread_mutex_unlock(&sync->lock);
    }
}

/* Writes what is known to this host but not to the store, because the host
 * where it was withdrawn failed before it wrote it. That host has between one
 * and two times sweep_ms for it. */
static gboolean
sweep_withdrawals(ConfigSync *sync)
{
    ConfigWithdrawn *set = sync->config->withdrawn;
    ClockMs now = Clock_Now();
    int writes = 0;

    if (now < sync->next_sweep) {
        return TRUE;
    }
    while (sync->stored_prefix < sync->swept_count && writes < SWEEP_WRITES) {
        if (!ConfigWithdrawn_IsStored(set, sync->stored_prefix)) {
            if (!write_withdrawal(
                    sync, ConfigWithdrawn_At(set, sync->stored_prefix))) {
                return FALSE;
            }
            writes++;
        }
        sync->stored_prefix++;
    }
    sync->swept_count = ConfigWithdrawn_GetCount(set);
    sync->next_sweep = now + sync->desc.sweep_ms;
    return TRUE;
}

static gboolean
read_withdrawals(ConfigSync *sync)
{
    StoreList list;
    guint count;

    do {
        if (!list_objects(sync, WITHDRAWN_PREFIX, sync->withdrawn_after, 0,
                          WITHDRAWN_PER_CALL, &list)) {
            return FALSE;
        }
        count = list.objects->len;
        for (guint i = 0; i < count; i++) {
            StoreObject *object = &g_array_index(list.objects, StoreObject, i);
            ConfigKeyHash hash;

            if (g_str_has_prefix(object->name, WITHDRAWN_PREFIX) &&
                Config_HashFromHex(object->name + strlen(WITHDRAWN_PREFIX),
                                   &hash)) {
                _ConfigSync_TakeWithdrawal(sync, &hash);
                ConfigWithdrawn_SetStored(sync->config->withdrawn, &hash);
            }
            sync->withdrawn_after =
                MAX(sync->withdrawn_after, object->version);
        }
        if (list.version < sync->withdrawn_after) {
            sync->withdrawn_after = list.version; /* as in read_tickets() */
            count = 0;
        }
        StoreList_Clear(&list);
    } while (count > 0 && !_ConfigSync_IsStopping(sync));
    return TRUE;
}

/* Finds the store's version from which tickets are new to this host. */
static gboolean
find_tickets_after(ConfigSync *sync)
{
    int64_t version = Config_PeekVersion(sync->config);
    StoreObject object;
    char *name;
    Result result;

    if (version == 0) {
        sync->tickets_after = 0;
        return TRUE;
    }
    name = ticket_name(version);
    result = get_object(sync, name, &object);
    if (result == RESULT_OK) {
        sync->tickets_after = object.version;
    }
    StoreObject_Clear(&object);
    g_free(name);
    return result == RESULT_OK;
}

/* Number of a ticket object by its name; 0 if the name has another form. */
static int64_t
number_of(const char *name)
{
    gint64 number;

    if (!g_str_has_prefix(name, TICKET_PREFIX) ||
        !g_ascii_string_to_signed(name + strlen(TICKET_PREFIX), 10, 1,
                                  TICKET_MAX_NUMBER, &number, NULL)) {
        return 0;
    }
    return number;
}

/* Puts the next ticket in force, given the value of its object. */
static gboolean
take_value(ConfigSync *sync, int64_t number, json_t *value)
{
    json_t *named;
    gboolean taken;

    if (json_integer_value(json_object_get(value, "ticket")) == number) {
        return _ConfigSync_TakeTicket(sync, value);
    }
    /* The value does not hold its own number, so it is invalid; the number of
     * the object still has to be counted. */
    named = json_pack("{s:I}", "ticket", (json_int_t)number);
    taken = _ConfigSync_TakeTicket(sync, named);
    json_decref(named);
    return taken;
}

/* Reads the next ticket by its name when a list has left it out. */
static gboolean
fill_gap(ConfigSync *sync)
{
    int64_t number = Config_PeekVersion(sync->config) + 1;
    char *name = ticket_name(number);
    StoreObject object;
    gboolean taken = FALSE;

    if (get_object(sync, name, &object) == RESULT_OK) {
        taken = take_value(sync, number, object.value);
    }
    if (!taken) {
        Log_Event(LOG_TICKET_GAP, "object=%s", name);
    }
    StoreObject_Clear(&object);
    g_free(name);
    return taken;
}

/* Puts a listed ticket in force, and those before it that the list lacks. */
static gboolean
take_object(ConfigSync *sync, const StoreObject *object)
{
    int64_t number = number_of(object->name);

    while (number > Config_PeekVersion(sync->config) + 1) {
        if (!fill_gap(sync)) {
            return FALSE;
        }
    }
    if (number != Config_PeekVersion(sync->config) + 1) {
        return TRUE; /* old, or not a ticket */
    }
    return take_value(sync, number, object->value);
}

/* Reads tickets; the first call is held up to wait_ms. */
static gboolean
read_tickets(ConfigSync *sync, int wait_ms)
{
    StoreList list;
    gboolean good = TRUE;
    guint count;

    if (sync->tickets_after < 0 && !find_tickets_after(sync)) {
        return FALSE;
    }
    do {
        if (!list_objects(sync, TICKET_PREFIX, sync->tickets_after, wait_ms,
                          TICKETS_PER_CALL, &list)) {
            return FALSE;
        }
        count = list.objects->len;
        for (guint i = 0; good && i < count; i++) {
            StoreObject *object = &g_array_index(list.objects, StoreObject, i);

            good = take_object(sync, object);
            if (good) {
                sync->tickets_after =
                    MAX(sync->tickets_after, object->version);
            }
        }
        if (list.version < sync->tickets_after) {
            /* A stale replica, or a store that was set back: what is written
             * next has a version above this one. */
            sync->tickets_after = list.version;
            count = 0;
        }
        StoreList_Clear(&list);
        wait_ms = 0;
    } while (good && count > 0 && !_ConfigSync_IsStopping(sync));
    return good;
}

/* What `snapshot/newest` says. */
typedef struct Newest {
    gboolean answered;      /* the store answered */
    json_t *value;          /* NULL = there is none */
    int64_t object_version; /* of the object */
    const char *id;
    int64_t ticket;
    int64_t ticket_version; /* store version of the ticket's object */
    json_t *parts;          /* store versions of the parts */
    int64_t old_ticket;     /* the snapshot before, 0 = none */
    json_t *old_parts;
} Newest;

static void
clear_newest(Newest *newest)
{
    json_decref(newest->value);
    newest->value = NULL;
}

/* FALSE if the store failed or the object is invalid. */
static gboolean
get_newest(ConfigSync *sync, Newest *newest)
{
    StoreObject object;
    Result result = get_object(sync, NEWEST_SNAPSHOT, &object);
    json_int_t ticket = 0;
    json_int_t version = 0;
    json_int_t old_ticket = 0;
    gboolean valid;

    *newest = (Newest){
        .answered = result == RESULT_OK || result == RESULT_NOT_FOUND,
    };
    valid = result == RESULT_OK &&
            json_unpack(object.value, "{s:s,s:I,s:I,s:o,s:I,s:o}", "id",
                        &newest->id, "ticket", &ticket, "ticket_version",
                        &version, "parts", &newest->parts, "old_ticket",
                        &old_ticket, "old_parts", &newest->old_parts) == 0 &&
            ticket > 0 && ticket <= TICKET_MAX_NUMBER && version > 0 &&
            json_array_size(newest->parts) > 0 &&
            json_array_size(newest->parts) <= CONFIG_SYNC_MAX_PARTS;
    if (valid) {
        newest->value = json_incref(object.value);
        newest->object_version = object.version;
        newest->ticket = ticket;
        newest->ticket_version = version;
        newest->old_ticket = old_ticket;
    }
    else if (result == RESULT_OK) {
        Log_Event(LOG_SNAPSHOT_REJECTED, "object=%s", NEWEST_SNAPSHOT);
    }
    StoreObject_Clear(&object);
    return valid || result == RESULT_NOT_FOUND;
}

/* Reads one part; NULL unless it belongs to this very snapshot. */
static json_t *
get_part(ConfigSync *sync, const Newest *newest, uint32_t part)
{
    char *name = part_name(newest->ticket, part);
    json_t *sets = NULL;
    StoreObject object;
    const char *id;
    json_int_t ticket;
    json_int_t found;
    json_int_t parts;

    if (get_object(sync, name, &object) == RESULT_OK &&
        json_unpack(object.value, "{s:s,s:I,s:I,s:I,s:o}", "id", &id, "ticket",
                    &ticket, "part", &found, "parts", &parts, "sets",
                    &sets) == 0 &&
        g_strcmp0(id, newest->id) == 0 && ticket == newest->ticket &&
        found == part && parts == (json_int_t)json_array_size(newest->parts)) {
        json_incref(sets);
    }
    else {
        Log_Event(LOG_SNAPSHOT_REJECTED, "object=%s", name);
        sets = NULL;
    }
    StoreObject_Clear(&object);
    g_free(name);
    return sets;
}

/* Loads the newest snapshot if it is newer than the table in force. */
static gboolean
load_snapshot(ConfigSync *sync, const Newest *newest)
{
    uint32_t parts = (uint32_t)json_array_size(newest->parts);
    ConfigDraft draft;
    gboolean open = FALSE;
    gboolean good = TRUE;

    for (uint32_t part = 0; good && part < parts; part++) {
        json_t *sets = get_part(sync, newest, part);

        good = sets != NULL && !_ConfigSync_IsStopping(sync) &&
               _ConfigSync_TakePart(sync, &draft, &open, newest->ticket, part,
                                    parts, sets);
        json_decref(sets);
    }
    if (open) {
        _Config_AbortDraft(&draft);
    }
    return good;
}

gboolean
_ConfigSync_LoadFromStore(ConfigSync *sync)
{
    Newest newest;
    gboolean answered;

    if (get_newest(sync, &newest) &&
        newest.ticket > Config_PeekVersion(sync->config) &&
        load_snapshot(sync, &newest)) {
        sync->tickets_after = newest.ticket_version;
    }
    answered = newest.answered;
    clear_newest(&newest);
    /* Without a usable snapshot, the tickets are read from the first one on.
     */
    return answered && read_withdrawals(sync) && read_tickets(sync, 0);
}

static int64_t
write_part(ConfigSync *sync, const ConfigTable *table, uint32_t part,
           uint32_t parts, const char *id)
{
    GString *sets = _Config_DumpPart(table, part, parts);
    GString *text = g_string_new(NULL);
    char *name = part_name(table->version, part);
    int64_t version;

    g_string_printf(text,
                    "{\"id\":\"%s\",\"ticket\":%" G_GINT64_FORMAT
                    ",\"part\":%u,\"parts\":%u,\"sets\":%s}",
                    id, table->version, part, parts, sets->str);
    version = create_object(sync, name, id, text->str);
    g_free(name);
    g_string_free(sets, TRUE);
    g_string_free(text, TRUE);
    return version;
}

/* Writes all parts of the pinned table. Returns the list of their versions,
 * NULL if one failed. Between the parts it reads tickets, because writing a
 * large table takes seconds. */
static json_t *
write_parts(ConfigSync *sync, const ConfigTable *table, uint32_t parts,
            const char *id)
{
    json_t *versions = json_array();

    for (uint32_t part = 0; part < parts; part++) {
        int64_t version = write_part(sync, table, part, parts, id);

        if (version == 0 || _ConfigSync_IsStopping(sync)) {
            json_decref(versions);
            return NULL;
        }
        json_array_append_new(versions, json_integer(version));
        (void)read_tickets(sync, 0);
    }
    return versions;
}

static void
delete_snapshot(ConfigSync *sync, int64_t ticket, json_t *parts)
{
    json_t *version;
    size_t part;

    json_array_foreach(parts, part, version)
    {
        char *name = part_name(ticket, (uint32_t)part);

        Store_Delete(sync->store, name, json_integer_value(version), NULL,
                     NULL);
        g_free(name);
    }
}

/* Makes the complete snapshot the newest one, unless there is a newer one, and
 * deletes the one before the previous one. */
static gboolean
publish_snapshot(ConfigSync *sync, int64_t ticket, json_t *parts,
                 const char *id)
{
    char *name = ticket_name(ticket);
    StoreObject object;
    Newest newest = {0};
    gboolean good = get_object(sync, name, &object) == RESULT_OK &&
                    get_newest(sync, &newest) && newest.ticket < ticket;
    json_t *value;

    if (good) {
        value =
            json_pack("{s:s,s:I,s:I,s:O,s:I,s:o}", "id", id, "ticket",
                      (json_int_t)ticket, "ticket_version",
                      (json_int_t)object.version, "parts", parts, "old_ticket",
                      (json_int_t)newest.ticket, "old_parts",
                      newest.value ? json_incref(newest.parts) : json_array());
        good = Store_Put(sync->store, NEWEST_SNAPSHOT, newest.object_version,
                         value, NULL, NULL) == RESULT_OK;
        json_decref(value);
        if (good) {
            delete_snapshot(sync, newest.old_ticket, newest.old_parts);
        }
    }
    clear_newest(&newest);
    StoreObject_Clear(&object);
    g_free(name);
    return good;
}

/* Writes a snapshot of the table that is pinned for peers if it is not older
 * than the target, else of the one in force; a peer that reads the older one
 * then starts again. */
static void
write_snapshot(ConfigSync *sync, int64_t target, const char *id)
{
    const ConfigTable *table;
    json_t *versions;
    uint32_t parts;
    gboolean old;

    pthread_mutex_lock(&sync->served_lock);
    old = sync->served != NULL && sync->served->version < target;
    pthread_mutex_unlock(&sync->served_lock);
    if (old) {
        _ConfigSync_EndServing(sync, TRUE);
    }
    pthread_mutex_lock(&sync->served_lock);
    _ConfigSync_Serve(sync);
    table = sync->served;
    parts = sync->served_parts;
    pthread_mutex_unlock(&sync->served_lock);
    if (table == NULL) {
        return;
    }
    /* Only this thread unpins, so the table stays. */
    versions = write_parts(sync, table, parts, id);
    if (versions != NULL &&
        publish_snapshot(sync, table->version, versions, id)) {
        Counter_Add(COUNTER_CONFIG_SNAPSHOTS_WRITTEN, 1);
        Log_Event(LOG_SNAPSHOT_WRITTEN, "ticket=%" G_GINT64_FORMAT " parts=%u",
                  table->version, parts);
    }
    json_decref(versions);
}

/* One watcher in the fleet wins the claim for each multiple of snapshot_every.
 * If it fails on the way, the snapshot is left out; the next one follows
 * snapshot_every tickets later. */
static void
maybe_write_snapshot(ConfigSync *sync)
{
    int64_t version = Config_PeekVersion(sync->config);
    int64_t target = version - version % sync->desc.snapshot_every;
    char *name;
    char *text;
    char *id;
    json_t *value;

    if (target == 0 || target <= sync->last_claim) {
        return;
    }
    sync->last_claim = target;
    name = g_strdup_printf("snapshot/%" G_GINT64_FORMAT "/claim", target);
    id = g_uuid_string_random();
    value = json_pack("{s:s,s:s}", "id", id, "host", sync->host);
    text = json_dumps(value, JSON_COMPACT);
    if (create_object(sync, name, id, text) > 0) {
        write_snapshot(sync, target, id);
    }
    free(text);
    json_decref(value);
    g_free(id);
    g_free(name);
}

gboolean
_ConfigSync_Watch(ConfigSync *sync, int wait_ms)
{
    if (!read_withdrawals(sync) || !sweep_withdrawals(sync) ||
        !read_tickets(sync, wait_ms)) {
        return FALSE;
    }
    maybe_write_snapshot(sync);
    return TRUE;
}
