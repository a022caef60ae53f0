#include "fleet_watch.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_MS 50
#define AWAIT_MS 45000

typedef struct TrackedServer {
    FleetServerHealth health;
    gboolean was_ejected;    /* state in the previous round */
    gboolean weight_counted; /* the current weight is in probation_steps */
} TrackedServer;

struct FleetWatch {
    Fleet *fleet;
    pthread_t thread;
    atomic_bool stopping;
    pthread_mutex_t lock; /* protects the fields below */
    TrackedServer servers[FLEET_MAX_PROCESSES];
    int max_ejected;
    int rounds;
};

static void
update_probation(TrackedServer *tracked)
{
    FleetServerHealth *health = &tracked->health;

    if (health->weight == 0 || strcmp(health->state, "probation") != 0) {
        return;
    }
    if (health->probation_weight == 0) {
        health->probation_weight = health->weight;
    }
    health->probation_steps +=
        health->weight < 100 && !tracked->weight_counted;
    tracked->weight_counted = TRUE;
}

/* Records the status of one backend server. Returns TRUE if it is ejected in
 * this round and was ejected in the previous one. */
static gboolean
update_server(TrackedServer *tracked, json_t *status)
{
    FleetServerHealth *health = &tracked->health;
    const char *state = json_string_value(json_object_get(status, "health"));
    int weight = Fleet_Number(status, "weight");
    gboolean was_ejected = tracked->was_ejected;
    gboolean is_ejected = strcmp(state, "ejected") == 0;

    if (weight != health->weight) {
        tracked->weight_counted = FALSE;
    }
    g_strlcpy(health->state, state, sizeof(health->state));
    health->weight = weight;
    health->slots_in_use = Fleet_Number(status, "slots_in_use");
    health->waiting = Fleet_Number(status, "waiting");
    if (is_ejected) {
        health->last_ejected = Clock_Now();
        health->ejections += !was_ejected;
        if (health->first_ejected == 0) {
            health->first_ejected = health->last_ejected;
        }
    }
    update_probation(tracked);
    tracked->was_ejected = is_ejected;
    return is_ejected && was_ejected;
}

static void
read_round(FleetWatch *watch)
{
    json_t *status[FLEET_MAX_PROCESSES] = {NULL};
    gboolean is_complete = TRUE;
    int ejected = 0;

    for (int i = 0; i < watch->fleet->daemon_count; i++) {
        status[i] = Fleet_Status(watch->fleet, i);
        is_complete = is_complete && status[i] != NULL;
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

            ejected += update_server(
                &watch->servers[atoi(name + strlen("server-"))], server);
        }
        json_decref(status[i]);
    }
    watch->max_ejected = MAX(watch->max_ejected, ejected);
    watch->rounds += is_complete;
    pthread_mutex_unlock(&watch->lock);
}

static void *
run(void *context)
{
    FleetWatch *watch = context;

    while (!atomic_load(&watch->stopping)) {
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
    atomic_store(&watch->stopping, TRUE);
    pthread_join(watch->thread, NULL);
    pthread_mutex_destroy(&watch->lock);
    g_free(watch);
}

void
FleetWatch_Reset(FleetWatch *watch)
{
    pthread_mutex_lock(&watch->lock);
    for (int i = 0; i < FLEET_MAX_PROCESSES; i++) {
        FleetServerHealth *health = &watch->servers[i].health;

        health->ejections = 0;
        health->first_ejected = 0;
        health->last_ejected = 0;
        health->probation_weight = 0;
        health->probation_steps = 0;
    }
    watch->max_ejected = 0;
    watch->rounds = 0;
    pthread_mutex_unlock(&watch->lock);
}

FleetServerHealth
FleetWatch_Server(FleetWatch *watch, int server)
{
    FleetServerHealth health;

    pthread_mutex_lock(&watch->lock);
    health = watch->servers[server].health;
    pthread_mutex_unlock(&watch->lock);
    return health;
}

int
FleetWatch_MaxEjected(FleetWatch *watch)
{
    int max;

    pthread_mutex_lock(&watch->lock);
    max = watch->max_ejected;
    pthread_mutex_unlock(&watch->lock);
    return max;
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
            FleetServerHealth health = FleetWatch_Server(watch, i);

            healthy +=
                strcmp(health.state, "healthy") == 0 && health.weight == 100;
        }
        if (Clock_Now() > until) {
            g_error("only %d of %d backend servers became healthy", healthy,
                    watch->fleet->server_count);
        }
    } while (healthy < watch->fleet->server_count);
}
