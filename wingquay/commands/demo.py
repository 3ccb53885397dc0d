"""``wingquay demo``: a whole small system on this machine."""

from ..demo.run import run_demo


async def command(json: bool = False, serve: bool = False, seed: int = 1) -> int:
    """Run a whole small system on loopback TCP and show what it does.

    Starts a key-value store, the back ends of ro-nord and two nodes in this process, asks them
    for sweeps, pings and single records, stops and drains back ends meanwhile, and compares every
    answer with what the back ends hold. Takes under 20 seconds. Exit code 1 if anything went
    wrong.

    Parameters
    ----------
    json
        Print one JSON object instead of a table.
    serve
        Leave everything running until interrupted.
    seed
        Seed of the back ends' service times.
    """
    return await run_demo(seed, json, serve)
