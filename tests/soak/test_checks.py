"""Each check of the soak fails for a double of the node that breaks its rule, and only then."""

import asyncio
import tempfile
from functools import cache
from pathlib import Path

import attrs
from testtools import TestCase

from scripts.soak.report import RunReport
from scripts.soak.run import Recording, judge, record
from scripts.soak.settings import Bounds, SoakSettings
from tests.soak.double_node import Flaw, make_doubles

BOUNDS = Bounds(
    contact_seconds=0.5,
    configuration_seconds=0.5,
    grace_seconds=2.0,
    retry_slack=10.0,
    retry_window_seconds=2.0,
    quota_window_seconds=2.0,
    quota_slack=0.0,
    revocation_seconds=0.5,
)
"""Short ones, so that a run of seconds shows what breaks them."""
LEAST_REQUESTS = 100
AT_A_TIME = 4
CALM = ("configuration_changed",)


@attrs.frozen
class Scenario:
    """A short run over doubles with a flaw."""

    flaw: Flaw
    faults: tuple[str, ...] = CALM
    has_tenants: bool = False
    seconds: float = 3.0
    leave_share: float = 0.05
    fault_gap_seconds: float = 0.8

    def settings(self) -> SoakSettings:
        return SoakSettings(
            seed=3,
            seconds=self.seconds,
            nodes=3,
            shards=3,
            single_replicas=4,
            intake_replicas=4,
            clients=28,
            pause_seconds=0.05,
            fault_gap_seconds=self.fault_gap_seconds,
            faults=self.faults,
            has_tenants=self.has_tenants,
            leave_share=self.leave_share,
            lead_seconds=0.6,
            settle_seconds=1.2,
            bounds=BOUNDS,
        )


SOUND = tuple(
    Scenario(Flaw.NONE, (*CALM, "node_stopped", "keys_changed"), has_tenants)
    for has_tenants in (False, True)
)
UNCHANGED = ("node_hung_up",)
BROKEN = {
    scenario.flaw: scenario
    for scenario in (
        Scenario(Flaw.CUTS_AT_STOP, ("node_stopped",)),
        Scenario(Flaw.SENDS_TWICE),
        Scenario(Flaw.REFUSES_AFTER_RUN),
        Scenario(Flaw.SWAPS_ANSWERS),
        Scenario(Flaw.MERGES_WRONGLY),
        Scenario(Flaw.CHANGES_TARGET),
        Scenario(Flaw.PASSES_KEY_ON, has_tenants=True),
        Scenario(Flaw.DENIES),
        Scenario(Flaw.SENDS_OFTEN),
        Scenario(Flaw.STATES_NO_DEADLINE),
        Scenario(Flaw.WORKS_ON, leave_share=0.5),
        Scenario(Flaw.KEEPS_FIRST_CONFIGURATION),
        Scenario(Flaw.GOES_BACK, ("route_moved",), fault_gap_seconds=3.0),
        Scenario(Flaw.HOLDS_REQUESTS, UNCHANGED, seconds=6.0),
        Scenario(Flaw.IGNORES_LIMITS, has_tenants=True),
        Scenario(Flaw.KEEPS_KEYS, ("keys_changed",), has_tenants=True),
    )
}


@cache
def reports() -> dict[Scenario, RunReport]:
    """Play all scenarios, a few at a time, because most of their time is waiting."""
    scenarios = [*SOUND, *BROKEN.values()]
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        recordings = asyncio.run(_record_all(scenarios, directory))
        return {
            scenario: judge(recording, directory)
            for scenario, recording in zip(scenarios, recordings, strict=True)
        }


async def _record_all(scenarios: list[Scenario], directory: Path) -> list[Recording]:
    places = asyncio.Semaphore(AT_A_TIME)

    async def record_one(scenario: Scenario) -> Recording:
        async with places:
            return await record(scenario.settings(), directory, make_doubles(scenario.flaw))

    return await asyncio.gather(*(record_one(scenario) for scenario in scenarios))


class SoundDoubleTest(TestCase):
    def test_a_double_without_a_flaw_breaks_no_rule(self) -> None:
        for scenario in SOUND:
            report = reports()[scenario]
            self.assertEqual((), report.violations)
            self.assertGreater(report.requests, LEAST_REQUESTS)


class BrokenDoubleTest(TestCase):
    def assert_broken(self, rule: str, flaw: Flaw, text: str, also: str = "") -> None:
        """Check that a flaw breaks its rule and nothing else, but for ``also``."""
        report = reports()[BROKEN[flaw]]
        broken = {item.rule.value for item in report.violations}
        self.assertEqual({rule}, broken - {also}, report.line())
        texts = [item.text for item in report.violations]
        self.assertTrue(any(text in item for item in texts), texts)
        self.assertFalse(report.is_kept)

    def test_connections_that_a_stop_cuts(self) -> None:
        self.assert_broken("LOST", Flaw.CUTS_AT_STOP, "closed without an answer")

    def test_a_second_run(self) -> None:
        self.assert_broken("TWICE", Flaw.SENDS_TWICE, "ran on", also="BUDGET")

    def test_a_promise_that_is_not_true(self) -> None:
        self.assert_broken("REFUSED", Flaw.REFUSES_AFTER_RUN, "503, but it ran")

    def test_answers_to_other_requests(self) -> None:
        self.assert_broken("MIXED", Flaw.SWAPS_ANSWERS, "belongs to request")

    def test_records_that_are_not_the_greatest(self) -> None:
        self.assert_broken("MIXED", Flaw.MERGES_WRONGLY, "greatest records")

    def test_a_target_that_was_changed(self) -> None:
        self.assert_broken("UNASKED", Flaw.CHANGES_TARGET, "was changed")

    def test_a_key_that_is_passed_on(self) -> None:
        self.assert_broken("UNASKED", Flaw.PASSES_KEY_ON, "key was passed on")

    def test_denied_requests(self) -> None:
        self.assert_broken("DENIED", Flaw.DENIES, "proper requests with [403]")

    def test_extra_arrivals(self) -> None:
        self.assert_broken("BUDGET", Flaw.SENDS_OFTEN, "extra arrivals")

    def test_more_time_than_remains(self) -> None:
        self.assert_broken("BUDGET", Flaw.STATES_NO_DEADLINE, "more time than remained")

    def test_work_for_clients_that_have_left(self) -> None:
        self.assert_broken("GONE", Flaw.WORKS_ON, "after their clients had left")

    def test_an_old_configuration(self) -> None:
        text = "which only an older configuration allows"
        self.assert_broken("CONFIG", Flaw.KEEPS_FIRST_CONFIGURATION, text, also="DENIED")

    def test_a_configuration_that_comes_back(self) -> None:
        self.assert_broken("CONFIG", Flaw.GOES_BACK, ", after ")

    def test_requests_that_are_held(self) -> None:
        self.assert_broken("CONFIG", Flaw.HOLDS_REQUESTS, "were held beyond the time")

    def test_a_limit_that_is_not_kept(self) -> None:
        self.assert_broken("QUOTA", Flaw.IGNORES_LIMITS, "ran")

    def test_a_key_that_was_taken_away(self) -> None:
        self.assert_broken("CONFIG", Flaw.KEEPS_KEYS, "ran by a key taken away")
