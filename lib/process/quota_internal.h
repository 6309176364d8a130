/*
 * State of the quotas at one gateway, and the functions that its source files
 * share: quota.c (customers and requests) and quota_report.c (what gateways
 * tell one another) call quota_grant.c (what this gateway may spend).
 */
#ifndef KCC_QUOTA_INTERNAL_H
#define KCC_QUOTA_INTERNAL_H

#include "kcc_quota.h"

/* A customer without requests is reported for so long after the last one. */
#define KC_QUOTA_REPORT_TIMEOUT (10 * KC_SECOND)

/* One customer. */
typedef struct KcQuota {
    UT_hash_handle hh;         /* KcQuotas.table, by id */
    TAILQ_ENTRY(KcQuota) link; /* KcQuotas.list */
    uint64_t id;               /* see KcQuota_HashCustomer() */
    char name[KC_NAME_MAX];
    KcTime removed_at; /* from the configuration; KC_NEVER: it is there */
    KcQuotaUnit unit;
    double rate; /* units a second; 0: no limit */
    double burst;

    /* own use */
    int64_t used;      /* units taken and not given back */
    int64_t used_sent; /* the same in the last report */
    int64_t
        used_joined; /* in the report by which the gateway joined its hub */
    double asked;    /* units asked for since rated_at */
    double asked_rate;
    double asked_rate_sent;   /* in the last report, */
    double asked_rate_before; /* and in the one before it */
    KcTime rated_at;
    KcTime asked_at;
    double mean_cost;
    uint64_t asked_units;
    uint64_t admitted;
    uint64_t refused;

    /* as heard */
    int64_t others_used;
    double all_rate;
    bool is_heard; /* in the answer that is being read */
    bool is_told;  /* others_used is known since the hub was joined */

    /* the grant */
    double granted; /* level at granted_at */
    double spent;   /* since then, by this gateway */
    KcTime granted_at;
    double share; /* of this gateway */
    double room;  /* units that it may spend, as of settled_at */
    double room_granted;
    bool is_report_requested; /* since the grant */
    KcTime settled_at;
    bool is_pressed; /* then a request passes by chance when less than its
                      * cost is left */
    double draw;     /* 0 to 1, of that chance */

    bool is_limited;
    KcTime refused_at;
    double awaited; /* units of refused requests told to come back */
    KcTime awaited_at;
} KcQuota;

struct KcQuotas {
    KcQuotaOptions options;
    KcQuota *table;
    TAILQ_HEAD(, KcQuota) list;
    bool has_customers;     /* a configuration was set before */
    bool has_hub;           /* see KcQuotaGroup */
    uint32_t gateway_count; /* as listed; 0: not known */
    uint64_t random_state;

    bool is_hearing;
    uint64_t hub;
    uint64_t hub_incarnation;
    uint32_t joined;
    uint32_t group_size;
    uint32_t known_count; /* most gateways that were heard of, */
    KcTime known_at;      /* when that was last */
    bool is_count_heard;  /* a gateway of the group has listed them */
    KcTime heard_at;      /* when the report was sent that was answered */

    struct {
        uint64_t hub;
        KcTime until;
    } avoided[KC_QUOTA_HUBS_MAX]; /* hubs that left a report unanswered */
    uint32_t sequence;
    uint64_t asked_hub;
    KcTime sent_at; /* of a report that is unanswered; KC_NEVER: none is */
    KcBuffer rows;
};

/* ---- what this gateway may spend (quota_grant.c) -------------------------- */

/* A duration in seconds. */
double KcQuota_ToSeconds(KcTime time);
/* What the quota allows in a window. */
double KcQuota_WindowUnits(const KcQuotas *quotas, const KcQuota *quota);
/* What the promise allows beyond it. */
double KcQuota_ExcessUnits(const KcQuotas *quotas, const KcQuota *quota);
/* How many gateways there are, as far as listed or heard of. */
uint32_t KcQuotas_CountGateways(const KcQuotas *quotas);
/* The fraction of a quota that the gateways that hear each other may spend. */
double KcQuota_GroupFraction(const KcQuotas *quotas, const KcQuota *quota);
/* Units beyond the level that this group may spend. */
double KcQuota_AdvanceUnits(const KcQuotas *quotas, const KcQuota *quota,
                            double fraction);
/* What this group may save up. */
double KcQuota_LevelMax(const KcQuota *quota, double fraction);
/* The level by now, if it had no end; accrued_part: of what accrues. */
double KcQuota_EndlessLevelAt(const KcQuota *quota, double fraction,
                              double accrued_part, KcTime now);
/* The level by now.  The use since the grant is taken to be spread evenly, as
 * is what accrues. */
double KcQuota_LevelAt(const KcQuota *quota, double fraction, KcTime now);
/* Draws a number from 0 to 1. */
double KcQuotas_DrawNumber(KcQuotas *quotas);
/* Begins a new grant at that level. */
void KcQuota_Grant(KcQuotas *quotas, KcQuota *quota, double level, KcTime now);
/* Brings the room up to date. */
void KcQuota_Settle(const KcQuotas *quotas, KcQuota *quota, KcTime now);
/* What this gateway may spend at once; the quota is settled. */
double KcQuota_Room(const KcQuotas *quotas, const KcQuota *quota);
/* Units a second that this gateway may spend. */
double KcQuota_RateHere(const KcQuotas *quotas, const KcQuota *quota);
/* How long the others keep this gateway's share after a report. */
KcTime KcQuotas_LeaseTime(const KcQuotas *quotas);
/* Goes on with the part of one gateway once the lease has ended. */
void KcQuotas_CheckLease(KcQuotas *quotas, KcTime now);
/* Begins a new grant for each customer, as what it depends on changes. */
void KcQuotas_SettleAll(KcQuotas *quotas, KcTime now);

/* ---- customers (quota.c) --------------------------------------------------- */

/* Finds a customer by its id in messages; NULL when there is none. */
KcQuota *KcQuotas_Find(const KcQuotas *quotas, uint64_t id);
/* Remembers how many gateways were heard of, for longer than a list may lag:
 * one that hears nobody any more must not take itself for the only one. */
void KcQuotas_LearnCount(KcQuotas *quotas, uint32_t count, KcTime now);
/* Fills in the state of a settled quota. */
void KcQuota_Describe(const KcQuotas *quotas, const KcQuota *quota,
                      KcQuotaState *state, KcTime now);
/* Notes and records that a customer begins or ends to be limited. */
void KcQuota_SetLimited(KcQuotas *quotas, KcQuota *quota, bool is_limited,
                        KcTime now);

#endif
