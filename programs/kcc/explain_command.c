/*
 * kcc explain ADMIN-ADDRESS: what would become of a request at a gateway now,
 * and why.  Nothing is sent to a server.
 */
#include <errno.h>
#include <event2/http.h>
#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../process/admin_http.h"
#include "../process/platform.h"
#include "blocking_http.h"
#include "command.h"

/* ---- the question ---------------------------------------------------------- */

/* Fields of the question, and the options that they are taken from. */
static const struct {
    const char *name;
    size_t offset;
} question_fields[] = {
    {"host", offsetof(KcArguments, host)},
    {"path", offsetof(KcArguments, path)},
    {"model", offsetof(KcArguments, model)},
    {"adapter", offsetof(KcArguments, adapter_name)},
    {"customer", offsetof(KcArguments, customer)},
    {"parts", offsetof(KcArguments, parts)},
    {"prompt_tokens", offsetof(KcArguments, prompt_tokens)},
    {"answer_tokens", offsetof(KcArguments, answer_tokens)},
    {"hint_tokens", offsetof(KcArguments, hint_tokens)},
    {"timeout_ms", offsetof(KcArguments, timeout_ms)},
};

/* Returns the path with the question, to be freed. */
static char *
write_question(const KcArguments *arguments)
{
    char *path = NULL;
    size_t size = 0;
    char separator = '?';
    FILE *out = open_memstream(&path, &size);

    fputs("/explain", out);
    for (size_t i = 0;
         i < sizeof(question_fields) / sizeof(question_fields[0]); i++) {
        const char *text = *(const char *const *)((const char *)arguments +
                                                  question_fields[i].offset);

        if (text != NULL && text[0] != '\0') {
            char *encoded = evhttp_uriencode(text, -1, 0);

            fprintf(out, "%c%s=%s", separator, question_fields[i].name,
                    encoded);
            separator = '&';
            free(encoded);
        }
    }
    fclose(out);
    return path;
}

/* Room for a key with the end of its line, "\r\n", or one byte too long. */
#define KEY_LINE_SIZE (KC_KEY_BYTES_MAX + 2)

/* Takes a key, with a NUL behind it, from the first line that begins with the
 * bytes.  Returns NULL or what is wrong. */
static const char *
take_key(char line[KEY_LINE_SIZE + 1], size_t size)
{
    KcHttpField field = {.name = KC_HEADER_EXPLAIN_KEY, .value = line};
    const char *end = memchr(line, '\n', size);

    if (end != NULL) {
        size = (size_t)(end - line);
        if (size > 0 && line[size - 1] == '\r') {
            size--;
        }
    }
    line[size] = '\0';
    if (size == 0) {
        return "its first line is empty";
    }
    if (size > KC_KEY_BYTES_MAX) {
        return "the key is too long";
    }
    if (strlen(line) < size || !KcHttpField_HasValidCharacters(&field)) {
        return "the key has characters that no header can have";
    }
    return NULL;
}

/* Reads a key from a file.  Returns NULL or what is wrong. */
static const char *
read_key_file(const char *path, char line[KEY_LINE_SIZE + 1])
{
    FILE *file = fopen(path, "r");
    bool is_read;
    size_t size;

    if (file == NULL) {
        return strerror(errno);
    }
    size = fread(line, 1, KEY_LINE_SIZE, file);
    is_read = ferror(file) == 0;
    fclose(file);
    return is_read ? take_key(line, size) : "it can't be read";
}

/* ---- the answer for people ------------------------------------------------- */

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "-";
}

static long long
number_of(const json_t *object, const char *key)
{
    return (long long)json_number_value(json_object_get(object, key));
}

static void
print_refusal(const json_t *answer)
{
    const json_t *refusal = json_object_get(answer, "refusal");

    printf("refused: %s by the step \"%s\"", text_of(refusal, "error"),
           text_of(refusal, "step"));
    if (json_is_string(json_object_get(refusal, "part"))) {
        printf(", part %s", text_of(refusal, "part"));
    }
    if (json_is_integer(json_object_get(refusal, "retry_after_ms"))) {
        printf(", may come back after %lld ms\n",
               number_of(refusal, "retry_after_ms"));
    }
    else {
        printf(", for good\n");
    }
}

static void
print_further_load(const json_t *answer)
{
    if (json_is_string(json_object_get(answer, "further_load"))) {
        printf(", and a further load is requested at %s",
               text_of(answer, "further_load"));
    }
    printf("\n");
}

static void
print_send(const json_t *answer)
{
    printf("sent at once to %s", text_of(answer, "server"));
    if (number_of(answer, "version") > 0) {
        printf(", adapter version %lld", number_of(answer, "version"));
    }
    print_further_load(answer);
}

static void
print_load(const json_t *answer)
{
    printf("waits for its adapter, whose load is requested at %s",
           text_of(answer, "server"));
    print_further_load(answer);
}

static void
print_await_load(const json_t *answer)
{
    printf("waits for its adapter, which %s is loading",
           text_of(answer, "server"));
    print_further_load(answer);
}

static void
print_queue(const json_t *answer)
{
    const json_t *queue = json_object_get(answer, "queue");

    printf("waits in the queue behind %lld of %lld requests, ",
           number_of(queue, "place"), number_of(queue, "length"));
    if (json_is_integer(json_object_get(queue, "expected_wait_ms"))) {
        printf("about %lld ms", number_of(queue, "expected_wait_ms"));
    }
    else {
        printf("for how long is not known");
    }
    printf("; decided again in %lld ms\n",
           number_of(queue, "decided_again_ms"));
}

