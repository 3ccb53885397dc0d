"""Tenants and public routes of a configuration: read once, or refused as a whole with a line."""

import orjson
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.model.failure import Failure
from wingquay.model.routing_table import RoutingTable
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.platform.configuration_document import parse_configuration

SECRET = "k-3fd0"
OTHER_SECRET = "k-77aa"
KEYS = "a text that is not empty"
NAMES = "a text of visible ASCII signs, with spaces between them only"
NUMBERS = "a finite number from 0 on"
PRIORITIES = "a whole number from 0 to 4294967295"

READ: tuple[tuple[dict[str, object], Tenant], ...] = (
    (
        {"name": "kiosk", "apiKeys": [SECRET], "priority": 2, "ratePerS": 12.5, "burst": 30},
        Tenant("kiosk", (SECRET,), 2, 12.5, 30.0),
    ),
    ({"name": "a b", "apiKeys": [SECRET, SECRET]}, Tenant("a b", (SECRET, SECRET))),
    ({"name": "kiosk", "apiKeys": [SECRET], "priority": 0}, Tenant("kiosk", (SECRET,), 0)),
    ({"name": "kiosk", "apiKeys": []}, Tenant("kiosk", ())),
    ({"name": "kiosk"}, Tenant("kiosk", ())),
    (
        {"name": "kiosk", "apiKeys": None, "priority": None, "ratePerS": None, "burst": None},
        Tenant("kiosk", ()),
    ),
    ({"name": "kiosk", "apiKeys": ["a b", "ключ"]}, Tenant("kiosk", ("a b", "ключ"))),
)
"""What a tenant may look like, and what is made of it."""

REFUSED: tuple[tuple[object, str], ...] = (
    (None, "tenants is null; allowed: a list of tenants"),
    ({SECRET: {}}, "tenants is an object; allowed: a list of tenants"),
    (SECRET, "tenants is a text; allowed: a list of tenants"),
    ([SECRET], "tenants[0] is a text; allowed: an object"),
    ([{}], f"tenants[0].name is None; allowed: {NAMES}"),
    ([{"name": "a"}, {"name": ""}], f"tenants[1].name is ''; allowed: {NAMES}"),
    ([{"name": 3}], f"tenants[0].name is 3; allowed: {NAMES}"),
    ([{"name": " a"}], f"tenants[0].name is ' a'; allowed: {NAMES}"),
    ([{"name": "a\r\nX: b"}], f"tenants[0].name is 'a\\r\\nX: b'; allowed: {NAMES}"),
    ([{"name": "\u00e9"}], f"tenants[0].name is '\u00e9'; allowed: {NAMES}"),
    (
        [{"name": "a"}, {"name": "b"}, {"name": "a"}],
        "tenants[2].name is 'a'; allowed: a name that no other tenant has; tenants[0] has it",
    ),
    (
        [{"name": "a", "apiKeys": SECRET}],
        "apiKeys of tenant 'a' is a text; allowed: a list of texts",
    ),
    (
        [{"name": "a", "apiKeys": {SECRET: 1}}],
        "apiKeys of tenant 'a' is an object; allowed: a list of texts",
    ),
    (
        [{"name": "a", "apiKeys": [SECRET, ""]}],
        f"apiKeys[1] of tenant 'a' is an empty text; allowed: {KEYS}",
    ),
    (
        [{"name": "a", "apiKeys": [SECRET, " \t"]}],
        f"apiKeys[1] of tenant 'a' is an empty text; allowed: {KEYS}",
    ),
    (
        [{"name": "a", "apiKeys": [77]}],
        f"apiKeys[0] of tenant 'a' is a number; allowed: {KEYS}",
    ),
    (
        [
            {"name": "a", "apiKeys": [OTHER_SECRET]},
            {"name": "b", "apiKeys": [SECRET, OTHER_SECRET]},
        ],
        "apiKeys[1] of tenant 'b' is a key of tenant 'a'; "
        "allowed: a key that no other tenant holds",
    ),
    ([{"name": "a", "ratePerS": -1}], f"ratePerS of tenant 'a' is -1; allowed: {NUMBERS}"),
    ([{"name": "a", "ratePerS": "7"}], f"ratePerS of tenant 'a' is '7'; allowed: {NUMBERS}"),
    ([{"name": "a", "ratePerS": True}], f"ratePerS of tenant 'a' is True; allowed: {NUMBERS}"),
    ([{"name": "a", "burst": -0.5}], f"burst of tenant 'a' is -0.5; allowed: {NUMBERS}"),
    ([{"name": "a", "burst": [1]}], f"burst of tenant 'a' is [1]; allowed: {NUMBERS}"),
    ([{"name": "a", "priority": -1}], f"priority of tenant 'a' is -1; allowed: {PRIORITIES}"),
    ([{"name": "a", "priority": 1.5}], f"priority of tenant 'a' is 1.5; allowed: {PRIORITIES}"),
    ([{"name": "a", "priority": False}], f"priority of tenant 'a' is False; allowed: {PRIORITIES}"),
    (
        [{"name": "a", "priority": 2**32}],
        f"priority of tenant 'a' is 4294967296; allowed: {PRIORITIES}",
    ),
)
"""What `tenants` may not be, and the line that says so."""

ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats() | st.just(SECRET),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(("name", "apiKeys", "priority", "burst")), inner)
    ),
    max_leaves=8,
)


