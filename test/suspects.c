/*
 * One host: which crashes it notices, and which parts of prompts are in
 * quarantine after a sequence of records.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include "world.h"

enum {
	LETTERS = 26,
	REQUESTS = 10,
	WORDS = 100,
	STEP = 10, /* ms between ticks */
};

/* What the host reported, as letters. */
typedef struct lab {
	world_t w; /* the operations' context */
	GString *reports;
	GString *answers;
	uint64_t number; /* of the last record */
	ms_t now;
	request_t r[REQUESTS];
	trait_t parts[REQUESTS][LETTERS];
} lab_t;

/* Appends the letters of a report's parts. */
static void lab_crash_seen(void *ctx, const crash_report_t *c)
{
	lab_t *l = ctx;

	if (l->reports->len)
		g_string_append_c(l->reports, ' ');
	for (size_t i = 0; i < c->ntraits; i++)
		g_string_append_c(l->reports, (char)c->traits[i]);
}

static void lab_trait_answered(void *ctx, trait_t part)
{
	g_string_append_c(((lab_t *)ctx)->answers, (char)part);
}

static void lab_open(lab_t *l, edge_ops_t *lab_ops)
{
	edge_conf_t conf = { .inc = 7,
			     .name = "me",
			     .data_center = "a",
			     .subset = 4,
			     .seed = 1,
			     .retry_ratio = 1,
			     .retry_window = 10 * MS };

	memset(l, 0, sizeof(*l));
	*lab_ops = ops;
	lab_ops->crash_seen = lab_crash_seen;
	lab_ops->trait_answered = lab_trait_answered;
	l->now = 1000 * MS;
	l->w.counters = counters_new();
	l->w.edge = edge_new(&conf, lab_ops, l, l->w.counters);
	l->reports = g_string_new(NULL);
	l->answers = g_string_new(NULL);
}

static void lab_close(lab_t *l)
{
	for (int i = 0; i < REQUESTS; i++) {
		if (l->r[i].route && l->r[i].state != REQUEST_ENDED)
			edge_abandon(l->w.edge, &l->r[i], l->now);
	}
	world_clear(&l->w);
	g_string_free(l->reports, TRUE);
	g_string_free(l->answers, TRUE);
}

static size_t letters(const char *text, trait_t *out)
{
	size_t n = 0;

	for (; *text; text++)
		out[n++] = (trait_t)*text;
	return n;
}

/* Lower-case letters are a request's parts, an upper-case one its content. */
static void set_traits(request_t *r, trait_t *parts, const char *text)
{
	r->parts = parts;
	for (; *text; text++) {
		if (g_ascii_isupper(*text))
			r->content = (trait_t)*text;
		else
			parts[r->nparts++] = (trait_t)*text;
	}
}

/* Whether a request with these traits is refused on arrival. */
static bool is_held(lab_t *l, const char *text)
{
	trait_t parts[LETTERS];
	request_t r;
	unsigned int refused = l->w.refused;

	request_init(&r, &route, l->now);
	set_traits(&r, parts, text);
	edge_submit(l->w.edge, &r, l->now);
	if (r.state != REQUEST_ENDED)
		edge_abandon(l->w.edge, &r, l->now);
	return l->w.refused > refused && l->w.last_code == CODE_QUARANTINED;
}

static void wait_ms(lab_t *l, ms_t ms)
{
	ms_t until = l->now + ms;

	for (; l->now + STEP <= until && ms <= 10 * MS; l->now += STEP)
		edge_tick(l->w.edge, l->now);
	l->now = until;
	edge_tick(l->w.edge, l->now);
}

/* a1h:pq: host h reports that life 1 of server a ended with the parts p, q. */
static void take_report(lab_t *l, const char *word)
{
	char server[] = { word[0], 0 };
	char host[] = { word[2], 0 };
	trait_t parts[LETTERS];
	crash_report_t c = { .server = server,
			     .started_unix = word[1],
			     .traits = parts };

	if (word[3] == ':')
		c.ntraits = letters(word + 4, parts);
	edge_crash_reported(l->w.edge, host, &c, ++l->number, l->now);
}

/*
 * Records: a report as above, a1h: that it was deleted, =p that p was answered,
 * L that a listing begins, @5 that the next number is 5, +5 that 5 s pass.
 */
