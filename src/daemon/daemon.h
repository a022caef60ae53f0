/* Daemon: assembles all modules into one process.
 *
 * Use:
 *  1. Daemon_Create() with validated settings starts all modules.
 *  2. Daemon_Reload() applies the settings that can be changed at run time.
 *  3. Daemon_Stop() stops gracefully: it waits for requests in flight, hands
 *     over rate slots and the run table and announces that the host leaves.
 *  4. Daemon_Destroy().
 *
 * Errors: RESULT_IO when a port cannot be bound or a file cannot be read.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include <glib.h>

#include "settings/settings.h"

typedef struct Daemon Daemon;

/* Takes ownership of the settings. */
Daemon *Daemon_Create(Settings *settings, GError **error);
void Daemon_Reload(Daemon *daemon, const char *path);
void Daemon_Stop(Daemon *daemon);
void Daemon_Destroy(Daemon *daemon);

/* Returns TRUE once a later process of the same host has joined the fleet. */
gboolean Daemon_IsSuperseded(const Daemon *daemon);

#endif
