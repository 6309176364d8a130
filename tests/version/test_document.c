/*
 * Tests of the document: parsing and validation, resolution of model names and
 * paths, division into parts, heads, and catching up with a new generation.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <kcc.h>

/* The sections of a valid document; each case replaces one. */
static const char *const valid_sections[KC_SECTION_COUNT] = {
    [KC_SECTION_ADAPTERS] = "[adapters]\na = llm 1 2*\nb = llm 3\n",
    [KC_SECTION_CAPACITY] = "[service llm]\nslots = 4\n",
    [KC_SECTION_REGIONS] = "[region r]\ndatacentres = d1 d2\n",
    [KC_SECTION_RETIREMENTS] = "[retired]\na = 1\n",
    [KC_SECTION_SERVICES] =
        "[service llm]\nkind = model\nbase_model = base\n"
        "[service print]\nkind = plain\npath = /print\nrepeatable = no\n",
    [KC_SECTION_LIMITS] = "[customer *]\nrate_per_s = 5\n",
};

static KcDocument *
parse_with_section(int section, const char *text, KcProblemList *problems)
{
    KcSectionTexts texts;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        texts.text[i] = i == section ? text : valid_sections[i];
        texts.size[i] = strlen(texts.text[i]);
    }
    return KcDocument_Parse(&texts, 7, problems);
}

/* Invalid texts of one section, and the problem that is reported first. */
static const struct {
    const char *name;
    int section;
    const char *text;
    int line; /* 0: of no line */
    const char *key;
    const char *message_part;
} problem_cases[] = {
    {"unknown service", KC_SECTION_ADAPTERS, "[adapters]\na = none 1\n", 2,
     "[adapters] a", "service of kind model"},
    {"adapter of a plain service", KC_SECTION_ADAPTERS,
     "[adapters]\na = print 1 2*\n", 2, "[adapters] a", "kind model"},
    {"no version", KC_SECTION_ADAPTERS, "[adapters]\nb = llm\na = llm 1 2*\n",
     2, "[adapters] b", "no version"},
    {"two defaults", KC_SECTION_ADAPTERS, "[adapters]\na = llm 1* 2*\n", 2,
     "[adapters] a", "two default"},
    {"version zero", KC_SECTION_ADAPTERS, "[adapters]\na = llm 1 2* 0\n", 2,
     "[adapters] a", "VERSION"},
    {"key twice", KC_SECTION_ADAPTERS,
     "[adapters]\na = llm 1 2*\n\na = llm 1 2*\n", 4, "[adapters] a",
     "before on line 2"},
    {"unknown section", KC_SECTION_ADAPTERS, "[adaptors]\nx = llm 1\n", 2,
     "[adaptors] x", "[adapters]"},
    {"bad adapter name", KC_SECTION_ADAPTERS,
     "[adapters]\na = llm 1 2*\nx/y = llm 1\n", 3, "[adapters] x/y",
     "valid adapter name"},
    {"capacity of an unknown service", KC_SECTION_CAPACITY,
     "[service x]\nslots = 1\n", 2, "[service x] slots", "no such service"},
    {"slots out of range", KC_SECTION_CAPACITY,
     "[service llm]\n; none\nslots = 0\n", 3, "[service llm] slots",
     "from 1 to 1024"},
    {"unknown capacity key", KC_SECTION_CAPACITY, "[service llm]\nslot = 1\n",
     2, "[service llm] slot", "unknown key"},
    {"data centre in two regions", KC_SECTION_REGIONS,
     "[region r]\ndatacentres = d1\n[region s]\ndatacentres = d1\n", 4,
     "[region s] datacentres", "two regions"},
    {"retired default", KC_SECTION_RETIREMENTS, "[retired]\na = 2\n", 2,
     "[retired] a", "default version"},
    {"retired unknown adapter", KC_SECTION_RETIREMENTS, "[retired]\nz = 1\n",
     2, "[retired] z", "no such adapter"},
    {"retired unknown version", KC_SECTION_RETIREMENTS, "[retired]\na = 9\n",
     2, "[retired] a", "no such version"},
    {"unknown kind", KC_SECTION_SERVICES,
     "[service llm]\nkind = modell\nbase_model = b\n", 2, "[service llm] kind",
     "model or plain"},
    {"plain without path", KC_SECTION_SERVICES,
     "[service llm]\nkind = model\nbase_model = b\n[service p]\nkind = "
     "plain\n",
     0, "[service p]", "path"},
    {"path under /v1/", KC_SECTION_SERVICES,
     "[service llm]\nkind = model\nbase_model = b\n[service p]\nkind = "
     "plain\npath = /v1/x\n",
     0, "[service p]", "/v1/"},
    {"flag neither yes nor no", KC_SECTION_SERVICES,
     "[service llm]\nkind = model\nbase_model = b\n[service p]\nkind = "
     "plain\npath = /p\nrepeatable = maybe\n",
     7, "[service p] repeatable", "yes or no"},
    {"limit not a number", KC_SECTION_LIMITS,
     "[customer c]\nrate_per_s = many\n", 2, "[customer c] rate_per_s",
     "whole number"},
    {"no equals sign", KC_SECTION_LIMITS, "[customer c]\nrate_per_s\n", 2, "",
     "key = value"},
};

