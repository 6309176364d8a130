/*
 * Trace of the calls that a gateway makes to its program and its callers.
 */
#include <string.h>

#include "../gateway_stubs.h"
#include "gateway_steps_internal.h"

/* ---- calls made by the gateway ------------------------------------------ */

static void *
start_attempt(void *context, KcForwardAttempt *attempt,
              const KcAttemptParams *params)
{
    Fixture *fixture = context;
    Caller *caller = attempt->forward->caller;

    g_assert_cmpint(params->time_left, >, 0);
    if (strcmp(fixture->no_send_server, params->server->id) == 0) {
        return NULL;
    }
    g_string_append_printf(fixture->trace, "%d>%s", caller->number,
                           params->server->id);
    if (params->has_last_event) {
        g_string_append_printf(fixture->trace, "+%d",
                               (int)params->last_event_id);
    }
    if (params->has_customers) {
        g_string_append_printf(fixture->trace, " %s %u",
                               params->customer != NULL ? params->customer
                                                        : "-",
                               params->priority);
    }
    g_string_append(fixture->trace, "; ");
    if (!fixture->is_connecting) {
        KcForwardAttempt_OnSent(attempt);
    }
    return attempt;
}

static void
cancel_attempt(void *context, void *handle)
{
    Fixture *fixture = context;
    const KcForwardAttempt *attempt = handle;
    const struct KcForwardAttemptList *attempts = &attempt->forward->attempts;
    const Caller *caller = attempt->forward->caller;

    g_string_append_printf(fixture->trace, "%dx", caller->number);
    if (TAILQ_FIRST(attempts) != TAILQ_LAST(attempts, KcForwardAttemptList)) {
        g_string_append_printf(fixture->trace, " %s", attempt->server->id);
    }
    g_string_append(fixture->trace, "; ");
}

static bool
request_load(void *context, const KcLoadRequest *load_request)
{
    Fixture *fixture = context;

    if (strcmp(fixture->no_keeper_server, load_request->server->id) == 0) {
        return false;
    }
    g_string_append_printf(
        fixture->trace, "?%s %s@%u; ", load_request->server->id,
        load_request->adapter->name, load_request->version_min);
    return true;
}

static void
check_server(void *context, KcServer *server)
{
    Fixture *fixture = context;

    /* As the program, not again while a check is unanswered. */
    if (fixture->traces_checks && !fixture->is_checking) {
        fixture->is_checking = true;
        g_string_append_printf(fixture->trace, "check %s; ", server->id);
    }
}

static void
refresh_servers(void *context)
{
    g_string_append(((Fixture *)context)->trace, "refresh; ");
}

static void
record_request(void *context, const KcForwardRecord *record)
{
    (void)context;
    g_assert_nonnull(record->outcome);
}

static void
record_notice(void *context, const KcNoticeRecord *record)
{
    static const char *const kind_names[] = {[KC_NOTICE_LEAVING] = "leaving",
                                             [KC_NOTICE_CLOSED] = "closed",
                                             [KC_NOTICE_OPEN] = "open",
                                             [KC_NOTICE_UNREAD] = "unread"};
    GString *trace = ((Fixture *)context)->trace;

    g_string_append_printf(trace, "%s:%s", record->server->id,
                           kind_names[record->kind]);
    if (record->kind == KC_NOTICE_CLOSED) {
        g_string_append_printf(trace, " %d", (int)(record->duration / KC_MS));
    }
    g_string_append(trace, "; ");
}

static void
ask_end(void *context, KcServer *server, const KcLossRecord *record)
{
    GString *trace = ((Fixture *)context)->trace;

    g_string_append_printf(trace, "ask %s", server->id);
    for (uint32_t i = 0; i < record->end.part_count; i++) {
        g_string_append_printf(trace, "%c%d", i > 0 ? ',' : ' ',
                               (int)record->end.parts[i]);
    }
    g_string_append(trace, "; ");
}

static void
publish_suspect(void *context, KcServerPool *pool, const KcSuspectNews *news)
{
    static const char *const kind_names[KC_SUSPECT_NEWS_KIND_COUNT] = {
        "end", "cleared", "blocked", "ask", "try"};

    g_assert_cmpstr(pool->service, ==, "llm");
    g_string_append_printf(((Fixture *)context)->trace, "say %s %d; ",
                           kind_names[news->kind], (int)news->part);
}

static void
record_suspect(void *context, const KcServerPool *pool, KcSuspectStep step,
               const KcSuspect *suspect, bool is_own)
{
    (void)pool;
    (void)is_own;
    g_string_append_printf(((Fixture *)context)->trace, "%d %s; ",
                           (int)suspect->part, KcSuspectStep_Name(step));
}

static KcTime
get_configuration_age(void *context)
{
    return ((Fixture *)context)->configuration_age;
}

const KcGatewayOps GatewaySteps_Ops = {
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .request_load = request_load,
    .check_server = check_server,
    .refresh_servers = refresh_servers,
    .close_connections = GatewayStubs_IgnoreServer,
    .record_request = record_request,
    .record_loss = GatewayStubs_RecordLoss,
    .ask_end = ask_end,
    .publish_suspect = publish_suspect,
    .record_suspect = record_suspect,
    .record_notice = record_notice,
    .configuration_age = get_configuration_age};

static void
on_answer_begin(void *context, const void *head, bool stream)
{
    Caller *caller = context;

    (void)head;
    if (stream) {
        g_string_append_printf(caller->fixture->trace, "%d:begin; ",
                               caller->number);
    }
}

static void
on_data(void *context, KcBytes bytes)
{
    Caller *caller = context;

    g_string_append_printf(caller->fixture->trace, "%d:%.*s; ", caller->number,
                           (int)bytes.size, bytes.data);
}

static void
on_end(void *context)
{
    Caller *caller = context;

    caller->forward = NULL;
    g_string_append_printf(caller->fixture->trace, "%d:end; ", caller->number);
}

static void
on_broken(void *context, const KcError *error)
{
    Caller *caller = context;

    (void)error;
    caller->forward = NULL;
    g_string_append_printf(caller->fixture->trace, "%d:broken; ",
                           caller->number);
}

static void
on_refused(void *context, const KcForwardRefusal *refusal)
{
    Caller *caller = context;

    caller->forward = NULL;
    caller->refusal = *refusal;
    g_string_append_printf(caller->fixture->trace, "%d:%s %s", caller->number,
                           refusal->may_have_run ? "unknown" : "not run",
                           KcError_Name(refusal->error.code));
    if (!refusal->may_have_run && refusal->retry_after == 0) {
        g_string_append(caller->fixture->trace, " for good");
    }
    else if (refusal->retry_after != 0 &&
             refusal->retry_after != 400 * KC_MS) {
        g_string_append_printf(caller->fixture->trace, " after %d",
                               (int)(refusal->retry_after / KC_MS));
    }
    g_string_append(caller->fixture->trace, "; ");
}

const KcForwardOps GatewaySteps_CallerOps = {on_answer_begin, on_data, on_end,
                                             on_broken, on_refused};
