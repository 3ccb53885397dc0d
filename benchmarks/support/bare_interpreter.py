"""A Python process with an event loop and nothing else: the baseline of memory."""

import asyncio
import signal


async def _wait() -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    print("ready", flush=True)
    await stopped.wait()


if __name__ == "__main__":
    asyncio.run(_wait())
