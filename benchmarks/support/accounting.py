"""What the system accounts to a process: processor time and resident memory (Linux, ``/proc``)."""

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS_FIELD = 11
"""Index after the command's closing parenthesis; system ticks follow. Source: proc(5)."""


def processor_seconds(process_id: int) -> float:
    """Return user and system time of a process so far, in steps of a clock tick (10 ms)."""
    text = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_USER_TICKS_FIELD + 1])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process, pages shared with others included."""
    text = Path(f"/proc/{process_id}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES
