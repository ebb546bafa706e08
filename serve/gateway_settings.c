/** @file gateway_settings.c @brief Reads the settings of a gateway instance. */
#include <stddef.h>

#include "gateway.h"
#include "settings.h"

#define FIELD(name, type, required, preset, min, max)                          \
	{                                                                      \
#name, offsetof(struct gw_settings, name), type, required,     \
			preset, min, max                                       \
	}

static const struct settings_field fields[] = {
	FIELD(id, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(zone, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(callers, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(ready, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(peers, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(relay, SETTINGS_ADDRESS, false, 0, 0, 0),
	FIELD(tunnel, SETTINGS_ADDRESS, false, 0, 0, 0),
	FIELD(metrics, SETTINGS_ADDRESS, false, 0, 0, 0),
	FIELD(store, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(contracts, SETTINGS_STRING, false, 0, 0, 0),
	FIELD(grace_s, SETTINGS_TRUNCATED, false, 8, 1, 3600),
	FIELD(revoke_ms, SETTINGS_TRUNCATED, false, 5000, 2000, 600000),
	FIELD(quota_slack, SETTINGS_TRUNCATED, false, 0, 0, 1000000),
	FIELD(exposure_share, SETTINGS_FRACTION, false, 100, 1, 1000),
	FIELD(exposure_slack, SETTINGS_TRUNCATED, false, 50, 0, 1000000),
	FIELD(rollback_ms, SETTINGS_TRUNCATED, false, 5000, 2500, 600000),
	FIELD(contact_ms, SETTINGS_TRUNCATED, false, 4000, 100, 600000),
	FIELD(cache_kb, SETTINGS_INTEGER, false, 3072, 64, 1048576),
	FIELD(memory_mb, SETTINGS_TRUNCATED, false, 128, 1, 1048576),
	FIELD(load_kb, SETTINGS_INTEGER, false, 16384, 64, 1048576),
	/* The minimum lifetime of rows, so they stay at most twice as long. */
	FIELD(sweep_ms, SETTINGS_INTEGER, false, 600000, 1, 86400000),
	/* By default more than a header of 4 MB has: the byte limit of the
	 * configuration is reached first. Clients send some tens of lines. */
	FIELD(max_header_lines, SETTINGS_INTEGER, false, 1048576, 64, 16777216),
};

struct gw_settings *gw_read_settings(const char *path, GString *errors)
{
	struct gw_settings *settings = g_new0(struct gw_settings, 1);

	if (settings_load(path, fields, G_N_ELEMENTS(fields), settings, errors))
		return settings;
	gw_free_settings(settings);
	return NULL;
}

void gw_free_settings(struct gw_settings *settings)
{
	if (settings == NULL)
		return;
	settings_clear(fields, G_N_ELEMENTS(fields), settings);
	g_free(settings);
}
