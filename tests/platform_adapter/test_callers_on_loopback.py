"""Keys and tenants over real sockets: what replicas get, what callers hear, what is told."""

import asyncio
from typing import Any

from testtools import TestCase

from tests.platform_adapter.test_node import Platform, configuration, play, request

SECRET = "k-3fd0"
OTHER_SECRET = "k-77aa"
TENANTS = [
    {"name": "kiosk", "apiKeys": [SECRET], "priority": 2, "ratePerS": 0, "burst": 0},
    {"name": "archive", "apiKeys": [OTHER_SECRET], "priority": 5},
]
BEARER = f"Authorization: Bearer {SECRET}\r\n"


def with_tenants(version: int = 1, tenants: object = TENANTS) -> dict[str, Any]:
    """Return a configuration with tenants, a route with keys, a wide one, and a public one."""
    document: dict[str, Any] = configuration(version)
    (one,) = [route for route in document["routes"] if route["name"] == "one"]
    opened = {**one, "name": "open", "pathPrefix": "/open/", "public": True}
    return {**document, "routes": [*document["routes"], opened], "tenants": tenants}


async def looked_twice(platform: Platform) -> None:
    """Wait until the node has looked at the store and looks again: it has taken in what it saw."""
    before = sum(platform.store.calls.values())
    while sum(platform.store.calls.values()) < before + 2:
        await asyncio.sleep(0.01)


class CallersOnLoopbackTest(TestCase):
    def test_replicas_hear_the_tenant_and_get_no_key(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure(with_tenants())
                extra = f"tenant: forged\r\nX-Mine: 1\r\n{BEARER}TENANT: forged\r\n"
                for path in ("/one/x", "/all/x"):
                    head, _ = await platform.exchange(request(path, extra))
                    self.assertIn("HTTP/1.1 200", head)
                seen = [
                    headers
                    for replica in platform.replicas
                    for _, _, headers, _ in replica.requests
                ]
                self.assertEqual(3, len(seen))
                for headers in seen:
                    self.assertEqual(("kiosk", "1"), (headers["tenant"], headers["x-mine"]))
                    self.assertNotIn("authorization", headers)
                    self.assertNotIn(SECRET, repr(headers))

        play(test())

    def test_unknown_keys_and_none_hear_so_and_nothing_runs(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure(with_tenants())
                for extra in (
                    "",
                    "Authorization: Bearer other\r\n",
                    f"Authorization: Basic {SECRET}\r\n",
                    f"{BEARER}Authorization: Bearer {OTHER_SECRET}\r\n",
                    "Tenant: kiosk\r\n",
                ):
                    head, body = await platform.exchange(request("/one/x", extra))
                    self.assertIn("HTTP/1.1 401", head)
                    self.assertIn("www-authenticate: bearer", head.lower())
                    self.assertIn(b'{"error":', body)
                self.assertEqual([], platform.replicas[2].requests)

        play(test())

    def test_a_public_route_takes_everybody_and_names_nobody(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure(with_tenants())
                for extra in ("", BEARER, "Authorization: Bearer other\r\nTenant: kiosk\r\n"):
                    head, _ = await platform.exchange(request("/open/x", extra))
                    self.assertIn("HTTP/1.1 200", head)
                for _, _, headers, _ in platform.replicas[2].requests:
                    self.assertNotIn("authorization", headers)
                    self.assertNotIn("tenant", headers)

        play(test())

    def test_without_tenants_headers_pass_as_they_came(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                extra = f"{BEARER}Tenant: mine\r\n"
                head, _ = await platform.exchange(request("/one/x", extra))
                self.assertIn("HTTP/1.1 200", head)
                _, _, headers, _ = platform.replicas[2].requests[0]
                self.assertEqual(
                    (f"Bearer {SECRET}", "mine"), (headers["authorization"], headers["tenant"])
                )

        play(test())

    def test_a_key_taken_away_is_unknown_and_a_configuration_at_fault_changes_nothing(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure(with_tenants())
                shared = [{"name": name, "apiKeys": [OTHER_SECRET]} for name in ("kiosk", "b")]
                platform.store.put("op/config", with_tenants(3, shared))
                await looked_twice(platform)
                head, _ = await platform.exchange(request("/one/x", BEARER))
                self.assertIn("HTTP/1.1 200", head)
                fewer = [{**TENANTS[0], "apiKeys": []}, TENANTS[1]]
                platform.store.put("op/config", with_tenants(4, fewer))
                while platform.node._machine.configuration_version < 4:
                    await asyncio.sleep(0.01)
                head, _ = await platform.exchange(request("/one/x", BEARER))
                self.assertIn("HTTP/1.1 401", head)

        play(test())

    def test_metrics_tell_tenants_and_no_key(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure(with_tenants())
                for _ in range(12):
                    await platform.exchange(request("/one/x", BEARER))
                await platform.exchange(request("/one/x", "Authorization: Bearer k-bad\r\n"))
                platform.node._metrics.load()
                page = platform.node.metrics_page().decode()
                name = "wingquay_tenant_requests_total"
                for line in (
                    f'{name}{{outcome="allowed",tenant="kiosk"}} 3.0',
                    f'{name}{{outcome="allowed",tenant="other"}} 9.0',
                    f'{name}{{outcome="unknown_caller",tenant="none"}} 1.0',
                ):
                    self.assertIn(line, page)
                for secret in (SECRET, "k-bad"):
                    self.assertNotIn(secret, page)

        play(test())
