/* Bundles: tickets, snapshot parts and withdrawals that a daemon sends to a
 * peer on request. */
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "config/config_sync_private.h"

#define WITHDRAWN_MAX_MISSING 64
#define MAX_WITHDRAWN_PER_BUNDLE 8000
#define MAX_TICKETS_BYTES 1000000
#define SERVED_IDLE_TIMEOUT_MS 30000
#define SERVED_MAX_AGE_MS 300000
#define MAX_ROUNDS 20000

char *
ConfigSync_FormatRequest(const ConfigSyncRequest *request)
{
    return g_strdup_printf(
        "version=%" G_GINT64_FORMAT "&withdrawals=%016" G_GINT64_MODIFIER
        "x&snapshot=%" G_GINT64_FORMAT
        "&part=%u&withdrawn_from=%u&versions_only=%d&accept_snapshot=%d",
        request->version, request->withdrawals, request->snapshot,
        request->part, request->withdrawn_from, request->versions_only ? 1 : 0,
        request->accept_snapshot ? 1 : 0);
}

static gboolean
parse_small_field(const char *name, uint32_t number,
                  ConfigSyncRequest *request)
{
    if (strcmp(name, "part") == 0) {
        request->part = number;
    }
    else if (strcmp(name, "withdrawn_from") == 0) {
        request->withdrawn_from = number;
    }
    else if (strcmp(name, "versions_only") == 0) {
        request->versions_only = number != 0;
    }
    else if (strcmp(name, "accept_snapshot") == 0) {
        request->accept_snapshot = number != 0;
    }
    else {
        return FALSE;
    }
    return TRUE;
}

static gboolean
parse_field(const char *name, const char *value, ConfigSyncRequest *request)
{
    guint64 number;
    guint base = strcmp(name, "withdrawals") == 0 ? 16 : 10;

    if (!g_ascii_string_to_unsigned(value, base, 0, G_MAXUINT64, &number,
                                    NULL)) {
        return FALSE;
    }
    if (base == 16) {
        request->withdrawals = number;
        return TRUE;
    }
    if (number > G_MAXINT64) {
        return FALSE;
    }
    if (strcmp(name, "version") == 0) {
        request->version = (int64_t)number;
        return TRUE;
    }
    if (strcmp(name, "snapshot") == 0) {
        request->snapshot = (int64_t)number;
        return TRUE;
    }
    return number <= G_MAXUINT32 &&
           parse_small_field(name, (uint32_t)number, request);
}

gboolean
ConfigSync_ParseRequest(const char *text, ConfigSyncRequest *request)
{
    char **fields = g_strsplit(text, "&", 16);
    gboolean valid = TRUE;

    *request = (ConfigSyncRequest){0};
    for (int i = 0; valid && fields[i] != NULL; i++) {
        char *equals = strchr(fields[i], '=');

        valid = equals != NULL;
        if (valid) {
            *equals = '\0';
            valid = parse_field(fields[i], equals + 1, request);
        }
    }
    g_strfreev(fields);
    return valid;
}

void
_ConfigSync_PinServed(ConfigSync *sync)
{
    ClockMs now = Clock_Now();

    if (sync->served == NULL) {
        sync->served = _Config_Pin(sync->config);
        if (sync->served == NULL) {
            return;
        }
        sync->served_parts =
            _Config_PartCount(sync->served, CONFIG_SYNC_PART_BYTES);
        sync->served_since = now;
    }
    sync->served_used = now;
}

void
_ConfigSync_UnpinServed(ConfigSync *sync, gboolean immediately)
{
    ClockMs now = Clock_Now();
    gboolean unpin;

    pthread_mutex_lock(&sync->served_lock);
    unpin = sync->served != NULL &&
            (immediately || now - sync->served_used > SERVED_IDLE_TIMEOUT_MS ||
             now - sync->served_since > SERVED_MAX_AGE_MS);
    if (unpin) {
        sync->served = NULL;
        _Config_Unpin(sync->config);
    }
    pthread_mutex_unlock(&sync->served_lock);
}

static void
append_withdrawn(ConfigSync *sync, const ConfigSyncRequest *request,
                 GString *out)
{
    ConfigWithdrawn *set = sync->config->withdrawn;
    int64_t position = ConfigWithdrawn_Compare(set, request->withdrawals,
                                               WITHDRAWN_MAX_MISSING);
    uint32_t count = ConfigWithdrawn_GetCount(set);
    uint32_t from =
        position >= 0 ? (uint32_t)position : request->withdrawn_from;
    uint32_t end =
        from < count ? MIN(count, from + MAX_WITHDRAWN_PER_BUNDLE) : 0;
    char hex[65];

    g_string_append(out, ",\"withdrawn\":[");
    for (uint32_t i = from; i < end; i++) {
        Config_HashToHex(ConfigWithdrawn_At(set, i), hex);
        g_string_append_printf(out, "%s\"%s\"", i > from ? "," : "", hex);
    }
    g_string_append_c(out, ']');
    if (position < 0 && end > from && end < count) {
        g_string_append_printf(out, ",\"withdrawn_next\":%u", end);
    }
}

