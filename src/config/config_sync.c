#include "config/config_sync.h"

#include <malloc.h>
#include <string.h>
#include <urcu.h>

#include "base/condition.h"
#include "base/counter.h"
#include "base/log.h"
#include "config/config_sync_private.h"
#include "config/ticket_check.h"

#define DEFAULT_WATCH_MS 2000
#define DEFAULT_SNAPSHOT_EVERY 100
#define DEFAULT_SWEEP_MS 10000
#define TICK_MS 1000
#define WATCHER_MAX_DELAY_MS 5000
#define LOAD_MAX_DELAY_MS 30000
#define STORE_MIN_DELAY_MS 100
#define MAX_START_PEERS 5
#define MAX_RECENT_TICKETS 100
#define MAX_RECENT_BYTES 1000000
/* Number of newest withdrawals that a peer may lack without a fetch of the
 * whole list. */
#define WITHDRAWN_MAX_MISSING 64
#define FULL_PULL_INTERVAL_MS 10000
/* Parsing a larger ticket leaves much freed memory in the heap, which is then
 * returned to the system. */
#define TRIM_MIN_BYTES 100000

ConfigSync *
ConfigSync_Create(const ConfigSync_desc *desc, GError **error)
{
    ConfigSync *sync = g_new0(ConfigSync, 1);
    Store_desc store_desc = {.addresses = desc->store_addresses,
                             .timeout_ms = desc->store_timeout_ms};

    if (desc->store_addresses != NULL) {
        sync->store = Store_Create(&store_desc, error);
        if (sync->store == NULL) {
            g_free(sync);
            return NULL;
        }
    }
    sync->desc = *desc;
    sync->config = desc->config;
    sync->host = g_strdup(desc->host != NULL ? desc->host : "");
    if (sync->desc.watch_ms <= 0) {
        sync->desc.watch_ms = DEFAULT_WATCH_MS;
    }
    if (sync->desc.snapshot_every <= 0) {
        sync->desc.snapshot_every = DEFAULT_SNAPSHOT_EVERY;
    }
    if (sync->desc.sweep_ms <= 0) {
        sync->desc.sweep_ms = DEFAULT_SWEEP_MS;
    }
    pthread_mutex_init(&sync->lock, NULL);
    pthread_mutex_init(&sync->served_lock, NULL);
    Condition_Init(&sync->wake);
    sync->contact = CONFIG_NO_CONTACT;
    sync->tickets_after = -1;
    sync->unwritten = g_array_new(FALSE, FALSE, sizeof(ConfigKeyHash));
    g_queue_init(&sync->recent);
    Rng_Seed(&sync->rng, Rng_ProcessSeed());
    return sync;
}

static void
free_ticket(void *pointer)
{
    ConfigSyncTicket *ticket = pointer;

    g_free(ticket->text);
    g_free(ticket);
}

void
ConfigSync_Destroy(ConfigSync *sync)
{
    if (sync == NULL) {
        return;
    }
    ConfigSync_Stop(sync);
    _ConfigSync_UnpinServed(sync, TRUE);
    Store_Destroy(sync->store);
    g_array_unref(sync->unwritten);
    g_queue_clear_full(&sync->recent, free_ticket);
    pthread_cond_destroy(&sync->wake);
    pthread_mutex_destroy(&sync->lock);
    pthread_mutex_destroy(&sync->served_lock);
    g_free(sync->host);
    g_free(sync);
}

gboolean
_ConfigSync_IsStopping(ConfigSync *sync)
{
    gboolean stopping;

    pthread_mutex_lock(&sync->lock);
    stopping = sync->stopping;
    pthread_mutex_unlock(&sync->lock);
    return stopping;
}

void
_ConfigSync_Notify(ConfigSync *sync)
{
    if (sync->desc.changed != NULL) {
        sync->desc.changed(sync->desc.context,
                           Config_PeekVersion(sync->config),
                           Config_GetWithdrawalsDigest(sync->config));
    }
}

void
_ConfigSync_RecordContact(ConfigSync *sync, int64_t age_ms)
{
    ClockMs contact = Clock_Now() - age_ms;

    pthread_mutex_lock(&sync->lock);
    sync->contact = MAX(sync->contact, contact);
    pthread_mutex_unlock(&sync->lock);
}

int64_t
ConfigSync_ContactAgeMs(ConfigSync *sync)
{
    int64_t age;

    pthread_mutex_lock(&sync->lock);
    age = sync->contact == CONFIG_NO_CONTACT
              ? -1
              : MAX(Clock_Now() - sync->contact, 0);
    pthread_mutex_unlock(&sync->lock);
    return age;
}

