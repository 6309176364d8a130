/*
 * Fair shares of customers in a queue.
 */
#include <math.h>
#include <stdlib.h>

#include "kcc_queue.h"

/* Share of a request in the mean work. */
#define MEAN_WORK_WEIGHT 0.05
/* Turns are told apart by this much mean work: customers that are nearly level
 * are served by the time that their requests have left. */
#define TURN_STEP 4

static KcTurn *
find_turn(const KcTurns *turns, const char *customer)
{
    KcTurn *turn;

    HASH_FIND_STR(turns->by_customer, customer, turn);
    return turn;
}

static double
counted_work(const KcTurns *turns, uint64_t work)
{
    if (work > 0) {
        return (double)work;
    }
    return turns->mean_work > 0 ? turns->mean_work : 1;
}

static void
add_work(KcTurns *turns, uint64_t work)
{
    if (work > 0) {
        turns->mean_work += ((double)work - turns->mean_work) *
                            (turns->mean_work > 0 ? MEAN_WORK_WEIGHT : 1);
    }
}

/* When the customer's next request is served; NULL: it has no turn yet. */
static double
next_start(const KcTurns *turns, const KcTurn *turn)
{
    return turn != NULL && turn->end > turns->now ? turn->end : turns->now;
}

static double
round_turn(const KcTurns *turns, double start)
{
    double step = TURN_STEP * (turns->mean_work > 0 ? turns->mean_work : 1);

    return floor(start / step) * step;
}

double
KcTurns_Foresee(const KcTurns *turns, const char *customer, uint64_t work)
{
    KcTurns with_work = *turns;

    add_work(&with_work, work);
    return round_turn(&with_work,
                      next_start(turns, find_turn(turns, customer)));
}

double
KcTurns_Take(KcTurns *turns, const char *customer, uint64_t work)
{
    KcTurn *turn = find_turn(turns, customer);
    double start = next_start(turns, turn);

    add_work(turns, work);
    if (turn == NULL) {
        turn = KcMem_New(sizeof(*turn));
        KcText_Copy(turn->customer, customer, sizeof(turn->customer));
        HASH_ADD_STR(turns->by_customer, customer, turn);
    }
    turn->end = start + counted_work(turns, work);
    return round_turn(turns, start);
}

void
KcTurns_NoteServed(KcTurns *turns, double turn)
{
    if (turn > turns->now) {
        turns->now = turn;
    }
}

void
KcTurns_GiveBack(KcTurns *turns, const char *customer, uint64_t work)
{
    KcTurn *turn = find_turn(turns, customer);

    if (turn == NULL) {
        return;
    }
    turn->end -= counted_work(turns, work);
    if (turn->end < turns->now) {
        turn->end = turns->now;
    }
}

void
KcTurns_Clear(KcTurns *turns)
{
    KcTurn *turn;
    KcTurn *next;

    HASH_ITER(hh, turns->by_customer, turn, next)
    {
        HASH_DEL(turns->by_customer, turn);
        free(turn);
    }
    turns->now = 0;
}
