/* Answers that do not end: bytes in a head, a body or one event. */
#include <string.h>
#include "fns.h"

enum {
	BLOCK = 64 << 10, /* bytes of a write */
	BLOCKS = 32,	  /* of a step, at most */
};

/* Begins an answer that does not end, at random one or none. */
bool flood_begins(job_t *j)
{
	server_t *v = j->at;

	if (v->floods > 0 && g_rand_double(v->s->floods) < v->floods)
		j->flood = (flood_t)g_rand_int_range(v->s->floods, FLOOD_HEAD,
						     FLOODS);
	return j->flood != FLOOD_NONE;
}

/* Sends what comes before the bytes that are repeated. */
void flood_start(job_t *j, const char *fields)
{
	static const char *const rest[FLOODS] = {
		[FLOOD_HEAD] = "X-More: ",
		[FLOOD_BODY] = "\r\n",
		[FLOOD_EVENT] = "Transfer-Encoding: chunked\r\n\r\n"
				"fffffff\r\ndata: ",
	};
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s%s", fields,
				     rest[j->flood]);

	sconn_write(j->c, text, strlen(text));
	g_free(text);
}

/* Sends more, unless the last bytes still wait; calm ends the answer. */
void flood_step(job_t *j)
{
	static char block[BLOCK];

	if (j->at->floods <= 0) {
		sconn_close(j->c, true);
		return;
	}
	memset(block, 'x', sizeof(block));
	for (int i = 0; i < BLOCKS && writer_queued(&j->c->out) == 0; i++)
		sconn_write(j->c, block, sizeof(block));
}
