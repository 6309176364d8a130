/*
 * Questions and answers of GET /explain.
 */
#include "explain_json.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* ---- the question ---------------------------------------------------------- */

static bool
read_text(KcExplainQuestion *question, size_t offset, const char *text)
{
    *(const char **)((char *)question + offset) = text;
    return true;
}

static bool
read_number(KcExplainQuestion *question, size_t offset, const char *text)
{
    uint64_t *number = (uint64_t *)((char *)question + offset);
    char *end;

    if (text[0] < '0' || text[0] > '9') {
        return false;
    }
    *number = strtoull(text, &end, 10);
    return *end == '\0' && *number <= INT32_MAX;
}

static bool
read_timeout(KcExplainQuestion *question, size_t offset, const char *text)
{
    uint64_t *number = (uint64_t *)((char *)question + offset);

    if (!read_number(question, offset, text)) {
        return false;
    }
    question->call.timeout = (KcTime)*number * KC_MS;
    return true;
}

static bool
read_parts(KcExplainQuestion *question, size_t offset, const char *text)
{
    char *end;

    (void)offset;
    question->call.parts = question->parts;
    while (question->call.part_count < KC_PROMPT_PARTS_MAX) {
        if (strspn(text, "0123456789abcdefABCDEF") == 0) {
            return false;
        }
        question->parts[question->call.part_count++] =
            strtoull(text, &end, 16);
        if (*end != ',') {
            return *end == '\0';
        }
        text = end + 1;
    }
    return false;
}

static const struct {
    const char *name;
    bool (*read)(KcExplainQuestion *question, size_t offset, const char *text);
    size_t offset;
    const char *problem;
} question_fields[] = {
    {"host", read_text, offsetof(KcExplainQuestion, call.host), NULL},
    {"path", read_text, offsetof(KcExplainQuestion, call.path), NULL},
    {"model", read_text, offsetof(KcExplainQuestion, call.model), NULL},
    {"adapter", read_text, offsetof(KcExplainQuestion, call.adapter), NULL},
    {"customer", read_text, offsetof(KcExplainQuestion, customer), NULL},
    {"parts", read_parts, 0, "parts are hexadecimal, separated by commas"},
    {"prompt_tokens", read_number,
     offsetof(KcExplainQuestion, call.prompt_tokens),
     "prompt_tokens is no number"},
    {"answer_tokens", read_number,
     offsetof(KcExplainQuestion, call.answer_tokens_max),
     "answer_tokens is no number"},
    {"hint_tokens", read_number, offsetof(KcExplainQuestion, hint_tokens),
     "hint_tokens is no number"},
    {"timeout_ms", read_timeout, offsetof(KcExplainQuestion, call.timeout),
     "timeout_ms is no number"},
};

#define FIELD_COUNT (sizeof(question_fields) / sizeof(question_fields[0]))

/* Reads a field; returns NULL or what is wrong. */
static const char *
read_field(KcExplainQuestion *question, const char *name, const char *text)
{
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if (strcmp(question_fields[i].name, name) == 0) {
            return question_fields[i].read(question, question_fields[i].offset,
                                           text)
                       ? NULL
                       : question_fields[i].problem;
        }
    }
    return "a field is not known; a key is no field";
}

/* Takes the tokens that the request states, if it states any. */
static void
settle_tokens(KcExplainQuestion *question)
{
    KcForwardCall *call = &question->call;

    if (call->prompt_tokens > 0 || call->answer_tokens_max > 0) {
        KcForwardCall_SetTokens(
            call, call->prompt_tokens, call->answer_tokens_max,
            question->hint_tokens > 0 ? question->hint_tokens : UINT64_MAX);
    }
}

const char *
KcExplainQuestion_Read(KcExplainQuestion *question, const json_t *fields)
{
    const char *name;
    json_t *value;

    *question = (KcExplainQuestion){
        .call = {.id = "", .host = "", .path = "", .model = "", .adapter = ""},
        .customer = ""};
    json_object_foreach ((json_t *)fields, name, value) {
        const char *problem =
            read_field(question, name, json_string_value(value));

        if (problem != NULL) {
            return problem;
        }
    }
    if (question->call.host[0] == '\0' || question->call.path[0] != '/') {
        return "host and path are needed, and a path begins with a slash";
    }
    settle_tokens(question);
    return NULL;
}

/* ---- the answer ------------------------------------------------------------ */

static json_t *
encode_time(KcTime time)
{
    return time != KC_NEVER ? json_integer((json_int_t)(time / KC_MS))
                            : json_null();
}

static json_t *
encode_server(const KcServer *server)
{
    return server != NULL ? json_string(server->id) : json_null();
}

