/*
 * Structured logs through log4c.
 *
 * log4c keeps its categories in a global table of its own; this file is the
 * only one that touches it.
 */
#include "log.h"

#include <inttypes.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_SIZE 1024

static const struct {
    const char *name;
    int priority;
} levels[] = {
    [KC_LOG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [KC_LOG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [KC_LOG_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [KC_LOG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

#define LEVEL_COUNT ((int)(sizeof(levels) / sizeof(levels[0])))

static log4c_category_t *category;
static char process[KC_NAME_MAX];

int
KcLog_Level(const char *name)
{
    for (int i = 0; i < LEVEL_COUNT; i++) {
        if (strcmp(levels[i].name, name) == 0) {
            return i;
        }
    }
    return KC_ERR_NOT_FOUND;
}

/* log4c hands on the message; the line is complete but for its end. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[LINE_SIZE + 2];

    (void)layout;
    snprintf(line, sizeof(line), "%s\n", event->evt_msg);
    return line;
}

static const log4c_layout_type_t layout_type = {"kcc", format_line};

int
KcLog_Open(const char *process_name, KcLogLevel level)
{
    log4c_appender_t *appender;
    log4c_layout_t *layout;

    KcName_Copy(process, process_name, sizeof(process));
    if (log4c_init() != 0) {
        return KC_ERR_INVALID;
    }
    log4c_layout_type_set(&layout_type);
    layout = log4c_layout_get("kcc");
    log4c_layout_set_type(layout, &layout_type);
    appender = log4c_appender_get("stderr");
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get("kcc");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, levels[level].priority);
    return 0;
}

void
KcLog_Close(void)
{
    category = NULL;
    log4c_fini();
}

/* Appends formatted text; stays within the line. */
static size_t
append(char *line, size_t used, const char *format, ...)
{
    va_list args;
    int length;

    va_start(args, format);
    length = vsnprintf(line + used, LINE_SIZE - used, format, args);
    va_end(args);
    used += length > 0 ? (size_t)length : 0;
    return used < LINE_SIZE ? used : LINE_SIZE - 1;
}

static size_t
append_time(char *line, size_t used)
{
    struct timespec now;
    struct tm utc;
    char text[32];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
    return append(line, used, "time=%s.%03ldZ", text, now.tv_nsec / 1000000);
}

static size_t
append_fields(char *line, size_t used, const KcLogFields *fields)
{
    char id[KC_REQUEST_ID_TEXT];

    if (fields->request != NULL) {
        KcRequestId_Format(fields->request, id);
        used = append(line, used, " request=%s", id);
    }
    if (fields->generation != 0) {
        used = append(line, used, " generation=%" PRIu64, fields->generation);
    }
    if (fields->peer != NULL && fields->peer[0] != '\0') {
        used = append(line, used, " peer=%s", fields->peer);
    }
    if (fields->step != NULL && fields->step[0] != '\0') {
        used = append(line, used, " step=\"%s\"", fields->step);
    }
    if (fields->code != 0) {
        used = append(line, used, " error=%s code=%d",
                      KcError_Name(fields->code), fields->code);
    }
    return used;
}

void
KcLog_Write(KcLogLevel level, const KcLogFields *fields, const char *format,
            ...)
{
    char line[LINE_SIZE];
    char text[512];
    size_t used = 0;
    va_list args;

    if (category == NULL || !log4c_category_is_priority_enabled(
                                category, levels[level].priority)) {
        return;
    }
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *at = text; *at != '\0'; at++) {
        if (*at == '"' || *at == '\n') {
            *at = '\'';
        }
    }
    used = append_time(line, used);
    used = append(line, used, " level=%s process=%s", levels[level].name,
                  process);
    if (fields != NULL) {
        used = append_fields(line, used, fields);
    }
    append(line, used, " msg=\"%s\"", text);
    log4c_category_log(category, levels[level].priority, "%s", line);
}
