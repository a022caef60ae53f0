/* Fuzz target for the settings decoder.
 *
 * Guards against texts that crash the decoder or are refused without an error
 * message, and against accepted settings that differ from themselves on
 * reload.
 */
#include <stdlib.h>

#include "settings/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    GString *unchanged = g_string_new(NULL);
    GError *error = NULL;
    Settings *settings = Settings_Parse(text, "input", &error);

    if ((settings == NULL) != (error != NULL)) {
        abort();
    }
    if (settings != NULL) {
        if (Settings_Reload(settings, settings, unchanged) != 0) {
            abort();
        }
        Settings_Destroy(settings);
    }
    g_clear_error(&error);
    g_string_free(unchanged, TRUE);
    g_free(text);
    return 0;
}
