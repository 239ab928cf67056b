VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup lint format test demo model histories policy slopes bench-path

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $(STAMP)

format: setup
	$(VENV)/bin/ruff format .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

# Real processes and fixtures of a module stay together in one worker.
test: setup
	$(PYTHON) -m pytest -n auto --maxprocesses 6 --dist loadfile $(ARGUMENTS)

.PHONY: bench-engine
bench-engine: setup
	$(PYTHON) -m benches.engine

.PHONY: bench-coordinator
bench-coordinator: setup
	$(PYTHON) -m benches.coordinator

.PHONY: model model-deep
model: setup
	$(PYTHON) -m specs

model-deep: setup
	$(PYTHON) -m specs --deep

demo: setup
	$(PYTHON) -m scripts.demo

.PHONY: demo-platform
demo-platform: setup
	$(PYTHON) -m scripts.demo_platform $(ARGUMENTS)

.PHONY: settings-page
settings-page: setup
	$(PYTHON) -c "from hibiscusstack.settings import describe_settings as d; print(d(), end='')" > docs/SETTINGS.md

.PHONY: bench-codec
bench-codec: setup
	$(PYTHON) -m benches.codec

.PHONY: bench-target-client
bench-target-client: setup
	$(PYTHON) -m benches.target_client

bench-path: setup
	$(PYTHON) -m benches.path

policy: setup
	$(PYTHON) -m benches.policy $(ARGUMENTS)

.PHONY: lab
lab: setup
	$(VENV)/bin/hibiscus-lab $(ARGUMENTS)

.PHONY: lab-page
lab-page: setup
	$(VENV)/bin/hibiscus-lab describe > docs/operators/lab-scenarios.md

.PHONY: bench-caller-api
bench-caller-api: setup
	$(PYTHON) -m benches.caller_api

.PHONY: check-daemon
check-daemon: setup
	$(PYTHON) -m scripts.check_daemon

histories: setup
	$(PYTHON) -m scripts.histories

.PHONY: bench-ids
bench-ids: setup
	$(PYTHON) -m benches.ids

slopes: setup
	$(PYTHON) -m benches.slopes $(ARGUMENTS)
	$(PYTHON) -m benches.slopes.imports

.PHONY: check-client
check-client: setup
	$(PYTHON) -m scripts.check_client

.PHONY: soak
soak: setup
	$(PYTHON) -m scripts.soak $(ARGUMENTS)
