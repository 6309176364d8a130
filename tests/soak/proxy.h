/*
 * TCP proxies that forward, delay, reset or silently drop what passes them.
 */
#ifndef KCC_PROXY_H
#define KCC_PROXY_H

#include "../../programs/process/loop.h"

typedef struct Proxy Proxy;

typedef enum ProxyMode {
    PROXY_PASS = 0,           /* bytes are forwarded */
    PROXY_DELAY,              /* bytes are forwarded 150 ms later */
    PROXY_RESET,              /* every open and new connection is reset */
    PROXY_SILENT,             /* bytes are dropped; connections stay open */
    PROXY_SILENT_FROM_TARGET, /* bytes from the target are dropped */
    PROXY_MODE_COUNT
} ProxyMode;

/* Static name of a mode, for messages. */
const char *ProxyMode_GetName(ProxyMode mode);

/* Listens at one "host:port" and forwards to another.  The caller frees the
 * proxy with Proxy_Free(), before the loop.  NULL when it cannot listen. */
Proxy *Proxy_Create(KcLoop *loop, const char *listen,
                    const char *target_address);
/* Sets the mode, also for the connections that are open. */
void Proxy_SetMode(Proxy *proxy, ProxyMode mode);
/* Closes the connections and frees the proxy. */
void Proxy_Free(Proxy *proxy);

#endif
