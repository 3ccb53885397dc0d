"""What a load consists of, checked: targets, mix of request kinds, rate, bounds, keys."""

import ipaddress
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from ...adapters.settings import Endpoint, parse_endpoint
from ...model.failure import Failure

GREATEST_RATE = 100_000.0
LONGEST_SECONDS = 86_400.0
GREATEST_COUNT = 100_000_000
MOST_CONNECTIONS = 60_000
LONGEST_TIMEOUT_SECONDS = 600.0
GREATEST_WEIGHT = 1_000_000.0
ALL_KEYS = "all"

_MIX_FORM = "SERVICE/KIND[:WEIGHT[:KEYS]], KEYS a number or all"


class LoadFailureKind(Enum):
    """Why a load was refused."""

    WRONG_FLAG = "wrong_flag"


@dataclass(frozen=True, slots=True)
class MixEntry:
    """A kind of request and its part in the load.

    Parameters
    ----------
    key_count
        Keys that a request asks for, chosen at random; ``None``: all keys.
    """

    service: str
    kind: str
    weight: float = 1.0
    key_count: int | None = 1


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request.

    Parameters
    ----------
    at_seconds
        When it is to start, from the start of the load.
    keys
        Keys asked for; ``None``: all keys.
    """

    number: int
    at_seconds: float
    target: Endpoint
    entry: MixEntry
    keys: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load, bounded in time and in number.

    Parameters
    ----------
    rate
        Requests a second, over all targets.
    is_even
        Equal gaps between requests, not those of independent callers (exponential).
    timeout_seconds
        A request that is not answered so long after its intended start has failed.
    keys
        All keys that there are.
    """

    targets: tuple[Endpoint, ...]
    mix: tuple[MixEntry, ...]
    rate: float
    seconds: float
    count: int
    connections: int
    timeout_seconds: float
    keys: tuple[str, ...]
    is_even: bool = False
    seed: int = 1

    def requests(self) -> Iterator[PlannedRequest]:
        """Yield the requests in the order of their intended starts."""
        random_source = Random(self.seed)
        weights = [entry.weight for entry in self.mix]
        at_seconds = 0.0
        for number in range(self.count):
            if at_seconds >= self.seconds:
                return
            (entry,) = random_source.choices(self.mix, weights)
            target = self.targets[number % len(self.targets)]
            keys = self._choose_keys(entry, random_source)
            yield PlannedRequest(number, at_seconds, target, entry, keys)
            gap_seconds = 1.0 / self.rate
            if not self.is_even:
                gap_seconds = random_source.expovariate(self.rate)
            at_seconds += gap_seconds

    def _choose_keys(self, entry: MixEntry, random_source: Random) -> tuple[str, ...] | None:
        if entry.key_count is None:
            return None
        return tuple(random_source.sample(self.keys, min(entry.key_count, len(self.keys))))


def check_plan(plan: LoadPlan) -> Failure[LoadFailureKind] | None:
    """Return what is wrong with the numbers of a plan, or ``None``."""
    bounds = (
        ("rate", plan.rate, GREATEST_RATE),
        ("seconds", plan.seconds, LONGEST_SECONDS),
        ("count", plan.count, GREATEST_COUNT),
        ("connections", plan.connections, MOST_CONNECTIONS),
        ("timeout-seconds", plan.timeout_seconds, LONGEST_TIMEOUT_SECONDS),
    )
    for name, number, greatest in bounds:
        if not 0 < number <= greatest:
            return _wrong(name, f"{number:g}", f"above 0 and at most {greatest:g}")
    return None


def parse_targets(text: str, allow_remote: bool) -> tuple[Endpoint, ...] | Failure[LoadFailureKind]:
    """Read ``IP:PORT,IP:PORT``; other machines than this one only if that was allowed."""
    targets: list[Endpoint] = []
    for part in text.split(","):
        try:
            target = parse_endpoint(part.strip())
        except ValueError:
            return _wrong("target", part, "IP:PORT, several with commas between them")
        if not allow_remote and not ipaddress.ip_address(target.host).is_loopback:
            return _wrong("target", part, "on this machine (loopback) without --allow-remote")
        targets.append(target)
    return tuple(targets)


def parse_mix(text: str) -> tuple[MixEntry, ...] | Failure[LoadFailureKind]:
    """Read ``SERVICE/KIND:WEIGHT:KEYS`` entries with commas between them."""
    entries: list[MixEntry] = []
    for part in text.split(","):
        entry = _parse_entry(part.strip())
        if entry is None:
            return _wrong("mix", part, _MIX_FORM)
        entries.append(entry)
    return tuple(entries)


def _parse_entry(text: str) -> MixEntry | None:
    name, *numbers = text.split(":")
    service, _, kind = name.partition("/")
    if not service or not kind or len(numbers) > 2:  # noqa: PLR2004 - weight and keys
        return None
    weight = _parse_weight(numbers[0]) if numbers else 1.0
    if weight is None:
        return None
    keys = numbers[1] if len(numbers) > 1 else "1"
    if keys == ALL_KEYS:
        return MixEntry(service, kind, weight, None)
    if not keys.isascii() or not keys.isdigit() or not int(keys):
        return None
    return MixEntry(service, kind, weight, int(keys))


def _parse_weight(text: str) -> float | None:
    try:
        weight = float(text)
    except ValueError:
        return None
    return weight if math.isfinite(weight) and 0 < weight <= GREATEST_WEIGHT else None


def parse_keys(text: str) -> tuple[str, ...] | Failure[LoadFailureKind]:
    """Read a list of keys, one a line."""
    keys: Sequence[str] = list(dict.fromkeys(line for line in text.splitlines() if line))
    return tuple(keys) if keys else _wrong("keys-file", "an empty file", "one key a line")


def _wrong(flag: str, given: str, allowed: str) -> Failure[LoadFailureKind]:
    reason = f"--{flag}: {given!r} is not allowed; must be {allowed}"
    return Failure(LoadFailureKind.WRONG_FLAG, reason)
