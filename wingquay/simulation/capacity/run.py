"""One run of ``wingquay capacity``, phase by phase."""

import gc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wingquay.simulation.capacity.changes import ChangeTimes, Operator
from wingquay.simulation.capacity.cluster import CapacityCluster
from wingquay.simulation.capacity.fleet import machine_of
from wingquay.simulation.capacity.memory import resident_mb, state_mb
from wingquay.simulation.capacity.meters import NodeMeter
from wingquay.simulation.capacity.scenarios import (
    ChurnTimes,
    crash_and_replace,
    cut_and_heal,
    restart_all,
)
from wingquay.simulation.capacity.settings import CapacitySettings

START_SPREAD_SECONDS = 0.2
"""Short: whoever starts later is doubted by those that know of it already."""

SETTLE_SECONDS = 20.0
"""From the last start to the first measured second."""

SETTLE_LIMIT_SECONDS = 120.0
CHANGE_PAUSE_SECONDS = 5.0
NODES_SIZED = 16
"""Nodes whose memory is sized; the first of each zone are among them."""


@dataclass(slots=True)
class Phase:
    """What nodes did in some virtual time."""

    seconds: float
    meters: list[NodeMeter]
    store_requests: int
    suspicions: int
    deaths: int


@dataclass(slots=True)
class Findings:
    """Everything that a run brought."""

    settings: CapacitySettings
    settled_seconds: float | None = None
    ordinary: Phase | None = None
    changes: Phase | None = None
    change_times: ChangeTimes = field(default_factory=ChangeTimes)
    churn: Phase | None = None
    churn_times: ChurnTimes = field(default_factory=ChurnTimes)
    zone_cut: dict[str, Any] | None = None
    restart: dict[str, Any] | None = None
    process_mb: float = 0.0
    state_mb: list[float] = field(default_factory=list)
    resident_slope_mb: float = 0.0
    digest: str = ""
    events: int = 0
    virtual_seconds: float = 0.0


def run(settings: CapacitySettings) -> Findings:
    """Run all phases that ``settings`` ask for."""
    findings = Findings(settings)
    findings.process_mb = resident_mb()
    cluster = CapacityCluster(settings)
    _start(cluster, findings)
    findings.ordinary = _phase(cluster, lambda: cluster.run(settings.seconds))
    _size(cluster, findings)
    operator = Operator(cluster)
    findings.change_times = operator.times
    if settings.changes:
        findings.changes = _phase(cluster, lambda: _change(cluster, operator))
    if settings.churn:
        findings.churn = _phase(cluster, lambda: _churn(cluster, findings))
    if settings.zone_cut_seconds:
        findings.zone_cut = cut_and_heal(cluster, settings.zone_cut_seconds)
    if settings.restart_all:
        findings.restart = restart_all(cluster)
    findings.digest = cluster.fleet.digest.hexdigest()
    findings.events = cluster.fleet.digest.events
    findings.virtual_seconds = cluster.clock.now
    return findings


def _start(cluster: CapacityCluster, findings: Findings) -> None:
    cluster.begin(START_SPREAD_SECONDS)
    cluster.run(START_SPREAD_SECONDS)
    cluster.list_machines()
    settled = cluster.run_until(cluster.is_settled, SETTLE_LIMIT_SECONDS)
    findings.settled_seconds = None if settled is None else START_SPREAD_SECONDS + settled
    cluster.run(max(0.0, SETTLE_SECONDS - (settled or 0.0)))


def _phase(cluster: CapacityCluster, scenario: Callable[[], object]) -> Phase:
    """Run ``scenario`` and return what the nodes that ran throughout did meanwhile."""
    for machine in cluster.fleet.machines():
        machine.take_meter()
    cluster.alarms.reset()
    began, requests_before = cluster.clock.now, cluster.store.requests
    present = list(cluster.fleet.running)
    scenario()
    running = cluster.fleet.running
    meters = [machine_of(running[name]).take_meter() for name in present if name in running]
    return Phase(
        seconds=cluster.clock.now - began,
        meters=meters,
        store_requests=cluster.store.requests - requests_before,
        suspicions=cluster.alarms.suspicions,
        deaths=cluster.alarms.deaths,
    )


def _change(cluster: CapacityCluster, operator: Operator) -> None:
    for _ in range(cluster.settings.changes):
        operator.change()
        cluster.run(CHANGE_PAUSE_SECONDS)


def _churn(cluster: CapacityCluster, findings: Findings) -> None:
    findings.churn_times = crash_and_replace(cluster, cluster.settings.churn)


def _size(cluster: CapacityCluster, findings: Findings) -> None:
    gc.collect()
    nodes = cluster.settings.nodes
    findings.resident_slope_mb = (resident_mb() - findings.process_mb) / nodes
    findings.state_mb = [
        state_mb(machine.node_machine, (machine.listener,))
        for machine in cluster.fleet.machines()[:NODES_SIZED]
    ]
