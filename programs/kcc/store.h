/*
 * The document as stored in the object API, for the command line.
 */
#ifndef KCC_STORE_H
#define KCC_STORE_H

#include <kcc.h>

/* A version of the document with the texts of its sections. */
typedef struct KcStored {
    uint64_t version; /* object version of the head, 0 when there is none */
    KcHead head;
    char *text[KC_SECTION_COUNT]; /* each ends with a NUL */
    size_t size[KC_SECTION_COUNT];
} KcStored;

/*
 * Reads the head and every part.  An absent head gives empty sections.
 * Returns 0 or a negative error number with err filled.
 */
int KcStore_Read(const char *objects, KcStored *stored, KcError *err);
void KcStored_Clear(KcStored *stored);

/* Replaces the text of one section. */
void KcStored_Set(KcStored *stored, KcSection section, const char *text,
                  size_t size, const char *author);

/* Parses the combination.  Returns 0 or KC_ERR_INVALID. */
int KcStored_Check(const KcStored *stored, KcProblemList *problems);

/*
 * Stores the parts of the changed sections, then the head with the next
 * generation, on condition that the head is still the one that was read.
 * Returns 0, KC_ERR_CONFLICT, or KC_ERR_OBJECT_API_UNAVAILABLE.
 */
int KcStore_Write(const char *objects, KcStored *stored, KcError *err);

#endif
