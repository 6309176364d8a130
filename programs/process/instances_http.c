/*
 * Polling the platform's instance list.
 */
#include "instances_http.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

struct KcInstances {
    KcInstancesOptions options;
    char address[KC_ADDRESS_MAX];
    char etag[64];
    KcHttpCall *call;
    KcTimer timer;
};

static int
copy_field(json_t *object, const char *key, char *to, size_t size)
{
    const char *text = json_string_value(json_object_get(object, key));

    if (text == NULL || strlen(text) >= size) {
        return KC_ERR_PARSE;
    }
    KcText_Copy(to, text, size);
    return 0;
}

static int
decode_one(json_t *object, KcInstance *instance)
{
    char state[16];

    if (copy_field(object, "name", instance->name, KC_NAME_MAX) != 0 ||
        copy_field(object, "service", instance->service, KC_NAME_MAX) != 0 ||
        copy_field(object, "datacentre", instance->datacentre, KC_NAME_MAX) !=
            0 ||
        copy_field(object, "address", instance->address, KC_ADDRESS_MAX) !=
            0 ||
        copy_field(object, "state", state, sizeof(state)) != 0) {
        return KC_ERR_PARSE;
    }
    instance->leaving = strcmp(state, "leaving") == 0;
    return 0;
}

int
KcInstances_Decode(KcBytes bytes, KcInstance **list, uint32_t *entries)
{
    json_t *root = json_loadb(bytes.data, bytes.size, 0, NULL);
    KcInstance *instances;
    json_t *object;
    size_t index;
    int count = 0;

    if (!json_is_array(root)) {
        json_decref(root);
        return KC_ERR_PARSE;
    }
    *entries = 0;
    instances = KcMem_New(json_array_size(root) * sizeof(*instances));
    json_array_foreach (root, index, object) {
        KcInstance *instance = &instances[count];

        if (decode_one(object, instance) != 0) {
            continue; /* one bad line must not hide the others */
        }
        if (strcmp(instance->service, KC_ENTRY_SERVICE) == 0) {
            *entries += instance->leaving ? 0 : 1;
            continue;
        }
        count++;
    }
    json_decref(root);
    *list = instances;
    return count;
}

static void
take_list(KcInstances *instances, KcBytes body)
{
    KcLogFields fields = {.step = "instances"};
    KcInstance *list;
    uint32_t entries;
    int count = KcInstances_Decode(body, &list, &entries);

    if (count < 0) {
        fields.code = count;
        KcLog_Write(KC_LOG_WARN, &fields, "the instance list is not valid");
        return;
    }
    instances->options.changed(instances->options.context, list, (size_t)count,
                               entries);
    free(list);
}

static void
on_answer(void *context, int status, const char *etag, KcBytes body)
{
    KcInstances *instances = context;

    instances->call = NULL;
    if (status == 200) {
        KcText_Copy(instances->etag, etag, sizeof(instances->etag));
        take_list(instances, body);
    }
    KcTimers_Set(instances->options.loop->timers, &instances->timer,
                 KcLoop_Now() + instances->options.interval);
}

static void
poll_list(KcTimer *timer, KcTime now)
{
    KcInstances *instances = timer->owner;
    KcHttpCallOptions options = {.loop = instances->options.loop,
                                 .address = instances->address,
                                 .method = "GET",
                                 .path = "/v1/instances",
                                 .progress_timeout =
                                     instances->options.timeout};

    (void)now;
    if (instances->etag[0] != '\0') {
        options.headers[0] =
            (KcHttpRequestHeader){"If-None-Match", instances->etag};
    }
    instances->call = KcHttpCall_Fetch(&options, on_answer, instances);
}

KcInstances *
KcInstances_Create(const KcInstancesOptions *options)
{
    KcInstances *instances = KcMem_New(sizeof(*instances));

    instances->options = *options;
    KcText_Copy(instances->address, options->address, KC_ADDRESS_MAX);
    KcTimer_Init(&instances->timer, poll_list, instances);
    poll_list(&instances->timer, KcLoop_Now());
    return instances;
}

void
KcInstances_Free(KcInstances *instances)
{
    KcTimers_Clear(instances->options.loop->timers, &instances->timer);
    if (instances->call != NULL) {
        KcHttpCall_Cancel(instances->call);
    }
    free(instances);
}
