"""What claims cost: round trips, messages, bytes, processor time, and memory for each record.

Hollow nodes (the claims machine alone) share this process; messages take a constant time one
way. Processor time is that of the decision code, without codec and sockets; bytes are those of
the protobuf form. ``tracemalloc`` counts the memory of records in a voter's table.
"""

import gc
import heapq
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import fire

from wingquay.adapters.peer_codec import encode
from wingquay.claims.keys import claim_key
from wingquay.claims.machine import ClaimsMachine, ClaimsTick
from wingquay.claims.memory import MemoryUsage, PartitionMemory, Submission
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.configuration import Configuration, Deployment, Service
from wingquay.model.identifiers import (
    CallerName,
    DeploymentName,
    NodeId,
    RequestId,
    RequestKindName,
    Revision,
    ServiceName,
    ZoneName,
)
from wingquay.model.key_range import KeyRange
from wingquay.model.request import QueryRequest
from wingquay.ports.internal import (
    ClaimDecided,
    ClaimFinished,
    ClaimWanted,
    ConfigurationInForce,
    MembershipChanged,
    Notify,
)
from wingquay.ports.machine import Action, Event, Schedule, Start
from wingquay.ports.peer import NodeIdentity, PeerReceived, SendToPeer
from wingquay.ports.store import (
    CompareAndSwap,
    ReadResult,
    StoredValue,
    StoreRequest,
    StoreResponse,
    SwapResult,
)

DEPLOYMENT = DeploymentName("ro-nord")
SERVICE = ServiceName("install-planner")
CALLER = CallerName("portal")
ONE_WAY_SECONDS = 0.001
SETTLING_SECONDS = 30.0
CLAIMS = 2_000
CLAIM_EVERY_SECONDS = 0.01
RECORDS = 100_000
OUTCOME_BYTES = (0, 200, 2_000)
ZONE_COUNTS = (1, 2, 3, 4)
NODES_A_ZONE = (1, 8, 59)
TICKS = 200
MICROSECONDS = 1e6


@dataclass(slots=True)
class Traffic:
    """What one run of claims cost."""

    messages: int = 0
    message_bytes: int = 0
    processor_seconds: float = 0.0


class HollowTier:
    """Claims machines, constant latency, and a store that never fails."""

    def __init__(self, zone_count: int, nodes_per_zone: int) -> None:
        self.now = 0.0
        self.traffic = Traffic()
        self.decided_after: dict[RequestId, float] = {}
        self._started_at: dict[RequestId, float] = {}
        self._stored: StoredValue | None = None
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        zones = tuple(ZoneName(f"zone-{index}") for index in range(zone_count))
        identities = tuple(
            NodeIdentity(NodeId(f"{zone}-node-{index:03}"), DEPLOYMENT, zone, "127.0.0.1", 7000)
            for zone in zones
            for index in range(nodes_per_zone)
        )
        self.members = MembershipChanged(identities, ())
        self.nodes = {
            identity.node_id: ClaimsMachine(ClaimsSettings(), identity, random.Random(index))
            for index, identity in enumerate(identities)
        }
        self._identities = {identity.node_id: identity for identity in identities}
        service = Service(name=SERVICE, deployment=DEPLOYMENT, kinds=(), shards=())
        configuration = Configuration(
            revision=Revision(1),
            deployments=(Deployment(name=DEPLOYMENT, zones=zones),),
            services=(service,),
        )
        for event in (Start(), ConfigurationInForce(configuration), self.members):
            for node_id in self.nodes:
                self._give(node_id, event)

    def _give(self, node_id: NodeId, event: Event) -> None:
        began = time.process_time()
        actions = self.nodes[node_id].handle(event, self.now)
        self.traffic.processor_seconds += time.process_time() - began
        for action in actions:
            self._perform(node_id, action)

    def _perform(self, node_id: NodeId, action: Action) -> None:
        sender = self._identities[node_id]
        match action:
            case SendToPeer(to=to, message=message):
                event = PeerReceived(sender, message)
                if to.node_id == node_id:
                    self._after(0.0, node_id, event)
                    return
                self.traffic.messages += 1
                self.traffic.message_bytes += len(encode(message, sender))
                self._after(ONE_WAY_SECONDS, to.node_id, event)
            case Schedule(at_seconds=at_seconds, event=event):
                self._after(at_seconds - self.now, node_id, event)
            case StoreRequest() as request:
                self._after(ONE_WAY_SECONDS, node_id, self._store(request))
            case Notify(event=ClaimDecided(request_id=request_id)):
                self.decided_after[request_id] = self.now - self._started_at[request_id]
                self._after(0.0, node_id, ClaimFinished(request_id, b"x" * 200))
            case _:
                pass

    def _store(self, request: StoreRequest) -> StoreResponse:
        present = self._stored
        if not isinstance(request.operation, CompareAndSwap):
            values = (present,) if present else ()
            return StoreResponse(request.operation_id, ReadResult(values, 1))
        swap = request.operation
        modified_at = present.modified_at if present else 0
        if swap.expected_modified_at != modified_at or swap.value is None:
            return StoreResponse(request.operation_id, SwapResult(False, modified_at, present))
        self._stored = StoredValue(swap.key, swap.value, modified_at + 1)
        return StoreResponse(request.operation_id, SwapResult(True, modified_at + 1))

    def _after(self, seconds: float, node_id: NodeId, event: Event) -> None:
        self._sequence += 1
        entry = (self.now + seconds, self._sequence, lambda: self._give(node_id, event))
        heapq.heappush(self._due, entry)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            self.now, _, run = heapq.heappop(self._due)
            run()
        self.now = until

    def claim(self, node_id: NodeId, number: int) -> None:
        """Submit an unrepeatable request."""
        request = QueryRequest(
            request_id=RequestId(f"{node_id}-{number:08}"),
            caller=CALLER,
            service=SERVICE,
            kind=RequestKindName("install-order"),
            key_ranges=(KeyRange.from_key("plot"),),
            idempotency_key=f"order-{number}",
        )
        self._started_at[request.request_id] = self.now
        self._give(node_id, ClaimWanted(request, 2.0))


