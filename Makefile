# Common tasks. `make run` passes PROXY_CONFIG and the other PROXY_* variables on to the router.
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

# Runs a small fleet with one fault for half a minute; its report is in lab-out/demo.
demo: lab
	build/lab/brasswood-lab run demo --out lab-out/demo

# Random faults in fleets of 10 to 40 routers, about 15 s for each seed: make soak FIRST=1 SEEDS=200
FIRST ?= 1
SEEDS ?= 40
soak: lab
	build/lab/brasswood-lab soak --first $(FIRST) --seeds $(SEEDS) --out lab-out/soak

# Runs all large fleets, which takes some minutes, and checks the rules and expectations of each.
fleet: lab
	for s in fleet-equal fleet-unequal fleet-300 fleet-quarter-cut fleet-links fleet-partition fleet-machine-drop \
	    fleet-neighbour fleet-skewed back-nine-in-ten back-cold back-blind back-twice back-rolling back-disk-full back-disk-stall; do \
	  build/lab/brasswood-lab run $$s --quiet --out lab-out/$$s || exit 1; done
