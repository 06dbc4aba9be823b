/* What the files of the quarantine share. */
#ifndef EDGE_QUARANTINE_H
#define EDGE_QUARANTINE_H

#include "edge/priv.h"

enum {
	CRASHES_MIN = 3, /* lives of servers that ended with a trait */
	QUARANTINE_MS = 10 * 60 * MS_PER_S,
};

/* A host's report of a life of a server that ended. */
typedef struct report {
	char *key;  /* server, start and host */
	char *life; /* server and start */
	uint64_t number;
	ms_t seen_at; /* by this process */
	size_t ntraits;
	trait_t traits[CRASH_TRAITS_MAX];
} report_t;

/* The newest record of a whole answer to a request with a trait. */
typedef struct answered {
	trait_t trait;
	uint64_t number;
	ms_t seen_at;
} answered_t;

/* A trait that reports name, as this process knows it. */
typedef struct suspected {
	trait_t trait;
	unsigned int crashes; /* lives that ended with it since an answer */
	uint64_t newest;      /* of its reports */
	ms_t newest_seen;
	/* Of trait_t: what explains its crashes, with it; NULL: none */
	GArray *group;
	uint64_t counted; /* newest report at the last start of its term */
	ms_t until;	  /* end of the quarantine */
	ms_t term;	  /* its length */
	bool active;	  /* in quarantine at the last look */
	ms_t told_at;	  /* that it was answered; 0: not */
	/* While deriving: lives that no group explains */
	unsigned int unexplained;
	const char *last_life;
} suspected_t;

struct quarantine {
	GHashTable *reports;  /* report_t by key */
	GHashTable *former;   /* the same before the last listing */
	GHashTable *own;      /* this host's, until they are read back */
	uint64_t last_number; /* the highest of any record */
	GHashTable *answered; /* answered_t by trait */
	GHashTable *suspects; /* suspected_t by trait */
	bool changed;	      /* records, since suspects was derived */
	unsigned int nactive;
	counter_t *refused;
	counter_t *gauge;
	counter_t *left_out;
};

/* blame.c */
bool blame_counts(const quarantine_t *q, const report_t *r, trait_t trait);
GPtrArray *blame_reports(const quarantine_t *q);
bool blame_is_live(const quarantine_t *q, const report_t *r);
bool blame_names(const quarantine_t *q, const report_t *r, trait_t trait);
void blame_choose(quarantine_t *q);

/* crashrec.c */
GHashTable *crashrec_new(void);
void crashrec_clear_own(quarantine_t *q, trait_t trait);
void crashrec_expire_own(quarantine_t *q, ms_t now);

#endif
