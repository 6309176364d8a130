/*
 * Writes a process's record about itself to the object API at its start:
 * creates it, or overwrites the one of an earlier process of the same name,
 * and retries until it is written. If asked to, reads that one first.
 */
#ifndef KCC_OWN_RECORD_H
#define KCC_OWN_RECORD_H

#include <kcc.h>

typedef struct KcOwnRecordOptions {
    const KcObjectOps *object_ops;
    void *object_context; /* first argument of object_ops */
    KcTimers *timers;
    const char *collection; /* static text */
    const char *name;       /* of this process; must outlive the record */
    /* If not NULL, it is called once, before the first write, with the value
     * that an earlier process has left; empty: none, or it can't be read. */
    void (*on_found)(void *context, KcBytes value);
    /* The record is written, with this revision; may be NULL. */
    void (*on_written)(void *context, KcRevision revision);
    void *context;
} KcOwnRecordOptions;

typedef struct KcOwnRecord {
    KcOwnRecordOptions options;
    char *value; /* JSON text that is written */
    bool is_calling;
    bool is_changed;    /* the value, since the call outstanding began */
    bool may_be_lost;   /* the record, since then */
    KcTime retry_delay; /* doubles with each failure */
    KcTimer retry_timer;
} KcOwnRecord;

/* Starts the first write; options and value are copied. */
void KcOwnRecord_Write(KcOwnRecord *record, const KcOwnRecordOptions *options,
                       const char *value);
/* Replaces the value, which is copied, and writes the record again. */
void KcOwnRecord_Change(KcOwnRecord *record, const char *value);
/* Writes the record again: the store may have lost it, or have an earlier one.
 */
void KcOwnRecord_Renew(KcOwnRecord *record);

/*
 * Stops retrying. A call may still be outstanding, with the record as its
 * context: close the object API next, before the record's memory is reused.
 */
void KcOwnRecord_Clear(KcOwnRecord *record);

#endif
