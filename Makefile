# All targets use .venv, which is built from the pinned versions and updated
# when requirements.lock or a pyproject.toml changes.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*) platform
SOURCES := packages platform tests bench

.PHONY: test check format demo bench clean

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check \
		--no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python tests/run_suite.py -n 4

check: $(STAMP)
	$(BIN)/ruff format --no-cache --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format --no-cache $(SOURCES)

demo: $(STAMP)
	$(BIN)/python -m dragonflyslip_testing.demo

bench: $(STAMP)
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV) build
