#include "rpc/session.h"

#include <string.h>

#define INITIAL_WINDOW 2
#define MAX_WINDOW 256
/* A full window reuses a slot only at this age and grows otherwise, up to
 * MAX_WINDOW, so that the retransmission of a lost message is not refused as a
 * replay. */
#define MIN_SLOT_AGE_MS 5000
#define PEER_IDLE_MS 600000
#define MAX_REPLIES 2048 /* power of two */
#define MAX_REPLY_BYTES (512 * 1024)
#define NO_PEER UINT32_MAX

/* One accepted sequence number. */
typedef struct WindowSlot {
    uint64_t sequence;
    uint32_t accepted_s;
    uint32_t reply; /* number of the cached reply; 0: handler still runs */
} WindowSlot;

typedef struct RpcPeerState {
    uint64_t host;
    uint64_t incarnation;
    uint64_t floor; /* highest sequence number that is refused as too low */
    ClockMs last_received;
    WindowSlot *window;
    uint16_t window_size;
    uint16_t window_used;
} RpcPeerState;

typedef struct CachedReply {
    uint32_t number; /* 0: free */
    uint32_t length;
    Result result;
    unsigned char *bytes;
} CachedReply;

struct RpcSession {
    uint32_t max_peers;
    uint32_t peer_count;
    uint32_t index_mask;
    gboolean accept_old_sessions;
    uint32_t *index; /* hash table of positions in peers */
    CachedReply replies[MAX_REPLIES];
    uint64_t newest_reply; /* reply numbers; slots hold their lower 32 bits */
    uint64_t oldest_reply;
    size_t reply_bytes;
    size_t window_bytes;
    RpcPeerState peers[];
};

RpcSession *
RpcSession_Create(uint32_t max_peers, gboolean accept_old_sessions)
{
    RpcSession *session =
        g_malloc0(sizeof(RpcSession) + max_peers * sizeof(RpcPeerState));
    uint32_t slots = 16;

    while (slots < max_peers * 2) {
        slots *= 2;
    }
    session->max_peers = max_peers;
    session->accept_old_sessions = accept_old_sessions;
    session->index_mask = slots - 1;
    session->index = g_new(uint32_t, slots);
    memset(session->index, 0xff, slots * sizeof(uint32_t));
    session->oldest_reply = 1;
    return session;
}

void
RpcSession_Destroy(RpcSession *session)
{
    if (session == NULL) {
        return;
    }
    for (uint32_t i = 0; i < session->peer_count; i++) {
        g_free(session->peers[i].window);
    }
    for (uint32_t i = 0; i < MAX_REPLIES; i++) {
        g_free(session->replies[i].bytes);
    }
    g_free(session->index);
    g_free(session);
}

/* Returns the index slot of the host, or the free one in which it belongs. */
static uint32_t *
find_index_slot(const RpcSession *session, uint64_t host)
{
    uint32_t at = (uint32_t)host & session->index_mask;

    while (session->index[at] != NO_PEER &&
           session->peers[session->index[at]].host != host) {
        at = (at + 1) & session->index_mask;
    }
    return &session->index[at];
}

static RpcPeerState *
find_peer(const RpcSession *session, uint64_t host)
{
    uint32_t position = *find_index_slot(session, host);

    return position == NO_PEER ? NULL
                               : (RpcPeerState *)&session->peers[position];
}

/* Evicts the least recently active peer and returns its entry; NULL if all
 * peers were active within PEER_IDLE_MS. */
static RpcPeerState *
evict_peer(RpcSession *session, ClockMs now)
{
    RpcPeerState *oldest = NULL;

    for (uint32_t i = 0; i < session->peer_count; i++) {
        if (oldest == NULL ||
            session->peers[i].last_received < oldest->last_received) {
            oldest = &session->peers[i];
        }
    }
    if (oldest == NULL || now - oldest->last_received < PEER_IDLE_MS) {
        return NULL;
    }
    session->window_bytes -= oldest->window_size * sizeof(WindowSlot);
    g_free(oldest->window);
    *oldest = (RpcPeerState){.host = 0};
    return oldest;
}

