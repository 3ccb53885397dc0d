"""What the platform writes, read; what it reads, written."""

from pathlib import Path

import orjson
from testtools import TestCase

from wingquay.adapters.http_messages import HttpRequest, HttpResponse
from wingquay.forwarding.knowledge.proof_poll_times import ProofPollMode
from wingquay.model.failure import Failure
from wingquay.platform.caller_dialect import PlatformCallerDialect
from wingquay.platform.configuration_document import parse_configuration
from wingquay.platform.replica_entry import parse_replica
from wingquay.platform.settings import parse_settings
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    ReplicaAnswer,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
)

ROOT = Path(__file__).parent.parent.parent
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "pathPrefix": "/a/",
            "routeType": "idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 95,
            "priority": 2,
            "fanoutServices": ["x", "y"],
            "maxAttempts": 2,
            "topK": 5,
            "minShardRatio": 0.75,
        },
        {
            "name": "r2",
            "host": "a.example",
            "pathPrefix": "/a/b/",
            "routeType": "non_idempotent",
            "timeoutMs": 6000,
            "targetLatencyMs": 400,
            "backends": [{"service": "x", "weight": 3}, {"service": "y", "weight": 1}],
            "maxAttempts": 1,
        },
    ],
    "services": [{"name": "x", "healthPath": "/h", "maxConnections": 26}],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "idleTimeoutMs": 15000},
}
SETTINGS = """
[node]
name = "n"
zone = "z"
processor_share = 0.5
processor_speed = 3
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[store]
address = "127.0.0.1:3"
drain_ms = 3000
configuration_ms = 5000
[retries]
ratio = 0.2
slack = 56
window_seconds = 10
[stop]
grace_seconds = 6
"""


class ConfigurationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = parse_configuration(orjson.dumps(CONFIGURATION))

    def test_the_longest_prefix_is_found(self) -> None:
        for host, path, name in (
            ("a.example", "/a/x", "r1"),
            ("A.EXAMPLE", "/a/b/x", "r2"),
            ("a.example", "/a/bx", "r1"),
            ("a.example", "/a/b", "r1"),
        ):
            self.assertEqual(name, self.table.find(host, path).name, path)
        for host, path in (("a.example", "/ax"), ("b.example", "/a/"), ("a.example", "x")):
            self.assertIsNone(self.table.find(host, path))

    def test_every_field_is_read(self) -> None:
        sharded, weighted = self.table.routes
        self.assertEqual(("x", "y"), sharded.shards)
        self.assertEqual(
            (0.8, 0.095, 5, 0.75, 2),
            (
                sharded.timeout_seconds,
                sharded.objective_seconds,
                sharded.merged_records,
                sharded.min_share,
                sharded.max_attempts,
            ),
        )
        self.assertTrue(sharded.is_repeatable)
        self.assertFalse(weighted.is_repeatable)
        self.assertEqual([3.0, 1.0], [part.weight for part in weighted.services])
        self.assertEqual(26, self.table.services["x"].connection_limit)
        self.assertEqual(15.0, self.table.limits.idle_seconds)

    def test_what_cannot_be_read_is_a_failure(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"version": 1, "routes": [{}]}'):
            self.assertIsInstance(parse_configuration(value), Failure, value)


class ReplicaEntryTest(TestCase):
    def test_an_entry_is_read(self) -> None:
        entry = {
            "service": "x",
            "address": "10.1.2.3:80",
            "zone": "z",
            "capacity": 2,
            "state": "draining",
            "warmupLeftMs": 1500,
            "sequence": 4,
        }
        record = parse_replica("i-1", orjson.dumps(entry))
        self.assertEqual(("i-1", "10.1.2.3", 80), (record.replica_id, record.host, record.port))
        self.assertTrue(record.is_draining)
        self.assertEqual(1.5, record.cold_seconds)

    def test_what_cannot_be_read_is_a_failure(self) -> None:
        for value in (b"", b"{}", b'{"service": "x", "address": "nowhere"}'):
            self.assertIsInstance(parse_replica("i-1", value), Failure, value)

    def test_an_id_that_no_header_can_hold_is_a_failure(self) -> None:
        fields = {"service": "x", "address": "10.1.2.3:80", "zone": "z", "capacity": 2}
        entry = orjson.dumps({**fields, "state": "ready", "warmupLeftMs": 0})
        self.assertEqual("i-1", parse_replica("i-1", entry).replica_id)
        for replica_id in ("", "i 1", "i-1\r\nHost: other", "i-\u00e9"):
            failure = parse_replica(replica_id, entry)
            self.assertIsInstance(failure, Failure, replica_id)
            self.assertIn("allowed", failure.reason)


class CallerDialectTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.dialect = PlatformCallerDialect()

    def understood(self, *raw_headers: tuple[bytes, bytes]) -> ForwardRequested | HttpResponse:
        headers = {name.decode().lower(): text.decode() for name, text in raw_headers}
        request = HttpRequest("GET", "/a/b", {}, headers, b"", b"/a/b?c", raw_headers)
        return self.dialect.understand(1, request)

    def test_headers_of_one_connection_stay_behind(self) -> None:
        event = self.understood(
            (b"Host", b"a.example:80"),
            (b"Request-Id", b"r1"),
            (b"Deadline-Ms", b"800"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Other", b"2"),
            (b"Expected-Instance", b"forged"),
        )
        names = [name for name, _ in event.request.headers]
        self.assertEqual([b"Host", b"Request-Id", b"X-Other"], names)
        self.assertEqual(
            ("a.example", "r1", 0.8),
            (
                event.host,
                event.request_id,
                event.deadline_seconds,
            ),
        )

    def test_a_request_without_an_id_is_refused(self) -> None:
        self.assertEqual(400, self.understood((b"Host", b"a")).status)

    def test_replies(self) -> None:
        merged = self.dialect.response(ReplyMerged(1, b"records", ("s1", "s2"), 1))
        self.assertEqual(
            [(b"Part-Stamps", b"s1, s2"), (b"Missing-Shards", b"1")], list(merged.raw_headers)
        )
        refused = self.dialect.response(
            ReplyFailure(1, ForwardFailureKind.NOT_RUN, "full", retry_after_seconds=0.25)
        )
        self.assertEqual((503, "0.250"), (refused.status, refused.headers["Retry-After"]))
        statuses = [
            self.dialect.response(ReplyFailure(1, kind, "why")).status
            for kind in (
                ForwardFailureKind.NO_ROUTE,
                ForwardFailureKind.FAILED,
                ForwardFailureKind.TIMED_OUT,
            )
        ]
        self.assertEqual([404, 502, 504], statuses)
        headers = ((b"server-stamp", b"s"), (b"content-length", b"1"), (b"x-a", b"b"))
        passed = self.dialect.response(ReplyUnchanged(1, ReplicaAnswer(201, headers, b"y", "s")))
        self.assertEqual([(b"server-stamp", b"s"), (b"x-a", b"b")], list(passed.raw_headers))


class SettingsTest(TestCase):
    def test_settings_are_read(self) -> None:
        settings = parse_settings(SETTINGS)
        self.assertEqual(("n", "z", 3), (settings.node, settings.zone, settings.store.port))
        self.assertEqual(1.5, settings.processor)
        self.assertEqual((3.0, 5.0), (settings.drain_seconds, settings.configuration_seconds))

    def test_a_bad_field_is_named_with_its_value_and_what_is_allowed(self) -> None:
        for good, bad, words in (
            ('"127.0.0.1:1"', '"host:1"', ("listen.callers", "host:1", "IP number")),
            ("ratio = 0.2", "ratio = 7", ("retries.ratio", "7", "from 0 to 1")),
            ('name = "n"', "name = 3", ("node.name", "3", "text")),
            ("drain_ms = 3000", "drain_ms = 0", ("store.drain_ms", "0", "from 100")),
            ("speed = 3", "speed = 0", ("node.processor_speed", "0", "from 0.001")),
        ):
            failure = parse_settings(SETTINGS.replace(good, bad))
            self.assertIsInstance(failure, Failure)
            for word in words:
                self.assertIn(word, failure.reason)

    def test_addresses_that_are_not_given_may_be_empty(self) -> None:
        text = SETTINGS.replace("[store]", 'peers = ""\n[peers]\nseeds = ""\n[store]')
        settings = parse_settings(text)
        self.assertEqual((None, ()), (settings.peers, settings.seeds))
        text = SETTINGS.replace("[store]", '[peers]\nseeds = "127.0.0.1:8,127.0.0.2:9"\n[store]')
        self.assertEqual([8, 9], [seed.port for seed in parse_settings(text).seeds])
        failure = parse_settings(text.replace("127.0.0.2:9", "here"))
        self.assertIn("peers.seeds", failure.reason)

    def test_bounds_that_the_platform_may_not_state(self) -> None:
        for name, field in (
            ("evacuation_ms", "evacuation_seconds"),
            ("contact_ms", "contact_seconds"),
        ):
            for text, expected in (('""', None), ('"5000"', 5.0)):
                settings = parse_settings(self.with_bound(name, text))
                self.assertEqual(expected, getattr(settings, field))
            for text in ('"soon"', '"1"', "5000"):
                failure = parse_settings(self.with_bound(name, text))
                self.assertIn(f"store.{name}", failure.reason)
                self.assertIn("allowed", failure.reason)

    def test_whether_a_node_that_is_cut_off_leaves_its_callers(self) -> None:
        for text, leaves in (("", True), ('"true"', True), ('"false"', False), ("false", None)):
            line = f"[node]\nleaves_when_cut_off = {text}\n" if text else "[node]\n"
            settings = parse_settings(SETTINGS.replace("[node]\n", line, 1))
            if leaves is None:
                self.assertIn("node.leaves_when_cut_off", str(settings))
            else:
                self.assertIs(leaves, settings.leaves_when_cut_off)

    def with_bound(self, name: str, text: str) -> str:
        """Return the settings with one more bound of the store."""
        line = f"configuration_ms = 5000\n{name} = {text}"
        return SETTINGS.replace("configuration_ms = 5000", line)

    def test_the_strict_bound_leaves_time_for_a_look_that_is_lost(self) -> None:
        for text, expected in (('"5000"', 5.0), ('"1000"', 1.0)):
            lines = f'"true"\nrevocation_ms = {text}'
            settings = parse_settings(self.with_bound("strict_revocation", lines))
            self.assertEqual(expected, settings.revocation_seconds)
        lines = '"true"\nrevocation_ms = "999"'
        failure = parse_settings(self.with_bound("strict_revocation", lines))
        self.assertIn("from 1000", failure.reason)

    def test_how_the_configuration_is_kept_proven_is_one_of_two_ways(self) -> None:
        self.assertIs(ProofPollMode.SHORT, parse_settings(SETTINGS).proving_way)
        for way in ProofPollMode:
            text = self.with_bound("proving_looks", f'"{way.value}"')
            self.assertIs(way, parse_settings(text).proving_way)
        for text in ('"never"', "1", "[]"):
            failure = parse_settings(self.with_bound("proving_looks", text))
            self.assertIn("store.proving_looks", failure.reason)
            self.assertIn("held, short", failure.reason)

    def test_the_time_after_an_outage_is_a_second_at_least(self) -> None:
        self.assertEqual(
            1.0, parse_settings(self.with_bound("contact_ms", '"1000"')).contact_seconds
        )
        failure = parse_settings(self.with_bound("contact_ms", '"999"'))
        self.assertIn("from 1000", failure.reason)

    def test_the_bound_of_cold_replicas_may_be_missing(self) -> None:
        for text, expected in (("", (1.0, 0.0)), ('overage = "1.5"\nslack = "5"', (1.5, 5.0))):
            settings = parse_settings(f"{SETTINGS}[cold]\n{text}")
            self.assertEqual(expected, (settings.cold_overage, settings.cold_slack))
        for text in ('"much"', '"-1"', "3"):
            failure = parse_settings(f"{SETTINGS}[cold]\nslack = {text}")
            self.assertIn("cold.slack", failure.reason)
            self.assertIn("allowed", failure.reason)

    def test_a_service_may_bound_its_cold_replicas(self) -> None:
        document = {"version": 1, "services": [{"name": "x", "warmupPerS": 12.5}, {"name": "y"}]}
        services = parse_configuration(orjson.dumps(document)).services
        self.assertEqual(12.5, services["x"].cold_requests_per_second)
        self.assertEqual(0.0, services["y"].cold_requests_per_second)

    def test_the_template_names_every_field_that_is_read(self) -> None:
        template = (ROOT / "deploy" / "settings.toml.template").read_text()
        for field in ("name", "zone", "callers", "readiness", "address", "ratio", "slack"):
            self.assertIn(f"\n{field} = ", template)
        for field in ("drain_ms", "configuration_ms", "evacuation_ms", "overage", "slack"):
            self.assertIn(f"\n{field} = ", template)
        self.assertIn("\ncontact_ms = ", template)
