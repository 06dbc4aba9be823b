/*
 * Plans: a text with the changes that an intent would make and the intent
 * itself. The confirm command turns it into the confirm record.
 */
#include <inttypes.h>
#include <string.h>
#include "ledger/priv.h"

enum {
	OP_BYTES = 16,	 /* of an operation id, printed as two digits each */
	MOVE_MIN_S = 50, /* seconds that the stages of a move need at least */
	MOVE_NORMAL_S = 1012, /* seconds of stages at normal length */
	TIME_BYTES = 32,      /* of a printed time */
};

static const char first_line[] = "chestnuthinge plan 1\n";
static const char separator[] = "\n==== intent ====\n";

/* The header of a plan. */
typedef struct plan {
	char *op;
	char *sha256; /* of text */
	uint64_t base;
	bool force;
	const char *text;
} plan_t;

/* Makes an operation id: the digits of a random UUID. */
static char *op_new(void)
{
	char *uuid = g_uuid_string_random();
	char **parts = g_strsplit(uuid, "-", -1);
	char *op = g_strjoinv(NULL, parts);

	g_strfreev(parts);
	g_free(uuid);
	return op;
}

static void time_print(int64_t unix_s, char out[TIME_BYTES])
{
	GDateTime *t = g_date_time_new_from_unix_utc(unix_s);
	char *text = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ") : NULL;

	g_strlcpy(out, text ? text : "?", TIME_BYTES);
	g_free(text);
	if (t)
		g_date_time_unref(t);
}

static const version_t *find_same_move(const intent_t *old, const version_t *v)
{
	const version_t *o;

	if (!old)
		return NULL;
	o = intent_version(old, v->service, v->name);
	return o && g_strcmp0(o->replaces, v->replaces) == 0 ? o : NULL;
}

/* Prints whether the deadline of the move can be met. */
static void deadline_print(const version_t *v, int64_t unix_now, GString *out)
{
	char by[TIME_BYTES];
	int64_t left = v->by - unix_now;

	if (v->by == 0) {
		g_string_append(out, "    by: none\n");
		return;
	}
	time_print(v->by, by);
	g_string_append_printf(out, "    by: %s, %" PRId64 " s left", by,
			       MAX(left, 0));
	if (left < MOVE_MIN_S)
		g_string_append_printf(out,
				       ": can't be met, the stages need %d s "
				       "(%d %s)\n",
				       MOVE_MIN_S, CODE_TOO_LATE,
				       code_name(CODE_TOO_LATE));
	else if (left < MOVE_NORMAL_S)
		g_string_append(out, ": can be met by shorter stages, if "
				     "the loads are quick\n");
	else
		g_string_append(out, ": can be met\n");
}

static void move_print(const intent_t *old, const version_t *v,
		       int64_t unix_now, GString *out)
{
	g_string_append_printf(
		out, "  %s: %s -> %s%s\n", v->service, v->replaces, v->name,
		find_same_move(old, v) ? " (declared before)" : "");
	g_string_append_printf(out,
			       "    load: %s beside %s at the backend servers "
			       "of %s, a few at a time\n",
			       v->name, v->replaces, v->service);
	g_string_append_printf(out,
			       "    stages: %" PRIu64 " %% of the traffic "
			       "first, then more while no route gets worse\n",
			       v->first_percent);
	g_string_append_printf(out,
			       "    end: %s stays loaded while %s is watched; "
			       "a bad %s is rolled back\n",
			       v->replaces, v->name, v->name);
	deadline_print(v, unix_now, out);
}

static void all_moves_print(const intent_t *old, const intent_t *new,
			    int64_t unix_now, GString *out)
{
	size_t n = 0;

	for (guint i = 0; i < new->versions->len; i++) {
		const version_t *v = new->versions->pdata[i];

		if (!v->replaces)
			continue;
		n++;
		move_print(old, v, unix_now, out);
	}
	if (n == 0)
		g_string_append(out, "  none\n");
}

static void header_print(const plan_t *p, GString *out)
{
	char *sum =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, p->text, -1);

	g_string_append(out, first_line);
	g_string_append_printf(out, "base = %" PRIu64 "\n", p->base);
	g_string_append_printf(out, "force = %s\n", p->force ? "yes" : "no");
	g_string_append_printf(out, "op = %s\n", p->op);
	g_string_append_printf(out, "sha256 = %s\n\n", sum);
	g_free(sum);
}

