from testtools import ExpectedException, TestCase

from tests.known_red import KnownRed, KnownRedError, parse_known_red, split_node_ids


class ParseKnownRedTest(TestCase):
    def test_reads_the_three_fields(self) -> None:
        entries = parse_known_red("tests/test_a.py::test_x[a | b] | late ack | 12\n\n")
        self.assertEqual([KnownRed("tests/test_a.py::test_x[a | b]", "late ack", "12")], entries)

    def test_refuses_a_line_without_cause_and_issue(self) -> None:
        with ExpectedException(KnownRedError, "not 'test-node-id"):
            parse_known_red("tests/test_a.py::test_x\n")

    def test_refuses_a_fourth_test(self) -> None:
        lines = [f"tests/test_a.py::test_{number} | cause | 1" for number in range(4)]
        with ExpectedException(KnownRedError, "4 tests listed"):
            parse_known_red("\n".join(lines))


class SplitNodeIdsTest(TestCase):
    def test_leaves_out_exactly_the_listed_test(self) -> None:
        entries = [KnownRed("t.py::test_x", "cause", "1")]
        green, red = split_node_ids(["t.py::test_x", "t.py::test_x_more"], entries)
        self.assertEqual((["t.py::test_x_more"], ["t.py::test_x"]), (green, red))

    def test_refuses_a_listed_test_that_does_not_exist(self) -> None:
        with ExpectedException(KnownRedError, "listed but not collected: t.py::gone"):
            split_node_ids(["t.py::test_x"], [KnownRed("t.py::gone", "cause", "1")])
