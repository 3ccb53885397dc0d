"""Selection of the tests listed in KNOWN-RED.txt, by exact node id."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAXIMUM_KNOWN_RED = 3
FIELD_SEPARATOR = " | "
FIELD_COUNT = 3


class KnownRedError(ValueError):
    """The list is malformed, too long, or names a test that does not exist."""


@dataclass(frozen=True)
class KnownRed:
    """One test that may fail, why it fails, and the issue that will mend it."""

    node_id: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse lines of the form ``test-node-id | cause | issue``."""
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    if len(entries) > MAXIMUM_KNOWN_RED:
        raise KnownRedError(f"{len(entries)} tests listed, at most {MAXIMUM_KNOWN_RED} allowed")
    return entries


def _parse_line(line: str) -> KnownRed:
    # Split from the right: a parametrised node id may hold the separator.
    fields = [field.strip() for field in line.rsplit(FIELD_SEPARATOR, FIELD_COUNT - 1)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise KnownRedError(f"not 'test-node-id | cause | issue': {line!r}")
    return KnownRed(*fields)


def read_known_red(root: Path) -> list[KnownRed]:
    """Read the list at the root of the tree; no file means an empty list."""
    path = root / KNOWN_RED_FILE
    if not path.exists():
        return []
    return parse_known_red(path.read_text(encoding="utf-8"))


def split_node_ids(
    node_ids: Sequence[str], entries: Sequence[KnownRed]
) -> tuple[list[str], list[str]]:
    """Return the node ids that are not listed, and those that are, each in collection order."""
    listed = {entry.node_id for entry in entries}
    missing = listed.difference(node_ids)
    if missing:
        raise KnownRedError(f"listed but not collected: {', '.join(sorted(missing))}")
    green = [node_id for node_id in node_ids if node_id not in listed]
    red = [node_id for node_id in node_ids if node_id in listed]
    return green, red