void
ConfigSync_HandlePeerVersion(ConfigSync *sync, uint64_t peer, int64_t version,
                             uint64_t withdrawals, int64_t contact_age_ms)
{
    ConfigWithdrawn *set = sync->config->withdrawn;
    ConfigSyncOffer offer = {peer, version, withdrawals};
    size_t index = 0;

    if (contact_age_ms >= 0) {
        _ConfigSync_RecordContact(sync, contact_age_ms);
    }
    /* A peer whose set is an earlier state of this host's set has nothing
     * new. */
    if (version <= Config_PeekVersion(sync->config) &&
        ConfigWithdrawn_Compare(set, withdrawals, WITHDRAWN_MAX_MISSING) >=
            0) {
        return;
    }
    pthread_mutex_lock(&sync->lock);
    while (index < sync->offer_count && sync->offers[index].peer != peer) {
        index++;
    }
    if (index == CONFIG_SYNC_MAX_OFFERS) {
        /* Replaces the offer with the lowest version. */
        index = 0;
        for (size_t i = 1; i < CONFIG_SYNC_MAX_OFFERS; i++) {
            if (sync->offers[i].version < sync->offers[index].version) {
                index = i;
            }
        }
    }
    else if (index == sync->offer_count) {
        sync->offer_count++;
    }
    sync->offers[index] = offer;
    pthread_cond_signal(&sync->wake);
    pthread_mutex_unlock(&sync->lock);
}

gboolean
_ConfigSync_AddWithdrawal(ConfigSync *sync, const ConfigKeyHash *hash)
{
    char hex[65];

    if (!Config_WithdrawKey(sync->config, hash)) {
        return FALSE;
    }
    Config_HashToHex(hash, hex);
    Log_Event(LOG_KEY_WITHDRAWAL, "key_hash=%s", hex);
    _ConfigSync_Notify(sync);
    return TRUE;
}

gboolean
ConfigSync_Withdraw(ConfigSync *sync, const ConfigKeyHash *hash,
                    gboolean write)
{
    gboolean added = _ConfigSync_AddWithdrawal(sync, hash);

    if (write) {
        pthread_mutex_lock(&sync->lock);
        g_array_append_val(sync->unwritten, *hash);
        pthread_cond_signal(&sync->wake);
        pthread_mutex_unlock(&sync->lock);
    }
    return added;
}

/* Caches the ticket's text for peers; evicts the oldest tickets over the
 * limits. */
static void
cache_ticket(ConfigSync *sync, int64_t number, json_t *value)
{
    ConfigSyncTicket *ticket = g_new(ConfigSyncTicket, 1);
    size_t length;

    ticket->number = number;
    ticket->text = json_dumps(value, JSON_COMPACT);
    length = strlen(ticket->text);
    ticket->length = length;
    pthread_mutex_lock(&sync->lock);
    g_queue_push_tail(&sync->recent, ticket);
    sync->recent_bytes += length;
    while (sync->recent.length > 1 &&
           (sync->recent.length > MAX_RECENT_TICKETS ||
            sync->recent_bytes > MAX_RECENT_BYTES)) {
        ticket = g_queue_pop_head(&sync->recent);
        sync->recent_bytes -= ticket->length;
        free_ticket(ticket);
    }
    pthread_mutex_unlock(&sync->lock);
    if (length > TRIM_MIN_BYTES) {
        malloc_trim(0);
    }
}

/* Skips an invalid ticket: the version becomes its number, and nothing else
 * changes. */
static gboolean
skip_ticket(ConfigSync *sync, int64_t number, const char *reason)
{
    ConfigDraft draft;

    _Config_BeginDraft(sync->config, &draft);
    if (draft.table->version + 1 != number) {
        _Config_AbortDraft(&draft);
        return FALSE;
    }
    _Config_CommitDraft(&draft, number);
    Counter_Add(COUNTER_CONFIG_TICKETS_REFUSED, 1);
    Log_Event(LOG_TICKET_REJECTED, "ticket=%" G_GINT64_FORMAT " reason=\"%s\"",
              number, reason);
    return TRUE;
}

static gboolean
apply_ticket(ConfigSync *sync, const Ticket *ticket)
{
    GError *error = NULL;
    gboolean applied = FALSE;
    Result result = Config_ApplyTicket(sync->config, ticket, &applied, &error);

    if (applied && result == RESULT_OK) {
        Counter_Add(COUNTER_CONFIG_TICKETS, 1);
        Log_Event(LOG_TICKET_IN_FORCE, "ticket=%" G_GINT64_FORMAT " who=%s",
                  Ticket_GetNumber(ticket), Ticket_GetWho(ticket));
    }
    else if (applied) {
        Counter_Add(COUNTER_CONFIG_TICKETS_REFUSED, 1);
        Log_Event(
            LOG_TICKET_REJECTED, "ticket=%" G_GINT64_FORMAT " reason=\"%s\"",
            Ticket_GetNumber(ticket), error != NULL ? error->message : "");
    }
    g_clear_error(&error);
    return applied;
}