static void take_record(lab_t *l, const char *word)
{
	switch (word[0]) {
	case '=':
		edge_trait_answered(l->w.edge, (trait_t)word[1], ++l->number,
				    l->now);
		break;
	case 'L':
		edge_crashes_listing(l->w.edge);
		break;
	case '@':
		l->number = (uint64_t)atoi(word + 1) - 1;
		break;
	case '+':
		wait_ms(l, atoi(word + 1) * MS);
		break;
	default:
		take_report(l, word);
	}
}

static void run_words(lab_t *l, const char *text,
		      void (*run)(lab_t *l, const char *word))
{
	char **words = g_strsplit(text, " ", WORDS);

	for (char **w = words; *w; w++)
		run(l, *w);
	g_strfreev(words);
}

typedef struct records_case {
	const char *name;
	const char *records;
	const char *held; /* the parts and contents that are held alone */
	const char *pair; /* what is held together */
} records_case_t;

#define THREE	   "a1h:p b1h:p c1h:p"
#define THREE_PAIR "a1h:pq b1h:qp c1h:pq"

static const records_case_t records_cases[] = {
	{ "nothing", "", "", "" },
	{ "two crashes", "a1h:p b1h:p", "", "" },
	{ "three crashes", THREE, "p", "pq" },
	{ "three hosts see one crash", "a1h:p a1i:p a1j:p", "", "" },
	{ "three hosts see one crash each", "a1h:p b1i:p c1j:p", "p", "" },
	{ "three lives of one server", "a1h:p a2h:p a3h:p", "p", "" },
	{ "a report is repeated", "a1h:p a1h:p a1h:p", "", "" },
	{ "nothing in common", "a1h:p b1h:q c1h:r", "", "" },
	{ "a part in common", "a1h:pa b1h:pb c1h:cp", "p", "" },
	{ "a life's reports name different parts",
	  "a1h:q a1i:p b1h:p b1i:r c1h:p", "p", "" },
	{ "a whole answer clears", THREE " =p", "", "" },
	{ "an answer between", "a1h:p b1h:p =p c1h:p", "", "" },
	{ "crashes after the answer", "a1h:p =p b1h:p c1h:p d1h:p", "p", "" },
	{ "an older answer, read later", "@11 " THREE " @5 =p", "p", "" },
	{ "older reports, read later", "@11 =p @5 " THREE, "", "" },
	{ "an older report of the same life", "@11 a1h:p @5 a1h:q b1h:q c1h:q",
	  "", "" },
	{ "an older answer after a newer one", "@11 =p @1 =p @5 " THREE, "",
	  "" },
	{ "reports in any order", "@3 a1h:p @2 b1h:p @1 c1h:p", "p", "" },
	{ "two parts always together", THREE_PAIR, "", "pq" },
	{ "one of them is answered", THREE_PAIR " =q", "p", "pq" },
	{ "the other is answered", THREE_PAIR " =p", "q", "pq" },
	{ "one of them ends a server alone", THREE_PAIR " d1h:p", "p", "pq" },
	{ "two bad parts", THREE " d1h:q e1h:q f1h:q", "pq", "" },
	{ "two bad parts beside a third",
	  "a1h:ps b1h:ps c1h:p d1h:qs e1h:q f1h:q", "pq", "ps" },
	{ "a part unlucky twice beside a bad one", "a1h:ps b1h:ps c1h:p d1h:p",
	  "p", "ps" },
	{ "a part unlucky once and twice beside a bad one",
	  "a1h:ps b1h:ps c1h:p d1h:p e1h:s", "p", "" },
	{ "three of nine crashes",
	  "a1h:p b1h:a c1h:b d1h:c e1h:p f1h:d g1h:e h1h:f j1h:p", "p", "" },
	{ "three of ten crashes",
	  "a1h:p b1h:a c1h:b d1h:c e1h:p f1h:d g1h:e h1h:f i1h:g j1h:p", "",
	  "" },
	{ "three of ten, one of the others cleared",
	  "a1h:p b1h:a c1h:b d1h:c e1h:p f1h:d g1h:e h1h:f i1h:g j1h:p =a", "",
	  "" },
	{ "four of thirteen crashes",
	  "a1h:p b1h:p c1h:p f1h:a g1h:b h1h:c i1h:d j1h:e k1h:f l1h:g "
	  "m1h:h n1h:i d1h:p",
	  "", "" },
	{ "five of seventeen crashes",
	  "a1h:p b1h:p c1h:p d1h:p f1h:a g1h:b h1h:c i1h:d j1h:e k1h:f "
	  "l1h:g m1h:h n1h:i o1h:j q1h:k r1h:l e1h:p",
	  "p", "" },
	{ "three after ten others",
	  "a1h:a b1h:b c1h:c d1h:d e1h:e f1h:f g1h:g h1h:h i1h:i j1h:j "
	  "k1h:p l1h:p m1h:p",
	  "p", "" },
	{ "a listing repeats", "@1 " THREE " L @1 " THREE, "p", "" },
	{ "a listing has less", "@1 " THREE " L @1 a1h:p b1h:p", "", "" },
	{ "a listing lacks the answer", "@1 " THREE " =p L @1 " THREE, "p",
	  "" },
	{ "a listing has the answer first", "L @4 =p @1 " THREE, "", "" },
	{ "one record is deleted", THREE " a1h", "", "" },
	{ "an unknown record is deleted", THREE " d1h", "p", "" },
	{ "deleted and back", THREE " a1h a1h:p", "p", "" },
	{ "before its end", THREE " +599", "p", "" },
	{ "at its end", THREE " +600", "", "" },
	{ "one more crash prolongs it", THREE " +300 d1h:p +599", "p", "" },
	{ "a report by another host prolongs it", THREE " +300 a1i:p +599", "p",
	  "" },
	{ "back for twice as long", THREE " +600 d1h:p +1199", "p", "" },
	{ "and then at its end", THREE " +600 d1h:p +1200", "", "" },
	{ "back again", THREE " +600 d1h:p +1200 e1h:p +2399", "p", "" },
	{ "the longest", THREE " +600 d1h:p +1200 e1h:p +2400 f1h:p +2400", "",
	  "" },
	{ "a listing does not prolong it",
	  "@1 " THREE " +599 L @1 " THREE " +1", "", "" },
	{ "answered while back", THREE " +600 d1h:p =p", "", "" },
	{ "one content", "a1h:C b1h:C c1h:C", "C", "" },
	{ "a content with a sound part", "a1h:pC b1h:pC c1h:pC =p", "C", "pC" },
	{ "a content with a part", "a1h:pC b1h:pC c1h:pC", "C", "pC" },
	{ "that is answered", "a1h:pC b1h:pC c1h:pC =C", "p", "pD" },
	{ "a part of several contents", "a1h:pC b1h:pD c1h:pE", "p", "pF" },
	{ "two contents always together", "a1h:CD b1h:CD c1h:CD", "CD", "" },
	{ "one of them ends one server more", "a1h:CD b1h:CD c1h:CD d1h:C", "C",
	  "" },
	{ "one of them is answered", "a1h:CD b1h:CD c1h:CD =D", "C", "" },
};

