/* ReplayFile: the tables of a replay as a JSON file, and its outcome as text.
 *
 * Use:
 *  1. ReplayFile_Parse() the text of a file.
 *  2. ReplayFile_Describe(), with plain policies or without, for
 *     Replay_Create().
 *  3. ReplayFile_Print() the outcome.
 *  4. ReplayFile_Destroy(), after the replay.
 *
 * The file is an object with
 *  - "services": objects with "name", "servers", "slots";
 *  - "streams": objects with "name", "service" (a name), "per_s",
 *    "service_ms", "target_ms", "deadline_ms", and if wanted "priority",
 *    "idempotent", "size", "senders", "calls" and "called" (a stream's name);
 *  - "phases", if wanted: objects with "fault" (burst, shed, fail, slow,
 * stall, gone or cold), "service", "begin_ms", "end_ms", and if wanted
 * "share", "value";
 *  - if wanted "regions", "senders", "attempts", "seconds", "retry_ratio",
 *    "retry_slack", "cold_overage", "cold_slack", "seed".
 *
 * Errors: MALFORMED with the place. Limits: REPLAY_MAX_SERVERS, 64 services,
 * 256 streams, 256 phases, 512 senders, an hour.
 */
#ifndef REPLAY_REPLAY_FILE_H
#define REPLAY_REPLAY_FILE_H

#include <glib.h>

#include "replay/replay.h"

typedef struct ReplayFile ReplayFile;

ReplayFile *ReplayFile_Parse(const char *text, GError **error);
void ReplayFile_Destroy(ReplayFile *file);

/* The tables belong to the file. */
Replay_desc ReplayFile_Describe(const ReplayFile *file, gboolean plain);
void ReplayFile_Print(const ReplayFile *file, const Replay *replay,
                      GString *text);

#endif
