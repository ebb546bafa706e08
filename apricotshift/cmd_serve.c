/** @file cmd_serve.c @brief Runs one instance. */
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cmd.h"
#include "decide/rules.h"
#include "options.h"
#include "serve/http.h"
#include "serve/log.h"
#include "serve/loop.h"
#include "serve/settings.h"
#include "table/revision.h"
#include "table/tableclient.h"
#include "table/tableserver.h"

enum {
	US_PER_MS = 1000,
};

struct signal_thread {
	pthread_t thread;
	struct loop *loop;
	atomic_bool stop;
};

/* Thread that accepts the signals, which are blocked in all threads. */
static void *wait_for_signals(void *arg)
{
	struct signal_thread *signals = arg;
	sigset_t set;
	int sig = 0;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	while (sigwait(&set, &sig) == 0 && !atomic_load(&signals->stop)) {
		if (sig == SIGHUP) {
			/* Settings are read once; rules come from the table. */
			log_line(LOG_LEVEL_NOTICE,
				 "serve: SIGHUP ignored: "
				 "rules are reloaded automatically");
			continue;
		}
		log_line(LOG_LEVEL_NOTICE,
			 "serve: %s: starting graceful shutdown",
			 strsignal(sig));
		loop_drain(signals->loop);
	}
	return NULL;
}

/* Any signal wakes the thread. It is not cancelled, since it may hold the
 * log's lock. */
static void stop_signals(struct signal_thread *signals)
{
	atomic_store(&signals->stop, true);
	pthread_kill(signals->thread, SIGTERM);
	pthread_join(signals->thread, NULL);
}

static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Applies the file as the first revision of an embedded platform. */
static bool apply_first_rules(const char *platform, const char *path,
			      GString *errors)
{
	struct rev_change change = {.who = "settings", .why = path};
	Aps__TableRequest *request;
	Aps__TableReply *reply = NULL;
	struct rules *rules = NULL;
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		g_string_append_printf(errors, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	rules = rules_parse(text, 1, path, errors);
	if (rules != NULL) {
		randombytes_buf(&change.txn, sizeof(change.txn));
		change.when_ms = (uint64_t)(g_get_real_time() / US_PER_MS);
		change.text = text;
		request = rev_build_request(&change);
		reply = tableclient_request(platform, request, errors);
		aps__table_request__free_unpacked(request, NULL);
	}
	rules_destroy(rules);
	g_free(text);
	if (reply == NULL)
		return false;
	aps__table_reply__free_unpacked(reply, NULL);
	return true;
}

static int run_instance(const struct settings *settings, GString *errors)
{
	bool embedded = strcmp(settings->platform, SETTINGS_EMBEDDED) == 0;
	char *platform = embedded ? g_strdup_printf("http://%s", settings->http)
				  : g_strdup(settings->platform);
	struct tableserver *table = NULL;
	struct http *http = http_create(settings, errors);
	struct loop *loop = NULL;
	struct signal_thread signals = {0};
	int status = CMD_FAILED;

	if (http == NULL)
		goto out;
	if (embedded)
		table = tableserver_create(http_context(http));
	if (embedded && settings->rules != NULL &&
	    !apply_first_rules(platform, settings->rules, errors))
		goto out;
	loop = loop_create(settings, platform, http_set_rules, http, errors);
	signals.loop = loop;
	if (loop == NULL || pthread_create(&signals.thread, NULL,
					   wait_for_signals, &signals) != 0)
		goto out;
	http_serve(http, loop);
	log_line(LOG_LEVEL_NOTICE,
		 "serve: zone %s, listening for callers on %s, for peers on %s",
		 settings->zone, settings->http, settings->peer);
	loop_run(loop);
	log_line(LOG_LEVEL_NOTICE, "serve: shutdown complete");
	http_stop(http);
	stop_signals(&signals);
	status = CMD_OK;
out:
	http_destroy(http);
	loop_destroy(loop);
	tableserver_destroy(table);
	g_free(platform);
	return status;
}

int cmd_serve(int argc, char **argv)
{
	char *path = NULL;
	gboolean check = FALSE;
	GOptionEntry entries[] = {{"config", 'c', 0, G_OPTION_ARG_FILENAME,
				   &path, "settings of this process", "FILE"},
				  {"check", 'n', 0, G_OPTION_ARG_NONE, &check,
				   "check the settings and exit", NULL},
				  G_OPTION_ENTRY_NULL};
	GString *errors = g_string_new(NULL);
	struct settings *settings = NULL;
	int status = CMD_USAGE;

	if (!opt_parse(&argc, &argv, entries, 0, "serve -c SETTINGS [-n]") ||
	    path == NULL)
		goto out;
	settings = settings_read(path, errors);
	status = settings != NULL ? CMD_OK : CMD_REJECTED;
	if (settings == NULL || check)
		goto out;
	log_open(settings->id);
	block_signals();
	status = run_instance(settings, errors);
out:
	if (errors->len > 0)
		fprintf(stderr, "apricotshift: %s", errors->str);
	g_string_free(errors, TRUE);
	settings_destroy(settings);
	g_free(path);
	return status;
}
