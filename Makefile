PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SLOPES := hosts routing configuration bookings rates

.PHONY: setup run test bench slopes format lint types clean

setup: $(STAMP)

$(STAMP): requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: setup
	$(BIN)/python -m scripts.demo $(if $(KEEP),--keep)

test: setup
	$(BIN)/python -m scripts.run_tests

bench: setup
	$(BIN)/turmericproxy bench

slopes: setup
	mkdir -p out
	rm -f out/slopes.jsonl
	for part in $(SLOPES); do \
	  echo "measuring $$part ..."; \
	  $(BIN)/python -m turmericproxy.bench.slopes_$$part >> out/slopes.jsonl || exit 1; \
	done

format: setup
	$(BIN)/black .

lint: setup
	$(BIN)/black --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

clean:
	rm -rf $(VENV) out build *.egg-info