/* The parts of the cost that are not 0. */
static json_t *
encode_costs(const KcCandidate *candidate)
{
    json_t *costs = json_object();

    for (size_t i = 0; i < KC_COST_TERM_COUNT; i++) {
        if (candidate->costs[i] != 0) {
            json_object_set_new(
                costs, KcCostTerm_Name(i),
                json_real((double)candidate->costs[i] / (double)KC_MS));
        }
    }
    return costs;
}

static json_t *
encode_candidate(const KcCandidate *candidate)
{
    const KcServer *server = candidate->server;
    json_t *json = json_pack(
        "{s:s, s:s, s:s, s:s, s:f, s:o, s:I, s:I, s:I, s:o, s:o}", "server",
        server->id, "address", server->address, "datacentre",
        server->datacentre, "reason", candidate->reason, "cost_ms",
        (double)candidate->cost / (double)KC_MS, "costs_ms",
        encode_costs(candidate), "load", (json_int_t)candidate->load,
        "in_flight", (json_int_t)server->in_flight, "concurrency_max",
        (json_int_t)server->concurrency_max, "load_age_ms",
        encode_time(candidate->load_age), "closed_ms",
        encode_time(candidate->closed_for));

    if (candidate->holding != KC_HOLDING_NONE) {
        json_object_set_new(json, "adapter",
                            json_string(KcHolding_Name(candidate->holding)));
        json_object_set_new(json, "version",
                            json_integer((json_int_t)candidate->version));
        json_object_set_new(json, "no_load",
                            candidate->no_load != NULL
                                ? json_string(candidate->no_load)
                                : json_null());
    }
    return json;
}

static json_t *
encode_refusal(const KcExplanation *explanation)
{
    char part[KC_PARTS_TEXT_SIZE];
    json_t *json = json_pack(
        "{s:s, s:s, s:o}", "step", explanation->step, "error",
        KcError_Name(explanation->code), "retry_after_ms",
        explanation->retry_after != 0 ? encode_time(explanation->retry_after)
                                      : json_null());

    if (explanation->part != 0) {
        KcParts_Format(&explanation->part, 1, part);
        json_object_set_new(json, "part", json_string(part));
    }
    return json;
}

static json_t *
encode_route(const KcExplanation *explanation)
{
    const KcRouteRule *rule = explanation->rule;

    return json_pack(
        "{s:s, s:s, s:s, s:s, s:o, s:I, s:I}", "name", rule->name, "host",
        rule->host, "prefix", rule->prefix, "kind",
        KcRequestKind_Name(rule->kind), "service",
        explanation->target != NULL ? json_string(explanation->target->service)
                                    : json_null(),
        "priority", (json_int_t)explanation->priority, "time_left_ms",
        (json_int_t)(explanation->time_left / KC_MS));
}

static json_t *
encode_customer(const KcExplanation *explanation)
{
    const KcRoutedCustomer *customer = explanation->customer;
    const KcQuotaState *quota = &explanation->quota;
    json_t *json = json_pack(
        "{s:s, s:s, s:f, s:I, s:b}", "name", customer->name, "unit",
        KcQuotaUnit_Name(customer->unit), "rate_per_s", customer->rate_per_s,
        "cost", (json_int_t)explanation->quota_cost, "quota_unknown",
        (int)explanation->is_quota_unknown);

    if (!explanation->is_quota_unknown && customer->rate_per_s > 0) {
        json_object_set_new(json, "level", json_real(quota->level));
        json_object_set_new(json, "may_spend", json_real(quota->may_spend));
    }
    return json;
}

json_t *
KcExplanation_ToJson(const KcExplanation *explanation)
{
    bool is_refused = explanation->foresight == KC_FORESEE_REFUSAL;
    json_t *servers = json_array();
    const KcCandidate *candidate;

    TAILQ_FOREACH (candidate, &explanation->candidates, link) {
        json_array_append_new(servers, encode_candidate(candidate));
    }
    return json_pack(
        "{s:s, s:o, s:o, s:o, s:o, s:I, s:o, s:{s:I, s:I, s:o, s:I}, s:o}",
        "result", KcForesight_Name(explanation->foresight), "refusal",
        is_refused ? encode_refusal(explanation) : json_null(), "route",
        explanation->rule != NULL ? encode_route(explanation) : json_null(),
        "customer",
        explanation->customer != NULL ? encode_customer(explanation)
                                      : json_null(),
        "server", encode_server(explanation->server), "version",
        (json_int_t)explanation->version, "further_load",
        encode_server(explanation->new_replica_server), "queue", "length",
        (json_int_t)explanation->queue_length, "place",
        (json_int_t)explanation->queue_place, "expected_wait_ms",
        encode_time(explanation->expected_wait), "decided_again_ms",
        (json_int_t)(explanation->wait_max / KC_MS), "servers", servers);
}
