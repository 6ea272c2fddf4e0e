#!/bin/sh
# From a fresh clone to the running demo, which ends by itself. Arguments go on to it: --seconds N, --plain.
set -e
cd "$(dirname "$0")"
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -c "import httptools, rich, uvloop" 2> /dev/null || .venv/bin/pip -q install -r requirements-demo.txt
exec .venv/bin/python -m minthitch demo "$@"
