"""What the demonstration does, step by step."""

import asyncio
import statistics
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..model.answer import Outcome
from ..model.identifiers import (
    ClassName,
    DeploymentName,
    ReplicaId,
    RequestKindName,
    ServiceName,
)
from ..model.intent import TOP_CLASS, AssignClass
from .caller import DemoCaller, Question, Reply
from .deployment import UNREPEATABLE_KIND, UNREPEATABLE_SERVICE, DemoDeployment
from .operator import DemoOperator, OperatorCommandError, effect_lines, intents_for

MILLISECONDS_PER_SECOND = 1000
SWEEP = Question("coverage-lookup", "tower-sweep")
PING_COUNT = 60
PINGS_AT_ONCE = 6
DRAIN_NOTICE_SECONDS = 3.0
"""Time after which a draining replica must receive no new work."""
SWEEPS_WHILE_CHANGING = 6
VERSION_NOTICE_SECONDS = 5.0
"""Time within which answers must come from a version that every replica holds."""
VERSION_CHECK_SECONDS = 0.2

STOPPED_REPLICA = ReplicaId("coverage-lookup-0-0")
DRAINED_REPLICA = ReplicaId("coverage-lookup-1-0")


@dataclass(slots=True)
class StepResult:
    """One step: what was asked, what came back, and what is wrong with it."""

    title: str
    replies: list[Reply] = field(default_factory=list)
    needed: int = 0
    """Pieces of work that answering strictly needs: one for each shard asked."""
    executions: int = 0
    """Pieces of work that back ends began, hedges and retries included."""
    note: str = ""
    faults: list[str] = field(default_factory=list)

    @property
    def outcomes(self) -> Counter[str]:
        """How many replies had each outcome."""
        names = (reply.outcome.value if reply.outcome else "no answer" for reply in self.replies)
        return Counter(names)

    @property
    def median_seconds(self) -> float:
        """The median latency that the caller saw; 0 without replies."""
        return statistics.median([reply.seconds for reply in self.replies] or [0.0])

    @property
    def worst_seconds(self) -> float:
        """The greatest latency that the caller saw; 0 without replies."""
        return max((reply.seconds for reply in self.replies), default=0.0)


