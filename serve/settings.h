/**
 * @file settings.h
 * @brief Settings of one process: JSON with comments, checked whole.
 */
#ifndef APS_SETTINGS_H
#define APS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Value of "platform" that keeps the tables in this process. */
#define SETTINGS_EMBEDDED "embedded"

/** One setting: a string, an address, or a number with its bounds. */
struct settings_field {
	const char *name;
	size_t offset; /**< of a char *, or of a uint32_t for numbers */
	enum settings_type {
		SETTINGS_STRING,
		SETTINGS_ADDRESS,
		SETTINGS_INTEGER,
		SETTINGS_TRUNCATED, /**< a fraction counts as the whole below */
	} type;
	bool required;
	uint32_t preset;
	uint32_t min;
	uint32_t max;
};

/**
 * Reads a file of settings into @p target, a structure of @p fields.
 *
 * @param errors receives one "file: fault" line for each fault
 * @return false if there is any fault; strings are to be freed all the same
 */
bool settings_load(const char *path, const struct settings_field *fields,
		   size_t count, void *target, GString *errors);
/** Reads settings from @p text; @p name is used in messages. */
bool settings_load_text(const char *text, const char *name,
			const struct settings_field *fields, size_t count,
			void *target, GString *errors);
/** Frees the strings of @p target. */
void settings_clear(const struct settings_field *fields, size_t count,
		    void *target);

/** Settings of a process; unset strings are NULL. */
struct settings {
	char *id;	  /**< name of the instance */
	char *zone;	  /**< its availability zone */
	char *http;	  /**< HOST:PORT for callers and operators */
	char *peer;	  /**< HOST:PORT for other instances */
	char *platform;	  /**< base URL of the platform, or SETTINGS_EMBEDDED */
	char *rules;	  /**< rules file to begin with, if embedded */
	uint32_t threads; /**< calls served at once */
	uint32_t commit_gap_ms; /**< mean time between two commits under load */
	uint32_t max_body;	/**< longest body of a call, in bytes */
};

/**
 * Reads settings.
 *
 * @param path   the file
 * @param errors receives one "file: fault" line for each fault
 * @return the settings, or NULL if there is any fault
 */
struct settings *settings_read(const char *path, GString *errors);

/** Parses settings from @p text; @p name is used in messages. */
struct settings *settings_parse(const char *text, const char *name,
				GString *errors);

/** Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings);

#endif
