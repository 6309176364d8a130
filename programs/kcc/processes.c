/*
 * Lists the processes that hold a lease and fetches their debug pages.
 */
#include "processes.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client.h"

static void
add_process(KcProcessList *list, json_t *object)
{
    const char *value = json_string_value(json_object_get(object, "value"));
    KcProcess *process = KcMem_New(sizeof(*process));
    KcBytes bytes = {value, value != NULL ? strlen(value) : 0};

    if (value == NULL || KcLeaseValue_Decode(bytes, &process->lease) != 0) {
        free(process);
        return;
    }
    TAILQ_INSERT_TAIL(list, process, link);
}

int
KcProcessList_Fetch(const char *object_api_address, KcProcessList *list,
                    KcError *err)
{
    KcAnswerText response;
    json_t *root;
    json_t *array;
    json_t *object;
    size_t index;

    TAILQ_INIT(list);
    KcClient_Get(object_api_address, "/v1/list?prefix=" KC_OBJECT_LEASES,
                 &response);
    if (response.status != 200) {
        KcAnswerText_Clear(&response);
        return KcError_Set(err, KC_ERR_OBJECT_API_UNAVAILABLE, "list leases",
                           object_api_address);
    }
    root = json_loads(KcBuffer_Data(&response.body), 0, NULL);
    array = json_object_get(root, "objects");
    json_array_foreach (array, index, object) {
        add_process(list, object);
    }
    json_decref(root);
    KcAnswerText_Clear(&response);
    return 0;
}

void
KcProcessList_Clear(KcProcessList *list)
{
    KcProcess *process;

    while ((process = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, process, link);
        free(process);
    }
}

bool
KcProcess_HasLiveLease(const KcProcess *process)
{
    struct timespec time;
    int64_t wall_now_us;

    clock_gettime(CLOCK_REALTIME, &time);
    wall_now_us = (int64_t)time.tv_sec * KC_SECOND + time.tv_nsec / 1000;
    return wall_now_us - process->lease.renewed_at_us <= process->lease.ttl_us;
}

json_t *
KcProcess_FetchJson(const KcProcess *process, const char *path)
{
    KcAnswerText response;
    json_t *root = NULL;

    if (process->lease.admin_address[0] == '\0') {
        return NULL;
    }
    KcClient_Get(process->lease.admin_address, path, &response);
    if (response.status == 200) {
        root = json_loads(KcBuffer_Data(&response.body), 0, NULL);
    }
    KcAnswerText_Clear(&response);
    return root;
}
