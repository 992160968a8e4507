PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: demo test lint format scenarios explore clean

demo: $(VENV)/.ready
	$(RUN) -m pollenwalk demo

test: $(VENV)/.ready
	$(RUN) -m test.run

scenarios: $(VENV)/.ready
	$(RUN) -m pollenwalk scenario test/scenarios/*.txt

explore: $(VENV)/.ready
	$(RUN) -m pollenwalk explore --seed 1 --runs 500

lint: $(VENV)/.ready
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 pollenwalk standin test

format: $(VENV)/.ready
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV) .ruff_cache .hypothesis
