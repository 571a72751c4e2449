#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python, so that this only
# checks that they compile; nothing of the project's own build is needed.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin/*.py [0-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