def claims_by_zones(claims: int = CLAIMS) -> Iterator[str]:
    """Yield what a claim costs, by the number of zones."""
    yield "zones  decided_ms_p50  decided_ms_p99  messages  bytes  decision_us"
    for zone_count in ZONE_COUNTS:
        tier = HollowTier(zone_count, 2)
        tier.advance(SETTLING_SECONDS)
        node_ids = list(tier.nodes)
        tier.traffic = Traffic()
        for number in range(claims):
            tier.claim(node_ids[number % len(node_ids)], number)
            tier.advance(CLAIM_EVERY_SECONDS)
        delays = sorted(tier.decided_after.values())
        traffic = tier.traffic
        yield (
            f"{zone_count:5}  {statistics.median(delays) * 1e3:14.2f}"
            f"  {delays[len(delays) * 99 // 100] * 1e3:14.2f}"
            f"  {traffic.messages / claims:8.2f}  {traffic.message_bytes / claims:5.0f}"
            f"  {traffic.processor_seconds / claims * MICROSECONDS:11.0f}"
        )


def memory_by_outcome(records: int = RECORDS) -> Iterator[str]:
    """Yield the bytes of a remembered claim, by the size of its outcome."""
    yield "outcome_bytes  bytes_a_record"
    for size in OUTCOME_BYTES:
        gc.collect()
        tracemalloc.start()
        settings = ClaimsSettings(capacity_records=records, outcomes_capacity_bytes=records * size)
        memory = PartitionMemory(settings, MemoryUsage())
        for number in range(records):
            # Strings are made anew for each record, as they are when messages are decoded.
            submission = Submission(
                request_id=RequestId(f"node-017-4f3a9c2e-{number:012}"),
                request_digest=claim_key(CALLER, SERVICE, f"content-{number}"),
                round_number=1,
                granted_at=float(number),
                outcome=bytes(size) if size else None,
            )
            memory.add(claim_key(CALLER, SERVICE, f"order-{number}"), submission)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield f"{size:13}  {used / records:14.0f}"
        del memory


def upkeep_by_nodes() -> Iterator[str]:
    """Yield what a node spends without any claim, by the nodes of each of four zones."""
    yield "nodes_a_zone  tick_us  percent_of_core  membership_change_ms"
    for nodes_per_zone in NODES_A_ZONE:
        tier = HollowTier(4, nodes_per_zone)
        tier.advance(SETTLING_SECONDS)
        machine = next(iter(tier.nodes.values()))
        began = time.process_time()
        for _ in range(TICKS):
            machine.handle(ClaimsTick(), tier.now)
        tick_seconds = (time.process_time() - began) / TICKS
        began = time.process_time()
        machine.handle(tier.members, tier.now)
        machine.handle(ClaimsTick(), tier.now)
        change_seconds = time.process_time() - began
        share = tick_seconds / ClaimsSettings().tick_seconds * 100.0
        yield (
            f"{nodes_per_zone:12}  {tick_seconds * MICROSECONDS:7.0f}  {share:15.4f}"
            f"  {change_seconds * 1e3:20.2f}"
        )


def main(claims: int = CLAIMS, records: int = RECORDS) -> None:
    """Print all tables."""
    for table in (claims_by_zones(claims), memory_by_outcome(records), upkeep_by_nodes()):
        for line in table:
            print(line, flush=True)
        print(flush=True)


if __name__ == "__main__":
    fire.Fire(main)
