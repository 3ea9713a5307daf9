#!/usr/bin/env bash
# Serves a desk's sample calls end to end: scripts/demo.sh [traders|ausflug]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python scripts/demo.py "$@"
