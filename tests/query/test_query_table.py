"""A request with cancelled sub-requests counts as possibly run."""

from types import SimpleNamespace

import testtools

from wingquay.query.query_table import QueryTable


def pending(number: int) -> SimpleNamespace:
    return SimpleNamespace(
        sub_request=SimpleNamespace(sub_request_id=f"query-1/0.{number}"),
        owner=SimpleNamespace(node_id="node-1"),
    )


class TestCancelPending(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = QueryTable(True)
        self.state = SimpleNamespace(
            request_id="query-1", pending_sub_requests={}, answered={}, may_have_run=False
        )

    def test_a_cancelled_sub_request_may_have_run(self) -> None:
        self.table.add_pending(self.state, pending(1))
        self.table.cancel_pending(self.state)
        self.assertTrue(self.state.may_have_run)

    def test_without_pending_sub_requests_may_have_run_stays_false(self) -> None:
        self.table.cancel_pending(self.state)
        self.assertFalse(self.state.may_have_run)
