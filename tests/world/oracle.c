/*
 * The oracle.
 */
#include "oracle.h"

#include <stdio.h>
#include <string.h>

#include "world_internal.h"

/* "A few seconds" after which a leaving backend server gets no new work. */
#define LEAVING_MAX (3 * KC_SECOND)

static char finding[512];

static const char *
found(const WorldCaller *caller, const char *what)
{
    snprintf(finding, sizeof(finding),
             "request %u (%s%s@%u, outcome %s, code %d): %s", caller->number,
             caller->plain ? "plain " : "", caller->model.adapter,
             caller->model.version, KcOutcome_Name(caller->outcome),
             caller->code, what);
    return finding;
}

static const char *
found_at(const WorldNode *node, const char *what, uint64_t number)
{
    snprintf(finding, sizeof(finding), "%s: %s (%llu)", node->name, what,
             (unsigned long long)number);
    return finding;
}

const char *
Oracle_RightModel(World *world)
{
    const WorldCaller *caller;
    char wanted[KC_ADAPTER_REF_TEXT_SIZE];

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->plain || !caller->started) {
            continue;
        }
        KcAdapterRef_Format(&caller->model, wanted);
        if (strcmp(wanted, caller->answered_by) != 0) {
            return found(caller, "answered by another model");
        }
    }
    return NULL;
}

const char *
Oracle_NoEvictionInUse(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];

        if (node->engine != NULL && node->engine->evicted_active > 0) {
            return found_at(node, "evicted an adapter in use",
                            node->engine->evicted_active);
        }
    }
    return NULL;
}

/* Is what was received the answer, or the beginning of it? */
static const char *
check_text(const WorldCaller *caller)
{
    KcBuffer expected = {0};
    size_t got = KcBuffer_Size(&caller->received);
    const char *result = NULL;

    WorldCaller_Expected(caller, &expected);
    if (got > KcBuffer_Size(&expected)) {
        result = found(caller, "received more than the answer");
    }
    else if (got > 0 && memcmp(KcBuffer_Data(&caller->received),
                               KcBuffer_Data(&expected), got) != 0) {
        result = found(caller, "received something else");
    }
    else if (caller->finished && caller->outcome == KC_OUTCOME_ANSWERED &&
             got != KcBuffer_Size(&expected)) {
        result = found(caller, "was told answered and received less");
    }
    KcBuffer_Clear(&expected);
    return result;
}

const char *
Oracle_WholeAnswers(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        const char *result = check_text(caller);

        if (result != NULL) {
            return result;
        }
    }
    return NULL;
}

const char *
Oracle_NotRunMeansNotRun(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->finished && caller->outcome == KC_OUTCOME_NOT_RUN &&
            caller->executions > 0) {
            return found(caller, "was told not_run and ran");
        }
    }
    return NULL;
}

/* Executions under a key, over all callers that used it. */
static uint32_t
executions_of_key(World *world, uint32_t key)
{
    const WorldCaller *caller;
    uint32_t total = 0;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->plain && caller->key == key) {
            total += caller->executions;
        }
    }
    return total;
}

const char *
Oracle_AtMostOnce(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (!caller->plain) {
            continue;
        }
        if (caller->executions > 1) {
            return found(caller, "was executed more than once");
        }
        if (caller->key != 0 && caller->executions > 0 &&
            executions_of_key(world, caller->key) > 1) {
            return found(caller, "its key was executed more than once");
        }
    }
    return NULL;
}

const char *
Oracle_LeavingGetsNoWork(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];

        if (node->engine != NULL && node->alive && node->draining &&
            node->engine->last_start > node->draining_since + LEAVING_MAX) {
            return found_at(node, "new work while leaving",
                            node->engine->starts);
        }
    }
    return NULL;
}

const char *
Oracle_PlannedStopsCutNothing(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (caller->lost && caller->started && !caller->abandoned) {
            return found(caller, "cut off by a planned stop");
        }
        if (caller->finished && caller->started &&
            caller->outcome != KC_OUTCOME_ANSWERED) {
            return found(caller, "began and was not answered whole");
        }
        /* A call that began just before its deadline is withdrawn at it. */
        if (caller->finished && caller->outcome == KC_OUTCOME_UNKNOWN &&
            !caller->duplicate &&
            caller->ended - caller->submitted < world->options.deadline) {
            return found(caller, "unknown without a fault");
        }
    }
    return NULL;
}

static uint64_t
generation_of(const WorldNode *node)
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
    uint64_t generation = generation_of(node);

    if (generation < node->generation) {
        return found_at(node, "its generation went back", generation);
    }
    node->generation = generation;
    if (generation > world->accepted) {
        return found_at(node, "has a generation nobody accepted", generation);
    }
    if (reported_generation(world, node) > world->accepted) {
        return found_at(node, "status says more than was accepted",
                        world->accepted);
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
Oracle_ConfigurationHolds(World *world)
{
    const char *result = check_generations(world);

    for (uint32_t i = 0; i < world->node_count && result == NULL; i++) {
        WorldNode *node = &world->nodes[i];

        if (!node->alive) {
            continue;
        }
        if (generation_of(node) != world->accepted) {
            return found_at(node, "lacks the accepted generation",
                            generation_of(node));
        }
        if (reported_generation(world, node) != world->accepted) {
            return found_at(node, "status does not say what is in force",
                            reported_generation(world, node));
        }
    }
    return result;
}

const char *
Oracle_NothingLost(World *world)
{
    const WorldCaller *caller;

    TAILQ_FOREACH (caller, &world->callers, link) {
        if (!caller->finished && !caller->lost && !caller->abandoned) {
            return found(caller, "never ended");
        }
    }
    return NULL;
}

const char *
Oracle_NoBrokenRules(World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const WorldNode *node = &world->nodes[i];
        uint64_t count = node->counters.values[KC_COUNT_PROTOCOL_ERRORS];

        if (count > 0) {
            return found_at(node, "a rule of the link was broken", count);
        }
    }
    return NULL;
}

/* ---- all together ------------------------------------------------------- */

static const char *(*const at_every_moment[])(World *world) = {
    Oracle_RightModel,        Oracle_NoEvictionInUse, Oracle_WholeAnswers,
    Oracle_NotRunMeansNotRun, Oracle_AtMostOnce,      Oracle_LeavingGetsNoWork,
    check_generations,        Oracle_NoBrokenRules,
};

const char *
Oracle_CheckNow(World *world)
{
    size_t count = sizeof(at_every_moment) / sizeof(at_every_moment[0]);

    for (size_t i = 0; i < count; i++) {
        const char *result = at_every_moment[i](world);

        if (result != NULL) {
            return result;
        }
    }
    return NULL;
}

const char *
Oracle_CheckAtRest(World *world, bool faultless)
{
    const char *result = Oracle_CheckNow(world);

    if (result == NULL) {
        result = Oracle_ConfigurationHolds(world);
    }
    if (result == NULL) {
        result = Oracle_NothingLost(world);
    }
    if (result == NULL && faultless) {
        result = Oracle_PlannedStopsCutNothing(world);
    }
    return result;
}
