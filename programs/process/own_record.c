/*
 * Writes a process's record about itself to the object API.
 */
#include "own_record.h"

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "loop.h"
#include "platform.h"

static void put_record(KcOwnRecord *record, uint64_t expected_version);

static void
on_put_result(void *context, const KcObjectReply *reply)
{
    KcOwnRecord *record = context;
    KcLogFields fields = {.step = record->options.collection,
                          .code = reply->code};

    if (reply->code == 0 && reply->version > 0) {
        if (record->options.on_written != NULL) {
            record->options.on_written(record->options.context,
                                       reply->version);
        }
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        /* Replaces the record that an earlier process has left. */
        put_record(record, KC_OBJECT_ANY);
        return;
    }
    KcLog_Write(KC_LOG_WARN, &fields, "own record is not written yet");
    KcTimers_Set(record->options.timers, &record->retry_timer,
                 KcLoop_Now() + record->retry_delay);
    record->retry_delay *= 2;
    if (record->retry_delay > KC_STORE_RETRY_DELAY_MAX) {
        record->retry_delay = KC_STORE_RETRY_DELAY_MAX;
    }
}

static void
put_record(KcOwnRecord *record, uint64_t expected_version)
{
    const KcOwnRecordOptions *options = &record->options;
    char name[KC_OBJECT_NAME_MAX];

    snprintf(name, sizeof(name), "%s/%s", options->collection, options->name);
    options->object_ops->put(options->object_context, name,
                             (KcBytes){record->value, strlen(record->value)},
                             expected_version, on_put_result, record);
}

static void
on_retry_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    put_record(timer->owner, KC_OBJECT_ABSENT);
}

void
KcOwnRecord_Write(KcOwnRecord *record, const KcOwnRecordOptions *options,
                  const char *value)
{
    record->options = *options;
    record->retry_delay = KC_STORE_RETRY_DELAY;
    KcText_Copy(record->value, value, sizeof(record->value));
    KcTimer_Init(&record->retry_timer, on_retry_timer, record);
    put_record(record, KC_OBJECT_ABSENT);
}

void
KcOwnRecord_Clear(KcOwnRecord *record)
{
    KcTimers_Clear(record->options.timers, &record->retry_timer);
}