START_TEST(records_decide_what_is_held)
{
	const records_case_t *c = &records_cases[_i];
	GString *held = g_string_new(NULL);
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	run_words(&l, c->records, take_record);
	for (int letter = 'A'; letter <= 'z'; letter++) {
		char text[] = { (char)letter, 0 };

		if (is_held(&l, text))
			g_string_append_c(held, (char)letter);
	}
	ck_assert_msg(strcmp(held->str, c->held) == 0, "%s: %s", c->name,
		      held->str);
	ck_assert_msg(!*c->pair || is_held(&l, c->pair), "%s: pair", c->name);
	ck_assert_msg(!is_held(&l, ""), "%s: without parts", c->name);
	g_string_free(held, TRUE);
	lab_close(&l);
}
END_TEST

static request_t *named_request(lab_t *l, const char *word)
{
	const char *digit = strpbrk(word, "0123456789");

	return digit && word[0] != '+' ? &l->r[*digit - '0'] : NULL;
}

/*
 * At one server: 1:pq request 1 with the parts p, q is sent; and of a request:
 * f1 the first event comes, b1 more bytes, w1 the end, !1 it is lost, ?1 it is
 * malformed, n1 it is not sent, s1 it is given up as silent. +50: 50 ms pass,
 * X: the server's next life is listed, G: the server is not listed any more.
 */
static void take_event(lab_t *l, const char *word)
{
	request_t *r = named_request(l, word);
	attempt_result_t how = word[0] == 'w'	? ATTEMPT_ANSWERED
			       : word[0] == '!' ? ATTEMPT_LOST
			       : word[0] == '?' ? ATTEMPT_BAD_ANSWER
			       : word[0] == 's' ? ATTEMPT_SILENT
						: ATTEMPT_NOT_SENT;

	if (word[0] == '+') {
		wait_ms(l, atoi(word + 1));
	} else if (word[0] == 'X') {
		put_server(&l->w, "s", "10.0.0.1", 9, false, 2, l->now);
	} else if (word[0] == 'G') {
		edge_server_gone(l->w.edge, "s", l->now);
	} else if (word[1] == ':') {
		request_init(r, &route, l->now);
		set_traits(r, l->parts[r - l->r], word + 2);
		edge_submit(l->w.edge, r, l->now);
		ck_assert_int_eq(r->state, REQUEST_RUNNING);
	} else if (word[0] == 'f') {
		edge_first_event(l->w.edge, r, l->now);
	} else if (word[0] == 'b') {
		edge_event(l->w.edge, r, l->now);
	} else {
		edge_attempt_ended(l->w.edge, r, how, false, l->now);
	}
}

