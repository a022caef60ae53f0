/* ConfigSync's use of the store: tickets, withdrawals and snapshots. */
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "config/config_sync_private.h"

#define TICKET_PREFIX "ticket/"
#define WITHDRAWN_PREFIX "withdrawn/"
#define NEWEST_SNAPSHOT "snapshot/newest"
/* Few, because a ticket may have 900 KB, and its parsed JSON takes several
 * times as much memory. */
#define TICKETS_PER_CALL 4
#define WITHDRAWN_PER_CALL 1000
#define MAX_SWEEP_WRITES 50

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
        _ConfigSync_RecordContact(sync, 0);
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
    _ConfigSync_RecordContact(sync, 0);
    return TRUE;
}

/* Creates an object from JSON text that holds this id. Returns its version if
 * it then exists with this id, else 0. */
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
        _ConfigSync_RecordContact(sync, 0);
        version = object.version;
    }
    StoreObject_Clear(&object);
    return version;
}

/* Writes `withdrawn/<hex>`. Returns TRUE if it exists afterwards, even if
 * another host wrote it. */
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
    _ConfigSync_RecordContact(sync, 0);
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
        /* Other threads only append, so the first entry is unchanged. */
        pthread_mutex_lock(&sync->lock);
        g_array_remove_index(sync->unwritten, 0);
        pthread_mutex_unlock(&sync->lock);
    }
}

/* Writes withdrawals that this host knows and the store lacks, because the
 * host on which they were made failed before it wrote them. That host has
 * between one and two times sweep_ms to write them itself. */
