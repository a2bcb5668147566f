#!/usr/bin/env bash
# Checks what the scripts start. The stand-ins are Python and need no build; the
# daemon comes from the deploy file's build.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py */run.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/bin/crowlinkd
