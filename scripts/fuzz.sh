#!/usr/bin/env bash
# Fuzzes longer than CI: scripts/fuzz.sh --seed N --examples M
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python -m tests.longer "$@"