static const struct {
    const char *name;
    void (*print)(const json_t *answer);
} results[] = {
    {"refuse", print_refusal}, {"send", print_send},
    {"load", print_load},      {"await_load", print_await_load},
    {"queue", print_queue},
};

static void
print_result(const json_t *answer)
{
    for (size_t i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
        if (strcmp(results[i].name, text_of(answer, "result")) == 0) {
            results[i].print(answer);
        }
    }
}

static void
print_route(const json_t *answer)
{
    const json_t *route = json_object_get(answer, "route");

    printf("by gateway %s with generation %lld", text_of(answer, "gateway"),
           number_of(answer, "generation"));
    if (json_is_object(route)) {
        printf(", route %s (%s %s, %s) to service %s, priority %lld",
               text_of(route, "name"), text_of(route, "host"),
               text_of(route, "prefix"), text_of(route, "kind"),
               text_of(route, "service"), number_of(route, "priority"));
    }
    printf("\n");
}

static void
print_customer(const json_t *answer)
{
    const json_t *customer = json_object_get(answer, "customer");

    if (!json_is_object(customer)) {
        return;
    }
    printf("customer %s, cost %lld %s", text_of(customer, "name"),
           number_of(customer, "cost"), text_of(customer, "unit"));
    if (json_is_true(json_object_get(customer, "quota_unknown"))) {
        printf(", the quota is not in force yet");
    }
    else if (json_is_real(json_object_get(customer, "may_spend"))) {
        printf(", the gateway may spend %lld at once, level %lld",
               number_of(customer, "may_spend"), number_of(customer, "level"));
    }
    printf("\n");
}

/* How old the last report of the load is. */
static void
format_age(const json_t *server, char *text, size_t size)
{
    if (json_is_integer(json_object_get(server, "load_age_ms"))) {
        snprintf(text, size, "%lld ms", number_of(server, "load_age_ms"));
    }
    else {
        snprintf(text, size, "-");
    }
}

static void
print_server(const json_t *server)
{
    const char *term;
    json_t *cost;
    const char *separator = " = ";
    char age[32];

    format_age(server, age, sizeof(age));
    printf("%-20s %-8s %4lld/%-4lld %10s %8.1f ms  %s",
           text_of(server, "server"), text_of(server, "adapter"),
           number_of(server, "load"), number_of(server, "concurrency_max"),
           age, json_number_value(json_object_get(server, "cost_ms")),
           text_of(server, "reason"));
    if (number_of(server, "closed_ms") > 0) {
        printf(" for %lld ms", number_of(server, "closed_ms"));
    }
    json_object_foreach (json_object_get(server, "costs_ms"), term, cost) {
        printf("%s%s %.1f", separator, term, json_number_value(cost));
        separator = ", ";
    }
    printf("\n");
}

static void
print_answer(const json_t *answer)
{
    const json_t *servers = json_object_get(answer, "servers");
    json_t *server;
    size_t index;

    print_result(answer);
    print_route(answer);
    print_customer(answer);
    if (json_array_size(servers) > 0) {
        printf("%-20s %-8s %9s %10s %11s  %s\n", "server", "adapter", "load",
               "told", "cost", "reason");
    }
    json_array_foreach (servers, index, server) {
        print_server(server);
    }
}

/* Sends the question, with the key unless it is NULL; returns the exit status.
 */
static int
ask(const KcArguments *arguments, const char *key)
{
    const char *address = arguments->operands[0];
    char *path = write_question(arguments);
    KcHttpCallOptions options = {.address = address,
                                 .method = "GET",
                                 .path = path,
                                 .headers = {{KC_HEADER_EXPLAIN_KEY, key}}};
    KcHttpResponse response;
    json_t *answer = NULL;
    int status = KC_EXIT_FAILED;

    KcBlockingHttp_Call(&options, &response);
    if (response.status == 200) {
        answer = json_loads(KcBuffer_Data(&response.body), 0, NULL);
    }
    if (json_is_object(answer)) {
        if (arguments->json) {
            printf("%s\n", KcBuffer_Data(&response.body));
        }
        else {
            print_answer(answer);
        }
        status = KC_EXIT_OK;
    }
    else if (response.status == 400) {
        fprintf(stderr, "kcc: %s\n", KcBuffer_Data(&response.body));
    }
    else {
        fprintf(stderr, "kcc: no gateway answers at %s\n", address);
    }
    json_decref(answer);
    KcHttpResponse_Clear(&response);
    free(path);
    return status;
}

int
KcCommand_ExplainRequest(const KcArguments *arguments)
{
    char key[KEY_LINE_SIZE + 1];
    const char *problem;

    if (arguments->key_file == NULL) {
        return ask(arguments, NULL);
    }
    if (arguments->customer != NULL) {
        fprintf(stderr, "kcc: explain takes --customer or --key-file\n");
        return KC_EXIT_USAGE;
    }
    problem = read_key_file(arguments->key_file, key);
    if (problem != NULL) {
        fprintf(stderr, "kcc: %s: %s\n", arguments->key_file, problem);
        return KC_EXIT_FAILED;
    }
    return ask(arguments, key);
}
