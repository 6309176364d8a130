/*
 * Reads, validates and writes the document in the object API.
 */
#ifndef KCC_STORED_DOCUMENT_H
#define KCC_STORED_DOCUMENT_H

#include <kcc.h>

/* The head of the document with the texts of its sections. */
typedef struct KcStoredDocument {
    uint64_t head_version; /* object version of the head, 0 when absent */
    KcHead head;
    char *text[KC_SECTION_COUNT]; /* each ends with a NUL */
    size_t size[KC_SECTION_COUNT];
} KcStoredDocument;

/*
 * Reads the head and every part.  Without a head, all sections are empty.
 * Returns 0 or a negative error number with err filled.  The caller clears
 * the document in both cases.
 */
int KcStoredDocument_Read(const char *object_api_address,
                          KcStoredDocument *stored, KcError *err);

/* Frees the texts of the sections. */
void KcStoredDocument_Clear(KcStoredDocument *stored);

/*
 * Replaces the text of one section by a copy of text, and records in the head
 * its parts, its author and that it changes in the next generation.
 */
void KcStoredDocument_SetSection(KcStoredDocument *stored, KcSection section,
                                 const char *text, size_t size,
                                 const char *author);

/*
 * Validates all sections together.  Returns 0, or KC_ERR_INVALID with the
 * reasons added to problems.
 */
int KcStoredDocument_Validate(const KcStoredDocument *stored,
                              KcProblemList *problems);

/*
 * Stores the parts of the changed sections, then the head with the next
 * generation, on condition that the head is still the one that was read.
 * Returns 0, or a negative error number with err filled: KC_ERR_CONFLICT when
 * the head has changed, KC_ERR_OBJECT_API_UNAVAILABLE when it did not
 * answer, in which case the head may have been written.
 */
int KcStoredDocument_Write(const char *object_api_address,
                           KcStoredDocument *stored, KcError *err);

#endif
