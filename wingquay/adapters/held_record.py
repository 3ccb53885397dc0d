"""The value of the store's key of a request that is held back, as JSON."""

import orjson

from ..ports.crash_messages import HeldRequest


def held_value(held: HeldRequest) -> bytes:
    """Return the value that tells of a request that is held back."""
    return orjson.dumps(
        {
            "seconds": held.seconds,
            "target": held.target,
            "caller": held.caller,
            "found_by": held.found_by,
        }
    )


def parse_held(value: bytes) -> HeldRequest | None:
    """Return what a value tells; ``None``: it cannot be read."""
    try:
        document = orjson.loads(value)
        return HeldRequest(
            float(document["seconds"]),
            str(document["target"]),
            str(document["caller"]),
            str(document["found_by"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
