#!/bin/sh
# The stand-ins need only the standard library; this checks that they load.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import standins'
