/* Types of the operators' command line tool. */
#ifndef TOOL_DAT_H
#define TOOL_DAT_H

#include "ledger/fns.h"
#include "platform/fns.h"

/* Exit codes. */
typedef enum exit_code {
	EXIT_DONE = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_CONFLICT = 3,
	EXIT_UNREACHABLE = 4,
} exit_code_t;

enum {
	PLATFORM_TIMEOUT_MS = 10000, /* for the platform's answer */
	POLL_MS = 100,		     /* poll period at the end of the log */
	RETRY_MS = 500, /* delay before a failed append is sent again */
};

/* Options that most commands share. */
typedef struct options {
	char *platform;
	char *ns;	 /* namespace of the streams */
	char *conf_path; /* file with the platform's address and namespace */
	char **entries;	 /* IP:PORT of each entry; NULL-terminated */
} options_t;

typedef struct tool tool_t;

/* A command that runs on a loop and reads the config stream. */
struct tool {
	uv_loop_t loop;
	uv_timer_t timeout;
	uv_timer_t timer; /* retry of an append, or the end of watch */
	counters_t *counters;
	httpc_t *http;
	logc_t *log;
	ledger_t *ledger;
	uint64_t next_offset; /* offset that the next append gets */
	exit_code_t exit;
	bool caught_up; /* the log was read to its end */
	void *ctx;	/* the command's own state */
	/* Callbacks; any may be NULL. */
	void (*on_record)(tool_t *t, const log_record_t *r, code_t code);
	void (*on_caught_up)(tool_t *t);
	void (*on_reachable)(tool_t *t, bool yes);
};

/* A command of the tool. */
typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *args; /* as the usage shows them; "" none */
	const char *summary;
} command_t;

/* Counters of one service and tier, summed over codes. */
typedef struct tally {
	char *service;
	int tier;
	uint64_t total; /* all but those that the caller caused to fail */
	uint64_t good;
} tally_t;

#endif
