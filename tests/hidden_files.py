"""Finds test files whose tests don't run because another file has the same module name."""

from collections.abc import Iterable
from pathlib import Path


def hidden_files(collected: Iterable[tuple[Path, Path | None]]) -> list[str]:
    """Return the files from which tests were collected that run the code of another file.

    Parameters
    ----------
    collected
        For each test, the file that it was collected from and the file of its module; ``None``:
        it has no module.
    """
    return sorted({str(path) for path, module in collected if module not in (None, path)})
