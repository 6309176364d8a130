/*
 * Builds a version of the routing configuration, and finds the rule, the
 * target and the service of a request in it.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kcc_routing.h"
#include "routing_internal.h"

KcRouting *
KcRouting_Create(uint64_t version)
{
    KcRouting *routing = KcMem_New(sizeof(*routing));

    routing->references = 1;
    routing->version = version;
    TAILQ_INIT(&routing->service_list);
    TAILQ_INIT(&routing->customer_list);
    return routing;
}

static void
to_lower_case(char *text)
{
    for (; *text != '\0'; text++) {
        if (*text >= 'A' && *text <= 'Z') {
            *text = (char)(*text - 'A' + 'a');
        }
    }
}

static KcRouteHost *
find_host(const KcRouting *routing, const char *name)
{
    KcRouteHost *host;

    HASH_FIND_STR(routing->hosts, name, host);
    return host;
}

KcRouteRule *
KcRouting_AddRule(KcRouting *routing, const char *host_name,
                  const char *prefix)
{
    KcRouteRule *rule = KcMem_New(sizeof(*rule));
    KcRouteHost *host;
    KcRouteRule *shorter; /* first rule with a shorter prefix */

    KcText_Copy(rule->host, host_name, sizeof(rule->host));
    KcText_Copy(rule->prefix, prefix, sizeof(rule->prefix));
    to_lower_case(rule->host);
    TAILQ_INIT(&rule->targets);
    host = find_host(routing, rule->host);
    if (host == NULL) {
        host = KcMem_New(sizeof(*host));
        KcText_Copy(host->name, rule->host, sizeof(host->name));
        TAILQ_INIT(&host->rules);
        HASH_ADD_STR(routing->hosts, name, host);
    }
    TAILQ_FOREACH (shorter, &host->rules, link) {
        if (strlen(shorter->prefix) < strlen(rule->prefix)) {
            break;
        }
    }
    if (shorter != NULL) {
        TAILQ_INSERT_BEFORE(shorter, rule, link);
    }
    else {
        TAILQ_INSERT_TAIL(&host->rules, rule, link);
    }
    routing->rule_count++;
    return rule;
}

void
KcRouting_AddTarget(KcRouteRule *rule, const char *service, uint32_t weight)
{
    KcRouteTarget *target = KcMem_New(sizeof(*target));

    KcText_Copy(target->service, service, KC_NAME_MAX);
    target->weight = weight;
    rule->weight_sum += weight;
    TAILQ_INSERT_TAIL(&rule->targets, target, link);
}

void
KcEngineCapacity_Init(KcEngineCapacity *capacity)
{
    memset(capacity, 0, sizeof(*capacity));
    TAILQ_INIT(&capacity->models);
}

void
KcEngineCapacity_AddModel(KcEngineCapacity *capacity, const char *name,
                          double weights_megabytes, double adapter_megabytes)
{
    KcEngineModel *model = KcMem_New(sizeof(*model));

    KcText_Copy(model->name, name, KC_NAME_MAX);
    model->weights_megabytes = weights_megabytes;
    model->adapter_megabytes = adapter_megabytes;
    TAILQ_INSERT_TAIL(&capacity->models, model, link);
}

void
KcEngineCapacity_Copy(KcEngineCapacity *to, const KcEngineCapacity *from)
{
    const KcEngineModel *model;

    *to = *from;
    TAILQ_INIT(&to->models);
    TAILQ_FOREACH (model, &from->models, link) {
        KcEngineCapacity_AddModel(to, model->name, model->weights_megabytes,
                                  model->adapter_megabytes);
    }
}

void
KcEngineCapacity_Clear(KcEngineCapacity *capacity)
{
    KcEngineModel *model;

    while ((model = TAILQ_FIRST(&capacity->models)) != NULL) {
        TAILQ_REMOVE(&capacity->models, model, link);
        free(model);
    }
}

const KcEngineModel *
KcEngineCapacity_FindModel(const KcEngineCapacity *capacity, const char *name)
{
    const KcEngineModel *model;

    TAILQ_FOREACH (model, &capacity->models, link) {
        if (strcmp(model->name, name) == 0) {
            return model;
        }
    }
    return NULL;
}

KcRoutedService *
KcRouting_AddService(KcRouting *routing, const char *name)
{
    KcRoutedService *service;

    HASH_FIND_STR(routing->services, name, service);
    if (service == NULL) {
        service = KcMem_New(sizeof(*service));
        KcText_Copy(service->name, name, KC_NAME_MAX);
        KcEngineCapacity_Init(&service->engine);
        HASH_ADD_STR(routing->services, name, service);
        TAILQ_INSERT_TAIL(&routing->service_list, service, link);
    }
    return service;
}

