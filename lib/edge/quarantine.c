/* Parts of prompts that crash servers: what hosts report to each other. */
#include "edge/priv.h"

/* A full listing of the reports begins: forgets those known. */
void edge_crashes_listing(edge_t *e)
{
}

/* A host's report of a server that ended. */
void edge_crash_reported(edge_t *e, const char *host, const crash_report_t *c,
			 uint64_t number, ms_t now)
{
}

/* Some host has had a whole answer to a request with the part. */
void edge_part_answered(edge_t *e, prompt_part_t part, uint64_t number,
			ms_t now)
{
}

/* Whether reports of crashes are to be expected soon. */
bool edge_crashes_pending(const edge_t *e, ms_t now)
{
	return false;
}

/* Names the records that are no longer needed. */
void edge_crashes_expired(edge_t *e, void (*drop)(void *ctx, uint64_t number),
			  void *ctx, ms_t now)
{
}
