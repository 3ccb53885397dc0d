"""Starts a node: ``python3 -S deploy/start_node.py``, at the root of the repository.

``python3 -m`` would load the standard library's way of finding and running modules first, for as
long as the interpreter itself takes to start. Until the program listens, callers of a machine that
comes back find a closed port.
"""

import os
import sys

sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from wingquay.platform.__main__ import main, search_standard_library_first  # noqa: E402

search_standard_library_first()
sys.exit(main())
