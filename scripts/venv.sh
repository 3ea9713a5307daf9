#!/usr/bin/env bash
# Creates .venv from the pinned requirements, and again when they change.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=$(cat requirements.txt requirements-dev.txt pyproject.toml | sha256sum)
if [ "$(cat .venv/stamp 2>/dev/null)" != "$stamp" ]; then
  python3 -m venv --clear .venv
  .venv/bin/pip install --quiet -r requirements-dev.txt
  .venv/bin/pip install --quiet --no-deps -e .
  echo "$stamp" > .venv/stamp
fi
