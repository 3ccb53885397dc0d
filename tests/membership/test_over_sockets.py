"""Membership works over real peer links on loopback."""

import asyncio
import random

import testtools

from wingquay.adapters import peer_codec
from wingquay.adapters.peer_link import PeerLink
from wingquay.membership.membership_machine import MembershipMachine
from wingquay.membership.replica_evidence import ReplicaEvidenceSettings
from wingquay.membership.settings import MembershipSettings, SeedAddress
from wingquay.ports.internal import MembershipChanged, Notify
from wingquay.ports.machine import Start
from wingquay.ports.peer import NodeIdentity, SendToPeer
from wingquay.runtime import NodeRuntime

KEY = b"a key of the cluster that is long enough"
TIMEOUT_SECONDS = 60.0
FAST = MembershipSettings(
    tick_seconds=0.05,
    probe_interval_seconds=0.4,
    probe_resend_seconds=0.1,
    probe_indirect_seconds=0.2,
    suspicion_minimum_seconds=1.0,
    join_seconds=0.2,
    list_request_pause_seconds=0.2,
)


class SocketNode:
    """A membership machine with a real peer link."""

    def __init__(self, node_id):
        identity = NodeIdentity(node_id, "ro-nord", "dej", "127.0.0.1", 0)
        self.link = PeerLink(
            identity, KEY, peer_codec, lambda event: self.runtime.emit(event), lambda _: None
        )
        self.available = set()

    async def start(self, seeds):
        identity = await self.link.start()
        machine = MembershipMachine(
            identity, seeds, FAST, ReplicaEvidenceSettings(), random.Random(identity.node_id)
        )
        self.runtime = NodeRuntime(machine, asyncio.get_running_loop())
        self.runtime.register(SendToPeer, self.link.perform)
        self.runtime.register(Notify, self.notified)
        self.runtime.emit(Start())
        return SeedAddress(identity.host, identity.port)

    def notified(self, action):
        if isinstance(action.event, MembershipChanged):
            self.available = {identity.node_id for identity in action.event.available}

    async def stop(self):
        self.runtime.close()
        await self.link.close()


class MembershipOverSocketsTest(testtools.TestCase):
    def test_nodes_join_and_a_stopped_node_is_removed(self):
        async def scenario():
            nodes = {name: SocketNode(name) for name in ("a", "b", "c", "d")}
            seed = await nodes["a"].start([])
            for name in ("b", "c", "d"):
                await nodes[name].start([seed])
            await self.wait_until_all_see(nodes)
            await nodes.pop("d").stop()
            await self.wait_until_all_see(nodes)
            for node in nodes.values():
                await node.stop()

        asyncio.run(scenario())

    async def wait_until_all_see(self, nodes):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while any(node.available != set(nodes) for node in nodes.values()):
                await asyncio.sleep(0.02)
