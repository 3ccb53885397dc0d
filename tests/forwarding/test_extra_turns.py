"""Extra arrivals where callers are told apart: nobody's burst spends what the others earned."""

import random

from testtools import TestCase

from tests.forwarding.one_node import single_route, table
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.exchange import Exchange, ServiceCall
from wingquay.forwarding.knowledge.presence import NodeCount
from wingquay.forwarding.sending.extra_turns import WANT_SECONDS, ExtraTurns
from wingquay.forwarding.sending.sending_quotas import SendingQuotas
from wingquay.forwarding.sending.waiting_settings import DEFAULT_WAITING
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ForwardRequested, OpaqueRequest


class TurnsTest(TestCase):
    def test_the_next_one_is_kept_for_who_had_the_fewest_and_wants_one(self) -> None:
        turns = ExtraTurns()
        found = {"nobody wants one": turns.is_turn_of("hot", 0.0)}
        for _ in range(3):
            turns.took("hot", 0.0)
        found["hot had three, calm wants none"] = turns.is_turn_of("hot", 0.1)
        turns.wanted("hot", 0.1)
        turns.wanted("calm", 0.1)
        found["hot, calm wants one"] = turns.is_turn_of("hot", 0.2)
        found["calm"] = turns.is_turn_of("calm", 0.2)
        found["calm's request is over"] = turns.is_turn_of("hot", 0.1 + WANT_SECONDS)
        turns.wanted("calm", 1.0)
        turns.took("calm", 1.1)
        found["calm has had it"] = turns.is_turn_of("hot", 1.2)
        expected = {
            "nobody wants one": True,
            "hot had three, calm wants none": True,
            "hot, calm wants one": False,
            "calm": True,
            "calm's request is over": True,
            "calm has had it": True,
        }
        self.assertEqual(expected, found)

    def test_many_tenants_are_not_remembered_for_ever(self) -> None:
        turns = ExtraTurns()
        for number in range(1000):
            turns.took(f"tenant{number}", 0.0)
            turns.wanted(f"other{number}", 0.0)
        self.assertLess(len(turns._had) + len(turns._wanted_at), 200)


class SharesTest(TestCase):
    """A service whose budget allows one extra arrival each second."""

    def setUp(self) -> None:
        super().setUp()
        settings = ForwardingSettings(
            "a",
            retry_ratio=0.0,
            retry_slack=2.5,
            retry_window_seconds=1.0,
            min_nodes=1,
            max_nodes=1,
        )
        directory = ReplicaDirectory(settings, random.Random(1))
        self.shares = SendingQuotas(settings, directory, NodeCount(settings), "", DEFAULT_WAITING)

    def call(self, tenant: Tenant | None) -> ServiceCall:
        request = OpaqueRequest(b"GET", b"/one/x", ())
        event = ForwardRequested(1, "id-1", "host", "/one/x", request)
        route = single_route()
        exchange = Exchange(event, table(1, route), route, 0.0, 1.0, 2.0, tenant=tenant)
        return ServiceCall(exchange, "s")

    def test_the_second_one_goes_to_the_tenant_that_had_none(self) -> None:
        hot, calm = self.call(Tenant("hot", ("1",))), self.call(Tenant("calm", ("2",)))
        moments = ((hot, 0.0), (calm, 0.8), (hot, 1.0), (calm, 1.05), (hot, 2.1))
        granted = [self.shares.may_arrive_again(call, now) for call, now in moments]
        self.assertEqual([True, False, False, True, True], granted)

    def test_callers_that_are_not_told_apart_take_what_there_is(self) -> None:
        call = self.call(None)
        granted = [self.shares.may_arrive_again(call, now) for now in (0.0, 0.8, 1.0)]
        self.assertEqual([True, False, True], granted)
