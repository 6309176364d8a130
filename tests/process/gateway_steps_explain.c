/*
 * Step of gateway_steps.c on foreseen requests:
 *
 *   explain N PATH ...  what would become of that request, which is not sent
 *
 * Trace: "[send a | a chosen | b costs more: distance 10]" with the servers of
 * the service behind the bars: why they are chosen or not, "x@1" the adapter
 * there, "closed 50" for how many ms it takes nothing, and the parts of the
 * cost above 0, in ms.  In front "send a+c" an attempt at server a and a
 * further load at c, "load a", "await_load a", "queue 2 wait 100 for 125" the
 * third in the queue with the expected wait in ms, "-" if unknown, and until
 * it is decided again, "refuse STEP CODE after MS" or "for good"; behind that
 * "c 7 cost 10" a customer with its priority and the cost to its quota, "?" if
 * that is not in force yet.
 */
#include <string.h>

#include "../foresight.h"
#include "gateway_steps_internal.h"

static void
trace_refusal(GString *trace, const KcExplanation *explanation)
{
    g_string_append_printf(trace, " %s %s", explanation->step,
                           KcError_Name(explanation->code));
    if (explanation->retry_after == 0) {
        g_string_append(trace, " for good");
    }
    else {
        g_string_append_printf(trace, " after %d",
                               (int)(explanation->retry_after / KC_MS));
    }
}

static void
trace_queue(GString *trace, const KcExplanation *explanation)
{
    g_string_append_printf(trace, " %u wait ", explanation->queue_place);
    if (explanation->expected_wait == KC_NEVER) {
        g_string_append_c(trace, '-');
    }
    else {
        g_string_append_printf(trace, "%d",
                               (int)(explanation->expected_wait / KC_MS));
    }
    g_string_append_printf(trace, " for %d",
                           (int)(explanation->wait_max / KC_MS));
}

static void
trace_server(GString *trace, const KcExplanation *explanation)
{
    g_string_append_printf(trace, " %s", explanation->server->id);
    if (explanation->new_replica_server != NULL) {
        g_string_append_printf(trace, "+%s",
                               explanation->new_replica_server->id);
    }
}

static void (*const trace_foresight[KC_FORESEE_COUNT])(
    GString *trace, const KcExplanation *explanation) = {
    [KC_FORESEE_REFUSAL] = trace_refusal,
    [KC_FORESEE_SEND] = trace_server,
    [KC_FORESEE_LOAD] = trace_server,
    [KC_FORESEE_AWAIT_LOAD] = trace_server,
    [KC_FORESEE_QUEUE] = trace_queue,
};

static void
trace_candidate(GString *trace, const KcCandidate *candidate)
{
    const char *separator = ":";

    g_string_append_printf(trace, " | %s %s", candidate->server->id,
                           candidate->reason);
    if (candidate->holding != KC_HOLDING_NONE) {
        g_string_append_printf(trace, ", %s",
                               KcHolding_Name(candidate->holding));
        if (candidate->version != 0) {
            g_string_append_printf(trace, "@%u", candidate->version);
        }
    }
    if (candidate->closed_for != 0) {
        g_string_append_printf(trace, " %d",
                               (int)(candidate->closed_for / KC_MS));
    }
    for (size_t i = 0; i < KC_COST_TERM_COUNT; i++) {
        if (candidate->costs[i] != 0) {
            g_string_append_printf(trace, "%s %s %d", separator,
                                   KcCostTerm_Name(i),
                                   (int)(candidate->costs[i] / KC_MS));
            separator = ",";
        }
    }
}

void
GatewaySteps_Explain(Fixture *fixture, int number, const KcForwardCall *call)
{
    GString *trace = fixture->trace;
    const KcCandidate *candidate;
    Foresight foresight;
    const KcExplanation *explanation = &foresight.explanation;

    (void)number;
    Foresight_Begin(&foresight, fixture->gateway, call, fixture->now);
    g_string_append_printf(trace, "[%s",
                           KcForesight_Name(explanation->foresight));
    trace_foresight[explanation->foresight](trace, explanation);
    if (explanation->customer != NULL) {
        g_string_append_printf(
            trace, " %s %u cost %d%s", explanation->customer->name,
            explanation->priority, (int)explanation->quota_cost,
            explanation->is_quota_unknown ? "?" : "");
    }
    TAILQ_FOREACH (candidate, &explanation->candidates, link) {
        trace_candidate(trace, candidate);
    }
    g_string_append(trace, "] ");
    Foresight_Clear(&foresight);
}
