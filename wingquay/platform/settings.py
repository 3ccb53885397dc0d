"""Settings of a node on the platform: TOML, filled in by the platform from our own template."""

import tomllib
from collections.abc import Mapping
from enum import Enum
from ipaddress import ip_address
from typing import Any

from ..forwarding.knowledge.proof_poll_times import ProofPollMode
from ..model.failure import Failure
from ..model.value import value

GREATEST_PORT = 65_535
MILLISECONDS_PER_SECOND = 1000.0
LEAST_BOUND_MS = 100.0
LEAST_CONTACT_MS = 1000.0
LEAST_REVOCATION_MS = 1000.0
"""In less, no look at the store could be lost and made again."""
GREATEST_BOUND_MS = 600_000.0
LEAST_PROCESSOR = 0.001
GREATEST_PROCESSOR = 1024.0
GREATEST_COLD_FIGURE = 1e6


class SettingsFailureKind(Enum):
    """Why settings cannot be used."""

    UNREADABLE = "unreadable"
    INVALID = "invalid"


@value
class ListenAddress:
    """An IP number and a port."""

    host: str
    port: int


@value
class PlatformSettings:
    """Checked settings.

    Parameters
    ----------
    processor
        How fast the node computes, in whole cores: its share of a core times that core's speed.
    zones
        All zones of the deployment; none if they are not told.
    callers, readiness
        Where callers' requests and the platform's question for readiness arrive.
    store
        Where the platform's store listens.
    drain_seconds
        Time after which a replica that the store says is leaving must get nothing more.
    configuration_seconds
        Time after which a configuration in the store must be in force.
    evacuation_seconds
        Time after which the replicas of a zone that the store says is evacuated must get nothing
        more; ``None``: the platform states no bound.
    contact_seconds
        Time after the store's return at which the bounds above hold again; ``None``: the platform
        states none.
    metrics
        Where figures are told; ``None``: nowhere.
    peers
        Where other nodes ask what this one knows of the store; ``None``: nowhere.
    peer_link
        Where other nodes reach this one with requests; ``None``: nowhere.
    seeds
        Addresses of other nodes, which may be out of date.
    retry_ratio, retry_slack, retry_window_seconds
        Extra arrivals at a service that all nodes together may cause in a window: the ratio for
        each request, and the slack besides.
    cold_overage, cold_slack
        A cold replica may get as many requests a second as its service states, times the first,
        plus the second.
    grace_seconds
        Time between the request to stop and the end by force.
    revocation_seconds
        Time after a configuration took a key away from which on no node may run a request with it,
        whatever the node can reach; ``None``: only nodes in touch are bound.
    proving_way
        How the node that looks at the store for its group keeps the configuration proven.
    limit_window_seconds, limit_overage, limit_slack
        Requests of a tenant that run on all nodes in a window of that length: what its limit allows
        times one more than the second figure, plus the third, at most.
    leaves_when_cut_off
        Whether the node leaves its callers to other zones while it has lost them.
    """

    node: str
    zone: str
    processor: float
    zones: tuple[str, ...]
    callers: ListenAddress
    readiness: ListenAddress
    store: ListenAddress
    drain_seconds: float
    configuration_seconds: float
    evacuation_seconds: float | None
    contact_seconds: float | None
    metrics: ListenAddress | None
    peers: ListenAddress | None
    peer_link: ListenAddress | None
    seeds: tuple[ListenAddress, ...]
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    cold_overage: float
    cold_slack: float
    grace_seconds: float
    revocation_seconds: float | None = None
    proving_way: ProofPollMode = ProofPollMode.SHORT
    limit_window_seconds: float = 5.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    leaves_when_cut_off: bool = True


