"""Creates a sub-request for each shard and sends them to owners, one batch for each owner."""

from collections.abc import Sequence
from dataclasses import replace

from ..model.configuration import Service
from ..model.identifiers import ReplicaId, SubRequestId
from ..model.key_range import KeyRange
from ..model.request import SubRequest
from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer, SubRequestBatch
from .key_partition import KeyPartition, ShardAssignment, ShardIndex
from .owner_selector import OwnerSelector
from .query_state import PendingSubRequest, QueryState
from .query_table import QueryTable

MAX_RETURN_MARGIN_SECONDS = 0.005
"""Upper bound of the time reserved for the owner's result to return before the answer is due."""


class SubRequestSender:
    """Sends sub-requests to owners and adds them to the table of pending ones.

    Parameters
    ----------
    table
        Requests of the coordinator and their pending sub-requests.
    """

    def __init__(self, owner_selector: OwnerSelector, table: QueryTable) -> None:
        self._owner_selector = owner_selector
        self._table = table
        self._indexes: dict[str, ShardIndex] = {}

    def partition(self, service: Service, key_ranges: tuple[KeyRange, ...]) -> KeyPartition:
        """Return ``key_ranges`` partitioned by the shards of a service."""
        index = self._indexes.get(service.name)
        if index is None or index.service is not service:
            index = ShardIndex(service)
            self._indexes[service.name] = index
        return index.partition(key_ranges)

    def send(
        self,
        state: QueryState,
        assignments: Sequence[ShardAssignment],
        now: float,
        retry_number: int = 0,
        avoid: tuple[ReplicaId, ...] = (),
    ) -> list[Action]:
        """Send a sub-request for each assignment.

        Parameters
        ----------
        retry_number
            Number of earlier sub-requests for the same keys that failed.
        avoid
            Replicas that left out keys earlier; owners use them only if no others are usable.
        """
        batches: dict[str, tuple[NodeIdentity, list[SubRequest]]] = {}
        for assignment in assignments:
            sub_request = self._sub_request(state, assignment, now, avoid)
            service = state.resolved.service
            owner = self._owner_selector.choose(service, assignment.shard.shard_id, (), now)
            self._table.add_pending(state, PendingSubRequest(sub_request, owner, now, retry_number))
            batches.setdefault(owner.node_id, (owner, []))[1].append(sub_request)
        return [
            SendToPeer(owner, SubRequestBatch(tuple(sub_requests)))
            for owner, sub_requests in batches.values()
        ]

    def resend(self, state: QueryState, pending: PendingSubRequest, now: float) -> list[Action]:
        """Send a sub-request to another owner under a new id."""
        tried = (*pending.owners_tried, pending.owner.node_id)
        shard_id = pending.sub_request.shard_id
        owner = self._owner_selector.choose(state.resolved.service, shard_id, tried, now)
        sub_request = replace(
            pending.sub_request,
            sub_request_id=self._next_id(state),
            remaining_seconds=self._remaining(state, now),
        )
        self._table.add_pending(
            state, PendingSubRequest(sub_request, owner, now, pending.retry_number, tried)
        )
        return [SendToPeer(owner, SubRequestBatch((sub_request,)))]

    def _next_id(self, state: QueryState) -> SubRequestId:
        state.sub_request_count += 1
        request_id = state.resolved.request.request_id
        return SubRequestId(f"{request_id}/{state.plan_number}.{state.sub_request_count}")

    def _remaining(self, state: QueryState, now: float) -> float:
        remaining = state.remaining_seconds(now)
        return remaining - min(MAX_RETURN_MARGIN_SECONDS, remaining * 0.1)

    def _sub_request(
        self,
        state: QueryState,
        assignment: ShardAssignment,
        now: float,
        avoid: tuple[ReplicaId, ...],
    ) -> SubRequest:
        resolved = state.resolved
        request = resolved.request
        return SubRequest(
            sub_request_id=self._next_id(state),
            request_id=request.request_id,
            service=resolved.service.name,
            kind=resolved.kind.name,
            shard_id=assignment.shard.shard_id,
            key_ranges=assignment.key_ranges,
            snapshot=state.merge.pinned_version,
            remaining_seconds=self._remaining(state, now),
            class_name=resolved.priority_class.name,
            price=resolved.priority_class.price,
            promise_seconds=resolved.priority_class.promise_seconds,
            repeatable=resolved.repeatable,
            body=request.body,
            traceparent=request.traceparent,
            avoid=avoid,
        )
