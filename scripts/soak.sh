#!/usr/bin/env bash
# Injects random faults into real entry VMs:
# scripts/soak.sh --seed N --count M --seconds S
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python -m tests.soak "$@"
