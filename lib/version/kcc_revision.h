/*
 * Revisions of a store.  One counter numbers the changes of all collections.
 * A store that was restored from a copy begins a later era and gives numbers
 * out again, so a number has a meaning within its era only.
 */
#ifndef KCC_REVISION_H
#define KCC_REVISION_H

#include <stdint.h>

typedef struct KcRevision {
    uint64_t era;    /* 0: the store names none */
    uint64_t number; /* 0: unknown; valid ones begin at 1 */
} KcRevision;

/*
 * Returns a negative number, 0 or a positive number when a was given out
 * before b, is the same, or was given out later.  Within one object that is
 * the order of its changes; a later era may repeat earlier ones, as it begins
 * with the content of a copy.
 */
int KcRevision_Compare(KcRevision a, KcRevision b);

/*
 * A number below 2^63 in the order of KcRevision_Compare(), as far as eras are
 * below 2^23 and revisions below 2^40; those beyond count as the last ones.
 */
uint64_t KcRevision_ToNumber(KcRevision revision);

#endif
