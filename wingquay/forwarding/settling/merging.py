"""Merges the records of several shards and keeps the greatest ones."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records; an incomplete record at the end is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def merge_top_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records of all bodies in descending order, duplicates included."""
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    return b"".join(heapq.nlargest(max_records, records))
