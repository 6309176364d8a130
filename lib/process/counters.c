/*
 * Counters and histograms of a process, and their Prometheus text format.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>

#include "kcc_process.h"

static const struct {
    const char *name;
    const char *help;
} counter_rows[KC_COUNTER_COUNT] = {
    [KC_COUNT_REQUESTS] = {"kcc_requests_total",
                           "Requests received from callers."},
    [KC_COUNT_ANSWERED] = {"kcc_answered_total",
                           "Requests answered completely."},
    [KC_COUNT_NOT_RUN] = {"kcc_not_run_total",
                          "Requests that ended as not_run."},
    [KC_COUNT_UNKNOWN] = {"kcc_unknown_total",
                          "Requests that ended as unknown."},
    [KC_COUNT_ABANDONED] = {"kcc_abandoned_total",
                            "Requests whose caller disconnected."},
    [KC_COUNT_ATTEMPTS] = {"kcc_attempts_total", "Attempts sent."},
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
                             "Requests whose key was used before."},
    [KC_COUNT_LIMITED] = {"kcc_limited_total",
                          "Requests above a customer's limits."},
    [KC_COUNT_WORKS] = {"kcc_works_total", "Works received by the agent."},
    [KC_COUNT_WORKS_STARTED] = {"kcc_works_started_total",
                                "Works sent to the backend server."},
    [KC_COUNT_LOADS] = {"kcc_loads_total", "Adapter loads ordered."},
    [KC_COUNT_LOAD_FAILURES] = {"kcc_load_failures_total",
                                "Adapter loads that failed."},
    [KC_COUNT_EVICTIONS] = {"kcc_evictions_total",
                            "Adapter evictions ordered."},
    [KC_COUNT_STALL_US] = {"kcc_stall_microseconds_total",
                           "Time that works waited for their adapter."},
    [KC_COUNT_ENGINE_RESTARTS] = {"kcc_engine_restarts_total",
                                  "Cold restarts of the engine."},
    [KC_COUNT_MESSAGES_SENT] = {"kcc_messages_sent_total",
                                "Messages sent on links."},
    [KC_COUNT_MESSAGES_RECEIVED] = {"kcc_messages_received_total",
                                    "Messages received on links."},
    [KC_COUNT_MESSAGES_SKIPPED] =
        {"kcc_messages_skipped_total",
         "Messages of unknown types received on links, and skipped."},
    [KC_COUNT_BYTES_SENT] = {"kcc_link_bytes_sent_total",
                             "Bytes sent on links."},
    [KC_COUNT_BYTES_RECEIVED] = {"kcc_link_bytes_received_total",
                                 "Bytes received on links."},
    [KC_COUNT_PROTOCOL_ERRORS] = {"kcc_protocol_errors_total",
                                  "Links closed for a protocol error."},
    [KC_COUNT_OBJECT_CALLS] = {"kcc_object_calls_total",
                               "Calls of the object API."},
    [KC_COUNT_OBJECT_FAILURES] =
        {"kcc_object_failures_total",
         "Calls of the object API without an answer."},
    [KC_COUNT_ADOPTIONS] = {"kcc_adoptions_total",
                            "Documents that came into force."},
    [KC_COUNT_TOKENS] = {"kcc_tokens_total", "Tokens delivered."},
    [KC_COUNT_WRONG_MODEL] =
        {"kcc_wrong_model_total",
         "Answers stopped because they name another model."},
    [KC_COUNT_SILENT_ATTEMPTS] =
        {"kcc_silent_attempts_total",
         "Attempts cancelled because their server was silent."},
    [KC_COUNT_CHECKS] = {"kcc_server_checks_total",
                         "Silent servers asked for a sign of life."},
    [KC_COUNT_EARLY_REFUSALS] =
        {"kcc_early_refusals_total",
         "Requests refused before they were received completely."},
    [KC_COUNT_IDLE_CLOSES] = {"kcc_idle_closes_total",
                              "Callers' connections closed while idle."},
    [KC_COUNT_EXCESS_CALLERS] =
        {"kcc_excess_callers_total",
         "Requests refused, as there were too many connections."},
    [KC_COUNT_MEMORY_REFUSALS] =
        {"kcc_memory_refusals_total",
         "Requests refused, as there was no memory to hold them."},
    [KC_COUNT_ACCEPT_ERRORS] =
        {"kcc_accept_errors_total",
         "Failed accepts, as when no descriptor is left."},
    [KC_COUNT_UNREAD_CLOSES] =
        {"kcc_unread_closes_total",
         "Callers' connections closed with bytes that were not read."},
    [KC_COUNT_UNSENT_CLOSES] =
        {"kcc_unsent_closes_total",
         "Callers' connections closed with bytes that were not sent."},
    [KC_COUNT_LEAVING_NOTICES] =
        {"kcc_leaving_notices_total",
         "Backend servers that said that they leave."},
    [KC_COUNT_WAIT_NOTICES] =
        {"kcc_wait_notices_total",
         "Answers of backend servers that asked to wait."},
    [KC_COUNT_UNREAD_NOTICES] =
        {"kcc_unread_notices_total",
         "Answers with a notice that was not readable."},
    [KC_COUNT_STRAY_REPLIES] =
        {"kcc_stray_replies_total",
         "Replies of backend servers that belong to no request in progress."},
    [KC_COUNT_ENGINE_ENDS] =
        {"kcc_engine_ends_total",
         "Engines that ended on their own with requests in progress."},
    [KC_COUNT_PARTS_SUSPECTED] =
        {"kcc_parts_suspected_total",
         "Prompt parts that came under suspicion of ending servers."},
    [KC_COUNT_PARTS_BLOCKED] = {"kcc_parts_blocked_total",
                                "Prompt parts that were blocked."},
    [KC_COUNT_PARTS_TRIED] = {"kcc_parts_tried_total",
                              "Trials of blocked prompt parts."},
    [KC_COUNT_PARTS_CLEARED] =
        {"kcc_parts_cleared_total",
         "Suspected or blocked prompt parts that were cleared."},
    [KC_COUNT_BLOCKED_REQUESTS] =
        {"kcc_blocked_requests_total",
         "Requests refused because a part of their prompt is blocked."},
    [KC_COUNT_UNKNOWN_KEYS] =
        {"kcc_unknown_keys_total",
         "Requests refused because no customer has their key."},
    [KC_COUNT_UNCONFIRMED_KEYS] =
        {"kcc_unconfirmed_keys_total",
         "Requests refused because the configuration may be out of date."},
    [KC_COUNT_UNCERTAIN] =
        {"kcc_uncertain_total",
         "Times that keys began to be refused, as the configuration could be "
         "out of date."},
    [KC_COUNT_STORE_RESTORED] =
        {"kcc_store_restored_total",
         "Times that the store came back from a copy, in a later era."},
    [KC_COUNT_WAITS_TOO_LONG] =
        {"kcc_waits_too_long_total",
         "Requests refused as their turn comes after their deadline."},
    [KC_COUNT_WAITS_ENDED] =
        {"kcc_waits_ended_total",
         "Requests refused after a wait in which no server had room."},
    [KC_COUNT_BUDGET_REFUSALS] =
        {"kcc_budget_refusals_total",
         "Requests refused by a server and not sent again, for the budget."},
    [KC_COUNT_SECOND_ATTEMPTS] = {"kcc_second_attempts_total",
                                  "Second attempts for slow answers."},
    [KC_COUNT_SECOND_WON] = {"kcc_second_attempts_won_total",
                             "Second attempts whose answer began first."},
    [KC_COUNT_SECOND_LOST] =
        {"kcc_second_attempts_lost_total",
         "Second attempts whose first attempt began to answer sooner."},
    [KC_COUNT_SECOND_LIMITED] =
        {"kcc_second_attempts_limited_total",
         "Slow answers beyond the limit of second attempts."},
    [KC_COUNT_SECOND_LOADED] =
        {"kcc_second_attempts_loaded_total",
         "Slow answers without a second attempt: loaded servers."},
    [KC_COUNT_SECOND_NOT_SOONER] =
        {"kcc_second_attempts_not_sooner_total",
         "Slow answers that no other server would have begun sooner."},
    [KC_COUNT_SECOND_NO_BUDGET] =
        {"kcc_second_attempts_no_budget_total",
         "Slow answers without a second attempt: no retry budget left."},
    [KC_COUNT_SECOND_OVER_QUOTA] =
        {"kcc_second_attempts_over_quota_total",
         "Slow answers without a second attempt: the customer's quota."},
    [KC_COUNT_SLOW_CALLERS] =
        {"kcc_slow_callers_total",
         "Callers' connections ended, as unsent answers took too much "
         "memory."},
};

const char *
KcCounter_Name(KcCounter counter)
{
    assert(counter < KC_COUNTER_COUNT);
    return counter_rows[counter].name;
}

const char *
KcCounter_Help(KcCounter counter)
{
    assert(counter < KC_COUNTER_COUNT);
    return counter_rows[counter].help;
}

static const struct {
    const char *name;
    const char *help;
} histogram_rows[KC_TIME_KIND_COUNT] = {
    [KC_TIME_FIRST_BYTE] =
        {"kcc_first_byte_seconds",
         "Time from a request to the first byte of its answer."},
    [KC_TIME_TOTAL] = {"kcc_request_seconds",
                       "Time from a request to its end."},
    [KC_TIME_FIRST_ATTEMPT] = {"kcc_place_seconds",
                               "Time from a request to its first attempt."},
    [KC_TIME_LOAD] = {"kcc_load_seconds",
                      "Time from an order to load an adapter until loaded."},
};

/* Upper bounds of the buckets; the last has none. */
static const int bounds_ms[KC_TIME_BUCKET_COUNT - 1] = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};

void
KcCounters_RecordTime(KcCounters *counters, KcTimeKind kind, KcTime duration)
{
    KcTimeHistogram *histogram = &counters->histograms[kind];
    size_t bucket = 0;

    assert(kind < KC_TIME_KIND_COUNT);
    while (bucket < KC_TIME_BUCKET_COUNT - 1 &&
           duration > bounds_ms[bucket] * KC_MS) {
        bucket++;
    }
    histogram->bucket_counts[bucket]++;
    histogram->count++;
    histogram->sum += duration;
}

/* Bound of one line's length, with the newline. */
#define LINE_BYTES_MAX 160

/* Writes one histogram; returns the length of the text. */
static size_t
format_histogram(char *text, size_t capacity, const KcTimeHistogram *histogram,
                 int kind)
{
    const char *name = histogram_rows[kind].name;
    uint64_t cumulative = 0;
    size_t used =
        (size_t)snprintf(text, capacity, "# HELP %s %s\n# TYPE %s histogram\n",
                         name, histogram_rows[kind].help, name);

    for (int i = 0; i < KC_TIME_BUCKET_COUNT - 1; i++) {
        cumulative += histogram->bucket_counts[i];
        used += (size_t)snprintf(text + used, capacity - used,
                                 "%s_bucket{le=\"%g\"} %" PRIu64 "\n", name,
                                 bounds_ms[i] / 1000.0, cumulative);
    }
    used += (size_t)snprintf(text + used, capacity - used,
                             "%s_bucket{le=\"+Inf\"} %" PRIu64
                             "\n%s_sum %g\n%s_count %" PRIu64 "\n",
                             name, histogram->count, name,
                             (double)histogram->sum / KC_SECOND, name,
                             histogram->count);
    assert(used < capacity);
    return used;
}

char *
KcCounters_Format(const KcCounters *counters)
{
    size_t lines =
        KC_COUNTER_COUNT * 3 + KC_TIME_KIND_COUNT * (KC_TIME_BUCKET_COUNT + 4);
    size_t capacity = lines * LINE_BYTES_MAX;
    char *text = KcMem_New(capacity);
    size_t used = 0;

    for (int i = 0; i < KC_COUNTER_COUNT; i++) {
        used += (size_t)snprintf(
            text + used, capacity - used,
            "# HELP %s %s\n# TYPE %s counter\n%s %" PRIu64 "\n",
            counter_rows[i].name, counter_rows[i].help, counter_rows[i].name,
            counter_rows[i].name, counters->values[i]);
        assert(used < capacity);
    }
    for (int i = 0; i < KC_TIME_KIND_COUNT; i++) {
        used += format_histogram(text + used, capacity - used,
                                 &counters->histograms[i], i);
    }
    return text;
}