static void
rebuild_index(RpcSession *session)
{
    memset(session->index, 0xff,
           ((size_t)session->index_mask + 1) * sizeof(uint32_t));
    for (uint32_t i = 0; i < session->peer_count; i++) {
        *find_index_slot(session, session->peers[i].host) = i;
    }
}

static RpcPeerState *
add_peer(RpcSession *session, ClockMs now, uint64_t host)
{
    RpcPeerState *peer;

    if (session->peer_count < session->max_peers) {
        peer = &session->peers[session->peer_count];
        peer->host = host;
        *find_index_slot(session, host) = session->peer_count++;
    }
    else {
        peer = evict_peer(session, now);
        if (peer == NULL) {
            return NULL;
        }
        peer->host = host;
        rebuild_index(session);
    }
    peer->last_received = now;
    return peer;
}

/* Returns NULL if the table is full. */
static RpcPeerState *
find_or_add_peer(RpcSession *session, ClockMs now, uint64_t host)
{
    uint32_t position = *find_index_slot(session, host);

    return position == NO_PEER ? add_peer(session, now, host)
                               : &session->peers[position];
}

static void
start_incarnation(RpcPeerState *peer, uint64_t incarnation)
{
    peer->incarnation = incarnation;
    peer->floor = 0;
    peer->window_used = 0;
}

static WindowSlot *
find_sequence(const RpcPeerState *peer, uint64_t sequence)
{
    for (int i = 0; i < peer->window_used; i++) {
        if (peer->window[i].sequence == sequence) {
            return &peer->window[i];
        }
    }
    return NULL;
}

static const CachedReply *
find_reply(const RpcSession *session, uint32_t number)
{
    const CachedReply *reply = &session->replies[number % MAX_REPLIES];

    return number != 0 && reply->number == number ? reply : NULL;
}

static void
grow_window(RpcSession *session, RpcPeerState *peer)
{
    uint16_t size =
        peer->window_size == 0 ? INITIAL_WINDOW : peer->window_size * 2;

    session->window_bytes += (size - peer->window_size) * sizeof(WindowSlot);
    peer->window = g_renew(WindowSlot, peer->window, size);
    peer->window_size = size;
}

/* Returns a slot for a new sequence number. If the window is full and does not
 * grow, the lowest sequence number is evicted and becomes the floor; NULL if
 * the new one is lower than that. */
static WindowSlot *
add_slot(RpcSession *session, RpcPeerState *peer, uint32_t accepted_s,
         uint64_t sequence)
{
    WindowSlot *lowest;

    if (peer->window_size == 0) {
        grow_window(session, peer);
    }
    lowest = &peer->window[0];
    for (int i = 1; i < peer->window_used; i++) {
        if (peer->window[i].sequence < lowest->sequence) {
            lowest = &peer->window[i];
        }
    }
    if (peer->window_used == peer->window_size &&
        peer->window_size < MAX_WINDOW &&
        accepted_s - lowest->accepted_s < MIN_SLOT_AGE_MS / 1000) {
        grow_window(session, peer);
        return &peer->window[peer->window_used++];
    }
    if (peer->window_used < peer->window_size) {
        return &peer->window[peer->window_used++];
    }
    if (sequence < lowest->sequence) {
        peer->floor = MAX(peer->floor, sequence);
        return NULL;
    }
    peer->floor = MAX(peer->floor, lowest->sequence);
    return lowest;
}