static void
test_problems(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(problem_cases); i++) {
        KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
        KcDocument *document = parse_with_section(
            problem_cases[i].section, problem_cases[i].text, &problems);
        KcProblem *problem = TAILQ_FIRST(&problems);

        g_test_message("%s", problem_cases[i].name);
        g_assert_null(document);
        g_assert_nonnull(problem);
        g_assert_cmpstr(problem->file, ==,
                        KcSection_Name((KcSection)problem_cases[i].section));
        g_assert_cmpint(problem->line, ==, problem_cases[i].line);
        g_assert_cmpstr(problem->key, ==, problem_cases[i].key);
        g_assert_nonnull(
            strstr(problem->message, problem_cases[i].message_part));
        KcProblemList_Clear(&problems);
    }
}

/* Every problem of a text is reported, not only the first. */
static void
test_all_problems_reported(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcProblem *problem;
    int count = 0;

    g_assert_null(parse_with_section(KC_SECTION_CAPACITY,
                                     "[service llm]\nslots = x\nbatch = -1\n"
                                     "[service q]\nslots = 1\n",
                                     &problems));
    TAILQ_FOREACH (problem, &problems, link) {
        count++;
    }
    g_assert_cmpint(count, ==, 3);
    KcProblemList_Clear(&problems);
}

static const struct {
    const char *model;
    int code;
    const char *adapter;
    uint32_t version;
} resolve_cases[] = {
    {"a", 0, "a", 2},
    {"a@2", 0, "a", 2},
    {"b", 0, "b", 3},
    {"a@1", KC_ERR_VERSION_RETIRED, "", 0},
    {"a@3", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"c", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"@1", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"a@", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"a@0", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"a@-2", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"a@2x", KC_ERR_UNKNOWN_MODEL, "", 0},
    {"a@99999999999", KC_ERR_UNKNOWN_MODEL, "", 0},
};

static void
test_resolve(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcDocument *document = parse_with_section(-1, NULL, &problems);

    g_assert_nonnull(document);
    g_assert_cmpuint(document->generation, ==, 7);
    for (size_t i = 0; i < G_N_ELEMENTS(resolve_cases); i++) {
        KcAdapterRef ref;
        KcService *service = NULL;
        int code = KcDocument_ResolveModel(document, resolve_cases[i].model,
                                           &ref, &service);

        g_test_message("%s", resolve_cases[i].model);
        g_assert_cmpint(code, ==, resolve_cases[i].code);
        if (code == 0) {
            g_assert_cmpstr(ref.adapter, ==, resolve_cases[i].adapter);
            g_assert_cmpuint(ref.version, ==, resolve_cases[i].version);
            g_assert_cmpstr(service->name, ==, "llm");
        }
    }
    KcDocument_Release(document);
}

static const struct {
    const char *path;
    const char *service; /* that serves the path; NULL: none */
} path_cases[] = {
    {"/print", "print"}, {"/print/jobs", "print"},
    {"/printing", NULL}, {"/prin", NULL},
    {"/", NULL},         {"/v1/completions", NULL},
};

static void
test_paths(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcDocument *document = parse_with_section(-1, NULL, &problems);

    for (size_t i = 0; i < G_N_ELEMENTS(path_cases); i++) {
        KcService *service =
            KcDocument_FindServiceByPath(document, path_cases[i].path);

        g_assert_cmpstr(service != NULL ? service->name : NULL, ==,
                        path_cases[i].service);
    }
    KcDocument_Release(document);
}

/* A line beyond the limit of inih is reported, not truncated. */
static void
test_long_line(void)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    char text[600];

    memset(text, 'x', sizeof(text));
    memcpy(text, "[adapters]\na = llm ", 19);
    text[598] = '\n';
    text[599] = '\0';
    g_assert_null(parse_with_section(KC_SECTION_ADAPTERS, text, &problems));
    g_assert_cmpint(TAILQ_FIRST(&problems)->line, ==, 2);
    g_assert_nonnull(strstr(TAILQ_FIRST(&problems)->message, "longer than"));
    KcProblemList_Clear(&problems);
}

/* ---- heads -------------------------------------------------------------- */

