/* Names and HTTP statuses of the result codes. */
#include "base/fns.h"

typedef struct code_row {
	code_t code;
	const char *name;
	int http_status;
} code_row_t;

static const code_row_t rows[] = {
	{ CODE_OK, "ok", 200 },
	{ CODE_SYNTAX, "syntax", 400 },
	{ CODE_UNKNOWN_KEY, "unknown-key", 400 },
	{ CODE_MISSING_KEY, "missing-key", 400 },
	{ CODE_BAD_TYPE, "bad-type", 400 },
	{ CODE_OUT_OF_RANGE, "out-of-range", 400 },
	{ CODE_UNKNOWN_SECTION, "unknown-section", 400 },
	{ CODE_BAD_REFERENCE, "bad-reference", 400 },
	{ CODE_FILE, "file", 500 },
	{ CODE_BAD_REQUEST, "bad-request", 400 },
	{ CODE_NO_SERVICE, "no-service", 404 },
	{ CODE_TOO_LARGE, "too-large", 413 },
	{ CODE_BAD_KEY, "bad-key", 401 },
	{ CODE_OVER_LIMIT, "over-limit", 429 },
	{ CODE_SHED, "shed", 503 },
	{ CODE_CANNOT_FINISH, "cannot-finish", 503 },
	{ CODE_EXPIRED_WAITING, "expired-waiting", 503 },
	{ CODE_STOPPING, "stopping", 503 },
	{ CODE_DUPLICATE, "duplicate", 409 },
	{ CODE_NO_CLAIM, "no-claim", 503 },
	{ CODE_NO_SERVER, "no-server", 503 },
	{ CODE_GRANT_LAPSED, "grant-lapsed", 503 },
	{ CODE_NOT_SENT, "not-sent", 503 },
	{ CODE_NOT_LOADED, "not-loaded", 503 },
	{ CODE_CALLER_GONE, "caller-gone", 499 },
	{ CODE_QUOTA_UNKNOWN, "quota-unknown", 503 },
	{ CODE_QUARANTINED, "quarantined", 503 },
	{ CODE_PATH_LOST, "path-lost", 502 },
	{ CODE_CUT, "cut", 502 },
	{ CODE_EXPIRED_RUNNING, "expired-running", 504 },
	{ CODE_CANCELLED, "cancelled", 499 },
	{ CODE_BAD_ANSWER, "bad-answer", 502 },
	{ CODE_TRUNCATED, "truncated", 500 },
	{ CODE_FRAME_TOO_LARGE, "frame-too-large", 500 },
	{ CODE_UNKNOWN_TYPE, "unknown-type", 500 },
	{ CODE_WRONG_VERSION, "wrong-version", 500 },
	{ CODE_BAD_FIELD, "bad-field", 500 },
	{ CODE_BAD_MAC, "bad-mac", 500 },
	{ CODE_SILENT, "silent", 500 },
	{ CODE_UNREACHABLE, "unreachable", 503 },
	{ CODE_THROTTLED, "throttled", 503 },
	{ CODE_ANSWER_LOST, "answer-lost", 503 },
	{ CODE_FORGOTTEN, "forgotten", 500 },
	{ CODE_BAD_RECORD, "bad-record", 500 },
	{ CODE_CONFLICT, "conflict", 409 },
	{ CODE_BAD_PLAN, "bad-plan", 400 },
	{ CODE_TOO_LATE, "too-late", 409 },
	{ CODE_STALE_FENCE, "stale-fence", 409 },
};

static const code_row_t *find_row(code_t code)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (rows[i].code == code)
			return &rows[i];
	}
	return NULL;
}

/* Returns the short name of a code, or "unknown-code" for other numbers. */
const char *code_name(code_t code)
{
	const code_row_t *row = find_row(code);

	return row ? row->name : "unknown-code";
}

/* Returns whether the code says no byte of a request reached an engine. */
bool code_not_run(code_t code)
{
	return code >= CODE_BAD_REQUEST && code < CODE_PATH_LOST;
}

/* Returns the HTTP status that a caller gets for the code. */
int code_http_status(code_t code)
{
	const code_row_t *row = find_row(code);

	return row ? row->http_status : 500;
}

/* The GError domain whose codes are of type code_t. */
GQuark code_quark(void)
{
	return g_quark_from_static_string("chestnuthinge");
}
