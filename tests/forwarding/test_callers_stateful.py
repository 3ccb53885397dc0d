"""Random histories of callers with keys at one node, compared with an oracle."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests.forwarding.known_callers import (
    ADMITTED,
    BARE_HEADERS,
    FakeLimits,
    FakeProof,
    send_request,
    with_tenants,
)
from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.arrival.admission import AwaitsLimit, Rejected
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    SendFailureKind,
    SendToReplica,
)

SECRETS = ("k-3fd0", "k-77aa", "k-c1d2")
NAMES = ("kiosk", "archive")
PATHS = ("/one/x", "/one/y", "/all/x", "/all/y", "/open/x", "/none/x")
KEYS = (*SECRETS, *SECRETS, "", "unknown")
OVER_LIMIT = Rejected(ForwardFailureKind.OVER_LIMIT, "over", 1.0)
ANSWERS = (ADMITTED, AwaitsLimit(), AwaitsLimit(), OVER_LIMIT)
PROVEN = (True, True, True, False)
MAX_OPEN_SECONDS = 10.0
"""Maximum time for which a request of these routes is open."""
HOLDERS = st.dictionaries(st.sampled_from(SECRETS), st.sampled_from(NAMES), min_size=2)


@dataclass
class Expected:
    """What the oracle expects for one request, given the state at its arrival."""

    request: OpaqueRequest
    tenant: str
    refusals: tuple[ForwardFailureKind, ...] = ()
    """Failures of which one must be returned at once; empty if the request is admitted."""
    may_have_run: set[int] = field(default_factory=set)
    """Ids of its attempts that may have run, while the request is open."""


class CallerHistory(RuleBasedStateMachine):
    """Callers, the operator, replicas, the proof and the limits act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.node = OneNode()
        self.limits = FakeLimits()
        self.proof = FakeProof()
        self.version = 1
        self.holders: dict[str, str] | None = {SECRETS[0]: NAMES[0], SECRETS[1]: NAMES[1]}
        self.expected: dict[int, Expected] = {}
        self.left: set[int] = set()
        self.awaiting: set[int] = set()
        self.rejected: set[int] = set()
        self.seen_sends = 0

    @initialize()
    def start(self) -> None:
        records = [
            replica(f"{service}-{copy}", service)
            for service in ("s", "s0", "s1", "s2")
            for copy in "ab"
        ]
        self.node.start(self.configuration(), *records)
        admission = self.node.machine._forwarding.admission
        admission.limits = self.limits
        admission.proof = self.proof
        self.node.advance(5.0)

    def configuration(self) -> object:
        routes = (
            single_route(timeout_seconds=1.0),
            single_route("/open/", is_public=True, timeout_seconds=1.0),
            sharded_route(3, min_share=0.6),
        )
        plain = table(self.version, *routes)
        if self.holders is None:
            return plain
        keys = {
            name: tuple(key for key, holder in self.holders.items() if holder == name)
            for name in NAMES
        }
        return with_tenants(plain, *(Tenant(name, keys[name], 2) for name in NAMES))

    @rule(
        holders=st.one_of(HOLDERS, HOLDERS, HOLDERS, st.none()),
    )
    def operator_configures(self, holders: dict[str, str] | None) -> None:
        self.version += 1
        self.holders = holders
        self.node.change(configuration=self.configuration())

    @rule(is_proven=st.sampled_from(PROVEN), answer=st.sampled_from(ANSWERS))
    def proof_and_limits_change(self, is_proven: bool, answer: object) -> None:
        self.proof.proven = is_proven
        self.limits.answer = answer

    @rule(
        paths=st.lists(st.sampled_from(PATHS), min_size=1, max_size=4),
        key=st.sampled_from(KEYS),
        forged=st.sampled_from(("", *NAMES)),
        deadline=st.sampled_from((0.05, 0.5, None)),
    )
    def callers_send(self, paths: list[str], key: str, forged: str, deadline: float | None) -> None:
        for path in paths:
            self.caller_sends(path, key, forged, deadline)

    def caller_sends(self, path: str, key: str, forged: str, deadline: float | None) -> None:
        number = len(self.expected) + 1
        self.expected[number] = self.expectation(path, key, forged)
        counted = len(self.limits.admit_calls)
        send_request(self.node, number, key, path, forged, deadline)
        if len(self.limits.admit_calls) > counted and self.limits.answer is OVER_LIMIT:
            self.rejected.add(number)
        if len(self.limits.admit_calls) > counted and isinstance(self.limits.answer, AwaitsLimit):
            self.awaiting.add(number)
        refusals = self.expected[number].refusals
        if refusals:
            reply = self.node.replies[number]
            assert isinstance(reply, ReplyFailure)
            assert reply.kind in refusals
            assert len(self.limits.admit_calls) == counted or reply.kind is OVER_LIMIT.kind

    def expectation(self, path: str, key: str, forged: str) -> Expected:
        """Return the expected result of a request that arrives now."""
        target = path.encode()
        bare = OpaqueRequest(b"GET", target, BARE_HEADERS)
        if path.startswith("/none/"):
            return Expected(bare, "", (ForwardFailureKind.NO_ROUTE,))
        if self.holders is None:
            own = ((b"Authorization", b"Bearer " + key.encode()),) if key else ()
            own += ((b"Tenant", forged.encode()),) if forged else ()
            return Expected(OpaqueRequest(b"GET", target, (*BARE_HEADERS, *own)), "")
        if path.startswith("/open/"):
            return Expected(bare, "")
        if not self.proof.proven:
            return Expected(bare, "", (ForwardFailureKind.NOT_RUN,))
        tenant = self.holders.get(key, "")
        if not tenant:
            return Expected(bare, "", (ForwardFailureKind.UNKNOWN_CALLER,))
        kinds = (ForwardFailureKind.OVER_LIMIT,) if self.limits.answer is OVER_LIMIT else ()
        return Expected(bare, tenant, kinds)

    @precondition(lambda self: self.awaiting)
    @rule(data=st.data(), answer=st.sampled_from((ADMITTED, OVER_LIMIT)))
    def limit_is_decided(self, data: st.DataObject, answer: object) -> None:
        number = data.draw(st.sampled_from(sorted(self.awaiting)))
        is_open = self.is_open(number)
        self.awaiting.discard(number)
        if answer is OVER_LIMIT and is_open:
            self.rejected.add(number)
        for action in self.node.machine._forwarding.on_limit_answered(
            number, answer, self.node.now
        ):
            self.node._apply_action(action)

    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        numbers = [number for number in self.expected if self.is_open(number)]
        if numbers:
            number = data.draw(st.sampled_from(numbers))
            self.left.add(number)
            self.node.leave(number)

    @precondition(lambda self: self.node.sends)
    @rule(data=st.data(), outcome=st.sampled_from(("ok", "not_run", "not_sent", "broken")))
    def replica_responds(self, data: st.DataObject, outcome: str) -> None:
        send = data.draw(st.sampled_from(self.node.sends))
        number = self.number_of(send)
        if outcome in ("not_run", "not_sent") and self.is_open(number):
            self.expected[number].may_have_run.discard(send.attempt_id)
        if outcome == "ok":
            self.node.answer(send, body=b"x" * 16)
        elif outcome == "not_run":
            self.node.answer(send, 503, signature=None, not_run=True)
        elif outcome == "not_sent":
            self.node.fail(send, SendFailureKind.NOT_SENT)
        else:
            self.node.fail(send, SendFailureKind.BROKEN)

    @rule(seconds=st.sampled_from((0.001, 0.02, 0.1, 0.4)))
    def time_passes(self, seconds: float) -> None:
        self.node.advance(seconds)

    @invariant()
    def replicas_receive_what_the_oracle_expects(self) -> None:
        for send in self.node.all_sends[self.seen_sends :]:
            expected = self.expected[self.number_of(send)]
            assert not expected.refusals
            assert (send.request, send.tenant) == (expected.request, expected.tenant)
            expected.may_have_run.add(send.attempt_id)
        self.seen_sends = len(self.node.all_sends)

    @invariant()
    def nothing_is_given_back_twice(self) -> None:
        assert len(self.limits.given_back) == len(set(self.limits.given_back))

    def teardown(self) -> None:
        self.node.advance(MAX_OPEN_SECONDS)
        self.replicas_receive_what_the_oracle_expects()
        assert not [number for number in self.expected if self.is_open(number)]
        assert self.node.machine._forwarding.open_exchanges == 0
        to_give_back = [
            (name, number)
            for name, number in self.limits.admit_calls
            if number not in self.rejected and not self.expected[number].may_have_run
        ]
        assert sorted(to_give_back) == sorted(self.limits.given_back)
        output = "\n".join(repr(action) for action in self.node.actions)
        assert not [secret for secret in SECRETS if secret in output]

    def is_open(self, number: int) -> bool:
        return number not in self.node.replies and number not in self.left

    @staticmethod
    def number_of(send: SendToReplica) -> int:
        return int(send.request_id.removeprefix("id-"))


TestCallerHistory = CallerHistory.TestCase
