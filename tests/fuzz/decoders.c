/*
 * The table of decoders, and those of the platform's texts: customers of a
 * configuration, and the load that a worker tells.
 */
#include "decoders.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "../../platform/platform_internal.h"

static const struct {
    const char *name;
    const char *(*run)(FuzzInput *input);
} decoders[] = {
    {"customers", Decoders_RunCustomers},
    {"load", Decoders_RunLoad},
    {"rows", Decoders_RunRows},
    {"quota messages", Decoders_RunQuotaMessages},
    {"feed", Decoders_RunFeed},
};

/* Runs a decoder until it has read all of an input. */
static const char *
run_decoder(size_t index, FuzzInput *input)
{
    const char *finding = NULL;

    while (input->size > 0 && finding == NULL) {
        finding = decoders[index].run(input);
    }
    if (finding != NULL) {
        printf("decoder of %s, %zu bytes before the end\n",
               decoders[index].name, input->size);
    }
    return finding;
}

const char *
Decoders_Run(const uint8_t *data, size_t size)
{
    const char *finding = NULL;

    for (size_t i = 0; i < sizeof(decoders) / sizeof(decoders[0]); i++) {
        FuzzInput input = {data, size};

        if (finding == NULL) {
            finding = run_decoder(i, &input);
        }
    }
    return finding;
}

uint8_t
FuzzInput_Take(FuzzInput *input)
{
    if (input->size == 0) {
        return 0;
    }
    input->size--;
    return *input->data++;
}

uint8_t
FuzzInput_TakeBelow(FuzzInput *input, uint8_t limit)
{
    return FuzzInput_Take(input) % limit;
}

uint32_t
FuzzInput_TakeNumber(FuzzInput *input)
{
    uint32_t number = FuzzInput_Take(input);

    if (number % 2 == 0) {
        return number / 2 % 8;
    }
    for (int i = 0; i < 3; i++) {
        number = number << 8 | FuzzInput_Take(input);
    }
    return number;
}

/* ---- customers ------------------------------------------------------------ */

#define DEPTH_MAX 4
#define LIST_ITEMS_MAX 6
#define TEXT_BYTES_MAX 8
#define SOUND_KEY "sound-key"

static json_t *make_value(FuzzInput *input, int depth);

/* A word that the decoder knows, or bytes that hold no SOUND_KEY. */
static json_t *
make_text(FuzzInput *input)
{
    static const char *const words[] = {
        "a", "b", " ", "", "requests", "tokens", "a b", "\x7f", "k\n"};
    char text[TEXT_BYTES_MAX];
    size_t size = FuzzInput_TakeBelow(input, TEXT_BYTES_MAX);
    json_t *value;

    if (FuzzInput_TakeBelow(input, 4) != 0) {
        return json_string(words[size % COUNT_OF(words)]);
    }
    for (size_t i = 0; i < size; i++) {
        text[i] = (char)FuzzInput_Take(input);
    }
    value = json_stringn(text, size);
    return value != NULL ? value : json_string("b");
}

static json_t *
make_number(FuzzInput *input)
{
    static const double reals[] = {0,    0.5,  -0.0,  -1,  1e15,
                                   1e16, 1e19, 1e300, 1e-9};

    return FuzzInput_TakeBelow(input, 2) == 0
               ? json_integer((json_int_t)FuzzInput_TakeNumber(input) *
                              (FuzzInput_TakeBelow(input, 3) - 1))
               : json_real(reals[FuzzInput_TakeBelow(input, COUNT_OF(reals))]);
}

static json_t *
make_list(FuzzInput *input, int depth)
{
    json_t *list = json_array();
    int count = FuzzInput_TakeBelow(input, LIST_ITEMS_MAX);

    for (int i = 0; i < count; i++) {
        json_array_append_new(list, make_value(input, depth + 1));
    }
    return list;
}

static json_t *
make_object(FuzzInput *input, int depth)
{
    static const char *const names[] = {"name",  "keys",        "priority",
                                        "unit",  "rate_per_s",  "burst",
                                        "other", "plain_tokens"};
    json_t *object = json_pack("{s:s}", "name", "a");
    int count = FuzzInput_TakeBelow(input, LIST_ITEMS_MAX);

    for (int i = 0; i < count; i++) {
        const char *name = names[FuzzInput_TakeBelow(input, COUNT_OF(names))];

        json_object_set_new(object, name, make_value(input, depth + 1));
    }
    return object;
}

