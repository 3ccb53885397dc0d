"""Tests of value classes: comparison and hash by fields, immutability enforced by mypy."""

import dataclasses

import testtools
from mypy import api as mypy

from wingquay.model.answer import Row

ASSIGNMENT = 'from wingquay.model.answer import Row\nrow = Row("a", "b")\nrow.key = "c"\n'


class ValueTest(testtools.TestCase):
    def test_compares_and_hashes_by_fields(self) -> None:
        self.assertEqual(Row("a", "b"), Row("a", "b"))
        self.assertNotEqual(Row("a", "b"), Row("a", "c"))
        self.assertEqual(hash(Row("a", "b")), hash(Row("a", "b")))
        self.assertEqual(Row("a", "c"), dataclasses.replace(Row("a", "b"), value="c"))

    def test_rejects_undeclared_attributes(self) -> None:
        def assign() -> None:
            Row("a", "b").other = 1  # type: ignore[attr-defined]

        self.assertRaises(AttributeError, assign)

    def test_type_checker_rejects_assignments_to_fields(self) -> None:
        output, errors, status = mypy.run(["--strict", "--config-file=", "-c", ASSIGNMENT])
        self.assertEqual(1, status, output + errors)
        self.assertIn("read-only", output)
