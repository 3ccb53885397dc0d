"""What the table of open requests remembers of sub-requests that are given up on."""

from types import SimpleNamespace

import testtools

from wingquay.query.query_table import QueryTable


def pending(number: int) -> SimpleNamespace:
    return SimpleNamespace(
        sub_request=SimpleNamespace(sub_request_id=f"query-1/0.{number}"),
        owner=SimpleNamespace(node_id="node-1"),
    )


class TestGivingUp(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = QueryTable(True)
        self.state = SimpleNamespace(
            request_id="query-1", outstanding={}, answered={}, may_have_run=False
        )

    def test_what_is_given_up_on_may_have_run(self) -> None:
        self.table.add_pending(self.state, pending(1))
        self.table.cancel_pending(self.state)
        self.assertTrue(self.state.may_have_run)

    def test_nothing_given_up_on_proves_nothing(self) -> None:
        self.table.cancel_pending(self.state)
        self.assertFalse(self.state.may_have_run)
