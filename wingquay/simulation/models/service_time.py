"""How long a piece of work takes, and what fate a straggler meets.

Fates come from a hash of (seed, replica, index of the execution) rather than from a shared
random source. Two policies compared under one seed therefore meet the same stragglers at the
same executions, however many other draws each policy makes.
"""

import math
from dataclasses import dataclass
from hashlib import blake2b
from statistics import NormalDist

from ...model.identifiers import ReplicaId, RequestKindName

DURATION_DIGITS = 9
"""Durations are rounded to nanoseconds: the last bit of ``exp`` differs between libraries."""

_UNIFORM_BYTES = 8
_UNIFORM_SCALE = 2.0 ** (8 * _UNIFORM_BYTES)
_SMALLEST_UNIFORM = 1e-12
_STANDARD_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class ServiceTimeSettings:
    """Distribution of service times (log-normal, with stragglers).

    Parameters
    ----------
    median_seconds
        Median of kinds that are not in ``kind_medians``.
    kind_medians
        Pairs of request kind and its median in seconds.
    sigma
        Standard deviation of the logarithm; 0.4 puts the 99th percentile at 2.5 medians.
    straggler_share
        Share of executions, 0 to 1, that are slower by a factor between the two below.
    error_share
        Share of executions, 0 to 1, that end in an error after they ran.
    """

    median_seconds: float = 0.005
    kind_medians: tuple[tuple[RequestKindName, float], ...] = ()
    sigma: float = 0.4
    straggler_share: float = 0.01
    straggler_factor_smallest: float = 10.0
    straggler_factor_largest: float = 50.0
    error_share: float = 0.0

    def median_of(self, kind: RequestKindName) -> float:
        """Return the median service time of ``kind``, in seconds."""
        for name, median_seconds in self.kind_medians:
            if name == kind:
                return median_seconds
        return self.median_seconds


@dataclass(frozen=True, slots=True)
class Fate:
    """What an execution meets, apart from the state of its replica."""

    service_seconds: float
    is_straggler: bool
    ends_in_error: bool


def draw_fate(
    settings: ServiceTimeSettings,
    seed: int,
    replica_id: ReplicaId,
    execution_index: int,
    kind: RequestKindName,
) -> Fate:
    """Return the fate of the replica's execution number ``execution_index``."""
    noise, straggles, factor, errs = _uniforms(f"{seed}/{replica_id}/{execution_index}")
    seconds = settings.median_of(kind) * _log_normal(noise, settings.sigma)
    is_straggler = straggles < settings.straggler_share
    if is_straggler:
        smallest = settings.straggler_factor_smallest
        seconds *= smallest + factor * (settings.straggler_factor_largest - smallest)
    rounded = round(seconds, DURATION_DIGITS)
    return Fate(rounded, is_straggler, errs < settings.error_share)


def _log_normal(uniform: float, sigma: float) -> float:
    inside = min(max(uniform, _SMALLEST_UNIFORM), 1 - _SMALLEST_UNIFORM)
    return math.exp(sigma * _STANDARD_NORMAL.inv_cdf(inside))


def _uniforms(text: str) -> tuple[float, float, float, float]:
    digest = blake2b(text.encode(), digest_size=4 * _UNIFORM_BYTES).digest()
    parts = [
        int.from_bytes(digest[offset : offset + _UNIFORM_BYTES], "big") / _UNIFORM_SCALE
        for offset in range(0, len(digest), _UNIFORM_BYTES)
    ]
    return parts[0], parts[1], parts[2], parts[3]
