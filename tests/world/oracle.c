/*
 * The oracle.
 */
#include "oracle.h"

#include <stdio.h>
#include <string.h>

#include "world_internal.h"

/* "A few seconds" after which a leaving backend server gets no new work. */
#define LEAVING_WORK_TIMEOUT (3 * KC_SECOND)

static char finding[512];

static const char *
report_caller(const WorldCaller *caller, const char *what)
{
    snprintf(finding, sizeof(finding),
             "request %u (%s%s@%u, outcome %s, code %d): %s", caller->number,
             caller->is_plain ? "plain " : "", caller->requested_model.adapter,
             caller->requested_model.version, KcOutcome_Name(caller->outcome),
             caller->code, what);
    return finding;
}

static const char *
report_node(const WorldNode *node, const char *what, uint64_t number)
{
    snprintf(finding, sizeof(finding), "%s: %s (%llu)", node->name, what,
             (unsigned long long)number);
    return finding;
}

const char *
Oracle_CheckRightModel(World *world)
{
    const WorldCaller *caller;
    char requested[KC_ADAPTER_REF_TEXT_SIZE];

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->is_plain || !caller->answer_started) {
            continue;
        }
        KcAdapterRef_Format(&caller->requested_model, requested);
        if (strcmp(requested, caller->answered_by) != 0) {
            return report_caller(caller, "answered by another model");
        }
    }
    return NULL;
}

const char *
Oracle_CheckNoEvictionInUse(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];

        if (node->engine != NULL && node->engine->evictions_in_use > 0) {
            return report_node(node, "evicted an adapter in use",
                               node->engine->evictions_in_use);
        }
    }
    return NULL;
}

/* Is what was received the answer, or the beginning of it? */
static const char *
check_received_text(const WorldCaller *caller)
{
    KcBuffer expected = {0};
    size_t received_size = KcBuffer_Size(&caller->received_text);
    const char *result = NULL;

    WorldCaller_AppendExpectedAnswer(caller, &expected);
    if (received_size > KcBuffer_Size(&expected)) {
        result = report_caller(caller, "received more than the answer");
    }
    else if (received_size > 0 &&
             memcmp(KcBuffer_Data(&caller->received_text),
                    KcBuffer_Data(&expected), received_size) != 0) {
        result = report_caller(caller, "received something else");
    }
    else if (caller->finished && caller->outcome == KC_OUTCOME_ANSWERED &&
             received_size != KcBuffer_Size(&expected)) {
        result = report_caller(caller, "was told answered and received less");
    }
    KcBuffer_Clear(&expected);
    return result;
}

const char *
Oracle_CheckWholeAnswers(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        const char *result = check_received_text(caller);

        if (result != NULL) {
            return result;
        }
    }
    return NULL;
}

const char *
Oracle_CheckNotRun(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->finished && caller->outcome == KC_OUTCOME_NOT_RUN &&
            caller->executions > 0) {
            return report_caller(caller, "was told not_run and ran");
        }
    }
    return NULL;
}

/* Executions under a key, over all callers that used it. */
static uint32_t
count_key_executions(World *world, uint32_t key)
{
    const WorldCaller *caller;
    uint32_t total = 0;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->is_plain && caller->key == key) {
            total += caller->executions;
        }
    }
    return total;
}

const char *
Oracle_CheckAtMostOnce(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (!caller->is_plain) {
            continue;
        }
        if (caller->executions > 1) {
            return report_caller(caller, "was executed more than once");
        }
        if (caller->key != 0 && caller->executions > 0 &&
            count_key_executions(world, caller->key) > 1) {
            return report_caller(caller,
                                 "its key was executed more than once");
        }
    }
    return NULL;
}

const char *
Oracle_CheckNoWorkWhenLeaving(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];

        if (node->engine != NULL && node->alive && node->leaving &&
            node->engine->last_started_at >
                node->leaving_started_at + LEAVING_WORK_TIMEOUT) {
            return report_node(node, "new work while leaving",
                               node->engine->started_calls);
        }
    }
    return NULL;
}