/* Appends the cached tickets after the requester's version. Returns FALSE if
 * the next ticket is not cached. */
static gboolean
append_tickets(ConfigSync *sync, int64_t version, GString *out)
{
    gsize start;
    gboolean found = FALSE;

    g_string_append(out, ",\"tickets\":[");
    start = out->len;
    pthread_mutex_lock(&sync->lock);
    for (GList *at = sync->recent.head; at != NULL; at = at->next) {
        const ConfigSyncTicket *ticket = at->data;

        if (ticket->number == version + 1 &&
            (!found ||
             out->len - start + ticket->length < MAX_TICKETS_BYTES)) {
            g_string_append_printf(out, "%s%s", found ? "," : "",
                                   ticket->text);
            found = TRUE;
            version++;
        }
    }
    pthread_mutex_unlock(&sync->lock);
    g_string_append_c(out, ']');
    return found;
}

/* Appends a part of the pinned table: the requested part, or the first one if
 * the requester's snapshot is no longer pinned. */
static void
append_part(ConfigSync *sync, const ConfigSyncRequest *request, GString *out)
{
    uint32_t part = 0;
    GString *sets;

    pthread_mutex_lock(&sync->served_lock);
    _ConfigSync_PinServed(sync);
    if (sync->served != NULL && sync->served->version > request->version) {
        if (sync->served->version == request->snapshot &&
            request->part < sync->served_parts) {
            part = request->part;
        }
        sets = _Config_DumpPart(sync->served, part, sync->served_parts);
        g_string_append_printf(out,
                               ",\"snapshot\":{\"ticket\":%" G_GINT64_FORMAT
                               ",\"part\":%u,\"parts\":%u,\"sets\":%s}",
                               sync->served->version, part, sync->served_parts,
                               sets->str);
        g_string_free(sets, TRUE);
    }
    pthread_mutex_unlock(&sync->served_lock);
}

GBytes *
ConfigSync_CreateBundle(ConfigSync *sync, const ConfigSyncRequest *request)
{
    int64_t version = Config_PeekVersion(sync->config);
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "{\"version\":%" G_GINT64_FORMAT
                    ",\"withdrawals\":\"%016" G_GINT64_MODIFIER
                    "x\",\"contact_age_ms\":%" G_GINT64_FORMAT,
                    version, Config_GetWithdrawalsDigest(sync->config),
                    ConfigSync_ContactAgeMs(sync));
    if (!request->versions_only) {
        append_withdrawn(sync, request, out);
        if (request->snapshot > 0 ||
            (request->version < version &&
             !append_tickets(sync, request->version, out) &&
             request->accept_snapshot)) {
            append_part(sync, request, out);
        }
    }
    g_string_append_c(out, '}');
    Counter_Add(COUNTER_CONFIG_BUNDLES_SENT, 1);
    Counter_Add(COUNTER_CONFIG_BUNDLE_BYTES, out->len);
    return g_string_free_to_bytes(out);
}

/* Fetches a bundle and parses its outer form. Returns NULL if the peer did not
 * answer or the bundle is malformed. */
static json_t *
fetch(ConfigSync *sync, uint64_t peer, const ConfigSyncRequest *request,
      int64_t *version)
{
    GBytes *bytes;
    json_t *json;
    json_int_t found = 0;
    json_int_t age = -1;
    gsize length;
    const void *data;

    if (sync->desc.fetch == NULL) {
        return NULL;
    }
    bytes = sync->desc.fetch(sync->desc.context, peer, request, NULL);
    if (bytes == NULL) {
        return NULL;
    }
    Counter_Add(COUNTER_CONFIG_BUNDLES_FETCHED, 1);
    data = g_bytes_get_data(bytes, &length);
    json = length <= CONFIG_SYNC_BUNDLE_BYTES
               ? json_loadb(data, length, JSON_REJECT_DUPLICATES, NULL)
               : NULL;
    g_bytes_unref(bytes);
    if (json == NULL || json_unpack(json, "{s:I,s:I}", "version", &found,
                                    "contact_age_ms", &age) != 0) {
        Counter_Add(COUNTER_CONFIG_BUNDLES_REFUSED, 1);
        Log_Event(LOG_BUNDLE_REJECTED, "peer=%016" G_GINT64_MODIFIER "x",
                  peer);
        json_decref(json);
        return NULL;
    }
    if (age >= 0) {
        _ConfigSync_RecordContact(sync, age);
    }
    *version = found;
    return json;
}

int64_t
_ConfigSync_QueryVersion(ConfigSync *sync, uint64_t peer)
{
    ConfigSyncRequest request = {.versions_only = TRUE};
    int64_t version = -1;

    json_decref(fetch(sync, peer, &request, &version));
    return version;
}

