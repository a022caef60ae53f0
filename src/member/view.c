/* View for readers, published by RCU.
 *
 * The host index and the service index are hash tables whose cells are
 * replaced one at a time; the lists and the arrays of services are replaced
 * as a whole. A publication rebuilds the services and the lists that contain a
 * changed host. Memory that readers may still use is freed by call_rcu().
 *
 * Pointers are published by release stores, so that the thread sanitizer
 * recognises the ordering.
 */
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "member/table.h"

#define PUBLISH_INTERVAL_MS 50
/* A longer array of changes, as after a join, is freed after publication. */
#define MAX_KEPT_CHANGES 4096
#define LIST_COUNT (1 + MEMBER_MAX_REGIONS + MEMBER_MAX_DATA_CENTRES)

/* The thread sanitizer does not see the ordering that liburcu guarantees
 * between call_rcu() and its callback. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address); /* NOLINT */
void __tsan_release(void *address); /* NOLINT */
#define ORDER_AFTER(address) __tsan_acquire(address)
#define ORDER_BEFORE(address) __tsan_release(address)
#else
#define ORDER_AFTER(address) (void)(address)
#define ORDER_BEFORE(address) (void)(address)
#endif

/* Hash table of pointers to structs whose first field is their id. */
typedef struct Cells {
    uint32_t mask;
    uint32_t used; /* number of cells that were ever filled */
    void *cells[];
} Cells;

/* Pointers that are freed when no reader can hold them any more. */
typedef struct Garbage {
    struct rcu_head head;
    uint32_t count;
    void *pointers[];
} Garbage;

/* One backend server that was added or removed with a changed host. */
typedef struct Change {
    uint64_t service;
    uint64_t host;
    const MemberHost *record; /* NULL = removed */
    uint32_t position;
} Change;

struct MemberView {
    Cells *hosts;
    Cells *services;
    MemberHostList *lists[LIST_COUNT];
    MemberHost **published; /* published records by slot */
    gboolean is_list_dirty[LIST_COUNT];
    GPtrArray *garbage;
    GArray *changes;
    ClockMs last;
    uint32_t max_services;
    uint32_t max_hosts;
    size_t bytes; /* memory of lists and services */
};

/* Marks the cell of a host that was removed from the table. */
static const uint64_t deleted_id;

static const MemberHostList empty_list;

static void *
load(void *const *cell)
{
    return __atomic_load_n(cell, __ATOMIC_ACQUIRE);
}

static void
publish(void **cell, void *pointer)
{
    __atomic_store_n(cell, pointer, __ATOMIC_RELEASE);
}

static Cells *
create_cells(uint32_t count)
{
    uint32_t capacity = 16;
    Cells *cells;

    while (capacity < count * 2) {
        capacity *= 2;
    }
    cells = g_malloc0(sizeof(Cells) + capacity * sizeof(void *));
    cells->mask = capacity - 1;
    return cells;
}

/* Returns the cell with the id. If there is none, returns NULL and sets *free
 * to the cell to fill. */
static void **
find_cell(Cells *cells, uint64_t id, void ***free)
{
    uint32_t at = (uint32_t)(id ^ id >> 32) & cells->mask;
    void *found;

    *free = NULL;
    while ((found = load(&cells->cells[at])) != NULL) {
        if (found == (const void *)&deleted_id) {
            *free = *free == NULL ? &cells->cells[at] : *free;
        }
        else if (*(const uint64_t *)found == id) {
            return &cells->cells[at];
        }
        at = (at + 1) & cells->mask;
    }
    *free = *free == NULL ? &cells->cells[at] : *free;
    return NULL;
}

static void *
find(const Cells *cells, uint64_t id)
{
    uint32_t at = (uint32_t)(id ^ id >> 32) & cells->mask;
    void *found;

    while ((found = load(&cells->cells[at])) != NULL) {
        if (*(const uint64_t *)found == id && id != 0) {
            return found;
        }
        at = (at + 1) & cells->mask;
    }
    return NULL;
}

const MemberService *
Member_FindService(const Member *member, uint64_t service)
{
    const Cells *cells = load((void *const *)&member->view->services);
    const MemberService *found = find(cells, service);

    return found != NULL && found->count > 0 ? found : NULL;
}