class Scenario:
    """Runs the steps in order and keeps their results."""

    def __init__(
        self, deployment: DemoDeployment, caller: DemoCaller, operator: DemoOperator
    ) -> None:
        self._deployment = deployment
        self._caller = caller
        self._operator = operator
        self.results: list[StepResult] = []

    async def run(self) -> None:
        """Run every step."""
        await self._step("ro-nord is set up: plan, then confirm", self._set_up)
        await self._step("tower-sweep: every tower record", self._sweep)
        await self._step(f"{PING_COUNT} outage-pings, {PINGS_AT_ONCE} at a time", self._pings)
        await self._step("ticket-fetch: one subscriber's history", self._ticket)
        await self._step("billing-view: all 12 shards", self._billing)
        await self._step("install-order: must run at most once", self._order_once)
        await self._step("ticket-fetch gets the top class: plan, confirm", self._assign_top_class)
        await self._step("new index version arrives during sweeps", self._change_version)
        await self._step(f"{STOPPED_REPLICA} is killed, then a sweep", self._stop_replica)
        await self._step(f"{DRAINED_REPLICA} drains, then sweeps", self._drain_replica)

    async def _step(self, title: str, action: Callable[[StepResult], Awaitable[None]]) -> None:
        result = StepResult(title)
        executions_before = self._deployment.ledger.execution_count
        try:
            await action(result)
        except OperatorCommandError as error:
            result.faults.append(str(error))
        result.executions = self._deployment.ledger.execution_count - executions_before
        self.results.append(result)
        for reply in result.replies:
            if reply.outcome is not None and reply.question.idempotency_key is None:
                result.needed += self._deployment.shards_asked(
                    reply.question.service, reply.question.key_ranges
                )
            if reply.difference:
                result.faults.append(reply.difference)

    async def _ask(self, result: StepResult, node_index: int, question: Question) -> Reply:
        reply = await self._caller.ask(node_index, question)
        result.replies.append(reply)
        return reply

    async def _set_up(self, result: StepResult) -> None:
        plan = await self._operator.propose(intents_for(self._deployment.configuration))
        seconds = await self._operator.confirm(plan["plan_id"])
        result.note = f"in force on both nodes {_milliseconds(seconds)} ms after the confirm"

    async def _assign_top_class(self, result: StepResult) -> None:
        intent = AssignClass(
            service=ServiceName("support-desk"),
            kind=RequestKindName("ticket-fetch"),
            class_name=ClassName(TOP_CLASS),
            deployment=DeploymentName(self._deployment.profile.name),
        )
        plan = await self._operator.propose((intent,))
        seconds = await self._operator.confirm(plan["plan_id"])
        result.note = f"{effect_lines(plan)}; in force after {_milliseconds(seconds)} ms"
        await self._ticket(result)

    async def _sweep(self, result: StepResult) -> None:
        _expect_complete(result, await self._ask(result, 0, SWEEP))

    async def _pings(self, result: StepResult) -> None:
        keys = self._deployment.dataset.keys
        limit = asyncio.Semaphore(PINGS_AT_ONCE)

        async def ping(index: int) -> None:
            question = Question("coverage-lookup", "outage-ping", (keys[index % len(keys)],))
            async with limit:
                await self._ask(result, index % 2, question)

        await asyncio.gather(*(ping(index) for index in range(PING_COUNT)))

    async def _ticket(self, result: StepResult) -> None:
        question = Question("support-desk", "ticket-fetch", (self._deployment.dataset.keys[7],))
        _expect_complete(result, await self._ask(result, 1, question))

    async def _billing(self, result: StepResult) -> None:
        _expect_complete(result, await self._ask(result, 1, Question("billing-view", "billing")))

    async def _order_once(self, result: StepResult) -> None:
        question = Question(
            UNREPEATABLE_SERVICE,
            UNREPEATABLE_KIND,
            (self._deployment.dataset.keys[3],),
            idempotency_key="order-1",
            body="fit a router on Tuesday",
        )
        first = await self._ask(result, 0, question)
        _expect_complete(result, first)
        repeat = await self._ask(result, 1, question)
        _expect_complete(result, repeat)
        if _content(first) != _content(repeat):
            result.faults.append("the repeat through the other node got another answer")
        times = self._deployment.ledger.executions_by_body[question.body]
        result.needed = 1
        result.note = f"asked again through the other node: same answer; it ran {times} time(s)"
        if times != 1:
            result.faults.append(f"it ran {times} times")

    async def _change_version(self, result: StepResult) -> None:
        sweeps = asyncio.gather(
            *(self._ask(result, index % 2, SWEEP) for index in range(SWEEPS_WHILE_CHANGING))
        )
        version = self._deployment.newest_version + 1
        for replica_id in self._deployment.replicas_of(SWEEP.service):
            self._deployment.install_version(replica_id, version)
            await asyncio.sleep(0)
        await sweeps
        for _ in range(round(VERSION_NOTICE_SECONDS / VERSION_CHECK_SECONDS)):
            reply = await self._ask(result, 0, SWEEP)
            if reply.snapshot == version:
                break
            await asyncio.sleep(VERSION_CHECK_SECONDS)
        else:
            result.faults.append(f"no answer from version {version} yet")
        result.note = "no answer mixes two versions"

    async def _stop_replica(self, result: StepResult) -> None:
        await self._deployment.stop_backend(STOPPED_REPLICA)
        for node_index in (0, 1):
            _expect_complete(result, await self._ask(result, node_index, SWEEP))
        result.note = "the other replica of the shard answers"

    async def _drain_replica(self, result: StepResult) -> None:
        model = self._deployment.backends[DRAINED_REPLICA].model
        self._deployment.drain_backend(DRAINED_REPLICA)
        await self._ask(result, 0, SWEEP)
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        refused_at_first = len(model.arrivals_while_draining)
        for node_index in (0, 1):
            _expect_complete(result, await self._ask(result, node_index, SWEEP))
        late = len(model.arrivals_while_draining) - refused_at_first
        result.note = f"new work sent to it {DRAIN_NOTICE_SECONDS:g} s later: {late}"
        if late:
            result.faults.append(f"{late} sub-requests reached a draining replica")


def _content(reply: Reply) -> tuple[object, ...]:
    """Return the part of an answer that a repeat must get again."""
    return tuple(reply.document.get(name) for name in ("outcome", "covered", "rows"))


def _expect_complete(result: StepResult, reply: Reply) -> None:
    if reply.outcome is not Outcome.COMPLETE:
        result.faults.append(f"expected a complete answer, got {reply.status} {reply.outcome}")


def _milliseconds(seconds: float) -> str:
    return f"{seconds * MILLISECONDS_PER_SECOND:.0f}"
