/*
 * Stand-in for a plain service: counts the calls that it executes, in total
 * and by request body.
 */
#include <string.h>

#include "standin.h"

static StandinKnob knobs[] = {
    {"delay_ms", 5, "time of one execution"},
    {"cut", 0, "this many calls are executed but not answered"},
    {"refuse", 0, "this many calls are answered 503 and not executed"},
    {NULL, 0, NULL},
};

/* A call that is counted as executed and not answered yet. */
typedef struct Execution {
    evhtp_request_t *http;
    KcTimer timer;
} Execution;

static Standin standin;
static json_t *executions_by_body;
static int64_t executions;

static void
count_execution(const char *body)
{
    json_int_t count =
        json_integer_value(json_object_get(executions_by_body, body));

    json_object_set_new(executions_by_body, body, json_integer(count + 1));
    executions++;
}

/* Copies the body as a string, which becomes a JSON key; cut off at size. */
static void
copy_body(evhtp_request_t *http, char *text, size_t size)
{
    size_t length = evbuffer_get_length(http->buffer_in);

    if (length >= size) {
        length = size - 1;
    }
    evbuffer_copyout(http->buffer_in, text, length);
    text[length] = '\0';
}

static void
on_execution_done(KcTimer *timer, KcTime now)
{
    Execution *execution = timer->owner;
    evhtp_request_t *http = execution->http;
    char body[1024];

    (void)now;
    evhtp_request_unset_hook(http, evhtp_hook_on_request_fini);
    free(execution);
    if (Standin_TakeFault(&standin, "cut")) {
        Standin_DropConnection(http);
        return;
    }
    copy_body(http, body, sizeof(body));
    Standin_ReplyJson(http, EVHTP_RES_OK,
                      json_pack("{s:s, s:s, s:I}", "service", "plain",
                                "accepted", body, "executions",
                                (json_int_t)executions));
}

static evhtp_res
on_caller_disconnected(evhtp_request_t *http, void *context)
{
    Execution *execution = context;

    (void)http;
    KcTimers_Clear(standin.loop->timers, &execution->timer);
    free(execution);
    return EVHTP_RES_OK;
}

static void
on_call(evhtp_request_t *http, void *context)
{
    Execution *execution;
    char body[1024];

    (void)context;
    if (Standin_TakeFault(&standin, "refuse")) {
        Standin_ReplyText(http, EVHTP_RES_SERVUNAVAIL, "busy\n");
        return;
    }
    /* Counted as executed on arrival, whether or not it is answered. */
    copy_body(http, body, sizeof(body));
    count_execution(body);
    execution = KcMem_New(sizeof(*execution));
    execution->http = http;
    KcTimer_Init(&execution->timer, on_execution_done, execution);
    KcTimers_Set(standin.loop->timers, &execution->timer,
                 KcLoop_Now() + Standin_GetKnob(&standin, "delay_ms") * KC_MS);
    evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_caller_disconnected, execution);
}

static void
add_state(json_t *state)
{
    json_object_set_new(state, "executions", json_integer(executions));
    json_object_set(state, "by_body", executions_by_body);
}

static const StandinOptions standin_options = {"standin-service", knobs,
                                               add_state, NULL};

int
main(int argc, char **argv)
{
    int status;

    executions_by_body = json_object();
    Standin_Init(&standin, &standin_options, argc, argv);
    evhtp_set_gencb(standin.http, on_call, NULL);
    status = Standin_Run(&standin);
    json_decref(executions_by_body);
    return status;
}
