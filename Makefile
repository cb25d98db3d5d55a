PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup run test experiment drill soak fuzz regression clean

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
	$(BIN)/python -m pytest -m "not crowd"
	$(BIN)/python -m pytest -m crowd -n 0

experiment: setup
	$(BIN)/python -m anvilhoist.site.experiment

drill: setup
	$(BIN)/python -m anvilhoist.site.drill --vms $(or $(VMS),4,33)

soak: setup
	$(BIN)/python -m anvilhoist.site.soak --seed $(or $(SEED),1) --count $(or $(COUNT),50)

fuzz: setup
	HYPOTHESIS_PROFILE=fresh $(BIN)/python -m pytest -k any tests/test_malformed.py

# Plays the light days of site files, and fails where the gate does:
# make regression BENCH=PROGRAM SITES="FILE ..."
regression: setup
	@if [ ! -x "$(BENCH)" ]; then \
		echo "regression: skipped, BENCH names no program"; exit 0; \
	fi; \
	failed=0; \
	for site in $(SITES); do \
		report=$$($(BENCH) score $$site --quick --jobs 2 --why "regression"); \
		echo "$$report"; \
		echo "$$report" | grep -q "GATE passed" || failed=1; \
	done; \
	$(BIN)/anvilhoist rounds && exit $$failed

clean:
	rm -rf $(VENV) reports
