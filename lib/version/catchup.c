/*
 * Fetching a newer version of the document.
 *
 * Parts are content-addressed, so a part that is already held, whether from
 * the version in force or from an abandoned fetch, is not fetched again.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_version.h"

/* One part held in memory. */
typedef struct Part {
    UT_hash_handle hh;
    char hash[KC_HASH_TEXT_SIZE];
    size_t size;
    char *data; /* NULL while it is being fetched */
} Part;

struct KcCatchup {
    KcCatchupOps ops;
    void *context;
    Part *parts;
    KcHead *current; /* NULL when no version is in force */
    KcHead *wanted;  /* NULL when nothing is being fetched */
    bool completing; /* guards against re-entry from ops */
};

static Part *
find_part(const KcCatchup *catchup, const char *hash)
{
    Part *part;

    HASH_FIND_STR(catchup->parts, hash, part);
    return part;
}

static void
free_part(KcCatchup *catchup, Part *part)
{
    HASH_DEL(catchup->parts, part);
    free(part->data);
    free(part);
}

KcCatchup *
KcCatchup_Create(const KcCatchupOps *ops, void *context)
{
    KcCatchup *catchup = KcMem_New(sizeof(*catchup));

    catchup->ops = *ops;
    catchup->context = context;
    return catchup;
}

void
KcCatchup_Free(KcCatchup *catchup)
{
    Part *part;
    Part *next;

    HASH_ITER(hh, catchup->parts, part, next)
    {
        free_part(catchup, part);
    }
    free(catchup->current);
    free(catchup->wanted);
    free(catchup);
}

static bool
head_names(const KcHead *head, const char *hash)
{
    if (head == NULL) {
        return false;
    }
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            if (strcmp(head->part_hash[i][j], hash) == 0) {
                return true;
            }
        }
    }
    return false;
}

/* Frees parts that neither the current nor the wanted head names. */
static void
drop_unused_parts(KcCatchup *catchup)
{
    Part *part;
    Part *next;

    HASH_ITER(hh, catchup->parts, part, next)
    {
        if (!head_names(catchup->current, part->hash) &&
            !head_names(catchup->wanted, part->hash)) {
            free_part(catchup, part);
        }
    }
}

/* Joins the parts of one section.  The caller frees the result. */
static char *
join_section(KcCatchup *catchup, int section, size_t *size)
{
    const KcHead *head = catchup->wanted;
    char *text;
    size_t total = 0;

    for (uint32_t i = 0; i < head->part_count[section]; i++) {
        total += find_part(catchup, head->part_hash[section][i])->size;
    }
    text = KcMem_New(total + 1);
    total = 0;
    for (uint32_t i = 0; i < head->part_count[section]; i++) {
        Part *part = find_part(catchup, head->part_hash[section][i]);

        memcpy(text + total, part->data, part->size);
        total += part->size;
    }
    *size = total;
    return text;
}

static KcDocument *
parse_wanted(KcCatchup *catchup, KcProblemList *problems)
{
    KcSectionTexts texts;
    KcDocument *document;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        texts.text[i] = join_section(catchup, i, &texts.size[i]);
    }
    document = KcDocument_Parse(&texts, catchup->wanted->generation, problems);
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        free((char *)texts.text[i]);
    }
    return document;
}

/* Puts the wanted version in force, or rejects it. */
static void
complete(KcCatchup *catchup)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcDocument *document = parse_wanted(catchup, &problems);
    KcHead *head = catchup->wanted;

    catchup->wanted = NULL;
    if (document == NULL) {
        catchup->ops.reject(catchup->context, head->generation, &problems);
        KcProblemList_Clear(&problems);
        free(head);
        return;
    }
    assert(catchup->current == NULL ||
           catchup->current->generation < head->generation);
    free(catchup->current);
    catchup->current = head;
    drop_unused_parts(catchup);
    catchup->ops.adopt(catchup->context, document);
}

static bool
all_parts_held(const KcCatchup *catchup)
{
    const KcHead *head = catchup->wanted;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            Part *part = find_part(catchup, head->part_hash[i][j]);

            if (part == NULL || part->data == NULL) {
                return false;
            }
        }
    }
    return true;
}

static void
complete_if_ready(KcCatchup *catchup)
{
    if (catchup->completing || catchup->wanted == NULL ||
        !all_parts_held(catchup)) {
        return;
    }
    catchup->completing = true;
    complete(catchup);
    catchup->completing = false;
}

/* Asks for each part of the wanted head that is not held. */
static void
fetch_missing(KcCatchup *catchup, bool again)
{
    /* A fetch may be answered at once, which frees the wanted head. */
    KcHead *head = KcMem_New(sizeof(*head));

    *head = *catchup->wanted;
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            Part *part = find_part(catchup, head->part_hash[i][j]);

            if (part != NULL && (part->data != NULL || !again)) {
                continue;
            }
            if (part == NULL) {
                part = KcMem_New(sizeof(*part));
                KcText_Copy(part->hash, head->part_hash[i][j],
                            KC_HASH_TEXT_SIZE);
                HASH_ADD_STR(catchup->parts, hash, part);
            }
            catchup->ops.fetch(catchup->context, head->part_hash[i][j]);
        }
    }
    free(head);
}

void
KcCatchup_OnHead(KcCatchup *catchup, const KcHead *head)
{
    if (head->generation <= KcCatchup_CurrentGeneration(catchup) ||
        head->generation <= KcCatchup_TargetGeneration(catchup)) {
        return;
    }
    free(catchup->wanted);
    catchup->wanted = KcMem_New(sizeof(*head));
    *catchup->wanted = *head;
    drop_unused_parts(catchup);
    fetch_missing(catchup, false);
    complete_if_ready(catchup);
}

int
KcCatchup_OnPart(KcCatchup *catchup, const char *hash, const void *data,
                 size_t size)
{
    char actual[KC_HASH_TEXT_SIZE];
    Part *part = find_part(catchup, hash);

    KcHash_Compute(data, size, actual);
    if (strcmp(actual, hash) != 0) {
        return KC_ERR_INVALID;
    }
    if (part == NULL) {
        return KC_ERR_NOT_FOUND;
    }
    if (part->data == NULL) {
        part->data = KcMem_New(size + 1);
        memcpy(part->data, data, size);
        part->size = size;
        complete_if_ready(catchup);
    }
    return 0;
}

void
KcCatchup_RefetchMissing(KcCatchup *catchup)
{
    if (catchup->wanted != NULL) {
        fetch_missing(catchup, true);
    }
}

uint64_t
KcCatchup_CurrentGeneration(const KcCatchup *catchup)
{
    return catchup->current != NULL ? catchup->current->generation : 0;
}

uint64_t
KcCatchup_TargetGeneration(const KcCatchup *catchup)
{
    return catchup->wanted != NULL ? catchup->wanted->generation : 0;
}

const KcHead *
KcCatchup_CurrentHead(const KcCatchup *catchup)
{
    return catchup->current;
}

const char *
KcCatchup_FindPart(const KcCatchup *catchup, const char *hash, size_t *size)
{
    Part *part = find_part(catchup, hash);

    if (part == NULL || part->data == NULL) {
        return NULL;
    }
    *size = part->size;
    return part->data;
}
