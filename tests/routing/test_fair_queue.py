"""The fair queue orders items by rank, fairness between flows, and preference."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.routing.fair_queue import FairQueue
from wingquay.routing.queue_placement import QueuePlacement


@dataclass(eq=False)
class QueuedItem:
    name: str
    rank: int = 0
    flow: str = ""
    is_late: bool = False
    is_finished: bool = False
    is_queued: bool = False


def new_queue(memory_seconds: float | None = None) -> FairQueue[QueuedItem]:
    return FairQueue(lambda item: QueuePlacement(item.rank, item.flow), memory_seconds)


def served(queue: FairQueue[QueuedItem], now: float = 0.0) -> list[str]:
    """Return the names of all queued items in the order in which they are served."""
    names = []
    while (item := queue.pop(lambda _: True, now, lambda other: not other.is_late)) is not None:
        names.append(item.name)
    return names


class OrderTest(TestCase):
    def test_items_are_served_in_the_expected_order(self) -> None:
        hot = [QueuedItem(f"hot{number}", flow="hot") for number in range(3)]
        rows = {
            "by arrival": (
                [QueuedItem("a"), QueuedItem("b"), QueuedItem("c")],
                ["a", "b", "c"],
            ),
            "urgent first, whenever it arrived": (
                [QueuedItem("usual", 2), QueuedItem("urgent", 0), QueuedItem("middle", 1)],
                ["urgent", "middle", "usual"],
            ),
            "a burst alternates with others": (
                [*hot, QueuedItem("calm", flow="calm")],
                ["hot0", "calm", "hot1", "hot2"],
            ),
            "late items last": (
                [QueuedItem("late", is_late=True), QueuedItem("in time")],
                ["in time", "late"],
            ),
            "a late urgent item before a less urgent one": (
                [QueuedItem("usual", 1), QueuedItem("late", 0, is_late=True)],
                ["late", "usual"],
            ),
        }
        orders = {}
        for name, (items, _) in rows.items():
            queue = new_queue()
            for item in items:
                queue.push(item)
            orders[name] = served(queue)
        self.assertEqual({name: order for name, (_, order) in rows.items()}, orders)

    def test_charged_service_counts_and_decays(self) -> None:
        orders = {}
        for seconds in (0.0, 100.0):
            queue = new_queue(memory_seconds=2.0)
            for _ in range(5):
                queue.charge(QueuedItem("sent", flow="hot"), 0.0)
            queue.push(QueuedItem("hot", flow="hot"), seconds)
            queue.push(QueuedItem("calm1", flow="calm"), seconds)
            queue.push(QueuedItem("calm2", flow="calm"), seconds)
            orders[seconds] = served(queue, seconds)
        expected = {0.0: ["calm1", "calm2", "hot"], 100.0: ["calm1", "hot", "calm2"]}
        self.assertEqual(expected, orders)

    def test_an_item_that_is_not_accepted_keeps_its_position(self) -> None:
        queue = new_queue()
        for name in ("first", "second"):
            queue.push(QueuedItem(name))
        passed = queue.pop(lambda item: item.name != "first", 0.0)
        assert passed is not None
        self.assertEqual(("second", ["first"]), (passed.name, served(queue)))

    def test_idle_flows_are_removed(self) -> None:
        queue = new_queue(memory_seconds=2.0)
        for number in range(5000):
            queue.charge(QueuedItem("sent", flow=f"caller{number}"), 0.0)
        self.assertLess(len(queue._ranks[0].flows), 300)


ITEMS = st.lists(
    st.builds(
        QueuedItem,
        st.just("item"),
        st.integers(0, 2),
        st.sampled_from(["a", "b", "c"]),
        st.booleans(),
    ),
    min_size=1,
    max_size=20,
)


class PropertyTest(TestCase):
    @given(items=ITEMS, data=st.data())
    def test_no_item_is_served_before_a_more_urgent_one(
        self, items: list[QueuedItem], data: st.DataObject
    ) -> None:
        queue = new_queue()
        waiting: list[QueuedItem] = []
        for item in items:
            queue.push(item)
            waiting.append(item)
            if data.draw(st.booleans()):
                popped = queue.pop(lambda _: True, 0.0, lambda other: not other.is_late)
                assert popped is not None
                self.assertEqual(min(other.rank for other in waiting), popped.rank)
                waiting.remove(popped)
        self.assertEqual(len(waiting), len(queue))

    @given(items=ITEMS)
    def test_the_count_covers_the_items_that_are_served_before(
        self, items: list[QueuedItem]
    ) -> None:
        queue = new_queue()
        for item in items:
            item.is_late = False
            queue.push(item)
        first = queue.pop(lambda _: True, 0.0)
        left = [item for item in items if item is not first]
        counts = [queue.queued_before(item, 0.0) for item in left]
        served_before = [
            sum(
                other.rank < item.rank
                or (
                    other.rank == item.rank
                    and other.flow == item.flow
                    and left.index(other) < left.index(item)
                )
                for other in left
            )
            for item in left
        ]
        for count, min_count in zip(counts, served_before, strict=True):
            self.assertLessEqual(min_count, count)
            self.assertLess(count, len(left))

    @given(items=ITEMS, newcomer=st.builds(QueuedItem, st.just("new"), st.integers(0, 2)))
    def test_the_fast_count_matches_the_exact_one_without_preferences(
        self, items: list[QueuedItem], newcomer: QueuedItem
    ) -> None:
        queue = new_queue()
        for item in items:
            queue.push(item)
        for item in (*items, newcomer):
            self.assertEqual(
                queue.queued_before(item, 0.0, lambda _: True), queue.queued_before(item, 0.0), item
            )
