/*
 * HTTP client of an agent for its backend server, a model engine or a plain
 * service. Implements KcBackendOps.
 *
 * A model engine must offer, besides the completion paths with server-sent
 * events:
 *
 *   POST /v1/load_lora_adapter    {"lora_name", "lora_path", "fence"}
 *   POST /v1/unload_lora_adapter  {"lora_name", "fence"}
 *   GET  /v1/adapters             {"epoch", "adapters": [{"name", "active"}]}
 *
 * Status 409 to a load or unload means that the engine has seen a higher
 * fencing number. Status 404 to a completion means that the adapter is not
 * loaded.
 */
#ifndef KCC_BACKEND_CALL_H
#define KCC_BACKEND_CALL_H

#include "../process/loop.h"
#include "../process/settings.h"

typedef struct KcBackendHttp KcBackendHttp;

KcBackendHttp *KcBackendHttp_Create(KcLoop *loop, const KcSettings *settings);
void KcBackendHttp_Free(KcBackendHttp *client);

/*
 * Sets the agent that gets the results of calls; must be called before the
 * agent is started.
 */
void KcBackendHttp_SetAgent(KcBackendHttp *client, KcAgent *agent);

/* KcBackendOps over HTTP; the backend passed to them is a KcBackendHttp. */
extern const KcBackendOps KcBackend_Http;

#endif
