"""Nodes of a group on loopback: a wide request that reached one of them is divided among all."""

import asyncio
from unittest import mock

from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, PATIENT_SECONDS, run
from tests.platform_adapter.stand_in_platform import StandInReplica
from tests.platform_adapter.test_node import LIMITS, request
from wingquay.adapters.listening import open_listening_socket
from wingquay.model.routing_table import RoutingTable
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.platform.configuration_document import parse_configuration
from wingquay.platform.node import PlatformNode
from wingquay.platform.settings import ListenAddress, PlatformSettings
from wingquay.platform.standins.store import StandInStore

NODES = 3
SHARDS = 45
PATIENCE_SECONDS = 40.0
RECORD_BYTES = 16


def configuration() -> dict[str, object]:
    route = {
        "name": "wide",
        "host": "search.example",
        "pathPrefix": "/all/",
        "routeType": "idempotent",
        "maxAttempts": 2,
        "timeoutMs": 20_000,
        "targetLatencyMs": 15_000,
        "fanoutServices": [f"s{number}" for number in range(SHARDS)],
        "topK": 3,
        "minShardRatio": 1.0,
    }
    return {"version": 1, "routes": [route], "services": [], "limits": LIMITS}


class Group:
    """A store, a replica for each shard, and nodes of one zone."""

    def __init__(self, revocation_seconds: float | None = None) -> None:
        self.revocation_seconds = revocation_seconds

    async def __aenter__(self) -> "Group":
        self.store = StandInStore()
        store_port = await self.store.start()
        self.replicas = [
            StandInReplica(f"i-{number}", f"s{number}", bytes([number + 1]) * RECORD_BYTES)
            for number in range(SHARDS)
        ]
        for replica in self.replicas:
            await replica.start(self.store)
        self.store.put("op/config", configuration())
        self.ports: list[int] = []
        self.nodes: list[PlatformNode] = []
        self.tasks: list[asyncio.Task[object]] = []
        for number in range(NODES):
            listening = open_listening_socket(LOOPBACK, 0)
            self.ports.append(listening.getsockname()[1])
            node = PlatformNode(self._settings(number, store_port), PATIENT_SECONDS)
            self.nodes.append(node)
            self.tasks.append(asyncio.create_task(node.run(listening)))
        return self

    async def __aexit__(self, *_error: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _settings(self, number: int, store_port: int) -> PlatformSettings:
        return PlatformSettings(
            node=f"n{number}",
            zone="z",
            processor=1.0,
            zones=("z",),
            callers=ListenAddress(LOOPBACK, self.ports[number]),
            readiness=ListenAddress(LOOPBACK, 0),
            store=ListenAddress(LOOPBACK, store_port),
            drain_seconds=3.0,
            configuration_seconds=3.0,
            evacuation_seconds=None,
            contact_seconds=None,
            metrics=None,
            peers=None,
            peer_link=ListenAddress(LOOPBACK, 0),
            seeds=(),
            retry_ratio=0.2,
            retry_slack=56.0,
            retry_window_seconds=10.0,
            cold_overage=1.0,
            cold_slack=0.0,
            grace_seconds=6.0,
            revocation_seconds=self.revocation_seconds,
        )

    async def ask(self, port: int) -> tuple[str, bytes]:
        """Send a wide request; return the head and the body of its answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        data = request("/all/x").replace(b"Deadline-Ms: 1500", b"Deadline-Ms: 20000")
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.lower().split("\r\n")
        length = next(line for line in lines if line.startswith("content-length:"))
        body = await reader.readexactly(int(length.split(":")[1]))
        writer.close()
        return head, body

    def has_divided(self, number: int) -> bool:
        """Whether a node has asked others for shards."""
        page = self.nodes[number].metrics_page().decode()
        return 'wingquay_delegated_requests_total{side="sent"}' in page


def with_tenants(document: bytes) -> RoutingTable:
    """Return a configuration as the platform's, with a tenant."""
    plain = parse_configuration(document)
    assert isinstance(plain, RoutingTable)
    tenants = TenantDirectory((Tenant("blue", ("key",)),))
    return RoutingTable(plain.version, plain.routes, plain.services, plain.limits, tenants)


class ProofTest(TestCase):
    @mock.patch("wingquay.platform.node.parse_configuration", with_tenants)
    def test_nodes_prove_the_configuration_to_each_other(self) -> None:
        async def test() -> None:
            async with Group(revocation_seconds=5.0) as group, asyncio.timeout(PATIENCE_SECONDS):
                loop = asyncio.get_running_loop()
                machines = [node._machine for node in group.nodes]
                while not all(item.proof.is_proven(loop.time()) for item in machines):
                    await asyncio.sleep(0.05)
                proof_requests = [machine._proof_manager._sent for machine in machines]
                while not all(
                    len(item._peers) == NODES - 1
                    and all(peer.answered_at > 0.0 for peer in item._peers.values())
                    for item in proof_requests
                ):
                    await asyncio.sleep(0.05)
                ages = [machine._proof_manager.age_seconds(loop.time()) for machine in machines]
                self.assertTrue(all(0.0 <= age for age in ages), ages)

        run(test())


class GroupTest(TestCase):
    def test_a_wide_request_is_answered_whole_by_the_group(self) -> None:
        async def test() -> None:
            async with Group() as group, asyncio.timeout(PATIENCE_SECONDS):
                heads: list[str] = []
                while not group.has_divided(0):
                    head, body = await group.ask(group.ports[0])
                    heads.append(head)
                    greatest = [bytes([SHARDS - place]) * RECORD_BYTES for place in range(3)]
                    self.assertEqual(b"".join(greatest), body)
                    await asyncio.sleep(0.1)
                for head in heads:
                    stamps = head.lower().split("part-stamps: ")[1:]
                    signatures = ", ".join(line.split("\r\n")[0] for line in stamps).split(", ")
                    self.assertEqual(SHARDS, len(set(signatures)))
                    self.assertNotIn("missing-shards", head.lower())
                # Each shard was asked once a request, whoever asked.
                counts = {len(replica.requests) for replica in group.replicas}
                self.assertEqual({len(heads)}, counts)

        run(test())
