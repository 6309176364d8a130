/*
 * Fetches newer versions of the document and puts them in force.
 *
 * Parts are addressed by their content hash, so a part that was fetched for
 * the version in force, or for a version given up since, is not fetched
 * again.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "kcc_version.h"

/* One part, fetched or requested. */
typedef struct Part {
    UT_hash_handle hh; /* by hash */
    char hash[KC_HASH_TEXT];
    size_t size; /* of data, in bytes */
    char *data;  /* NULL until it has been fetched */
} Part;

struct KcCatchup {
    KcCatchupOps ops;
    void *context;
    Part *parts;     /* uthash by hash */
    KcHead *current; /* in force; NULL when none is */
    KcHead *target;  /* being fetched; NULL when none is */
    bool finishing;  /* in finish_fetch(), whose ops may call back */
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
    free(catchup->target);
    free(catchup);
}

static bool
head_lists_part(const KcHead *head, const char *hash)
{
    if (head == NULL) {
        return false;
    }
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            if (strcmp(head->part[i][j], hash) == 0) {
                return true;
            }
        }
    }
    return false;
}

/* Frees parts that neither the current nor the target head lists. */
static void
free_unused_parts(KcCatchup *catchup)
{
    Part *part;
    Part *next;

    HASH_ITER(hh, catchup->parts, part, next)
    {
        if (!head_lists_part(catchup->current, part->hash) &&
            !head_lists_part(catchup->target, part->hash)) {
            free_part(catchup, part);
        }
    }
}

/* Concatenates the parts of a section.  The caller frees the result. */
static char *
join_section(KcCatchup *catchup, int section, size_t *size)
{
    const KcHead *head = catchup->target;
    char *text;
    size_t total = 0;

    for (uint32_t i = 0; i < head->part_count[section]; i++) {
        total += find_part(catchup, head->part[section][i])->size;
    }
    text = KcMem_New(total + 1);
    total = 0;
    for (uint32_t i = 0; i < head->part_count[section]; i++) {
        Part *part = find_part(catchup, head->part[section][i]);

        memcpy(text + total, part->data, part->size);
        total += part->size;
    }
    *size = total;
    return text;
}

static KcDocument *
parse_target(KcCatchup *catchup, KcProblemList *problems)
{
    KcSectionTexts texts;
    KcDocument *document;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        texts.text[i] = join_section(catchup, i, &texts.size[i]);
    }
    document = KcDocument_Parse(&texts, catchup->target->generation, problems);
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        free((char *)texts.text[i]);
    }
    return document;
}

/* Parses the fetched version and puts it in force, or rejects it. */
static void
finish_fetch(KcCatchup *catchup)
{
    KcProblemList problems = TAILQ_HEAD_INITIALIZER(problems);
    KcDocument *document = parse_target(catchup, &problems);
    KcHead *head = catchup->target;

    catchup->target = NULL;
    if (document == NULL) {
        catchup->ops.reject(catchup->context, head->generation, &problems);
        KcProblem_Clear(&problems);
        free(head);
        return;
    }
    assert(catchup->current == NULL ||
           catchup->current->generation < head->generation);
    free(catchup->current);
    catchup->current = head;
    free_unused_parts(catchup);
    catchup->ops.adopt(catchup->context, document);
}

static bool
all_parts_fetched(const KcCatchup *catchup)
{
    const KcHead *head = catchup->target;

    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            Part *part = find_part(catchup, head->part[i][j]);

            if (part == NULL || part->data == NULL) {
                return false;
            }
        }
    }
    return true;
}

static void
finish_fetch_if_complete(KcCatchup *catchup)
{
    if (catchup->finishing || catchup->target == NULL ||
        !all_parts_fetched(catchup)) {
        return;
    }
    catchup->finishing = true;
    finish_fetch(catchup);
    catchup->finishing = false;
}

/* Requests the missing parts of the target head; those requested before
 * only with refetch. */
static void
fetch_missing(KcCatchup *catchup, bool refetch)
{
    /* fetch() may deliver the last part and so free the target head. */
    KcHead *head = KcMem_New(sizeof(*head));

    *head = *catchup->target;
    for (int i = 0; i < KC_SECTION_COUNT; i++) {
        for (uint32_t j = 0; j < head->part_count[i]; j++) {
            Part *part = find_part(catchup, head->part[i][j]);

            if (part != NULL && (part->data != NULL || !refetch)) {
                continue;
            }
            if (part == NULL) {
                part = KcMem_New(sizeof(*part));
                KcName_Copy(part->hash, head->part[i][j], KC_HASH_TEXT);
                HASH_ADD_STR(catchup->parts, hash, part);
            }
            catchup->ops.fetch(catchup->context, head->part[i][j]);
        }
    }
    free(head);
}

void
KcCatchup_OnHead(KcCatchup *catchup, const KcHead *head)
{
    if (head->generation <= KcCatchup_Generation(catchup) ||
        head->generation <= KcCatchup_Wanted(catchup)) {
        return;
    }
    free(catchup->target);
    catchup->target = KcMem_New(sizeof(*head));
    *catchup->target = *head;
    free_unused_parts(catchup);
    fetch_missing(catchup, false);
    finish_fetch_if_complete(catchup);
}

int
KcCatchup_OnPart(KcCatchup *catchup, const char *hash, const void *data,
                 size_t size)
{
    char actual_hash[KC_HASH_TEXT];
    Part *part = find_part(catchup, hash);

    KcHead_Hash(data, size, actual_hash);
    if (strcmp(actual_hash, hash) != 0) {
        return KC_ERR_INVALID;
    }
    if (part == NULL) {
        return KC_ERR_NOT_FOUND;
    }
    if (part->data == NULL) {
        part->data = KcMem_New(size + 1);
        memcpy(part->data, data, size);
        part->size = size;
        finish_fetch_if_complete(catchup);
    }
    return 0;
}

void
KcCatchup_Retry(KcCatchup *catchup)
{
    if (catchup->target != NULL) {
        fetch_missing(catchup, true);
    }
}

uint64_t
KcCatchup_Generation(const KcCatchup *catchup)
{
    return catchup->current != NULL ? catchup->current->generation : 0;
}

uint64_t
KcCatchup_Wanted(const KcCatchup *catchup)
{
    return catchup->target != NULL ? catchup->target->generation : 0;
}

const KcHead *
KcCatchup_Head(const KcCatchup *catchup)
{
    return catchup->current;
}

const char *
KcCatchup_Part(const KcCatchup *catchup, const char *hash, size_t *size)
{
    Part *part = find_part(catchup, hash);

    if (part == NULL || part->data == NULL) {
        return NULL;
    }
    *size = part->size;
    return part->data;
}
