#include "roster/roster_entry.h"

#include <string.h>

#include "http/http_message.h"

/* Maximum number of slots in an entry. */
#define MAX_SLOTS 100000

json_t *
RosterEntry_Encode(const RosterEntry *entry)
{
    char peer[32];

    HttpAddress_Format(&entry->peer, peer, sizeof(peer));
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b}",
                     "instance", entry->instance, "service", entry->service,
                     "dc", entry->data_centre, "region", entry->region, "peer",
                     peer, "rpc", (int)entry->rpc_port, "mirror",
                     (int)entry->mirror_port, "slots", (int)entry->slots,
                     "leaving", entry->leaving);
}

static gboolean
copy_name(char *to, const char *from)
{
    return from[0] != '\0' &&
           g_strlcpy(to, from, ROSTER_NAME_BYTES) < ROSTER_NAME_BYTES;
}

gboolean
RosterEntry_Decode(const char *host, const json_t *value, RosterEntry *entry)
{
    const char *instance;
    const char *service;
    const char *data_centre;
    const char *region;
    const char *peer;
    json_int_t rpc_port;
    json_int_t mirror_port;
    json_int_t slots;
    int leaving;

    *entry = (RosterEntry){0};
    if (value == NULL ||
        json_unpack(
            (json_t *)value, "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:b}",
            "instance", &instance, "service", &service, "dc", &data_centre,
            "region", &region, "peer", &peer, "rpc", &rpc_port, "mirror",
            &mirror_port, "slots", &slots, "leaving", &leaving) != 0) {
        return FALSE;
    }
    entry->rpc_port = (uint16_t)rpc_port;
    entry->mirror_port = (uint16_t)mirror_port;
    entry->slots = (uint32_t)slots;
    entry->leaving = leaving != 0;
    return rpc_port >= 0 && rpc_port <= UINT16_MAX && mirror_port >= 0 &&
           mirror_port <= UINT16_MAX && slots > 0 && slots <= MAX_SLOTS &&
           copy_name(entry->host, host) &&
           copy_name(entry->instance, instance) &&
           copy_name(entry->service, service) &&
           copy_name(entry->data_centre, data_centre) &&
           copy_name(entry->region, region) &&
           HttpAddress_Parse(peer, &entry->peer) && entry->peer.sin_port != 0;
}
