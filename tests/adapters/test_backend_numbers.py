"""Versions of any size from outside: what does not fit a message between nodes is left out."""

from testtools import TestCase

from wingquay.adapters.backend_json import LARGEST_VERSION, _read_versions, _version


class BackendNumbersTest(TestCase):
    def test_versions_in_a_header(self) -> None:
        self.assertEqual((3, 5), _read_versions("3-5"))
        self.assertEqual((None, LARGEST_VERSION), _read_versions(f"{2**63}-{LARGEST_VERSION}"))
        for text in ("9" * 5000 + "-1", "1-" + "9" * 5000, "-1-2", "a-b", "", "1"):
            self.assertEqual((None, None), _read_versions(text))

    def test_versions_in_a_body(self) -> None:
        self.assertEqual(7, _version(7))
        for value in (-1, 2**63, 10**400, True, 1.0, "1", None):
            self.assertIsNone(_version(value))