gboolean
_ConfigSync_ProcessTicket(ConfigSync *sync, json_t *value)
{
    GPtrArray *problems = Ticket_CreateProblems();
    int64_t next = Config_PeekVersion(sync->config) + 1;
    int64_t number = json_integer_value(json_object_get(value, "ticket"));
    Ticket *ticket = NULL;
    gboolean processed = FALSE;
    char *reasons;

    if (number == next) {
        ticket = Ticket_FromJson(value, TICKET_FROM_STORE, problems);
        if (ticket != NULL) {
            processed = apply_ticket(sync, ticket);
        }
        else {
            reasons = g_strdelimit(Ticket_FormatProblems(problems), "\n", ';');
            processed = skip_ticket(sync, number, reasons);
            g_free(reasons);
        }
    }
    Ticket_Free(ticket);
    g_ptr_array_unref(problems);
    if (processed) {
        cache_ticket(sync, number, value);
        _ConfigSync_Notify(sync);
    }
    return processed;
}

gboolean
_ConfigSync_ApplyPart(ConfigSync *sync, ConfigDraft *draft,
                      gboolean *draft_open, int64_t number, uint32_t part,
                      uint32_t parts, json_t *sets)
{
    GPtrArray *problems = Ticket_CreateProblems();
    gboolean valid = _Ticket_CheckSets(sets, problems);

    g_ptr_array_unref(problems);
    if (part == 0 && !*draft_open) {
        _Config_BeginDraft(sync->config, draft);
        *draft_open = TRUE;
    }
    if (!*draft_open) {
        return FALSE;
    }
    if (!valid || number <= draft->table->version ||
        _Config_ApplyPart(draft, sets, part, parts, NULL) != RESULT_OK) {
        _Config_AbortDraft(draft);
        *draft_open = FALSE;
        return FALSE;
    }
    if (part + 1 == parts) {
        _Config_CommitDraft(draft, number);
        *draft_open = FALSE;
        malloc_trim(0);
        Counter_Add(COUNTER_CONFIG_SNAPSHOTS_LOADED, 1);
        Log_Event(LOG_SNAPSHOT_LOADED, "ticket=%" G_GINT64_FORMAT " parts=%u",
                  number, parts);
        _ConfigSync_Notify(sync);
    }
    return TRUE;
}

/* Removes the offer with the highest version from the list and returns it. */
static gboolean
pop_offer(ConfigSync *sync, ConfigSyncOffer *offer)
{
    gboolean found = FALSE;
    size_t best = 0;

    pthread_mutex_lock(&sync->lock);
    if (sync->offer_count > 0 && !sync->stopping) {
        for (size_t i = 1; i < sync->offer_count; i++) {
            if (sync->offers[i].version > sync->offers[best].version) {
                best = i;
            }
        }
        *offer = sync->offers[best];
        sync->offers[best] = sync->offers[--sync->offer_count];
        found = TRUE;
    }
    pthread_mutex_unlock(&sync->lock);
    return found;
}

/* Returns whether to fetch the whole list of withdrawals now. At most one
 * fetch in FULL_PULL_INTERVAL_MS, unless the set is empty: after new
 * withdrawals many pairs of hosts briefly hold sets that each lack something
 * of the other. */
static gboolean
needs_full_list(ConfigSync *sync)
{
    ClockMs now = Clock_Now();

    if (now < sync->next_full_pull &&
        ConfigWithdrawn_GetCount(sync->config->withdrawn) > 0) {
        return FALSE;
    }
    sync->next_full_pull = now + FULL_PULL_INTERVAL_MS;
    return TRUE;
}

static void
handle_offers(ConfigSync *sync)
{
    ConfigSyncOffer offer;

    while (pop_offer(sync, &offer)) {
        gboolean newer = offer.version > Config_PeekVersion(sync->config);
        gboolean differs =
            ConfigWithdrawn_Compare(sync->config->withdrawn, offer.withdrawals,
                                    WITHDRAWN_MAX_MISSING) < 0;

        if (newer || differs) {
            gboolean made_progress = _ConfigSync_Pull(
                sync, offer.peer, differs && needs_full_list(sync));

            sync->pull_failed = !made_progress && newer;
        }
        if (Config_PeekVersion(sync->config) > 0) {
            sync->loaded = TRUE;
            Config_SetLoaded(sync->config);
        }
    }
}

/* Queries several peers for their version and pulls from the peer with the
 * highest one, or on failure from the next lower ones. */
