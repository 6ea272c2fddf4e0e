#!/bin/sh
# From a fresh clone to a small mesh on loopback, which ends by itself. Arguments go on to it: --drill, --logs.
set -e
cd "$(dirname "$0")"
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -c "import httptools, lmdb, msgpack, msgspec, uvloop" 2> /dev/null ||
    .venv/bin/pip -q install -r requirements-mesh.txt
exec .venv/bin/python -m rigs.mesh_demo "$@"