RpcAcceptance
RpcSession_Accept(RpcSession *session, ClockMs now, uint64_t sender,
                  uint64_t incarnation, uint64_t sequence, Result *result,
                  GByteArray *reply)
{
    RpcPeerState *peer = find_or_add_peer(session, now, sender);
    uint32_t accepted_s = (uint32_t)(now / 1000);
    const CachedReply *cached;
    WindowSlot *slot;

    if (peer == NULL) {
        *result = RESULT_FULL;
        return RPC_ACCEPT_REFUSE;
    }
    if (incarnation > peer->incarnation) {
        start_incarnation(peer, incarnation);
    }
    if (incarnation < peer->incarnation && !session->accept_old_sessions) {
        *result = RESULT_RPC_OLD_SESSION;
        return RPC_ACCEPT_REFUSE;
    }
    peer->last_received = now;
    slot = find_sequence(peer, sequence);
    if (slot != NULL) {
        cached = find_reply(session, slot->reply);
        if (cached != NULL) {
            *result = cached->result;
            g_byte_array_append(reply, cached->bytes, cached->length);
            return RPC_ACCEPT_DUPLICATE;
        }
        *result = RESULT_RPC_REPLAYED;
        return slot->reply == 0 ? RPC_ACCEPT_RUNNING : RPC_ACCEPT_REFUSE;
    }
    if (sequence <= peer->floor) {
        *result = RESULT_RPC_REPLAYED;
        return RPC_ACCEPT_REFUSE;
    }
    slot = add_slot(session, peer, accepted_s, sequence);
    if (slot == NULL) {
        *result = RESULT_RPC_REPLAYED;
        return RPC_ACCEPT_REFUSE;
    }
    *slot = (WindowSlot){.sequence = sequence, .accepted_s = accepted_s};
    return RPC_ACCEPT_RUN;
}

static void
drop_oldest_reply(RpcSession *session)
{
    CachedReply *reply =
        &session->replies[session->oldest_reply % MAX_REPLIES];

    session->reply_bytes -= reply->length;
    g_free(reply->bytes);
    *reply = (CachedReply){.number = 0};
    session->oldest_reply++;
}

void
RpcSession_Store(RpcSession *session, uint64_t sender, uint64_t incarnation,
                 uint64_t sequence, Result result, const GByteArray *reply)
{
    RpcPeerState *peer = find_peer(session, sender);
    WindowSlot *slot = peer == NULL ? NULL : find_sequence(peer, sequence);
    CachedReply *cached;

    if (slot == NULL || peer->incarnation != incarnation) {
        return;
    }
    while (session->newest_reply + 1 - session->oldest_reply >= MAX_REPLIES ||
           (session->reply_bytes + reply->len > MAX_REPLY_BYTES &&
            session->oldest_reply <= session->newest_reply)) {
        drop_oldest_reply(session);
    }
    session->newest_reply++;
    if ((uint32_t)session->newest_reply == 0) {
        session->newest_reply++;
    }
    slot->reply = (uint32_t)session->newest_reply;
    cached = &session->replies[slot->reply % MAX_REPLIES];
    *cached = (CachedReply){
        .number = slot->reply, .length = reply->len, .result = result};
    cached->bytes = g_memdup2(reply->data, reply->len);
    session->reply_bytes += reply->len;
}

gboolean
RpcSession_RecordIncarnation(RpcSession *session, ClockMs now, uint64_t host,
                             uint64_t incarnation)
{
    RpcPeerState *peer = find_or_add_peer(session, now, host);

    if (peer == NULL) {
        return TRUE;
    }
    if (incarnation > peer->incarnation) {
        start_incarnation(peer, incarnation);
    }
    return incarnation >= peer->incarnation || session->accept_old_sessions;
}

uint64_t
RpcSession_GetIncarnation(const RpcSession *session, uint64_t host)
{
    const RpcPeerState *peer = find_peer(session, host);

    return peer == NULL ? 0 : peer->incarnation;
}

size_t
RpcSession_GetBytes(const RpcSession *session)
{
    return sizeof(*session) + session->max_peers * sizeof(RpcPeerState) +
           ((size_t)session->index_mask + 1) * sizeof(uint32_t) +
           session->window_bytes + session->reply_bytes;
}
