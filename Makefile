VENV ?= .venv-ci
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build dev lint test seeds tidy check run sim scale scale-small

build:
	$(BUILD)

dev:
	cat requirements*.txt | cmp -s - $(VENV)/ready || \
	(rm -rf $(VENV) && python3 -m venv $(VENV) && $(VENV)/bin/pip -q install -r requirements-dev.txt && \
	cat requirements*.txt > $(VENV)/ready)

lint: dev
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/vulture
	$(VENV)/bin/lint-imports --no-cache

test: dev
	$(VENV)/bin/python -m pytest -q || [ $$? -eq 5 ]  # 5: no tests were collected

tidy:  # fails on files that a run left behind and on changes that are not staged
	@left="$$(git status --porcelain | grep -v '^[AMDR]  ' || true)"; \
	if [ -n "$$left" ]; then echo "the tree is not clean:"; echo "$$left"; exit 1; fi

seeds: dev  # simulations with random faults: membership and quota leases (fleet-sim), relays (control-sim)
	$(VENV)/bin/python -m fleet_sim --seeds 2000 --jobs 2
	$(VENV)/bin/python -m control_sim --seeds 2000 --jobs 2

check: lint test seeds scale-small tidy

run: build
	exec .venv/bin/python -m thornjunction

sim: build
	exec .venv/bin/python -m thornjunction.adapter

scale: dev  # the complete measurement: up to 1,200 hollow routers, in successive stages
	$(VENV)/bin/python -m fleet_scale compare --out docs/capacity/compare.md
	$(VENV)/bin/python -m fleet_scale slopes --out docs/capacity/slopes.md
	$(VENV)/bin/python -m fleet_scale faults --out docs/capacity/faults.md

scale-small: dev  # the short form for CI, which checks counts and orderings in less than 90 s
	$(VENV)/bin/python -m fleet_scale small --most-s 90 --out found/scale-small.md
