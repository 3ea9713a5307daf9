#!/usr/bin/env bash
# Runs the fuzz tests with more examples than CI does:
# scripts/fuzz.sh --seed N --examples M
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python -m tests.longer "$@"
