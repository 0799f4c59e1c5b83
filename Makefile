# The two commands of the README, and the measurements. Meson does the work.
PACKAGES = pkg-config gcc meson ninja-build libglib2.0-dev libsoup-3.0-dev \
  libzmq3-dev libargtable2-dev liblog4c-dev libcunit1-dev libjansson-dev \
  libxxhash-dev libhttp-parser-dev scdoc clang-format clang-tidy curl

.PHONY: deps build run test lint bench replay capacity soak asan clean

deps:
	@if ! pkg-config --exists glib-2.0 libsoup-3.0 libzmq log4c cunit \
	    jansson libxxhash 2>/dev/null || \
	    ! test -e /usr/include/http_parser.h || ! command -v scdoc >/dev/null || \
	    ! command -v meson >/dev/null || ! command -v clang-tidy >/dev/null; \
	then apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
	    apt-get install -y -qq $(PACKAGES); fi

build: deps
	@test -f build/build.ninja || meson setup build >/dev/null
	@ninja -C build >build/ninja.log 2>&1 || { cat build/ninja.log; exit 1; }

asan: deps
	@test -f build-asan/build.ninja || meson setup build-asan \
	    -Db_sanitize=address,undefined -Db_lundef=false \
	    -Dc_args=-fno-sanitize-recover=all >/dev/null
	@ninja -C build-asan >build-asan/ninja.log 2>&1 || \
	    { cat build-asan/ninja.log; exit 1; }

run: build
	@sh samples/run.sh build

test: build asan
	@sh tests/run.sh

lint: build
	@clang-format --dry-run -Werror $$(git ls-files '*.c' '*.h')
	@git ls-files '*.c' | xargs -P 8 -n 4 clang-tidy --quiet -p build \
	    2>/dev/null

bench: build
	@./build/bench/bench

replay: build
	@./build/replay/replay

capacity: build
	@./build/bench/capacity

SEED = 1
COUNT = 1
SECONDS = 15
soak: build
	@./build/tests/soak --seed $(SEED) --count $(COUNT) --seconds $(SECONDS)

clean:
	rm -rf build build-asan
