"""A short seeded soak of the deployed node as real processes."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase

from scripts.soak.profiles import PROFILES
from scripts.soak.report import RunReport
from scripts.soak.run import judge, record
from scripts.soak.settings import SoakSettings

SECONDS = 20.0
MIN_REQUESTS = 300


def play(profile: str, settings: SoakSettings, nodes: int) -> RunReport:
    """Play one run of a profile."""
    drawn = PROFILES[profile].draw(settings, profile, nodes)
    with tempfile.TemporaryDirectory(prefix="wingquay-soak-") as name:
        directory = Path(name)
        recording = asyncio.run(record(drawn, directory))
        return judge(recording, directory)


class ProcessSoakTest(TestCase):
    def assert_kept(self, report: RunReport) -> None:
        """Check that no rule was broken and that the run had traffic."""
        details = [report.line(), *(str(item) for item in report.violations), *report.traces]
        self.assertTrue(report.is_kept, "\n".join(details))
        self.assertGreater(report.requests, MIN_REQUESTS)

    def test_small_deployment_with_tenants_and_all_faults(self) -> None:
        settings = SoakSettings(seed=11, seconds=SECONDS, has_tenants=True)
        self.assert_kept(play("small", settings, 5))

    def test_grown_deployment_with_changes_near_cuts_and_kills(self) -> None:
        faults = (
            "configurations_during_a_cut",
            "configuration_near_a_kill",
            "many_store_links_troubled",
            "node_stopped",
        )
        settings = SoakSettings(seed=12, seconds=SECONDS, faults=faults)
        self.assert_kept(play("grown", settings, 5))
