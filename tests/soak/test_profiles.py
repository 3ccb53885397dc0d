"""Profiles of the soak: what seeds draw, and what the command line allows."""

import contextlib
import io

from testtools import TestCase

from scripts.soak.__main__ import OK, USAGE, soak
from scripts.soak.profiles import DRAWN, PROFILES, draw_profile
from scripts.soak.settings import SoakSettings

SEEDS = range(200)


class ProfileTest(TestCase):
    def test_what_a_seed_draws_lies_in_the_ranges(self) -> None:
        for name, profile in PROFILES.items():
            for seed in SEEDS:
                drawn = profile.draw(SoakSettings(seed=seed), name)
                for value, (least, greatest) in (
                    (drawn.nodes, profile.nodes),
                    (drawn.zones, profile.zones),
                    (drawn.shards, profile.shards),
                    (drawn.single_replicas, profile.single_replicas),
                    (drawn.deadline_factor, profile.deadline_factor),
                    (drawn.bounds.retry_slack, profile.retry_slack),
                ):
                    self.assertTrue(least <= value <= greatest, (name, seed, value))
                self.assertIn(drawn.bounds.revocation_seconds, profile.revocation_seconds)
                self.assertEqual(name, drawn.profile)

    def test_a_seed_draws_the_same_again(self) -> None:
        for seed in SEEDS:
            name = draw_profile(seed)
            first, second = (PROFILES[name].draw(SoakSettings(seed=seed), name) for _ in range(2))
            self.assertEqual(first, second)

    def test_seeds_draw_all_profiles_that_are_drawn(self) -> None:
        self.assertEqual(set(DRAWN), {draw_profile(seed) for seed in SEEDS})

    def test_there_are_no_more_zones_than_nodes(self) -> None:
        for seed in SEEDS:
            drawn = PROFILES["large"].draw(SoakSettings(seed=seed), "large", 2)
            self.assertEqual((2, 2), (drawn.nodes, drawn.zones))


class CommandLineTest(TestCase):
    def complaint(self, **arguments: object) -> str:
        """Return what the command says of arguments that it does not allow."""
        said = io.StringIO()
        with contextlib.redirect_stderr(said):
            self.assertEqual(USAGE, soak(**arguments))  # type: ignore[arg-type]
        return said.getvalue()

    def test_arguments_that_are_not_allowed_are_named(self) -> None:
        for arguments, field in (
            ({"profile": "huge"}, "profile"),
            ({"seeds": "x"}, "seeds"),
            ({"seeds": "5-x"}, "seeds"),
            ({"seeds": "9-5"}, "seeds"),
            ({"nodes": 1}, "nodes"),
            ({"nodes": 201}, "nodes"),
            ({"seconds": 0}, "seconds"),
            ({"faults": "none_such"}, "faults"),
        ):
            said = self.complaint(**arguments)
            self.assertTrue(said.startswith(f"{field}: "), said)
            self.assertIn("allowed", said)

    def test_faults_are_listed(self) -> None:
        said = io.StringIO()
        with contextlib.redirect_stdout(said):
            self.assertEqual(OK, soak(list_faults=True))
        self.assertIn("configurations_during_a_cut", said.getvalue())
