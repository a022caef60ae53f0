#include "health/gray_filter.h"

#include <math.h>

/* These values follow the users' description of their backend servers. At any
 * time about a third of them are in a gray period of several seconds and fail
 * most requests. Sound ones fail one or two requests in a hundred, and a few
 * more because calls that they make fail. */
static const GrayFilter_desc defaults = {
    .sound_ms = 20000,
    .gray_ms = 8000,
    .sound_failed = 0.03,
    .gray_failed = 0.75,
};

/* The risk never reaches 0 or 1, so that later evidence still counts. */
#define MIN_RISK 0.001
#define MAX_RISK 0.98

static double
stationary(const GrayFilter_desc *desc)
{
    return (double)desc->gray_ms / (double)(desc->gray_ms + desc->sound_ms);
}

static GrayFilter_desc
with_defaults(const GrayFilter_desc *desc)
{
    GrayFilter_desc full = desc != NULL ? *desc : defaults;

    if (full.sound_ms == 0) {
        full.sound_ms = defaults.sound_ms;
    }
    if (full.gray_ms == 0) {
        full.gray_ms = defaults.gray_ms;
    }
    if (full.sound_failed == 0) {
        full.sound_failed = defaults.sound_failed;
    }
    if (full.gray_failed == 0) {
        full.gray_failed = defaults.gray_failed;
    }
    return full;
}

void
GrayFilter_Init(GrayFilter *filter, const GrayFilter_desc *desc, ClockMs now)
{
    *filter = (GrayFilter){.desc = with_defaults(desc), .updated = now};
    filter->risk = stationary(&filter->desc) / 2;
}

double
GrayFilter_Risk(const GrayFilter *filter, ClockMs now)
{
    const GrayFilter_desc *desc = &filter->desc;
    double rate = 1.0 / (double)desc->sound_ms + 1.0 / (double)desc->gray_ms;
    double elapsed = (double)MAX(now - filter->updated, 0);
    double long_term_risk = stationary(desc);

    return long_term_risk +
           (filter->risk - long_term_risk) * exp(-rate * elapsed);
}

double
GrayFilter_LongTermRisk(const GrayFilter *filter)
{
    return stationary(&filter->desc);
}

void
GrayFilter_Observe(GrayFilter *filter, gboolean failed, ClockMs now)
{
    const GrayFilter_desc *desc = &filter->desc;
    double risk = GrayFilter_Risk(filter, now);
    double gray = failed ? desc->gray_failed : 1 - desc->gray_failed;
    double sound = failed ? desc->sound_failed : 1 - desc->sound_failed;
    double joint = risk * gray;

    GrayFilter_Set(filter, joint / (joint + (1 - risk) * sound), now);
}

void
GrayFilter_Set(GrayFilter *filter, double risk, ClockMs measured)
{
    filter->risk = CLAMP(risk, MIN_RISK, MAX_RISK);
    filter->updated = measured;
}

double
GrayFilter_FailShare(const GrayFilter *filter, double risk)
{
    return risk * filter->desc.gray_failed +
           (1 - risk) * filter->desc.sound_failed;
}

double
GrayFilter_RiskAt(const GrayFilter_desc *desc, double fail_share)
{
    GrayFilter_desc full = with_defaults(desc);
    double risk = (fail_share - full.sound_failed) /
                  (full.gray_failed - full.sound_failed);

    return CLAMP(risk, 0, 1);
}
