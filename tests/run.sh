#!/bin/sh
# The whole verdict: linter, strict types, tests. Makes its own .venv from the pinned requirements.
set -e
cd "$(dirname "$0")/.."
if ! cat requirements.txt requirements-demo.txt requirements-mesh.txt requirements-dev.txt | cmp -s - .venv/installed-dev.txt; then
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements-dev.txt
    cat requirements.txt requirements-demo.txt requirements-mesh.txt requirements-dev.txt > .venv/installed-dev.txt
fi
[ ! -f KNOWN-RED.txt ] || cat KNOWN-RED.txt
.venv/bin/ruff check .
.venv/bin/ruff format --check .
.venv/bin/mypy
.venv/bin/lint-imports --no-cache > /dev/null || .venv/bin/lint-imports --no-cache
# The mesh's tests are one process of virtual time: they run beside the others, and are shown after them.
mesh_log=$(mktemp)
trap 'rm -f "$mesh_log"' EXIT
.venv/bin/python -m nose2 -s tests/mesh -t . > "$mesh_log" 2>&1 &
mesh=$!
code=0
.venv/bin/python -m pytest -q -n 6 --dist loadscope || code=$?
wait "$mesh" || code=$?
cat "$mesh_log"
exit "$code"
