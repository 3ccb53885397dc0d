"""What the decision code costs without sockets: microseconds a sub-request and a row.

Whole ``NodeMachine`` instances with every machine wired; requests for all shards, each answered
at once. The coordinator and the owner of the shards are measured apart (two nodes, of which one
owns no shard) and together (one node). Timers that the code asks for are fired as well, since
they cannot be cancelled. Repeats are interleaved; the median counts. The baseline is a
bare h11 exchange in the same run.
"""

import random
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

import fire
import orjson

from benchmarks.support.bare_exchange import bare_exchange_us
from benchmarks.support.workload import (
    DEPLOYMENT,
    ZONE,
    finished,
    made_up_addresses,
    make_configuration,
    make_request,
    make_rows,
)
from wingquay.model.answer import Outcome, Row
from wingquay.model.identifiers import DeploymentName, NodeId
from wingquay.orchestration.node_machine import NodeMachine
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.backend import StartAttempt
from wingquay.ports.caller import AnswerCaller, CallerRequest
from wingquay.ports.internal import ConfigurationInForce, MembershipChanged
from wingquay.ports.machine import Action, Event, Schedule, Start
from wingquay.ports.peer import NodeIdentity, PeerReceived, SendToPeer

FAN_OUTS = (8, 50, 200, 750)
ROW_COUNTS = (0, 4, 16, 64)
ROWS = 4
REPLICAS_PER_SHARD = 2
SUB_REQUESTS_A_REPEAT = 1_500
MICROSECONDS = 1e6
ANSWER_SECONDS = 0.004
TIMER_SECONDS = 0.05
"""Virtual time between two queries: every hedge timer of the one before is due by then, and what
is done for a replica once in half a second is done for one query in ten."""


@dataclass(slots=True)
class Node:
    """A node's machine and the processor time that it took."""

    machine: NodeMachine
    seconds: float = 0.0
    timers: list[Schedule] = field(default_factory=list)

    def handle(self, events: Iterable[Event], now: float) -> list[Action]:
        """Hand over events and return the actions, timers left out."""
        began = time.process_time()
        actions = [action for event in events for action in self.machine.handle(event, now)]
        self.seconds += time.process_time() - began
        self.timers += [action for action in actions if type(action) is Schedule]
        return [action for action in actions if type(action) is not Schedule]

    def fire_timers(self, now: float) -> None:
        """Fire the timers that are due."""
        due = [timer.event for timer in self.timers if timer.at_seconds <= now]
        self.timers = [timer for timer in self.timers if timer.at_seconds > now]
        self.handle(due, now)


class Tier:
    """A coordinator and an owner of all shards, which may be the same node."""

    def __init__(self, fan_out: int, rows: int, is_one_node: bool) -> None:
        self._fan_out = fan_out
        self._rows: dict[str, tuple[Row, ...]] = {}
        self._now = 0.0
        self._number = 0
        self.owner = Node(_machine("owner", DEPLOYMENT))
        self.coordinator = self.owner
        if not is_one_node:
            self.coordinator = Node(_machine("coordinator", DeploymentName("elsewhere")))
        configuration = make_configuration(
            fan_out, REPLICAS_PER_SHARD, made_up_addresses(fan_out * REPLICAS_PER_SHARD)
        )
        for index, shard in enumerate(configuration.services[0].shards):
            self._rows[shard.shard_id] = make_rows(index, rows)
        nodes = [self.owner] if is_one_node else [self.coordinator, self.owner]
        identities = tuple(node.machine.identity for node in nodes)
        for node in nodes:
            events = (
                Start(),
                MembershipChanged(identities, ()),
                ConfigurationInForce(configuration),
            )
            node.handle(events, self._now)
        # The first query pins an unknown snapshot and learns the versions.
        self.query()
        self.query()

    def reset(self) -> None:
        """Forget the processor time so far."""
        self.coordinator.seconds = self.owner.seconds = 0.0

    def query(self) -> None:
        """Run one query from request to answer."""
        self._number += 1
        self._now += TIMER_SECONDS
        for node in (self.coordinator, self.owner):
            node.fire_timers(self._now)
        request = CallerRequest(make_request(self._number))
        actions = self.coordinator.handle((request,), self._now)
        answers = self._carry_out(actions)
        assert [answer.answer.outcome for answer in answers] == [Outcome.COMPLETE], answers
        assert answers[0].answer.sub_requests >= self._fan_out

    def _carry_out(self, actions: list[Action]) -> list[AnswerCaller]:
        """Let the owner run what was sent to it, and the coordinator take in the results."""
        answers: list[AnswerCaller] = []
        waiting = actions
        while waiting:
            attempts = [action for action in waiting if isinstance(action, StartAttempt)]
            messages = [action for action in waiting if isinstance(action, SendToPeer)]
            answers += [action for action in waiting if isinstance(action, AnswerCaller)]
            waiting = self._deliver(messages)
            if attempts:
                self._now += ANSWER_SECONDS
                events = [self._answer(attempt) for attempt in attempts]
                waiting += self.owner.handle(events, self._now)
        return answers

    def _answer(self, attempt: StartAttempt) -> Event:
        return finished(attempt, self._rows[attempt.shard_id])

    def _deliver(self, messages: list[SendToPeer]) -> list[Action]:
        actions: list[Action] = []
        for node, sender in ((self.owner, self.coordinator), (self.coordinator, self.owner)):
            events = [
                PeerReceived(sender.machine.identity, message.message)
                for message in messages
                if message.to.node_id == node.machine.node_id
            ]
            actions += node.handle(events, self._now)
        return actions


