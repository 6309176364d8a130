/*
 * Parses the sections of a document and validates them together.
 *
 * Sections are read in such an order that a name is defined before another
 * section refers to it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_version.h"

/* Context of the section readers. */
typedef struct Parser {
    KcDocument *document; /* being built */
    KcProblemList *problems;
} Parser;

/* A key whose value is a whole number from low to high. */
typedef struct NumberKey {
    const char *name;
    size_t offset; /* of an int64_t field in its struct */
    int64_t low;
    int64_t high;
    int64_t default_value;
} NumberKey;

static const NumberKey service_numbers[] = {
    {"slots", offsetof(KcService, slots), 1, 1024, 8},
    {"batch", offsetof(KcService, batch), 1, 4096, 16},
    {"queue_max", offsetof(KcService, queue_max), 1, 65536, 256},
    {"load_ms", offsetof(KcService, load_ms), 1, 600000, 250},
    {"service_ms", offsetof(KcService, service_ms), 1, 600000, 1000},
    {"deadline_ms", offsetof(KcService, deadline_ms), 1, 3600000, 60000},
    {"stall_weight", offsetof(KcService, stall_weight), 0, 100, 50},
    {"batch_weight", offsetof(KcService, batch_weight), 0, 100, 50},
    {"rare_stall_ms", offsetof(KcService, rare_stall_ms), 1, 600000, 5000},
    {"loads_per_minute", offsetof(KcService, loads_per_minute), 1, 1000000,
     420},
};

