/*
 * Reads of servers' records: when the instance that is registered now has
 * started.
 */
#include <stdio.h>
#include <stdlib.h>

#include "gateway_role_internal.h"

/* A call to the store, which can't be cancelled. */
typedef struct StartRead {
    TAILQ_ENTRY(StartRead) link; /* GatewayRole.start_reads */
    GatewayRole *role;
    KcStartCallback done; /* NULL: cancelled */
    void *done_context;
} StartRead;

static void
on_record(void *context, const KcObjectReply *reply)
{
    StartRead *read = context;
    GatewayRole *role = read->role;
    KcStartCallback done = read->done;
    void *done_context = read->done_context;

    TAILQ_REMOVE(&role->start_reads, read, link);
    free(read);
    if (done != NULL) {
        done(done_context,
             reply->code == 0
                 ? role->platform->dialect->parse_start_time(reply->value)
                 : 0);
    }
}

static void *
begin_read(void *reader, const KcServer *server, KcStartCallback done,
           void *done_context)
{
    GatewayRole *role = reader;
    StartRead *read = KcMem_New(sizeof(*read));
    char name[KC_OBJECT_NAME_MAX];

    read->role = role;
    read->done = done;
    read->done_context = done_context;
    TAILQ_INSERT_TAIL(&role->start_reads, read, link);
    snprintf(name, sizeof(name), "%s/%s",
             role->platform->collection_names[KC_COLLECTION_SERVERS],
             server->id);
    role->platform->object_ops->get(role->store, name, on_record, read);
    return read;
}

static void
cancel_read(void *reader, void *read)
{
    (void)reader;
    ((StartRead *)read)->done = NULL;
}

const KcStartReaderOps KcGatewayRole_StartReaderOps = {begin_read,
                                                       cancel_read};

void
KcGatewayRole_FreeStartReads(GatewayRole *role)
{
    StartRead *read;

    while ((read = TAILQ_FIRST(&role->start_reads)) != NULL) {
        TAILQ_REMOVE(&role->start_reads, read, link);
        free(read);
    }
}
