"""What a hop between nodes costs: coding and bytes a sub-request and a result, by batch size.

From messages to the sealed frame and back, as the peer link does it, without sockets. Results are
measured in two ways: each in a message of its own (as an owner says them when replicas answer one
by one) and all in one message. The baseline is a bare h11 exchange in the same run.
"""

import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import fire
import orjson

from benchmarks.support.bare_exchange import bare_exchange_us
from benchmarks.support.workload import (
    CLASS,
    DEPLOYMENT,
    KIND,
    PROMISE_SECONDS,
    SERVICE,
    SNAPSHOT,
    ZONE,
    make_rows,
    shard_bounds,
)
from wingquay.adapters import peer_codec
from wingquay.adapters.peer_frames import FRAME_OVERHEAD_BYTES, FrameOpener, FrameSealer
from wingquay.model.answer import HeldVersions, SubAnswer, SubResult
from wingquay.model.failure import Failure
from wingquay.model.identifiers import NodeId, ReplicaId, RequestId, ShardId, SubRequestId
from wingquay.model.key_range import KeyRange
from wingquay.model.request import SubRequest
from wingquay.ports.peer import NodeIdentity, PeerMessage, SubRequestBatch, SubResultBatch

BATCH_SIZES = (1, 8, 64)
SHARDS = 64
ROWS = 4
ITEMS_A_REPEAT = 3_000
MICROSECONDS = 1e6
KEY = bytes(32)
SENDER = NodeIdentity(NodeId("machine-0123-1a2b3c4d"), DEPLOYMENT, ZONE, "10.12.34.56", 7402)
REQUEST_ID = RequestId("machine-0123-1a2b3c4d-1234567")


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one sub-request or result: microseconds to encode and seal, to open and decode; bytes."""

    name: str
    batch_size: int
    encode_us: float
    decode_us: float
    frame_bytes: float


def _sub_request(index: int) -> SubRequest:
    return SubRequest(
        sub_request_id=SubRequestId(f"{REQUEST_ID}/1.{index}"),
        request_id=REQUEST_ID,
        service=SERVICE,
        kind=KIND,
        shard_id=ShardId(f"{SERVICE}-{index}"),
        key_ranges=(KeyRange(*shard_bounds(index, SHARDS + 1)),),
        snapshot=SNAPSHOT,
        remaining_seconds=0.1234,
        class_name=CLASS,
        price=10.0,
        promise_seconds=PROMISE_SECONDS,
        repeatable=True,
    )


def _result(index: int) -> SubResult:
    covered = (KeyRange(*shard_bounds(index, SHARDS + 1)),)
    replicas = [ReplicaId(f"{SERVICE}-{index}-{number}") for number in range(2)]
    return SubResult(
        sub_request_id=SubRequestId(f"{REQUEST_ID}/1.{index}"),
        shard_id=ShardId(f"{SERVICE}-{index}"),
        result=SubAnswer(SNAPSHOT, covered, make_rows(index, ROWS)),
        may_have_run=True,
        attempts=1,
        queue_seconds=0.0012,
        service_seconds=0.0051,
        held=tuple(HeldVersions(replica, SNAPSHOT, SNAPSHOT) for replica in replicas),
        replica_id=replicas[0],
    )


def _messages(name: str, batch_size: int) -> list[PeerMessage]:
    indexes = range(batch_size)
    if name == "sub-requests":
        return [SubRequestBatch(tuple(_sub_request(index) for index in indexes))]
    if name == "results, one message":
        return [SubResultBatch(tuple(_result(index) for index in indexes))]
    return [SubResultBatch((_result(index),)) for index in indexes]


def _measure(name: str, batch_size: int, items: int) -> Cost:
    messages = _messages(name, batch_size)
    sealer, opener = FrameSealer(KEY), FrameOpener(KEY)
    count = max(1, items // batch_size)
    began = time.process_time()
    frames = [
        sealer.seal([peer_codec.encode(message, SENDER) for message in messages])
        for _ in range(count)
    ]
    encoded = time.process_time()
    for frame in frames:
        _decode(opener, frame)
    decoded = time.process_time()
    scale = MICROSECONDS / (count * batch_size)
    return Cost(
        name,
        batch_size,
        (encoded - began) * scale,
        (decoded - encoded) * scale,
        len(frames[0]) / batch_size,
    )


def _decode(opener: FrameOpener, frame: bytes) -> None:
    opened = opener.open(frame[FRAME_LENGTH_BYTES:])
    assert not isinstance(opened, Failure)
    for data in opened:
        assert not isinstance(peer_codec.decode(data), Failure)


FRAME_LENGTH_BYTES = 4
assert FRAME_LENGTH_BYTES < FRAME_OVERHEAD_BYTES


NAMES = ("sub-requests", "results, a message each", "results, one message")


def _median(costs: Sequence[Cost], value: Callable[[Cost], float]) -> float:
    return statistics.median(value(cost) for cost in costs)


def main(items: int = ITEMS_A_REPEAT, repeats: int = 5, json: bool = False) -> None:
    """Print what a hop costs.

    Parameters
    ----------
    items
        Sub-requests or results in each repeat of each variant.
    repeats
        Repeats, interleaved, of which the median counts.
    json
        Print one JSON object a line instead of a table.
    """
    variants = [(name, size) for name in NAMES for size in BATCH_SIZES]
    samples: dict[tuple[str, int], list[Cost]] = {variant: [] for variant in variants}
    bare: list[float] = []
    for _ in range(repeats):
        bare.append(bare_exchange_us())
        for variant in variants:
            samples[variant].append(_measure(*variant, items))
    baseline = statistics.median(bare)
    if json:
        print(orjson.dumps({"bare_exchange_us": baseline, "samples": list(samples.values())}))
        return
    print(f"bare h11 exchange, both sides: {baseline:.1f} us; {ROWS} rows a result")
    print("                         batch  encode us  decode us   of bare   bytes each")
    for (name, size), costs in samples.items():
        encode = _median(costs, lambda cost: cost.encode_us)
        decode = _median(costs, lambda cost: cost.decode_us)
        print(
            f"{name:24} {size:5} {encode:10.1f} {decode:10.1f}"
            f" {(encode + decode) / baseline:9.3f} {costs[0].frame_bytes:12.0f}"
        )


if __name__ == "__main__":
    fire.Fire(main)
