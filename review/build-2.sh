#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.  They are of the standard library
# of Python 3.11 or later only, so that this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'EOF'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in glob.glob('standins_2/*.py') + glob.glob('[0-9]*/case.py'):
    with open(path) as file:
        compile(file.read(), path, 'exec')
EOF
