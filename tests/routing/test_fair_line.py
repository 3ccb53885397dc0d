"""The order of what waits: ranks, flows, what is preferred, what was had lately."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.routing.fair_queue import FairQueue
from wingquay.routing.queue_placement import QueuePlacement


@dataclass(eq=False)
class Waiting:
    name: str
    rank: int = 0
    flow: str = ""
    is_late: bool = False
    is_finished: bool = False
    is_queued: bool = False


def new_line(memory_seconds: float | None = None) -> FairQueue[Waiting]:
    return FairQueue(lambda item: QueuePlacement(item.rank, item.flow), memory_seconds)


def served(line: FairQueue[Waiting], now: float = 0.0) -> list[str]:
    """Return the names of all that waits, in the order in which it is served."""
    names = []
    while (item := line.pop(lambda _: True, now, lambda other: not other.is_late)) is not None:
        names.append(item.name)
    return names


class OrderTest(TestCase):
    def test_each_load_is_served_in_its_order(self) -> None:
        hot = [Waiting(f"hot{number}", flow="hot") for number in range(3)]
        rows = {
            "by arrival": (
                [Waiting("a"), Waiting("b"), Waiting("c")],
                ["a", "b", "c"],
            ),
            "urgent first, whenever it came": (
                [Waiting("usual", 2), Waiting("urgent", 0), Waiting("middle", 1)],
                ["urgent", "middle", "usual"],
            ),
            "a burst takes turns with others": (
                [*hot, Waiting("calm", flow="calm")],
                ["hot0", "calm", "hot1", "hot2"],
            ),
            "what is late anyway goes last": (
                [Waiting("late", is_late=True), Waiting("in time")],
                ["in time", "late"],
            ),
            "an urgent one that is late goes before a less urgent one": (
                [Waiting("usual", 1), Waiting("late", 0, is_late=True)],
                ["late", "usual"],
            ),
        }
        orders = {}
        for name, (items, _) in rows.items():
            line = new_line()
            for item in items:
                line.push(item)
            orders[name] = served(line)
        self.assertEqual({name: order for name, (_, order) in rows.items()}, orders)

    def test_what_a_flow_has_had_without_waiting_counts_and_is_forgotten(self) -> None:
        orders = {}
        for seconds in (0.0, 100.0):
            line = new_line(memory_seconds=2.0)
            for _ in range(5):
                line.charge(Waiting("sent", flow="hot"), 0.0)
            line.push(Waiting("hot", flow="hot"), seconds)
            line.push(Waiting("calm1", flow="calm"), seconds)
            line.push(Waiting("calm2", flow="calm"), seconds)
            orders[seconds] = served(line, seconds)
        expected = {0.0: ["calm1", "calm2", "hot"], 100.0: ["calm1", "hot", "calm2"]}
        self.assertEqual(expected, orders)

    def test_what_cannot_be_served_now_lets_others_pass_and_keeps_its_place(self) -> None:
        line = new_line()
        for name in ("first", "second"):
            line.push(Waiting(name))
        passed = line.pop(lambda item: item.name != "first", 0.0)
        assert passed is not None
        self.assertEqual(("second", ["first"]), (passed.name, served(line)))

    def test_flows_that_do_not_wait_are_not_kept_for_ever(self) -> None:
        line = new_line(memory_seconds=2.0)
        for number in range(5000):
            line.charge(Waiting("sent", flow=f"caller{number}"), 0.0)
        self.assertLess(len(line._ranks[0].flows), 300)


ITEMS = st.lists(
    st.builds(
        Waiting,
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
    def test_nobody_is_served_before_one_that_is_more_urgent(
        self, items: list[Waiting], data: st.DataObject
    ) -> None:
        line = new_line()
        waiting: list[Waiting] = []
        for item in items:
            line.push(item)
            waiting.append(item)
            if data.draw(st.booleans()):
                popped = line.pop(lambda _: True, 0.0, lambda other: not other.is_late)
                assert popped is not None
                self.assertEqual(min(other.rank for other in waiting), popped.rank)
                waiting.remove(popped)
        self.assertEqual(len(waiting), len(line))

    @given(items=ITEMS)
    def test_as_many_are_served_before_one_as_are_counted_ahead_of_it(
        self, items: list[Waiting]
    ) -> None:
        line = new_line()
        for item in items:
            item.is_late = False
            line.push(item)
        first = line.pop(lambda _: True, 0.0)
        left = [item for item in items if item is not first]
        ahead = [line.ahead_of(item, 0.0) for item in left]
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
        for count, least in zip(ahead, served_before, strict=True):
            self.assertLessEqual(least, count)
            self.assertLess(count, len(left))

    @given(items=ITEMS, newcomer=st.builds(Waiting, st.just("new"), st.integers(0, 2)))
    def test_the_quick_count_is_the_same_where_nobody_is_preferred(
        self, items: list[Waiting], newcomer: Waiting
    ) -> None:
        line = new_line()
        for item in items:
            line.push(item)
        for item in (*items, newcomer):
            self.assertEqual(
                line.ahead_of(item, 0.0, lambda _: True), line.ahead_of(item, 0.0), item
            )
