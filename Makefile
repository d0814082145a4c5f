# Every target sets up the virtual environment from the lock file first.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed-$(shell sha256sum requirements/dev.txt | cut -c1-16)
SEED ?= 1

.PHONY: demo test lint format check-format types unit measure binary proto golden fuzz capacity regression clean

$(STAMP): requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements/dev.txt
	touch $@

demo: $(STAMP)
	bash scripts/demo.sh $(BIN)/python

test: check-format lint types unit

check-format: $(STAMP)
	$(BIN)/ruff format --check nutmegstep tests

format: $(STAMP)
	$(BIN)/ruff format nutmegstep tests

lint: $(STAMP)
	$(BIN)/flake8 nutmegstep tests

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest -q -rx --cov --cov-report=term

measure: $(STAMP)
	bash scripts/measure.sh $(BIN)/python --seed $(SEED)

# Longer random histories: make fuzz FUZZ_EXAMPLES=2000 FUZZ_SEED=7
fuzz: $(STAMP)
	FUZZ_EXAMPLES=$(or $(FUZZ_EXAMPLES),1000) FUZZ_STEPS=$(or $(FUZZ_STEPS),50) \
	FUZZ_SEED=$(or $(FUZZ_SEED),1) \
	$(BIN)/python -m pytest -q --timeout=3600 tests/scenarios/test_random_histories.py

# Rewrites the golden files of whole sessions; read the diff before committing.
golden: $(STAMP)
	$(BIN)/python -m pytest -q tests/golden --snapshot-update

# The mapped path gives the generated modules their import path.
proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc --proto_path=nutmegstep/peers/generated=nutmegstep/peers --python_out=. --pyi_out=. --grpc_python_out=. nutmegstep/peers/peers.proto

# Prints the tables of docs/CAPACITY.md from slopes measured now.
capacity: $(STAMP)
	$(BIN)/python -m nutmegstep.measure.capacity_tables

# Scores the operators' deployments, one after the other, a large day taking 5 GB:
# make regression BENCH=PATH SITES=FOLDER WHY="what changed"
REGRESSION_SITES ?= further/tagpuan-pahayag further-grown/tagpuan-pahayag-grown large/dzk-meklesana-large
JOBS ?= 2
WHY ?= regression
regression:
	@test -n "$(BENCH)" -a -n "$(SITES)" || { echo "set BENCH and SITES"; exit 2; }
	for site in $(REGRESSION_SITES); do \
	  "$(BENCH)" score "$(SITES)/$$site.toml" --jobs $(JOBS) --why "$(WHY)" || exit 1; \
	done

binary: $(STAMP)
	bash packaging/build.sh $(BIN)/python
