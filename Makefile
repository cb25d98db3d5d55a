PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup run test experiment soak fuzz clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

run: setup
	$(BIN)/python -m anvilhoist.site.demo

test: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/python -m pytest

experiment: setup
	$(BIN)/python -m anvilhoist.site.experiment

soak: setup
	$(BIN)/python -m anvilhoist.site.soak --seed $(or $(SEED),1) --count $(or $(COUNT),50)

fuzz: setup
	HYPOTHESIS_PROFILE=fresh $(BIN)/python -m pytest -k any tests/test_malformed.py

clean:
	rm -rf $(VENV) reports
