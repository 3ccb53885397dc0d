"""The query path at the size to design for, worked out from measured ratios (docs/CAPACITY.md).

Costs are multiples of a bare h11 exchange (client and server), as the commands named beside them
measured; ``--bare_us`` says what such an exchange takes on the machine in question. Bytes are
counted here, on requests and answers that the real adapters make.
"""

from dataclasses import dataclass

import fire
import h11

from benchmarks.support.bare_backends import END_OF_MESSAGE, REPORT_HEADERS, answer_body
from benchmarks.support.bare_exchange import bare_exchange_us
from benchmarks.support.workload import (
    KIND,
    SERVICE,
    SNAPSHOT,
    make_rows,
    shard_bounds,
)
from wingquay.adapters.backend_json import search_request
from wingquay.adapters.caller_json import write_answer
from wingquay.model.answer import Answer, Outcome
from wingquay.model.identifiers import AttemptId, ReplicaId, RequestId, ShardId
from wingquay.model.key_range import EVERYTHING, KeyRange
from wingquay.ports.backend import StartAttempt

NODES = 470
REPLICAS = 2_800
QUERIES_PER_SECOND = 58_000
FAN_OUT = 750
DEADLINE_SECONDS = 0.14
CONNECTIONS_PER_REPLICA = 70
ROWS = 4

DECISIONS = 0.24
"""Coordinator and owner together at fan-out 750; ``decision_cost``."""

COORDINATOR_DECISIONS = 0.08
NODE_ALONE = 1.1
"""Everything, one exchange for each sub-request and no hop; ``node_throughput --nodes 1``."""

HOP = {1: 0.60, 8: 0.15, 64: 0.11}
"""Both ends, by sub-requests a frame; ``peer_link_cost``."""

BATCH_EXCHANGE = 0.8
BATCH_ITEM = 0.07
"""The client's side of a batch of k: ``BATCH_EXCHANGE / k + BATCH_ITEM``; ``batching_trial``."""

MEGABYTE = 1e6
SECONDS_PER_MICROSECOND = 1e-6


@dataclass(frozen=True, slots=True)
class Case:
    """A way to carry the load and its cost for one sub-request, in bare exchanges."""

    name: str
    ratio: float


def cases() -> list[Case]:
    """Return what runs today and what batching would make of it."""
    found = [Case("today, every node sends by itself (no hop)", NODE_ALONE)]
    found += [
        Case(f"today, with the hop, {size} to a frame", NODE_ALONE + cost)
        for size, cost in HOP.items()
    ]
    for batch_size, hop_size in ((8, 8), (64, 8), (64, 64)):
        exchange = BATCH_EXCHANGE / batch_size + BATCH_ITEM
        ratio = DECISIONS + exchange + HOP[hop_size]
        found.append(Case(f"{batch_size} to an exchange, {hop_size} to a frame", ratio))
    found.append(Case("exchanges for nothing, 8 to a frame", DECISIONS + HOP[8]))
    half_a_hop = HOP[8] / 2
    found.append(Case("coordinator alone, 8 to a frame", COORDINATOR_DECISIONS + half_a_hop))
    return found


def exchange_bytes(rows: int) -> tuple[int, int]:
    """Return the bytes of a request to a replica and of its answer, headers included."""
    attempt = StartAttempt(
        attempt_id=AttemptId("machine-0123-1a2b3c4d.123456"),
        replica_id=ReplicaId(f"{SERVICE}-700-0"),
        host="10.12.34.56",
        port=8000,
        connection_limit=CONNECTIONS_PER_REPLICA,
        service=SERVICE,
        shard_id=ShardId(f"{SERVICE}-700"),
        kind=KIND,
        key_ranges=(KeyRange(*shard_bounds(700, FAN_OUT)),),
        snapshot=SNAPSHOT,
        remaining_seconds=DEADLINE_SECONDS,
        repeatable=True,
    )
    request = search_request(attempt)
    headers = [(b"host", b"10.12.34.56:8000"), *request.headers]
    headers.append((b"content-length", b"%d" % len(request.body)))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    sent = (client.send(head) or b"") + (client.send(h11.Data(data=request.body)) or b"")
    client.send(END_OF_MESSAGE)
    server.receive_data(sent)
    while type(server.next_event()) is not h11.EndOfMessage:
        pass
    body = answer_body(700, FAN_OUT, rows)
    answer_headers = [*REPORT_HEADERS, (b"content-length", b"%d" % len(body))]
    answer_headers.append((b"wingquay-attempt", attempt.attempt_id.encode()))
    response = server.send(h11.Response(status_code=200, headers=answer_headers)) or b""
    return len(sent), len(response) + len(body)


def caller_bytes(rows: int) -> int:
    """Return the bytes of the answer's body to a caller whose query asked every shard."""
    merged = tuple(row for index in range(FAN_OUT) for row in make_rows(index, rows))
    request_id = RequestId("machine-0123-1a2b3c4d-123456")
    answer = Answer(request_id, Outcome.COMPLETE, SNAPSHOT, (EVERYTHING,), (), merged)
    return len(write_answer(answer).whole_body)


def main(bare_us: float = 0.0) -> None:
    """Print what the target size asks of a node.

    Parameters
    ----------
    bare_us
        Processor time of a bare exchange, in microseconds; 0 measures it now.
    """
    bare = bare_us or bare_exchange_us()
    sub_requests = QUERIES_PER_SECOND * FAN_OUT
    per_node = sub_requests / NODES
    per_replica = sub_requests / REPLICAS
    print(f"{sub_requests / 1e6:.1f} million sub-requests a second: {per_node:,.0f} a node,")
    print(f"{per_replica:,.0f} a replica, {per_node / NODES:,.0f} from each node to each other;")
    print(f"{QUERIES_PER_SECOND / NODES:.0f} queries a second a node")
    print(f"bare h11 exchange, both sides: {bare:.0f} us")
    print("case                                          of bare  cores a node  share that fits 1")
    for case in cases():
        cores = per_node * case.ratio * bare * SECONDS_PER_MICROSECOND
        print(f"{case.name:45} {case.ratio:7.2f} {cores:13.1f} {1 / cores:17.1%}")
    longest = CONNECTIONS_PER_REPLICA / per_replica
    print(f"one exchange a connection: each may take {longest * 1e3:.1f} ms at a replica's limit")
    request, answer = exchange_bytes(ROWS)
    to_caller = caller_bytes(ROWS)
    print(f"bytes of an exchange: {request} + {answer}, of an answer to a caller: {to_caller:,}")
    print(
        f"MB/s a node: replicas {per_node * (request + answer) / MEGABYTE:.0f},"
        f" callers {QUERIES_PER_SECOND / NODES * to_caller / MEGABYTE:.0f}"
    )


if __name__ == "__main__":
    fire.Fire(main)
