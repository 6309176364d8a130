/*
 * The list of disturbances, in the order in which they began.
 */
#include "history.h"

#include <stdlib.h>

static TAILQ_HEAD(, Disturbance)
    disturbances = TAILQ_HEAD_INITIALIZER(disturbances);

Disturbance *
History_Begin(DisturbanceKind kind, GatewayClusterRole role, int number,
              KcTime now)
{
    Disturbance *disturbance = KcMem_New(sizeof(*disturbance));

    disturbance->kind = kind;
    disturbance->role = role;
    disturbance->number = number;
    disturbance->begins_at = now;
    disturbance->ends_at = KC_NEVER;
    TAILQ_INSERT_TAIL(&disturbances, disturbance, link);
    return disturbance;
}

const Disturbance *
History_Find(int kinds, GatewayClusterRole role, int number, KcTime from,
             KcTime until)
{
    const Disturbance *disturbance;

    TAILQ_FOREACH (disturbance, &disturbances, link) {
        if (((int)disturbance->kind & kinds) != 0 &&
            disturbance->role == role && disturbance->number == number &&
            disturbance->begins_at <= until && disturbance->ends_at >= from) {
            return disturbance;
        }
    }
    return NULL;
}

void
History_Clear(void)
{
    Disturbance *disturbance;

    while ((disturbance = TAILQ_FIRST(&disturbances)) != NULL) {
        TAILQ_REMOVE(&disturbances, disturbance, link);
        free(disturbance);
    }
}
