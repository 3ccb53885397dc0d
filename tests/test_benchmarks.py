"""The benchmarks are found, and the quick ones run; their figures are not looked at."""

import testtools

from benchmarks.__main__ import USAGE, find_benchmarks, main
from benchmarks.batching_trial import _read_results, _request_body
from benchmarks.decision_cost import measure
from benchmarks.loop_clock import WAYS, turn_microseconds, use_microseconds
from benchmarks.peer_codec_cost import NAMES, _measure
from benchmarks.support.batch_backend import BatchBackend


class BenchmarksTest(testtools.TestCase):
    def test_every_module_with_a_main_is_found(self) -> None:
        found = find_benchmarks()
        for name in ("decision_cost", "http_exchange", "node_throughput", "peer_link_cost"):
            self.assertIn(name, found)
        self.assertNotIn("support", found)

    def test_unknown_name_is_refused(self) -> None:
        self.assertEqual(USAGE, main(["no_such_benchmark"]))

    def test_decisions_answer_every_query_whole(self) -> None:
        variant = (8, 2)
        costs = measure([variant], sub_requests=8, repeats=1)
        self.assertEqual([variant], list(costs))

    def test_codec_is_measured_for_every_kind_of_message(self) -> None:
        for name in NAMES:
            self.assertTrue(_measure(name, 8, 8).frame_bytes > 0)

    def test_loops_are_measured_by_every_way(self) -> None:
        for make in WAYS.values():
            loop = make()
            self.addCleanup(loop.close)
            self.assertGreater(turn_microseconds(loop, 3) + use_microseconds(loop, 3), 0.0)

    def test_trial_batch_is_answered_attempt_by_attempt(self) -> None:
        attempts = ["n.1", "n.2"]
        answers = _read_results(BatchBackend(3)._results(_request_body(attempts)))
        self.assertEqual(attempts, list(answers))
        self.assertEqual([3, 3], [len(answer.rows) for answer in answers.values()])
