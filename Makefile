PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := bluebellhub benchmarks features demo

.PHONY: setup test red lint demo model bench soak clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $@

test: $(STAMP)
	$(BIN)/python -m pytest -m 'not known_red'
	$(BIN)/python -m behave --format progress --tags 'not known_red' features

# The cases that KNOWN-RED.txt lists; make test passes over them.
red: $(STAMP)
	$(BIN)/python -m pytest -m known_red
	$(BIN)/python -m behave --tags known_red features

lint: $(STAMP)
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy bluebellhub

demo: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" sh demo/run.sh $(BIN)/python

model:
	sh spec/check.sh

soak: $(STAMP)
	BLUEBELLHUB_SOAK=1 $(BIN)/python -m pytest -k soak

bench: $(STAMP)
	$(BIN)/python -m benchmarks.policies
	$(BIN)/python -m benchmarks.fleet

clean:
	rm -rf $(VENV) spec/build .test-output
