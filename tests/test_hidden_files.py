import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from tests.hidden_files import hidden_files

ROOT = Path(__file__).resolve().parents[1]


class HiddenFilesTest(TestCase):
    def test_names_the_file_whose_tests_are_those_of_another_one(self) -> None:
        first, second = Path("tests/a/test_x.py"), Path("tests/b/test_x.py")
        collected = [(first, first), (second, first), (second, first), (Path("t.py"), None)]
        self.assertEqual([str(second)], hidden_files(collected))

    def test_every_folder_of_tests_is_a_package(self) -> None:
        """Without that, pytest gives files of one name in different folders one module name."""
        folders = {path.parent for path in (ROOT / "tests").rglob("test_*.py")}
        missing = [str(folder) for folder in folders if not (folder / "__init__.py").exists()]
        self.assertEqual([], missing)

    def test_a_run_over_two_files_of_one_name_collects_the_tests_of_both(self) -> None:
        files = [
            "tests/forwarding/test_suspension.py",
            "tests/simulation/forwarding/test_suspension.py",
        ]
        counts = [self.collected(*chosen) for chosen in ([files[0]], [files[1]], files)]
        self.assertEqual(counts[0] + counts[1], counts[2])
        self.assertNotIn(0, counts)

    def collected(self, *files: str) -> int:
        command = [sys.executable, "-m", "pytest", "--collect-only", "-q", *files]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
        return sum("::" in line for line in done.stdout.splitlines())