typedef struct events_case {
	const char *name;
	const char *events;
	const char *reports;
} events_case_t;

static const events_case_t events_cases[] = {
	{ "nothing else is known of the server", "1:p +50 !1 +150", "p" },
	{ "not yet", "1:p +50 !1 +90", "" },
	{ "another connection is open", "1:p 2:q +50 !1 +150", "" },
	{ "and is lost later", "1:p 2:q +50 !1 +60 !2 +150", "pq" },
	{ "bytes came since", "1:p 2:q f2 +150 !1 +50 b2 !2 +150", "" },
	{ "bytes that were on their way", "1:p 2:q f2 +150 !1 +10 b2 !2 +150",
	  "p" },
	{ "all are lost", "1:p 2:q +50 !1 !2 +150", "pq" },
	{ "all are lost in the other order", "1:p 2:q +50 !2 !1 +150", "qp" },
	{ "one had its events", "1:p 2:q f2 +200 !2 !1 +150", "p" },
	{ "lost in the middle of a stream", "1:p f1 +200 !1 +150", "" },
	{ "lost with the first bytes", "1:p f1 +50 !1 +150", "p" },
	{ "cut with the first bytes", "1:p f1 +50 ?1 +150", "p" },
	{ "cut, another connection is open", "1:p 2:q f1 +50 ?1 +150", "" },
	{ "the next one is not sent", "1:p +50 !1 +10 2:q n2", "p" },
	{ "not sent without a loss", "1:p +50 n1 +150", "" },
	{ "its next life is listed", "1:p 2:q +50 !1 X +150", "pq" },
	{ "it is not listed any more", "1:p +50 !1 G +150", "p" },
	{ "without parts", "1: +50 !1 +150", "" },
	{ "without parts beside one with parts", "1: 2:p +50 !1 !2 +150", "p" },
	{ "a restart without requests", "X +150", "" },
	{ "a sound part", "1:p +50 f1 w1 2:pq +50 !2 +150", "q" },
	{ "only sound parts", "1:p +50 f1 w1 2:p +50 !2 +150", "" },
	{ "sound long ago", "1:p +50 f1 w1 +10000 2:pq +50 !2 +150", "pq" },
	{ "whole without a byte", "1:p +50 w1 2:pq +50 !2 +150", "pq" },
	{ "two lives", "1:p +50 !1 X +150 2:q +50 !2 +150", "p q" },
	{ "a request without parts", "1:C +50 !1 +150", "C" },
	{ "a request with parts", "1:pqC +50 !1 +150", "Cpq" },
	{ "two requests with a part", "1:pC 2:pD +50 !1 !2 +150", "CpD" },
	{ "the content of one answered", "1:C +50 f1 w1 2:C +50 !2 +150", "" },
	{ "answered long ago", "1:C +50 f1 w1 +10000 2:C +50 !2 +150", "C" },
};

/* The same on other routes. */
typedef struct route_case {
	unsigned int attempts;
	bool stream;
	events_case_t c;
} route_case_t;

static const route_case_t route_cases[] = {
	{ 2, false, { "stalled, given up here", "1:p +500 s1 +150", "" } },
	{ 1, false, { "stalled, then lost", "1:p +500 !1 +150", "p" } },
	{ 2, false, { "the same, may be retried", "1:p +500 !1 +150", "p" } },
	{ 1, true, { "a stream", "1:p +50 f1 w1 +150", "" } },
	{ 1, true, { "without an event", "1:p +50 w1 +150", "p" } },
	{ 1, true, { "another is open", "1:p 2:q +50 w1 +150", "" } },
};

static void check_events(const events_case_t *c, unsigned int attempts,
			 bool stream)
{
	edge_route_t saved = route;
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	route.attempts = attempts;
	route.stream = stream;
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	run_words(&l, c->events, take_event);
	ck_assert_msg(strcmp(l.reports->str, c->reports) == 0, "%s: %s",
		      c->name, l.reports->str);
	route = saved;
	lab_close(&l);
}

