/*
 * Checks that what KcGateway_Explain() and KcQuotas_Foresee() say is what
 * happens then, and that saying so changes nothing.
 */
#ifndef KCC_TEST_FORESIGHT_H
#define KCC_TEST_FORESIGHT_H

#include <kcc.h>

/* What was foreseen of a call. */
typedef struct Foresight {
    KcExplanation explanation;
    uint32_t loading_count; /* replicas of its adapter that are being loaded,
                             * before it is submitted */
} Foresight;

/* Foresees a call, and fails if any state of the gateway has changed. */
void Foresight_Begin(Foresight *foresight, KcGateway *gateway,
                     const KcForwardCall *call, KcTime now);

/* True when the server is one that was foreseen to be asked for something. */
bool Foresight_Asks(const Foresight *foresight, const char *server_id);

/* Compares with what became of the call, which was submitted at the same time;
 * forward is NULL if it was refused, refusal NULL if that is not known. */
void Foresight_Check(const Foresight *foresight, const KcForward *forward,
                     const KcForwardRefusal *refusal, KcTime now);

/* As KcQuotas_Take(), after that was foreseen; fails if it does not come true
 * or has changed anything. */
int Foresight_TakeQuota(KcQuotas *quotas, const KcRoutedCustomer *customer,
                        uint64_t cost, KcTime *retry_after, KcTime now);

void Foresight_Clear(Foresight *foresight);

#endif
