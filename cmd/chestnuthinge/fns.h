/* Prototypes of the operators' tool. */
#ifndef TOOL_FNS_H
#define TOOL_FNS_H

#include "dat.h"

/* Commands: each returns an exit code. */
int run_check(int argc, char **argv);
int run_plan(int argc, char **argv);
int run_confirm(int argc, char **argv);
int run_status(int argc, char **argv);
int run_watch(int argc, char **argv);
int run_drain(int argc, char **argv);
int run_explain(int argc, char **argv);
int run_burn(int argc, char **argv);
int run_top(int argc, char **argv);
int run_losses(int argc, char **argv);

/* opts.c */
bool options_parse(const command_t *c, const GOptionEntry *more, options_t *o,
		   int *argc, char ***argv);
void options_clear(options_t *o);
int usage_error(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
int failure(const char *fmt, ...) G_GNUC_PRINTF(1, 2);
const command_t *command_find(const char *name);

/* tool.c */
bool tool_open(tool_t *t, const options_t *o, const ledger_ops_t *ops,
	       void *ctx);
void tool_read(tool_t *t);
void tool_append(tool_t *t, const char *record, log_appended_t done);
void tool_timeout(tool_t *t, ms_t timeout);
void tool_end(tool_t *t, exit_code_t code);
exit_code_t tool_run(tool_t *t);
void tool_close(tool_t *t);
int tool_read_to_end(const options_t *o, void *ctx,
		     void (*caught_up)(tool_t *t));

/* scrape.c */
GPtrArray *scrape_parse(str_t text); /* array of tally_t */
tally_t *tally_find(const GPtrArray *all, const char *service, int tier);
tally_t *tally_get(GPtrArray *all, const char *service, int tier);
GPtrArray *tallies_new(void);

/* logline.c */
enum {
	LOG_STAMP_BYTES = 24, /* 2026-01-01T00:00:00.000Z */
};
const char *log_stamp(const char *line);
char *log_field(const char *line, const char *name);
int64_t log_number(const char *line, const char *name, int64_t otherwise);

/* pages.c */
char *page_get(const char *host, const char *path, code_t *code);

#endif