def _machine(name: str, deployment: DeploymentName) -> NodeMachine:
    identity = NodeIdentity(NodeId(name), deployment, ZONE, "127.0.0.1", 7402)
    return NodeMachine(identity, NodeMachineSettings(), random.Random(1))


@dataclass(frozen=True, slots=True)
class Cost:
    """Microseconds of processor time for one sub-request, by role; bare: for a bare exchange."""

    coordinator: float
    owner: float
    both: float
    bare: float


def _sample(apart: Tier, together: Tier, fan_out: int, sub_requests: int) -> Cost:
    queries = max(1, sub_requests // fan_out)
    for tier in (apart, together):
        tier.reset()
        for _ in range(queries):
            tier.query()
    scale = MICROSECONDS / (queries * fan_out)
    return Cost(
        coordinator=apart.coordinator.seconds * scale,
        owner=apart.owner.seconds * scale,
        both=together.owner.seconds * scale,
        bare=bare_exchange_us(),
    )


def _median(samples: list[Cost]) -> Cost:
    return Cost(
        coordinator=statistics.median(sample.coordinator for sample in samples),
        owner=statistics.median(sample.owner for sample in samples),
        both=statistics.median(sample.both for sample in samples),
        bare=statistics.median(sample.bare for sample in samples),
    )


def measure(
    variants: list[tuple[int, int]], sub_requests: int, repeats: int
) -> dict[tuple[int, int], Cost]:
    """Return the costs for each variant of (fan-out, rows a sub-answer)."""
    tiers = {
        variant: (Tier(*variant, is_one_node=False), Tier(*variant, is_one_node=True))
        for variant in variants
    }
    samples: dict[tuple[int, int], list[Cost]] = {variant: [] for variant in variants}
    for _ in range(repeats):
        for variant, (apart, together) in tiers.items():
            samples[variant].append(_sample(apart, together, variant[0], sub_requests))
    return {variant: _median(costs) for variant, costs in samples.items()}


def main(sub_requests: int = SUB_REQUESTS_A_REPEAT, repeats: int = 5, json: bool = False) -> None:
    """Print what decisions cost.

    Parameters
    ----------
    sub_requests
        Sub-requests in each repeat of each variant, at least.
    repeats
        Repeats, of which the median counts.
    json
        Print one JSON object instead of tables.
    """
    by_fan_out = [(fan_out, ROWS) for fan_out in FAN_OUTS]
    by_rows = [(FAN_OUTS[1], rows) for rows in ROW_COUNTS if rows != ROWS]
    costs = measure(by_fan_out + by_rows, sub_requests, repeats)
    if json:
        print(orjson.dumps([_document(variant, cost) for variant, cost in costs.items()]).decode())
        return
    bare = statistics.median(cost.bare for cost in costs.values())
    print(f"bare h11 exchange, both sides: {bare:.1f} us")
    print("us a sub-request            coordinator     owner  both in one node   (of bare)")
    for (fan_out, rows), cost in sorted(costs.items(), key=lambda entry: entry[0][::-1]):
        print(
            f"fan-out {fan_out:4}, rows {rows:3} {cost.coordinator:15.2f} {cost.owner:9.2f}"
            f" {cost.both:17.2f} {cost.both / cost.bare:15.2f}"
        )
    few, many = costs[FAN_OUTS[1], ROW_COUNTS[0]], costs[FAN_OUTS[1], ROW_COUNTS[-1]]
    slope = (many.coordinator - few.coordinator) / (ROW_COUNTS[-1] - ROW_COUNTS[0])
    print(
        f"merge: {slope:.3f} us a row at the coordinator (slope over {ROW_COUNTS} rows),"
        f" {1_000 * slope / bare:.2f} thousandths of a bare exchange"
    )


def _document(variant: tuple[int, int], cost: Cost) -> dict[str, float]:
    fan_out, rows = variant
    return {
        "fan_out": fan_out,
        "rows": rows,
        "coordinator_microseconds": cost.coordinator,
        "owner_microseconds": cost.owner,
        "both_microseconds": cost.both,
        "bare_exchange_microseconds": cost.bare,
    }


if __name__ == "__main__":
    fire.Fire(main)
