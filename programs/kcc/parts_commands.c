/*
 * kcc parts and unblock: the parts of prompts that gateways and keepers block.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "blocking_http.h"
#include "command.h"

/* Size of the path of a call. */
#define PATH_SIZE 64

static void
print_part(const json_t *part)
{
    printf("%-16s %-16s %-9s ends %d trials %d age %d s%s%s\n",
           json_string_value(json_object_get(part, "part")),
           json_string_value(json_object_get(part, "service")),
           json_string_value(json_object_get(part, "state")),
           (int)json_integer_value(json_object_get(part, "ends")),
           (int)json_integer_value(json_object_get(part, "trials")),
           (int)json_integer_value(json_object_get(part, "age_s")),
           json_string_length(json_object_get(part, "companions")) > 0
               ? " with "
               : "",
           json_string_value(json_object_get(part, "companions")));
}

int
KcCommand_PrintStateList(const char *address, const char *key, const char *who,
                         void (*print_item)(const json_t *item))
{
    KcHttpResponse response;
    json_t *state = NULL;
    json_t *items;
    json_t *item;
    size_t index;
    int status = KC_EXIT_FAILED;

    KcBlockingHttp_Get(address, "/debug/state", &response);
    if (response.status == 200) {
        state = json_loads(KcBuffer_Data(&response.body), 0, NULL);
    }
    items = json_object_get(state, key);
    if (json_is_array(items)) {
        json_array_foreach (items, index, item) {
            print_item(item);
        }
        status = KC_EXIT_OK;
    }
    else {
        fprintf(stderr, "kcc: no %s answers at %s\n", who, address);
    }
    json_decref(state);
    KcHttpResponse_Clear(&response);
    return status;
}

int
KcCommand_Parts(const KcArguments *arguments)
{
    return KcCommand_PrintStateList(arguments->operands[0], "parts",
                                    "gateway or keeper", print_part);
}

int
KcCommand_Unblock(const KcArguments *arguments)
{
    const char *part = arguments->operands[1];
    char path[PATH_SIZE];
    KcHttpResponse response;
    KcHttpCallOptions options = {
        .address = arguments->operands[0], .method = "POST", .path = path};
    int status = KC_EXIT_FAILED;

    if (part[0] == '\0' ||
        part[strspn(part, "0123456789abcdefABCDEF")] != '\0') {
        fprintf(stderr, "kcc: %s is not a part in hexadecimal\n", part);
        return KC_EXIT_FAILED;
    }
    snprintf(path, sizeof(path), "/admin/unblock?part=%s", part);
    KcBlockingHttp_Call(&options, &response);
    if (response.status == 0) {
        fprintf(stderr, "kcc: no process answers at %s\n",
                arguments->operands[0]);
    }
    else {
        printf("%s: %s", part, KcBuffer_Data(&response.body));
        status = response.status == 200 ? KC_EXIT_OK : KC_EXIT_FAILED;
    }
    KcHttpResponse_Clear(&response);
    return status;
}
