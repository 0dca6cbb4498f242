# The usual tasks. PROXY_CONFIG (and the other PROXY_* variables) go to `make run` as they are.
.PHONY: build test lint run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake --preset test
	cmake --build --preset test
	ctest --preset test

lint:
	find include src tests -name '*.h' -o -name '*.cpp' | xargs clang-format --dry-run --Werror

run: build
	exec build/brasswood
