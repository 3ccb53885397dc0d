#!/bin/sh
# Builds what the scripts of the cases 4 to 8 start. Their stand-ins are Python, the project's own
# stand-in of the store included: all that is to be done is to see that the libraries of the deploy
# file's build are there and that the stand-ins can be loaded with them, without a network.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review:review/standins_3" python3 -c '
import lab, lab_2.client, lab_2.node, lab_2.platform, lab_2.replica
' || { echo "the build line of deploy/system.toml has to be run first" >&2; exit 2; }
