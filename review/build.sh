#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs that use
# the standard library only, so they are only compiled, as a check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
