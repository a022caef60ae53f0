/* Daemon: joins the slices into one process.
 *
 * Use: Daemon_Create() with checked settings starts everything;
 * Daemon_Reload() takes over reloadable settings; Daemon_Stop() stops
 * gracefully: requests in flight end, rate slots and the run table are handed
 * over, and the host announces that it leaves; then Daemon_Destroy().
 *
 * Errors: IO when a port cannot be bound or a file cannot be read.
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

/* TRUE once a later process of the same host has joined the fleet. */
gboolean Daemon_IsSuperseded(const Daemon *daemon);

#endif
