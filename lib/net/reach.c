/*
 * Clients of one service tell each other that it answers, so that none waits
 * out a backoff or a dead connection after another has got through.
 */
#include "net/fns.h"

/* Makes r empty. */
void reach_init(reach_t *r)
{
	list_init(&r->members);
}

/* m is told of the answers that others get, until it leaves. */
void reach_join(reach_t *r, reach_member_t *m)
{
	list_add_tail(&r->members, &m->link);
}

/* Takes m out. */
void reach_leave(reach_member_t *m)
{
	list_del(&m->link);
}

/* The service has answered a call of m's that was sent at that time. */
void reach_answered(const reach_t *r, const reach_member_t *m, ms_t sent,
		    ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &r->members)
	{
		reach_member_t *o = list_entry(pos, reach_member_t, link);

		if (o != m)
			o->answered(o->ctx, sent, now);
	}
}
