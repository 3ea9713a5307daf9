#!/usr/bin/env bash
# Checks formatting, runs the linter and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
.venv/bin/ruff format --check src tests scripts bench platform
.venv/bin/flake8 src tests scripts bench platform
exec .venv/bin/python tests/run.py "$@"
