/*
 * kcc timeline and explain: events of all processes in the order of their
 * hybrid logical clocks, and the agents that have an adapter loaded.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "command.h"
#include "processes.h"

/* An event and the process that recorded it. */
typedef struct Event {
    json_t *json;             /* borrowed from the page */
    const char *process_name; /* borrowed from the page */
    uint64_t clock;           /* hybrid logical clock */
} Event;

/* Events collected from all processes. */
typedef struct EventList {
    Event *events;
    size_t count;
    size_t capacity;
    json_t *json_pages;    /* array that owns the JSON the events point to */
    int unreachable_count; /* processes that did not answer */
} EventList;

static const char *
event_text(const Event *event, const char *key)
{
    const char *text = json_string_value(json_object_get(event->json, key));

    return text != NULL ? text : "";
}

static int64_t
event_number(const Event *event, const char *key)
{
    return json_integer_value(json_object_get(event->json, key));
}

static bool
matches_filters(const KcArguments *arguments, const Event *event)
{
    const char *subject = event_text(event, "subject");
    size_t length;

    if (arguments->request_id != NULL &&
        strcmp(event_text(event, "request"), arguments->request_id) != 0) {
        return false;
    }
    if (arguments->process_name != NULL &&
        strcmp(event->process_name, arguments->process_name) != 0) {
        return false;
    }
    if (arguments->generation != NULL &&
        event_number(event, "generation") !=
            strtoll(arguments->generation, NULL, 10)) {
        return false;
    }
    if (arguments->adapter_name != NULL) {
        length = strlen(arguments->adapter_name);
        return strncmp(subject, arguments->adapter_name, length) == 0 &&
               (subject[length] == '\0' || subject[length] == '@');
    }
    return true;
}

static void
add_event(EventList *events, const Event *event)
{
    if (events->count == events->capacity) {
        events->capacity = events->capacity > 0 ? events->capacity * 2 : 256;
        events->events = KcMem_Realloc(
            events->events, events->capacity * sizeof(events->events[0]));
    }
    events->events[events->count++] = *event;
}

static void
add_page(EventList *events, const KcArguments *arguments, json_t *page)
{
    json_t *list = json_object_get(page, "events");
    json_t *object;
    size_t index;

    json_array_append_new(events->json_pages, page);
    json_array_foreach (list, index, object) {
        Event event = {
            object, json_string_value(json_object_get(page, "process")),
            (uint64_t)json_integer_value(json_object_get(object, "clock"))};

        if (event.process_name != NULL && matches_filters(arguments, &event)) {
            add_event(events, &event);
        }
    }
}

static int
compare_clocks(const void *a, const void *b)
{
    const Event *event_a = a;
    const Event *event_b = b;

    if (event_a->clock != event_b->clock) {
        return event_a->clock < event_b->clock ? -1 : 1;
    }
    return strcmp(event_a->process_name, event_b->process_name);
}

/*
 * Fetches the events of every process that match the filters, sorted by clock.
 * Returns 0, or a negative error number with err filled.
 */
static int
collect_events(const KcArguments *arguments, EventList *events, KcError *err)
{
    const KcProcess *process;
    KcProcessList list;
    int code;

    memset(events, 0, sizeof(*events));
    code = KcProcessList_Fetch(arguments->object_api_address, &list, err);
    if (code != 0) {
        return code;
    }
    events->json_pages = json_array();
    TAILQ_FOREACH (process, &list, link) {
        json_t *page = KcProcess_FetchJson(process, "/debug/events");

        if (page != NULL) {
            add_page(events, arguments, page);
        }
        else {
            fprintf(stderr,
                    "kcc: %s does not answer; its events are missing\n",
                    process->lease.holder);
            events->unreachable_count++;
        }
    }
    KcProcessList_Clear(&list);
    if (events->count > 0) {
        qsort(events->events, events->count, sizeof(events->events[0]),
              compare_clocks);
    }
    return 0;
}