static bool
is_rule_valid(const KcRouteRule *rule)
{
    size_t length = strlen(rule->prefix);

    return rule->weight_sum > 0 && rule->request_timeout > 0 &&
           rule->attempts_max > 0 && length > 0 && rule->prefix[0] == '/' &&
           rule->prefix[length - 1] == '/';
}

int
KcRouting_Validate(KcRouting *routing, KcError *err)
{
    KcRouteHost *host;
    KcRouteHost *next_host;
    KcRouteRule *rule;

    HASH_ITER(hh, routing->hosts, host, next_host)
    {
        TAILQ_FOREACH (rule, &host->rules, link) {
            if (!is_rule_valid(rule)) {
                return KcError_Set(err, KC_ERR_INVALID, "route", rule->name);
            }
        }
    }
    return 0;
}

KcRouting *
KcRouting_Retain(KcRouting *routing)
{
    routing->references++;
    return routing;
}

static void
free_rule(KcRouteRule *rule)
{
    KcRouteTarget *target;

    while ((target = TAILQ_FIRST(&rule->targets)) != NULL) {
        TAILQ_REMOVE(&rule->targets, target, link);
        free(target);
    }
    free(rule);
}

static void
free_host(KcRouteHost *host)
{
    KcRouteRule *rule;

    while ((rule = TAILQ_FIRST(&host->rules)) != NULL) {
        TAILQ_REMOVE(&host->rules, rule, link);
        free_rule(rule);
    }
    free(host);
}

void
KcRouting_Release(KcRouting *routing)
{
    KcRouteHost *host;
    KcRouteHost *next_host;
    KcRoutedService *service;

    if (routing == NULL || --routing->references > 0) {
        return;
    }
    HASH_ITER(hh, routing->hosts, host, next_host)
    {
        HASH_DEL(routing->hosts, host);
        free_host(host);
    }
    HASH_CLEAR(hh, routing->services);
    while ((service = TAILQ_FIRST(&routing->service_list)) != NULL) {
        TAILQ_REMOVE(&routing->service_list, service, link);
        KcEngineCapacity_Clear(&service->engine);
        free(service);
    }
    KcRouting_ClearCustomers(routing);
    free(routing);
}

const KcRouteRule *
KcRouting_FindRule(const KcRouting *routing, const char *host_text,
                   const char *path)
{
    char name[KC_HOST_MAX];
    size_t path_length = strcspn(path, "?"); /* without the query */
    KcRouteHost *host;
    KcRouteRule *rule;

    KcText_Copy(name, host_text, sizeof(name));
    name[strcspn(name, ":")] = '\0'; /* without the port */
    to_lower_case(name);
    host = find_host(routing, name);
    if (host == NULL) {
        return NULL;
    }
    TAILQ_FOREACH (rule, &host->rules, link) {
        size_t prefix_length = strlen(rule->prefix);

        if (prefix_length <= path_length &&
            memcmp(rule->prefix, path, prefix_length) == 0) {
            return rule;
        }
    }
    return NULL;
}

const KcRouteTarget *
KcRouting_ChooseTarget(const KcRouteRule *rule, uint64_t draw)
{
    const KcRouteTarget *target;
    uint64_t remaining = draw % rule->weight_sum;

    TAILQ_FOREACH (target, &rule->targets, link) {
        if (remaining < target->weight) {
            return target;
        }
        remaining -= target->weight;
    }
    assert(false);
    return TAILQ_FIRST(&rule->targets);
}

const KcRoutedService *
KcRouting_FindService(const KcRouting *routing, const char *name)
{
    KcRoutedService *service;

    HASH_FIND_STR(routing->services, name, service);
    return service;
}

const char *
KcRequestKind_Name(KcRequestKind kind)
{
    static const char *const names[KC_REQUEST_KIND_COUNT] = {"safe", "unsafe",
                                                             "stream"};

    assert(kind < KC_REQUEST_KIND_COUNT);
    return names[kind];
}

const char *
KcQuotaUnit_Name(KcQuotaUnit unit)
{
    static const char *const names[KC_QUOTA_UNIT_COUNT] = {"requests",
                                                           "tokens"};

    assert(unit < KC_QUOTA_UNIT_COUNT);
    return names[unit];
}
