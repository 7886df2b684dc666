# Entry points for people and CI. The build itself is described in CMakeLists.txt.
SHELL := /bin/bash
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build check format lint soak demo measure bench-capacity bench-latency sanitize

deps:
	./tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

check: deps build
	ctest --test-dir $(BUILD) --output-on-failure
	./tools/run-known-red.sh $(BUILD)

format:
	./tools/check-format.sh

lint: build
	./tools/check-lint.sh $(BUILD)

# One seed, or SOAK='--seed=7 --minutes=1 --processes=12'.
SOAK ?= --seed=1 --minutes=0.15 --processes=4
soak: build
	./$(BUILD)/jackdawdoor-soak $(SOAK) --binary=$(BUILD)/jackdawdoor 2>&1 | grep -v ' info '; exit $${PIPESTATUS[0]}

demo: build
	./tools/demo.sh $(BUILD)

# All scenarios of both policies and deployments, then fault schedules; fails when the product breaks an invariant.
SEEDS ?= 1..300
measure: build
	-./$(BUILD)/jackdawdoor-measure --all --policy naive --deployment ayudas --seed 1
	-./$(BUILD)/jackdawdoor-measure --all --policy naive --deployment quetzal --seed 1
	./$(BUILD)/jackdawdoor-measure --all --policy product --deployment ayudas --seed 1
	./$(BUILD)/jackdawdoor-measure --all --policy product --deployment quetzal --seed 1
	./$(BUILD)/jackdawdoor-measure --scenario chaos --seeds $(SEEDS) --threads 4

bench-capacity: build
	./$(BUILD)/capacity-benchmark

bench-latency: build
	./$(BUILD)/latency-benchmark

sanitize: deps
	cmake -S . -B build-sanitize -G Ninja -DJACKDAWDOOR_SANITIZE=ON
	cmake --build build-sanitize -j $(JOBS)
	ctest --test-dir build-sanitize --output-on-failure
