/*
 * The rules of quotas: what a customer may run over all gateways, and what may
 * not be refused.
 */
#ifndef KCC_SOAK_QUOTAS_H
#define KCC_SOAK_QUOTAS_H

#include "soak.h"

/*
 * Reports, once a customer, if in a window of the promise more of it ran than
 * its quota allows, whatever was done to any process; and each call that was
 * refused by a quota that its customer doesn't have, or though the customer
 * stays well below it, unless the gateway had just been started.  The calls
 * are in the order in which they began, and the logs of the workers have been
 * read.
 */
void Quotas_CheckCalls(const Call *calls);

#endif
