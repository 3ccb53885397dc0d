#!/usr/bin/env bash
# The stand-ins need nothing but Python's standard library; compiling them shows that they load.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -m compileall -q standins 1 2 3
