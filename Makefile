# Shortcuts for common tasks; CMake and Ninja do the build.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build test demo bench fuzz lint format

deps:
	./scripts/install-packages

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	./scripts/report-known-red $(BUILD)
	ctest --test-dir $(BUILD) --output-on-failure -LE '^known-red$$'

demo: build
	./scripts/demo $(BUILD)

bench: build
	./scripts/bench $(BUILD)

fuzz: build
	./scripts/fuzz $(BUILD)

lint: deps
	./scripts/lint $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs clang-format -i
