"""Entries of replicas as any writer may leave them: what each names, or why it names nothing."""

import orjson
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.forwarding.forwarding_node import FormatFailureKind
from wingquay.model.failure import Failure
from wingquay.model.replica_record import ReplicaRecord
from wingquay.platform.replica_entry import MOST_REASON_CHARACTERS, parse_replica

ENTRY: dict[str, object] = {
    "service": "x",
    "address": "10.1.2.3:80",
    "zone": "z",
    "version": "v7",
    "capacity": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
ABSENT = object()
RECORD = ReplicaRecord("i-1", "x", "10.1.2.3", 80, "z", 2, False, 1.5, 1700000000000)


def entry(**changes: object) -> bytes:
    """Return an entry as it is stored, changed in some fields."""
    fields = {**ENTRY, **changes}
    return orjson.dumps({name: field for name, field in fields.items() if field is not ABSENT})


def malformed(reason: str) -> Failure[FormatFailureKind]:
    return Failure(FormatFailureKind.MALFORMED, reason)


def of_address(host: str, port: int) -> ReplicaRecord:
    return ReplicaRecord("i-1", "x", host, port, "z", 2, False, 1.5, 1700000000000)


def of_figures(
    slots: int = 2, cold_seconds: float = 1.5, born: int | None = 1700000000000
) -> ReplicaRecord:
    return ReplicaRecord("i-1", "x", "10.1.2.3", 80, "z", slots, False, cold_seconds, born)


READABLE: tuple[tuple[bytes, ReplicaRecord], ...] = (
    (entry(), RECORD),
    (
        entry(state="draining"),
        ReplicaRecord("i-1", "x", "10.1.2.3", 80, "z", 2, True, 1.5, 1700000000000),
    ),
    (entry(born=ABSENT), of_figures(born=None)),
    (entry(born=0), of_figures(born=0)),
    (entry(capacity=1), of_figures(slots=1)),
    (entry(capacity=4096), of_figures(slots=4096)),
    (entry(warmupLeftMs=0), of_figures(cold_seconds=0.0)),
    (entry(warmupLeftMs=0.5), of_figures(cold_seconds=0.0005)),
    (entry(warmupLeftMs=3600000), of_figures(cold_seconds=3600.0)),
    (entry(address="[2001:db8::7]:8080"), of_address("2001:db8::7", 8080)),
    (entry(address="10.1.2.3:65535"), of_address("10.1.2.3", 65535)),
    # What this product does not use may be anything.
    (entry(version=7, sequence="4", further=[None]), RECORD),
    (entry(version=ABSENT, sequence=ABSENT), RECORD),
)

WHOLE_CAPACITY = "allowed: a whole number from 1 to 4096"
WHOLE_BORN = "allowed: a whole number from 0 to 9007199254740991"
WARMUP = "allowed: a number from 0 to 3600000"
ADDRESS = "allowed: an IP number with a port"
TEXT = "allowed: text of 1 sign or more"
STATE = "allowed: 'ready' or 'draining'"

UNREADABLE: tuple[tuple[bytes, str], ...] = (
    (b"", "no JSON document"),
    (b"\xff\xfe\x00", "no JSON document"),
    (b"{", "no JSON document"),
    (b'{"capacity": NaN}', "no JSON document"),
    (b"null", "NoneType; allowed: an object"),
    (b"[]", "list; allowed: an object"),
    (b'"x"', "str; allowed: an object"),
    (b"{}", f"service missing; {TEXT}"),
    (entry(service=ABSENT), f"service missing; {TEXT}"),
    (entry(service=None), f"service None; {TEXT}"),
    (entry(service=5), f"service 5; {TEXT}"),
    (entry(service=""), f"service ''; {TEXT}"),
    (entry(zone=ABSENT), f"zone missing; {TEXT}"),
    (entry(zone=["z"]), f"zone ['z']; {TEXT}"),
    (entry(zone=""), f"zone ''; {TEXT}"),
    (entry(capacity=ABSENT), f"capacity missing; {WHOLE_CAPACITY}"),
    (entry(capacity=None), f"capacity None; {WHOLE_CAPACITY}"),
    (entry(capacity=0), f"capacity 0; {WHOLE_CAPACITY}"),
    (entry(capacity=-2), f"capacity -2; {WHOLE_CAPACITY}"),
    (entry(capacity=4097), f"capacity 4097; {WHOLE_CAPACITY}"),
    (entry(capacity=2.5), f"capacity 2.5; {WHOLE_CAPACITY}"),
    (entry(capacity=1e300), f"capacity 1e+300; {WHOLE_CAPACITY}"),
    (entry(capacity="2"), f"capacity '2'; {WHOLE_CAPACITY}"),
    (entry(capacity=True), f"capacity True; {WHOLE_CAPACITY}"),
    (entry(state=ABSENT), f"state missing; {STATE}"),
    (entry(state=None), f"state None; {STATE}"),
    (entry(state="Ready"), f"state 'Ready'; {STATE}"),
    (entry(state="stopping"), f"state 'stopping'; {STATE}"),
    (entry(state=["ready"]), f"state ['ready']; {STATE}"),
    (entry(warmupLeftMs=ABSENT), f"warmupLeftMs missing; {WARMUP}"),
    (entry(warmupLeftMs=None), f"warmupLeftMs None; {WARMUP}"),
    (entry(warmupLeftMs=-1), f"warmupLeftMs -1; {WARMUP}"),
    (entry(warmupLeftMs=3600001), f"warmupLeftMs 3600001; {WARMUP}"),
    (entry(warmupLeftMs="5"), f"warmupLeftMs '5'; {WARMUP}"),
    (entry(warmupLeftMs=False), f"warmupLeftMs False; {WARMUP}"),
    (entry(born=None), f"born None; {WHOLE_BORN}"),
    (entry(born="1700000000000"), f"born '1700000000000'; {WHOLE_BORN}"),
    (entry(born=1.5), f"born 1.5; {WHOLE_BORN}"),
    (entry(born=True), f"born True; {WHOLE_BORN}"),
    (entry(born=-1), f"born -1; {WHOLE_BORN}"),
    (entry(born=2**53), f"born 9007199254740992; {WHOLE_BORN}"),
    (entry(address=ABSENT), f"address missing; {ADDRESS}"),
    (entry(address=80), f"address 80; {ADDRESS}"),
    (entry(address="nowhere"), f"address 'nowhere'; {ADDRESS}"),
    (entry(address="db.example:80"), f"address 'db.example:80'; {ADDRESS}"),
    (entry(address="10.1.2.3"), f"address '10.1.2.3'; {ADDRESS}"),
    (entry(address="10.1.2.3:"), f"address '10.1.2.3:'; {ADDRESS}"),
    (entry(address="10.1.2.3:0"), f"address '10.1.2.3:0'; {ADDRESS}"),
    (entry(address="10.1.2.3:65536"), f"address '10.1.2.3:65536'; {ADDRESS}"),
    (entry(address="10.1.2.3:-80"), f"address '10.1.2.3:-80'; {ADDRESS}"),
    (entry(address="10.1.2.3: 80"), f"address '10.1.2.3: 80'; {ADDRESS}"),
    (entry(address="10.1.2.3:8_0"), f"address '10.1.2.3:8_0'; {ADDRESS}"),
    (entry(address="10.1.2.3:²"), f"address '10.1.2.3:²'; {ADDRESS}"),
    (entry(address="10.1.2.300:80"), f"address '10.1.2.300:80'; {ADDRESS}"),
    (entry(address="10.1.02.3:80"), f"address '10.1.02.3:80'; {ADDRESS}"),
    (entry(address="2001:db8::7:8080"), f"address '2001:db8::7:8080'; {ADDRESS}"),
    (entry(address="[10.1.2.3]:80"), f"address '[10.1.2.3]:80'; {ADDRESS}"),
    (entry(address="[fe80::1%eth0]:80"), f"address '[fe80::1%eth0]:80'; {ADDRESS}"),
    (entry(address="0.0.0.0:80"), f"address '0.0.0.0:80'; {ADDRESS}"),
    (entry(address="[::]:80"), f"address '[::]:80'; {ADDRESS}"),
    (entry(address="224.0.0.1:80"), f"address '224.0.0.1:80'; {ADDRESS}"),
    (entry(address="255.255.255.255:80"), f"address '255.255.255.255:80'; {ADDRESS}"),
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
FIELDS = tuple(ENTRY)
NEAR_VALUES = st.one_of(
    st.just(ABSENT),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=20),
    st.builds("{}:{}".format, st.ip_addresses(), st.integers(-1, 70_000)),
    st.sampled_from(["ready", "draining", "READY", "nan"]),
    JSON.filter(lambda found: not isinstance(found, int)),
)


class ReplicaEntriesTest(TestCase):
    def test_readable_entries_name_a_replica(self) -> None:
        for stored, expected in READABLE:
            self.assertEqual(expected, parse_replica("i-1", stored), stored)

    def test_unreadable_entries_name_none_and_say_why(self) -> None:
        for stored, reason in UNREADABLE:
            self.assertEqual(malformed(reason), parse_replica("i-1", stored), stored)

    def test_a_reason_is_short_whatever_the_entry_holds(self) -> None:
        for name in ("service", "address", "zone", "state", "capacity"):
            stored = entry(**{name: ["a long thing"] * 1000})
            failure = parse_replica("i-1", stored)
            assert isinstance(failure, Failure)
            self.assertTrue(len(failure.reason) <= MOST_REASON_CHARACTERS, failure.reason)
        failure = parse_replica("\n" * 5000, entry())
        assert isinstance(failure, Failure)
        self.assertTrue(len(failure.reason) <= MOST_REASON_CHARACTERS, failure.reason)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, stored: bytes) -> None:
        self.assert_sound(parse_replica("i-1", stored))

    @given(JSON)
    def test_any_document_is_read_or_refused(self, document: object) -> None:
        stored = orjson.dumps(document) if _can_dump(document) else b"?"
        self.assert_sound(parse_replica("i-1", stored))

    @given(st.dictionaries(st.sampled_from(FIELDS), NEAR_VALUES, max_size=4))
    def test_any_change_of_an_entry_is_read_or_refused(self, changes: dict[str, object]) -> None:
        fields = {name: field for name, field in changes.items() if _can_dump(field)}
        self.assert_sound(parse_replica("i-1", entry(**fields)))

    @given(st.text(max_size=20))
    def test_any_id_is_taken_or_refused(self, replica_id: str) -> None:
        self.assert_sound(parse_replica(replica_id, entry()))

    def assert_sound(self, found: ReplicaRecord | Failure[FormatFailureKind]) -> None:
        """A record holds what requests and choices rely on; a failure says why, in short."""
        if isinstance(found, Failure):
            self.assertTrue(0 < len(found.reason) <= MOST_REASON_CHARACTERS, found.reason)
            return
        self.assertTrue(found.replica_id.isascii() and found.replica_id.isprintable())
        self.assertIs(str, type(found.service))
        self.assertIs(str, type(found.zone))
        self.assertNotIn("", (found.service, found.zone))
        self.assertTrue(1 <= found.port <= 65535, found.port)
        self.assertIs(int, type(found.slots))
        self.assertTrue(1 <= found.slots <= 4096, found.slots)
        self.assertTrue(0.0 <= found.cold_seconds <= 3600.0, found.cold_seconds)
        self.assertTrue(found.born is None or 0 <= found.born < 2**53, found.born)


def _can_dump(document: object) -> bool:
    try:
        orjson.dumps(document)
    except TypeError:
        return document is ABSENT
    return True
