"""Faults of the network, and answers that come late, twice or crossed."""

from functools import partial

from ..network import PLATFORM
from .fault import Fault, FaultContext

DATAGRAM_TROUBLE_SHARE = 0.2
LATE_SHARE = 0.02
LATE_SECONDS = 1.5
DUPLICATED_SHARE = 0.05
CROSSED_SHARE = 0.01
REPEATED_SHARE = 0.05
LONGEST_EXTRA_SECONDS = 1.5


def _zone_cut(context: FaultContext) -> None:
    simulation = context.simulation
    zones = simulation.settings.profile.zones
    for at_seconds in context.moments(interval_seconds=12.0):
        zone = context.random_source.choice(zones)
        seconds = context.random_source.uniform(0.5, 6.0)
        context.at(at_seconds, partial(_cut_zone_off, context, zone, seconds))


def _cut_zone_off(context: FaultContext, zone: str, seconds: float) -> None:
    simulation = context.simulation
    others = [other for other in simulation.settings.profile.zones if other != zone]
    others.append(PLATFORM)
    simulation.network.cut_off(zone, others)
    until = simulation.clock.now + seconds
    for node in simulation.nodes.in_zone(zone):
        simulation.oracle.cut_off(node.identity.node_id, until)
    context.later(seconds, partial(simulation.network.rejoin, zone, others))


def _one_way_cut(context: FaultContext) -> None:
    simulation = context.simulation
    zones = simulation.settings.profile.zones
    for at_seconds in context.moments(interval_seconds=12.0):
        source, destination = context.random_source.sample(zones, 2)
        seconds = context.random_source.uniform(0.5, 6.0)

        def cut(source: str = source, destination: str = destination) -> None:
            simulation.network.cut(source, destination)

        def heal(source: str = source, destination: str = destination) -> None:
            simulation.network.heal(source, destination)

        context.at(at_seconds, cut)
        simulation.clock.at(at_seconds + seconds, heal)


def _slow_path(context: FaultContext) -> None:
    simulation = context.simulation
    zones = simulation.settings.profile.zones
    for at_seconds in context.moments():
        source, destination = context.random_source.sample(zones, 2)
        seconds = context.random_source.uniform(0.5, 4.0)
        extra_seconds = context.random_source.uniform(0.05, LONGEST_EXTRA_SECONDS)
        network = simulation.network
        slow_down = partial(network.slow_down, source, destination, extra_seconds)
        context.at(at_seconds, slow_down)
        simulation.clock.at(at_seconds + seconds, network.speed_up, source, destination)


def _repeated_results(context: FaultContext) -> None:
    context.simulation.links.repeated_share = REPEATED_SHARE


def _link_breaks(context: FaultContext) -> None:
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=2.0):
        first, second = context.random_source.random(), context.random_source.random()

        def break_link(first: float = first, second: float = second) -> None:
            one, other = simulation.nodes.pick(first), simulation.nodes.pick(second)
            if one is not None and other is not None and one is not other:
                simulation.links.break_link(one.identity.node_id, other.identity.node_id)

        context.at(at_seconds, break_link)


def _datagram_trouble(context: FaultContext) -> None:
    network = context.simulation.network

    def begin() -> None:
        network.datagram_loss_share = DATAGRAM_TROUBLE_SHARE
        network.datagram_duplicate_share = DATAGRAM_TROUBLE_SHARE
        network.datagram_reorder_share = DATAGRAM_TROUBLE_SHARE

    def end() -> None:
        network.datagram_loss_share = 0.0
        network.datagram_duplicate_share = 0.0
        network.datagram_reorder_share = 0.0

    for at_seconds in context.moments():
        context.at(at_seconds, begin)
        context.simulation.clock.at(at_seconds + context.random_source.uniform(1.0, 6.0), end)


def _late_answers(context: FaultContext) -> None:
    disturbance = context.simulation.exchanges.disturbance
    disturbance.late_share = LATE_SHARE
    disturbance.late_seconds = LATE_SECONDS


def _duplicated_answers(context: FaultContext) -> None:
    context.simulation.exchanges.disturbance.duplicated_share = DUPLICATED_SHARE


def _crossed_answers(context: FaultContext) -> None:
    context.simulation.exchanges.disturbance.crossed_share = CROSSED_SHARE


NETWORK_FAULTS = (
    Fault("zone_cut", "a zone is cut off from the others and from the platform", _zone_cut),
    Fault("one_way_cut", "one zone's messages to another are lost", _one_way_cut),
    Fault("slow_path", "messages from one zone to another take up to 1.5 s longer", _slow_path),
    Fault("repeated_results", "results between nodes come twice", _repeated_results),
    Fault("link_breaks", "connections between nodes break with messages in transit", _link_breaks),
    Fault("datagram_trouble", "datagrams are lost, doubled and reordered", _datagram_trouble),
    Fault("late_answers", "answers of back ends come after the exchange was ended", _late_answers),
    Fault("crossed_answers", "answers come on another exchange's connection", _crossed_answers),
    Fault("duplicated_answers", "answers of back ends come twice", _duplicated_answers),
)
