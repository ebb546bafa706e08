#!/bin/bash
# Mutation test: applies one mutation at a time to a copy of the tree and prints
# which checks detect it. Not part of CI: it builds the tree once per mutant.
set -euo pipefail
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
runs=${RUNS:-400}

# try NAME FILE PERL-EXPRESSION
try() {
	rm -rf "$tmp/tree"
	mkdir "$tmp/tree"
	cp -r Makefile charts decide platform table proto test "$tmp/tree"
	cp -r serve "$tmp/tree"
	mkdir -p "$tmp/tree/apricotshift" "$tmp/tree/bench"
	perl -0pi -e "$3" "$tmp/tree/$2"
	case $1 in *"current rules") perl -0pi -e \
		's/return cfg_is_current\(member->node->config\);/return true;/' \
		"$tmp/tree/decide/member.c" ;; esac
	if cmp -s "$2" "$tmp/tree/$2"; then echo "$1: NOT APPLIED"; return; fi
	CFLAGS=-O1 make -s -j4 -C "$tmp/tree" build/scenario \
		>"$tmp/make" 2>&1 || { echo "$1: DOES NOT BUILD"; return; }
	(cd "$tmp/tree" && timeout 120 build/scenario test/scenarios/*.scn
		timeout 200 build/scenario -n "$runs" -s 1) >"$tmp/out" 2>&1 || true
	if [ "$2" = decide/ledger.c ]; then
		CFLAGS=-O1 make -s -C "$tmp/tree" build/unit/test_ledger
		"$tmp/tree/build/unit/test_ledger" >"$tmp/unit" 2>&1 ||
			echo "0 ms: test_ledger: failed" >>"$tmp/out"
	fi
	found=$(sed -n 's/^[0-9]* ms: \([a-z_ ]*\): .*/\1/p' "$tmp/out" |
		sort | uniq -c | sort -rn | head -4 |
		awk '{n=$1; $1=""; printf "%s (%d)", $0, n}')
	echo "$1:${found:- SURVIVED}"
}

try "no started record before a run" decide/owner_turn.c \
	's/if \(is_prestarted\(turn\)\) \{/if (1) {/'
try "commit without a condition on the own row" decide/commit.c \
	's/g_ptr_array_add\(conditions, &own\);//'
try "own row marked dead taken as a commit" decide/commit.c \
	's/\(self->state != APS__INSTANCE_STATE__DEAD \|\|/(1 ||/'
try "final frame sent before the commit" decide/owner_turn.c \
	's/(owner_save_program\(turn->owner, program, turn\);\n\towner_store)/owner_answer_waiters(turn);\n\t$1/'
try "no check for a valid lease or for current rules" decide/commit.c \
	's/return !commit->node->fenced &&\s*node_now_ms\(commit->node\) \+ COMMIT_LEASE_REMAINING_MIN_MS <\s*commit->lease_until_ms;/return commit->lease_until_ms > 0;/'
try "report of a new incarnation trusted" decide/owner.c \
	's/ \|\|\s*turn->dispatcher_incarnation != incarnation\)/ || incarnation == 0)/'
try "ids start at 0" decide/node.c \
	's/node->last_id = rng_next\(&node->rng\) >> NODE_ID_SHIFT;//'
try "turns run in any order" decide/owner.c \
	's/turn->number <= program->next_turn \|\|/turn->number != TURN_NUMBER_END ||/'
try "outstanding grants not deducted" decide/ledger.c \
	's/account->burst - b->outstanding/account->burst/'
try "full token bucket after a takeover" decide/ledger.c \
	's/(b->grants = g_array_new)/b->tokens = 1e9;\n\t$1/'
try "keys not checked at dispatch" decide/pool_run.c \
	's/if \(cfg_authorize\(node->rules, job->msg->request\) == NULL\)/if (0)/'
try "keys not checked anywhere" decide/config.c \
	's/if \(key == NULL \|\| strcmp\(key->account, request->account\) != 0\)\s*return NULL;\s*return rules_account\(rules, key->account\);/(void)key; return rules_account(rules, request->account);/'
try "servers taken out get new runs" decide/server.c 's/if \(server->draining \|\| /if (/'
try "no ramp-up of new servers" decide/server.c 's/server->limit = SRV_LIMIT_START;/server->limit = 8;/g'
try "load of other dispatchers ignored" decide/server.c \
	's/uint32_t foreign = reported > own \? reported - own : 0;/uint32_t foreign = 0; (void)reported; (void)own;/'
try "ended programs not released" decide/owner_program.c \
	's/request_release\(owner, program, program->servers->pdata\[i\]\);/(void)0;/'
try "reservation below the possible cost" decide/owner_turn.c \
	's/return turn->program->history_tokens \+ request->body.len \+\s*request->max_out \+ OWNER_PROMPT_OVERHEAD_TOKENS;/return request->max_out \/ 8;/'
try "lost runs not charged" decide/owner_turn.c \
	's/program->used \+= turn->reserved;//'
try "mismatched responses accepted" decide/pool_run.c \
	's/case NODE_RUN_COMPLETE:/case NODE_RUN_COMPLETE:\n\tcase NODE_RUN_MISMATCHED:/'
try "interrupted runs reported as not run" decide/pool_run.c \
	's/outcome->executed = APS__EXECUTED__UNKNOWN;\n\toutcome->reason = \(char \*\)"the backend server broke off"/outcome->executed = APS__EXECUTED__NO;\n\toutcome->reason = (char *)"the backend server broke off"/'
try "graceful stop does not wait" decide/node.c \
	's/if \(!node->draining\)\n\t\treturn false;/return node->draining;/'
try "configuration reverts" decide/config.c \
	's/if \(row->revision > revision_in_force\(config\)\)/if (1)/; s/config->newest <= revision_in_force\(config\)/0/; s/config->newest\);\n\trequest.op/config->newest - (config->node->last_id % 2));\n\trequest.op/'
try "history not loaded" decide/member.c \
	's/owner_load_program\(node->owner, shard->index, reply->rows\[i\]\);/(void)0;/'
try "no quarantine" decide/quarantine.c 's/row.marks = quarantine_crash_count\(quarantine, fingerprint\) \+ 1;/row.marks = 1;/'
try "outdated rules stay in use" decide/config.c \
	's/if \(is_up_to_date\(config\)\)\s*config->verified_ms = sent_ms;/config->verified_ms = sent_ms;/'
