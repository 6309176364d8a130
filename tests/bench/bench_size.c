/*
 * Memory of documents by number of adapters, with the time to parse them, and
 * of fleets by number of backend servers, up to the sizes to be supported.
 *
 *   bench-size
 *
 * Prints one JSON object a line.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <kcc.h>

/* Bytes that are allocated at present. */
static size_t
allocated_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

/* Processor time of this process in seconds. */
static double
cpu_seconds(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Returns the text of an adapters section; the caller frees it. */
static char *
make_adapters_section(uint32_t count, size_t *size)
{
    char *text = KcMem_New((size_t)count * 64 + 64);
    size_t used = (size_t)sprintf(text, "[adapters]\n");

    for (uint32_t i = 0; i < count; i++) {
        used += (size_t)sprintf(text + used, "customer-%06u = llm 1 2*\n", i);
    }
    *size = used;
    return text;
}

static void
bench_document(uint32_t adapters)
{
    static const char services[] =
        "[service llm]\nkind = model\nbase_model = base\n";
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcSectionTexts texts;
    KcDocument *document;
    size_t size;
    char *text = make_adapters_section(adapters, &size);
    size_t bytes_before = allocated_bytes();
    double cpu_seconds_before = cpu_seconds();

    memset(&texts, 0, sizeof(texts));
    texts.text[KC_SECTION_ADAPTERS] = text;
    texts.size[KC_SECTION_ADAPTERS] = size;
    texts.text[KC_SECTION_SERVICES] = services;
    texts.size[KC_SECTION_SERVICES] = strlen(services);
    document = KcDocument_Parse(&texts, 1, &problems);
    printf("{\"bench\":\"size\",\"scenario\":\"document\",\"policy\":\"kcc\","
           "\"seed\":1,\"adapters\":%u,\"text_bytes\":%zu,\"bytes\":%zu,"
           "\"parse_ms\":%.1f}\n",
           adapters, size, allocated_bytes() - bytes_before,
           (cpu_seconds() - cpu_seconds_before) * 1e3);
    KcDocument_Release(document);
    free(text);
}

/* Called for each removed backend server; they have no connection here. */
static void
on_backend_removed(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

static void
bench_fleet(uint32_t workers)
{
    KcInstance *instances = KcMem_New(workers * sizeof(*instances));
    KcRouteOptions options = {
        .load_time = 1, .service_time = 1, .concurrency_max = 1};
    size_t bytes_before;
    KcFleet fleet;

    for (uint32_t i = 0; i < workers; i++) {
        snprintf(instances[i].name, KC_NAME_MAX, "worker-%u", i);
        KcText_Copy(instances[i].service, "llm", KC_NAME_MAX);
    }
    bytes_before = allocated_bytes();
    KcFleet_Init(&fleet, 16384);
    KcFleet_Update(&fleet, instances, workers, NULL, on_backend_removed, NULL);
    for (uint64_t key = 0; key < 100000; key++) {
        KcRouteChoice choice = {0};
        KcRouteQuery query = {.fleet = &fleet,
                              .pool = KcFleet_FindPool(&fleet, "llm"),
                              .key = key * 0x9e3779b97f4a7c15ULL,
                              .needs_adapter = true,
                              .options = &options};

        KcRoute_FindPolicy("kcc")->pick(&query, 0, &choice);
        KcFleet_RecordHolder(&fleet, query.key, choice.backend, true, 0);
    }
    printf("{\"bench\":\"size\",\"scenario\":\"fleet\",\"policy\":\"kcc\","
           "\"seed\":1,\"workers\":%u,\"adapters_asked\":100000,"
           "\"bytes\":%zu}\n",
           workers, allocated_bytes() - bytes_before);
    KcFleet_Clear(&fleet);
    free(instances);
}

int
main(void)
{
    static const uint32_t adapters[] = {1000, 10000, 100000};
    static const uint32_t workers[] = {10, 100, 600};

    for (int i = 0; i < 3; i++) {
        bench_document(adapters[i]);
    }
    for (int i = 0; i < 3; i++) {
        bench_fleet(workers[i]);
    }
    return 0;
}
