#!/usr/bin/env bash
# Two first owners of a tenant's limit. 1: the rule was broken, 0: it held, 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 python3 review/5/case.py