static const NumberKey limit_numbers[] = {
    {"rate_per_s", offsetof(KcLimit, rate_per_s), 1, 1000000, 1000},
    {"burst", offsetof(KcLimit, burst), 1, 1000000, 1000},
    {"in_flight", offsetof(KcLimit, in_flight), 1, 1000000, 10000},
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static void
add_problem(const KcIniItem *item, KcProblemList *problems, const char *text)
{
    char key[KC_NAME_MAX * 2];

    snprintf(key, sizeof(key), "[%.60s] %.60s", item->section, item->key);
    KcProblem_Add(problems, item->file, item->line, key, "%s", text);
}

/* Returns NAME of a section [KIND NAME]; NULL for another kind. */
static const char *
section_name(const KcIniItem *item, const char *kind)
{
    size_t length = strlen(kind);

    if (strncmp(item->section, kind, length) != 0 ||
        item->section[length] != ' ') {
        return NULL;
    }
    return item->section + length + 1;
}

/* Sets the field of a key in a table; false when the table lacks the key. */
static bool
set_number(const NumberKey *keys, size_t count, void *base,
           const KcIniItem *item, KcProblemList *problems)
{
    for (size_t i = 0; i < count; i++) {
        char text[128];
        int64_t *value;

        if (strcmp(keys[i].name, item->key) != 0) {
            continue;
        }
        value = (int64_t *)((char *)base + keys[i].offset);
        if (KcIni_Number(item->value, keys[i].low, keys[i].high, value) != 0) {
            snprintf(text, sizeof(text),
                     "expected a whole number from %lld to %lld",
                     (long long)keys[i].low, (long long)keys[i].high);
            add_problem(item, problems, text);
        }
        return true;
    }
    return false;
}

static void
set_defaults(const NumberKey *keys, size_t count, void *base)
{
    for (size_t i = 0; i < count; i++) {
        *(int64_t *)((char *)base + keys[i].offset) = keys[i].default_value;
    }
}

/* ---- regions ------------------------------------------------------------ */

static void
add_datacentre(Parser *parser, const KcIniItem *item, const char *region,
               const char *name)
{
    KcDatacentre *datacentre;

    if (KcName_Check(name) != 0) {
        add_problem(item, parser->problems, "not a valid data centre name");
        return;
    }
    if (KcDocument_Datacentre(parser->document, name) != NULL) {
        add_problem(item, parser->problems,
                    "the data centre is listed in two regions");
        return;
    }
    datacentre = KcMem_New(sizeof(*datacentre));
    KcName_Copy(datacentre->name, name, KC_NAME_MAX);
    KcName_Copy(datacentre->region, region, KC_NAME_MAX);
    TAILQ_INSERT_TAIL(&parser->document->datacentres, datacentre, link);
}

static void
visit_region(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    const char *region = section_name(item, "region");
    char names[256];
    char *rest = names;
    char *name;

    if (strcmp(item->section, "link") == 0 &&
        strcmp(item->key, "bytes_per_s") == 0) {
        if (KcIni_Number(item->value, 1, INT64_MAX,
                         &parser->document->link_bytes_per_s) != 0) {
            add_problem(item, problems, "expected a whole number of bytes");
        }
        return;
    }
    if (region == NULL || strcmp(item->key, "datacentres") != 0) {
        add_problem(item, problems,
                    "unknown key; expected [region NAME] "
                    "datacentres or [link] bytes_per_s");
        return;
    }
    KcName_Copy(names, item->value, sizeof(names));
    while ((name = strsep(&rest, " \t")) != NULL) {
        if (*name != '\0') {
            add_datacentre(parser, item, region, name);
        }
    }
}

/* ---- services ----------------------------------------------------------- */

static KcService *
find_or_add_service(Parser *parser, const KcIniItem *item, const char *name)
{
    KcService *service = KcDocument_Service(parser->document, name);

    if (service != NULL) {
        return service;
    }
    if (KcName_Check(name) != 0) {
        add_problem(item, parser->problems, "not a valid service name");
        return NULL;
    }
    service = KcMem_New(sizeof(*service));
    KcName_Copy(service->name, name, KC_NAME_MAX);
    service->repeatable = true;
    service->described = true;
    set_defaults(service_numbers, COUNT_OF(service_numbers), service);
    TAILQ_INSERT_TAIL(&parser->document->services, service, link);
    return service;
}

static void
set_service_kind(KcService *service, const KcIniItem *item,
                 KcProblemList *problems)
{
    if (strcmp(item->value, "model") == 0) {
        service->kind = KC_SERVICE_MODEL;
    }
    else if (strcmp(item->value, "plain") == 0) {
        service->kind = KC_SERVICE_PLAIN;
    }
    else {
        add_problem(item, problems, "expected model or plain");
    }
}

static void
set_service_flag(bool *flag, const KcIniItem *item, KcProblemList *problems)
{
    if (KcIni_Bool(item->value, flag) != 0) {
        add_problem(item, problems, "expected yes or no");
    }
}

/* Returns NAME of [service NAME]; adds a problem and returns NULL for any
 * other section. */
static const char *
service_section_name(const KcIniItem *item, KcProblemList *problems)
{
    const char *name = section_name(item, "service");

    if (name == NULL) {
        add_problem(item, problems, "expected a section [service NAME]");
    }
    return name;
}

static void
visit_service(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    const char *name = service_section_name(item, problems);
    KcService *service;

    if (name == NULL) {
        return;
    }
    service = find_or_add_service(parser, item, name);
    if (service == NULL) {
        return;
    }
    if (strcmp(item->key, "kind") == 0) {
        set_service_kind(service, item, problems);
    }
    else if (strcmp(item->key, "base_model") == 0) {
        KcName_Copy(service->base_model, item->value, KC_NAME_MAX);
    }
    else if (strcmp(item->key, "path") == 0) {
        KcName_Copy(service->path, item->value, KC_NAME_MAX);
    }
    else if (strcmp(item->key, "repeatable") == 0) {
        set_service_flag(&service->repeatable, item, problems);
    }
    else if (strcmp(item->key, "require_key") == 0) {
        set_service_flag(&service->require_key, item, problems);
    }
    else {
        add_problem(item, problems, "unknown key of a service");
    }
}

static void
visit_capacity(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    const char *name = service_section_name(item, problems);
    KcService *service;

    if (name == NULL) {
        return;
    }
    service = KcDocument_Service(parser->document, name);
    if (service == NULL) {
        add_problem(item, problems, "no such service in section services");
        return;
    }
    if (!set_number(service_numbers, COUNT_OF(service_numbers), service, item,
                    problems)) {
        add_problem(item, problems, "unknown key of a service's capacity");
    }
}

/* ---- adapters and retirements ------------------------------------------- */

/* Adds one "VERSION", or "VERSION*" for the default version. */
static void
add_version(KcAdapter *adapter, const KcIniItem *item, char *word,
            KcProblemList *problems)
{
    size_t length = strlen(word);
    bool is_default = length > 0 && word[length - 1] == '*';
    int64_t number;

    if (is_default) {
        word[length - 1] = '\0';
    }
    if (KcIni_Number(word, 1, UINT32_MAX, &number) != 0) {
        add_problem(item, problems, "expected SERVICE VERSION[*] ...");
        return;
    }
    if (adapter->version_count == KC_ADAPTER_VERSIONS_MAX) {
        add_problem(item, problems, "too many versions of one adapter");
        return;
    }
    if (is_default && adapter->default_version != 0) {
        add_problem(item, problems, "two default versions");
    }
    adapter->versions[adapter->version_count++] = (uint32_t)number;
    if (is_default) {
        adapter->default_version = (uint32_t)number;
    }
}

static void
parse_adapter(Parser *parser, KcAdapter *adapter, const KcIniItem *item)
{
    char words[256];
    char *rest = words;
    char *word;

    KcName_Copy(words, item->value, sizeof(words));
    word = strsep(&rest, " \t");
    adapter->service = KcDocument_Service(parser->document, word);
    if (adapter->service == NULL ||
        adapter->service->kind != KC_SERVICE_MODEL) {
        add_problem(item, parser->problems,
                    "the first word must name a service of kind model");
    }
    while ((word = strsep(&rest, " \t")) != NULL) {
        if (*word != '\0') {
            add_version(adapter, item, word, parser->problems);
        }
    }
    if (adapter->version_count == 0) {
        add_problem(item, parser->problems, "the adapter has no version");
    }
    else if (adapter->default_version == 0) {
        adapter->default_version =
            adapter->versions[adapter->version_count - 1];
    }
}

static void
visit_adapter(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    KcAdapter *adapter;

    if (strcmp(item->section, "adapters") != 0) {
        add_problem(item, problems, "expected the section [adapters]");
        return;
    }
    if (KcName_Check(item->key) != 0) {
        add_problem(item, problems, "not a valid adapter name");
        return;
    }
    adapter = KcMem_New(sizeof(*adapter));
    KcName_Copy(adapter->name, item->key, KC_NAME_MAX);
    HASH_ADD_STR(parser->document->adapters, name, adapter);
    parse_adapter(parser, adapter, item);
}

static void
retire_version(KcAdapter *adapter, uint32_t version, const KcIniItem *item,
               KcProblemList *problems)
{
    if (adapter->default_version == version) {
        add_problem(item, problems,
                    "the version is the adapter's default version");
    }
    for (int i = 0; i < adapter->version_count; i++) {
        if (adapter->versions[i] == version) {
            adapter->retired[i] = true;
            return;
        }
    }
    add_problem(item, problems, "the adapter has no such version");
}

static void
visit_retirement(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    KcAdapter *adapter = KcDocument_Adapter(parser->document, item->key);
    char words[256];
    char *rest = words;
    char *word;
    int64_t version;

    if (strcmp(item->section, "retired") != 0) {
        add_problem(item, problems, "expected the section [retired]");
        return;
    }
    if (adapter == NULL) {
        add_problem(item, problems, "no such adapter in section adapters");
        return;
    }
    KcName_Copy(words, item->value, sizeof(words));
    while ((word = strsep(&rest, " \t")) != NULL) {
        if (*word == '\0') {
            continue;
        }
        if (KcIni_Number(word, 1, UINT32_MAX, &version) != 0) {
            add_problem(item, problems, "expected version numbers");
            return;
        }
        retire_version(adapter, (uint32_t)version, item, problems);
    }
}

/* ---- limits ------------------------------------------------------------- */

static KcLimit *
find_or_add_limit(Parser *parser, const char *customer)
{
    KcLimit *limit;

    TAILQ_FOREACH (limit, &parser->document->limits, link) {
        if (strcmp(limit->customer, customer) == 0) {
            return limit;
        }
    }
    limit = KcMem_New(sizeof(*limit));
    KcName_Copy(limit->customer, customer, KC_NAME_MAX);
    set_defaults(limit_numbers, COUNT_OF(limit_numbers), limit);
    TAILQ_INSERT_TAIL(&parser->document->limits, limit, link);
    return limit;
}

static void
visit_limit(void *context, const KcIniItem *item, KcProblemList *problems)
{
    Parser *parser = context;
    const char *customer = section_name(item, "customer");

    if (customer == NULL) {
        add_problem(item, problems, "expected a section [customer NAME]");
        return;
    }
    if (!set_number(limit_numbers, COUNT_OF(limit_numbers),
                    find_or_add_limit(parser, customer), item, problems)) {
        add_problem(item, problems, "unknown key of a customer's limits");
    }
}

/* ---- the whole document ------------------------------------------------- */

/* Checks rules that involve several keys of a service. */
static void
check_services(Parser *parser)
{
    KcService *service;
    char key[KC_NAME_MAX + 16];

    TAILQ_FOREACH (service, &parser->document->services, link) {
        snprintf(key, sizeof(key), "[service %s]", service->name);
        if (service->kind == KC_SERVICE_PLAIN && service->path[0] != '/') {
            KcProblem_Add(parser->problems, "services", 0, key,
                          "a plain service needs a path that begins with /");
        }
        if (service->kind == KC_SERVICE_PLAIN &&
            strncmp(service->path, "/v1/", 4) == 0) {
            KcProblem_Add(parser->problems, "services", 0, key,
                          "paths under /v1/ belong to the model services");
        }
        if (service->kind == KC_SERVICE_MODEL &&
            service->base_model[0] == '\0') {
            KcProblem_Add(parser->problems, "services", 0, key,
                          "a model service needs a base_model");
        }
        if (service->kind == KC_SERVICE_MODEL && !service->repeatable) {
            KcProblem_Add(parser->problems, "services", 0, key,
                          "a model service is always repeatable");
        }
    }
}

/* The sections in reading order, with their visitors. */
static const struct {
    KcSection section;
    KcIniVisit visit;
} section_readers[] = {
    {KC_SECTION_REGIONS, visit_region},
    {KC_SECTION_SERVICES, visit_service},
    {KC_SECTION_CAPACITY, visit_capacity},
    {KC_SECTION_ADAPTERS, visit_adapter},
    {KC_SECTION_RETIREMENTS, visit_retirement},
    {KC_SECTION_LIMITS, visit_limit},
};

_Static_assert(COUNT_OF(section_readers) == KC_SECTION_COUNT,
               "every section is read once");

KcDocument *
KcDocument_Parse(const KcSectionTexts *texts, uint64_t generation,
                 KcProblemList *problems)
{
    Parser parser = {KcMem_New(sizeof(KcDocument)), problems};
    KcProblem *last = TAILQ_LAST(problems, KcProblemList);

    parser.document->generation = generation;
    parser.document->references = 1;
    TAILQ_INIT(&parser.document->services);
    TAILQ_INIT(&parser.document->datacentres);
    TAILQ_INIT(&parser.document->limits);
    for (size_t i = 0; i < COUNT_OF(section_readers); i++) {
        KcSection section = section_readers[i].section;

        KcIni_Read(KcSection_Name(section),
                   texts->text[section] != NULL ? texts->text[section] : "",
                   texts->size[section], section_readers[i].visit, &parser,
                   problems);
    }
    check_services(&parser);
    if (TAILQ_LAST(problems, KcProblemList) != last) {
        KcDocument_Release(parser.document);
        return NULL;
    }
    return parser.document;
}
