/*
 * What the files of the fake engine share.
 */
#ifndef WORLD_ENGINE_INTERNAL_H
#define WORLD_ENGINE_INTERNAL_H

#include "world_internal.h"

/* Way between an agent and its backend server. */
#define ENGINE_LATENCY (200)

/* engine_orders.c; NULL when the engine has no such adapter. */
WorldAdapter *WorldEngine_FindAdapter(WorldEngine *engine, const char *name);
void WorldEngine_RemoveAdapter(WorldEngine *engine, WorldAdapter *adapter);

/* The orders of KcBackendOps. */
void WorldEngine_Load(void *backend, KcSlot *slot);
void WorldEngine_Evict(void *backend, KcSlot *slot, uint64_t fence);
void WorldEngine_EvictUntracked(void *backend, const char *name,
                                uint64_t fence);
void WorldEngine_AnnounceFence(void *backend, uint64_t fence);
void WorldEngine_Inspect(void *backend);

/* engine_calls.c: ends a call without telling its agent. */
void WorldEngine_FreeCall(WorldEngineCall *call);

/* The calls of KcBackendOps. */
void WorldEngine_Start(void *backend, KcWork *work);
void WorldEngine_Cancel(void *backend, KcWork *work);
void WorldEngine_SetPaused(void *backend, KcWork *work, bool paused);

#endif
