/*
 * The record that a process keeps of itself in the object API: created at its
 * start, or put in the place of the one that an earlier process of the same
 * name has left, and tried again until it is there.
 */
#ifndef KCC_OWN_RECORD_H
#define KCC_OWN_RECORD_H

#include <kcc.h>

typedef struct KcOwnRecordOptions {
    const KcObjectOps *ops;
    void *objects;
    KcTimers *timers;
    const char *collection; /* static text */
    const char *name;       /* of this process; outlives the record */
    /* The record is there, with this revision; may be NULL. */
    void (*written)(void *context, uint64_t revision);
    void *context;
} KcOwnRecordOptions;

typedef struct KcOwnRecord {
    KcOwnRecordOptions options;
    char value[KC_NAME_MAX * 2];
    KcTime delay;
    KcTimer timer;
} KcOwnRecord;

/* Begins to write; the value is copied. */
void KcOwnRecord_Write(KcOwnRecord *record, const KcOwnRecordOptions *options,
                       const char *value);

/* Stops trying.  The object API must be closed afterwards, as a call may be
 * outstanding. */
void KcOwnRecord_Clear(KcOwnRecord *record);

#endif
