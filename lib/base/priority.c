/*
 * The order in which waiting requests get a slot, the same in hosts and
 * keepers. It decides who is served under overload. For each customer priority,
 * requests of the two highest route priorities come first, those in time before
 * those past their target; then requests of the two lower route priorities that
 * are in time. Late requests of the lower route priorities come last of all.
 */
#include "base/fns.h"

enum {
	IN_TIME = 0,
	LATE = 1,
};

const grant_class_t grant_order[GRANT_CLASSES] = {
	{ 0, IN_TIME }, { 1, IN_TIME }, { 0, LATE },	{ 1, LATE },
	{ 2, IN_TIME }, { 3, IN_TIME }, { 4, IN_TIME }, { 5, IN_TIME },
	{ 4, LATE },	{ 5, LATE },	{ 6, IN_TIME }, { 7, IN_TIME },
	{ 2, LATE },	{ 3, LATE },	{ 6, LATE },	{ 7, LATE },
};
