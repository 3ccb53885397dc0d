"""Keys, tenants and public routes over several nodes under faults, while keys come and go."""

import random

from testtools import TestCase

from wingquay.forwarding import request_arrival
from wingquay.forwarding.arrival import arrival_admission
from wingquay.forwarding.peers import delegated_work
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.ports.forwarding import ForwardRequested
from wingquay.simulation.forwarding.faults import FAULTS, LATER_FAULTS, configuration_storm, play
from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulation import SimulationResult

SETTINGS = SimulationSettings(
    nodes=6,
    shards=8,
    seconds=20.0,
    requests_per_second=60.0,
    delegate_min_shards=4,
    tenants=5,
)
FAULTS_OF_A_RUN = 8
LEAST_SERVED_SHARE = 0.5
"""Keys change faster than nodes hear of them while the store is in trouble."""
CHANGES = (configuration_storm,) * 3


def run(seed: int) -> SimulationResult:
    """Play a run with tenants and faults that the seed draws."""
    chance = random.Random(f"tenants/{seed}")
    drawn = tuple(chance.choice((*FAULTS, *LATER_FAULTS)) for _ in range(FAULTS_OF_A_RUN))
    return play(seed, SETTINGS, (*CHANGES, *drawn))


class TenantsTest(TestCase):
    def test_every_promise_is_kept_while_keys_come_and_go(self) -> None:
        for seed in range(4):
            result = run(seed)
            self.assertEqual((), result.violations, seed)
            self.assertGreater(result.served, result.requests * LEAST_SERVED_SHARE, seed)


class BrokenTest(TestCase):
    """The oracle sees each promise broken."""

    def assert_seen(self, words: str) -> None:
        violations = play(1, SETTINGS, CHANGES).violations
        self.assertTrue([text for text in violations if words in text], violations[:3])

    def test_a_key_that_is_passed_on(self) -> None:
        self.patch(request_arrival, "strip_credentials", _unchanged)
        self.assert_seen("passed on what says who calls")

    def test_an_unknown_key_that_is_served(self) -> None:
        self.patch(arrival_admission, "authenticate", _anybody)
        self.assert_seen("which the key did not stand for")

    def test_a_node_that_forgets_for_whom_it_was_asked(self) -> None:
        self.patch(delegated_work, "build_tenant", lambda _message: None)
        self.assert_seen("told '', which the key did not stand for")

    def test_a_known_key_that_is_called_unknown(self) -> None:
        self.patch(arrival_admission, "authenticate", _nobody)
        self.assert_seen("a known key was called unknown")


def _unchanged(event: ForwardRequested) -> ForwardRequested:
    return event


def _anybody(key: str, tenants: TenantDirectory) -> Tenant:
    return tenants.find_by_key(key) or tenants.tenants[0]


def _nobody(_key: str, _tenants: TenantDirectory) -> object:
    return arrival_admission.Rejected(
        request_arrival.ForwardFailureKind.UNKNOWN_CALLER, "test", None
    )