const char *
Oracle_CheckPlannedStops(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->entry_lost && caller->answer_started &&
            !caller->abandoned) {
            return report_caller(caller, "cut off by a planned stop");
        }
        if (caller->finished && caller->answer_started &&
            caller->outcome != KC_OUTCOME_ANSWERED) {
            return report_caller(caller, "began and was not answered whole");
        }
        /* A call that began just before its deadline is withdrawn at it. */
        if (caller->finished && caller->outcome == KC_OUTCOME_UNKNOWN &&
            !caller->is_duplicate &&
            caller->ended_at - caller->submitted < world->options.deadline) {
            return report_caller(caller, "unknown without a fault");
        }
    }
    return NULL;
}

static uint64_t
current_generation(const WorldNode *node)
{
    return node->entry != NULL ? KcEntry_Generation(node->entry)
                               : KcAgent_Generation(node->agent);
}

/* What status says of a process: the generation in its lease object. */
static uint64_t
reported_generation(World *world, const WorldNode *node)
{
    char name[KC_OBJECT_NAME_MAX];
    KcLeaseValue value;
    WorldObject *object;
    KcBytes bytes;

    snprintf(name, sizeof(name), "%s%s", KC_OBJECT_LEASES, node->name);
    object = WorldStore_Find(world, name);
    if (object == NULL) {
        return 0;
    }
    bytes = (KcBytes){KcBuffer_Data(&object->value),
                      KcBuffer_Size(&object->value)};
    return KcLeaseValue_Decode(bytes, &value) == 0 ? value.generation : 0;
}

/* Highest generation that a process of this name has ever had. */
static const char *
check_generation(World *world, WorldNode *node)
{
    uint64_t generation = current_generation(node);

    if (generation < node->highest_generation) {
        return report_node(node, "its generation went back", generation);
    }
    node->highest_generation = generation;
    if (generation > world->accepted_generation) {
        return report_node(node, "has a generation nobody accepted",
                           generation);
    }
    if (reported_generation(world, node) > world->accepted_generation) {
        return report_node(node, "status says more than was accepted",
                           world->accepted_generation);
    }
    return NULL;
}

static const char *
check_generations(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const char *result;

        if (!world->nodes[i].alive) {
            continue;
        }
        result = check_generation(world, &world->nodes[i]);
        if (result != NULL) {
            return result;
        }
    }
    return NULL;
}

const char *
Oracle_CheckConfiguration(World *world)
{
    const char *result = check_generations(world);

    for (uint32_t i = 0; i < world->node_count && result == NULL; i++) {
        WorldNode *node = &world->nodes[i];

        if (!node->alive) {
            continue;
        }
        if (current_generation(node) != world->accepted_generation) {
            return report_node(node, "lacks the accepted generation",
                               current_generation(node));
        }
        if (reported_generation(world, node) != world->accepted_generation) {
            return report_node(node, "status does not say what is in force",
                               reported_generation(world, node));
        }
    }
    return result;
}

const char *
Oracle_CheckRequestsEnded(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (!caller->finished && !caller->entry_lost && !caller->abandoned) {
            return report_caller(caller, "never ended");
        }
    }
    return NULL;
}

const char *
Oracle_CheckNoProtocolErrors(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];
        uint64_t count = node->counters.values[KC_COUNT_PROTOCOL_ERRORS];

        if (count > 0) {
            return report_node(node, "a rule of the link was broken", count);
        }
    }
    return NULL;
}

/* ---- all together ------------------------------------------------------- */

static const char *(*const safety_checks[])(World *world) = {
    Oracle_CheckRightModel,   Oracle_CheckNoEvictionInUse,
    Oracle_CheckWholeAnswers, Oracle_CheckNotRun,
    Oracle_CheckAtMostOnce,   Oracle_CheckNoWorkWhenLeaving,
    check_generations,        Oracle_CheckNoProtocolErrors,
};

const char *
Oracle_CheckNow(World *world)
{
    size_t count = sizeof(safety_checks) / sizeof(safety_checks[0]);

    for (size_t i = 0; i < count; i++) {
        const char *result = safety_checks[i](world);

        if (result != NULL) {
            return result;
        }
    }
    return NULL;
}

const char *
Oracle_CheckRecovered(World *world, bool faultless)
{
    const char *result = Oracle_CheckNow(world);

    if (result == NULL) {
        result = Oracle_CheckConfiguration(world);
    }
    if (result == NULL) {
        result = Oracle_CheckRequestsEnded(world);
    }
    if (result == NULL && faultless) {
        result = Oracle_CheckPlannedStops(world);
    }
    return result;
}
