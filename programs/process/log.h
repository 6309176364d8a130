/*
 * Structured log on standard output: one line of key=value pairs per message,
 * through log4c.
 */
#ifndef KCC_LOG_H
#define KCC_LOG_H

#include <kcc.h>

typedef enum KcLogLevel {
    KC_LOG_ERROR = 0,
    KC_LOG_WARN,
    KC_LOG_INFO,
    KC_LOG_DEBUG
} KcLogLevel;

/* Returns the KcLogLevel with this name, or KC_ERR_NOT_FOUND. */
int KcLog_FindLevel(const char *name);

/*
 * Opens the log on standard output, which becomes non-blocking. process_name
 * is copied and added to each line. Lines that cannot be written without
 * blocking or that exceed the limit of lines per second are dropped and
 * counted. Returns 0 or KC_ERR_INVALID.
 */
int KcLog_Open(const char *process_name, KcLogLevel level);
void KcLog_Close(void);

/* Writes the buffered lines; called after each iteration of the loop. */
void KcLog_Flush(void);

/* Returns the number of lines dropped since the process started. */
uint64_t KcLog_DroppedCount(void);

/* Fields of a log line besides its text; unset fields are left out. */
typedef struct KcLogFields {
    const KcRequestId *request_id;
    const char *caller_request_id; /* request id given by the caller */
    uint64_t generation; /* of the document or routing configuration */
    const char *peer;    /* name of the process or record concerned */
    const char *step;    /* operation that the line is about */
    int code;            /* negative error number */
} KcLogFields;

/*
 * Writes one line. fields may be NULL; format and its arguments are those of
 * printf(). Before KcLog_Open() nothing is written.
 */
void KcLog_Write(KcLogLevel level, const KcLogFields *fields,
                 const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Logs that the record of this name is not usable, and why. */
void KcLog_RecordInvalid(const char *record, const KcError *error);

/* Logs a step of a part of the prompts for a service, with the evidence. A
 * suspicion that another process has logged is of the level debug. */
void KcLog_Suspect(const char *service, KcSuspectStep step,
                   const KcSuspect *suspect, bool is_own);

/* Logs that a message of a newer peer was skipped; see KcTcpOps.on_skipped. */
void KcLog_SkippedMessage(void *context, KcLink *link, int type);

/* Logs that the store is unavailable (code < 0) or available again (0). */
void KcLog_StoreStatus(int code);

/* Writes that the store was restored from a copy, in a later era. */
void KcLog_StoreRestored(uint64_t era, uint64_t previous_era);

#endif
