#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are
# Python programs that use the standard library only, so they are only
# compiled, as a check. Nothing of the project's own stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [4-8]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