static char *make(const plan_t *p, const revision_t *base, const char *name,
		  int64_t unix_now, GError **err)
{
	intent_t *in = intent_parse(p->text, name, err);
	GString *out;

	if (!in)
		return NULL;
	out = g_string_new(NULL);
	header_print(p, out);
	if (p->force)
		g_string_append(out,
				"Whatever was accepted before is replaced.\n");
	g_string_append(out, "Changes:\n");
	diff_print(base->text ? base->text : "", p->text, out);
	g_string_append(out, "Moves:\n");
	all_moves_print(base->intent, in, unix_now, out);
	g_string_append(out, separator);
	g_string_append(out, p->text);
	intent_free(in);
	return g_string_free(out, FALSE);
}

/*
 * Makes the plan for an intent's text on the accepted revision; name is used
 * in messages. Nothing is stored. Returns NULL with an error of the 1xx group
 * for a text that is not an intent. The caller frees the plan with g_free.
 */
char *plan_make(const revision_t *base, const char *text, const char *name,
		int64_t unix_now, GError **err)
{
	plan_t p = { .op = op_new(), .base = base->offset, .text = text };
	char *plan = make(&p, base, name, unix_now, err);

	g_free(p.op);
	return plan;
}

/*
 * Like plan_make, for a log that no longer has the accepted revision. next is
 * the log's next offset; the plan is accepted if no other confirm comes before
 * it from that offset on.
 */
char *plan_make_forced(uint64_t next, const char *text, const char *name,
		       int64_t unix_now, GError **err)
{
	const revision_t none = { 0 };
	plan_t p = {
		.op = op_new(), .base = next, .force = true, .text = text
	};
	char *plan = make(&p, &none, name, unix_now, err);

	g_free(p.op);
	return plan;
}

/* Copies the value of "key = value" in the header; NULL if there is none. */
static char *header_get(const char *plan, const char *key)
{
	const char *end = strstr(plan, "\n\n");
	char *start = g_strdup_printf("\n%s = ", key);
	const char *p = strstr(plan, start);
	char *value = NULL;

	if (p && end && p < end) {
		p += strlen(start);
		value = g_strndup(p, strcspn(p, "\n"));
	}
	g_free(start);
	return value;
}

static bool text_intact(const plan_t *p)
{
	char *sum =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, p->text, -1);
	bool same = g_strcmp0(sum, p->sha256) == 0;

	g_free(sum);
	return same;
}

static bool base_parse(const char *plan, uint64_t *base)
{
	char *text = header_get(plan, "base");
	guint64 n = 0;
	bool ok = text &&
		  g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &n, NULL);

	g_free(text);
	*base = n;
	return ok;
}

static void plan_clear(plan_t *p)
{
	g_free(p->op);
	g_free(p->sha256);
}

/* Parses a plan. Returns what is wrong with it, or NULL. */
static const char *plan_parse(const char *plan, plan_t *p)
{
	const char *text = strstr(plan, separator);
	char *force;

	memset(p, 0, sizeof(*p));
	if (!g_str_has_prefix(plan, first_line))
		return "expected \"chestnuthinge plan 1\" as the first line";
	if (!text)
		return "expected a line \"==== intent ====\"";
	p->text = text + strlen(separator);
	p->op = header_get(plan, "op");
	p->sha256 = header_get(plan, "sha256");
	force = header_get(plan, "force");
	p->force = g_strcmp0(force, "yes") == 0;
	g_free(force);
	if (!p->op || strlen(p->op) != 2 * (size_t)OP_BYTES)
		return "expected op = 32 hexadecimal digits";
	if (!base_parse(plan, &p->base))
		return "expected base = an offset";
	if (!text_intact(p))
		return "the intent is not the one that was planned";
	return NULL;
}

/*
 * Turns a plan into the confirm record, which the caller frees with g_free.
 * Returns NULL with CODE_BAD_PLAN if it was cut, edited or is not a plan.
 */
char *plan_record(const char *plan, GError **err)
{
	plan_t p;
	const char *wrong = plan_parse(plan, &p);
	char *record = NULL;
	intent_t *in = NULL;

	if (wrong)
		g_set_error(err, code_quark(), CODE_BAD_PLAN, "plan: %s",
			    wrong);
	else
		in = intent_parse(p.text, "plan", err);
	if (in)
		record = confirm_record(p.op, p.base, p.force, p.text);
	intent_free(in);
	plan_clear(&p);
	return record;
}

/* Copies the operation id of a plan, for g_free; NULL if it is not a plan. */
char *plan_op(const char *plan)
{
	plan_t p;
	const char *wrong = plan_parse(plan, &p);
	char *op = wrong ? NULL : g_strdup(p.op);

	plan_clear(&p);
	return op;
}
