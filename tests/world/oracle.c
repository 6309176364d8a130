/*
 * Checks the promises of the service; see oracle.h.
 */
#include "oracle.h"

#include <stdio.h>
#include <string.h>

#include "world_internal.h"

/* New work may reach a leaving backend server for this long. */
#define LEAVING_WORK_TIMEOUT (3 * KC_SECOND)

static char finding[512];

static const char *
report_caller(const WorldCaller *caller, const char *what)
{
    snprintf(finding, sizeof(finding),
             "request %u (%s%s@%u, outcome %s, code %d): %s", caller->number,
             caller->is_plain ? "plain " : "", caller->requested_model.adapter,
             caller->requested_model.version, KcOutcome_Name(caller->outcome),
             caller->error_code, what);
    return finding;
}

static const char *
report_node(const WorldNode *node, const char *what, uint64_t value)
{
    snprintf(finding, sizeof(finding), "%s: %s (%llu)", node->name, what,
             (unsigned long long)value);
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

/* Checks that the received text is the answer, or a prefix of it unless the
 * outcome is answered. */
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
        result = report_caller(caller,
                               "received text that differs from its answer");
    }
    else if (caller->finished && caller->outcome == KC_OUTCOME_ANSWERED &&
             received_size != KcBuffer_Size(&expected)) {
        result = report_caller(caller,
                               "outcome answered, but received only a part");
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
            caller->execution_count > 0) {
            return report_caller(caller, "outcome not_run, but was executed");
        }
    }
    return NULL;
}

/* Number of executions with a key, over all callers that used it. */
static uint32_t
count_key_executions(World *world, uint32_t key)
{
    const WorldCaller *caller;
    uint32_t total = 0;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->is_plain && caller->key_number == key) {
            total += caller->execution_count;
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
        if (caller->execution_count > 1) {
            return report_caller(caller, "was executed more than once");
        }
        if (caller->key_number != 0 && caller->execution_count > 0 &&
            count_key_executions(world, caller->key_number) > 1) {
            return report_caller(caller,
                                 "another call with its key was executed too");
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
            return report_node(node, "received new work while leaving",
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
            !caller->is_abandoned) {
            return report_caller(caller, "interrupted by a planned stop");
        }
        if (caller->finished && caller->answer_started &&
            caller->outcome != KC_OUTCOME_ANSWERED) {
            return report_caller(caller, "its answer began but is incomplete");
        }
        /* Unknown is allowed at the deadline: a running call is cancelled
         * then. */
        if (caller->finished && caller->outcome == KC_OUTCOME_UNKNOWN &&
            !caller->is_duplicate &&
            caller->ended_at - caller->submitted < world->options.deadline) {
            return report_caller(caller, "outcome unknown without a fault");
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

/* The generation in a process's lease object, which kcc status shows. */
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

/* Checks that the generation only grows within an incarnation and that it was
 * accepted. */
static const char *
check_generation(World *world, WorldNode *node)
{
    uint64_t generation = current_generation(node);

    if (generation < node->highest_generation) {
        return report_node(node, "its generation decreased", generation);
    }
    node->highest_generation = generation;
    if (generation > world->accepted_generation) {
        return report_node(node, "generation was never accepted", generation);
    }
    if (reported_generation(world, node) > world->accepted_generation) {
        return report_node(
            node, "its lease object has a generation that was never accepted",
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
            return report_node(node, "the accepted generation is not in force",
                               current_generation(node));
        }
        if (reported_generation(world, node) != world->accepted_generation) {
            return report_node(
                node, "its lease object lacks the accepted generation",
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
        if (!caller->finished && !caller->entry_lost &&
            !caller->is_abandoned) {
            return report_caller(caller, "did not end");
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
            return report_node(node, "counted protocol errors of a peer",
                               count);
        }
    }
    return NULL;
}

/* ---- all promises ------------------------------------------------------- */

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
