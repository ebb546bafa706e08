/** @file tableclient.c @brief Blocking client for the table. */
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "tableclient.h"

enum {
	TABLECLIENT_TIMEOUT_MS = 5000,
};

static size_t on_write(char *buf, size_t size, size_t n, void *arg)
{
	g_byte_array_append(arg, (const uint8_t *)buf, (guint)(size * n));
	return size * n;
}

/* Sends a POST request with @p body, or a GET request if it is NULL. */
static GByteArray *fetch(const char *url, const GByteArray *body,
			 GString *errors)
{
	CURL *easy = curl_easy_init();
	GByteArray *response = g_byte_array_new();
	long status = 0;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)TABLECLIENT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	if (body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 (const char *)body->data);
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	if (code == CURLE_OK && status == 200)
		return response;
	if (code != CURLE_OK)
		g_string_append_printf(errors, "%s: %s\n", url,
				       curl_easy_strerror(code));
	else
		g_string_append_printf(errors, "%s: HTTP status %ld\n", url,
				       status);
	g_byte_array_unref(response);
	return NULL;
}

char *tableclient_fetch(const char *url, GString *errors)
{
	GByteArray *response = fetch(url, NULL, errors);
	char *text;

	if (response == NULL)
		return NULL;
	text = g_strndup((const char *)response->data, response->len);
	g_byte_array_unref(response);
	return text;
}

Aps__TableReply *tableclient_request(const char *platform,
				     const Aps__TableRequest *request,
				     GString *errors)
{
	char *url = g_strdup_printf("%s/table", platform);
	GByteArray *body = g_byte_array_new();
	GByteArray *response;
	Aps__TableReply *reply = NULL;

	g_byte_array_set_size(
		body, (guint)aps__table_request__get_packed_size(request));
	aps__table_request__pack(request, body->data);
	response = fetch(url, body, errors);
	if (response != NULL) {
		reply = aps__table_reply__unpack(NULL, response->len,
						 response->data);
		if (reply == NULL)
			g_string_append_printf(errors, "%s: malformed reply\n",
					       url);
		g_byte_array_unref(response);
	}
	g_byte_array_unref(body);
	g_free(url);
	return reply;
}

Aps__TableReply *tableclient_get(const char *platform, const char *key,
				 GString *errors)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	char *keys = (char *)key;

	request.op = APS__TABLE_REQUEST__OP__GET;
	request.n_keys = 1;
	request.keys = &keys;
	return tableclient_request(platform, &request, errors);
}
