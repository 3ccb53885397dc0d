"""A node's real decision code and codecs, with the processor time that each event takes.

Processor time is that of this process (``time.process_time``) around taking apart what arrives
and around ``NodeMachine.handle``; so it is a figure of the machine that runs it.
"""

import time
from random import Random
from typing import ClassVar

from wingquay.adapters.machine_directory_client import decode_machine_list
from wingquay.membership.settings import SeedAddress
from wingquay.model.failure import Failure
from wingquay.model.identifiers import NodeId, Revision
from wingquay.orchestration.node_machine import NodeMachine
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.backend import ReplicaProbed
from wingquay.ports.internal import MembershipChanged
from wingquay.ports.machine import Action, Event
from wingquay.ports.machine_directory import MachineListRead
from wingquay.ports.peer import NodeIdentity, PeerMessage, PeerReceived
from wingquay.ports.store import ReadResult, StoreFailureKind, StoreResponse, WatchChanged
from wingquay.simulation.capacity.layout import NODE_PORT
from wingquay.simulation.capacity.meters import CODING, DECISION, NodeMeter
from wingquay.simulation.capacity.platform_wire import (
    HTTP_RESPONSE_HEADER_BYTES,
    WATCH_LINE_BYTES,
    HealthPageArrived,
    HealthPageClient,
    HealthPageExchange,
    MachineListArrived,
    decode_read,
    read_reply_body,
)
from wingquay.simulation.capacity.wire import (
    DatagramOnWire,
    FrameOnWire,
    Wire,
    acknowledgement_bytes,
    datagram_bytes,
    stream_bytes,
)

STORE = "Store"
HEALTH_PAGE = "ReplicaProbed"
MACHINE_LIST = "MachineListRead"

PAGES_FOR_EACH_TAKEN_APART = 8
"""Health pages that are charged what one of them cost; taking apart all would double a run."""


class NodeListener:
    """Hears what a node's membership machine tells the others."""

    EVENTS: ClassVar[tuple[type[Event], ...]] = (MembershipChanged,)
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def __init__(self) -> None:
        self.available: tuple[NodeIdentity, ...] = ()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Keep the nodes that may be asked."""
        del now
        if isinstance(event, MembershipChanged):
            self.available = event.available
        return []

    def knows(self, node_id: NodeId) -> bool:
        """Whether the node takes another for available."""
        return any(node.node_id == node_id for node in self.available)


class MeteredMachine:
    """Takes apart what arrives, hands it to the machine, and notes the time of both."""

    def __init__(
        self,
        identity: NodeIdentity,
        wire: Wire,
        seeds: tuple[NodeIdentity, ...],
        random_source: Random,
    ) -> None:
        self.meter = NodeMeter()
        self.listener = NodeListener()
        self.store_refusals = 0
        self._wire = wire
        self._health_pages = HealthPageClient()
        self._pages_read = 0
        self._last_page: HealthPageExchange | None = None
        self._page_seconds = 0.0
        addresses = [SeedAddress(seed.host, NODE_PORT) for seed in seeds]
        self.node_machine = NodeMachine(
            identity,
            NodeMachineSettings(),
            random_source,
            addresses,
            listeners=(self.listener,),
        )

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 if there is none yet."""
        return self.node_machine.revision

    def take_meter(self) -> NodeMeter:
        """Return what was counted, and count anew."""
        taken, self.meter = self.meter, NodeMeter()
        return taken

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event as it arrives."""
        began = time.process_time()
        understood = self._take_apart(event)
        decoded_at = time.process_time()
        actions = self.node_machine.handle(understood, now)
        ended = time.process_time()
        kind = _kind(understood)
        if understood is not event or isinstance(event, StoreResponse | WatchChanged):
            self.meter.seconds[CODING, kind] += decoded_at - began
        self.meter.seconds[DECISION, kind] += ended - decoded_at
        return actions

    def _take_apart(self, event: Event) -> Event:
        match event:
            case DatagramOnWire() | FrameOnWire():
                return self._open(event)
            case HealthPageArrived():
                return self._read_health_page(event)
            case MachineListArrived():
                self._receive_stream(MACHINE_LIST, len(event.body) + HTTP_RESPONSE_HEADER_BYTES)
                return MachineListRead(decode_machine_list(event.body))
            case StoreResponse():
                self._note_store(event)
            case WatchChanged():
                body = read_reply_body(event.changed, event.store_revision)
                self._receive_stream(STORE, len(body) + WATCH_LINE_BYTES)
                decode_read(body)
        return event

    def _read_health_page(self, arrived: HealthPageArrived) -> ReplicaProbed:
        """Take a page apart, or charge for it what the last one cost: all say the same."""
        self._pages_read += 1
        if self._pages_read % PAGES_FOR_EACH_TAKEN_APART != 1:
            self.meter.seconds[CODING, ReplicaProbed.__name__] += self._page_seconds
            page = self._last_page
        else:
            began = time.process_time()
            page = self._health_pages.exchange(arrived)
            self._page_seconds = time.process_time() - began
            self._last_page = page
        assert page is not None
        self.meter.send(HEALTH_PAGE, stream_bytes(page.request_bytes))
        self.meter.receive(HEALTH_PAGE, stream_bytes(len(arrived.response)))
        return ReplicaProbed(arrived.replica_id, page.result)

    def _open(self, on_wire: DatagramOnWire | FrameOnWire) -> PeerReceived:
        if isinstance(on_wire, DatagramOnWire):
            self.meter.receive(on_wire.kind, datagram_bytes(len(on_wire.datagram)))
        else:
            self._receive_stream(on_wire.kind, len(on_wire.frame))
        return PeerReceived(on_wire.sender, self._wire.open(on_wire))

    def _receive_stream(self, kind: str, size_bytes: int) -> None:
        self.meter.receive(kind, stream_bytes(size_bytes))
        self.meter.sent_bytes[kind] += acknowledgement_bytes(size_bytes)

    def _note_store(self, response: StoreResponse) -> None:
        result = response.result
        if isinstance(result, Failure):
            self.store_refusals += result.kind is StoreFailureKind.RATE_LIMITED
        size_bytes = HTTP_RESPONSE_HEADER_BYTES
        if isinstance(result, ReadResult):
            body = read_reply_body(result.values, result.store_revision)
            size_bytes += len(body)
            decode_read(body)
        self._receive_stream(STORE, size_bytes)


def _kind(event: Event) -> str:
    if isinstance(event, PeerReceived):
        return type(event.message).__name__
    return type(event).__name__
