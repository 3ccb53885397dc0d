"""Which machine a simulated node runs."""

from random import Random
from typing import Protocol

from ..membership.settings import SeedAddress
from ..model.identifiers import Revision
from ..orchestration.node_machine import NodeMachine
from ..orchestration.settings import NodeMachineSettings
from ..ports.machine import Machine
from ..ports.peer import NodeIdentity
from .baselines.naive import NaiveNode
from .simulation_settings import Policy, SimulationSettings


class RevisedMachine(Machine, Protocol):
    """A machine that tells which revision of the configuration it goes by."""

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 if there is none yet."""
        ...


class MachineFactory(Protocol):
    """Makes the machine of a new process."""

    def __call__(
        self, identity: NodeIdentity, peers: tuple[NodeIdentity, ...], random_source: Random
    ) -> RevisedMachine:
        """Return the machine of a process that starts now.

        Parameters
        ----------
        peers
            The processes that its settings file names.
        """
        ...


def machine_factory(settings: SimulationSettings) -> MachineFactory:
    """Return the factory for the policy of ``settings``."""
    if settings.policy is Policy.NAIVE:
        configuration = settings.profile.configuration

        def make_naive(
            identity: NodeIdentity, peers: tuple[NodeIdentity, ...], random_source: Random
        ) -> RevisedMachine:
            del peers
            return NaiveNode(identity, configuration, random_source)

        return make_naive
    node_settings = NodeMachineSettings(disabled=settings.without)

    def make_wingquay(
        identity: NodeIdentity, peers: tuple[NodeIdentity, ...], random_source: Random
    ) -> RevisedMachine:
        seeds = tuple(SeedAddress(peer.host, peer.port) for peer in peers)
        return NodeMachine(identity, node_settings, random_source, seeds)

    return make_wingquay
