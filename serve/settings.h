/**
 * @file settings.h
 * @brief Settings of one process: JSON with comments, checked whole.
 */
#ifndef APS_SETTINGS_H
#define APS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Value of "platform" that keeps the tables in this process. */
#define SET_EMBEDDED "embedded"

/** Settings of a process; unset strings are NULL. */
struct settings {
	char *id;	  /**< name of the instance */
	char *zone;	  /**< its availability zone */
	char *http;	  /**< HOST:PORT for callers and operators */
	char *peer;	  /**< HOST:PORT for other instances */
	char *platform;	  /**< base URL of the platform, or SET_EMBEDDED */
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
struct settings *set_read(const char *path, GString *errors);

/** Parses settings from @p text; @p name is used in messages. */
struct settings *set_parse(const char *text, const char *name, GString *errors);

/** Frees settings; NULL is allowed. */
void set_destroy(struct settings *settings);

#endif
