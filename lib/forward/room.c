/*
 * Bounds on the bytes that a host holds for callers and servers, as parts of
 * its memory. The rest is for connections, copies on their way and the program.
 *
 * Load it answers: many callers that read slowly, or not at all. Reading from a
 * server stops while much is queued for its caller; when the sum over all
 * callers is too large, the one with the most queued is cut off, so that those
 * that read are not.
 */
#include "forward/priv.h"

enum {
	MEMORY_MB = 160,   /* of a host whose settings give none */
	BODIES_PART = 5,   /* one in so many bytes for requests' bodies */
	QUEUED_PART = 5,   /* and for answers queued for callers */
	ANSWERS_PARTS = 2, /* of ANSWERS_PART for answers that are not whole */
	ANSWERS_PART = 5,
};

/* Returns the bounds for a host of so many bytes of memory; 0: not known. */
room_t room_of(size_t memory)
{
	size_t all = memory ? memory : (size_t)MEMORY_MB << 20;

	return (room_t){ .bodies = all / BODIES_PART,
			 .answers = all / ANSWERS_PART * ANSWERS_PARTS,
			 .queued = all / QUEUED_PART };
}

/* Ends a caller's answer visibly, and its request. */
static void cut_off(caller_t *c, size_t queued, size_t sum, ms_t now)
{
	forward_t *f = c->forward;

	counter_get(f->counters, "edge_slow_callers_cut_total", NULL)->value++;
	log_line(
		LOG_WARN, "slow_caller_cut", "id=%s queued=%zu sum=%zu max=%zu",
		c->x && c->x->id ? c->x->id : "-", queued, sum, f->room.queued);
	if (!c->x) {
		caller_close(c);
		return;
	}
	exchange_abort(c->x, "caller reads too slowly", now);
	caller_cut(c);
}

/*
 * Cuts off the caller with the most queued if all callers together have too
 * much. To be called each tick; takes time in proportion to the callers.
 */
void room_tick(forward_t *f, ms_t now)
{
	caller_t *slowest = NULL;
	size_t most = 0;
	size_t sum = 0;

	for (list_t *l = f->callers.next; l != &f->callers; l = l->next) {
		caller_t *c = list_entry(l, caller_t, link);
		size_t queued = c->broken ? 0 : writer_queued(&c->out);

		sum += queued;
		if (queued > most) {
			most = queued;
			slowest = c;
		}
	}
	f->queued_bytes->value = sum;
	if (slowest && sum > f->room.queued)
		cut_off(slowest, most, sum, now);
}
