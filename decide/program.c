/** @file program.c @brief State, row and history of a program. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "program.h"

static void record_free(void *p)
{
	aps__turn_record__free_unpacked(p, NULL);
}

static void child_free(void *p)
{
	aps__child__free_unpacked(p, NULL);
}

static void server_free(void *p)
{
	struct program_server *server = p;

	g_free(server->name);
	g_free(server);
}

struct program *program_create(const char *id, const char *account)
{
	struct program *program = g_new0(struct program, 1);

	program->id = g_strdup(id);
	program->shard = shard_for_name(SHARD_KIND_PROGRAM, id);
	program->account = g_strdup(account);
	program->parent = g_strdup("");
	program->end_reason = g_strdup("");
	program->records = g_ptr_array_new_with_free_func(record_free);
	program->segments = g_ptr_array_new_with_free_func(g_free);
	program->servers = g_ptr_array_new_with_free_func(server_free);
	program->children = g_ptr_array_new_with_free_func(child_free);
	CDS_INIT_LIST_HEAD(&program->turns);
	return program;
}

void program_destroy(struct program *program)
{
	if (program == NULL)
		return;
	if (program->started != NULL)
		aps__started__free_unpacked(program->started, NULL);
	g_ptr_array_unref(program->records);
	g_ptr_array_unref(program->segments);
	g_ptr_array_unref(program->servers);
	g_ptr_array_unref(program->children);
	g_free(program->id);
	g_free(program->account);
	g_free(program->parent);
	g_free(program->end_reason);
	g_free(program->storing_segment);
	g_free(program);
}

char *program_row_key(const struct program *program)
{
	return g_strdup_printf("p/%04x/%s", (unsigned)program->shard,
			       program->id);
}

static void move_lists(struct program *program, Aps__ProgramRow *row)
{
	for (size_t i = 0; i < row->n_tail; i++)
		g_ptr_array_add(program->records, row->tail[i]);
	for (size_t i = 0; i < row->n_children; i++)
		g_ptr_array_add(program->children, row->children[i]);
	for (size_t i = 0; i < row->n_segments; i++)
		g_ptr_array_add(program->segments, g_strdup(row->segments[i]));
	for (size_t i = 0; i < row->n_servers; i++)
		program_add_server(program, row->servers[i]->server,
				   row->servers[i]->incarnation);
	program->started = row->started;
	/* The program owns them now; freeing the row must not free them. */
	row->n_tail = 0;
	row->n_children = 0;
	row->started = NULL;
}

struct program *program_unpack_row(const uint8_t *buf, size_t len)
{
	Aps__ProgramRow *row = aps__program_row__unpack(NULL, len, buf);
	struct program *program;

	if (row == NULL)
		return NULL;
	program = program_create(row->program, row->account);
	g_free(program->parent);
	program->parent = g_strdup(row->parent);
	program->next_turn = row->next_turn;
	program->budget = row->budget;
	program->used = row->used;
	program->ended = row->ended;
	program->history_tokens = row->history_tokens;
	program->stored = true;
	g_free(program->end_reason);
	program->end_reason = g_strdup(row->end_reason);
	move_lists(program, row);
	program->unread_segments = program->segments->len;
	aps__program_row__free_unpacked(row, NULL);
	return program;
}

/* Returns the index of the first record that is kept in the row. */
static guint first_tail_index(const struct program *program)
{
	guint stored_turns =
		(program->segments->len - program->unread_segments) *
		PROGRAM_SEGMENT_TURNS;

	return MIN(stored_turns, program->records->len);
}

uint8_t *program_pack_row(const struct program *program, size_t *len)
{
	Aps__ProgramRow row = APS__PROGRAM_ROW__INIT;
	guint start = first_tail_index(program);
	guint n = program->servers->len;
	Aps__ServerRef *refs = g_new(Aps__ServerRef, n + 1);
	Aps__ServerRef **ref_ptrs = g_new(Aps__ServerRef *, n + 1);
	uint8_t *buf;

	for (guint i = 0; i < n; i++) {
		const struct program_server *server =
			program->servers->pdata[i];

		aps__server_ref__init(&refs[i]);
		refs[i].server = server->name;
		refs[i].incarnation = server->incarnation;
		ref_ptrs[i] = &refs[i];
	}
	row.program = program->id;
	row.account = program->account;
	row.parent = program->parent;
	row.next_turn = program->next_turn;
	row.budget = program->budget;
	row.used = program->used;
	row.ended = program->ended;
	row.end_reason = program->end_reason;
	row.history_tokens = program->history_tokens;
	row.started = program->started;
	row.n_tail = program->records->len - start;
	row.tail = (Aps__TurnRecord **)program->records->pdata + start;
	row.n_servers = n;
	row.servers = ref_ptrs;
	row.n_children = program->children->len;
	row.children = (Aps__Child **)program->children->pdata;
	row.n_segments = program->segments->len;
	row.segments = (char **)program->segments->pdata;
	buf = msg_pack(&row.base, len);
	g_free(refs);
	g_free(ref_ptrs);
	return buf;
}

const Aps__TurnRecord *program_find_record(const struct program *program,
					   uint32_t turn)
{
	for (guint i = 0; i < program->records->len; i++) {
		const Aps__TurnRecord *record = program->records->pdata[i];

		if (record->turn == turn)
			return record;
	}
	return NULL;
}

void program_append_record(struct program *program, const Aps__Request *request,
			   const Aps__Outcome *outcome)
{
	Aps__TurnRecord record = APS__TURN_RECORD__INIT;

	record.turn = program->next_turn++;
	record.body_hash = request->body_hash;
	record.body = request->body;
	record.outcome = (Aps__Outcome *)outcome;
	g_ptr_array_add(program->records, msg_dup(&record.base));
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const uint8_t *)text, (guint)strlen(text));
}

/* Appends @data escaped for use in a JSON string. */
static void append_escaped(GByteArray *out, ProtobufCBinaryData data)
{
	char hex[8];

	for (size_t i = 0; i < data.len; i++) {
		uint8_t c = data.data[i];

		if (c == '"' || c == '\\') {
			append_text(out, "\\");
			g_byte_array_append(out, &c, 1);
		} else if (c < 0x20) {
			snprintf(hex, sizeof(hex), "\\u%04x", c);
			append_text(out, hex);
		} else {
			g_byte_array_append(out, &c, 1);
		}
	}
}

GByteArray *program_build_prompt(const struct program *program,
				 const Aps__Request *request)
{
	GByteArray *prompt = g_byte_array_new();

	for (guint i = 0; i < program->records->len &&
			  request->kind == APS__CALL_KIND__MODEL;
	     i++) {
		const Aps__TurnRecord *record = program->records->pdata[i];

		g_byte_array_append(prompt, record->body.data,
				    (guint)record->body.len);
		append_text(prompt, ",{\"role\":\"assistant\",\"content\":\"");
		append_escaped(prompt, record->outcome->answer);
		append_text(prompt, "\"},");
	}
	g_byte_array_append(prompt, request->body.data,
			    (guint)request->body.len);
	return prompt;
}

void program_add_server(struct program *program, const char *name,
			uint64_t incarnation)
{
	struct program_server *server;

	for (guint i = 0; i < program->servers->len; i++) {
		server = program->servers->pdata[i];
		if (strcmp(server->name, name) != 0)
			continue;
		if (incarnation != 0)
			server->incarnation = incarnation;
		return;
	}
	server = g_new0(struct program_server, 1);
	server->name = g_strdup(name);
	server->incarnation = incarnation;
	server->program = program;
	g_ptr_array_add(program->servers, server);
}

bool program_has_segment_due(const struct program *program)
{
	return program->storing_segment == NULL &&
	       program->records->len - first_tail_index(program) >
		       PROGRAM_TAIL_TURNS_MAX;
}

uint8_t *program_pack_segment(const struct program *program, char **name,
			      size_t *len)
{
	Aps__Segment segment = APS__SEGMENT__INIT;
	guint start = first_tail_index(program);
	const Aps__TurnRecord *first = program->records->pdata[start];

	segment.n_turns = PROGRAM_SEGMENT_TURNS;
	segment.turns = (Aps__TurnRecord **)program->records->pdata + start;
	*name = g_strdup_printf("h/%s/%06" PRIu32, program->id, first->turn);
	return msg_pack(&segment.base, len);
}

void program_segment_stored(struct program *program, const char *name)
{
	g_ptr_array_add(program->segments, g_strdup(name));
}

bool program_load_segment(struct program *program, const uint8_t *buf,
			  size_t len)
{
	Aps__Segment *segment = aps__segment__unpack(NULL, len, buf);

	if (segment == NULL || segment->n_turns != PROGRAM_SEGMENT_TURNS) {
		if (segment != NULL)
			aps__segment__free_unpacked(segment, NULL);
		return false;
	}
	for (size_t i = 0; i < segment->n_turns; i++)
		g_ptr_array_insert(program->records, (gint)i,
				   segment->turns[i]);
	segment->n_turns = 0;
	aps__segment__free_unpacked(segment, NULL);
	program->unread_segments--;
	return true;
}
