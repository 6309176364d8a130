/*
 * kcc timeline and explain: events of all processes, merged by their hybrid
 * logical clocks.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "command.h"
#include "processes.h"

/* One event with the process that recorded it. */
typedef struct Event {
    json_t *json;
    const char *process; /* borrowed from the page */
    uint64_t clock;
} Event;

/* All events that were collected. */
typedef struct Events {
    Event *events;
    size_t count;
    size_t capacity;
    json_t *pages; /* keeps what the events borrow */
    int silent;    /* processes that did not answer */
} Events;

static const char *
text_of(const Event *event, const char *key)
{
    const char *text = json_string_value(json_object_get(event->json, key));

    return text != NULL ? text : "";
}

static int64_t
number_of(const Event *event, const char *key)
{
    return json_integer_value(json_object_get(event->json, key));
}

static bool
wanted(const KcArguments *arguments, const Event *event)
{
    const char *subject = text_of(event, "subject");
    size_t length;

    if (arguments->request != NULL &&
        strcmp(text_of(event, "request"), arguments->request) != 0) {
        return false;
    }
    if (arguments->process != NULL &&
        strcmp(event->process, arguments->process) != 0) {
        return false;
    }
    if (arguments->generation != NULL &&
        number_of(event, "generation") !=
            strtoll(arguments->generation, NULL, 10)) {
        return false;
    }
    if (arguments->adapter != NULL) {
        length = strlen(arguments->adapter);
        return strncmp(subject, arguments->adapter, length) == 0 &&
               (subject[length] == '\0' || subject[length] == '@');
    }
    return true;
}

static void
add_event(Events *events, const Event *event)
{
    if (events->count == events->capacity) {
        events->capacity = events->capacity > 0 ? events->capacity * 2 : 256;
        events->events = KcMem_Realloc(
            events->events, events->capacity * sizeof(events->events[0]));
    }
    events->events[events->count++] = *event;
}

static void
add_page(Events *events, const KcArguments *arguments, json_t *page)
{
    json_t *list = json_object_get(page, "events");
    json_t *object;
    size_t index;

    json_array_append_new(events->pages, page);
    json_array_foreach (list, index, object) {
        Event event = {
            object, json_string_value(json_object_get(page, "process")),
            (uint64_t)json_integer_value(json_object_get(object, "clock"))};

        if (event.process != NULL && wanted(arguments, &event)) {
            add_event(events, &event);
        }
    }
}

static int
by_clock(const void *a, const void *b)
{
    const Event *left = a;
    const Event *right = b;

    if (left->clock != right->clock) {
        return left->clock < right->clock ? -1 : 1;
    }
    return strcmp(left->process, right->process);
}

/* Collects events of every process.  Returns 0 or a negative number. */
static int
collect(const KcArguments *arguments, Events *events, KcError *err)
{
    const KcListed *listed;
    KcListedList list;
    int code;

    memset(events, 0, sizeof(*events));
    code = KcProcesses_List(arguments->objects, &list, err);
    if (code != 0) {
        return code;
    }
    events->pages = json_array();
    TAILQ_FOREACH (listed, &list, link) {
        json_t *page = KcProcesses_Ask(listed, "/debug/events");

        if (page != NULL) {
            add_page(events, arguments, page);
        }
        else {
            fprintf(stderr,
                    "kcc: %s does not answer; its events are "
                    "missing\n",
                    listed->lease.holder);
            events->silent++;
        }
    }
    KcProcesses_Clear(&list);
    if (events->count > 0) {
        qsort(events->events, events->count, sizeof(events->events[0]),
              by_clock);
    }
    return 0;
}

static void
release(Events *events)
{
    free(events->events);
    json_decref(events->pages);
}

/* ---- text --------------------------------------------------------------- */

static int64_t
micros_of(const Event *event)
{
    return (int64_t)(event->clock >> KC_CLOCK_SHIFT);
}

static void
format_clock(const Event *event, char *text, size_t size)
{
    int64_t micros = micros_of(event);
    time_t seconds = (time_t)(micros / KC_SECOND);
    struct tm utc;
    char day[32];

    gmtime_r(&seconds, &utc);
    strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(text, size, "%s.%06dZ", day, (int)(micros % KC_SECOND));
}

static void
print_event(const Event *event)
{
    char time[64];

    format_clock(event, time, sizeof(time));
    printf("%s %-18s %-16s", time, event->process, text_of(event, "type"));
    if (text_of(event, "request")[0] != '\0') {
        printf(" request=%s", text_of(event, "request"));
    }
    if (text_of(event, "subject")[0] != '\0') {
        printf(" subject=%s", text_of(event, "subject"));
    }
    if (text_of(event, "peer")[0] != '\0') {
        printf(" peer=%s", text_of(event, "peer"));
    }
    printf(" generation=%" PRId64 " detail=%" PRId64 "\n",
           number_of(event, "generation"), number_of(event, "detail"));
}

/* ---- trace-event JSON --------------------------------------------------- */

static void
print_trace(const Events *events)
{
    json_t *list = json_array();
    json_t *root;
    char *text;

    for (size_t i = 0; i < events->count; i++) {
        const Event *event = &events->events[i];

        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:I, s:s, s:s, s:O}", "name",
                      text_of(event, "type"), "ph", "i", "s", "t", "ts",
                      (json_int_t)micros_of(event), "pid", event->process,
                      "tid", text_of(event, "request"), "args", event->json));
    }
    root = json_pack("{s:o}", "traceEvents", list);
    text = json_dumps(root, JSON_INDENT(1));
    printf("%s\n", text);
    free(text);
    json_decref(root);
}

