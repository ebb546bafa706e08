/** @file versions.c @brief Software versions of the servers of a service. */
#include <string.h>

#include <glib.h>

#include "versions.h"

struct versions {
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

void versions_observe(struct versions *versions, const char *version,
		      bool several, int64_t now)
{
	bool replaced =
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

static bool were_several_within(const struct versions *versions,
				int64_t window_ms, int64_t now)
{
	return versions->were_several && now - versions->until_ms < window_ms;
}

bool versions_are_mixed(const struct versions *versions, int64_t window_ms,
			int64_t now)
{
	return versions->several ||
	       were_several_within(versions, window_ms, now);
}

const char *versions_unrecorded(const struct versions *versions,
				int64_t window_ms, int64_t now)
{
	/* Streams of before are recorded, or their record was lost. */
	if (were_several_within(versions, window_ms, now))
		return NULL;
	if (versions->several && now - versions->since_ms >= window_ms)
		return NULL;
	return versions->sole;
}
