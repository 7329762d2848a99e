VENV := .venv
# INSTALL=no uses the environment in VENV as it is, with the sources of this directory.
INSTALL := yes
# Most tests wait for processes; with more workers, timeouts would depend on the load.
TEST_WORKERS := 4
PYTHON := $(VENV)/bin/python

.PHONY: demo test check docs install proto

ifeq ($(INSTALL),no)
export PYTHONPATH := $(CURDIR)/src
install:
else
install: $(VENV)/.installed
endif

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: install
	$(PYTHON) tools/demo.py
	$(PYTHON) tools/demo_platform.py

test: install
	$(PYTHON) -m pytest -n $(TEST_WORKERS) --dist loadfile

check: install
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) tools/make_docs.py --check
	$(PYTHON) tools/make_capacity.py --check

docs: install
	$(PYTHON) tools/make_docs.py
	$(PYTHON) tools/make_capacity.py

proto: install
	$(PYTHON) -m grpc_tools.protoc -I src --python_out=src --pyi_out=src \
		--grpc_python_out=src src/acaciarelay/protocol/relay.proto
