/*
 * Memory and time of what a process holds at the target size, in one process:
 *
 *   bench-size
 *
 * Documents of growing numbers of adapters, fleets of growing numbers of
 * backend servers; one JSON object per line.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <kcc.h>

static size_t
allocated(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static double
seconds(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* The adapters section; the caller frees it. */
static char *
adapters_text(uint32_t count, size_t *size)
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
    char *text = adapters_text(adapters, &size);
    size_t before = allocated();
    double began = seconds();

    memset(&texts, 0, sizeof(texts));
    texts.text[KC_SECTION_ADAPTERS] = text;
    texts.size[KC_SECTION_ADAPTERS] = size;
    texts.text[KC_SECTION_SERVICES] = services;
    texts.size[KC_SECTION_SERVICES] = strlen(services);
    document = KcDocument_Parse(&texts, 1, &problems);
    printf("{\"bench\":\"size\",\"scenario\":\"document\",\"policy\":\"kcc\","
           "\"seed\":1,\"adapters\":%u,\"text_bytes\":%zu,\"bytes\":%zu,"
           "\"parse_ms\":%.1f}\n",
           adapters, size, allocated() - before, (seconds() - began) * 1e3);
    KcDocument_Release(document);
    free(text);
}

static void
forget(void *context, KcBackend *backend)
{
    (void)context;
    (void)backend;
}

static void
bench_fleet(uint32_t workers)
{
    KcInstance *list = KcMem_New(workers * sizeof(*list));
    KcRouteOptions options = {
        .load_time = 1, .service_time = 1, .concurrency_max = 1};
    size_t before;
    KcFleet fleet;

    for (uint32_t i = 0; i < workers; i++) {
        snprintf(list[i].name, KC_NAME_MAX, "worker-%u", i);
        KcText_Copy(list[i].service, "llm", KC_NAME_MAX);
    }
    before = allocated();
    KcFleet_Init(&fleet, 16384);
    KcFleet_Update(&fleet, list, workers, NULL, forget, NULL);
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
           workers, allocated() - before);
    KcFleet_Clear(&fleet);
    free(list);
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
