#!/usr/bin/env bash
# Harms real entry VMs at random: scripts/soak.sh --seed N --count M --seconds S
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/venv.sh
exec .venv/bin/python -m tests.soak "$@"
