/* RosterEntry: description of a backend server that its host's daemon
 * publishes in the store.
 *
 * Use: RosterEntry_Encode() for the value of the daemon's own object,
 * RosterEntry_Decode() for the values of other daemons.
 *
 * Errors: RosterEntry_Decode() returns FALSE if a field is missing or
 * malformed; the entry must not be used.
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
    char host[ROSTER_NAME_BYTES]; /* name of the object; not in the value */
    char instance[ROSTER_NAME_BYTES];
    char service[ROSTER_NAME_BYTES];
    char data_centre[ROSTER_NAME_BYTES];
    char region[ROSTER_NAME_BYTES];
    struct sockaddr_in peer; /* address for requests of other daemons */
    uint16_t rpc_port;
    uint16_t mirror_port; /* 0: no mirror service */
    uint32_t slots;
    gboolean leaving; /* accepts no new requests */
} RosterEntry;

json_t *RosterEntry_Encode(const RosterEntry *entry);
gboolean RosterEntry_Decode(const char *host, const json_t *value,
                            RosterEntry *entry);

#endif
