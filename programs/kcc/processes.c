/*
 * The processes that hold a lease.
 */
#include "processes.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client.h"

static void
add_listed(KcListedList *list, json_t *object)
{
    const char *value = json_string_value(json_object_get(object, "value"));
    KcListed *listed = KcMem_New(sizeof(*listed));
    KcBytes bytes = {value, value != NULL ? strlen(value) : 0};

    if (value == NULL || KcLeaseValue_Decode(bytes, &listed->lease) != 0) {
        free(listed);
        return;
    }
    TAILQ_INSERT_TAIL(list, listed, link);
}

int
KcProcesses_List(const char *objects, KcListedList *list, KcError *err)
{
    KcHttpResponse answer;
    json_t *root;
    json_t *array;
    json_t *object;
    size_t index;

    TAILQ_INIT(list);
    KcBlockingHttp_Get(objects, "/v1/list?prefix=" KC_OBJECT_LEASES, &answer);
    if (answer.status != 200) {
        KcHttpResponse_Clear(&answer);
        return KcError_Set(err, KC_ERR_OBJECT_API_UNAVAILABLE, "list leases",
                           objects);
    }
    root = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    array = json_object_get(root, "objects");
    json_array_foreach (array, index, object) {
        add_listed(list, object);
    }
    json_decref(root);
    KcHttpResponse_Clear(&answer);
    return 0;
}

void
KcProcesses_Clear(KcListedList *list)
{
    KcListed *listed;

    while ((listed = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, listed, link);
        free(listed);
    }
}

bool
KcProcesses_Alive(const KcListed *listed)
{
    struct timespec time;
    int64_t now;

    clock_gettime(CLOCK_REALTIME, &time);
    now = (int64_t)time.tv_sec * KC_SECOND + time.tv_nsec / 1000;
    return now - listed->lease.renewed_at_us <= listed->lease.ttl_us;
}

json_t *
KcProcesses_Ask(const KcListed *listed, const char *path)
{
    KcHttpResponse answer;
    json_t *root = NULL;

    if (listed->lease.admin_address[0] == '\0') {
        return NULL;
    }
    KcBlockingHttp_Get(listed->lease.admin_address, path, &answer);
    if (answer.status == 200) {
        root = json_loads(KcBuffer_Data(&answer.body), 0, NULL);
    }
    KcHttpResponse_Clear(&answer);
    return root;
}