static json_t *
make_value(FuzzInput *input, int depth)
{
    switch (depth < DEPTH_MAX ? FuzzInput_TakeBelow(input, 8) : 0) {
    case 0:
    case 1:
        return make_number(input);
    case 2:
    case 3:
        return make_text(input);
    case 4:
    case 5:
        return make_list(input, depth);
    case 6:
        return FuzzInput_TakeBelow(input, 2) == 0 ? json_null() : json_true();
    default:
        return make_object(input, depth);
    }
}

static bool
is_amount(double value)
{
    return isfinite(value) && value >= 0 && value <= 1e15;
}

static const char *
check_customers(const KcRouting *routing)
{
    const KcRoutedCustomer *customer;
    KcKeyDigest digest;

    TAILQ_FOREACH (customer, &routing->customer_list, link) {
        if (!is_amount(customer->rate_per_s) || !is_amount(customer->burst) ||
            !is_amount((double)customer->plain_cost)) {
            return "a quota out of range";
        }
        if (customer->name[0] == '\0') {
            return "a customer without a name";
        }
    }
    KcPlatform_HashKey(SOUND_KEY, strlen(SOUND_KEY), &digest);
    customer = KcRouting_FindCustomer(routing, &digest);
    if (customer == NULL || strcmp(customer->name, "sound") != 0) {
        return "a key that is not its customer's";
    }
    KcPlatform_HashKey("", 0, &digest);
    return KcRouting_FindCustomer(routing, &digest) != NULL ? "an empty key"
                                                            : NULL;
}

/* Any entries leave the sound one behind them as it is. */
const char *
Decoders_RunCustomers(FuzzInput *input)
{
    json_t *list = make_list(input, 0);
    json_t *config;
    KcRouting *routing;
    KcError error = {0};
    const char *finding = "customers that spoil a configuration";

    json_array_append_new(
        list, json_pack("{s:s, s:[s]}", "name", "sound", "keys", SOUND_KEY));
    config =
        json_pack("{s:i, s:[], s:o}", "version", 1, "routes", "tenants", list);
    routing = KcPlatform_Current.read_routing(config, &error);
    if (routing != NULL) {
        finding =
            routing->has_customers ? check_customers(routing) : "no customers";
        KcRouting_Release(routing);
    }
    json_decref(config);
    return finding;
}

/* ---- the load that a worker tells ------------------------------------------ */

#define LOAD_PIECES_MAX 12
#define LOAD_SIZE 256

const char *
Decoders_RunLoad(FuzzInput *input)
{
    static const char *const pieces[] = {
        ",",          ",",          ",",    " ",   "\t",  "0",       "8",
        "120",        "99.5",       "-1",   "1e9", "nan", "inf",     "0x10",
        "4294967295", "4294967296", "1e-3", "+5",  ".",   "100000.5"};
    char value[LOAD_SIZE] = "";
    size_t size = 0;
    int count = FuzzInput_TakeBelow(input, LOAD_PIECES_MAX);
    bool is_begun = FuzzInput_TakeBelow(input, 2) == 0;
    KcHttpMessage message = {.status = 200};
    KcReplyHead head;

    size =
        (size_t)snprintf(value, sizeof(value), "%s", is_begun ? "1,2,8" : "");
    for (int i = 0; i < count; i++) {
        uint8_t byte = FuzzInput_Take(input);

        size += (size_t)snprintf(value + size, sizeof(value) - size, "%s",
                                 pieces[byte % COUNT_OF(pieces)]);
    }
    /* A last byte of any value. */
    value[size] = (char)FuzzInput_Take(input);
    message.fields[message.field_count++] =
        (KcHttpField){"Server-Load", value};
    KcPlatform_Current.dialect->parse_reply_head(&message, NULL, &head);
    if (!head.has_load) {
        return head.work_percent != 0 ? "the time of work without a load"
                                      : NULL;
    }
    if (head.work_percent > 100000) {
        return "a time of work out of range";
    }
    if (is_begun && count > 0 && value[strlen("1,2,8")] == ',' &&
        (head.running_requests != 1 || head.waiting_requests != 2 ||
         head.concurrency_max != 8)) {
        return "a load that depends on what follows";
    }
    return NULL;
}
