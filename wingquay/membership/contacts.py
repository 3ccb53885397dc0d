"""Addresses to contact: to join the cluster, and to rejoin it after a network partition."""

import random
from collections.abc import Iterable

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer import NodeIdentity
from .member_table import MemberTable
from .settings import SeedAddress


class ContactCandidates:
    """Seeds, addresses from the machine list, and nodes that are considered dead.

    Parameters
    ----------
    own
        This node's own address, which is never returned.
    seeds
        Configured addresses of nodes.
    """

    def __init__(
        self,
        own: SeedAddress,
        seeds: Iterable[SeedAddress],
        table: MemberTable,
        random_source: random.Random,
    ) -> None:
        self._own = own
        self._seeds = tuple(dict.fromkeys(seeds))
        self._machine_list_addresses: tuple[SeedAddress, ...] = ()
        self._table = table
        self._random = random_source

    def set_machine_list_addresses(self, addresses: Iterable[SeedAddress]) -> None:
        """Replace the addresses from the machine list that may be nodes."""
        self._machine_list_addresses = tuple(addresses)

    def choose(self, count: int) -> list[NodeIdentity]:
        """Return up to ``count`` random addresses at which no live node is known."""
        candidates = [*self._unknown_addresses(), *self._dead()]
        return self._random.sample(candidates, min(count, len(candidates)))

    def _unknown_addresses(self) -> list[NodeIdentity]:
        addresses = dict.fromkeys((*self._seeds, *self._machine_list_addresses))
        return [_unidentified_node(address) for address in addresses if self._is_unknown(address)]

    def _is_unknown(self, address: SeedAddress) -> bool:
        if address == self._own:
            return False
        member = self._table.at_address(address.host, address.port)
        return member is None

    def _dead(self) -> list[NodeIdentity]:
        return [
            member.identity
            for member in self._table.dead()
            if self._is_latest_at_address(member.identity)
        ]

    def _is_latest_at_address(self, identity: NodeIdentity) -> bool:
        """Whether this is the last node known at its address, and the local node is not there."""
        if SeedAddress(identity.host, identity.port) == self._own:
            return False
        latest = self._table.at_address(identity.host, identity.port)
        return latest is None or latest.identity == identity


def _unidentified_node(address: SeedAddress) -> NodeIdentity:
    return NodeIdentity(NodeId(""), DeploymentName(""), ZoneName(""), address.host, address.port)
