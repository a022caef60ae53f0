#include "soak.h"

#define MAX_REFUSED 20000

/* A request sent up to this time after SIGTERM may still be at work in the
 * last sixth of the grace period, and is then given up. */
#define LATE_SENT_MS 3000
#define LAST_SIXTH_MS (GRACE_MS - GRACE_MS / 6)

/* Time after SIGTERM in which an answer belongs to the stop. */
#define STOP_MS (GRACE_MS + 1000)

/* A request that has lasted so long may have reached the timeout of its route
 * (5,000 ms). */
#define TIMEOUT_MS 4900

/* A connection may be closed within this time after the last byte of a request
 * that was not passed on: the request has crossed the close. */
#define LOSS_SLACK_MS 200

void
Checks_Reply(Soak *soak, const SiteReply *reply, const char *id, int key,
             ClockMs sent)
{
    ClockMs withdrawn = atomic_load(&soak->withdrawn[key]);

    if (reply->status == 200) {
        atomic_fetch_add(&soak->served, 1);
        if (!reply->is_signed || !reply->matches) {
            Soak_ReportViolation(
                soak, "a success does not belong to its request", id, NULL);
        }
        if (withdrawn != CLOCK_NEVER && sent > withdrawn + REVOCATION_MS) {
            Soak_ReportViolation(soak, "a withdrawn key was served", id, NULL);
        }
    }
    else if (reply->status == 503 || reply->status == 429) {
        atomic_fetch_add(&soak->refused, 1);
        pthread_mutex_lock(&soak->lock);
        if (soak->refused_ids->len < MAX_REFUSED) {
            g_ptr_array_add(soak->refused_ids, g_strdup(id));
        }
        pthread_mutex_unlock(&soak->lock);
    }
    else {
        atomic_fetch_add(&soak->failed, 1);
    }
}

void
Checks_Region(Soak *soak, const char *id)
{
    SiteRun run;

    if (Site_GetRun(soak->site, id, &run) &&
        g_strcmp0(Site_Region(soak->site, run.host), "norte") != 0) {
        Soak_ReportViolation(soak, "a request ran outside of its regions", id,
                             NULL);
    }
}

void
Checks_PlannedReply(Soak *soak, const SiteReply *reply, const char *id,
                    int host, ClockMs sent)
{
    ClockMs now = Clock_Now();
    ClockMs stop = atomic_load(&soak->stopping_since[host]);
    SiteRun run = {0};
    gboolean has_run = Site_GetRun(soak->site, id, &run);
    gboolean is_excused = stop > 0 && now > stop + LAST_SIXTH_MS &&
                          now <= stop + STOP_MS &&
                          sent <= stop + LATE_SENT_MS && run.at_work > 0;
    gboolean is_late =
        stop > 0 && sent > stop + LATE_SENT_MS && now <= stop + STOP_MS;
    ClockMs owner_stop = atomic_load(&soak->stopping_since[run.host]);
    const char *what = NULL;
    char *details;

    if (reply->result == RESULT_CONNECT_FAILED) {
        return;
    }
    if (has_run && run.after_leave_ms > DRAIN_MS + IN_FLIGHT_MS) {
        what = "a backend server that has left received work";
    }
    else if (now - sent >= TIMEOUT_MS || is_excused) {
        return;
    }
    else if (reply->result != RESULT_OK) {
        if (has_run || now - sent > LOSS_SLACK_MS) {
            what = "planned work left a request without a complete answer";
        }
    }
    else if (has_run && (reply->status == 502 || reply->status == 504)) {
        what = run.at_work > 0 && is_late
                   ? "a request that was sent late in a stop was cut"
               : run.at_work > 0
                   ? "planned work cut a request at work"
                   : "planned work lost the answer of a backend server";
    }
    if (what == NULL) {
        return;
    }
    details = g_strdup_printf(
        "host=%d result=%d status=%d lasted_ms=%" G_GINT64_FORMAT
        " sent_after_term_ms=%" G_GINT64_FORMAT
        " server=%d begun_after_sent_ms=%" G_GINT64_FORMAT
        " begun_after_owner_term_ms=%" G_GINT64_FORMAT
        " after_leave_ms=%" G_GINT64_FORMAT " at_work=%d",
        host, (int)reply->result, reply->status, now - sent,
        stop > 0 ? sent - stop : -1, run.host, has_run ? run.begin - sent : -1,
        has_run && owner_stop > 0 ? run.begin - owner_stop : -1,
        run.after_leave_ms, run.at_work);
    Soak_ReportViolation(soak, what, id, details);
    g_free(details);
}

void
Checks_Drain(Soak *soak)
{
    unsigned runs;

    Site_Drain(soak->site, soak->hosts - 1);
    g_usleep((DRAIN_MS + IN_FLIGHT_MS) * 1000);
    runs = Site_Runs(soak->site, soak->hosts - 1);
    g_usleep(1500000);
    if (Site_Runs(soak->site, soak->hosts - 1) != runs) {
        Soak_ReportViolation(soak, "a draining backend server received work",
                             "-", NULL);
    }
}

void
Checks_Recovery(Soak *soak)
{
    ClockMs end = Clock_Now() + RECOVERY_MS;

    for (int host = 0; host < soak->hosts; host++) {
        SiteReply reply = {0};

        while (reply.status != 200 && Clock_Now() < end) {
            reply =
                Site_Request(soak->site, host, "GET", "/read/1", soak_keys[0]);
            g_usleep(20000);
        }
        if (reply.status != 200) {
            Soak_ReportViolation(
                soak, "a host does not serve after the faults", "-", NULL);
        }
    }
}

void
Checks_Refusals(Soak *soak)
{
    for (guint i = 0; i < soak->refused_ids->len; i++) {
        const char *id = g_ptr_array_index(soak->refused_ids, i);

        if (Site_HasRun(soak->site, id)) {
            Soak_ReportViolation(soak, "a refused request has run", id, NULL);
        }
    }
    if (Site_MaxRunsPerId(soak->site) > 1) {
        Soak_ReportViolation(
            soak, "a non-idempotent request ran more than once", "-", NULL);
    }
}
