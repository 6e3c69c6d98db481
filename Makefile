VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
DEPLOYMENT ?= cuidadoras
export PYTHONPATH := $(CURDIR)

.PHONY: trial setup demo test paused soak check format lint types lock wheel

setup: $(STAMP)

$(STAMP): requirements-dev.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

demo: setup
	$(PY) -m corianderdoor.standins.platform_load --trouble cut
	DEPLOYMENT=$(DEPLOYMENT) $(PY) scripts/demo.py

test: setup
	$(PY) -m pytest

format: setup
	$(PY) -m black --check --quiet . || \
		{ $(PY) -m black --diff --quiet .; exit 1; }

lint: setup
	$(PY) -m flake8

types: setup
	$(PY) -m mypy

trial: setup
	$(PY) scripts/trial.py

paused: setup
	$(PY) scripts/check_paused_leader.py

# Seeds that once failed, and three short runs of fixed seeds.
soak: setup
	$(PY) scripts/soak.py --known --jobs 3
	$(PY) scripts/soak.py --seed 3 --count 3 --jobs 3 --seconds 6

check: format lint types test

lock: setup
	$(PY) scripts/lock.py

wheel: setup
	$(PY) -m pip wheel --no-deps --quiet -w dist .
