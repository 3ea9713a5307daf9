#!/usr/bin/env bash
# Starts an example fleet and sends its sample calls:
# scripts/demo.sh [traders|ausflug]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python scripts/demo.py "$@"
