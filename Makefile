# The usual tasks. PROXY_CONFIG (and the other PROXY_* variables) go to `make run` as they are.
.PHONY: build test lint run lab demo fleet soak

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake --preset test
	cmake --build --preset test
	.ci/test

lint:
	find include src lab tests -name '*.h' -o -name '*.cpp' | xargs clang-format --dry-run --Werror

run: build
	exec build/brasswood

lab:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBRASSWOOD_LAB=ON
	cmake --build build -j4

# Half a minute of a small fleet with one fault, and where the report of it lies.
demo: lab
	build/lab/brasswood-lab run demo --out lab-out/demo

# Randomized faults over 10 to 40 routers, a quarter of a minute a seed: make soak FIRST=1 SEEDS=200
FIRST ?= 1
SEEDS ?= 40
soak: lab
	build/lab/brasswood-lab soak --first $(FIRST) --seeds $(SEEDS) --out lab-out/soak

# The full set of large fleets, some minutes; rules and expectations are judged for each.
fleet: lab
	for s in fleet-equal fleet-unequal fleet-300 fleet-quarter-cut fleet-links fleet-partition fleet-machine-drop \
	    fleet-neighbour fleet-skewed back-nine-in-ten back-cold back-blind back-twice back-rolling back-disk-full back-disk-stall; do \
	  build/lab/brasswood-lab run $$s --quiet --out lab-out/$$s || exit 1; done