static void
free_events(EventList *events)
{
    free(events->events);
    json_decref(events->json_pages);
}

/* ---- text --------------------------------------------------------------- */

static int64_t
event_wall_us(const Event *event)
{
    return (int64_t)(event->clock >> KC_CLOCK_SHIFT);
}

static void
format_clock(const Event *event, char *text, size_t size)
{
    int64_t wall_us = event_wall_us(event);
    time_t seconds = (time_t)(wall_us / KC_SECOND);
    struct tm utc;
    char day[32];

    gmtime_r(&seconds, &utc);
    strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(text, size, "%s.%06dZ", day, (int)(wall_us % KC_SECOND));
}

static void
print_event(const Event *event)
{
    char time[64];

    format_clock(event, time, sizeof(time));
    printf("%s %-18s %-16s", time, event->process_name,
           event_text(event, "type"));
    if (event_text(event, "request")[0] != '\0') {
        printf(" request=%s", event_text(event, "request"));
    }
    if (event_text(event, "subject")[0] != '\0') {
        printf(" subject=%s", event_text(event, "subject"));
    }
    if (event_text(event, "peer")[0] != '\0') {
        printf(" peer=%s", event_text(event, "peer"));
    }
    printf(" generation=%" PRId64 " detail=%" PRId64 "\n",
           event_number(event, "generation"), event_number(event, "detail"));
}

/* ---- trace-event JSON --------------------------------------------------- */

static void
print_trace_events(const EventList *events)
{
    json_t *list = json_array();
    json_t *root;
    char *text;

    for (size_t i = 0; i < events->count; i++) {
        const Event *event = &events->events[i];

        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:I, s:s, s:s, s:O}", "name",
                      event_text(event, "type"), "ph", "i", "s", "t", "ts",
                      (json_int_t)event_wall_us(event), "pid",
                      event->process_name, "tid", event_text(event, "request"),
                      "args", event->json));
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
    EventList events;
    KcError err;
    int status;

    if (collect_events(arguments, &events, &err) != 0) {
        return KcCommand_ReportError(&err);
    }
    if (arguments->json) {
        print_trace_events(&events);
    }
    else {
        for (size_t i = 0; i < events.count; i++) {
            print_event(&events.events[i]);
        }
    }
    status = events.count > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
    free_events(&events);
    return status;
}

/* ---- explain ------------------------------------------------------------ */

/* How the number in an event's detail field is printed. */
typedef enum DetailType {
    DETAIL_TYPE_NUMBER,
    DETAIL_TYPE_ERROR,
    DETAIL_TYPE_OUTCOME
} DetailType;

/*
 * Sentences for the events of a request: the process, a phrase, the peer if
 * there is one, and the detail with its label.
 */
static const struct {
    const char *event_type;
    const char *phrase;
    const char *detail_label;
    DetailType detail_type;
} sentences[] = {
    {"request", "took the request", "priority", DETAIL_TYPE_NUMBER},
    {"claim", "claimed the idempotency key", "result", DETAIL_TYPE_ERROR},
    {"pick", "chose", "expected wait in ms", DETAIL_TYPE_NUMBER},
    {"propose", "proposed it to", "attempt", DETAIL_TYPE_NUMBER},
    {"resume", "resumed the answer with", "from byte", DETAIL_TYPE_NUMBER},
    {"admit", "queued it for", "requests waiting", DETAIL_TYPE_NUMBER},
    {"refuse", "refused to run it for", "reason", DETAIL_TYPE_ERROR},
    {"start", "sent it to the backend server for", "after ms",
     DETAIL_TYPE_NUMBER},
    {"first_byte", "received the first byte of the answer; peer", "after ms",
     DETAIL_TYPE_NUMBER},
    {"end", "ended the attempt for", "result", DETAIL_TYPE_ERROR},
    {"finish", "finished the request", "outcome", DETAIL_TYPE_OUTCOME},
};