def parse_settings(text: str) -> PlatformSettings | Failure[SettingsFailureKind]:
    """Return checked settings, or a failure that names the field, its value and what is allowed."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure(SettingsFailureKind.UNREADABLE, f"not valid TOML: {error}")
    try:
        return _settings(document)
    except _InvalidError as error:
        return Failure(SettingsFailureKind.INVALID, str(error))


class _InvalidError(Exception):
    """A field whose value is not allowed."""


def _settings(document: Mapping[str, Any]) -> PlatformSettings:
    return PlatformSettings(
        node=_text(document, "node.name"),
        zone=_text(document, "node.zone"),
        processor=_number(document, "node.processor_share", LEAST_PROCESSOR, GREATEST_PROCESSOR)
        * _number(document, "node.processor_speed", LEAST_PROCESSOR, GREATEST_PROCESSOR),
        zones=_names(document, "node.zones"),
        callers=_address(document, "listen.callers"),
        readiness=_address(document, "listen.readiness"),
        store=_address(document, "store.address"),
        drain_seconds=_milliseconds(document, "store.drain_ms"),
        configuration_seconds=_milliseconds(document, "store.configuration_ms"),
        evacuation_seconds=_optional_milliseconds(document, "store.evacuation_ms", LEAST_BOUND_MS),
        contact_seconds=_optional_milliseconds(document, "store.contact_ms", LEAST_CONTACT_MS),
        metrics=_optional_address(document, "listen.metrics"),
        peers=_optional_address(document, "listen.peers"),
        peer_link=_optional_address(document, "listen.peer_link"),
        seeds=_addresses(document, "peers.seeds"),
        retry_ratio=_number(document, "retries.ratio", 0.0, 1.0),
        retry_slack=_number(document, "retries.slack", 0.0, 1e6),
        retry_window_seconds=_number(document, "retries.window_seconds", 0.1, 3600.0),
        cold_overage=_optional_number(document, "cold.overage", 1.0),
        cold_slack=_optional_number(document, "cold.slack", 0.0),
        grace_seconds=_number(document, "stop.grace_seconds", 0.5, 3600.0),
        revocation_seconds=_revocation_seconds(document),
        proving_way=_proving_way(document),
        limit_window_seconds=_optional_number(document, "limits.window_seconds", 5.0),
        limit_overage=_optional_number(document, "limits.overage", 0.0),
        limit_slack=_optional_number(document, "limits.slack", 0.0),
        leaves_when_cut_off=_leaves_when_cut_off(document),
    )


def _leaves_when_cut_off(document: Mapping[str, Any]) -> bool:
    """Return whether the node leaves callers to other zones; it does if the field is missing."""
    found = _find(document, "node.leaves_when_cut_off")
    if found in (None, "", "true"):
        return True
    if found != "false":
        reason = f"node.leaves_when_cut_off is {found!r}; allowed: true or false, in quotes"
        raise _InvalidError(reason)
    return False


def _revocation_seconds(document: Mapping[str, Any]) -> float | None:
    """Return the bound for keys that are taken away, if the platform asks for it."""
    is_strict = _find(document, "store.strict_revocation")
    if is_strict in (None, "", "false"):
        return None
    if is_strict != "true":
        reason = f"store.strict_revocation is {is_strict!r}; allowed: true or false, in quotes"
        raise _InvalidError(reason)
    seconds = _optional_milliseconds(document, "store.revocation_ms", LEAST_REVOCATION_MS)
    if seconds is None:
        raise _InvalidError("store.revocation_ms is missing; store.strict_revocation needs it")
    return seconds


def _proving_way(document: Mapping[str, Any]) -> ProofPollMode:
    """Return how nodes look at the store under the strict bound."""
    found = _find(document, "store.proving_looks")
    if found in (None, ""):
        return ProofPollMode.SHORT
    for way in ProofPollMode:
        if way.value == found:
            return way
    allowed = ", ".join(way.value for way in ProofPollMode)
    raise _InvalidError(f"store.proving_looks is {found!r}; allowed: {allowed}")


def _find(document: Mapping[str, Any], field: str) -> Any:
    section, _, key = field.partition(".")
    table = document.get(section)
    return table.get(key) if isinstance(table, Mapping) else None


def _text(document: Mapping[str, Any], field: str) -> str:
    found = _find(document, field)
    if not isinstance(found, str) or not found:
        raise _InvalidError(f"{field} is {found!r}; allowed: a text that is not empty")
    return found


def _names(document: Mapping[str, Any], field: str) -> tuple[str, ...]:
    """Return names that are joined by commas; none if the field is missing or empty."""
    found = _find(document, field) or ""
    if not isinstance(found, str):
        raise _InvalidError(f"{field} is {found!r}; allowed: names joined by commas")
    return tuple(part.strip() for part in found.split(",") if part.strip())


def _optional_address(document: Mapping[str, Any], field: str) -> ListenAddress | None:
    return _address(document, field) if _find(document, field) else None


def _addresses(document: Mapping[str, Any], field: str) -> tuple[ListenAddress, ...]:
    """Return addresses that are joined by commas; none if the field is missing or empty."""
    found = _find(document, field) or ""
    if not isinstance(found, str):
        raise _InvalidError(f"{field} is {found!r}; allowed: addresses joined by commas")
    return tuple(_parse_address(part.strip(), field) for part in found.split(",") if part.strip())


def _address(document: Mapping[str, Any], field: str) -> ListenAddress:
    return _parse_address(_find(document, field), field)


def _parse_address(found: object, field: str) -> ListenAddress:
    host, _, port_text = str(found).rpartition(":")
    is_port = port_text.isdigit() and int(port_text) <= GREATEST_PORT
    try:
        ip_address(host)
    except ValueError:
        is_port = False
    if not is_port:
        allowed = f"an IP number and a port up to {GREATEST_PORT}, such as 10.1.0.9:8104"
        raise _InvalidError(f"{field} is {found!r}; allowed: {allowed}")
    return ListenAddress(host, int(port_text))


def _milliseconds(document: Mapping[str, Any], field: str) -> float:
    """Return a time in seconds that the settings give in milliseconds."""
    milliseconds = _number(document, field, LEAST_BOUND_MS, GREATEST_BOUND_MS)
    return milliseconds / MILLISECONDS_PER_SECOND


def _optional_milliseconds(
    document: Mapping[str, Any], field: str, least_ms: float
) -> float | None:
    """Return a time in seconds; ``None`` if the field is missing or an empty text.

    The platform fills in an empty text where it has no such bound, and a number in quotes where it
    has one.
    """
    found = _find(document, field)
    if found is None or found == "":
        return None
    if not isinstance(found, str) or not found.isdigit():
        raise _InvalidError(f"{field} is {found!r}; allowed: whole milliseconds in quotes")
    milliseconds = float(found)
    if not least_ms <= milliseconds <= GREATEST_BOUND_MS:
        allowed = f"a number from {least_ms:g} to {GREATEST_BOUND_MS:g}"
        raise _InvalidError(f"{field} is {found!r}; allowed: {allowed}")
    return milliseconds / MILLISECONDS_PER_SECOND


def _optional_number(document: Mapping[str, Any], field: str, missing: float) -> float:
    """Return a number that stands in quotes; ``missing`` if the field is missing or empty."""
    found = _find(document, field)
    if found is None or found == "":
        return missing
    try:
        number = float(found) if isinstance(found, str) else -1.0
    except ValueError:
        number = -1.0
    if not 0.0 <= number <= GREATEST_COLD_FIGURE:
        allowed = f"a number from 0 to {GREATEST_COLD_FIGURE:g} in quotes"
        raise _InvalidError(f"{field} is {found!r}; allowed: {allowed}")
    return number


def _number(document: Mapping[str, Any], field: str, least: float, most: float) -> float:
    found = _find(document, field)
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if not is_number or not least <= found <= most:
        raise _InvalidError(f"{field} is {found!r}; allowed: a number from {least:g} to {most:g}")
    return float(found)
