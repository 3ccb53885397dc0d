"""Tests of the simulated back end on virtual time."""

import random

from testtools import TestCase

from wingquay.model.identifiers import AttemptId, ReplicaId, RequestKindName, ServiceName, ShardId
from wingquay.model.identifiers import SnapshotVersion as Version
from wingquay.model.key_range import FULL_KEY_RANGE, KeyRange
from wingquay.ports.backend import BackendFailureKind, LoadReport
from wingquay.simulation.models.backend_messages import BackendExchange, BackendReply, ReplyKind
from wingquay.simulation.models.backend_model import BackendModel
from wingquay.simulation.models.backend_settings import BackendSettings
from wingquay.simulation.models.dataset import Dataset
from wingquay.simulation.models.service_time import ServiceTimeSettings, draw_fate

SERVICE = ServiceName("coverage-lookup")
SHARD = ShardId("coverage-0")
REPLICA = ReplicaId("coverage-0-a")
STEADY = ServiceTimeSettings(median_seconds=0.01, sigma=0.0, straggler_share=0.0)
DATASET = Dataset(key_count=20)


def model(**changes: object) -> BackendModel:
    defaults: dict[str, object] = {
        "slots": 1,
        "queue_limit": 1,
        "service_time": STEADY,
        "report_delay_seconds": 0.0,
    }
    settings = BackendSettings(REPLICA, SERVICE, SHARD, **{**defaults, **changes})  # type: ignore[arg-type]
    return BackendModel(settings, random.Random(7), DATASET)


def exchange(name: str, **changes: object) -> BackendExchange:
    fields: dict[str, object] = {
        "attempt_id": AttemptId(name),
        "service": SERVICE,
        "shard_id": SHARD,
        "kind": RequestKindName("tower-sweep"),
        "key_ranges": (FULL_KEY_RANGE,),
        "snapshot": Version(1),
        "remaining_seconds": 10.0,
    }
    return BackendExchange(**{**fields, **changes})  # type: ignore[arg-type]


def kinds(replies: list[BackendReply]) -> list[tuple[str, ReplyKind, bool]]:
    return [(reply.attempt_id, reply.kind, reply.not_run) for reply in replies]


class QueueTest(TestCase):
    def test_requests_beyond_slots_and_queue_are_shed(self) -> None:
        backend = model()
        for name in ("first", "second", "third"):
            backend.arrive(exchange(name), 0.0)
        self.assertEqual([("third", ReplyKind.SHED, True)], kinds(backend.advance(0.0)))
        self.assertEqual(0.01, backend.next_event_at())
        done = backend.advance(1.0)
        self.assertEqual(["first", "second"], [reply.attempt_id for reply in done])
        self.assertEqual(2, backend.ledger.execution_count)
        self.assertFalse(backend.ledger.has_run(AttemptId("third")))
        self.assertIsNone(backend.next_event_at())

    def test_cancelling_frees_the_slot_and_drops_queued_work(self) -> None:
        backend = model(queue_limit=2)
        for name in ("running", "waiting", "last"):
            backend.arrive(exchange(name), 0.0)
        backend.cancel(AttemptId("running"), 0.002)
        backend.cancel(AttemptId("waiting"), 0.002)
        self.assertEqual(0.003, backend.next_event_at())
        self.assertEqual(["last"], [reply.attempt_id for reply in backend.advance(0.02)])
        self.assertFalse(backend.ledger.has_run(AttemptId("waiting")))
        self.assertAlmostEqual(0.013, backend.ledger.busy_seconds)

    def test_a_request_whose_deadline_passes_in_the_queue_does_not_run(self) -> None:
        backend = model()
        backend.arrive(exchange("slow", remaining_seconds=0.005), 0.0)
        backend.arrive(exchange("late", remaining_seconds=0.004), 0.0)
        expected = [
            ("slow", ReplyKind.DEADLINE_PASSED, False),
            ("late", ReplyKind.DEADLINE_PASSED, True),
        ]
        replies = backend.advance(1.0)
        self.assertEqual(expected, kinds(replies))
        results = [reply.to_attempt_finished(REPLICA).result for reply in replies]
        self.assertEqual(
            [BackendFailureKind.TIMED_OUT, BackendFailureKind.SHED],
            [result.kind for result in results],  # type: ignore[union-attr]
        )

    def test_drain_finishes_accepted_requests_and_rejects_new_ones(self) -> None:
        backend = model()
        backend.arrive(exchange("running"), 0.0)
        backend.arrive(exchange("waiting"), 0.0)
        backend.drain(0.001)
        backend.arrive(exchange("new"), 0.002)
        self.assertEqual([("new", ReplyKind.DRAINING, True)], kinds(backend.advance(0.002)))
        self.assertEqual(2, len(backend.advance(1.0)))
        self.assertEqual([0.002], backend.arrivals_while_draining)
        self.assertTrue(backend.report(1.0).draining)

    def test_connections_are_limited(self) -> None:
        backend = model(connection_limit=1)
        self.assertEqual([True, False], [backend.open_connection() for _ in range(2)])
        backend.close_connection()
        self.assertTrue(backend.open_connection())