int
KcCommand_Timeline(const KcArguments *arguments)
{
    Events events;
    KcError err;
    int status;

    if (collect(arguments, &events, &err) != 0) {
        return KcCommand_Fail(&err);
    }
    if (arguments->json) {
        print_trace(&events);
    }
    else {
        for (size_t i = 0; i < events.count; i++) {
            print_event(&events.events[i]);
        }
    }
    status = events.count > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
    release(&events);
    return status;
}

/* ---- explain ------------------------------------------------------------ */

/* How the detail of an event is to be read. */
typedef enum DetailKind {
    DETAIL_NUMBER,
    DETAIL_ERROR,
    DETAIL_OUTCOME
} DetailKind;

/* Sentences for the events of a request: process, verb, peer, detail. */
static const struct {
    const char *type;
    const char *verb;
    const char *detail; /* what the detail is */
    DetailKind kind;
} sentences[] = {
    {"request", "took the request", "priority", DETAIL_NUMBER},
    {"claim", "claimed the idempotency key", "result", DETAIL_ERROR},
    {"pick", "chose", "expected wait in ms", DETAIL_NUMBER},
    {"propose", "proposed it to", "attempt", DETAIL_NUMBER},
    {"resume", "resumed the answer with", "from byte", DETAIL_NUMBER},
    {"admit", "queued it for", "now waiting", DETAIL_NUMBER},
    {"refuse", "refused it, unrun, to", "reason", DETAIL_ERROR},
    {"start", "sent it to the backend server for", "after ms", DETAIL_NUMBER},
    {"first_byte", "had the first byte, with", "after ms", DETAIL_NUMBER},
    {"end", "saw the answer end, for", "result", DETAIL_ERROR},
    {"finish", "finished the request", "outcome", DETAIL_OUTCOME},
};

static void
print_detail(DetailKind kind, int64_t detail)
{
    switch (kind) {
    case DETAIL_NUMBER:
        printf("%" PRId64, detail);
        break;
    case DETAIL_ERROR:
        printf("%s", KcError_Name((int)detail));
        break;
    case DETAIL_OUTCOME:
        printf("%s", KcOutcome_Name((KcOutcome)detail));
        break;
    }
}

static void
print_sentence(const Event *event)
{
    char time[64];

    format_clock(event, time, sizeof(time));
    for (size_t i = 0; i < sizeof(sentences) / sizeof(sentences[0]); i++) {
        if (strcmp(sentences[i].type, text_of(event, "type")) != 0) {
            continue;
        }
        printf("%s %s %s%s%s (%s: ", time, event->process, sentences[i].verb,
               text_of(event, "peer")[0] != '\0' ? " " : "",
               text_of(event, "peer"), sentences[i].detail);
        print_detail(sentences[i].kind, number_of(event, "detail"));
        printf(")\n");
        return;
    }
}

/* Prints the slots of one agent that hold the adapter; returns how many. */
static int
print_holders(json_t *state, const char *adapter)
{
    const char *process = json_string_value(json_object_get(state, "process"));
    json_t *slots = json_object_get(state, "slots");
    size_t length = strlen(adapter);
    json_t *slot;
    size_t index;
    int found = 0;

    json_array_foreach (slots, index, slot) {
        const char *model = json_string_value(json_object_get(slot, "model"));

        if (model == NULL || strncmp(model, adapter, length) != 0 ||
            (model[length] != '\0' && model[length] != '@')) {
            continue;
        }
        printf("%s: %s is %s, %" PRId64 " requests in service, last used "
               "%" PRId64 " ms ago, %.2f recent uses\n",
               process, model,
               json_string_value(json_object_get(slot, "state")),
               (int64_t)json_integer_value(json_object_get(slot, "pins")),
               (int64_t)json_integer_value(json_object_get(slot, "idle_ms")),
               json_real_value(json_object_get(slot, "frequency")));
        found++;
    }
    return found;
}

static int
explain_adapter(const KcArguments *arguments)
{
    const KcListed *listed;
    KcListedList list;
    KcError err;
    int found = 0;

    if (KcProcesses_List(arguments->objects, &list, &err) != 0) {
        return KcCommand_Fail(&err);
    }
    TAILQ_FOREACH (listed, &list, link) {
        json_t *state;

        if (strcmp(listed->lease.role, "agent") != 0) {
            continue;
        }
        state = KcProcesses_Ask(listed, "/debug/state");
        if (state == NULL) {
            printf("%s: does not answer\n", listed->lease.holder);
            continue;
        }
        found += print_holders(state, arguments->adapter);
        json_decref(state);
    }
    KcProcesses_Clear(&list);
    if (found == 0) {
        printf("%s is loaded nowhere\n", arguments->adapter);
    }
    return found > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

int
KcCommand_Explain(const KcArguments *arguments)
{
    Events events;
    KcError err;
    int status;

    if ((arguments->request == NULL) == (arguments->adapter == NULL)) {
        fprintf(stderr, "usage: kcc explain (--request ID | --adapter "
                        "NAME)\n");
        return KC_EXIT_USAGE;
    }
    if (arguments->adapter != NULL) {
        return explain_adapter(arguments);
    }
    if (collect(arguments, &events, &err) != 0) {
        return KcCommand_Fail(&err);
    }
    for (size_t i = 0; i < events.count; i++) {
        print_sentence(&events.events[i]);
    }
    status = events.count > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
    release(&events);
    return status;
}