/* A pull in progress. */
typedef struct Pull {
    ConfigSyncRequest request;
    ConfigDraft draft;
    gboolean draft_open;    /* draft begun, not committed or aborted */
    gboolean made_progress; /* something new was applied */
} Pull;

/* Applies the withdrawals of a bundle. Returns TRUE if the peer has more to
 * send. */
static gboolean
apply_withdrawn(ConfigSync *sync, json_t *bundle, Pull *pull)
{
    json_t *list = json_object_get(bundle, "withdrawn");
    json_int_t next =
        json_integer_value(json_object_get(bundle, "withdrawn_next"));
    ConfigKeyHash hash;

    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *hex = json_string_value(json_array_get(list, i));

        if (hex != NULL && Config_HashFromHex(hex, &hash)) {
            pull->made_progress |= _ConfigSync_AddWithdrawal(sync, &hash);
        }
    }
    if (next > pull->request.withdrawn_from && next <= G_MAXUINT32) {
        pull->request.withdrawn_from = (uint32_t)next;
        return TRUE;
    }
    return FALSE;
}

static gboolean
apply_tickets(ConfigSync *sync, json_t *bundle, Pull *pull)
{
    json_t *list = json_object_get(bundle, "tickets");
    gboolean progress = FALSE;

    for (size_t i = 0; i < json_array_size(list); i++) {
        progress |= _ConfigSync_ProcessTicket(sync, json_array_get(list, i));
    }
    pull->made_progress |= progress;
    return progress;
}

/* Applies a part of a snapshot. Returns TRUE if another fetch is to follow:
 * for the next part, or after the last part for later tickets. */
static gboolean
apply_snapshot(ConfigSync *sync, json_t *snapshot, Pull *pull)
{
    ConfigSyncRequest *request = &pull->request;
    json_int_t ticket;
    json_int_t part;
    json_int_t parts;
    json_t *sets;

    if (json_unpack(snapshot, "{s:I,s:I,s:I,s:o}", "ticket", &ticket, "part",
                    &part, "parts", &parts, "sets", &sets) != 0 ||
        ticket > TICKET_MAX_NUMBER || part < 0 || part >= parts ||
        parts > CONFIG_SYNC_MAX_PARTS) {
        return FALSE;
    }
    if (pull->draft_open &&
        (ticket != request->snapshot || part != request->part)) {
        /* The peer serves another snapshot now; continue only from the first
         * part of a newer one. */
        _Config_AbortDraft(&pull->draft);
        pull->draft_open = FALSE;
        if (part != 0 || ticket <= request->snapshot) {
            return FALSE;
        }
    }
    if (!_ConfigSync_ApplyPart(sync, &pull->draft, &pull->draft_open, ticket,
                               (uint32_t)part, (uint32_t)parts, sets)) {
        Log_Event(LOG_SNAPSHOT_REJECTED, "ticket=%" G_GINT64_FORMAT,
                  (gint64)ticket);
        return FALSE;
    }
    pull->made_progress |= part + 1 == parts;
    request->snapshot = part + 1 == parts ? 0 : ticket;
    request->part = part + 1 == parts ? 0 : (uint32_t)part + 1;
    return TRUE;
}

/* Fetches and applies one bundle. Returns TRUE if another fetch is to
 * follow. */
static gboolean
pull_once(ConfigSync *sync, uint64_t peer, Pull *pull)
{
    int64_t offered = 0;
    json_t *bundle;
    json_t *snapshot;
    gboolean more;

    pull->request.version = Config_PeekVersion(sync->config);
    pull->request.withdrawals = Config_GetWithdrawalsDigest(sync->config);
    bundle = fetch(sync, peer, &pull->request, &offered);
    if (bundle == NULL) {
        return FALSE;
    }
    more = apply_withdrawn(sync, bundle, pull);
    snapshot = json_object_get(bundle, "snapshot");
    if (snapshot != NULL) {
        more |= apply_snapshot(sync, snapshot, pull);
    }
    else if (!pull->draft_open) {
        more |= apply_tickets(sync, bundle, pull) &&
                Config_PeekVersion(sync->config) < offered;
    }
    else {
        more = FALSE; /* the peer no longer has the snapshot */
    }
    json_decref(bundle);
    return more;
}

gboolean
_ConfigSync_Pull(ConfigSync *sync, uint64_t peer, gboolean full_list)
{
    Pull pull = {.made_progress = FALSE};

    /* A host with a configuration accepts a snapshot only after a pull without
     * progress, because most peers cache the next tickets. */
    pull.request.accept_snapshot =
        sync->pull_failed || Config_PeekVersion(sync->config) == 0;
    pull.request.withdrawn_from = full_list ? 0 : G_MAXUINT32;
    for (int round = 0; round < MAX_ROUNDS; round++) {
        if (_ConfigSync_IsStopping(sync) || !pull_once(sync, peer, &pull)) {
            break;
        }
    }
    if (pull.draft_open) {
        _Config_AbortDraft(&pull.draft);
    }
    return pull.made_progress;
}
