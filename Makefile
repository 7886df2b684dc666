# Entry points for people and CI. The build itself is described in CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build check format lint demo measure bench-capacity bench-latency sanitize

deps:
	./tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

check: deps build
	ctest --test-dir $(BUILD) --output-on-failure

format:
	./tools/check-format.sh

lint: build
	./tools/check-lint.sh $(BUILD)

demo: build
	./tools/demo.sh $(BUILD)
