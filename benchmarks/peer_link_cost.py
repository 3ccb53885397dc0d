"""What the link between nodes costs: microseconds a sub-request and its result over loopback.

Two links in one process exchange batches of sub-requests and of results with some rows each:
encoding, authentication, sockets, checking and decoding of both ends are all counted, so half of
a figure is one node's share. Repeats are interleaved; the median counts. The codec's share is
measured apart, without sockets. The baseline is a bare h11 exchange in the same run.
"""

import asyncio
import statistics
import time
from collections.abc import Callable

import fire

from benchmarks.support.bare_exchange import bare_exchange_us
from wingquay.adapters import peer_codec
from wingquay.adapters.peer_link import PeerLink
from wingquay.model.answer import Row, SubAnswer, SubResult
from wingquay.model.identifiers import (
    ClassName,
    DeploymentName,
    NodeId,
    RequestId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
    SubRequestId,
    ZoneName,
)
from wingquay.model.key_range import KeyRange
from wingquay.model.request import SubRequest
from wingquay.ports.machine import Event
from wingquay.ports.peer import NodeIdentity, SendToPeer, SubRequestBatch, SubResultBatch

CLUSTER_KEY = b"the key of the benchmark's cluster"
BATCH_SIZES = (1, 8, 64)
ROWS = 4
EXCHANGES = 3_000
REPEATS = 5
MICROSECONDS = 1e6
SNAPSHOT = SnapshotVersion(123_456)
RANGE = KeyRange("village-0400", "village-0480")


def sub_request(number: int) -> SubRequest:
    """Return a sub-request as a coordinator makes it."""
    return SubRequest(
        sub_request_id=SubRequestId(f"cluj-a-0001-00aa11-{number}-7"),
        request_id=RequestId(f"cluj-a-0001-00aa11-{number}"),
        service=ServiceName("coverage-lookup"),
        kind=RequestKindName("outage-ping"),
        shard_id=ShardId("coverage-lookup-07"),
        key_ranges=(RANGE,),
        snapshot=SNAPSHOT,
        remaining_seconds=1.5,
        class_name=ClassName("urgent"),
        price=10.0,
        promise_seconds=0.2,
        repeatable=True,
        body='{"village":"0412"}',
    )


def sub_result(number: int) -> SubResult:
    """Return a result as an owner makes it."""
    rows = tuple(Row(f"village-04{row:02d}-tower", "x" * 40) for row in range(ROWS))
    return SubResult(
        sub_request_id=SubRequestId(f"cluj-a-0001-00aa11-{number}-7"),
        shard_id=ShardId("coverage-lookup-07"),
        result=SubAnswer(SNAPSHOT, (RANGE,), rows),
        may_have_run=True,
        attempts=1,
        service_seconds=0.004,
    )


def batches(size: int) -> tuple[SubRequestBatch, SubResultBatch]:
    """Return a batch of sub-requests and one of their results."""
    requests = SubRequestBatch(tuple(map(sub_request, range(size))))
    return requests, SubResultBatch(tuple(map(sub_result, range(size))))


def time_codec(size: int, sender: NodeIdentity) -> float:
    """Return processor seconds to encode and decode both batches, for each sub-request."""
    messages = batches(size)
    rounds = max(1, EXCHANGES // size)
    began = time.process_time()
    for _ in range(rounds):
        for message in messages:
            peer_codec.decode(peer_codec.encode(message, sender))
    return (time.process_time() - began) / (rounds * size)


async def time_link(size: int) -> float:
    """Return processor seconds of both ends to exchange both batches, for each sub-request."""
    arrived = asyncio.Event()

    def answer(event: Event) -> None:
        second.perform(SendToPeer(first.identity, results))

    def take(event: Event) -> None:
        arrived.set()

    first = _link("first", take)
    second = _link("second", answer)
    await first.start()
    await second.start()
    requests, results = batches(size)
    rounds = max(1, EXCHANGES // size)
    began = 0.0
    for number in range(rounds + 1):
        if number == 1:
            began = time.process_time()
        arrived.clear()
        first.perform(SendToPeer(second.identity, requests))
        await arrived.wait()
    spent = time.process_time() - began
    await first.close()
    await second.close()
    return spent / (rounds * size)


def _link(node_id: str, emit: Callable[[Event], None]) -> PeerLink:
    identity = NodeIdentity(
        NodeId(node_id), DeploymentName("ro-nord"), ZoneName("dej"), "127.0.0.1", 0
    )
    return PeerLink(identity, CLUSTER_KEY, peer_codec, emit, log=lambda line: None)


def main() -> None:
    """Measure all batch sizes."""
    sender = _link("first", lambda event: None).identity
    codec: dict[int, list[float]] = {size: [] for size in BATCH_SIZES}
    link: dict[int, list[float]] = {size: [] for size in BATCH_SIZES}
    bare: list[float] = []
    for _ in range(REPEATS):
        bare.append(bare_exchange_us())
        for size in BATCH_SIZES:
            codec[size].append(time_codec(size, sender))
            link[size].append(asyncio.run(time_link(size)))
    baseline = statistics.median(bare)
    print(f"bare h11 exchange, both sides: {baseline:.1f} us")
    print("sub-requests a batch   us each, all of it   of bare   of which codec   bytes each")
    for size in BATCH_SIZES:
        octets = sum(len(peer_codec.encode(message, sender)) for message in batches(size)) / size
        whole = statistics.median(link[size]) * MICROSECONDS
        coded = statistics.median(codec[size]) * MICROSECONDS
        ratio = whole / baseline
        print(f"{size:>20}   {whole:>18.1f}   {ratio:>7.2f}   {coded:>14.1f}   {octets:>10.0f}")


if __name__ == "__main__":
    fire.Fire(main)
