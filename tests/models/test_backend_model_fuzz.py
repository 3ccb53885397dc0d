"""Stateful test: random operations on the simulated back end, with checks of every reply."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wingquay.model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from wingquay.model.key_range import FULL_KEY_RANGE, KeyRange, intersect
from wingquay.simulation.models.backend_messages import BackendExchange, ReplyKind
from wingquay.simulation.models.backend_model import BackendModel
from wingquay.simulation.models.backend_settings import BackendSettings
from wingquay.simulation.models.dataset import Dataset
from wingquay.simulation.models.service_time import ServiceTimeSettings

SERVICE = ServiceName("coverage-lookup")
SHARD = ShardId("coverage-0")
DATASET = Dataset(key_count=12)
SLOTS = 1
QUEUE_LIMIT = 3
LONG_SECONDS = 1000.0
SECONDS = st.floats(min_value=0.0, max_value=0.1)
VERSIONS = st.integers(min_value=1, max_value=4)
RANGES = st.sampled_from([FULL_KEY_RANGE, *DATASET.shard_ranges(3)])


class BackendHistory(RuleBasedStateMachine):
    """Every attempt gets exactly one reply unless it is cancelled or lost in a restart."""

    def __init__(self) -> None:
        super().__init__()
        service_time = ServiceTimeSettings(median_seconds=0.01, error_share=0.1)
        backend_settings = BackendSettings(
            ReplicaId("r0"),
            SERVICE,
            SHARD,
            slots=SLOTS,
            queue_limit=QUEUE_LIMIT,
            newest_version=SnapshotVersion(2),
            service_time=service_time,
            warm_up_seconds=0.05,
        )
        self.model = BackendModel(backend_settings, random.Random(11), DATASET)
        self.now = 0.0
        self.sent: list[BackendExchange] = []
        self.awaited: dict[AttemptId, BackendExchange] = {}

    @rule(snapshot=st.none() | VERSIONS, key_range=RANGES, remaining=SECONDS)
    def arrive(self, snapshot: int | None, key_range: KeyRange, remaining: float) -> None:
        exchange = BackendExchange(
            AttemptId(f"attempt-{len(self.sent)}"),
            SERVICE,
            SHARD,
            RequestKindName("tower-sweep"),
            (key_range,),
            None if snapshot is None else SnapshotVersion(snapshot),
            remaining,
        )
        self.sent.append(exchange)
        self.awaited[exchange.attempt_id] = exchange
        self.model.arrive(exchange, self.now)

    @rule(choice=st.integers(min_value=0))
    def cancel(self, choice: int) -> None:
        if self.sent:
            attempt_id = self.sent[choice % len(self.sent)].attempt_id
            self.awaited.pop(attempt_id, None)
            self.model.cancel(attempt_id, self.now)

    @rule(seconds=SECONDS)
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.check_replies()

    @rule(version=VERSIONS, installs=st.booleans())
    def change_versions(self, version: int, installs: bool) -> None:
        change = self.model.install_version if installs else self.model.drop_version
        change(SnapshotVersion(version), self.now)

    @rule(key_range=RANGES)
    def move_shard(self, key_range: KeyRange) -> None:
        self.model.serve_shard(SHARD, key_range, self.now)

    @rule(seconds=SECONDS, factor=st.sampled_from([0.5, 30.0]))
    def slow_down_and_pause(self, seconds: float, factor: float) -> None:
        self.model.slow_down(factor, self.now + seconds, self.now)
        self.model.pause(self.now + seconds, self.now)

    @rule(drains=st.booleans())
    def drain_or_restart(self, drains: bool) -> None:
        if drains:
            self.model.drain(self.now)
            return
        self.check_replies()
        self.awaited.clear()
        self.model.restart(SnapshotVersion(1), SnapshotVersion(3), self.now)

    def check_replies(self) -> None:
        for reply in self.model.advance(self.now):
            exchange = self.awaited.pop(reply.attempt_id)
            has_run = self.model.ledger.executions_by_attempt[reply.attempt_id]
            assert has_run == (0 if reply.not_run else 1)
            if reply.kind is not ReplyKind.ANSWERED:
                continue
            assert reply.snapshot == exchange.snapshot
            assert reply.covered == intersect(exchange.key_ranges, reply.covered) != ()
            if exchange.snapshot is not None:
                assert exchange.snapshot <= reply.newest
                expected_rows = DATASET.rows_of_ranges(SERVICE, reply.covered, exchange.snapshot)
                assert reply.rows == expected_rows

    @invariant()
    def slots_and_queue_are_bounded(self) -> None:
        assert self.model.in_flight <= SLOTS + QUEUE_LIMIT

    @invariant()
    def requests_in_flight_make_progress(self) -> None:
        assert not self.model.in_flight or self.model.next_event_at() is not None

    def teardown(self) -> None:
        self.now += LONG_SECONDS
        self.check_replies()
        assert not self.awaited
        assert self.model.in_flight == 0
        assert self.model.next_event_at() is None


TestBackendHistory = BackendHistory.TestCase
TestBackendHistory.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
