"""Combines both sides of delegation: outgoing delegations and work for other nodes.

Imported when the link to other nodes opens, while the node already serves requests.
"""

from ...model.routing_table import RoutingTable
from ...ports.delegation import (
    AllowAttempts,
    CancelDelegation,
    DelegatedAnswer,
    DelegatedRequest,
)
from ...ports.machine import Action, Schedule
from ...ports.peer_link import NodeIdentity, PeerLinkBroken, PeerMessage, PeerReceived
from ..arrival.request_identity import compute_identity
from ..choice.replica_directory import ReplicaDirectory
from ..crashing.guard import CrashGuard
from ..crashing.suspects import SuspicionLevel
from ..knowledge.loop_lag import LoopLag
from ..settings import ForwardingSettings
from ..settling.settlement import Settlement
from ..timers import BeginDue, DelegationDue, PeerConnectDue, ReportDue
from .connection_prewarmer import ConnectionPrewarmer
from .delegated_work import DelegatedWork
from .delegation import Delegations


class PeerEventHandler:
    """Handles the messages of other nodes.

    Parameters
    ----------
    delegations
        The delegations of this node to others.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        delegations: Delegations,
        directory: ReplicaDirectory,
        settlement: Settlement,
        lag: LoopLag,
        guard: CrashGuard,
    ) -> None:
        self._settings = settings
        self._guard = guard
        self.delegations = delegations
        self._prewarmer = ConnectionPrewarmer(settings, directory, delegations.placement)
        self._work = DelegatedWork(directory, settlement, lag)
        settlement.on_closed = self.delegations.on_closed

    def handle(
        self,
        event: PeerConnectDue | DelegationDue | PeerReceived | PeerLinkBroken,
        table: RoutingTable | None,
        now: float,
    ) -> list[Action]:
        """Handle an event.

        Parameters
        ----------
        table
            The configuration for delegated work; ``None`` if such work is rejected.
        """
        match event:
            case PeerConnectDue():
                return [] if table is None else self._open_connections(table, now)
            case DelegationDue():
                return self.delegations.on_due(event, now)
            case PeerLinkBroken():
                actions = self._work.on_link_broken(event.node_id, now)
                return actions + self.delegations.on_link_broken(event, now)
            case PeerReceived(sender, message):
                return self._received(sender, message, table, now)

    def _open_connections(self, table: RoutingTable, now: float) -> list[Action]:
        """Open connections that requests will need, to other nodes and to replicas."""
        return [*self.delegations.prewarm_peers(table, now), *self._prewarmer.on_due(table, now)]

    def _received(
        self, sender: NodeIdentity, message: PeerMessage, table: RoutingTable | None, now: float
    ) -> list[Action]:
        match message:
            case DelegatedRequest():
                return self._requested(sender, message, table, now)
            case DelegatedAnswer():
                return self.delegations.on_answer(sender, message, now)
            case AllowAttempts():
                return self._work.on_attempts_allowed(sender, message, now)
            case CancelDelegation():
                return self._work.on_cancelled(sender, message, now)
            case _:
                return []

    def _requested(
        self,
        sender: NodeIdentity,
        message: DelegatedRequest,
        table: RoutingTable | None,
        now: float,
    ) -> list[Action]:
        if table is None or self._work.is_over(message, now):
            return self._work.reject(sender, message)
        if self._guard.suspicion_level(message.request, now, message.tenant) is SuspicionLevel.HELD:
            identity = compute_identity(message.request, message.tenant)
            held_seconds = self._guard.held_seconds(identity, now)
            return self._work.refuse_held(sender, message, held_seconds)
        declined = self._work.shards_without_replicas(message, now)
        if len(declined) == len(message.shards):
            return self._work.reject(sender, message)
        exchange = self._work.accept(sender, message, table, declined, now)
        acknowledgement = self._work.acknowledge(sender, message, declined)
        report_at = now + message.cutoff_seconds * self._settings.delegate_report_ratio
        reporting = Schedule(report_at, ReportDue(exchange.exchange_id))
        beginning = Schedule(now, BeginDue(exchange.exchange_id))
        return [*acknowledgement, beginning, reporting]
