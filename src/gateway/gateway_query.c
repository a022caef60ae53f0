/* What the next choice of a request depends on. */
#include <math.h>
#include <string.h>

#include "gateway/gateway_internal.h"
#include "roster/exploration.h"

/* Minimum number of hosts assumed when the fleet's budget is divided, so that
 * a host with an empty roster does not use the budget of the whole fleet. */
#define MIN_HOSTS 12

Retry_desc
_Gateway_BudgetDesc(const Gateway *gateway)
{
    uint32_t hosts = MAX(Roster_Count(gateway->desc.roster), MIN_HOSTS);

    return (Retry_desc){
        .budget_percent =
            (uint32_t)(gateway->desc.retry_ratio * 100 * RETRY_EVEN_SHARE),
        .min_per_minute = (uint32_t)ceil(gateway->desc.retry_per_minute *
                                         RETRY_EVEN_SHARE / hosts)};
}

gboolean
_Gateway_AllowsRetry(const GatewayRequest *request)
{
    return request->route->idempotent &&
           request->attempts + 1 < request->route->attempts;
}

static double
relative_size(const GatewayRequest *request)
{
    Gateway *gateway = request->gateway;
    double size;

    pthread_mutex_lock(&gateway->lock);
    size = SizeEstimate_Relative(gateway->sizes, request->route->hash,
                                 request->call.body_bytes);
    pthread_mutex_unlock(&gateway->lock);
    return size;
}

void
_Gateway_MakeQuery(const GatewayRequest *request, ClockMs now,
                   RosterQuery *query)
{
    *query = (RosterQuery){
        .service = request->destination->service_hash,
        .request = {.failure_cost = Placement_FailureCost(request->can_retry),
                    .relative_size = relative_size(request),
                    .time_left_ms = request->target_time - now},
        .may_explore = Exploration_MayBegin(
            request->can_retry, request->attempts, request->has_explored),
        .is_issuance = !request->call.idempotent,
        .deadline = request->deadline,
        .run_allowance_ms = request->call.run_allowance_ms,
        .excluded_count = request->excluded_count,
        .route_regions = request->regions.route,
        .team_regions = request->regions.team};
    memcpy(query->excluded, request->excluded, sizeof(query->excluded));
}

void
_Gateway_OwnReport(const Gateway *gateway, RosterReport *own)
{
    Backend_GetReport(gateway->desc.backend, own);
    /* The request ends with this host in any case. */
    own->stop_ms = 0;
}
