#include "fleet_watch.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_MS 50
#define AWAIT_MS 45000

typedef struct Followed {
    FleetSeen seen;
    gboolean was_ejected; /* in the round before */
    gboolean on_trial;    /* since an ejection ended */
} Followed;

struct FleetWatch {
    Fleet *fleet;
    pthread_t thread;
    atomic_bool ends;
    pthread_mutex_t lock; /* of all that follows */
    Followed servers[FLEET_MAX_PROCESSES];
    int most_ejected;
    int rounds;
};

static void
follow_trial(Followed *followed)
{
    FleetSeen *seen = &followed->seen;

    if (seen->weight == 0 || strcmp(seen->state, "probation") != 0) {
        return;
    }
    if (seen->trial_weight == 0) {
        seen->trial_weight = seen->weight;
    }
    seen->steps += seen->weight < 100 && !followed->on_trial;
    followed->on_trial = TRUE;
}

/* Takes over one backend server's status; TRUE if it was ejected in this
 * round and the one before. */
static gboolean
follow(Followed *followed, json_t *status)
{
    FleetSeen *seen = &followed->seen;
    const char *state = json_string_value(json_object_get(status, "health"));
    int weight = Fleet_Number(status, "weight");
    gboolean was_ejected = followed->was_ejected;
    gboolean is_ejected = strcmp(state, "ejected") == 0;

    if (weight != seen->weight) {
        followed->on_trial = FALSE;
    }
    g_strlcpy(seen->state, state, sizeof(seen->state));
    seen->weight = weight;
    seen->slots_in_use = Fleet_Number(status, "slots_in_use");
    seen->waiting = Fleet_Number(status, "waiting");
    if (is_ejected) {
        seen->last_ejected = Clock_Now();
        seen->ejections += !was_ejected;
        if (seen->first_ejected == 0) {
            seen->first_ejected = seen->last_ejected;
        }
    }
    follow_trial(followed);
    followed->was_ejected = is_ejected;
    return is_ejected && was_ejected;
}

static void
read_round(FleetWatch *watch)
{
    json_t *status[FLEET_MAX_PROCESSES] = {NULL};
    gboolean is_whole = TRUE;
    int ejected = 0;

    for (int i = 0; i < watch->fleet->daemon_count; i++) {
        status[i] = Fleet_Status(watch->fleet, i);
        is_whole = is_whole && status[i] != NULL;
    }
    pthread_mutex_lock(&watch->lock);
    for (int i = 0; i < watch->fleet->daemon_count; i++) {
        json_t *servers = json_object_get(status[i], "backend_servers");
        json_t *server;
        size_t index;

        json_array_foreach(servers, index, server)
        {
            const char *name =
                json_string_value(json_object_get(server, "name"));

            ejected += follow(&watch->servers[atoi(name + strlen("server-"))],
                              server);
        }
        json_decref(status[i]);
    }
    watch->most_ejected = MAX(watch->most_ejected, ejected);
    watch->rounds += is_whole;
    pthread_mutex_unlock(&watch->lock);
}

static void *
run(void *context)
{
    FleetWatch *watch = context;

    while (!atomic_load(&watch->ends)) {
        read_round(watch);
        (void)poll(NULL, 0, ROUND_MS);
    }
    return NULL;
}

FleetWatch *
FleetWatch_Start(Fleet *fleet)
{
    FleetWatch *watch = g_new0(FleetWatch, 1);

    watch->fleet = fleet;
    pthread_mutex_init(&watch->lock, NULL);
    pthread_create(&watch->thread, NULL, run, watch);
    return watch;
}

void
FleetWatch_Stop(FleetWatch *watch)
{
    atomic_store(&watch->ends, TRUE);
    pthread_join(watch->thread, NULL);
    pthread_mutex_destroy(&watch->lock);
    g_free(watch);
}

void
FleetWatch_Reset(FleetWatch *watch)
{
    pthread_mutex_lock(&watch->lock);
    for (int i = 0; i < FLEET_MAX_PROCESSES; i++) {
        FleetSeen *seen = &watch->servers[i].seen;

        seen->ejections = 0;
        seen->first_ejected = 0;
        seen->last_ejected = 0;
        seen->trial_weight = 0;
        seen->steps = 0;
    }
    watch->most_ejected = 0;
    watch->rounds = 0;
    pthread_mutex_unlock(&watch->lock);
}

FleetSeen
FleetWatch_Server(FleetWatch *watch, int server)
{
    FleetSeen seen;

    pthread_mutex_lock(&watch->lock);
    seen = watch->servers[server].seen;
    pthread_mutex_unlock(&watch->lock);
    return seen;
}

int
FleetWatch_MostEjected(FleetWatch *watch)
{
    int most;

    pthread_mutex_lock(&watch->lock);
    most = watch->most_ejected;
    pthread_mutex_unlock(&watch->lock);
    return most;
}

int
FleetWatch_Rounds(FleetWatch *watch)
{
    int rounds;

    pthread_mutex_lock(&watch->lock);
    rounds = watch->rounds;
    pthread_mutex_unlock(&watch->lock);
    return rounds;
}

void
FleetWatch_AwaitHealthy(FleetWatch *watch)
{
    ClockMs until = Clock_Now() + AWAIT_MS;
    int healthy;

    do {
        (void)poll(NULL, 0, ROUND_MS);
        healthy = 0;
        for (int i = 0; i < watch->fleet->server_count; i++) {
            FleetSeen seen = FleetWatch_Server(watch, i);

            healthy +=
                strcmp(seen.state, "healthy") == 0 && seen.weight == 100;
        }
        if (Clock_Now() > until) {
            g_error("only %d of %d backend servers became healthy", healthy,
                    watch->fleet->server_count);
        }
    } while (healthy < watch->fleet->server_count);
}
