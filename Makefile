VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
DEPLOYMENT ?= cuidadoras
# Options of uv that raise versions, such as --upgrade.
UPGRADE ?=
COMPILE := $(PY) -m uv pip compile --quiet --universal --python-version 3.11 \
	--generate-hashes --no-annotate --no-header
# These need the package registry.
LOCK_TESTS := tests/test_lock_files.py
export PYTHONPATH := $(CURDIR)

.PHONY: trial setup demo test paused soak check format lint types lock \
	check-locks wheel

setup: $(STAMP)

$(STAMP): requirements-dev.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

demo: setup
	$(PY) -m corianderdoor.standins.platform_load --trouble cut
	DEPLOYMENT=$(DEPLOYMENT) $(PY) scripts/demo.py

test: setup
	$(PY) -m pytest --ignore=$(LOCK_TESTS) -m "not crowd"
	$(PY) -m pytest -n 0 -m crowd

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

# uv prefers the versions of an output file that exists. It would keep that
# file's hashes too, and so miss the wheels of other platforms.
lock: setup
	sed 's/ \\$$//; /--hash=/d' requirements-dev.lock > $(VENV)/dev.lock
	rm -f $(VENV)/run.lock
	$(COMPILE) $(UPGRADE) -o $(VENV)/dev.lock requirements-dev.in
	$(COMPILE) -c $(VENV)/dev.lock -o $(VENV)/run.lock requirements.in
	cp $(VENV)/dev.lock requirements-dev.lock
	cp $(VENV)/run.lock requirements.lock

check-locks: setup
	$(PY) -m pytest $(LOCK_TESTS)

wheel: setup
	$(PY) -m pip wheel --no-deps --quiet -w dist .
