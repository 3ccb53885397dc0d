"""The days of `deploy/days/`: each is what its list says, and can be read."""

import runpy
import tomllib
from pathlib import Path

from testtools import TestCase

FOLDER = Path(__file__).parent.parent / "deploy" / "days"
HANDED_OVER = {
    "deadly": (
        'name = "deadly"\n'
        'faults = [{ at = 5.0, kind = "poison", how = "deadly", class = "district-sweep", '
        "share = 0.03, for_s = 20.0 }]\n"
    )
}
"""Days that were given as they stand."""
NUMBERS = ("at", "share", "x", "for_s", "gap_s", "count")
TEXTS = ("kind", "how", "zone", "service", "class", "on")


class DaysTest(TestCase):
    def test_the_files_are_what_the_list_writes(self) -> None:
        maker = runpy.run_path(str(FOLDER / "make.py"))
        written = {name: maker["day_text"](name) for name in maker["DAYS"]}
        stored = {path.stem: path.read_text() for path in FOLDER.glob("*.toml")}
        self.assertEqual({**written, **HANDED_OVER}, stored)

    def test_every_entry_has_a_kind_a_moment_and_known_fields_of_their_types(self) -> None:
        for path in sorted(FOLDER.glob("*.toml")):
            day = tomllib.loads(path.read_text())
            self.assertEqual(path.stem, day["name"])
            entries = [*day.get("plan", []), *day["faults"]]
            self.assertNotEqual([], entries, path)
            for entry in entries:
                self.assertIn("kind", entry, path)
                self.assertIn("at", entry, path)
                self.assertEqual(set(), entry.keys() - {*NUMBERS, *TEXTS}, path)
                for name, found in entry.items():
                    types = (int, float) if name in NUMBERS else (str,)
                    self.assertIn(type(found), types, (path, name))