START_TEST(crashes_are_noticed)
{
	check_events(&events_cases[_i], 1, false);
}
END_TEST

START_TEST(crashes_are_noticed_by_route)
{
	const route_case_t *c = &route_cases[_i];

	check_events(&c->c, c->attempts, c->stream);
}
END_TEST

/* Whole answers are told for parts that reports name, once at a time. */
START_TEST(answers_are_told_for_reported_parts_only)
{
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	run_words(&l, "1:pq 2:p +50 f1 w1", take_event);
	ck_assert_str_eq(l.answers->str, "");
	run_words(&l, "a1h:p", take_record);
	run_words(&l, "f2 w2 3:p +50 f3 w3", take_event);
	ck_assert_str_eq(l.answers->str, "p");
	run_words(&l, "=p", take_record);
	run_words(&l, "4:p +3000 f4 w4", take_event);
	ck_assert_str_eq(l.answers->str, "p");
	lab_close(&l);
}
END_TEST

/* An answer to a content is told once two servers ended under it. */
START_TEST(answers_to_a_content_are_told_before_it_is_held)
{
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	run_words(&l, "a1h:C", take_record);
	run_words(&l, "1:C +50 f1 w1", take_event);
	ck_assert_str_eq(l.answers->str, "");
	run_words(&l, "b1h:C", take_record);
	run_words(&l, "2:C +50 f2 w2", take_event);
	ck_assert_str_eq(l.answers->str, "C");
	lab_close(&l);
}
END_TEST

/* Ends a life of the server under a request; the report is not read back. */
static void end_life(lab_t *l, int64_t started)
{
	put_server(&l->w, "s", "10.0.0.1", 9, false, started, l->now);
	run_words(l, "1:pC +50 !1 +150", take_event);
}

START_TEST(own_reports_count_before_they_are_read_back)
{
	edge_route_t saved = route;
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	route.attempts = 1;
	run_words(&l, "@5 =q", take_record);
	for (int64_t life = 1; life <= 3; life++) {
		ck_assert(!is_held(&l, "C"));
		end_life(&l, life);
	}
	ck_assert(is_held(&l, "C"));
	ck_assert(!is_held(&l, "pD"));
	run_words(&l, "@6 =C", take_record);
	ck_assert(!is_held(&l, "C"));
	route = saved;
	lab_close(&l);
}
END_TEST

static void add_own(void *ctx, const char *key, const crash_report_t *c)
{
	GString *out = ctx;

	g_string_append_printf(out, "%s:", key);
	for (size_t i = 0; i < c->ntraits; i++)
		g_string_append_c(out, (char)c->traits[i]);
}

/*
 * The store came back from a copy: what it still has is known and keeps its
 * number, what it lacks stays in force, and the host writes its own reports
 * again, without traits that were answered.
 */
START_TEST(reports_outlive_a_restored_store)
{
	static const trait_t traits[] = { 'p', 'q' };
	crash_report_t c = { .server = "a",
			     .started_unix = '1',
			     .traits = traits };
	GString *own = g_string_new(NULL);
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	run_words(&l, THREE, take_record);
	ck_assert(is_held(&l, "p"));
	c.ntraits = 1;
	ck_assert(edge_crash_known(l.w.edge, "h", &c));
	ck_assert(!edge_crash_known(l.w.edge, "g", &c));
	c.ntraits = 2;
	ck_assert(!edge_crash_known(l.w.edge, "h", &c));
	edge_crash_reported(l.w.edge, "me", &c, ++l.number, l.now);
	run_words(&l, "=q", take_record);
	ck_assert(edge_trait_answered_known(l.w.edge, 'q'));
	ck_assert(!edge_trait_answered_known(l.w.edge, 'p'));
	edge_crashes_own(l.w.edge, add_own, own);
	ck_assert_str_eq(own->str, "a.49/me:p");
	ck_assert(is_held(&l, "p"));
	g_string_free(own, TRUE);
	lab_close(&l);
}
END_TEST

/* A whole answer to this host clears its reports, whether it can tell or not.
 */
START_TEST(own_answers_clear_own_reports)
{
	edge_route_t saved = route;
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	route.attempts = 1;
	end_life(&l, 1);
	end_life(&l, 2);
	run_words(&l, "2:C +50 f2 w2 +10000", take_event);
	end_life(&l, 3);
	ck_assert(!is_held(&l, "C"));
	route = saved;
	lab_close(&l);
}
END_TEST

