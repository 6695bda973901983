# Builds the daemons, the operators' tool, the stand-ins and the tests.
# SANITIZE=1 builds everything with ASan and UBSan in a folder of its own.

CC = gcc
CXX = g++
PACKAGES = talloc tevent libzmq popt log4c libmicrohttpd jansson libcurl \
  libpq sqlite3 libsodium msgpack zlib
CFLAGS_BASE = -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wpointer-arith -Werror -I. \
  $(shell pkg-config --cflags $(PACKAGES) | sed "s|-isystem |-isystem|g")
CXXFLAGS_BASE = -std=c++17 -O1 -g -Wall -Wextra -Werror -I.
LIBS = $(shell pkg-config --libs $(PACKAGES)) -lstdc++ -lm
BUILD = build/release

ifeq ($(SANITIZE),1)
BUILD = build/sanitize
SANFLAGS = -fsanitize=address,undefined -fno-omit-frame-pointer \
  -fno-sanitize-recover=undefined
CFLAGS_BASE += $(SANFLAGS)
CXXFLAGS_BASE += $(SANFLAGS)
LIBS += $(SANFLAGS)
endif

LIB_SRC = $(wildcard common/*.c core/*.c net/*.c proto/*.c platform/*.c) \
  $(filter-out session/main.c,$(wildcard session/*.c))
LIB_CXX = $(wildcard common/*.cc)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cc=$(BUILD)/%.o)
LIB = $(BUILD)/libazurewind.a

# A program is built from a folder of sources (daemon, cli), from files that
# share a prefix (standins, tools/load*.c) or from single files (tools).
PROGRAMS = $(BUILD)/azurewindd $(BUILD)/azurewind $(BUILD)/azurewind-sessiond \
  $(BUILD)/standin-platform $(BUILD)/standin-postgres $(BUILD)/standin-site \
  $(BUILD)/azurewind-load $(BUILD)/azurewind-idle \
  $(BUILD)/azurewind-fault $(BUILD)/azurewind-core-slopes
TEST_SRC = $(wildcard tests/*.c) tests/soak/proxy.c standins/site_line.c
TEST_OBJ = $(TEST_SRC:%.c=$(BUILD)/%.o)
TEST = $(BUILD)/azurewind-tests

all: programs

programs: $(PROGRAMS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_BASE) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS_BASE) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

link = $(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/azurewindd: $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/*.c)) $(LIB)
	$(link)

$(BUILD)/azurewind: $(patsubst %.c,$(BUILD)/%.o,$(wildcard cli/*.c)) $(LIB)
	$(link)

$(BUILD)/azurewind-sessiond: $(BUILD)/session/main.o $(LIB)
	$(link)

# Builds the program that deploy/system.toml runs; all output goes below BUILD.
deploy: $(BUILD)/azurewind-sessiond

$(BUILD)/standin-platform: $(patsubst %.c,$(BUILD)/%.o,$(wildcard standins/platform*.c standins/standin.c)) $(LIB)
	$(link)

$(BUILD)/standin-postgres: $(patsubst %.c,$(BUILD)/%.o,$(wildcard standins/postgres*.c standins/standin.c)) $(LIB)
	$(link)

$(BUILD)/standin-site: $(patsubst %.c,$(BUILD)/%.o,$(wildcard standins/site*.c standins/standin.c)) $(LIB)
	$(link)

$(BUILD)/azurewind-load: $(patsubst %.c,$(BUILD)/%.o,$(wildcard tools/load*.c)) $(LIB)
	$(link)

$(BUILD)/azurewind-idle: $(BUILD)/tools/idle.o $(LIB)
	$(link)

$(BUILD)/azurewind-core-slopes: $(BUILD)/tools/core_slopes.o \
  $(BUILD)/daemon/cell_object.o $(LIB)
	$(link)

$(BUILD)/azurewind-fault: $(BUILD)/tools/fault.o $(LIB)
	$(link)

# The tests link the objects of the daemon and of the operators' tool, each
# without its main.c, so that they can call their functions.
TEST_DAEMON_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out daemon/main.c,$(wildcard daemon/*.c)))

TEST_CLI_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out cli/main.c,$(wildcard cli/*.c)))

$(TEST): $(TEST_OBJ) $(TEST_DAEMON_OBJ) $(TEST_CLI_OBJ) $(LIB)
	$(link) -lcunit

# The fault soak runs real daemons, injects faults from outside and checks the
# guarantees to callers.  Do not build in the same folder while it runs: a
# daemon that the soak restarts would run another version than its peers.
SOAK = $(BUILD)/azurewind-soak
SEEDS = 3
FIRST = 1
SOAK_SECONDS = 8
DAEMONS = 5

$(SOAK): $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c)) \
  $(BUILD)/tests/relay_site.o $(BUILD)/tests/process.o $(BUILD)/standins/site_line.o $(LIB)
	$(link)

soak: programs $(SOAK)
	AZUREWIND_BUILD=$(BUILD) $(SOAK) --seeds tests/soak/seeds.txt --first $(FIRST) --count $(SEEDS) \
	  --seconds $(SOAK_SECONDS) --daemons $(DAEMONS)

deps:
	tools/install-deps

test: programs $(TEST)
	AZUREWIND_BUILD=$(BUILD) $(TEST)

check: deps
	$(MAKE) -j4 programs
	$(MAKE) -j4 test

FORMATTED := $(wildcard common/*.[ch] core/*.[ch] net/*.[ch] proto/*.[ch] \
  daemon/*.[ch] session/*.[ch] platform/*.[ch] cli/*.[ch] standins/*.[ch] tools/*.[ch] tests/*.[ch] \
  tests/fuzz/*.[ch] tests/soak/*.[ch] common/*.cc)
LINTED = $(filter-out tests/%,$(filter %.c,$(FORMATTED)))

# The fuzzers need clang, which provides libFuzzer.  SECONDS limits the time of
# each fuzzer.  If RUNS is set, each fuzzer does that many runs with a fixed
# seed instead and keeps no corpus, so that the result is reproducible.
SECONDS = 60
FUZZ = $(patsubst tests/fuzz/%.c,%,$(sort $(wildcard tests/fuzz/*.c)))
FUZZ_SANITIZERS = address,undefined -fno-sanitize-recover=undefined

.SECONDARY: $(FUZZ:%=$(BUILD)/tests/fuzz/%.o)

fuzzers: $(FUZZ:%=$(BUILD)/fuzz-%)

$(BUILD)/fuzz-%: $(BUILD)/tests/fuzz/%.o $(TEST_DAEMON_OBJ) $(LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS) -fsanitize=fuzzer,$(FUZZ_SANITIZERS)

fuzz-build: deps
	$(MAKE) -j8 fuzzers BUILD=build/fuzz SANITIZE=0 CC=clang CXX=clang++ \
	  CFLAGS="-fsanitize=fuzzer-no-link,$(FUZZ_SANITIZERS)" \
	  CXXFLAGS="-fsanitize=fuzzer-no-link,$(FUZZ_SANITIZERS)"

fuzz: fuzz-build
	BUILD=build/fuzz FUZZ_SECONDS=$(SECONDS) RUNS=$(RUNS) tools/fuzz $(FUZZ)

demo: deps
	$(MAKE) -j4 programs
	BUILD=$(BUILD) tools/demo

bench: deps
	$(MAKE) -j4 programs
	BUILD=$(BUILD) tools/bench

capacity: deps
	$(MAKE) -j4 programs
	BUILD=$(BUILD) tools/scale --write

results: deps
	$(MAKE) -j4 programs
	BUILD=$(BUILD) tools/experiment --write docs/RESULTS.md

format:
	clang-format -i $(FORMATTED)

# Number of files that are linted at a time.
LINT_JOBS = 8
CPPCHECK = cppcheck --std=c11 -I. --enable=warning,performance,portability \
  --inline-suppr --suppress=missingIncludeSystem --suppress=unknownMacro \
  --error-exitcode=1 --quiet

lint:
	clang-format --dry-run -Werror $(FORMATTED)
	$(CPPCHECK) $(filter %.c,$(FORMATTED))
	for f in $(LINTED); do echo $$f; done | xargs -P $(LINT_JOBS) -I{} tools/tidy {} $(filter -D% -I% -std=% -isystem%,$(CFLAGS_BASE))

clean:
	rm -rf build


.PHONY: all programs deploy deps test soak check fuzzers fuzz-build fuzz demo bench capacity results format lint clean
-include $(shell find build target -name '*.d' 2>/dev/null)
