/** @file http_parse.c @brief Parses a caller's HTTP request. */
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#include "http_parse.h"

enum {
	HTTP_PARSE_KEY_MAX = 256, /* bytes; also for idempotency keys */
	HTTP_PARSE_TURN_MAX = 1000000,
	HTTP_PARSE_TIMEOUT_MAX_MS = 3600000,
	HTTP_PARSE_JSON_DEPTH_MAX = 32,
};

#define HTTP_PARSE_BUDGET_MAX_TOKENS UINT64_C(1000000000000)

/* State of a parse; status and reason are set when the call is refused. */
struct parse {
	const struct http_parse_input *input;
	const struct rules *rules;
	struct http_parse_result *call;
	uint32_t status;
	const char *reason;
};

static bool refuse(struct parse *p, uint32_t status, const char *reason)
{
	p->status = status;
	p->reason = reason;
	return false;
}

static bool parse_number(const char *text, uint64_t max, uint64_t *value)
{
	char *end;

	if (!isdigit((unsigned char)text[0]))
		return false;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0' && *value <= max;
}

static bool parse_key(struct parse *p)
{
	static const char scheme[] = "Bearer ";
	struct http_parse_result *call = p->call;
	const struct rules_target *target;
	const struct rules_key *key;
	const char *text = p->input->authorization;

	target = call->target != NULL ? rules_target(p->rules, call->target)
				      : NULL;
	if (text == NULL) {
		if (target == NULL || !target->open)
			return refuse(p, 401, "no key");
		call->account = g_strdup(RULES_OPEN_ACCOUNT);
		return true;
	}
	if (g_ascii_strncasecmp(text, scheme, strlen(scheme)) != 0 ||
	    strlen(text) > HTTP_PARSE_KEY_MAX)
		return refuse(p, 401, "not a bearer key");
	text += strlen(scheme);
	crypto_hash_sha256(call->key_hash, (const unsigned char *)text,
			   strlen(text));
	key = rules_key(p->rules, call->key_hash);
	if (key == NULL)
		return refuse(p, 401, "key is not valid");
	call->account = g_strdup(key->account);
	call->request.key_hash.data = call->key_hash;
	call->request.key_hash.len = sizeof(call->key_hash);
	return true;
}

static bool parse_messages(struct parse *p, json_object *messages)
{
	GByteArray *body = p->call->body;
	size_t n = json_object_array_length(messages);

	if (n == 0)
		return refuse(p, 400, "messages: empty");
	for (size_t i = 0; i < n; i++) {
		json_object *message = json_object_array_get_idx(messages, i);
		const char *text;

		if (!json_object_is_type(message, json_type_object))
			return refuse(p, 400, "messages: not objects");
		text = json_object_to_json_string_ext(message,
						      JSON_C_TO_STRING_PLAIN);
		if (i > 0)
			g_byte_array_append(body, (const uint8_t *)",", 1);
		g_byte_array_append(body, (const uint8_t *)text,
				    (guint)strlen(text));
	}
	return true;
}

static bool parse_max_tokens(struct parse *p, json_object *root)
{
	json_object *value = NULL;
	int64_t max_tokens = HTTP_PARSE_DEFAULT_MAX_TOKENS;

	if (json_object_object_get_ex(root, "max_tokens", &value)) {
		max_tokens = json_object_get_int64(value);
		if (!json_object_is_type(value, json_type_int) ||
		    max_tokens < 1 || max_tokens > HTTP_PARSE_MAX_TOKENS_LIMIT)
			return refuse(p, 400, "max_tokens: out of bounds");
	}
	p->call->request.max_out = (uint32_t)max_tokens;
	return true;
}

static bool parse_chat_object(struct parse *p, json_object *root)
{
	json_object *value = NULL;

	if (!json_object_is_type(root, json_type_object))
		return refuse(p, 400, "body: not a JSON object");
	if (!json_object_object_get_ex(root, "model", &value) ||
	    !json_object_is_type(value, json_type_string))
		return refuse(p, 400, "model: missing");
	p->call->target = g_strdup(json_object_get_string(value));
	if (json_object_object_get_ex(root, "stream", &value))
		p->call->stream = json_object_get_boolean(value);
	if (!json_object_object_get_ex(root, "messages", &value) ||
	    !json_object_is_type(value, json_type_array))
		return refuse(p, 400, "messages: missing");
	return parse_max_tokens(p, root) && parse_messages(p, value);
}

static bool parse_chat(struct parse *p)
{
	struct json_tokener *tok =
		json_tokener_new_ex(HTTP_PARSE_JSON_DEPTH_MAX);
	json_object *root;
	bool ok;

	root = json_tokener_parse_ex(tok, p->input->body,
				     (int)p->input->body_len);
	if (root == NULL)
		ok = refuse(p, 400, "body: not JSON");
	else
		ok = parse_chat_object(p, root);
	json_object_put(root);
	json_tokener_free(tok);
	p->call->request.kind = APS__CALL_KIND__MODEL;
	return ok;
}

static bool parse_body(struct parse *p)
{
	struct http_parse_result *call = p->call;

	if (p->input->end) {
		call->request.kind = APS__CALL_KIND__END;
		return true;
	}
	if (p->input->service == NULL)
		return parse_chat(p);
	call->request.kind = APS__CALL_KIND__SERVICE;
	call->target = g_strdup(p->input->service);
	g_byte_array_append(call->body, (const uint8_t *)p->input->body,
			    (guint)p->input->body_len);
	return true;
}

static bool check_target(struct parse *p)
{
	struct http_parse_result *call = p->call;
	const struct rules_target *target;

	if (p->input->end)
		return true;
	target = rules_target(p->rules, call->target);
	if (target == NULL || target->is_model != (p->input->service == NULL))
		return refuse(p, 404, "unknown model or service");
	call->request.repeatable = target->repeatable;
	return true;
}

static bool parse_turn(struct parse *p)
{
	uint64_t turn = 0;

	if (p->input->end)
		return true;
	if (p->input->turn == NULL)
		return refuse(p, 400, "X-Turn: missing");
	if (!parse_number(p->input->turn, HTTP_PARSE_TURN_MAX, &turn))
		return refuse(p, 400, "X-Turn: not a turn number");
	p->call->request.turn = (uint32_t)turn;
	return true;
}

/* Program names are prefixed with the account: accounts may use equal names. */
static bool parse_program(struct parse *p, const char *call_name)
{
	struct http_parse_result *call = p->call;
	const struct http_parse_input *in = p->input;
	uint8_t hash[RULES_HASH_BYTES];
	char hex[2 * sizeof(hash) + 1];

	if (in->program != NULL) {
		if (!rules_name_is_valid(in->program))
			return refuse(p, 400, "X-Program: not a name");
		call->program =
			g_strdup_printf("%s/%s", call->account, in->program);
		return parse_turn(p);
	}
	if (in->idempotency_key != NULL) {
		if (in->idempotency_key[0] == '\0' ||
		    strlen(in->idempotency_key) > HTTP_PARSE_KEY_MAX)
			return refuse(p, 400, "Idempotency-Key: bad length");
		crypto_hash_sha256(hash,
				   (const unsigned char *)in->idempotency_key,
				   strlen(in->idempotency_key));
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		call->program =
			g_strdup_printf("%s/key:%.32s", call->account, hex);
		return true;
	}
	call->program = g_strdup_printf("%s/once:%s", call->account, call_name);
	call->request.transient = true;
	return true;
}

static bool parse_limits(struct parse *p)
{
	const struct http_parse_input *in = p->input;
	uint64_t value = 0;

	if (in->budget != NULL &&
	    (!parse_number(in->budget, HTTP_PARSE_BUDGET_MAX_TOKENS, &value) ||
	     value == 0))
		return refuse(p, 400, "X-Budget: not a number of tokens");
	p->call->request.budget = value;
	value = HTTP_PARSE_DEFAULT_TIMEOUT_MS;
	if (in->timeout_ms != NULL &&
	    (!parse_number(in->timeout_ms, HTTP_PARSE_TIMEOUT_MAX_MS, &value) ||
	     value == 0))
		return refuse(p, 400, "X-Timeout-Ms: not a time");
	p->call->deadline_ms = (uint32_t)value;
	if (in->parent == NULL)
		return true;
	if (!rules_name_is_valid(in->parent))
		return refuse(p, 400, "X-Parent: not a name");
	p->call->parent =
		g_strdup_printf("%s/%s", p->call->account, in->parent);
	return true;
}

static void fill_request(struct http_parse_result *call)
{
	Aps__Request *request = &call->request;
	crypto_hash_sha256_state state;

	request->account = call->account;
	request->program = call->program;
	if (call->target != NULL)
		request->target = call->target;
	if (call->parent != NULL)
		request->parent = call->parent;
	request->body.data = call->body->data;
	request->body.len = call->body->len;
	crypto_hash_sha256_init(&state);
	crypto_hash_sha256_update(&state, (const uint8_t *)request->target,
				  strlen(request->target));
	crypto_hash_sha256_update(&state, request->body.data,
				  request->body.len);
	crypto_hash_sha256_final(&state, call->body_hash);
	request->body_hash.data = call->body_hash;
	request->body_hash.len = sizeof(call->body_hash);
}

struct http_parse_result *
http_parse_request(const struct http_parse_input *input,
		   const struct rules *rules, const char *call_name,
		   uint32_t *status, const char **reason)
{
	struct http_parse_result *call = g_new0(struct http_parse_result, 1);
	struct parse p = {.input = input, .rules = rules, .call = call};

	aps__request__init(&call->request);
	call->body = g_byte_array_new();
	if (parse_body(&p) && parse_key(&p) && check_target(&p) &&
	    parse_program(&p, call_name) && parse_limits(&p)) {
		fill_request(call);
		return call;
	}
	*status = p.status;
	*reason = p.reason;
	http_parse_free(call);
	return NULL;
}

void http_parse_free(struct http_parse_result *call)
{
	if (call == NULL)
		return;
	g_byte_array_unref(call->body);
	g_free(call->account);
	g_free(call->program);
	g_free(call->parent);
	g_free(call->target);
	g_free(call);
}