class IndexTest(TestCase):
    def test_requests_are_answered_from_the_requested_version_or_rejected(self) -> None:
        backend = model(slots=3)
        backend.install_version(Version(2), 0.0)
        backend.drop_version(Version(1), 0.0)
        backend.arrive(exchange("old"), 0.0)
        backend.arrive(exchange("new", snapshot=Version(2)), 0.0)
        rejected, answered = backend.advance(1.0)
        self.assertEqual(
            (ReplyKind.NOT_HELD, 2, 2), (rejected.kind, rejected.oldest, rejected.newest)
        )
        expected_rows = DATASET.rows_for(SERVICE, FULL_KEY_RANGE, Version(2))
        self.assertEqual((Version(2), expected_rows), (answered.snapshot, answered.rows))
        self.assertNotEqual(expected_rows, DATASET.rows_for(SERVICE, FULL_KEY_RANGE, Version(1)))

    def test_a_version_dropped_while_a_request_is_queued_is_not_answered(self) -> None:
        backend = model()
        backend.arrive(exchange("running"), 0.0)
        backend.arrive(exchange("waiting"), 0.0)
        backend.install_version(Version(2), 0.001)
        backend.drop_version(Version(1), 0.001)
        replies = backend.advance(1.0)
        self.assertEqual([ReplyKind.ANSWERED, ReplyKind.NOT_HELD], [r.kind for r in replies])

    def test_coverage_is_the_served_part_of_the_requested_keys(self) -> None:
        backend = model(slots=9)
        backend.serve_shard(SHARD, KeyRange("village-0005", "village-0010"), 0.0)
        requested = (KeyRange("village-0000", "village-0007"),)
        backend.arrive(exchange("part", key_ranges=requested), 0.0)
        backend.arrive(exchange("elsewhere", key_ranges=(KeyRange("x", None),)), 0.0)
        backend.arrive(exchange("write", key_ranges=requested, snapshot=None), 0.0)
        replies = {reply.attempt_id: reply for reply in backend.advance(1.0)}
        part = replies[AttemptId("part")]
        self.assertEqual((KeyRange("village-0005", "village-0007"),), part.covered)
        self.assertEqual({"village-0005", "village-0006"}, {row.key for row in part.rows})
        for name in ("elsewhere", "write"):
            self.assertEqual(ReplyKind.WRONG_SHARD, replies[AttemptId(name)].kind)
        self.assertEqual([], backend.ledger.writes)

    def test_each_execution_records_one_write(self) -> None:
        backend = model(slots=2)
        backend.fail_next(1)
        for name in ("first", "second"):
            backend.arrive(exchange(name, snapshot=None, body="edit-1"), 0.0)
        self.assertEqual(
            [ReplyKind.ERROR, ReplyKind.ANSWERED], [r.kind for r in backend.advance(1)]
        )
        self.assertEqual(2, backend.ledger.executions_by_body["edit-1"])
        self.assertEqual(["first", "second"], [w.attempt_id for w in backend.ledger.writes])

    def test_a_restart_drops_requests_and_versions_and_starts_cold(self) -> None:
        backend = model(newest_version=Version(3), warm_up_seconds=1.0, cold_factor=5.0)
        backend.arrive(exchange("lost"), 10.0)
        backend.restart(Version(1), Version(2), 10.001)
        self.assertEqual((1, 2), backend.held_versions)
        backend.arrive(exchange("next"), 10.001)
        self.assertAlmostEqual(10.051, backend.next_event_at() or 0.0)
        self.assertTrue(backend.report(10.01).cold)
        self.assertEqual(["next"], [reply.attempt_id for reply in backend.advance(11.0)])


class ServiceTimeTest(TestCase):
    def test_equal_seeds_draw_equal_service_times(self) -> None:
        settings = ServiceTimeSettings(straggler_share=0.1)
        kind = RequestKindName("outage-ping")

        def draw_many(seed: int) -> list[object]:
            return [draw_fate(settings, seed, REPLICA, index, kind) for index in range(2000)]

        self.assertEqual(draw_many(1), draw_many(1))
        self.assertNotEqual(draw_many(1), draw_many(2))
        stragglers = sum(draw.is_straggler for draw in draw_many(1))  # type: ignore[attr-defined]
        self.assertTrue(150 < stragglers < 250, stragglers)

    def test_slowed_and_paused_replicas_finish_later(self) -> None:
        backend = model(slots=2)
        backend.slow_down(3.0, until=1.0, now=0.0)
        backend.arrive(exchange("slow"), 0.0)
        self.assertAlmostEqual(0.03, backend.next_event_at() or 0.0)
        backend.pause(until=5.0, now=0.01)
        backend.arrive(exchange("after"), 2.0)
        self.assertEqual([], backend.advance(5.0))
        self.assertEqual(["after", "slow"], [reply.attempt_id for reply in backend.advance(5.1)])

    def test_load_reports_are_delayed_and_can_be_false(self) -> None:
        backend = model(report_delay_seconds=0.5)
        backend.arrive(exchange("one"), 1.0)
        self.assertEqual(0.0, backend.report(1.001).utilization)
        backend.drain(1.002)
        self.assertFalse(backend.report(1.4).draining)
        self.assertTrue(backend.report(1.6).draining)
        backend.lie_about_load(LoadReport(utilization=0.1))
        self.assertEqual(LoadReport(0.1, False, False, Version(1), Version(1)), backend.report(9.0))
