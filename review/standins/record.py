"""The record of a case: what was sent, answered and run, one line each."""

import asyncio
from pathlib import Path


class Record:
    """Collects lines with their times and writes them at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self.start_at = 0.0
        """The time that the record calls 0, on the loop's clock."""

    def note(self, what: str, *details: object, **named: object) -> None:
        """Add a line."""
        seconds = asyncio.get_running_loop().time() - self.start_at
        texts = [str(item) for item in details]
        texts += [f"{name}={item}" for name, item in named.items()]
        self._lines.append(f"{seconds:8.3f}  {what}: {' '.join(texts)}")

    def write(self, verdict: str) -> None:
        """Write the record with its verdict as the last line."""
        self._path.write_text("\n".join([*self._lines, verdict, ""]))
        print(verdict)
