/** @file caller.c @brief A caller that drives one agent program over HTTP. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "test/standins/caller.h"

enum {
	CALL_TIMEOUT_MS = 60000,
	TOOL_PAUSE_US = 100000,
	TRIES_MAX = 60,
	RETRY_US = 500000,
};

/* One turn and what came back. */
struct turn {
	const char *key;
	const char *program;
	int number;
	const char *path;
	const char *method;
	char *body;
	GString *answer;
	long status;
	double first_s;
	double total_s;
};

static size_t on_write(char *buf, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, buf, (gssize)(size * n));
	return size * n;
}

static CURLcode send_turn(struct turn *turn, const char *base)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = NULL;
	char *url = g_strdup_printf("%s%s", base, turn->path);
	char line[256];
	CURLcode code;

	snprintf(line, sizeof(line), "Authorization: Bearer %s", turn->key);
	headers = curl_slist_append(headers, line);
	snprintf(line, sizeof(line), "X-Program: %s", turn->program);
	headers = curl_slist_append(headers, line);
	snprintf(line, sizeof(line), "X-Turn: %d", turn->number);
	headers = curl_slist_append(headers, line);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	g_string_truncate(turn->answer, 0);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, turn->answer);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, turn->body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, turn->method);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &turn->status);
	curl_easy_getinfo(easy, CURLINFO_STARTTRANSFER_TIME, &turn->first_s);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &turn->total_s);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	g_free(url);
	return code;
}

static gboolean whole(const struct turn *turn, CURLcode code)
{
	if (code != CURLE_OK || turn->status != 200)
		return FALSE;
	if (!g_str_has_prefix(turn->answer->str, "data:"))
		return TRUE;
	return strstr(turn->answer->str, "data: [DONE]") != NULL;
}

/* A turn is sent again, under its number, until it is answered. */
static gboolean run_turn(struct turn *turn, char **urls, int nurls)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		const char *url = urls[(turn->number + i) % nurls];
		CURLcode code = send_turn(turn, url);

		printf("turn %d via %s: status %ld, first byte %.0f ms, "
		       "total %.0f ms%s\n",
		       turn->number, url, turn->status, turn->first_s * 1000,
		       turn->total_s * 1000,
		       whole(turn, code) ? "" : ", sent again");
		fflush(stdout);
		if (whole(turn, code))
			return TRUE;
		printf("  %s: %.200s\n", curl_easy_strerror(code),
		       turn->answer->str);
		if (turn->status == 401 || turn->status == 400)
			return FALSE;
		usleep(RETRY_US);
	}
	return FALSE;
}

static char *chat_body(int number)
{
	return g_strdup_printf(
		"{\"model\":\"kitchen-model\",\"stream\":true,"
		"\"max_tokens\":64,\"messages\":[{\"role\":\"user\","
		"\"content\":\"turn %d of the coaching chat out=24\"}]}",
		number);
}

int caller_run_program(const char *key, const char *name, int turns,
		       char **urls, int nurls)
{
	char *end_path = g_strdup_printf("/v1/programs/%s", name);
	int failed = 0;

	for (int i = 0; i <= turns && !failed; i++) {
		gboolean tool = i == turns - 2;
		struct turn turn = {.key = key,
				    .program = name,
				    .number = i,
				    .path = tool ? "/v1/services/orders"
						 : "/v1/chat/completions",
				    .method = "POST",
				    .answer = g_string_new(NULL)};

		if (i == turns) {
			turn.path = end_path;
			turn.method = "DELETE";
		}
		turn.body = tool ? g_strdup("{\"order\":\"reprint\"}")
				 : chat_body(i);
		failed = !run_turn(&turn, urls, nurls);
		if (!failed && !g_str_has_prefix(turn.answer->str, "data:"))
			printf("  answer: %.200s\n", turn.answer->str);
		g_free(turn.body);
		g_string_free(turn.answer, TRUE);
		usleep(TOOL_PAUSE_US);
	}
	g_free(end_path);
	printf("program %s: %s\n", name, failed ? "failed" : "whole");
	return failed;
}

int caller_post(const char *url, const char *body, char **headers, int nheaders)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *list = NULL;
	GString *answer = g_string_new(NULL);
	long status = 0;
	CURLcode code;

	for (int i = 0; i < nheaders; i++)
		list = curl_slist_append(list, headers[i]);
	list = curl_slist_append(list, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld %s\n", status, answer->str);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	g_string_free(answer, TRUE);
	return code != CURLE_OK;
}
