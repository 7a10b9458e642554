# All targets run from .venv, which is installed from the pinned versions.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/corianderrelay-core packages/corianderrelay-entry packages/corianderrelay-agent platform
SOURCES := packages platform tests bench demo
STAMP := $(VENV)/.installed

.PHONY: install demo run test lint format soak experiment bench clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
		$(PACKAGES:%=-e %) -e '.[dev]'
	touch $@

demo: install
	$(BIN)/python -m demo.run --once

run: install
	$(BIN)/python -m demo.run

test: install
	$(BIN)/python -m tests.runner

lint: install
	$(BIN)/black --quiet --check --diff $(SOURCES)
	$(BIN)/isort --check-only $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy packages/corianderrelay-core/src packages/corianderrelay-entry/src \
		packages/corianderrelay-agent/src platform/src tests bench demo
	$(BIN)/lint-imports
	$(BIN)/python -m bench.settings_reference --check
	$(BIN)/python -m bench.decision_reference --check

format: install
	$(BIN)/isort $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

soak: install
	$(BIN)/python -m tests.soak.soak --seeds $(or $(SEEDS),1-50) --seconds $(or $(SECONDS),15)

experiment: install
	$(BIN)/python -m bench.experiment --sites $(or $(SITES),small) \
		--seeds $(or $(SEEDS),3) --plot docs/plots/experiment.png

bench: install
	$(BIN)/python -m bench.run

clean:
	rm -rf $(VENV) build .mypy_cache .import_linter_cache
