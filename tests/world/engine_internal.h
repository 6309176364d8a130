/*
 * Declarations shared by the files of the fake engine.
 */
#ifndef WORLD_ENGINE_INTERNAL_H
#define WORLD_ENGINE_INTERNAL_H

#include "world_internal.h"

/* One-way latency between an agent and its backend server. */
#define ENGINE_LATENCY (200)

/* In engine_orders.c. */

/* NULL when the engine has no such adapter. */
WorldAdapter *WorldEngine_FindAdapter(WorldEngine *engine, const char *name);

/* Frees an adapter and detaches its calls. */
void WorldEngine_RemoveAdapter(WorldEngine *engine, WorldAdapter *adapter);

/* Functions of KcBackendOps that deal with adapters. */
void WorldEngine_Load(void *backend, KcSlot *slot);
void WorldEngine_Evict(void *backend, KcSlot *slot, uint64_t fence);
void WorldEngine_EvictUntracked(void *backend, const char *name,
                                uint64_t fence);
void WorldEngine_AnnounceFence(void *backend, uint64_t fence);
void WorldEngine_Inspect(void *backend);

/* In engine_calls.c. */

/* Ends and frees a call without notifying its agent. */
void WorldEngine_FreeCall(WorldEngineCall *call);

/* Functions of KcBackendOps that deal with calls. */
void WorldEngine_Start(void *backend, KcWork *work);
void WorldEngine_Cancel(void *backend, KcWork *work);
void WorldEngine_SetPaused(void *backend, KcWork *work, bool paused);

#endif