const MemberHost *
Member_FindHost(const Member *member, uint64_t host)
{
    const Cells *cells = load((void *const *)&member->view->hosts);

    return find(cells, host);
}

const MemberHostList *
Member_ListHosts(const Member *member, int region, int data_centre)
{
    const MemberHostList *list;
    int at = 0;

    if (data_centre != MEMBER_ANY) {
        at = data_centre < 0 || data_centre >= MEMBER_MAX_DATA_CENTRES
                 ? -1
                 : 1 + MEMBER_MAX_REGIONS + data_centre;
    }
    else if (region != MEMBER_ANY) {
        at = region < 0 || region >= MEMBER_MAX_REGIONS ? -1 : 1 + region;
    }
    if (at < 0) {
        return &empty_list;
    }
    list = load((void *const *)&member->view->lists[at]);
    return list != NULL ? list : &empty_list;
}

uint64_t
Member_RankWeight(uint64_t key, uint64_t host)
{
    return Rng_Mix(key, host);
}

uint32_t
Member_Rank(const MemberHostList *list, uint64_t key, const MemberHost **out,
            uint32_t n)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < list->count && n > 0; i++) {
        const MemberHost *host = list->hosts[i];
        uint64_t weight = Member_RankWeight(key, host->id);
        uint32_t at = count;

        while (at > 0 && Member_RankWeight(key, out[at - 1]->id) < weight) {
            at--;
        }
        if (at >= n) {
            continue;
        }
        count = MIN(count + 1, n);
        memmove(&out[at + 1], &out[at], (count - at - 1) * sizeof(void *));
        out[at] = host;
    }
    return count;
}

uint32_t
Member_RankOf(const MemberHostList *list, uint64_t key, uint64_t host)
{
    uint64_t weight = Member_RankWeight(key, host);
    gboolean is_found = FALSE;
    uint32_t before = 0;

    for (uint32_t i = 0; i < list->count; i++) {
        is_found = is_found || list->hosts[i]->id == host;
        before += Member_RankWeight(key, list->hosts[i]->id) > weight;
    }
    return is_found ? before : list->count;
}

MemberView *
MemberView_Create(uint32_t max_hosts, uint32_t max_services)
{
    MemberView *view = g_new0(MemberView, 1);

    view->hosts = create_cells(max_hosts);
    view->services = create_cells(max_services);
    view->published = g_new0(MemberHost *, max_hosts);
    view->garbage = g_ptr_array_new();
    view->changes = g_array_new(FALSE, FALSE, sizeof(Change));
    view->max_hosts = max_hosts;
    view->max_services = max_services;
    view->last = -PUBLISH_INTERVAL_MS;
    return view;
}

void
MemberView_Destroy(Member *member)
{
    MemberView *view = member->view;

    if (view == NULL) {
        return;
    }
    for (uint32_t i = 0; i <= view->services->mask; i++) {
        g_free(view->services->cells[i]);
    }
    for (int i = 0; i < LIST_COUNT; i++) {
        g_free(view->lists[i]);
    }
    for (uint32_t slot = 0; slot < view->max_hosts; slot++) {
        g_free(view->published[slot]);
    }
    g_free(view->hosts);
    g_free(view->services);
    g_free(view->published);
    g_ptr_array_free(view->garbage, TRUE);
    g_array_free(view->changes, TRUE);
    g_free(view);
    member->view = NULL;
}

gboolean
MemberView_IsPublished(const Member *member, uint32_t slot,
                       const MemberHost *host)
{
    return member->view != NULL && member->view->published[slot] == host;
}

size_t
MemberView_GetBytes(const MemberView *view)
{
    return sizeof(*view) + view->bytes + view->max_hosts * sizeof(void *) +
           ((size_t)view->hosts->mask + view->services->mask + 2) *
               sizeof(void *);
}

static void
discard(MemberView *view, void *pointer)
{
    if (pointer != NULL) {
        g_ptr_array_add(view->garbage, pointer);
    }
}

/* Named in a suppression for the thread sanitizer, which does not see the
 * ordering that liburcu guarantees between a reader and this function. */
static void
member_free_garbage(struct rcu_head *head)
{
    Garbage *garbage = (Garbage *)head;

    ORDER_AFTER(garbage);
    for (uint32_t i = 0; i < garbage->count; i++) {
        g_free(garbage->pointers[i]);
    }
    g_free(garbage);
}