static const struct {
    size_t full_lines_size; /* bytes in lines of 100 bytes */
    size_t last_line_size;  /* bytes of one more line, which has no newline */
    size_t part_size;       /* expected size of the first part, bytes */
} part_size_cases[] = {
    {0, 0, 0},
    {100, 0, 100},
    {900000, 0, 900000},
    {900100, 0, 900000},
    {2000000, 0, 900000},
    {899900, 50, 899950},
    {900000, 50, 900000},
    {0, 900001, 0},
};

static void
test_part_size(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(part_size_cases); i++) {
        size_t size = part_size_cases[i].full_lines_size +
                      part_size_cases[i].last_line_size;
        char *text = KcMem_New(size + 1);

        memset(text, 'x', size);
        for (size_t j = 99; j < part_size_cases[i].full_lines_size; j += 100) {
            text[j] = '\n';
        }
        g_assert_cmpuint(KcHead_PartSize(text, size), ==,
                         part_size_cases[i].part_size);
        free(text);
    }
}

/* Divides a text into parts; sets their hashes and returns their number. */
static uint32_t
compute_part_hashes(const char *text, size_t size,
                    char (*hashes)[KC_HASH_TEXT_SIZE])
{
    uint32_t count = 0;

    while (size > 0) {
        size_t part = KcHead_PartSize(text, size);

        g_assert_cmpuint(part, >, 0);
        g_assert_cmpuint(count, <, KC_SECTION_PARTS_MAX);
        KcHash_Compute(text, part, hashes[count++]);
        text += part;
        size -= part;
    }
    return count;
}

/* A line inserted among 100,000 changes two parts at the most. */
static void
test_edit_changes_few_parts(void)
{
    static char hashes_before[KC_SECTION_PARTS_MAX][KC_HASH_TEXT_SIZE];
    static char hashes_after[KC_SECTION_PARTS_MAX][KC_HASH_TEXT_SIZE];
    GString *text = g_string_new("[adapters]\n");
    uint32_t part_counts[2];
    uint32_t kept_parts = 0;
    char *edited;

    for (int i = 0; i < 100000; i++) {
        g_string_append_printf(text, "customer-%06d = llm 1 2*\n", i);
    }
    part_counts[0] = compute_part_hashes(text->str, text->len, hashes_before);
    edited = strstr(text->str, "customer-050000");
    g_string_insert(text, edited - text->str, "customer-new = llm 1\n");
    part_counts[1] = compute_part_hashes(text->str, text->len, hashes_after);
    for (uint32_t i = 0; i < part_counts[1]; i++) {
        for (uint32_t j = 0; j < part_counts[0]; j++) {
            kept_parts += strcmp(hashes_after[i], hashes_before[j]) == 0;
        }
    }
    g_assert_cmpuint(part_counts[0], >, 20);
    g_assert_cmpuint(kept_parts + 2, >=, part_counts[1]);
    g_string_free(text, TRUE);
}

static void
fill_head(KcHead *head, uint64_t generation)
{
    memset(head, 0, sizeof(*head));
    head->generation = generation;
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        head->part_count[i] = 1;
        head->changed_generation[i] = generation;
        KcText_Copy(head->author[i], "team", KC_NAME_MAX);
        KcHash_Compute(valid_sections[i], strlen(valid_sections[i]),
                       head->part_hash[i][0]);
    }
}

static void
test_head_round_trip(void)
{
    KcHead head;
    KcHead decoded;
    char *json;

    fill_head(&head, 12);
    json = KcHead_Encode(&head);
    g_assert_cmpint(KcHead_Decode(json, strlen(json), &decoded), ==, 0);
    g_assert_true(memcmp(&head, &decoded, sizeof(head)) == 0);
    free(json);
}

static const char *const bad_heads[] = {
    "",
    "{}",
    "[]",
    "{\"generation\": 0, \"sections\": {}}",
    "{\"generation\": 1}",
    "{\"generation\": 1, \"sections\": {\"adapters\": {\"parts\": [\"ab\"]}}}",
    "{\"generation\": 1, \"sections\": {\"adapters\": {\"parts\": 5}}}",
};

static void
test_bad_heads(void)
{
    KcHead head;

    for (size_t i = 0; i < G_N_ELEMENTS(bad_heads); i++) {
        g_assert_cmpint(
            KcHead_Decode(bad_heads[i], strlen(bad_heads[i]), &head), ==,
            KC_ERR_PARSE);
    }
}

/* ---- catching up -------------------------------------------------------- */

typedef struct CatchupRecord {
    KcCatchup *catchup;
    int fetch_count;
    uint64_t adopted_generation;  /* 0: none */
    uint64_t rejected_generation; /* 0: none */
} CatchupRecord;

static void
on_fetch(void *context, const char *hash)
{
    (void)hash;
    ((CatchupRecord *)context)->fetch_count++;
}

static void
on_adopt(void *context, KcDocument *document)
{
    ((CatchupRecord *)context)->adopted_generation = document->generation;
    KcDocument_Release(document);
}

