# Builds apricotshift and its tests. SAN=1 adds sanitizers.
CC ?= gcc
B = build$(if $(SAN),-san)
PKGS = glib-2.0 json-c libcurl libevent liburcu libprotobuf-c libsodium
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wformat=2 -I. $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lcivetweb -lhttp_parser -lpthread -lm
ifdef SAN
CFLAGS += -fsanitize=address,undefined -fno-omit-frame-pointer
LDFLAGS += -fsanitize=address,undefined
endif

DECIDE = $(wildcard decide/*.c) proto/apricot.pb-c.c proto/rows.pb-c.c
TABLE = $(wildcard table/*.c)
PLATFORM = $(wildcard platform/*.c)
SERVE = $(wildcard serve/*.c)
APP = $(wildcard apricotshift/*.c)
STANDIN = $(filter-out $(FAKES),$(wildcard test/standins/*.c))
FAKES = test/standins/rowstore.c test/standins/backend.c test/soak/proxy.c test/gateway/fixture.c test/gateway/links.c test/gateway/raw.c test/gateway/conn.c test/standins/overload_sim.c test/standins/sim_events.c test/rollout/sim.c
SIM = $(wildcard test/sim/*.c)
obj = $(patsubst %.c,$(B)/obj/%.o,$(1))
CORE = $(call obj,$(DECIDE) $(TABLE))
TESTS = $(patsubst test/unit/%.c,$(B)/unit/%,$(wildcard test/unit/test_*.c))

all: $(B)/apricotshift $(B)/standin $(B)/scenario $(B)/load $(B)/slopes $(B)/soak $(B)/pressure $(B)/header_flood $(B)/long_chains

$(B)/apricotshift: $(CORE) $(call obj,$(PLATFORM) $(SERVE) $(APP))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/standin: $(CORE) $(call obj,$(filter-out serve/%,$(STANDIN)))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/scenario: $(CORE) $(call obj,$(SIM) test/standins/model.c test/scenario.c)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcmocka

$(B)/load: $(CORE) $(call obj,$(SIM) test/standins/model.c bench/load.c)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/slopes: $(CORE) $(call obj,$(SIM) test/standins/model.c bench/slopes.c)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/pressure: $(CORE) $(call obj,bench/pressure.c $(PLATFORM) test/standins/rowstore.c $(filter-out serve/http.c serve/loop.c serve/outbound.c,$(SERVE)))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/header_flood: $(CORE) $(call obj,$(wildcard test/floods/*.c) test/gateway/target.c $(PLATFORM) test/standins/rowstore.c $(filter-out serve/http.c serve/loop.c serve/outbound.c,$(SERVE)))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/long_chains: $(CORE) $(call obj,$(wildcard test/chains/*.c) test/gateway/target.c $(PLATFORM) test/standins/rowstore.c $(filter-out serve/http.c serve/loop.c serve/outbound.c,$(SERVE)))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/soak: $(CORE) $(call obj,$(wildcard test/soak/*.c) $(PLATFORM) $(filter-out test/gateway/% test/soak/%,$(FAKES)) $(filter-out serve/http.c serve/loop.c serve/outbound.c,$(SERVE)))
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/unit/%: $(CORE) $(B)/obj/test/unit/%.o $(call obj,apricotshift/trace.c $(PLATFORM) $(FAKES) $(filter-out serve/http.c serve/loop.c serve/outbound.c,$(SERVE)))
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcmocka

# The pattern rule above links it with these too.
$(B)/unit/test_cost_placement: $(call obj,$(wildcard test/placement/*.c))
$(B)/unit/test_outbound: $(call obj,serve/outbound.c)

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

# The charts as string literals, for charts.c to include.
$(B)/gen/%.chart.h: charts/%.chart
	@mkdir -p $(@D)
	sed 's/["\\]/\\&/g; s/.*/"&\\n"/' $< >$@

$(B)/obj/decide/charts.o: CFLAGS += -I$(B)/gen
$(B)/obj/decide/charts.o: $(B)/gen/turn.chart.h $(B)/gen/server.chart.h

unit: $(TESTS)

# fuzz runs the parsers under libFuzzer; replay runs them on the saved inputs.
FUZZED = decide/rules.c proto/apricot.pb-c.c serve/http_parse.c serve/log.c \
	serve/peer.c serve/settings.c serve/sse.c test/fuzz/fuzz.c
FUZZED_GATEWAY = decide/catalog.c platform/wire.c proto/rows.pb-c.c \
	serve/sse_splitter.c serve/hdr.c serve/input.c test/fuzz/fuzz_gateway.c
fuzz:
	mkdir -p build
	clang -g -O1 $(filter-out -fsanitize=%,$(CFLAGS)) \
		-fsanitize=fuzzer,address,undefined -o build/fuzz $(FUZZED) $(LDLIBS)
	clang -g -O1 $(filter-out -fsanitize=%,$(CFLAGS)) \
		-fsanitize=fuzzer,address,undefined -o build/fuzz-gateway \
		$(FUZZED_GATEWAY) $(LDLIBS)

$(B)/replay: $(FUZZED)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DREPLAY $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(B)/replay-gateway: $(FUZZED_GATEWAY)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DREPLAY $(LDFLAGS) -o $@ $^ $(LDLIBS)

generate:
	cd proto && protoc-c --c_out=. apricot.proto rows.proto

clean:
	rm -rf build build-san

-include $(shell find $(B) -name '*.d' 2>/dev/null)
# demo runs one program through three instances; check runs all tests.
demo: all
	./examples/demo.sh

check:
	./test/run.sh

unit: $(B)/replay $(B)/replay-gateway
.PHONY: fuzz all unit demo check clean generate