static gboolean
load_from_peers(ConfigSync *sync)
{
    uint64_t ids[MAX_START_PEERS];
    int64_t versions[MAX_START_PEERS];
    size_t count = 0;

    if (sync->desc.peers != NULL) {
        count = sync->desc.peers(sync->desc.context, ids, MAX_START_PEERS);
    }
    count = MIN(count, MAX_START_PEERS);
    for (size_t i = 0; i < count; i++) {
        versions[i] = _ConfigSync_QueryVersion(sync, ids[i]);
    }
    for (size_t attempt = 0; attempt < count; attempt++) {
        size_t best = 0;

        for (size_t i = 1; i < count; i++) {
            if (versions[i] > versions[best]) {
                best = i;
            }
        }
        if (versions[best] <= 0) {
            break;
        }
        versions[best] = 0;
        if (_ConfigSync_Pull(sync, ids[best], TRUE) &&
            Config_PeekVersion(sync->config) > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Delays the next call on the store. The delay is jittered, so that daemons
 * whose calls failed at the same time do not all retry at the same time. */
static void
delay_store(ConfigSync *sync, int max_ms)
{
    sync->store_delay_ms =
        CLAMP(sync->store_delay_ms * 2, STORE_MIN_DELAY_MS, max_ms);
    sync->next_store =
        Clock_Now() + sync->store_delay_ms / 2 +
        (ClockMs)Rng_Below(&sync->rng, (uint64_t)sync->store_delay_ms);
}

static void
load(ConfigSync *sync)
{
    if (sync->store != NULL && _ConfigSync_LoadFromStore(sync)) {
        sync->loaded = TRUE;
        Config_SetLoaded(sync->config);
        sync->store_delay_ms = 0;
        return;
    }
    if (load_from_peers(sync)) {
        sync->loaded = TRUE;
        Config_SetLoaded(sync->config);
        return;
    }
    Log_Event(LOG_CONFIG_MISSING, "version=%" G_GINT64_FORMAT,
              Config_PeekVersion(sync->config));
    delay_store(sync, LOAD_MAX_DELAY_MS);
}

static gboolean
has_unwritten(ConfigSync *sync)
{
    gboolean found;

    pthread_mutex_lock(&sync->lock);
    found = sync->unwritten->len > 0;
    pthread_mutex_unlock(&sync->lock);
    return found;
}

/* Runs one step of the thread. Returns TRUE if the next step follows without a
 * wait. */
static gboolean
run_step(ConfigSync *sync)
{
    gboolean watcher = sync->store != NULL && sync->desc.is_watcher != NULL &&
                       sync->desc.is_watcher(sync->desc.context);
    gboolean due = Clock_Now() >= sync->next_store;
    gboolean ok = TRUE;

    handle_offers(sync);
    _ConfigSync_UnpinServed(sync, FALSE);
    if (!sync->loaded) {
        if (due) {
            load(sync);
        }
        return sync->loaded;
    }
    if (sync->store == NULL || !due || (!watcher && !has_unwritten(sync))) {
        return FALSE;
    }
    ok = _ConfigSync_WriteQueue(sync);
    if (watcher) {
        ok = ok && _ConfigSync_Watch(sync, sync->desc.watch_ms);
    }
    if (ok) {
        sync->store_delay_ms = 0;
    }
    else {
        delay_store(sync, WATCHER_MAX_DELAY_MS);
    }
    return ok && watcher;
}

/* Waits for an offer, a withdrawal to write, the next call on the store or the
 * next tick. */
static void
wait_for_work(ConfigSync *sync)
{
    ClockMs now = Clock_Now();
    ClockMs delay = TICK_MS;

    if (sync->next_store > now) {
        delay = MIN(delay, sync->next_store - now);
    }
    pthread_mutex_lock(&sync->lock);
    if (!sync->stopping && sync->offer_count == 0 &&
        (sync->unwritten->len == 0 || sync->next_store > now)) {
        (void)Condition_Wait(&sync->wake, &sync->lock, delay);
    }
    pthread_mutex_unlock(&sync->lock);
}

static void *
run_sync(void *context)
{
    ConfigSync *sync = context;

    rcu_register_thread();
    while (!_ConfigSync_IsStopping(sync)) {
        if (!run_step(sync)) {
            wait_for_work(sync);
        }
    }
    rcu_unregister_thread();
    return NULL;
}

void
ConfigSync_Start(ConfigSync *sync)
{
    sync->stopping = FALSE;
    sync->started = pthread_create(&sync->thread, NULL, run_sync, sync) == 0;
}

void
ConfigSync_Stop(ConfigSync *sync)
{
    if (!sync->started) {
        return;
    }
    pthread_mutex_lock(&sync->lock);
    sync->stopping = TRUE;
    pthread_cond_signal(&sync->wake);
    pthread_mutex_unlock(&sync->lock);
    pthread_join(sync->thread, NULL);
    sync->started = FALSE;
}
