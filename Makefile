# README.md names the two targets that a newcomer needs: demo and test.
VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
SOURCES := src standins testing bench tools
export PYTHONPATH := src:.

.PHONY: demo playground test bench faults reference lint format binary generate

$(READY): requirements/runtime.txt requirements/dev.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-r requirements/dev.txt
	touch $@

demo: $(READY)
	$(PYTHON) -m standins.demo

playground: $(READY)
	$(PYTHON) -m standins.playground

test: $(READY)
	$(PYTHON) -m pytest $(ARGS)

bench: $(READY)
	$(PYTHON) -m bench $(ARGS)

# Random schedules of faults: make faults SEEDS='1 2 3'
faults: $(READY)
	$(PYTHON) -m testing.faults $(SEEDS)

reference: $(READY)
	$(PYTHON) -m tools.reference

lint: $(READY)
	$(VENV)/bin/black --quiet --check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)
	$(PYTHON) -m tools.style $(SOURCES)

format: $(READY)
	$(PYTHON) -m tools.imports $(SOURCES)
	$(VENV)/bin/black --quiet $(SOURCES)

binary: $(READY)
	$(PYTHON) -m tools.binary

# Needs the thrift-compiler package; its output is committed.
generate:
	cd src/knapweedwharf/peer && thrift --gen py \
		-out . peer.thrift