/* Where a request waits when its part gets into quarantine. */
typedef enum wait_for {
	FOR_SLOT,
	FOR_QUOTA,
	FOR_RETRY,
	WAITS,
} wait_for_t;

START_TEST(a_waiting_request_is_refused)
{
	edge_customer_t customer = { .name = "c", .rate = 5, .burst = 10 };
	edge_ops_t lab_ops;
	lab_t l;
	request_t *r = &l.r[1];

	lab_open(&l, &lab_ops);
	request_init(r, &route, l.now);
	r->parts = l.parts[1];
	r->nparts = letters("p", l.parts[1]);
	if (_i == FOR_QUOTA) {
		r->customer = &customer;
		edge_quota_server_up(l.w.edge, QUOTA_BY_KEEPER, "k", 9);
	}
	if (_i == FOR_RETRY)
		put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	edge_submit(l.w.edge, r, l.now);
	run_words(&l, THREE, take_record);
	if (_i == FOR_RETRY) {
		ck_assert_int_eq(r->state, REQUEST_RUNNING);
		edge_tick(l.w.edge, l.now);
		ck_assert_int_eq(edge_attempt_ended(l.w.edge, r, ATTEMPT_LOST,
						    true, l.now),
				 NEXT_ANSWER);
		ck_assert_uint_eq(l.w.sent, 1);
	} else {
		ck_assert_int_eq(r->state, _i == FOR_QUOTA ? REQUEST_ASKING
							   : REQUEST_WAITING);
		edge_tick(l.w.edge, l.now + STEP);
		ck_assert_int_eq(l.w.last_code, CODE_QUARANTINED);
		ck_assert_int_eq(l.w.last_after, 600 * MS - STEP);
		ck_assert_uint_eq(l.w.refused, 1);
		ck_assert_uint_eq(l.w.sent, 0);
	}
	ck_assert_int_eq(r->state, REQUEST_ENDED);
	lab_close(&l);
}
END_TEST

/* A refused request asks no quota server. */
START_TEST(a_refused_request_costs_no_quota)
{
	edge_customer_t customer = { .name = "c", .rate = 5, .burst = 10 };
	edge_ops_t lab_ops;
	lab_t l;
	request_t *r = &l.r[1];

	lab_open(&l, &lab_ops);
	edge_quota_server_up(l.w.edge, QUOTA_BY_KEEPER, "k", 9);
	run_words(&l, THREE, take_record);
	request_init(r, &route, l.now);
	r->customer = &customer;
	r->parts = l.parts[1];
	r->nparts = letters("p", l.parts[1]);
	edge_submit(l.w.edge, r, l.now);
	ck_assert_int_eq(r->state, REQUEST_ENDED);
	ck_assert_uint_eq(l.w.asks, 0);
	ck_assert_int_eq(l.w.last_code, CODE_QUARANTINED);
	ck_assert_int_eq(code_http_status(CODE_QUARANTINED), 503);
	ck_assert(code_not_run(CODE_QUARANTINED));
	lab_close(&l);
}
END_TEST

/* A stream that broke off is not resumed elsewhere with a held part. */
START_TEST(a_stream_is_not_resumed_with_a_held_part)
{
	edge_route_t stream = route;
	edge_ops_t lab_ops;
	lab_t l;
	request_t *r = &l.r[1];

	stream.stream = true;
	stream.retry = RETRY_RESUME;
	lab_open(&l, &lab_ops);
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	request_init(r, &stream, l.now);
	r->parts = l.parts[1];
	r->nparts = letters("p", l.parts[1]);
	edge_submit(l.w.edge, r, l.now);
	edge_first_event(l.w.edge, r, l.now + 50);
	run_words(&l, THREE, take_record);
	edge_tick(l.w.edge, l.now + 60);
	ck_assert_int_eq(r->state, REQUEST_RUNNING);
	ck_assert_int_eq(edge_attempt_ended(l.w.edge, r, ATTEMPT_LOST, true,
					    l.now + 200),
			 NEXT_ANSWER);
	lab_close(&l);
}
END_TEST

START_TEST(the_status_names_parts_in_quarantine)
{
	GString *out = g_string_new(NULL);
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	run_words(&l, THREE " d1h:q +1", take_record);
	edge_print(l.w.edge, out, l.now);
	ck_assert_str_eq(out->str,
			 "quarantined=70 crashes=3 beside=0 left_ms=599000\n");
	run_words(&l, "=p +1", take_record);
	g_string_truncate(out, 0);
	edge_print(l.w.edge, out, l.now);
	ck_assert_str_eq(out->str, "");
	g_string_free(out, TRUE);
	lab_close(&l);
}
END_TEST

