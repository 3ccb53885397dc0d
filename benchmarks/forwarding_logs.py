"""What log lines about passed-on requests cost, beside the decisions that write them."""

import io
import time

from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.adapters.deferred_log import DeferredLog
from wingquay.ports.machine import Action, Log

SHARDS = 20
REQUESTS = 400
MICROSECONDS = 1_000_000


def measure(with_logs: bool) -> tuple[float, int]:
    """Return microseconds of processor time a request and the lines written.

    One shard of each request is never answered, so every request ends as partial: the worst case
    that the budget of lines allows.
    """
    stream = io.StringIO()
    log = DeferredLog(stream, {"node": "n"})
    log.load()
    node = OneNode()
    records = [
        replica(f"s{shard}r{copy}", f"s{shard}") for shard in range(SHARDS) for copy in range(2)
    ]
    node.start(table(1, sharded_route(SHARDS)), *records)
    started = time.process_time()
    seen = 0
    for _ in range(REQUESTS):
        node.request("/all/x")
        for send in list(node.sends):
            if send.replica.service != "s0":
                node.answer(send)
        node.advance(0.5)
        if with_logs:
            _write(node.actions[seen:], log)
        seen = len(node.actions)
    seconds = time.process_time() - started
    return seconds / REQUESTS * MICROSECONDS, stream.getvalue().count("\n")


def _write(actions: list[Action], log: DeferredLog) -> None:
    for action in actions:
        if isinstance(action, Log):
            log.perform(action)


def main() -> None:
    """Print the table."""
    without, _ = measure(with_logs=False)
    with_logs, lines = measure(with_logs=True)
    print("| logs | us a request | lines a request |")
    print("|---|---|---|")
    print(f"| off | {without:.0f} | 0 |")
    print(f"| on | {with_logs:.0f} | {lines / REQUESTS:.2f} |")


if __name__ == "__main__":
    main()
