/*
 * A process's record of itself.
 */
#include "own_record.h"

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "loop.h"
#include "platform.h"

static void put(KcOwnRecord *record, uint64_t expected);

static void
on_put(void *context, const KcObjectReply *reply)
{
    KcOwnRecord *record = context;
    KcLogFields fields = {.step = record->options.collection,
                          .code = reply->code};

    if (reply->code == 0 && reply->version > 0) {
        if (record->options.written != NULL) {
            record->options.written(record->options.context, reply->version);
        }
        return;
    }
    if (reply->code == KC_ERR_CONFLICT) {
        put(record, KC_OBJECT_ANY); /* an earlier process left one */
        return;
    }
    KcLog_Write(KC_LOG_WARN, &fields, "own record is not written yet");
    KcTimers_Set(record->options.timers, &record->timer,
                 KcLoop_Now() + record->delay);
    record->delay *= 2;
    if (record->delay > KC_STORE_RETRY_MAX) {
        record->delay = KC_STORE_RETRY_MAX;
    }
}

static void
put(KcOwnRecord *record, uint64_t expected)
{
    const KcOwnRecordOptions *options = &record->options;
    char name[KC_OBJECT_NAME_MAX];

    snprintf(name, sizeof(name), "%s/%s", options->collection, options->name);
    options->ops->put(options->objects, name,
                      (KcBytes){record->value, strlen(record->value)},
                      expected, on_put, record);
}

static void
on_timer(KcTimer *timer, KcTime now)
{
    (void)now;
    put(timer->owner, KC_OBJECT_ABSENT);
}

void
KcOwnRecord_Write(KcOwnRecord *record, const KcOwnRecordOptions *options,
                  const char *value)
{
    record->options = *options;
    record->delay = KC_STORE_RETRY;
    KcText_Copy(record->value, value, sizeof(record->value));
    KcTimer_Init(&record->timer, on_timer, record);
    put(record, KC_OBJECT_ABSENT);
}

void
KcOwnRecord_Clear(KcOwnRecord *record)
{
    KcTimers_Clear(record->options.timers, &record->timer);
}
