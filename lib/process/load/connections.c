/*
 * How many connections a gateway keeps to a server that all gateways share.
 */
#include "kcc_load.h"

/* Part of the connections that gateways use: a server may take fewer while its
 * queue is long, and our own checks need some. */
#define CONNECTIONS_USED_PERCENT 80

uint32_t
KcConnections_Part(uint32_t connections_max, uint32_t gateway_count)
{
    uint64_t part;

    if (connections_max == 0) {
        return UINT32_MAX;
    }
    part = (uint64_t)connections_max * CONNECTIONS_USED_PERCENT / 100 /
           (gateway_count > 0 ? gateway_count : 1);
    return part > 0 ? (uint32_t)part : 1;
}

uint32_t
KcConnections_IdleMax(uint32_t part, uint32_t in_flight)
{
    return part > in_flight ? part - in_flight : 0;
}