static void
on_reject(void *context, uint64_t generation, const KcProblemList *problems)
{
    (void)problems;
    ((CatchupRecord *)context)->rejected_generation = generation;
}

static const KcCatchupOps catchup_ops = {on_fetch, on_adopt, on_reject};

static void
deliver_all_parts(CatchupRecord *record)
{
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        char hash[KC_HASH_TEXT_SIZE];

        KcHash_Compute(valid_sections[i], strlen(valid_sections[i]), hash);
        g_assert_cmpint(KcCatchup_OnPart(record->catchup, hash,
                                         valid_sections[i],
                                         strlen(valid_sections[i])),
                        ==, 0);
    }
}

/* Heads that arrive after generation 5 is in force. */
static const struct {
    uint64_t generation;
    bool is_adopted;
} next_heads[] = {{4, false}, {5, false}, {1, false}, {6, true}, {100, true}};

static void
test_catchup(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(next_heads); i++) {
        CatchupRecord record = {0};
        KcHead head;

        record.catchup = KcCatchup_Create(&catchup_ops, &record);
        fill_head(&head, 5);
        KcCatchup_OnHead(record.catchup, &head);
        g_assert_cmpint(record.fetch_count, ==, KC_SECTION_COUNT);
        g_assert_cmpuint(record.adopted_generation, ==, 0);
        deliver_all_parts(&record);
        g_assert_cmpuint(record.adopted_generation, ==, 5);
        /* Another generation with the same parts needs no fetch. */
        head.generation = next_heads[i].generation;
        KcCatchup_OnHead(record.catchup, &head);
        g_assert_cmpint(record.fetch_count, ==, KC_SECTION_COUNT);
        g_assert_cmpuint(KcCatchup_CurrentGeneration(record.catchup), ==,
                         next_heads[i].is_adopted ? next_heads[i].generation
                                                  : 5);
        KcCatchup_Free(record.catchup);
    }
}

/* A part that does not match its hash, or was not requested, is not used. */
static void
test_catchup_verifies(void)
{
    CatchupRecord record = {0};
    char hash[KC_HASH_TEXT_SIZE];
    KcHead head;

    record.catchup = KcCatchup_Create(&catchup_ops, &record);
    fill_head(&head, 5);
    KcCatchup_OnHead(record.catchup, &head);
    KcHash_Compute(valid_sections[0], strlen(valid_sections[0]), hash);
    g_assert_cmpint(KcCatchup_OnPart(record.catchup, hash, "forged", 6), ==,
                    KC_ERR_INVALID);
    KcHash_Compute("other", 5, hash);
    g_assert_cmpint(KcCatchup_OnPart(record.catchup, hash, "other", 5), ==,
                    KC_ERR_NOT_FOUND);
    deliver_all_parts(&record);
    g_assert_cmpuint(record.adopted_generation, ==, 5);
    KcCatchup_Free(record.catchup);
}

/* A document that is not valid never comes into force. */
static void
test_catchup_rejects(void)
{
    const char *invalid_section = "[retired]\na = 2\n";
    CatchupRecord record = {0};
    char hash[KC_HASH_TEXT_SIZE];
    KcHead head;

    record.catchup = KcCatchup_Create(&catchup_ops, &record);
    fill_head(&head, 5);
    KcHash_Compute(invalid_section, strlen(invalid_section), hash);
    KcText_Copy(head.part_hash[KC_SECTION_RETIREMENTS][0], hash,
                KC_HASH_TEXT_SIZE);
    KcCatchup_OnHead(record.catchup, &head);
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        const char *text =
            i == KC_SECTION_RETIREMENTS ? invalid_section : valid_sections[i];

        KcHash_Compute(text, strlen(text), hash);
        KcCatchup_OnPart(record.catchup, hash, text, strlen(text));
    }
    g_assert_cmpuint(record.adopted_generation, ==, 0);
    g_assert_cmpuint(record.rejected_generation, ==, 5);
    KcCatchup_Free(record.catchup);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/version/problems", test_problems);
    g_test_add_func("/version/all_problems", test_all_problems_reported);
    g_test_add_func("/version/resolve", test_resolve);
    g_test_add_func("/version/paths", test_paths);
    g_test_add_func("/version/long_line", test_long_line);
    g_test_add_func("/version/parts", test_part_size);
    g_test_add_func("/version/edit_changes_few_parts",
                    test_edit_changes_few_parts);
    g_test_add_func("/version/head", test_head_round_trip);
    g_test_add_func("/version/bad_heads", test_bad_heads);
    g_test_add_func("/version/catchup", test_catchup);
    g_test_add_func("/version/catchup_verifies", test_catchup_verifies);
    g_test_add_func("/version/catchup_rejects", test_catchup_rejects);
    return g_test_run();
}
