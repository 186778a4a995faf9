# Every target sets up the virtual environment by itself.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PACKAGES := core wire store node cli testing
ROOTS := $(foreach p,$(PACKAGES),packages/$(p)) platform
SOURCES := packages platform tools

.PHONY: setup check test demo bench format proto

setup: $(STAMP)

$(STAMP): requirements.lock $(foreach r,$(ROOTS),$(r)/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach r,$(ROOTS),--editable ./$(r))
	touch $(STAMP)

check: setup
	$(PYTHON) -m black --check --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)
	$(PYTHON) -m mypy --no-error-summary $(foreach p,$(PACKAGES),packages/$(p)/src) platform/bamboonotch_platform

format: setup
	$(PYTHON) -m black --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet --fix $(SOURCES)

test: setup
	$(PYTHON) tools/run_tests.py

demo: setup
	$(PYTHON) -m bamboonotch_testing.demo

bench: setup
	$(PYTHON) -m bamboonotch_testing.bench

proto: setup
	$(PYTHON) tools/generate_wire.py
