/*
 * The agent's calls to its backend server over HTTP: a model engine or a
 * plain service.
 *
 * A model engine is expected to offer, besides the paths for completions
 * with server-sent events:
 *
 *   POST /v1/load_lora_adapter    {"lora_name", "lora_path", "fence"}
 *   POST /v1/unload_lora_adapter  {"lora_name", "fence"}
 *   GET  /v1/adapters             {"epoch", "adapters": [{"name", "active"}]}
 *
 * An order answered 409 was refused for its fencing number.  A completion
 * answered 404 names an adapter that is not loaded.
 */
#ifndef KCC_BACKEND_CALL_H
#define KCC_BACKEND_CALL_H

#include "../process/loop.h"
#include "../process/settings.h"

typedef struct KcBackendHttp KcBackendHttp;

KcBackendHttp *KcBackendHttp_Create(KcLoop *loop, const KcSettings *settings);
void KcBackendHttp_Free(KcBackendHttp *client);

/* Tells whose reports follow; must be set before the agent is started. */
void KcBackendHttp_SetAgent(KcBackendHttp *client, KcAgent *agent);

/* The seam's table for this implementation. */
extern const KcBackendOps KcBackend_Http;

#endif
