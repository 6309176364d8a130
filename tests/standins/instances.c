/*
 * Stand-in for the platform's instance list, which shows changes with a delay.
 *
 * FILE holds the list as JSON.  POST /standin/instance?name=N&state=S sets
 * the state of an instance: live, leaving, or gone (removed from the list);
 * the list shows the change after lag_ms.
 */
#include <string.h>

#include "standin.h"

static StandinKnob knobs[] = {
    {"lag_ms", 500, "delay until the list shows a change"},
    {"outage", 0, "1: the connection of every call is closed"},
    {NULL, 0, NULL},
};

/* A change of an instance's state that the list doesn't show yet. */
typedef struct Change {
    KcTimer timer;
    char name[KC_NAME_MAX];
    char state[16];
} Change;

static Standin standin;
static json_t *instances;
static int64_t list_version = 1;
static int64_t list_calls;
static int64_t unchanged_replies;

static void
on_change_due(KcTimer *timer, KcTime now)
{
    Change *change = timer->owner;
    json_t *instance;
    size_t index;

    (void)now;
    json_array_foreach (instances, index, instance) {
        const char *name =
            json_string_value(json_object_get(instance, "name"));

        if (strcmp(name, change->name) != 0) {
            continue;
        }
        if (strcmp(change->state, "gone") == 0) {
            json_array_remove(instances, index);
        }
        else {
            json_object_set_new(instance, "state", json_string(change->state));
        }
        list_version++;
        break;
    }
    free(change);
}

static void
on_set_instance(evhtp_request_t *http, void *context)
{
    const char *name = Standin_FindQueryValue(http, "name");
    const char *state = Standin_FindQueryValue(http, "state");
    Change *change;

    (void)context;
    if (name == NULL || state == NULL) {
        Standin_ReplyText(http, EVHTP_RES_BADREQ,
                          "name and state are required\n");
        return;
    }
    change = KcMem_New(sizeof(*change));
    KcText_Copy(change->name, name, sizeof(change->name));
    KcText_Copy(change->state, state, sizeof(change->state));
    KcTimer_Init(&change->timer, on_change_due, change);
    KcTimers_Set(standin.loop->timers, &change->timer,
                 KcLoop_Now() + Standin_GetKnob(&standin, "lag_ms") * KC_MS);
    Standin_ReplyText(http, EVHTP_RES_OK, "ok\n");
}

static void
on_list(evhtp_request_t *http, void *context)
{
    const char *known_etag =
        evhtp_header_find(http->headers_in, "If-None-Match");
    char etag[32];

    (void)context;
    list_calls++;
    if (Standin_GetKnob(&standin, "outage") != 0) {
        Standin_DropConnection(http);
        return;
    }
    snprintf(etag, sizeof(etag), "\"%lld\"", (long long)list_version);
    evhtp_headers_add_header(http->headers_out,
                             evhtp_header_new("ETag", etag, 0, 1));
    if (known_etag != NULL && strcmp(known_etag, etag) == 0) {
        unchanged_replies++;
        evhtp_send_reply(http, EVHTP_RES_NOTMOD);
        return;
    }
    Standin_ReplyJson(http, EVHTP_RES_OK, json_incref(instances));
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "calls", json_integer(list_calls));
    json_object_set_new(state, "unchanged", json_integer(unchanged_replies));
    json_object_set_new(state, "version", json_integer(list_version));
}

static const StandinOptions standin_options = {"standin-instances", knobs,
                                               add_state, NULL};

int
main(int argc, char **argv)
{
    int status;

    Standin_Init(&standin, &standin_options, argc, argv);
    instances = standin.file_path != NULL
                    ? json_load_file(standin.file_path, 0, NULL)
                    : NULL;
    if (!json_is_array(instances)) {
        fprintf(stderr, "standin-instances: FILE must hold a JSON array\n");
        return 1;
    }
    evhtp_set_cb(standin.http, "/v1/instances", on_list, NULL);
    evhtp_set_cb(standin.http, "/standin/instance", on_set_instance, NULL);
    status = Standin_Run(&standin);
    json_decref(instances);
    return status;
}
