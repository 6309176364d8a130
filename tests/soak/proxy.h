/*
 * Loopback proxies that delay, reset, cut one way and silence connections.
 */
#ifndef KCC_PROXY_H
#define KCC_PROXY_H

#include "../../programs/process/loop.h"

typedef struct Proxy Proxy;

typedef enum ProxyMode {
    PROXY_PASS = 0,
    PROXY_DELAY,       /* bytes are passed on later */
    PROXY_RESET,       /* every connection is reset, new ones too */
    PROXY_SILENT,      /* nothing passes; connections stay open */
    PROXY_SILENT_BACK, /* nothing passes from the target */
    PROXY_MODE_COUNT
} ProxyMode;

const char *ProxyMode_Name(ProxyMode mode);

/* Listens at one address and connects to the other; NULL when it cannot. */
Proxy *Proxy_Create(KcLoop *loop, const char *listen, const char *target);
void Proxy_SetMode(Proxy *proxy, ProxyMode mode);
void Proxy_Free(Proxy *proxy);

#endif
