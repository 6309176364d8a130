/*
 * Functions that the source files of the routing configuration share.
 */
#ifndef KCC_ROUTING_INTERNAL_H
#define KCC_ROUTING_INTERNAL_H

#include "kcc_routing.h"

/* Frees the customers and their keys. */
void KcRouting_ClearCustomers(KcRouting *routing);

#endif
