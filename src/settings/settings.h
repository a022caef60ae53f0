/* Settings: the daemon's settings, read from a JSON file and validated.
 *
 * Use:
 *  1. Settings_Load() reads and validates a file. The GError's message lists
 *     all errors, one per line, each with the JSON path and the expected form.
 *  2. Read the fields.
 *  3. On SIGHUP, Settings_Reload() copies the values that may change while the
 *     daemon runs and names the others that differ.
 *  4. Settings_Destroy().
 *
 * Errors: RESULT_SETTINGS_INVALID, RESULT_IO. Unknown fields are refused.
 */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "base/clock.h"
#include "settings/settings_list.h"

#define SETTINGS_MAX_ADDRESSES 16

typedef struct SettingsAddresses {
    struct sockaddr_in items[SETTINGS_MAX_ADDRESSES];
    unsigned count;
} SettingsAddresses;

#define SETTINGS_MAX_NAMES 63
#define SETTINGS_NAME_BYTES 32

typedef struct SettingsNames {
    char items[SETTINGS_MAX_NAMES][SETTINGS_NAME_BYTES];
    unsigned count;
} SettingsNames;

#define _SETTINGS_TEXT(name, required, default_value, form, description) \
    char *name;
#define _SETTINGS_LIST(name, form, description) SettingsAddresses name;
#define _SETTINGS_NAMES(name, form, description) SettingsNames name;
#define _SETTINGS_NUMBER(name, unit, min, max, default_value, reload, \
                         description)                                 \
    int64_t name;
#define _SETTINGS_TIME(name, min, max, default_value, description) \
    ClockMs name;
#define _SETTINGS_REAL(name, unit, min, max, default_value, description) \
    double name;
typedef struct Settings {
    SETTINGS_LIST(_SETTINGS_TEXT, _SETTINGS_LIST, _SETTINGS_NAMES,
                  _SETTINGS_NUMBER, _SETTINGS_TIME, _SETTINGS_REAL)
} Settings;
#undef _SETTINGS_TEXT
#undef _SETTINGS_LIST
#undef _SETTINGS_NAMES
#undef _SETTINGS_NUMBER
#undef _SETTINGS_TIME
#undef _SETTINGS_REAL

Settings *Settings_Load(const char *path, GError **error);

/* Parses JSON text. Error messages use `name` as the file's name. */
Settings *Settings_Parse(const char *text, const char *name, GError **error);
void Settings_Destroy(Settings *settings);

/* Returns the index of a name in a list, or -1. */
int Settings_IndexOf(const SettingsNames *names, const char *name);

/* Copies the reloadable numbers of `from`. Returns how many other values
 * differ and appends their names to `unchanged`. Reloadable numbers are
 * written by atomic stores, because running threads read them. */
int Settings_Reload(Settings *settings, const Settings *from,
                    GString *unchanged);

/* Reads a reloadable number while another thread may reload it. */
int64_t Settings_Read(const int64_t *number);

/* Appends the table of docs/settings.md. */
void Settings_WriteTable(GString *out);

#endif
