#include "soak.h"

/* Longest pause between two entries. */
#define MAX_PAUSE_MS 600

/* Names that the writer uses besides those of the hosts. */
#define NAMES 8

#define DEEP_LEVELS 3000

static const char port_out_of_range[] =
    "{\"instance\":\"i\",\"service\":\"desk\",\"dc\":\"n1\",\"region\":"
    "\"norte\",\"peer\":\"127.0.0.1:70000\",\"rpc\":4294975376,\"mirror\":1,"
    "\"slots\":5,\"leaving\":false}";

static const char *const kinds[] = {"backend-servers", "departures", "config"};

/* A value that names no backend server; NULL stands for a deep one. */
static const char *const values[] = {
    NULL,          "1e999",        "123456789012345678901",
    "\"\\u0000\"", "\"\xff\xfe\"", port_out_of_range,
};

static void
write_odd(Soak *soak, Rng *rng)
{
    const char *kind = kinds[Rng_Below(rng, G_N_ELEMENTS(kinds))];
    const char *value = values[Rng_Below(rng, G_N_ELEMENTS(values))];
    /* A daemon writes its own entry again, but not its record of departure:
     * without one it does not know which instance had left. */
    gboolean is_host = kind == kinds[0] && Rng_Below(rng, 4) == 0;
    char *name =
        is_host
            ? g_strdup_printf("host-%u",
                              (unsigned)Rng_Below(rng, (uint32_t)soak->hosts))
            : g_strdup_printf("odd-%u", (unsigned)Rng_Below(rng, NAMES));
    char *open = g_strnfill(DEEP_LEVELS, '[');
    char *close = g_strnfill(DEEP_LEVELS, ']');
    char *text = g_strdup_printf(
        "{\"metadata\":{\"name\":\"%s\",\"revision\":%%d},\"spec\":%s%s%s}",
        name, value == NULL ? open : "", value == NULL ? "" : value,
        value == NULL ? close : "");

    if (!is_host && Rng_Below(rng, 4) == 0) {
        ObjectServer_Write(Site_Store(soak->site), kind, name, NULL);
    }
    else {
        ObjectServer_WriteText(Site_Store(soak->site), kind, name, text);
    }
    g_free(text);
    g_free(close);
    g_free(open);
    g_free(name);
}

void *
Writer_Run(void *context)
{
    Soak *soak = context;
    Rng rng;

    Rng_Seed(&rng, soak->seed + 1);
    while (!atomic_load(&soak->stopping)) {
        g_usleep(1000 * (1 + Rng_Below(&rng, MAX_PAUSE_MS)));
        write_odd(soak, &rng);
    }
    return NULL;
}
