/** @file turns_version.c @brief The software versions that began streams. */
#include <string.h>

#include "turns_int.h"

struct turns_search {
	struct store_call *call;
	turns_found_fn *found;
	void *arg;
};

void turns_version_key(char *out, const char *program_key, const char *turn_key)
{
	g_snprintf(out, VERSION_KEY_LEN, "%s/v%.*s", program_key,
		   VERSION_TURN_DIGITS, turn_key);
}

bool turns_has_version_to_store(const struct turns_turn *turn)
{
	return turn->version != NULL && !turn->version_stored;
}

static void on_row(void *arg, const struct store_response *reply)
{
	struct turns_search *search = arg;
	turns_found_fn *found = search->found;
	void *found_arg = search->arg;
	const struct store_row *row = NULL;
	char *version = NULL;
	gsize len;

	if (reply->result == STORE_OK && reply->rows->len > 0)
		row = &g_array_index(reply->rows, struct store_row, 0);
	if (row != NULL && row->value != NULL) {
		const char *value = g_bytes_get_data(row->value, &len);

		version = g_strndup(value, len);
	}
	g_free(search);
	found(found_arg,
	      version != NULL		  ? TURNS_FOUND
	      : reply->result == STORE_OK ? TURNS_NO_RECORD
					  : TURNS_UNREADABLE,
	      version);
	g_free(version);
}

struct turns_search *turns_find_version(struct turns *turns,
					const char *account,
					const char *program, const char *id,
					turns_found_fn *found, void *arg)
{
	struct turns_search *search;
	char program_key[KEY_LEN];
	char turn_key[KEY_LEN];
	char part[PART_LEN];
	char from[VERSION_KEY_LEN];
	char *to;

	turns_program_key(program_key, account, program ? program : id);
	turns_make_key(turn_key, 't', account, id);
	turns_program_part(program_key, part);
	if (!store_is_healthy(turns->store, part))
		return NULL;
	turns_version_key(from, program_key, turn_key);
	to = store_key_after(from);
	search = g_new0(struct turns_search, 1);
	search->found = found;
	search->arg = arg;
	search->call = store_read(turns->store, PROGRAMS_TABLE, part, from, to,
				  on_row, search);
	g_free(to);
	return search;
}

void turns_cancel_search(struct turns_search *search)
{
	store_cancel(search->call);
	g_free(search);
}
