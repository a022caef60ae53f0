/* Relay: a TCP forwarder on loopback that a test can make fail.
 *
 * Use: Relay_Create(); give Relay_Port() to the one side; Relay_SetTarget()
 * with the port of the other; Relay_Break() to make the connections that are
 * open now go silent while they stay open; Relay_Destroy().
 */
#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include <glib.h>

typedef struct Relay Relay;

typedef enum RelayBreak {
    RELAY_FORWARD, /* bytes to the target are swallowed */
    RELAY_BACK,    /* bytes from the target are swallowed */
    RELAY_BOTH
} RelayBreak;

Relay *Relay_Create(void);
int Relay_Port(const Relay *relay);
void Relay_SetTarget(Relay *relay, int port);

/* Connections that are opened later are not broken. Returns how many are. */
int Relay_Break(Relay *relay, RelayBreak kind);

/* Breaks all connections, those opened later too, until FALSE. */
void Relay_BreakAll(Relay *relay, gboolean broken);
void Relay_Destroy(Relay *relay);

#endif