static void
free_after_readers(MemberView *view)
{
    uint32_t count = view->garbage->len;
    Garbage *garbage;

    if (count == 0) {
        return;
    }
    garbage = g_malloc(sizeof(*garbage) + count * sizeof(void *));
    garbage->count = count;
    memcpy(garbage->pointers, view->garbage->pdata, count * sizeof(void *));
    g_ptr_array_free(view->garbage, TRUE);
    view->garbage = g_ptr_array_new();
    ORDER_BEFORE(garbage);
    call_rcu(&garbage->head, member_free_garbage);
}

/* Copies the cells into a new table, without deleted cells and without
 * services that no longer have backend servers. */
static void
rebuild_cells(MemberView *view, Cells **cells, uint32_t count,
              gboolean is_services)
{
    Cells *old = *cells;
    uint32_t live = 0;
    Cells *new;
    void **free;

    for (uint32_t i = 0; i <= old->mask; i++) {
        live += old->cells[i] != NULL &&
                old->cells[i] != (const void *)&deleted_id;
    }
    new = create_cells(MAX(count, live));
    for (uint32_t i = 0; i <= old->mask; i++) {
        void *found = old->cells[i];

        if (found == NULL || found == (const void *)&deleted_id) {
            continue;
        }
        if (is_services && ((MemberService *)found)->count == 0) {
            view->bytes -= sizeof(MemberService);
            discard(view, found);
            continue;
        }
        (void)find_cell(new, *(const uint64_t *)found, &free);
        *free = found;
        new->used++;
    }
    publish((void **)cells, new);
    discard(view, old);
}

static void
set_cell(MemberView *view, Cells **cells, uint32_t count, uint64_t id,
         void *pointer, gboolean is_services)
{
    void **free;
    void **cell = find_cell(*cells, id, &free);

    if (cell != NULL) {
        publish(cell, pointer);
        return;
    }
    if (*free == NULL) {
        if ((*cells)->used >= (*cells)->mask / 4 * 3) {
            rebuild_cells(view, cells, count, is_services);
            (void)find_cell(*cells, id, &free);
        }
        (*cells)->used++;
    }
    publish(free, pointer);
}

static void
index_host(MemberView *view, MemberHost *old, MemberHost *new)
{
    void **free;
    void **cell;

    if (new != NULL) {
        set_cell(view, &view->hosts, view->max_hosts, new->id, new, FALSE);
    }
    if (old != NULL && (new == NULL || new->id != old->id)) {
        cell = find_cell(view->hosts, old->id, &free);
        /* The host may have been added again in another slot. */
        if (cell != NULL && *cell == old) {
            publish(cell, (void *)&deleted_id);
        }
    }
}

static void
mark_lists(MemberView *view, const MemberHost *host)
{
    view->is_list_dirty[0] = TRUE;
    view->is_list_dirty[1 + host->region] = TRUE;
    view->is_list_dirty[1 + MEMBER_MAX_REGIONS + host->data_centre] = TRUE;
}

static void
add_changes(MemberView *view, const MemberHost *host, gboolean is_new)
{
    for (uint32_t i = 0; i < host->server_count; i++) {
        Change change = {.service = host->servers[i].service,
                         .host = host->id,
                         .record = is_new ? host : NULL,
                         .position = i};

        g_array_append_val(view->changes, change);
    }
    mark_lists(view, host);
}

static int
compare_changes(const void *left, const void *right)
{
    const Change *a = left;
    const Change *b = right;

    if (a->service != b->service) {
        return a->service < b->service ? -1 : 1;
    }
    if (a->host != b->host) {
        return a->host < b->host ? -1 : 1;
    }
    return (int)a->position - (int)b->position;
}

/* Replaces the array of one service. The changes and the old array are sorted
 * by host id. All old entries of a changed host are dropped. */