static gboolean
sweep_withdrawals(ConfigSync *sync)
{
    ConfigWithdrawn *set = sync->config->withdrawn;
    ClockMs now = Clock_Now();
    int writes = 0;

    if (now < sync->next_sweep) {
        return TRUE;
    }
    while (sync->stored_prefix < sync->swept_count &&
           writes < MAX_SWEEP_WRITES) {
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
                _ConfigSync_AddWithdrawal(sync, &hash);
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

/* Finds the store version of the ticket in force; later tickets are new to
 * this host. */
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

/* Returns the ticket number in an object's name; 0 if the name has another
 * form. */
static int64_t
parse_ticket_number(const char *name)
{
    gint64 number;

    if (!g_str_has_prefix(name, TICKET_PREFIX) ||
        !g_ascii_string_to_signed(name + strlen(TICKET_PREFIX), 10, 1,
                                  TICKET_MAX_NUMBER, &number, NULL)) {
        return 0;
    }
    return number;
}

/* Applies the next ticket, given the value of its object. */
static gboolean
process_value(ConfigSync *sync, int64_t number, json_t *value)
{
    json_t *named;
    gboolean processed;

    if (json_integer_value(json_object_get(value, "ticket")) == number) {
        return _ConfigSync_ProcessTicket(sync, value);
    }
    /* The ticket is invalid because its value does not hold the number in the
     * object's name; it is still skipped, so that the next one can follow. */
    named = json_pack("{s:I}", "ticket", (json_int_t)number);
    processed = _ConfigSync_ProcessTicket(sync, named);
    json_decref(named);
    return processed;
}

/* Reads the next ticket by its name if a list lacks it. */
static gboolean
read_missing_ticket(ConfigSync *sync)
{
    int64_t number = Config_PeekVersion(sync->config) + 1;
    char *name = ticket_name(number);
    StoreObject object;
    gboolean processed = FALSE;

    if (get_object(sync, name, &object) == RESULT_OK) {
        processed = process_value(sync, number, object.value);
    }
    if (!processed) {
        Log_Event(LOG_TICKET_GAP, "object=%s", name);
    }
    StoreObject_Clear(&object);
    g_free(name);
    return processed;
}

/* Applies a listed ticket, after those before it that the list lacks. */
static gboolean
process_object(ConfigSync *sync, const StoreObject *object)
{
    int64_t number = parse_ticket_number(object->name);

    while (number > Config_PeekVersion(sync->config) + 1) {
        if (!read_missing_ticket(sync)) {
            return FALSE;
        }
    }
    if (number != Config_PeekVersion(sync->config) + 1) {
        return TRUE; /* an old ticket, or not a ticket */
    }
    return process_value(sync, number, object->value);
}

/* Reads and applies tickets; the store holds the first call up to wait_ms. */
static gboolean
read_tickets(ConfigSync *sync, int wait_ms)
{
    StoreList list;
    gboolean ok = TRUE;
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
        for (guint i = 0; ok && i < count; i++) {
            StoreObject *object = &g_array_index(list.objects, StoreObject, i);

            ok = process_object(sync, object);
            if (ok) {
                sync->tickets_after =
                    MAX(sync->tickets_after, object->version);
            }
        }
        if (list.version < sync->tickets_after) {
            /* A stale replica, or a store that was restored from an older
             * copy: the next write gets a version above this one. */
            sync->tickets_after = list.version;
            count = 0;
        }
        StoreList_Clear(&list);
        wait_ms = 0;
    } while (ok && count > 0 && !_ConfigSync_IsStopping(sync));
    return ok;
}

/* Content of `snapshot/newest`. */
typedef struct NewestSnapshot {
    gboolean answered;      /* the store answered */
    json_t *value;          /* NULL = no valid object */
    int64_t object_version; /* store version of the object */
    const char *id;
    int64_t ticket;
    int64_t ticket_version; /* store version of the ticket's object */
    json_t *parts;          /* store versions of the snapshot's parts */
    int64_t old_ticket;     /* ticket of the previous snapshot, 0 = none */
    json_t *old_parts;      /* store versions of its parts */
} NewestSnapshot;

static void
clear_newest(NewestSnapshot *newest)
{
    json_decref(newest->value);
    newest->value = NULL;
}

/* Reads `snapshot/newest`. Returns FALSE if the store failed or the object is
 * invalid. */
static gboolean
get_newest(ConfigSync *sync, NewestSnapshot *newest)
{
    StoreObject object;
    Result result = get_object(sync, NEWEST_SNAPSHOT, &object);
    json_int_t ticket = 0;
    json_int_t version = 0;
    json_int_t old_ticket = 0;
    gboolean valid;

    *newest = (NewestSnapshot){
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

/* Reads the sets of one part; NULL if the part is not of this snapshot. */
static json_t *
get_part(ConfigSync *sync, const NewestSnapshot *newest, uint32_t part)
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
load_snapshot(ConfigSync *sync, const NewestSnapshot *newest)
{
    uint32_t parts = (uint32_t)json_array_size(newest->parts);
    ConfigDraft draft;
    gboolean draft_open = FALSE;
    gboolean ok = TRUE;

    for (uint32_t part = 0; ok && part < parts; part++) {
        json_t *sets = get_part(sync, newest, part);

        ok = sets != NULL && !_ConfigSync_IsStopping(sync) &&
             _ConfigSync_ApplyPart(sync, &draft, &draft_open, newest->ticket,
                                   part, parts, sets);
        json_decref(sets);
    }
    if (draft_open) {
        _Config_AbortDraft(&draft);
    }
    return ok;
}

gboolean
_ConfigSync_LoadFromStore(ConfigSync *sync)
{
    NewestSnapshot newest;
    gboolean answered;

    if (get_newest(sync, &newest) &&
        newest.ticket > Config_PeekVersion(sync->config) &&
        load_snapshot(sync, &newest)) {
        sync->tickets_after = newest.ticket_version;
    }
    answered = newest.answered;
    clear_newest(&newest);
    /* Without a usable snapshot, this reads all tickets from the first one. */
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

/* Writes all parts of the pinned table. Returns the list of their store
 * versions, NULL if a write failed. Reads tickets between the parts, because
 * writing a large table takes seconds. */
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

/* Publishes the complete snapshot as the newest one, unless the store has a
 * newer one, and deletes the snapshot before the previous one. */
static gboolean
publish_snapshot(ConfigSync *sync, int64_t ticket, json_t *parts,
                 const char *id)
{
    char *name = ticket_name(ticket);
    StoreObject object;
    NewestSnapshot newest = {0};
    gboolean ok = get_object(sync, name, &object) == RESULT_OK &&
                  get_newest(sync, &newest) && newest.ticket < ticket;
    json_t *value;

    if (ok) {
        value =
            json_pack("{s:s,s:I,s:I,s:O,s:I,s:o}", "id", id, "ticket",
                      (json_int_t)ticket, "ticket_version",
                      (json_int_t)object.version, "parts", parts, "old_ticket",
                      (json_int_t)newest.ticket, "old_parts",
                      newest.value ? json_incref(newest.parts) : json_array());
        ok = Store_Put(sync->store, NEWEST_SNAPSHOT, newest.object_version,
                       value, NULL, NULL) == RESULT_OK;
        json_decref(value);
        if (ok) {
            delete_snapshot(sync, newest.old_ticket, newest.old_parts);
        }
    }
    clear_newest(&newest);
    StoreObject_Clear(&object);
    g_free(name);
    return ok;
}

/* Writes a snapshot of the table that is pinned for peers. If that table is
 * older than the target, first pins the table in force instead; a peer that
 * was fetching the older one has to start again. */
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
        _ConfigSync_UnpinServed(sync, TRUE);
    }
    pthread_mutex_lock(&sync->served_lock);
    _ConfigSync_PinServed(sync);
    table = sync->served;
    parts = sync->served_parts;
    pthread_mutex_unlock(&sync->served_lock);
    if (table == NULL) {
        return;
    }
    /* Only this thread unpins, so the table stays valid. */
    versions = write_parts(sync, table, parts, id);
    if (versions != NULL &&
        publish_snapshot(sync, table->version, versions, id)) {
        Counter_Add(COUNTER_CONFIG_SNAPSHOTS_WRITTEN, 1);
        Log_Event(LOG_SNAPSHOT_WRITTEN, "ticket=%" G_GINT64_FORMAT " parts=%u",
                  table->version, parts);
    }
    json_decref(versions);
}

/* Writes a snapshot if this watcher wins the claim for the latest multiple of
 * snapshot_every; one watcher in the fleet wins each. If it fails before it
 * has finished, this snapshot is skipped; the next one follows snapshot_every
 * tickets later. */
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
