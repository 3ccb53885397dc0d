"""Runs the simulations of an experiment on several processes.

These processes only compute; none of them serves anything, and the served program starts none.
"""

import multiprocessing
import os
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed

from .measure import measure
from .run_result import RunResult
from .scenario import Run

START_METHOD = "spawn"
"""Workers begin as clean interpreters, whatever the launcher has loaded."""

Progress = Callable[[int, RunResult], None]
"""Called after each run with the number of finished runs and the result."""


def run_all(runs: Sequence[Run], workers: int, progress: Progress) -> list[RunResult]:
    """Return the results of all runs, in the order of ``runs``."""
    results: dict[Run, RunResult] = {}
    context = multiprocessing.get_context(START_METHOD)
    with ProcessPoolExecutor(
        min(workers, len(runs)), mp_context=context, initializer=_end_with_launcher
    ) as pool:
        try:
            future_runs = {pool.submit(measure, run): run for run in runs}
            for future in as_completed(future_runs):
                results[future_runs[future]] = future.result()
                progress(len(results), future.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [results[run] for run in runs]


def _end_with_launcher() -> None:
    """Let this worker end when its launcher was killed and nobody waits for results any more."""
    launcher = multiprocessing.parent_process()
    if launcher is None:
        return

    def watch() -> None:
        launcher.join()
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()
