# The commands are listed in README.md.
B ?= rel
LIBS = base wire conf net platform move ledger entry side http quota edge keeper forward
DIRS = $(LIBS:%=lib/%) platform test/rig cmd/chestnuthinged cmd/chestnuthinge \
	test/soak \
	$(wildcard test/standin/*/)
SRC = $(shell git ls-files '*.c' '*.h' '*.cc')
CSRC = $(shell git ls-files '*.c')
SCRIPTS = .ci/run mk/tidy $(shell git ls-files test bench | \
	xargs grep -l '^\#!/bin/.*sh')

all:
	@for d in $(DIRS); do $(MAKE) --no-print-directory -C $$d B=$(B) || exit 1; done

# What runs on the users' platform, under target/: no tests, no stand-ins.
deploy:
	@for d in $(LIBS:%=lib/%) platform cmd/chestnuthinged; do \
		$(MAKE) --no-print-directory -C $$d B=rel \
			O=$(CURDIR)/target || exit 1; done

deps:
	apt-get update -qq
	xargs apt-get install -y -qq < deps.txt

demo: all
	test/demo

check:
	$(MAKE) all B=san
	$(MAKE) -C test B=san
	test/run build/san

bench: all
	$(MAKE) -C bench B=rel
	bench/run build/rel

# One run of the soak under faults from SEED; logs stay in build/soak.
SEED ?= 1
SECONDS_OF_FAULTS ?= 10
soak: all
	mkdir -p build/soak
	build/$(B)/soak --seed $(SEED) --seconds $(SECONDS_OF_FAULTS) \
		--dir build/soak --daemon build/$(B)/chestnuthinged

capacity: all
	$(MAKE) -C bench B=rel
	bench/capacity build/rel > build/capacity.md
	sed -i '/^<!-- tables/q' docs/CAPACITY.md
	cat build/capacity.md >> docs/CAPACITY.md

lint:
	shellcheck -x $(SCRIPTS)
	clang-format --dry-run -Werror $(SRC)
	cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
		--enable=warning,portability --suppress=missingIncludeSystem \
		--suppress=normalCheckLevelMaxBranches -j 8 -Ilib $(CSRC)
	echo $(CSRC) | tr ' ' '\n' | xargs -P 8 -n 1 mk/tidy

format:
	clang-format -i $(SRC)

clean:
	rm -rf build

.PHONY: all deploy deps demo check bench soak capacity lint format clean
