/*
 * Long computations in a thread of libuv's pool, one at a time and in order, so
 * that the event loop goes on meanwhile.
 */
#include "net/fns.h"

typedef struct job {
	list_t link; /* in worker_t.waiting, or alone */
	void *input;
	void *output;
} job_t;

struct worker {
	uv_loop_t *loop;
	const worker_ops_t *ops;
	void *ctx;
	uv_work_t req;
	list_t waiting; /* of job_t, the oldest first */
	job_t *running; /* NULL: none */
	bool closed;	/* results are dropped */
};

/* Makes a worker without jobs. The loop must run until a job has ended. */
worker_t *worker_new(uv_loop_t *loop, const worker_ops_t *ops, void *ctx)
{
	worker_t *w = g_new0(worker_t, 1);

	w->loop = loop;
	w->ops = ops;
	w->ctx = ctx;
	w->req.data = w;
	list_init(&w->waiting);
	return w;
}

static void job_free(worker_t *w, job_t *j)
{
	w->ops->input_free(j->input);
	g_free(j);
}

static void on_run(uv_work_t *req)
{
	worker_t *w = req->data;

	w->running->output = w->ops->run(w->running->input);
}

static void start_next(worker_t *w);

static void on_done(uv_work_t *req, int status)
{
	worker_t *w = req->data;
	job_t *j = w->running;

	(void)status;
	if (w->closed)
		w->ops->output_free(j->output);
	else
		w->ops->done(w->ctx, j->input, j->output);
	w->running = NULL;
	job_free(w, j);
	if (w->closed)
		g_free(w);
	else
		start_next(w);
}

static void start_next(worker_t *w)
{
	job_t *j;

	if (w->running || list_empty(&w->waiting))
		return;
	j = list_entry(w->waiting.next, job_t, link);
	list_del(&j->link);
	w->running = j;
	uv_queue_work(w->loop, &w->req, on_run, on_done);
}

/* Adds a job and takes over its input. */
void worker_put(worker_t *w, void *input)
{
	job_t *j = g_new0(job_t, 1);

	j->input = input;
	list_add_tail(&w->waiting, &j->link);
	start_next(w);
}

/* Whether a job runs or waits. */
bool worker_busy(const worker_t *w)
{
	return w->running || !list_empty(&w->waiting);
}

/*
 * Drops the jobs. One that runs ends later, its result is dropped too and the
 * worker freed then.
 */
void worker_close(worker_t *w)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &w->waiting)
	{
		job_t *j = list_entry(pos, job_t, link);

		list_del(&j->link);
		job_free(w, j);
	}
	w->closed = true;
	if (!w->running)
		g_free(w);
}
