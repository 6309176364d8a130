/*
 * Log lines about answers that were cut off.
 */
#include "intake_log.h"

#include <inttypes.h>

#include "../process/log.h"

void
KcIntakeLog_Write(const KcIntake *intake, const char *peer, int code)
{
    KcLogFields fields = {
        .step = intake->cut_step, .peer = peer, .code = code};

    KcLog_Write(KC_LOG_WARN, &fields,
                "answer cut off, received=%" PRIu64 " limit=%" PRIu64
                " unit=%s",
                intake->cut_value, intake->cut_limit, intake->cut_unit);
}

void
KcIntakeLog_WriteBytes(const char *step, size_t bytes, size_t limit,
                       const char *peer)
{
    KcIntake intake = {.cut_step = step,
                       .cut_unit = "bytes",
                       .cut_value = bytes,
                       .cut_limit = limit};

    KcIntakeLog_Write(&intake, peer, KC_ERR_TOO_LARGE);
}
