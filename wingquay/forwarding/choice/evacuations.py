"""Excludes the replicas of evacuated zones, as listed by keys of the store."""

from collections.abc import Collection

from ...ports.machine import Action, Count, Log, LogLevel
from .replica_directory import ReplicaDirectory


class Evacuations:
    """Maintains the set of evacuated zones from their keys in the store.

    Parameters
    ----------
    prefix
        Prefix of the keys; the rest of a key is the name of the zone.
    directory
        Receives the set of evacuated zones.
    """

    def __init__(self, prefix: str, directory: ReplicaDirectory) -> None:
        self._prefix = prefix
        self._directory = directory

    def handles(self, key: str) -> bool:
        """Whether a key is that of an evacuated zone."""
        return key.startswith(self._prefix)

    def missing_from(self, keys: Collection[str]) -> tuple[str, ...]:
        """Return the keys of evacuated zones that are missing from a complete listing."""
        evacuated_keys = (self._prefix + zone for zone in sorted(self._directory.evacuated_zones))
        return tuple(key for key in evacuated_keys if key not in keys)

    def put(self, key: str) -> list[Action]:
        """Stop sending requests to the replicas of a zone."""
        zone = key.removeprefix(self._prefix)
        return self._set(self._directory.evacuated_zones | {zone}, zone, "zone_evacuated")

    def remove(self, key: str) -> list[Action]:
        """Resume sending requests to the replicas of a zone."""
        zone = key.removeprefix(self._prefix)
        return self._set(self._directory.evacuated_zones - {zone}, zone, "zone_taken_back")

    def _set(self, zones: frozenset[str], zone: str, message: str) -> list[Action]:
        if zones == self._directory.evacuated_zones:
            return []
        self._directory.set_evacuated_zones(zones)
        return [
            Log(message, LogLevel.WARNING, (("zone", zone), ("zones", len(zones)))),
            Count("zone_evacuations_total", labels=(("change", message),)),
        ]
