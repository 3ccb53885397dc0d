"""A burst of one tenant must not use up the extra requests of the others."""

import random

from testtools import TestCase

from tests.forwarding.one_node import single_route, table
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.exchange import Exchange, ServiceCall
from wingquay.forwarding.knowledge.presence import NodeCount
from wingquay.forwarding.sending.extra_request_fairness import (
    REFUSAL_MEMORY_SECONDS,
    ExtraRequestFairness,
)
from wingquay.forwarding.sending.sending_quotas import SendingQuotas
from wingquay.forwarding.sending.waiting_settings import DEFAULT_WAITING
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ForwardRequested, OpaqueRequest


class FairnessTest(TestCase):
    def test_the_next_request_is_reserved_for_the_refused_tenant_with_the_fewest(self) -> None:
        fairness = ExtraRequestFairness()
        found = {"no tenant was refused": fairness.may_take("hot", 0.0)}
        for _ in range(3):
            fairness.on_taken("hot", 0.0)
        found["hot took three, calm was not refused"] = fairness.may_take("hot", 0.1)
        fairness.on_refused("hot", 0.1)
        fairness.on_refused("calm", 0.1)
        found["hot, calm was refused"] = fairness.may_take("hot", 0.2)
        found["calm"] = fairness.may_take("calm", 0.2)
        found["calm's reservation has expired"] = fairness.may_take(
            "hot", 0.1 + REFUSAL_MEMORY_SECONDS
        )
        fairness.on_refused("calm", 1.0)
        fairness.on_taken("calm", 1.1)
        found["calm has taken it"] = fairness.may_take("hot", 1.2)
        expected = {
            "no tenant was refused": True,
            "hot took three, calm was not refused": True,
            "hot, calm was refused": False,
            "calm": True,
            "calm's reservation has expired": True,
            "calm has taken it": True,
        }
        self.assertEqual(expected, found)

    def test_the_number_of_remembered_tenants_is_bounded(self) -> None:
        fairness = ExtraRequestFairness()
        for number in range(1000):
            fairness.on_taken(f"tenant{number}", 0.0)
            fairness.on_refused(f"other{number}", 0.0)
        self.assertLess(len(fairness._taken) + len(fairness._refused_at), 200)


class SendingQuotasTest(TestCase):
    """A service whose budget allows one extra request a second."""

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
        self.quotas = SendingQuotas(settings, directory, NodeCount(settings), "", DEFAULT_WAITING)

    def call(self, tenant: Tenant | None) -> ServiceCall:
        request = OpaqueRequest(b"GET", b"/one/x", ())
        event = ForwardRequested(1, "id-1", "host", "/one/x", request)
        route = single_route()
        exchange = Exchange(event, table(1, route), route, 0.0, 1.0, 2.0, tenant=tenant)
        return ServiceCall(exchange, "s")

    def test_the_second_request_goes_to_the_tenant_without_one(self) -> None:
        hot, calm = self.call(Tenant("hot", ("1",))), self.call(Tenant("calm", ("2",)))
        moments = ((hot, 0.0), (calm, 0.8), (hot, 1.0), (calm, 1.05), (hot, 2.1))
        granted = [self.quotas.take_extra_request(call, now) for call, now in moments]
        self.assertEqual([True, False, False, True, True], granted)

    def test_anonymous_callers_share_the_budget_without_order(self) -> None:
        call = self.call(None)
        granted = [self.quotas.take_extra_request(call, now) for now in (0.0, 0.8, 1.0)]
        self.assertEqual([True, False, True], granted)
