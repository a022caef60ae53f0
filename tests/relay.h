/* Relay: a TCP forwarder on loopback that a test can make fail.
 *
 * Use:
 *  1. Relay_Create(). The client connects to Relay_Port().
 *  2. Relay_SetTarget() with the port of the server.
 *  3. Relay_Break() keeps the present connections open, but discards the
 *     bytes that arrive on them.
 *  4. Relay_Destroy().
 */
#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include <glib.h>

typedef struct Relay Relay;

typedef enum RelayBreak {
    RELAY_FORWARD, /* discard bytes to the target */
    RELAY_BACK,    /* discard bytes from the target */
    RELAY_BOTH
} RelayBreak;

Relay *Relay_Create(void);
int Relay_Port(const Relay *relay);
void Relay_SetTarget(Relay *relay, int port);

/* Breaks the connections that are open now, not those opened later. Returns
 * their number. */
int Relay_Break(Relay *relay, RelayBreak kind);

/* Breaks all connections, including those opened later, until it is called
 * with FALSE. */
void Relay_BreakAll(Relay *relay, gboolean broken);

/* Limits what each connection gets from the target, in bytes a second; 0: no
 * limit. */
void Relay_SetRate(Relay *relay, int bytes_per_s);

/* Limits what all connections together get, in equal parts; 0: no limit. */
void Relay_SetTotalRate(Relay *relay, int bytes_per_s);

/* Ends each connection that has got so many bytes from the target; 0: none. */
void Relay_EndAfter(Relay *relay, int bytes);
void Relay_Destroy(Relay *relay);

#endif
