/** @file versions.c @brief Software versions of the servers of a service. */
#include <string.h>

#include <glib.h>

#include "versions.h"

enum {
	GAP_MS = 2500, /* without a look at the list: changes are missed */
};

struct versions {
	bool observed;
	int64_t watched_since_ms; /* without a gap */
	int64_t observed_ms;	  /* the last look */
	char *sole; /* the version while it is or was the only one, or NULL */
	bool several;
	bool were_several; /* at some time before */
	int64_t since_ms;  /* when several were listed first */
	int64_t until_ms;  /* when they no longer were */
};

struct versions *versions_create(void)
{
	return g_new0(struct versions, 1);
}

void versions_destroy(struct versions *versions)
{
	if (versions == NULL)
		return;
	g_free(versions->sole);
	g_free(versions);
}

static void set_sole(struct versions *versions, const char *version)
{
	g_free(versions->sole);
	versions->sole = g_strdup(version);
}

/* What was seen before a gap says nothing of the time after it. */
static void forget(struct versions *versions, int64_t now)
{
	set_sole(versions, NULL);
	versions->several = false;
	versions->were_several = false;
	versions->observed = true;
	versions->watched_since_ms = now;
}

void versions_observe(struct versions *versions, const char *version,
		      bool several, int64_t now)
{
	bool replaced;

	if (!versions->observed || now - versions->observed_ms > GAP_MS)
		forget(versions, now);
	versions->observed_ms = now;
	replaced =
		versions->sole != NULL && strcmp(versions->sole, version) != 0;
	if (several) {
		if (!versions->several)
			versions->since_ms = now;
		versions->several = true;
		return;
	}
	if (versions->several || replaced) {
		versions->were_several = true;
		versions->until_ms = now;
	}
	versions->several = false;
	set_sole(versions, version);
}

/* Whether the list was watched for the whole window. */
static bool has_watched(const struct versions *versions, int64_t window_ms,
			int64_t now)
{
	return versions->observed && now - versions->observed_ms <= GAP_MS &&
	       now - versions->watched_since_ms >= window_ms;
}

static bool were_several_within(const struct versions *versions,
				int64_t window_ms, int64_t now)
{
	return versions->were_several && now - versions->until_ms < window_ms;
}

bool versions_are_mixed(const struct versions *versions, int64_t window_ms,
			int64_t now)
{
	return versions->several ||
	       were_several_within(versions, window_ms, now) ||
	       !has_watched(versions, window_ms, now);
}

bool versions_need_record(const struct versions *versions, int64_t window_ms,
			  int64_t now)
{
	return versions->several &&
	       now - versions->since_ms < window_ms + VERSIONS_SKEW_MS;
}

const char *versions_unrecorded(const struct versions *versions,
				int64_t window_ms, int64_t now)
{
	/* Streams of before are recorded, or their record was lost. */
	if (!has_watched(versions, window_ms, now) ||
	    were_several_within(versions, window_ms, now))
		return NULL;
	if (versions->several && now - versions->since_ms >= window_ms)
		return NULL;
	return versions->sole;
}
