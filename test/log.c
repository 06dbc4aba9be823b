/* The log: a bounded buffer, non-blocking writes, a count of dropped lines. */
#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include "base/fns.h"

enum {
	LINES = 20000, /* several times what fits in pipe and buffer */
	PIPE_BYTES = 1 << 20,
	FLUSHES = 8, /* a pipe's capacity each: more than the buffer holds */
};

/* Reads all that is in the pipe. */
static char *drain(int fd)
{
	char *text = g_malloc(PIPE_BYTES + 1);
	size_t n = 0;
	ssize_t got;

	while (n < PIPE_BYTES && (got = read(fd, text + n, PIPE_BYTES - n)) > 0)
		n += (size_t)got;
	text[n] = '\0';
	return text;
}

START_TEST(test_full_pipe)
{
	char *text;
	int fd[2];

	ck_assert_int_eq(pipe(fd), 0);
	ck_assert_int_eq(fcntl(fd[0], F_SETFL, O_NONBLOCK), 0);
	log_open(fd[1], LOG_INFO, true);
	for (int i = 0; i < LINES; i++)
		log_line(LOG_INFO, "filler", "i=%d", i);
	ck_assert_uint_gt(log_dropped(), 0);
	text = drain(fd[0]);
	ck_assert_ptr_nonnull(strstr(text, "i=0\n"));
	g_free(text);
	for (int i = 0; i < 2 * FLUSHES; i++) {
		log_flush();
		g_free(drain(fd[0]));
	}
	log_line(LOG_INFO, "after", "x=1");
	log_flush();
	text = drain(fd[0]);
	ck_assert_ptr_nonnull(strstr(text, "event=log_dropped lines="));
	ck_assert_ptr_nonnull(strstr(text, "event=after x=1"));
	g_free(text);
	log_open(2, LOG_INFO, false);
	close(fd[0]);
	close(fd[1]);
}
END_TEST

typedef struct level_case {
	log_level_t max;
	log_level_t line;
	bool written;
} level_case_t;

static const level_case_t levels[] = {
	{ LOG_INFO, LOG_ERROR, true },	{ LOG_INFO, LOG_INFO, true },
	{ LOG_INFO, LOG_DEBUG, false }, { LOG_ERROR, LOG_WARN, false },
	{ LOG_DEBUG, LOG_DEBUG, true },
};

START_TEST(test_levels)
{
	const level_case_t *c = &levels[_i];
	char *text;
	int fd[2];

	ck_assert_int_eq(pipe(fd), 0);
	ck_assert_int_eq(fcntl(fd[0], F_SETFL, O_NONBLOCK), 0);
	log_open(fd[1], c->max, true);
	ck_assert(log_enabled(c->line) == c->written);
	log_line(c->line, "event", "x=1");
	log_flush();
	text = drain(fd[0]);
	ck_assert((strstr(text, "event=event x=1\n") != NULL) == c->written);
	g_free(text);
	log_open(2, LOG_INFO, false);
	close(fd[0]);
	close(fd[1]);
}
END_TEST

/* Text from outside stays within its line. */
START_TEST(test_controls)
{
	char *text;
	int fd[2];

	ck_assert_int_eq(pipe(fd), 0);
	ck_assert_int_eq(fcntl(fd[0], F_SETFL, O_NONBLOCK), 0);
	log_open(fd[1], LOG_INFO, true);
	log_line(LOG_INFO, "event", "key=%s", "a\nlevel=error\r\x1b[2Jb");
	log_flush();
	text = drain(fd[0]);
	ck_assert_ptr_nonnull(strstr(text, "key=a?level=error??[2Jb\n"));
	g_free(text);
	log_open(2, LOG_INFO, false);
	close(fd[0]);
	close(fd[1]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("log");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_test(t, test_full_pipe);
	tcase_add_test(t, test_controls);
	tcase_add_loop_test(t, test_levels, 0, G_N_ELEMENTS(levels));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