def parse(**fields: object) -> RoutingTable | Failure[object]:
    return parse_configuration(orjson.dumps({"version": 7, **fields}))


def route(**fields: object) -> dict[str, object]:
    return {"name": "r", "host": "h", "pathPrefix": "/", "service": "s", **fields}


class TenantsDocumentTest(TestCase):
    def test_tenants_are_read(self) -> None:
        for document, expected in READ:
            table = parse(tenants=[document])
            assert isinstance(table, RoutingTable), (document, table)
            self.assertEqual(TenantDirectory((expected,)), table.tenants)

    def test_a_key_leads_to_its_holder(self) -> None:
        tenants = parse(tenants=[READ[0][0], {"name": "b", "apiKeys": [OTHER_SECRET]}]).tenants
        self.assertEqual(READ[0][1], tenants.find_by_key(SECRET))
        self.assertEqual(Tenant("b", (OTHER_SECRET,)), tenants.find_by_key(OTHER_SECRET))
        self.assertIsNone(tenants.find_by_key(""))
        self.assertIsNone(tenants.find_by_key(SECRET.upper()))

    def test_no_field_and_no_tenants_are_not_the_same(self) -> None:
        self.assertIsNone(parse().tenants)
        self.assertEqual(TenantDirectory(()), parse(tenants=[]).tenants)

    def test_what_cannot_be_used_is_refused_as_a_whole_with_a_line_without_a_key(self) -> None:
        for tenants, line in REFUSED:
            failure = parse(tenants=tenants)
            assert isinstance(failure, Failure), tenants
            self.assertEqual(line, failure.reason)
            self.assertNotIn(SECRET, failure.reason)

    def test_numbers_that_are_not_finite_are_refused(self) -> None:
        for text in (b"1e999", b"-1e999", b"NaN", b"Infinity"):
            document = b'{"version": 1, "tenants": [{"name": "a", "ratePerS": ' + text + b"}]}"
            self.assertIsInstance(parse_configuration(document), Failure, text)

    @given(ANYTHING)
    def test_anything_is_read_or_refused_and_shows_no_key(self, tenants: object) -> None:
        result = parse(tenants=tenants)
        if isinstance(result, Failure):
            assert "allowed: " in result.reason
        shown = result.reason if isinstance(result, Failure) else repr(result.tenants)
        told = shown.replace(f"'{SECRET}'", "") if _is_named(tenants) else shown
        assert SECRET not in told

    def test_a_route_says_whether_it_is_public(self) -> None:
        for fields, expected in (
            ({}, False),
            ({"public": None}, False),
            ({"public": False}, False),
            ({"public": True}, True),
        ):
            self.assertEqual(expected, parse(routes=[route(**fields)]).routes[0].is_public)
        for value, text in (("yes", "'yes'"), (1, "1"), ([], "[]")):
            failure = parse(routes=[route(public=value)])
            assert isinstance(failure, Failure), value
            self.assertEqual(
                f"public of route 'r' is {text}; allowed: true or false", failure.reason
            )


def _is_named(tenants: object) -> bool:
    """Whether the text that stands for a key was drawn where names and numbers belong."""
    if not isinstance(tenants, list):
        return False
    return any(
        SECRET in repr([entry.get(name) for name in ("name", "priority", "burst")])
        for entry in tenants
        if isinstance(entry, dict)
    )
