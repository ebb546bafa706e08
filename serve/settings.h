/**
 * @file settings.h
 * @brief Settings of a process: a JSON file with comments.
 *
 * Unknown and repeated names are errors, and all errors are reported at once.
 */
#ifndef APS_SETTINGS_H
#define APS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Value of "platform" for tables in the memory of this process. */
#define SETTINGS_EMBEDDED "embedded"

/** Describes a setting: its name, type, bounds and default. */
struct settings_field {
	const char *name;
	/** In the target, of a char *, uint32_t or, for a fraction, double. */
	size_t offset;
	enum settings_type {
		SETTINGS_STRING,
		SETTINGS_ADDRESS,
		SETTINGS_INTEGER,
		SETTINGS_TRUNCATED, /**< a number whose fraction is dropped */
		/** From 0 to 1; the bounds and the default are in thousandths.
		 */
		SETTINGS_FRACTION,
	} type;
	bool required;
	uint32_t default_value;
	uint32_t min;
	uint32_t max;
};

/**
 * Reads a settings file into @p target, a structure described by @p fields.
 *
 * @param errors receives one "file: error" line for each error
 * @return false if there is any error; strings must be freed in either case
 */
bool settings_load(const char *path, const struct settings_field *fields,
		   size_t count, void *target, GString *errors);
/** Like settings_load(), for @p text; @p name is used in messages. */
bool settings_load_text(const char *text, const char *name,
			const struct settings_field *fields, size_t count,
			void *target, GString *errors);
/** Frees the strings of @p target. */
void settings_clear(const struct settings_field *fields, size_t count,
		    void *target);

/** Settings of a process; unset strings are NULL. */
struct settings {
	char *id;	/**< name of the instance */
	char *zone;	/**< its availability zone */
	char *http;	/**< HOST:PORT to listen on for callers and operators */
	char *peer;	/**< HOST:PORT to listen on for other instances */
	char *platform; /**< base URL of the platform, or SETTINGS_EMBEDDED */
	char *rules;	/**< initial rules file, if embedded */
	uint32_t threads;	/**< largest number of concurrent calls */
	uint32_t commit_gap_ms; /**< mean time between two commits under load */
	uint32_t max_body;	/**< longest request body, in bytes */
};

/**
 * Reads the settings of an instance.
 *
 * @param path   the file
 * @param errors receives one "file: error" line for each error
 * @return the settings, or NULL if there is any error
 */
struct settings *settings_read(const char *path, GString *errors);

/** Like settings_read(), for @p text; @p name is used in messages. */
struct settings *settings_parse(const char *text, const char *name,
				GString *errors);

/** Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings);

#endif
