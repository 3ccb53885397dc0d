"""Starts the enforcement of tenant limits once a configuration contains some."""

import random
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from ....model.routing_table import RoutingTable
from ....ports.machine import Action, Event, ProcessResumed
from ....ports.peer_link import NodeIdentity, PeerLinkBroken, PeerLinkOpened, PeerReceived
from ...knowledge.node_membership import NodeMembership
from ...timers import (
    LimitAckDue,
    LimitProbeDue,
    LimitRefreshDue,
    LimitReportDue,
    LimitRequestDue,
)
from ..admission import Admitted, Rejected
from ..arrival_admission import ArrivalAdmission
from .limit_settings import LimitSettings

if TYPE_CHECKING:
    from .distributed_limits import DistributedLimits

_HANDLED = (
    PeerReceived,
    PeerLinkBroken,
    LimitRequestDue,
    LimitRefreshDue,
    LimitProbeDue,
    LimitAckDue,
    LimitReportDue,
)


class LimitManager:
    """Passes configurations and events to the distributed limits.

    The modules of the distributed limits are imported on first use, so that a node without limits
    does not load them.

    Parameters
    ----------
    name
        Name of this node.
    members
        The nodes listed in the store.
    admission
        Receives the object that counts the requests of tenants.
    on_decision
        Continues a request once its limit was decided.
    """

    def __init__(
        self,
        name: str,
        settings: LimitSettings | None,
        members: NodeMembership,
        admission: ArrivalAdmission,
        on_decision: Callable[[int, Admitted | Rejected, float], list[Action]],
    ) -> None:
        self._name = name
        self._settings = settings or LimitSettings()
        self._members = members
        self._admission = admission
        self._on_decision = on_decision
        self._table: RoutingTable | None = None
        self._own: NodeIdentity | None = None
        self._distributed: DistributedLimits | None = None
        self._is_open = False

    def handle(self, event: Event, table: RoutingTable | None, now: float) -> list[Action]:
        """Handle an event after all other parts have handled it.

        Parameters
        ----------
        table
            The configuration in force; ``None`` if there is none yet.
        """
        if isinstance(event, PeerLinkOpened):
            self._own = event.identity
        actions: list[Action] = []
        if table is not None and table is not self._table:
            actions += self._configure(table, now)
        distributed = self._distributed
        if distributed is None:
            return actions
        if not self._is_open and self._own is not None:
            self._is_open = True
            members = self._members
            actions += distributed.open(
                self._own, members.groups, members.is_listed, members.reused_key, now
            )
        if isinstance(event, ProcessResumed):
            distributed.on_resumed()
        if isinstance(event, _HANDLED):
            return actions + distributed.handle(event, now)
        return [*actions, *distributed.refresh_owners(now), *distributed.take_actions()]

    def _configure(self, table: RoutingTable, now: float) -> list[Action]:
        self._table = table
        tenants = {} if table.tenants is None else table.tenants.by_name
        if self._distributed is None and table.tenants is not None and table.tenants.is_limited:
            self._distributed = self._create(now)
        return [] if self._distributed is None else self._distributed.set_tenants(tenants, now)

    def _create(self, now: float) -> "DistributedLimits":
        from .distributed_limits import DistributedLimits

        jitter_source = random.Random(zlib.crc32(self._name.encode()))
        distributed = DistributedLimits(self._settings, jitter_source, now)
        distributed.set_decision_callback(self._on_decision)
        self._admission.limits = distributed
        return distributed