/* More reports and answers than are kept: the newest decide, all is counted. */
START_TEST(tables_are_bounded)
{
	enum { MANY = 6000 };
	edge_ops_t lab_ops;
	lab_t l;
	uint64_t left_out;

	lab_open(&l, &lab_ops);
	for (unsigned int i = 0; i < MANY; i++) {
		trait_t parts[CRASH_TRAITS_MAX + 1];
		char server[16];
		crash_report_t c = { .server = server,
				     .started_unix = 1,
				     .traits = parts,
				     .ntraits = i % 100 ? 1
							: G_N_ELEMENTS(parts) };

		g_snprintf(server, sizeof(server), "s%u", i);
		for (size_t k = 0; k < G_N_ELEMENTS(parts); k++)
			parts[k] = 1000 + (trait_t)i * 100 + k;
		edge_crash_reported(l.w.edge, "h", &c, ++l.number, l.now);
		edge_trait_answered(l.w.edge, MANY * 1000 + i, ++l.number,
				    l.now);
	}
	run_words(&l, THREE, take_record);
	ck_assert(is_held(&l, "p"));
	left_out = counter_get(l.w.counters, "edge_crash_facts_left_out_total",
			       NULL)
			   ->value;
	ck_assert_uint_eq(left_out,
			  (MANY + 3 - 512) + MANY / 100 + (MANY - 4096));
	lab_close(&l);
}
END_TEST

static void note_number(void *ctx, uint64_t number)
{
	g_string_append_printf(ctx, "%s%d", ((GString *)ctx)->len ? " " : "",
			       (int)number);
}

/* Which records are to be deleted, and by whom. */
typedef struct expired_case {
	const char *name;
	const char *records;
	const char *numbers;
	bool first; /* of the hosts, by rank */
} expired_case_t;

static const expired_case_t expired_cases[] = {
	{ "new", THREE, "", true },
	{ "of a quarantine", THREE " +590", "", true },
	{ "of one that may come back", THREE " +2399", "", true },
	{ "older than the longest quarantine", "a1h:p +2400", "1", true },
	{ "cleared, just now", "a1h:p =p +59", "", true },
	{ "cleared", "a1h:p =p +60", "1", true },
	{ "the answer last", "a1h:p =p +60 a1h", "2", true },
	{ "cleared in part", "a1h:pq =p +60", "", true },
	{ "by another host", "a1h:p =p +60", "", false },
};

START_TEST(records_are_deleted_by_the_first_host)
{
	const expired_case_t *c = &expired_cases[_i];
	GString *numbers = g_string_new(NULL);
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	if (!c->first) {
		for (int i = 0; i < 64; i++) {
			char name[8];

			g_snprintf(name, sizeof(name), "h%d", i);
			edge_host_listed(l.w.edge, name);
		}
	}
	edge_hosts_listed(l.w.edge);
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	run_words(&l, c->records, take_record);
	edge_crashes_expired(l.w.edge, note_number, numbers, l.now);
	ck_assert_msg(strcmp(numbers->str, c->numbers) == 0, "%s: %s", c->name,
		      numbers->str);
	g_string_free(numbers, TRUE);
	lab_close(&l);
}
END_TEST

/* Whether crashes are expected: the store is read more often then. */
typedef struct pending_case {
	const char *name;
	const char *events;
	const char *records;
	bool pending;
} pending_case_t;

static const pending_case_t pending_cases[] = {
	{ "nothing", "", "", false },
	{ "a lost request", "1:p +50 !1", "", true },
	{ "a sound server", "1:p 2:q +50 !1 +150", "", false },
	{ "a report", "", "a1h:p", true },
	{ "cleared", "", "a1h:p =p", false },
	{ "long ago", "", "a1h:p +30", false },
};

START_TEST(reports_are_expected_while_servers_end)
{
	const pending_case_t *c = &pending_cases[_i];
	edge_route_t saved = route;
	edge_ops_t lab_ops;
	lab_t l;

	lab_open(&l, &lab_ops);
	route.attempts = 1;
	put_server(&l.w, "s", "10.0.0.1", 9, false, 1, l.now);
	if (*c->events)
		run_words(&l, c->events, take_event);
	if (*c->records)
		run_words(&l, c->records, take_record);
	ck_assert_msg(edge_crashes_pending(l.w.edge, l.now) == c->pending, "%s",
		      c->name);
	route = saved;
	lab_close(&l);
}
END_TEST

