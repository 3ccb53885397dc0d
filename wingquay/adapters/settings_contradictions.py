"""Settings that are allowed each by itself and contradict each other."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .settings_tuning import TUNING_SECTIONS


@dataclass(frozen=True, slots=True)
class _Order:
    """``greater`` must be at least ``factor`` times ``smaller``; both are ``section.name``."""

    greater: str
    smaller: str
    factor: int
    reason: str


_ORDERS = (
    _Order(
        "query.owner_silence_seconds",
        "admission.owner_heartbeat_seconds",
        3,
        "a silent owner is told from a slow one by its heartbeats",
    ),
    _Order("stop.most_seconds", "stop.least_seconds", 1, "one is the bound of the other"),
    _Order(
        "stop.most_seconds",
        "query.stop_linger_seconds",
        1,
        "requests are still taken while a stop lingers",
    ),
    _Order(
        "routing.ejection_max_seconds",
        "routing.ejection_base_seconds",
        1,
        "one is the bound of the other",
    ),
)


def contradictions(data: Mapping[str, object], wrong_paths: frozenset[str]) -> list[str]:
    """Return a line for each pair of settings in ``data`` (parsed TOML) that contradict.

    Settings in ``wrong_paths`` are wrong by themselves and left out.
    """
    lines: list[str] = []
    for order in _ORDERS:
        if wrong_paths.intersection((order.greater, order.smaller)):
            continue
        greater = _number(data, order.greater)
        smaller = _number(data, order.smaller)
        if greater is None or smaller is None or greater >= order.factor * smaller:
            continue
        times = f"{order.factor} times " if order.factor > 1 else ""
        lines.append(
            f"{order.greater}: {greater:g} is not allowed; must be at least {times}"
            f"{order.smaller} ({smaller:g}): {order.reason}"
        )
    return lines


def _number(data: Mapping[str, object], path: str) -> float | None:
    """Return a setting's value, given or by default; ``None`` if it is no number."""
    section, _, name = path.partition(".")
    table: Any = data.get(section, {})
    if not isinstance(table, dict):
        return None
    value = table.get(name, getattr(TUNING_SECTIONS[section](), name))
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else None
