VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/policy packages/model platform packages/upstream packages/links packages/sessions packages/daemon packages/cli

.PHONY: ablation soak setup test lint format demo demo-platform bench fuzz matrix capacity gates clean

setup: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=--editable ./%)
	touch $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PY) -m pytest -q -n 4 --dist loadgroup

demo: setup
	$(PY) demo/run.py

demo-platform: setup
	$(PY) demo/platform_run.py

ablation: setup
	$(PY) -m bench.ablation

bench: setup
	$(PY) -m bench.run

fuzz: setup
	GYPSUM_FUZZ=600 $(PY) -m pytest -q -n 4 tests/test_stateful.py tests/platform tests/policy
	GYPSUM_FUZZ_SEEDS=400 $(PY) -m pytest -q -n 4 tests/sessions/test_chaos.py

matrix: setup
	$(PY) -m tests.matrix

# SEED draws the troubles; one of its own if it is left out.
MINUTES ?= 1
RUNS ?= 1
DAEMONS ?= 9
# What an upstream takes; with 9 three daemons own the group. PLANNED=1: restarts alone.
# RETURNS=1: also a store that returns from older copies. SLOW=1: also slow upstreams and
# many resets of links. LEAVING=1: upstreams leave, and daemons learn of it late.
# ABSENT=1: upstreams are down together while daemons restart.
CONNECTIONS ?= 40
soak: setup
	$(PY) -m soak $(SEED:%=--seed %) --minutes $(MINUTES) --runs $(RUNS) --daemons $(DAEMONS) --connections $(CONNECTIONS) $(if $(PLANNED),--planned) $(if $(RETURNS),--returns) $(if $(SLOW),--slow) $(if $(LEAVING),--leaving) $(if $(ABSENT),--absent)

# BENCH is the users' bench program, PAGES the folder of their pages, SITES names some of
# bench/sites.json, all if it is left out.
LOGS ?= target/gates
gates: setup
	$(PY) -m bench.gates --bench $(BENCH) --pages $(PAGES) --logs $(LOGS) $(SITES:%=--site %)

capacity: setup
	$(PY) -m bench.capacity

clean:
	rm -rf $(VENV) .pytest_cache .hypothesis
