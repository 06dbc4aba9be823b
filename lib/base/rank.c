/*
 * The order in which requests of different ranks get a place, in hosts and
 * keepers alike. It answers overload: what can still be in time goes first
 * among the two most urgent kinds of a customer's routes, then what of these
 * is late, then the less urgent in time; late requests of little urgency last.
 */
#include "base/fns.h"

enum {
	IN_TIME = 0,
	LATE = 1,
};

const turn_t rank_turns[RANK_TURNS] = {
	{ 0, IN_TIME }, { 1, IN_TIME }, { 0, LATE },	{ 1, LATE },
	{ 2, IN_TIME }, { 3, IN_TIME }, { 4, IN_TIME }, { 5, IN_TIME },
	{ 4, LATE },	{ 5, LATE },	{ 6, IN_TIME }, { 7, IN_TIME },
	{ 2, LATE },	{ 3, LATE },	{ 6, LATE },	{ 7, LATE },
};