static void
rebuild_service(MemberView *view, const Change *changes, uint32_t count)
{
    uint64_t id = changes[0].service;
    MemberService *old = find(view->services, id);
    uint32_t old_count = old == NULL ? 0 : old->count;
    MemberService *new =
        g_malloc(sizeof(*new) + (old_count + count) * sizeof(MemberRef));
    uint32_t at = 0;

    *new = (MemberService){.id = id};
    for (uint32_t i = 0; i <= count; i++) {
        while (at < old_count &&
               (i == count || old->refs[at].host->id < changes[i].host)) {
            new->refs[new->count++] = old->refs[at++];
        }
        if (i == count) {
            break;
        }
        while (at < old_count && old->refs[at].host->id == changes[i].host) {
            at++;
        }
        if (changes[i].record != NULL) {
            new->refs[new->count++] = (MemberRef){
                .host = changes[i].record,
                .server = &changes[i].record->servers[changes[i].position]};
        }
    }
    new = g_realloc(new, sizeof(*new) + new->count * sizeof(MemberRef));
    view->bytes += sizeof(*new) + new->count * sizeof(MemberRef);
    view->bytes -=
        old == NULL ? 0 : sizeof(*old) + old->count * sizeof(MemberRef);
    set_cell(view, &view->services, view->max_services, id, new, TRUE);
    discard(view, old);
}

static void
rebuild_services(MemberView *view)
{
    const Change *changes = (const Change *)view->changes->data;
    uint32_t count = view->changes->len;
    uint32_t first = 0;

    if (count == 0) {
        return;
    }
    qsort(view->changes->data, count, sizeof(Change), compare_changes);
    for (uint32_t i = 1; i <= count; i++) {
        if (i == count || changes[i].service != changes[first].service) {
            rebuild_service(view, &changes[first], i - first);
            first = i;
        }
    }
    if (count > MAX_KEPT_CHANGES) {
        g_array_free(view->changes, TRUE);
        view->changes = g_array_new(FALSE, FALSE, sizeof(Change));
    }
    g_array_set_size(view->changes, 0);
}

static gboolean
is_in_list(const MemberHost *host, int list)
{
    return list == 0 || list == 1 + host->region ||
           list == 1 + MEMBER_MAX_REGIONS + host->data_centre;
}

static void
rebuild_list(const Member *member, MemberView *view, int list)
{
    MemberHostList *old = view->lists[list];
    MemberHostList *new;
    uint32_t count = 0;

    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        const MemberHost *host = member->slots[slot].host;

        count += host != NULL && is_in_list(host, list) &&
                 MemberTable_IsVisible(host);
    }
    new = g_malloc(sizeof(*new) + count * sizeof(void *));
    new->count = 0;
    for (uint32_t slot = 0; slot < member->slot_count; slot++) {
        const MemberHost *host = member->slots[slot].host;

        if (host != NULL && is_in_list(host, list) &&
            MemberTable_IsVisible(host)) {
            new->hosts[new->count++] = host;
        }
    }
    view->bytes += sizeof(*new) + count * sizeof(void *);
    view->bytes -=
        old == NULL ? 0 : sizeof(*old) + old->count * sizeof(void *);
    publish((void **)&view->lists[list], new);
    discard(view, old);
}

void
Member_PublishNow(Member *member, ClockMs now)
{
    MemberView *view = member->view;

    if (view == NULL || member->dirty_count == 0) {
        return;
    }
    view->last = now;
    for (uint32_t i = 0; i < member->dirty_count; i++) {
        uint32_t slot = member->dirty[i];
        MemberHost *old = view->published[slot];
        MemberHost *new = member->slots[slot].host;

        member->slots[slot].is_dirty = 0;
        if (old != NULL && MemberTable_IsVisible(old)) {
            add_changes(view, old, FALSE);
        }
        if (new != NULL && MemberTable_IsVisible(new)) {
            add_changes(view, new, TRUE);
        }
        index_host(view, old, new);
        view->published[slot] = new;
        if (old != NULL) {
            member->record_bytes -= MemberTable_HostBytes(old);
            discard(view, old);
        }
    }
    member->dirty_count = 0;
    rebuild_services(view);
    for (int list = 0; list < LIST_COUNT; list++) {
        if (view->is_list_dirty[list]) {
            view->is_list_dirty[list] = FALSE;
            rebuild_list(member, view, list);
        }
    }
    free_after_readers(view);
}

ClockMs
Member_Publish(Member *member, ClockMs now)
{
    if (member->view == NULL || member->dirty_count == 0) {
        return CLOCK_NEVER;
    }
    if (now < member->view->last + PUBLISH_INTERVAL_MS) {
        return member->view->last + PUBLISH_INTERVAL_MS;
    }
    Member_PublishNow(member, now);
    return CLOCK_NEVER;
}
