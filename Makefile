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

tidy:  # what a run leaves behind, or what is not yet added, must not go unseen
	@left="$$(git status --porcelain | grep -v '^[AMDR]  ' || true)"; \
	if [ -n "$$left" ]; then echo "the tree is not clean:"; echo "$$left"; exit 1; fi

seeds: dev  # under drawn faults: membership and shares (packages/fleet-sim), relays (control-sim)
	$(VENV)/bin/python -m fleet_sim --seeds 2000 --jobs 2
	$(VENV)/bin/python -m control_sim --seeds 2000 --jobs 2

check: lint test seeds scale-small tidy

run: build
	exec .venv/bin/python -m thornjunction

sim: build
	exec .venv/bin/python -m thornjunction.adapter

scale: dev  # the whole: up to 1,200 hollow routers, one stage after the other
	$(VENV)/bin/python -m fleet_scale compare --out docs/capacity/compare.md
	$(VENV)/bin/python -m fleet_scale slopes --out docs/capacity/slopes.md
	$(VENV)/bin/python -m fleet_scale faults --out docs/capacity/faults.md

scale-small: dev  # the form for CI: verdicts on counts and orders, under 90 s
	$(VENV)/bin/python -m fleet_scale small --most-s 90 --out found/scale-small.md
