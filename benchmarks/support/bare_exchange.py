"""The baseline of every benchmark here: one bare h11 exchange, client and server on one loop.

Processors, and other work on them, differ; a figure says something only beside what the least
possible exchange through the same library cost in the same run.
"""

import asyncio
import time

from benchmarks.http_exchange import BareServer, bare_exchanges
from benchmarks.support.bare_backends import LOOPBACK

EXCHANGES = 500
MICROSECONDS = 1e6


async def measure_bare_exchange(exchanges: int = EXCHANGES) -> float:
    """Return the processor time of one exchange, both sides, in microseconds."""
    server = await asyncio.get_running_loop().create_server(BareServer, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    began = time.process_time()
    await bare_exchanges(port, exchanges)
    spent = time.process_time() - began
    server.close()
    return spent * MICROSECONDS / exchanges


def bare_exchange_us() -> float:
    """Return the same from outside an event loop."""
    return asyncio.run(measure_bare_exchange())
