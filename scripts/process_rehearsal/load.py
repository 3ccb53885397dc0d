"""Callers that ask all the time, and what they got."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from process_rehearsal.processes import Process
from process_rehearsal.system import (
    CALLER_TOKEN,
    PROFILE,
    READ_SERVICE,
    WRITE_SERVICE,
    ProcessSystem,
)
from wingquay.demo.caller import DemoCaller, Question, Reply
from wingquay.model.answer import Outcome

ASKERS = 12
WRITE_SHARE = 0.15
SWEEP_SHARE = 0.3
PAUSE_AFTER_REFUSAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Record:
    """A reply, and the process that was asked."""

    reply: Reply
    process: Process

    @property
    def body(self) -> str:
        """The request's body, unique to it."""
        return self.reply.question.body


@dataclass(slots=True)
class Load:
    """Asks random nodes; an unrepeatable request without an answer is asked again elsewhere."""

    system: ProcessSystem
    seed: int
    records: list[Record] = field(default_factory=list)
    _caller: DemoCaller = field(init=False)
    _is_done: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Begin to ask."""
        endpoints = [self.system.caller_endpoint(index) for index in range(self.system.node_count)]
        self._caller = DemoCaller(endpoints, CALLER_TOKEN, PROFILE.dataset)
        for index in range(ASKERS):
            source = random.Random(f"{self.seed}/{index}")
            self._tasks.append(asyncio.create_task(self._keep_asking(index, source)))

    async def finish(self) -> None:
        """Let the last requests end."""
        self._is_done = True
        await asyncio.gather(*self._tasks)
        await self._caller.close()

    def outcomes(self) -> Counter[str]:
        """Return how often each outcome came."""
        return Counter(
            record.reply.outcome.value if record.reply.outcome else "no answer"
            for record in self.records
        )

    def reasons(self) -> dict[str, int]:
        """Return how often each reason for not answering completely was given, by kind."""
        counts: Counter[str] = Counter()
        for record in self.records:
            if record.reply.outcome is not Outcome.COMPLETE:
                counts[_reason(record.reply)] += 1
        return dict(counts.most_common())

    async def _keep_asking(self, asker: int, source: random.Random) -> None:
        number = 0
        while not self._is_done:
            number += 1
            question = _question(source, f"{asker}-{number}")
            node_index = source.randrange(self.system.node_count)
            reply = await self._ask(node_index, question)
            if question.service == WRITE_SERVICE and reply.outcome is not Outcome.COMPLETE:
                # As a caller does that wants to know: the same request through another node.
                reply = await self._ask((node_index + 1) % self.system.node_count, question)
            if reply.outcome is not Outcome.COMPLETE:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_SECONDS)

    async def _ask(self, node_index: int, question: Question) -> Reply:
        process = self.system.nodes[node_index]
        reply = await self._caller.ask(node_index, question)
        self.records.append(Record(reply, process))
        return reply


def _reason(reply: Reply) -> str:
    outcome = reply.outcome.value if reply.outcome else "no answer"
    document = reply.document
    text = document.get("detail") or reply.difference.partition(":")[0]
    if reply.outcome is Outcome.PARTIAL:
        text = ", ".join(sorted({part["reason"] for part in document["missing"]}))
    return f"{reply.question.kind}: {outcome}: {text}"


def _question(source: random.Random, name: str) -> Question:
    keys = PROFILE.dataset.keys
    draw = source.random()
    body = f"request-{name}"
    if draw < WRITE_SHARE:
        key = (source.choice(keys),)
        return Question(WRITE_SERVICE, "edit", key, 2.0, f"key-{name}", body)
    if draw < WRITE_SHARE + SWEEP_SHARE:
        return Question(READ_SERVICE, "sweep", (), 2.0, None, body)
    return Question(READ_SERVICE, "ping", (source.choice(keys),), 1.0, None, body)
