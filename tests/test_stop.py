"""A planned stop of a real node under load cuts off no request in flight."""

import asyncio

import testtools

from wingquay.demo.caller import DemoCaller, Question, Reply
from wingquay.demo.deployment import CALLER_TOKEN, OPERATOR_TOKEN, DemoDeployment
from wingquay.demo.operator import DemoOperator, intents_for
from wingquay.model.answer import Outcome
from wingquay.ports.machine import Exit
from wingquay.simulation.deployment_profile import (
    ClassProfile,
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)

TIME_LIMIT_SECONDS = 30.0
CALLERS_PER_NODE = 4
ANSWERS_BEFORE_STOP = 20
SWEEP = Question("lookup", "sweep")

PROFILE = DeploymentProfile(
    name="small",
    zones=("zone-a", "zone-b"),
    classes=(ClassProfile(name="standard", price=10, promise_seconds=2.0),),
    services=(
        ServiceProfile(
            name="lookup",
            shards=4,
            replicas_per_shard=2,
            slots=5,
            connection_limit=70,
            service_seconds=0.05,
            kinds=(KindProfile(name="sweep", class_name="standard"),),
        ),
    ),
)


class SystemUnderLoad:
    """Two nodes, and callers that send requests to each of them until one is refused."""

    def __init__(self) -> None:
        self.deployment = DemoDeployment(1, PROFILE, PROFILE.zones)
        self.replies: list[Reply] = []
        self.done = False

    async def start(self) -> None:
        await self.deployment.start()
        nodes = self.deployment.nodes
        self.caller = DemoCaller(
            [node.caller_address for node in nodes], CALLER_TOKEN, self.deployment.dataset
        )
        operator = DemoOperator([node.operator_address for node in nodes], OPERATOR_TOKEN)
        plan = await operator.propose(intents_for(self.deployment.configuration))
        await operator.confirm(plan["plan_id"])
        await operator.close()
        self._callers = [
            asyncio.create_task(self._keep_sending(index % len(nodes)))
            for index in range(CALLERS_PER_NODE * len(nodes))
        ]

    async def _keep_sending(self, node_index: int) -> None:
        while not self.done:
            reply = await self.caller.ask(node_index, SWEEP)
            self.replies.append(reply)
            if reply.outcome is not Outcome.COMPLETE:
                return

    async def wait_for_answers(self, count: int) -> None:
        wanted = len(self.replies) + count
        while len(self.replies) < wanted:
            await asyncio.sleep(0.01)

    async def finish(self) -> None:
        self.done = True
        await asyncio.gather(*self._callers)
        await self.caller.close()
        await self.deployment.close()


async def run_stop_under_load() -> tuple[Exit, list[Reply]]:
    system = SystemUnderLoad()
    async with asyncio.timeout(TIME_LIMIT_SECONDS):
        await system.start()
        await system.wait_for_answers(ANSWERS_BEFORE_STOP)
        stopping = system.deployment.nodes[0]
        stopping.request_stop()
        exit_action = await stopping.exited()
        await stopping.close()
        await system.wait_for_answers(ANSWERS_BEFORE_STOP)
        await system.finish()
    return exit_action, system.replies


class PlannedStopTest(testtools.TestCase):
    def test_a_planned_stop_cuts_off_no_request(self) -> None:
        exit_action, replies = asyncio.run(run_stop_under_load())
        self.assertEqual(Exit(0), exit_action)
        self.assertEqual([], [reply.difference for reply in replies if reply.difference])
        outcomes = {reply.node_index: set[Outcome | None]() for reply in replies}
        for reply in replies:
            outcomes[reply.node_index].add(reply.outcome)
        self.assertEqual({Outcome.COMPLETE, Outcome.REFUSED_NOT_RUN}, outcomes[0])
        self.assertEqual({Outcome.COMPLETE}, outcomes[1])
