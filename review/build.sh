#!/bin/sh
# The stand-ins of the scripts are Python on the standard library alone: this only checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py [0-9]*/*.py; do
    if [ -f "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
    fi
done
