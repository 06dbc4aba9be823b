/* What servers say of themselves in the heads of their answers. */
#include "edge/priv.h"

/* A server's answer has come with its word, or without one. */
void edge_server_word(edge_t *e, backend_t *b, const server_word_t *w, ms_t now)
{
	if (w->bad) {
		counter_get(e->counters, "edge_server_words_bad_total", NULL)
			->value++;
		log_line(LOG_WARN, "server_word_bad", "server=%s", b->id);
		return;
	}
	if (w->limited == b->limited && (!w->limited || w->limit == b->limit))
		return;
	b->limited = w->limited;
	b->limit = w->limit;
	log_line(LOG_INFO, "server_limit",
		 "server=%s limited=%d per_s=%.3f running=%u", b->id,
		 b->limited, b->limit, b->running);
}
