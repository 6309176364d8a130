/*
 * Polls the platform's instance list and decodes it.
 */
#include "instances_http.h"

#include <stdlib.h>
#include <string.h>

#include "../request/json_text.h"
#include "log.h"

struct KcInstancePoller {
    KcInstancePollerOptions options;
    char address[KC_ADDRESS_MAX];
    char etag[64];
    KcHttpCall *call;
    KcTimer timer;
};

static int
decode_instance(json_t *object, KcInstance *instance)
{
    char state[16];

    if (KcJsonText_CopyMember(object, "name", instance->name, KC_NAME_MAX) !=
            0 ||
        KcJsonText_CopyMember(object, "service", instance->service,
                              KC_NAME_MAX) != 0 ||
        KcJsonText_CopyMember(object, "datacentre", instance->datacentre,
                              KC_NAME_MAX) != 0 ||
        KcJsonText_CopyMember(object, "address", instance->address,
                              KC_ADDRESS_MAX) != 0 ||
        KcJsonText_CopyMember(object, "state", state, sizeof(state)) != 0) {
        return KC_ERR_PARSE;
    }
    instance->leaving = strcmp(state, "leaving") == 0;
    return 0;
}

int
KcInstanceList_Decode(KcBytes bytes, KcInstance **instances,
                      uint32_t *entry_count)
{
    KcInstance *list = KcMem_New(sizeof(*list));
    KcBytes text;
    int count = 0;
    int code = KcJsonText_BeginArray(&bytes);

    *entry_count = 0;
    while (code >= 0 && (code = KcJsonText_TakeElement(&bytes, &text)) > 0) {
        json_t *object = KcJsonText_Decode(text, 0);
        KcInstance *instance = &list[count]; /* one more than are counted */

        if (decode_instance(object, instance) != 0) {
            /* An invalid element must not hide the valid ones. */
        }
        else if (strcmp(instance->service, KC_ENTRY_SERVICE_NAME) == 0) {
            *entry_count += instance->leaving ? 0 : 1;
        }
        else {
            count++;
            list = KcMem_Realloc(list, (size_t)(count + 1) * sizeof(*list));
        }
        json_decref(object);
    }
    if (code < 0) {
        free(list);
        return code;
    }
    *instances = list;
    return count;
}

static void
process_list(KcInstancePoller *poller, KcBytes body)
{
    KcLogFields fields = {.step = "instances"};
    KcInstance *instances;
    uint32_t entry_count;
    int count = KcInstanceList_Decode(body, &instances, &entry_count);

    if (count < 0) {
        fields.code = count;
        KcLog_Write(KC_LOG_WARN, &fields, "instance list is not a JSON array");
        return;
    }
    poller->options.on_changed(poller->options.context, instances,
                               (size_t)count, entry_count);
    free(instances);
}

static void
on_list_response(void *context, int status, const char *etag, KcBytes body)
{
    KcInstancePoller *poller = context;

    poller->call = NULL;
    if (status == 200) {
        KcText_Copy(poller->etag, etag, sizeof(poller->etag));
        process_list(poller, body);
    }
    KcTimers_Set(poller->options.loop->timers, &poller->timer,
                 KcLoop_Now() + poller->options.poll_interval);
}

static void
poll_instance_list(KcTimer *timer, KcTime now)
{
    KcInstancePoller *poller = timer->owner;
    KcHttpCallOptions options = {.loop = poller->options.loop,
                                 .address = poller->address,
                                 .method = "GET",
                                 .path = "/v1/instances",
                                 .progress_timeout =
                                     poller->options.call_timeout};

    (void)now;
    if (poller->etag[0] != '\0') {
        options.headers[0] =
            (KcHttpRequestHeader){"If-None-Match", poller->etag};
    }
    poller->call = KcHttpCall_Fetch(&options, on_list_response, poller);
}

KcInstancePoller *
KcInstancePoller_Create(const KcInstancePollerOptions *options)
{
    KcInstancePoller *poller = KcMem_New(sizeof(*poller));

    poller->options = *options;
    KcText_Copy(poller->address, options->address, KC_ADDRESS_MAX);
    KcTimer_Init(&poller->timer, poll_instance_list, poller);
    poll_instance_list(&poller->timer, KcLoop_Now());
    return poller;
}

void
KcInstancePoller_Free(KcInstancePoller *poller)
{
    KcTimers_Clear(poller->options.loop->timers, &poller->timer);
    if (poller->call != NULL) {
        KcHttpCall_Cancel(poller->call);
    }
    free(poller);
}
