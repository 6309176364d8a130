#include "kcc_revision.h"

int
KcRevision_Compare(KcRevision a, KcRevision b)
{
    if (a.era != b.era) {
        return a.era < b.era ? -1 : 1;
    }
    return a.number == b.number ? 0 : (a.number < b.number ? -1 : 1);
}
