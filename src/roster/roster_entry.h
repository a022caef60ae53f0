/* RosterEntry: what a daemon publishes of the backend server on its host.
 *
 * Use: RosterEntry_Encode() for the value of the daemon's object in the store,
 * RosterEntry_Decode() for the values of others. A value with a missing or
 * malformed field is refused whole.
 *
 * Limits: names up to 63 bytes.
 */
#ifndef ROSTER_ROSTER_ENTRY_H
#define ROSTER_ROSTER_ENTRY_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdint.h>

#define ROSTER_NAME_BYTES 64

typedef struct RosterEntry {
    char host[ROSTER_NAME_BYTES]; /* name of the object, not in the value */
    char instance[ROSTER_NAME_BYTES];
    char service[ROSTER_NAME_BYTES];
    char data_centre[ROSTER_NAME_BYTES];
    char region[ROSTER_NAME_BYTES];
    struct sockaddr_in peer; /* where other daemons send requests */
    uint16_t rpc_port;
    uint16_t mirror_port; /* 0: mirrors nothing */
    uint32_t slots;
    gboolean leaving; /* takes no new work */
} RosterEntry;

json_t *RosterEntry_Encode(const RosterEntry *entry);
gboolean RosterEntry_Decode(const char *host, const json_t *value,
                            RosterEntry *entry);

#endif
