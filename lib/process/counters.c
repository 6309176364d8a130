/*
 * Counters and their text form.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>

#include "kcc_process.h"

static const struct {
    const char *name;
    const char *help;
} rows[KC_COUNT_MAX] = {
    [KC_COUNT_REQUESTS] = {"kcc_requests_total", "Requests of callers."},
    [KC_COUNT_ANSWERED] = {"kcc_answered_total", "Requests answered whole."},
    [KC_COUNT_NOT_RUN] = {"kcc_not_run_total",
                          "Requests that were told not_run."},
    [KC_COUNT_UNKNOWN] = {"kcc_unknown_total",
                          "Requests that were told unknown."},
    [KC_COUNT_ABANDONED] = {"kcc_abandoned_total",
                            "Requests whose caller went away."},
    [KC_COUNT_ATTEMPTS] = {"kcc_attempts_total", "Attempts proposed."},
    [KC_COUNT_REFUSALS] = {"kcc_refusals_total",
                           "Attempts refused before they ran."},
    [KC_COUNT_RETRIES] = {"kcc_retries_total",
                          "Attempts after the first of a request."},
    [KC_COUNT_RESUMES] = {"kcc_resumes_total",
                          "Attempts resumed on a new connection."},
    [KC_COUNT_CONTINUATIONS] = {"kcc_continuations_total",
                                "Answers continued by another engine."},
    [KC_COUNT_REMOTE_ATTEMPTS] = {"kcc_remote_attempts_total",
                                  "Attempts in another region."},
    [KC_COUNT_REMOTE_BYTES] = {"kcc_remote_bytes_total",
                               "Bytes to and from other regions."},
    [KC_COUNT_CLAIMS] = {"kcc_claims_total", "At-most-once claims."},
    [KC_COUNT_DUPLICATES] = {"kcc_duplicates_total",
                             "Calls whose key was used before."},
    [KC_COUNT_LIMITED] = {"kcc_limited_total",
                          "Requests above a customer's limits."},
    [KC_COUNT_WORKS] = {"kcc_works_total", "Proposals received."},
    [KC_COUNT_WORKS_STARTED] = {"kcc_works_started_total",
                                "Works sent to the backend server."},
    [KC_COUNT_LOADS] = {"kcc_loads_total", "Adapter loads ordered."},
    [KC_COUNT_LOAD_FAILURES] = {"kcc_load_failures_total",
                                "Adapter loads that failed."},
    [KC_COUNT_EVICTIONS] = {"kcc_evictions_total",
                            "Adapter evictions ordered."},
    [KC_COUNT_STALL_US] = {"kcc_stall_microseconds_total",
                           "Time works waited for their adapter."},
    [KC_COUNT_ENGINE_RESTARTS] = {"kcc_engine_restarts_total",
                                  "Cold restarts of the engine seen."},
    [KC_COUNT_MESSAGES_SENT] = {"kcc_messages_sent_total",
                                "Messages sent on links."},
    [KC_COUNT_MESSAGES_RECEIVED] = {"kcc_messages_received_total",
                                    "Messages received on links."},
    [KC_COUNT_BYTES_SENT] = {"kcc_link_bytes_sent_total",
                             "Bytes sent on links."},
    [KC_COUNT_BYTES_RECEIVED] = {"kcc_link_bytes_received_total",
                                 "Bytes received on links."},
    [KC_COUNT_PROTOCOL_ERRORS] = {"kcc_protocol_errors_total",
                                  "Links closed for a broken rule."},
    [KC_COUNT_OBJECT_CALLS] = {"kcc_object_calls_total",
                               "Calls of the object API."},
    [KC_COUNT_OBJECT_FAILURES] = {"kcc_object_failures_total",
                                  "Calls of the object API unanswered."},
    [KC_COUNT_ADOPTIONS] = {"kcc_adoptions_total",
                            "Documents that came into force."},
    [KC_COUNT_TOKENS] = {"kcc_tokens_total", "Tokens delivered."},
    [KC_COUNT_WRONG_MODEL] = {"kcc_wrong_model_total",
                              "Answers stopped for naming another model."},
};

const char *
KcCounter_Name(KcCounter counter)
{
    assert(counter < KC_COUNT_MAX);
    return rows[counter].name;
}

const char *
KcCounter_Help(KcCounter counter)
{
    assert(counter < KC_COUNT_MAX);
    return rows[counter].help;
}

char *
KcCounters_Format(const KcCounters *counters)
{
    size_t capacity = (size_t)KC_COUNT_MAX * 256;
    char *text = KcMem_New(capacity);
    size_t used = 0;

    for (int i = 0; i < KC_COUNT_MAX; i++) {
        used += (size_t)snprintf(
            text + used, capacity - used,
            "# HELP %s %s\n# TYPE %s counter\n%s %" PRIu64 "\n", rows[i].name,
            rows[i].help, rows[i].name, rows[i].name, counters->value[i]);
        assert(used < capacity);
    }
    return text;
}
