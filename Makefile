PYTHON ?= python3
BIN := .venv/bin

.PHONY: install format lint types tests test demo matrix replay clean
.PHONY: bench-convergence bench-request bench-slopes soak

install: .venv/installed

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable . || \
		$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

format: install
	$(BIN)/black trefoilpick tests benchmarks examples soak
	$(BIN)/ruff check --fix trefoilpick tests benchmarks examples soak

lint: install
	$(BIN)/black --check --quiet trefoilpick tests benchmarks examples soak
	$(BIN)/ruff check --quiet trefoilpick tests benchmarks examples soak

types: install
	$(BIN)/mypy

tests: install
	$(BIN)/python -m pytest -n auto

test: lint types tests

demo: install
	$(BIN)/trefoilpick demo

bench-convergence: install
	$(BIN)/python -m benchmarks.convergence $(OPTIONS)

bench-request: install
	$(BIN)/python -m benchmarks.request

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache build out

replay: install
	$(BIN)/trefoilpick replay examples/traces/*.jsonl

matrix: install
	cd tests && ../$(BIN)/python matrix_cells.py

bench-slopes: install
	$(BIN)/python -m benchmarks.slopes $(OPTIONS)

soak: install
	$(BIN)/python -m soak $(OPTIONS)