static void
print_detail(DetailType type, int64_t detail)
{
    switch (type) {
    case DETAIL_TYPE_NUMBER:
        printf("%" PRId64, detail);
        break;
    case DETAIL_TYPE_ERROR:
        printf("%s", KcError_Name((int)detail));
        break;
    case DETAIL_TYPE_OUTCOME:
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
        if (strcmp(sentences[i].event_type, event_text(event, "type")) != 0) {
            continue;
        }
        printf("%s %s %s%s%s (%s: ", time, event->process_name,
               sentences[i].phrase,
               event_text(event, "peer")[0] != '\0' ? " " : "",
               event_text(event, "peer"), sentences[i].detail_label);
        print_detail(sentences[i].detail_type, event_number(event, "detail"));
        printf(")\n");
        return;
    }
}

/* Prints the slots of one agent that hold the adapter.  Returns how many. */
static int
print_slots_with_adapter(json_t *state, const char *adapter)
{
    const char *process_name =
        json_string_value(json_object_get(state, "process"));
    json_t *slots = json_object_get(state, "slots");
    size_t length = strlen(adapter);
    json_t *slot;
    size_t index;
    int slots_found = 0;

    json_array_foreach (slots, index, slot) {
        const char *model = json_string_value(json_object_get(slot, "model"));

        if (model == NULL || strncmp(model, adapter, length) != 0 ||
            (model[length] != '\0' && model[length] != '@')) {
            continue;
        }
        printf("%s: %s is %s, %" PRId64 " requests in service, last used "
               "%" PRId64 " ms ago, %.2f recent uses\n",
               process_name, model,
               json_string_value(json_object_get(slot, "state")),
               (int64_t)json_integer_value(json_object_get(slot, "pins")),
               (int64_t)json_integer_value(json_object_get(slot, "idle_ms")),
               json_real_value(json_object_get(slot, "frequency")));
        slots_found++;
    }
    return slots_found;
}

static int
explain_adapter(const KcArguments *arguments)
{
    const KcProcess *process;
    KcProcessList list;
    KcError err;
    int slots_found = 0;

    if (KcProcessList_Fetch(arguments->object_api_address, &list, &err) != 0) {
        return KcCommand_ReportError(&err);
    }
    TAILQ_FOREACH (process, &list, link) {
        json_t *state;

        if (strcmp(process->lease.role, "agent") != 0) {
            continue;
        }
        state = KcProcess_FetchJson(process, "/debug/state");
        if (state == NULL) {
            printf("%s: does not answer\n", process->lease.holder);
            continue;
        }
        slots_found +=
            print_slots_with_adapter(state, arguments->adapter_name);
        json_decref(state);
    }
    KcProcessList_Clear(&list);
    if (slots_found == 0) {
        printf("%s is loaded nowhere\n", arguments->adapter_name);
    }
    return slots_found > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
}

int
KcCommand_Explain(const KcArguments *arguments)
{
    EventList events;
    KcError err;
    int status;

    if (arguments->operand_count > 0) {
        return KcCommand_ExplainRequest(arguments);
    }
    if (arguments->object_api_address == NULL) {
        return KcCommand_ReportNoObjects("explain");
    }
    if ((arguments->request_id == NULL) == (arguments->adapter_name == NULL)) {
        fprintf(stderr, "usage: kcc explain (--request ID | --adapter NAME | "
                        "ADMIN-ADDRESS --host HOST --path PATH ...)\n");
        return KC_EXIT_USAGE;
    }
    if (arguments->adapter_name != NULL) {
        return explain_adapter(arguments);
    }
    if (collect_events(arguments, &events, &err) != 0) {
        return KcCommand_ReportError(&err);
    }
    for (size_t i = 0; i < events.count; i++) {
        print_sentence(&events.events[i]);
    }
    status = events.count > 0 ? KC_EXIT_OK : KC_EXIT_FAILED;
    free_events(&events);
    return status;
}
