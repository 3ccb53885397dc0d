"""Reports from this node to all limit owners, and which owners are reachable."""

from collections.abc import Iterable

from ....ports.limit_messages import LimitAcknowledgement
from ....ports.machine import Action, Count, Log, LogLevel
from ....ports.peer_link import NodeIdentity
from ...timers import LimitAckDue, LimitProbeDue, LimitReportDue
from .owner_channel import OwnerChannel
from .owner_role import OwnerRole
from .tenant_owners import TenantOwners


class OwnerChannels:
    """Reports started requests to the owners.

    If this node is an owner itself, it counts the requests directly.

    Parameters
    ----------
    owners
        The owners of each tenant.
    window_seconds
        Time for which a request counts.
    """

    def __init__(self, owners: TenantOwners, window_seconds: float) -> None:
        self._owners = owners
        self._window_seconds = window_seconds
        self._channels: dict[str, OwnerChannel] = {}
        self.own: NodeIdentity | None = None
        """This node; ``None`` until the link to other nodes is open."""
        self.role: OwnerRole | None = None
        """The owner role of this node; ``None`` until the link to other nodes is open."""

    def is_own(self, node: NodeIdentity) -> bool:
        """Return whether a node is this one."""
        return self.own is not None and node.node_id == self.own.node_id

    def get(self, owner: NodeIdentity) -> OwnerChannel:
        """Return the channel to an owner; create it if there is none."""
        channel = self._channels.get(owner.node_id)
        if channel is None:
            channel = OwnerChannel(owner, self._window_seconds)
            self._channels[owner.node_id] = channel
        return channel

    def report_requests(
        self,
        owners: Iterable[NodeIdentity],
        name: str,
        requests: int,
        now: float,
        is_before_permit: bool = False,
    ) -> list[Action]:
        """Report started requests, or requests that are given back, to owners of a tenant."""
        actions: list[Action] = []
        for owner in owners:
            if not self.is_own(owner):
                actions += self.get(owner).report_requests(name, requests, now, 0, is_before_permit)
            elif self.role is not None:
                actions += self.role.count(name, requests, 0, now)
        return actions

    def on_owners_changed(self, now: float) -> list[Action]:
        """Open connections to the owners; require permits first until they reply otherwise."""
        ids = {owner.node_id for owner in self._owners.all_owners}
        for node_id in [node_id for node_id in self._channels if node_id not in ids]:
            del self._channels[node_id]
        actions: list[Action] = []
        for owner in self._owners.all_owners:
            if not self.is_own(owner):
                channel = self.get(owner)
                channel.owner = owner
                channel.requires_permit = True
                actions += channel.send_report(now, True)
        return actions

    def on_resumed(self) -> None:
        """Require permits first after a suspension; messages of the owners may still be unread."""
        for channel in self._channels.values():
            channel.requires_permit = True

    def on_acknowledgement(
        self, sender: NodeIdentity, message: LimitAcknowledgement, now: float
    ) -> list[Action]:
        """Handle an owner's acknowledgement, including its list of hot tenants."""
        channel = self.get(sender)
        channel.requires_permit = message.requires_permit
        for name, seconds in zip(message.hot, message.hot_seconds, strict=True):
            channel.set_hot(name, seconds, now)
        return channel.on_acknowledgement(message.sequence, now) if message.sequence else []

    def on_due(
        self, event: LimitReportDue | LimitAckDue | LimitProbeDue, now: float
    ) -> list[Action]:
        """Send a report, check whether an owner has replied, or probe it."""
        channel = self._channels.get(event.node_id)
        if channel is None:
            return []
        match event:
            case LimitReportDue():
                return channel.send_report(now)
            case LimitProbeDue():
                return channel.probe(now)
            case LimitAckDue():
                return (
                    self.mark_unreachable(event.node_id, now)
                    if channel.is_unacknowledged(event.sequence)
                    else []
                )

    def mark_unreachable(self, node_id: str, now: float, is_broken: bool = False) -> list[Action]:
        """Mark an owner as unreachable; charge its unacknowledged requests to the second owner."""
        channel = self._channels.get(node_id)
        if channel is None:
            return []
        was_unreachable = channel.is_unreachable
        uncounted, actions = (
            channel.on_link_broken(now) if is_broken else channel.mark_unreachable(now)
        )
        for name, requests in uncounted.items():
            pair = self._owners.get(name)
            if requests and len(pair) == 2 and pair[0].node_id == node_id:
                actions += self._charge(pair[1], name, requests, now)
        if not was_unreachable:
            fields = (("owner", node_id), ("reason", "broken" if is_broken else "silent"))
            actions.append(Log("limit_owner_lost", LogLevel.WARNING, fields))
            actions.append(Count("limit_owners_lost_total"))
        return actions

    def _charge(self, second: NodeIdentity, name: str, requests: int, now: float) -> list[Action]:
        if not self.is_own(second):
            return self.get(second).report_requests(name, 0, now, requests)
        return [] if self.role is None else self.role.count(name, 0, requests, now)
