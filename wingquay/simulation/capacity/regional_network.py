"""The network of two regions: near inside a zone, farther between zones, far between regions."""

from collections.abc import Callable
from random import Random
from typing import Any

from wingquay.simulation.capacity.layout import all_zones, region_of
from wingquay.simulation.deployment_profile import DeploymentProfile
from wingquay.simulation.network import CLIENTS, PLATFORM, Network
from wingquay.simulation.virtual_clock import VirtualClock

BETWEEN_REGIONS_SECONDS = 0.015
"""One way; chosen here, since the distance was not told."""


class RegionalNetwork(Network):
    """Carries callbacks between the zones of two regions."""

    def __init__(self, clock: VirtualClock, random_source: Random) -> None:
        profile = DeploymentProfile(name="capacity", zones=all_zones(), classes=(), services=())
        super().__init__(profile, clock, random_source)
        self._later = clock.after

    def later(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run ``callback`` after ``seconds``."""
        self._later(seconds, callback, *arguments)

    def _base_seconds(self, source: str, destination: str) -> float:
        near = CLIENTS in (source, destination) or PLATFORM in (source, destination)
        if near or region_of(source) == region_of(destination):
            return super()._base_seconds(source, destination)
        return BETWEEN_REGIONS_SECONDS
