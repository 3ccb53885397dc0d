#!/usr/bin/env bash
# Two first owners of a tenant's limit. 1: the rule was broken, 0: it held, 2: it couldn't run.
# With TROUBLE=0 the store turns no machine away.
cd "$(dirname "$0")/../.." || exit 2
sh review/build-2.sh || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/5/case.py
