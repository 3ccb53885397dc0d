"""Enforces tenant limits across nodes: combines ownership, reports, permits and loans."""

import random
from collections.abc import Callable, Mapping

from ....model.tenants import Tenant
from ....ports.limit_messages import (
    LimitAcknowledgement,
    LimitOwnersReply,
    LimitOwnersRequest,
    LimitReply,
    LimitReport,
    LimitRequest,
)
from ....ports.machine import Action, Schedule
from ....ports.peer_link import NodeIdentity, PeerLinkBroken, PeerMessage, PeerReceived
from ...knowledge.node_groups import NodeGroups
from ...timers import (
    LimitAckDue,
    LimitProbeDue,
    LimitRefreshDue,
    LimitReportDue,
    LimitRequestDue,
)
from ..admission import Admitted, AwaitsLimit, Rejected
from .limit_settings import LimitSettings
from .owner_channels import OwnerChannels
from .owner_role import OwnerRole
from .owner_sync import LOAN_SECONDS, SYNC_INTERVAL_SECONDS
from .requester_role import RequesterRole
from .reserve import Reserve
from .tenant_owners import TenantOwners

TIMER_EVENTS = (LimitReportDue, LimitAckDue, LimitProbeDue, LimitRequestDue, LimitRefreshDue)
"""Events that this module schedules for itself."""
HANDLED_MESSAGES = (
    LimitReport,
    LimitAcknowledgement,
    LimitRequest,
    LimitReply,
    LimitOwnersRequest,
    LimitOwnersReply,
)
"""Messages of other nodes that this module handles."""
LimitEvent = (
    LimitReportDue
    | LimitAckDue
    | LimitProbeDue
    | LimitRequestDue
    | LimitRefreshDue
    | PeerReceived
    | PeerLinkBroken
)


class DistributedLimits:
    """Enforces the limits of all tenants.

    It is created when a configuration first contains a tenant with a limit.

    Parameters
    ----------
    settings
        The bound on requests, and the usage at which nodes need a permit first.
    random_source
        Adds jitter to the retry times sent to callers.
    now
        Current time, which is at or after the start of this incarnation of the node.
    """

    def __init__(self, settings: LimitSettings, random_source: random.Random, now: float) -> None:
        self._settings = settings
        self._started_at = now
        self._owners = TenantOwners(2.0 * settings.window_seconds + LOAN_SECONDS)
        self._channels = OwnerChannels(self._owners, settings.window_seconds)
        reserve = Reserve(settings, self._node_ids, now)
        self._requester = RequesterRole(
            settings, self._owners, self._channels, reserve, random_source
        )
        self._groups: NodeGroups | None = None
        self._nodes_version = -1
        self._tenants: Mapping[str, Tenant] = {}
        self._is_due = False

    def set_decision_callback(
        self, callback: Callable[[int, Admitted | Rejected, float], list[Action]]
    ) -> None:
        """Set the callback that continues a request once its limit was decided."""
        self._requester.on_decision = callback

    def open(
        self,
        own: NodeIdentity,
        groups: NodeGroups,
        is_listed: Callable[[float], bool],
        reused_key: Callable[[], bool],
        now: float,
    ) -> list[Action]:
        """Start the exchange of messages with other nodes.

        Parameters
        ----------
        groups
            The nodes listed in the store.
        is_listed
            Returns whether this node's key is certainly in the store.
        reused_key
            Returns whether the key was in the store before this incarnation.
        """
        role = OwnerRole(self._settings, own, self._owners, groups.usable_others)
        role.sync.is_listed = is_listed
        role.sync.reused_key = reused_key
        self._groups = groups
        self._channels.own = own
        self._channels.role = role
        actions = [*role.set_tenants(self._tenants, now), *self.refresh_owners(now)]
        return [*actions, *self._requester.on_link_opened(now)]

    def set_tenants(self, tenants: Mapping[str, Tenant], now: float) -> list[Action]:
        """Apply the limits in force."""
        self._tenants = tenants
        role = self._channels.role
        return [] if role is None else [*role.set_tenants(tenants, now), *self.refresh_owners(now)]

    def refresh_owners(self, now: float) -> list[Action]:
        """Update the owners if the nodes listed in the store have changed."""
        groups = self._groups
        if groups is None or groups.version(now) == self._nodes_version:
            return []
        self._nodes_version = groups.version(now)
        # The previous incarnation stopped acting as an owner before this one started.
        since = now if self._owners.all_owners else self._started_at
        if not self._owners.update(groups.all_nodes, since):
            return []
        role = self._channels.role
        actions = [] if role is None else role.on_owners_changed(now)
        return [*actions, *self._channels.on_owners_changed(now), *self._schedule(now)]

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request, or return why it may not start now."""
        return self._requester.admit(tenant, exchange_id, now)

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Undo the count of a request that has run on no replica and will not."""
        self._requester.give_back(tenant, exchange_id, now)

    def owners_of(self, name: str) -> tuple[NodeIdentity, ...]:
        """Return the primary and the second owner of a tenant; fewer if there are fewer nodes."""
        return self._owners.get(name)

    def take_actions(self) -> list[Action]:
        """Return and clear the actions that `admit` and `give_back` have queued."""
        return self._requester.take_actions()

    def on_resumed(self) -> None:
        """Handle that this node was suspended."""
        self._channels.on_resumed()

    def handle(self, event: LimitEvent, now: float) -> list[Action]:
        """Handle an event."""
        actions = self.refresh_owners(now)
        match event:
            case PeerReceived(sender, message):
                actions += self._received(sender, message, now)
            case PeerLinkBroken():
                actions += self._channels.mark_unreachable(event.node_id, now, True)
                actions += self._requester.on_owner_unreachable(event.node_id, now)
            case LimitRequestDue():
                actions += self._requester.on_query_due(event, now)
            case LimitRefreshDue():
                actions += self._refresh_due(now)
            case _:
                actions += self._channels.on_due(event, now)
        return [*actions, *self.take_actions()]

    def _received(self, sender: NodeIdentity, message: PeerMessage, now: float) -> list[Action]:
        match message:
            case LimitAcknowledgement():
                return self._channels.on_acknowledgement(sender, message, now)
            case LimitReply():
                return self._requester.on_reply(sender, message, now)
        role = self._channels.role
        if role is None:
            return []
        match message:
            case LimitReport():
                return role.on_report(sender, message, now)
            case LimitRequest():
                return role.on_permit_request(sender, message, now)
            case LimitOwnersRequest() | LimitOwnersReply():
                return role.on_owners_message(sender, message, now)
        return []

    def _refresh_due(self, now: float) -> list[Action]:
        self._is_due = False
        role = self._channels.role
        if role is None or not role.is_owner:
            return []
        return [*role.on_due(now), *self._schedule(now)]

    def _schedule(self, now: float) -> list[Action]:
        role = self._channels.role
        if self._is_due or role is None or not role.is_owner:
            return []
        self._is_due = True
        return [Schedule(now + SYNC_INTERVAL_SECONDS, LimitRefreshDue())]

    def _node_ids(self) -> list[str]:
        groups = self._groups
        return [] if groups is None else [node.record.identity.node_id for node in groups.all_nodes]
