"""Real nodes on loopback: an edit runs once, through every node and across planned stops."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

import testtools

from wingquay.demo.caller import DemoCaller, Question, Reply
from wingquay.demo.deployment import CALLER_TOKEN, OPERATOR_TOKEN, DemoDeployment
from wingquay.demo.operator import DemoOperator, intents_for
from wingquay.model.answer import Outcome
from wingquay.simulation.deployment_profile import (
    ClassProfile,
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)

TIME_LIMIT_SECONDS = 60.0
RETRY_SECONDS = 0.1
TWO_NODES_A_ZONE = ("zone-a", "zone-b", "zone-a", "zone-b")

PROFILE = DeploymentProfile(
    name="small",
    zones=("zone-a", "zone-b"),
    classes=(ClassProfile(name="standard", price=10, promise_seconds=2.0),),
    services=(
        ServiceProfile(
            name="intake",
            shards=1,
            replicas_per_shard=2,
            slots=5,
            connection_limit=70,
            service_seconds=0.02,
            kinds=(KindProfile(name="edit", class_name="standard", repeatable=False),),
        ),
    ),
)


class SmallSystem:
    """A deployment of four nodes in two zones, with a caller."""

    def __init__(self) -> None:
        self.deployment = DemoDeployment(1, PROFILE, TWO_NODES_A_ZONE)

    async def __aenter__(self) -> "SmallSystem":
        await self.deployment.start()
        nodes = self.deployment.nodes
        addresses = [node.caller_address for node in nodes]
        self.caller = DemoCaller(addresses, CALLER_TOKEN, self.deployment.dataset)
        operator = DemoOperator([node.operator_address for node in nodes], OPERATOR_TOKEN)
        plan = await operator.propose(intents_for(self.deployment.configuration))
        await operator.confirm(plan["plan_id"])
        await operator.close()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.caller.close()
        await self.deployment.close()

    def edit(self, key: str, body: str) -> Question:
        keys = (self.deployment.dataset.keys[3],)
        return Question("intake", "edit", keys, idempotency_key=key, body=body)

    async def retry_until_run(self, node_index: int, question: Question) -> Reply:
        """Repeat the question until the voters are ready after the start."""
        while True:
            reply = await self.caller.ask(node_index, question)
            if reply.outcome is Outcome.COMPLETE:
                return reply
            await asyncio.sleep(RETRY_SECONDS)

    def times_run(self, question: Question) -> int:
        return self.deployment.ledger.executions_by_body[question.body]


class RealNodes(testtools.TestCase):
    def run_within_limit(self, scenario: Coroutine[None, None, None]) -> None:
        async def limited() -> None:
            async with asyncio.timeout(TIME_LIMIT_SECONDS):
                await scenario

        asyncio.run(limited())

    def test_an_edit_runs_once_through_four_nodes_and_two_planned_stops(self) -> None:
        async def scenario() -> None:
            async with SmallSystem() as system:
                first = system.edit("edit-1", "move the corner")
                answer = await system.retry_until_run(0, first)
                replies = [await system.caller.ask(index, first) for index in range(4)]
                for reply in replies:
                    self.assertEqual(answer.document["rows"], reply.document["rows"])
                other = replace(first, body="another edit")
                reused = await system.caller.ask(3, other)
                self.assertEqual(Outcome.INVALID, reused.outcome)

                concurrent = system.edit("edit-2", "join two plots")
                while not system.times_run(concurrent):
                    calls = [system.caller.ask(index, concurrent) for index in range(4)]
                    outcomes = {reply.outcome for reply in await asyncio.gather(*calls)}
                    # Until the voters of this key are ready after the start, the edit has not run
                    # and every reply is UNKNOWN.
                    has_run = bool(system.times_run(concurrent))
                    self.assertTrue(has_run or outcomes == {Outcome.UNKNOWN}, outcomes)
                self.assertEqual(1, system.times_run(concurrent))

                for node in system.deployment.nodes[:2]:
                    node.request_stop()
                    await node.exited()
                    await node.close()
                for question in (first, concurrent):
                    repeat = await system.retry_until_run(2, question)
                    self.assertEqual(answer.document["covered"], repeat.document["covered"])
                    self.assertEqual(1, system.times_run(question))
                self.assertEqual(0, system.times_run(other))

        self.run_within_limit(scenario())
