# Commands of the project; each creates the environment first if it is missing.
PYTHON ?= python3
VENV ?= .venv
SEED ?=

# Packages that decide by the boot clock, and those that start processes.
CLOCK_TESTS = admission authority configuration gateway placement programs/test_node.py routing usage

.PHONY: environment demo load test test-clocks lint prove prove-long soak

environment: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: environment
	$(VENV)/bin/python -m demo.run

load: environment
	$(VENV)/bin/python -m demo.load

test: environment
	$(VENV)/bin/python -m pytest

# The same verdict on a host that was just started, and on one that has run for 100 days.
test-clocks: environment
	$(VENV)/bin/python -m tests.support.run_with_boot_clocks 5 8640000 -- $(addprefix tests/,$(CLOCK_TESTS))

lint: environment
	$(VENV)/bin/black --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

prove: environment
	$(VENV)/bin/python -m pytest tests/promises tests/features tests/soak -m prove $(if $(SEED),--seed=$(SEED))

prove-long: environment
	$(VENV)/bin/python -m pytest tests/promises -m prove_long $(if $(SEED),--seed=$(SEED))

# Overlapping disruptions of real hosts: many seeds, by hand.
soak: environment
	$(VENV)/bin/python -m tests.soak.run --first $(or $(SEED),1) --count $(or $(COUNT),50)
