"""The decision to send, wait or reject, by itself: tables of what is known and what follows."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.forwarding.sending.decision import (
    NO_REPEAT_REASON,
    NO_REPLICA_REASON,
    NO_ROOM_REASON,
    RAN_REASON,
    Decision,
    Reject,
    SendNow,
    WaitingRequest,
    WaitUntil,
    decide,
)
from wingquay.forwarding.sending.retry_after import (
    MIN_RETRY_AFTER_SECONDS,
    MOST_RETURN_SECONDS,
    SPREAD_RATIO,
    UNKNOWN_RETURN_SECONDS,
    jittered_retry_after,
)
from wingquay.forwarding.sending.room import (
    NEVER,
    ReplicaRoom,
    Room,
    expected_room,
    room_for_share,
)
from wingquay.forwarding.sending.waiting_settings import WaitingRule, WaitingSettings

ESTIMATE = WaitingSettings(WaitingRule.ESTIMATE)
SHARES = WaitingSettings(WaitingRule.FIXED_SHARES)
RULES = (ESTIMATE, SHARES)


def request(**fields: object) -> WaitingRequest:
    """Return a request of an objective of 1 s and a time of 8 s that came at 0."""
    usual: dict[str, object] = {
        "arrived_at": 0.0,
        "cutoff_at": 0.95,
        "ends_at": 8.0,
        "objective_seconds": 1.0,
        "has_usable": True,
    }
    return WaitingRequest(**{**usual, **fields})  # type: ignore[arg-type]


def outcome(decision: Decision) -> str:
    """Return a decision in one word and its time, in milliseconds."""
    match decision:
        case SendNow(replica_id=replica_id):
            return f"send {replica_id}"
        case WaitUntil(when=when):
            return f"wait {when * 1000:.0f}"
        case Reject(retry_after_seconds=seconds):
            return f"reject {seconds if seconds == NEVER else round(seconds * 1000)}"


class DecisionTest(TestCase):
    """Each row: what is known, the moment, what follows by estimate and by fixed shares."""

    def check(self, rows: tuple[tuple[str, WaitingRequest, Room, float, str, str], ...]) -> None:
        decided = {
            name: tuple(outcome(decide(known, room, rule, now)) for rule in RULES)
            for name, known, room, now, _, _ in rows
        }
        self.assertEqual({row[0]: row[4:] for row in rows}, decided)

    def test_what_has_not_run(self) -> None:
        none = request(has_usable=False)
        coming = request(has_usable=False, may_records_come_back=True)
        self.check(
            (
                ("room now", request(), Room(0.0, "r"), 0.0, "send r", "send r"),
                ("room soon", request(), Room(0.06), 0.0, "wait 60", "wait 30"),
                ("room in time", request(), Room(0.5), 0.0, "wait 100", "wait 30"),
                ("room while late is worth it", request(), Room(3.9), 0.0, "wait 100", "wait 30"),
                ("room too late", request(), Room(4.5), 0.0, "reject 4500", "wait 30"),
                ("it has waited", request(), Room(4.1), 3.9, "reject 200", "reject 200"),
                ("full and silent", request(), Room(NEVER), 0.0, "reject inf", "reject inf"),
                ("no replica", none, Room(NEVER), 0.0, "reject inf", "reject inf"),
                ("out of reach a moment", none, Room(0.15), 0.0, "wait 100", "wait 30"),
                ("out of reach for long", none, Room(0.3), 0.0, "reject 300", "wait 30"),
                ("records missing", coming, Room(NEVER), 0.0, "wait 30", "wait 30"),
                ("records stay away", coming, Room(NEVER), 2.39, "reject 30", "reject 30"),
            )
        )

    def test_what_may_have_run(self) -> None:
        ran = request(may_have_run=True)
        once = request(may_have_run=True, may_run_again=False)
        soon = request(may_have_run=True, repeat_at=0.2)
        late = request(may_have_run=True, repeat_at=0.4)
        alone = request(may_have_run=True, has_usable=False)
        coming = request(may_have_run=True, has_usable=False, may_records_come_back=True)
        self.check(
            (
                ("again at another", ran, Room(0.0, "r"), 0.0, "send r", "send r"),
                ("not again", once, Room(0.0, "r"), 0.0, "reject inf", "reject inf"),
                ("budget soon", soon, Room(0.0, "r"), 0.0, "wait 100", "wait 30"),
                ("budget late", late, Room(0.0, "r"), 0.0, "reject 400", "wait 30"),
                ("no other", alone, Room(NEVER), 0.0, "reject inf", "reject inf"),
                ("records missing", coming, Room(NEVER), 5.0, "wait 5030", "wait 5030"),
            )
        )

    def test_the_reason_says_what_is_missing(self) -> None:
        rows = (
            (request(has_usable=False), Room(NEVER), NO_REPLICA_REASON),
            (request(), Room(NEVER), NO_ROOM_REASON),
            (request(), Room(5.0), NO_ROOM_REASON),
            (request(repeat_at=NEVER), Room(0.1), NO_REPEAT_REASON),
            (request(may_have_run=True, may_run_again=False), Room(0.0), RAN_REASON),
        )
        for known, room, reason in rows:
            match decide(known, room, ESTIMATE, 0.0):
                case Reject(reason=found):
                    self.assertEqual(reason, found)
                case other:
                    self.fail(f"{known} in {room}: {other}")

    @given(
        room=st.one_of(st.just(NEVER), st.floats(0.0, 20.0)),
        now=st.floats(0.0, 8.0),
        has_usable=st.booleans(),
        may_records_come_back=st.booleans(),
        rule=st.sampled_from(RULES),
    )
    def test_waiting_ends_by_a_share_of_the_time_and_a_look_is_never_in_the_past(
        self,
        room: float,
        now: float,
        has_usable: bool,
        may_records_come_back: bool,
        rule: WaitingSettings,
    ) -> None:
        known = request(has_usable=has_usable, may_records_come_back=may_records_come_back)
        match decide(known, Room(room), rule, now):
            case WaitUntil(when=when):
                self.assertGreater(when, now)
                self.assertLessEqual(when, known.ends_at / 2 + 1e-9)
            case Reject(retry_after_seconds=seconds):
                self.assertGreater(seconds, 0.0)
            case SendNow():
                self.assertLessEqual(room, now)


def taken(name: str = "r", **fields: object) -> ReplicaRoom:
    """Return a replica with two slots that works 0.2 s on a request and is full."""
    usual: dict[str, object] = {
        "replica_id": name,
        "askable_at": 0.0,
        "slots": 2,
        "most": 3,
        "under_way": 3,
        "elsewhere": 0.0,
        "work_seconds": 0.2,
    }
    return ReplicaRoom(**{**usual, **fields})  # type: ignore[arg-type]


class RoomTest(TestCase):
    def test_when_there_will_be_room(self) -> None:
        free, half = taken("free", under_way=0), taken("half", under_way=1)
        silent = taken(work_seconds=NEVER)
        rows: tuple[tuple[str, list[ReplicaRoom], int, Room], ...] = (
            ("no replica", [], 0, Room(NEVER)),
            ("one is free", [taken(), half], 0, Room(0.0, "half")),
            ("the freest", [half, free], 0, Room(0.0, "free")),
            ("those ahead take it", [taken(), half], 2, Room(0.05)),
            ("full", [taken()], 0, Room(0.1)),
            ("full, and others wait", [taken()], 4, Room(0.5)),
            ("two full ones", [taken(), taken("s")], 0, Room(0.05)),
            ("other nodes have half", [taken(elsewhere=3.0)], 0, Room(0.2)),
            ("out of reach", [taken(askable_at=0.4)], 0, Room(0.4)),
            ("silent", [silent], 0, Room(NEVER)),
            ("one is silent", [silent, taken()], 0, Room(0.1)),
        )
        found = {name: expected_room(rooms, ahead, 0.0) for name, rooms, ahead, _ in rows}
        rounded = {name: Room(round(room.at, 3), room.replica_id) for name, room in found.items()}
        self.assertEqual({row[0]: row[3] for row in rows}, rounded)

    def test_a_share_of_the_services_is_enough(self) -> None:
        moments = (0.0, 0.3, 0.1, NEVER)
        self.assertEqual(Room(0.3), room_for_share(moments, 0.75))
        self.assertEqual(Room(NEVER), room_for_share(moments, 0.8))
        self.assertEqual(Room(0.0), room_for_share(moments, 0.0))


class ReturnTest(TestCase):
    @given(room=st.one_of(st.just(NEVER), st.floats(0.0, 100.0)), draw=st.floats(0.0, 1.0))
    def test_nobody_comes_back_before_there_is_room_nor_far_too_late(
        self, room: float, draw: float
    ) -> None:
        seconds = jittered_retry_after(room, draw)
        known = UNKNOWN_RETURN_SECONDS if room == NEVER else room
        self.assertGreaterEqual(seconds, min(known, MOST_RETURN_SECONDS))
        self.assertGreaterEqual(seconds, MIN_RETRY_AFTER_SECONDS)
        self.assertLessEqual(seconds, MOST_RETURN_SECONDS * (1.0 + SPREAD_RATIO))