/* The text of a report's parts. */
typedef struct text_case {
	const char *text;
	code_t code;
	size_t nparts;
} text_case_t;

static const text_case_t text_cases[] = {
	{ "bad", CODE_OK, 1 },
	{ "0,ffffffffffffffff", CODE_OK, 2 },
	{ "1,2,3", CODE_OK, 3 },
	{ "", CODE_BAD_RECORD, 0 },
	{ ",", CODE_BAD_RECORD, 0 },
	{ "1,", CODE_BAD_RECORD, 0 },
	{ ",1", CODE_BAD_RECORD, 0 },
	{ "1,,2", CODE_BAD_RECORD, 0 },
	{ "1, 2", CODE_BAD_RECORD, 0 },
	{ "-1", CODE_BAD_RECORD, 0 },
	{ "+1", CODE_BAD_RECORD, 0 },
	{ "0x1", CODE_BAD_RECORD, 0 },
	{ "g", CODE_BAD_RECORD, 0 },
	{ "1,2,x", CODE_BAD_RECORD, 0 },
	{ "10000000000000000", CODE_BAD_RECORD, 0 },
	{ "00000000000000001", CODE_BAD_RECORD, 0 },
};

START_TEST(malformed_parts_are_rejected)
{
	const text_case_t *c = &text_cases[_i];
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(trait_t));

	ck_assert_msg(crash_traits_parse(str_of(c->text), parts) == c->code,
		      "%s", c->text);
	ck_assert_uint_eq(parts->len, c->nparts);
	g_array_free(parts, TRUE);
}
END_TEST

/* As many parts as fit come back from the text; one more is rejected. */
START_TEST(the_text_holds_all_parts)
{
	trait_t in[CRASH_TRAITS_MAX + 1];
	GArray *out = g_array_new(FALSE, FALSE, sizeof(trait_t));
	crash_report_t c = { .server = "s",
			     .traits = in,
			     .ntraits = CRASH_TRAITS_MAX };
	char *text;
	str_t cut = { "1\0002", 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(in); i++)
		in[i] = G_MAXUINT64 - i;
	text = crash_traits_format(&c);
	ck_assert_int_eq(crash_traits_parse(str_of(text), out), CODE_OK);
	ck_assert_uint_eq(out->len, CRASH_TRAITS_MAX);
	ck_assert_int_eq(memcmp(out->data, in, sizeof(in) - sizeof(in[0])), 0);
	g_free(text);
	c.ntraits++;
	text = crash_traits_format(&c);
	ck_assert_int_eq(crash_traits_parse(str_of(text), out),
			 CODE_BAD_RECORD);
	ck_assert_int_eq(crash_traits_parse(cut, out), CODE_BAD_RECORD);
	ck_assert_uint_eq(out->len, CRASH_TRAITS_MAX);
	g_free(text);
	g_array_free(out, TRUE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("suspects");
	TCase *t = tcase_create("suspects");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, records_decide_what_is_held, 0,
			    G_N_ELEMENTS(records_cases));
	tcase_add_loop_test(t, crashes_are_noticed, 0,
			    G_N_ELEMENTS(events_cases));
	tcase_add_loop_test(t, crashes_are_noticed_by_route, 0,
			    G_N_ELEMENTS(route_cases));
	tcase_add_test(t, answers_are_told_for_reported_parts_only);
	tcase_add_test(t, answers_to_a_content_are_told_before_it_is_held);
	tcase_add_test(t, own_reports_count_before_they_are_read_back);
	tcase_add_test(t, reports_outlive_a_restored_store);
	tcase_add_test(t, own_answers_clear_own_reports);
	tcase_add_loop_test(t, a_waiting_request_is_refused, 0, WAITS);
	tcase_add_test(t, a_refused_request_costs_no_quota);
	tcase_add_test(t, a_stream_is_not_resumed_with_a_held_part);
	tcase_add_test(t, the_status_names_parts_in_quarantine);
	tcase_add_test(t, tables_are_bounded);
	tcase_add_loop_test(t, records_are_deleted_by_the_first_host, 0,
			    G_N_ELEMENTS(expired_cases));
	tcase_add_loop_test(t, reports_are_expected_while_servers_end, 0,
			    G_N_ELEMENTS(pending_cases));
	tcase_add_loop_test(t, malformed_parts_are_rejected, 0,
			    G_N_ELEMENTS(text_cases));
	tcase_add_test(t, the_text_holds_all_parts);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
