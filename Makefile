# Entry points: make check, make demo, make lint, make format.
PACKAGES = build-essential cmake pkg-config clang clang-format clang-tidy \
	libclang-rt-14-dev libmicrohttpd-dev libneon27-gnutls-dev \
	libtirpc-dev liburcu-dev libglib2.0-dev libjansson-dev \
	libgnutls28-dev libzstd-dev gnutls-bin rpcsvc-proto gnuplot-nox
SUDO = $(shell [ "$$(id -u)" = 0 ] || echo sudo)
JOBS ?= $(shell nproc)
GENERATED = ! -name '*_xdr.c' ! -name '*_xdr.h' ! -name '*_wire.h'
SOURCES = $(shell find src platform standin bench tests soak examples -name '*.[ch]' \
	$(GENERATED) 2>/dev/null)
C_SOURCES = $(filter %.c,$(SOURCES))

.PHONY: all setup build check test asan tsan fuzz soak lint format docs demo \
	install clean

all: build

setup:
	@missing=; for package in $(PACKAGES); do \
	    dpkg -s $$package >/dev/null 2>&1 || missing="$$missing $$package"; \
	done; \
	if [ -n "$$missing" ]; then \
	    $(SUDO) apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
	    $(SUDO) apt-get install -y -qq --no-install-recommends $$missing \
	    >/dev/null; \
	fi

build:
	cmake -S . -B build >/dev/null
	cmake --build build -j$(JOBS)

check: setup
	tests/run_all

asan:
	cmake -S . -B build-asan -DRADISHKNOT_SANITIZE=address,undefined \
	    >/dev/null
	cmake --build build-asan -j$(JOBS)

tsan:
	cmake -S . -B build-tsan -DRADISHKNOT_SANITIZE=thread >/dev/null
	cmake --build build-tsan -j$(JOBS)

# Runs each libFuzzer target on a limited number of inputs, under a minute in
# total; FUZZ_SEED=n selects another seed.
fuzz:
	tests/run_fuzz

# Fault-injection soak: make soak SEED=7, or make soak SEED=1 SEEDS=50 SECONDS=20,
# also with MODE=planned or MODE=restored, and with OPTION=--endless.
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20
MODE ?= mixed
OPTION ?=
soak: build
	soak/run $(SEED) $(SEEDS) $(SECONDS) 5 $(MODE) $(OPTION)

lint: setup
	@cmake -S . -B build >/dev/null
	@clang-format --dry-run -Werror $(SOURCES)
	@printf '%s\n' $(C_SOURCES) | \
	    xargs -P $(JOBS) -n 4 clang-tidy --quiet -p build 2>/dev/null

format:
	@clang-format -i $(SOURCES)

# Writes the docs tables that are generated from lists in the code.
docs: build
	RADISHKNOT_WRITE_DOCS=1 build/src/base/test_base >/dev/null
	RADISHKNOT_WRITE_DOCS=1 build/src/settings/test_settings >/dev/null

demo: setup build
	tests/demo

install: build
	DESTDIR="$(DESTDIR)" cmake --install build

clean:
	rm -rf build build-asan build-tsan build-fuzz
