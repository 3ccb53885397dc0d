"""Checks the invariants of a forwarding node over random sequences of events."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.model.replica_record import ReplicaRecord
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyMerged,
    SendFailureKind,
    SendToReplica,
)
from wingquay.ports.store import StartWatch, WatchBroken

SHARDS = 3
PATHS = ("/all/x", "/one/x", "/edit/x")
CONNECTIONS = 24
MAX_OPEN_SECONDS = 1.2
"""Maximum time for which a request of these routes may stay open."""


class ForwardingHistory(RuleBasedStateMachine):
    """Events of callers, replicas, the store and timers in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.node = OneNode()
        self.records: dict[str, ReplicaRecord] = {}
        self.requests: dict[int, tuple[str, float]] = {}
        self.left: set[int] = set()
        self.may_have_run: dict[tuple[str, str], set[str]] = {}
        self.draining: dict[str, int] = {}
        self.checked_sends = 0

    @initialize()
    def start(self) -> None:
        services = [f"s{number}" for number in range(SHARDS)] + ["one", "edit"]
        for service in services:
            for copy in range(2):
                record = replica(f"{service}r{copy}", service, born=1000 if copy else None)
                self.records[record.replica_id] = record
        routes = (
            sharded_route(SHARDS, min_share=0.6),
            single_route("/one/", "one", timeout_seconds=1.0),
            single_route(
                "/edit/", "edit", is_repeatable=False, max_attempts=2, timeout_seconds=1.0
            ),
        )
        self.configuration = table(1, *routes, connections=CONNECTIONS)
        self.node.start(self.configuration, *self.records.values())
        self.node.advance(5.0)

    @rule(path=st.sampled_from(PATHS), deadline=st.floats(0.05, 1.0))
    def request(self, path: str, deadline: float) -> None:
        number = self.node.request(path, deadline)
        self.requests[number] = (path, self.node.now)

    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        open_requests = [number for number in self.requests if number not in self.node.replies]
        if open_requests:
            number = data.draw(st.sampled_from(open_requests))
            self.left.add(number)
            self.node.leave(number)

    @precondition(lambda self: self.node.sends)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(["ok", "ok", "ok", "error", "refused", "other", "unsigned"]),
    )
    def replica_answers(self, data: st.DataObject, outcome: str) -> None:
        send = data.draw(st.sampled_from(self.node.sends))
        if outcome in ("refused", "other"):
            self._did_not_run(send)
            is_other = outcome == "other"
            status = 421 if is_other else 503
            self.node.answer(send, status, b"", None, not is_other, is_other)
            if is_other:
                self.records.pop(send.replica.replica_id, None)
        elif outcome == "error":
            self.node.answer(send, 500)
        elif outcome == "unsigned":
            self.node.fail(send, SendFailureKind.MALFORMED)
        else:
            self.node.answer(send, body=b"\x07" * 16)

    @precondition(lambda self: self.node.sends)
    @rule(data=st.data(), was_sent=st.booleans())
    def connection_fails(self, data: st.DataObject, was_sent: bool) -> None:
        send = data.draw(st.sampled_from(self.node.sends))
        if not was_sent:
            self._did_not_run(send)
        kind = SendFailureKind.BROKEN if was_sent else SendFailureKind.NOT_SENT
        self.node.fail(send, kind)

    @rule(seconds=st.floats(0.001, 0.4))
    def time_passes(self, seconds: float) -> None:
        self.node.advance(seconds)

    @rule(data=st.data(), how=st.sampled_from(["drain", "vanish", "return"]))
    def directory_changes(self, data: st.DataObject, how: str) -> None:
        if not self.records:
            return
        replica_id = data.draw(st.sampled_from(sorted(self.records)))
        record = self.records[replica_id]
        if how == "return":
            if replica_id not in self.draining:
                self.node.change(record)
        elif how == "vanish":
            self.node.change(gone=(replica_id,))
        else:
            self.draining.setdefault(replica_id, len(self.node.all_sends))
            self.node.change(replace(record, is_draining=True))

    @rule(data=st.data(), step=st.integers(-3, 3))
    def replica_restarts(self, data: st.DataObject, step: int) -> None:
        alive = sorted(set(self.records) - set(self.draining))
        if alive:
            replica_id = data.draw(st.sampled_from(alive))
            record = self.records[replica_id]
            self.records[replica_id] = replace(record, born=(record.born or 1000) + step)
            self.node.change(self.records[replica_id])

    @rule()
    def store_breaks(self) -> None:
        self.node.emit(WatchBroken(self.node.last(StartWatch).watch_id, "test"))
        self.node.advance(0.2)

    @invariant()
    def sends_respect_their_limits(self) -> None:
        for send in self.node.all_sends[self._checked() :]:
            key = (send.request_id, send.replica.service)
            incarnations = self.may_have_run.setdefault(key, set())
            assert send.replica.incarnation not in incarnations, (
                f"{key} sent twice to {send.replica.incarnation}"
            )
            incarnations.add(send.replica.incarnation)
            assert len(self.may_have_run[key]) <= 2, (
                f"{key} may have run on {self.may_have_run[key]}"
            )
            if send.replica.service == "edit":
                assert len(self.may_have_run[key]) <= 1, f"{key} may have run twice"
            number = int(send.request_id.removeprefix("id-"))
            assert number not in self.left, f"{send.request_id} sent after its caller left"
            assert send.replica.replica_id not in self.draining, "new work for a draining replica"
        self.checked_sends = len(self.node.all_sends)
        in_use: dict[str, int] = {}
        for send in self.node.sends:
            replica_id = send.replica.replica_id
            in_use[replica_id] = in_use.get(replica_id, 0) + 1
        assert all(count <= CONNECTIONS // 6 for count in in_use.values()), in_use

    @invariant()
    def replies_are_correct(self) -> None:
        for number, reply in self.node.replies.items():
            request_id = f"id-{number}"
            if isinstance(reply, ReplyFailure) and reply.kind is ForwardFailureKind.NOT_RUN:
                ran = [ids for (owner, _), ids in self.may_have_run.items() if owner == request_id]
                assert not any(ran), (
                    f"{request_id} was rejected as not run, but may have run on {ran}"
                )
                assert reply.retry_after_seconds, f"{request_id} was rejected without a retry time"
            if isinstance(reply, ReplyMerged):
                assert len(set(reply.signatures)) == len(reply.signatures)
                assert len(reply.signatures) + reply.missing_shards == SHARDS
                assert len(reply.signatures) / SHARDS >= 0.6

    @invariant()
    def every_request_ends_in_time(self) -> None:
        for number, (_, arrived_at) in self.requests.items():
            if number not in self.node.replies and number not in self.left:
                assert self.node.now - arrived_at < MAX_OPEN_SECONDS, f"id-{number} has no reply"

    def _checked(self) -> int:
        return self.checked_sends

    def _did_not_run(self, send: SendToReplica) -> None:
        # Sends are checked after each step, so this one was recorded already.
        key = (send.request_id, send.replica.service)
        self.may_have_run[key].discard(send.replica.incarnation)


TestForwardingHistory = ForwardingHistory.TestCase
