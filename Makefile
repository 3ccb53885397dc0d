# Every target makes its own environment from requirements.lock; nothing else is needed first.
.DEFAULT_GOAL := help
SHELL := /bin/bash

PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python -m
PYTEST_ARGS ?=
DEMO_ARGS ?=
BENCH_ARGS ?=
REHEARSE_ARGS ?=
SOAK_ARGS ?=

# The stamp carries the lock's digest, so a changed lock installs again and a touched one does not.
LOCK_DIGEST := $(shell sha256sum requirements.lock | cut -c1-16)
STAMP := $(VENV)/installed-$(LOCK_DIGEST)
PROTO_SOURCES = $(shell find wingquay -name '*.proto' | sort)

# The tree at hand goes before the installed package, also when .venv is shared by a symbolic link.
export PYTHONPATH := $(CURDIR)

.PHONY: help venv demo test check format bench rehearse soak proto lock clean

help:  ## list the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 12

venv: $(STAMP)  ## make .venv from requirements.lock

$(STAMP):
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' \
		|| { echo "$(PYTHON) is older than Python 3.11: set PYTHON=..." >&2; exit 1; }
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(RUN) pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	test -L $(VENV) || $(RUN) pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	rm -f $(VENV)/installed-*
	touch $@

demo: venv  ## run the demonstration
	$(RUN) wingquay.cli demo $(DEMO_ARGS)

test: venv  ## run the tests (PYTEST_ARGS for more arguments)
	$(RUN) pytest $(PYTEST_ARGS)

check: venv  ## check format, lint, types and import contracts
	$(RUN) ruff format --check .
	$(RUN) ruff check .
	$(RUN) mypy --strict wingquay
	$(VENV)/bin/lint-imports

format: venv  ## format the tree and mend what the linter can mend
	$(RUN) ruff format .
	$(RUN) ruff check --fix .

bench: venv  ## run the benchmarks (BENCH_ARGS for more arguments)
	$(RUN) benchmarks $(BENCH_ARGS)

rehearse: venv  ## rehearse failures with real processes (REHEARSE_ARGS for more arguments)
	$(VENV)/bin/python scripts/rehearse_processes.py $(REHEARSE_ARGS)

soak: venv  ## soak the deployed node as real processes (SOAK_ARGS for more arguments)
	$(RUN) scripts.soak $(SOAK_ARGS)

proto: venv  ## generate code from the .proto files, beside them
	$(RUN) grpc_tools.protoc --proto_path=. --python_out=. --pyi_out=. $(PROTO_SOURCES)
# The generator leaves Mapping without its types, which mypy --strict refuses.
	sed -i 's/, _Mapping\]/, _Mapping[str, object]]/g' $(PROTO_SOURCES:.proto=_pb2.pyi)

lock: venv  ## write requirements.lock anew from pyproject.toml
	$(VENV)/bin/pip-compile --quiet --no-config --all-extras --allow-unsafe --generate-hashes \
		--strip-extras --no-annotate --no-header --no-emit-index-url --no-emit-find-links \
		--no-emit-options --no-emit-trusted-host --output-file requirements.lock pyproject.toml

clean:  ## remove caches and build output, but not .venv
	rm -rf build dist *.egg-info .hypothesis .import_linter_cache .mypy_cache .pytest_cache .ruff_cache
