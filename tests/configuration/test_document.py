"""The stored document: schema versions, compression, malformed input."""

import json

from testtools import TestCase

from tests.configuration.examples import CONFIGURATION, document, with_extra_keys
from wingquay.configuration import document as document_module
from wingquay.configuration.document import (
    MAX_AUDIT_RECORDS,
    DocumentFailureKind,
    next_document,
    pack_body,
    parse_document,
    unpack_body,
)
from wingquay.model.audit import AuditRecord
from wingquay.model.failure import Failure
from wingquay.model.identifiers import OperatorName, Revision


def record(revision: int) -> AuditRecord:
    """Return the audit record of a confirm that created ``revision``."""
    return AuditRecord(
        revision=Revision(revision),
        confirm_id=f"confirm-{revision}",
        base_revision=Revision(revision - 1),
        proposed_by=OperatorName("ana"),
        confirmed_by=OperatorName("ana"),
        confirmed_unix_seconds=1.0,
    )


class DocumentTest(TestCase):
    """``ConfigurationDocument``."""

    def test_written_document_parses_to_the_same(self) -> None:
        written = document()
        self.assertEqual(written, parse_document(written.body))

    def test_parsing_with_a_previous_document_gives_the_same(self) -> None:
        before = document()
        service = CONFIGURATION.services[0]
        fewer = service.model_copy(update={"shards": service.shards[:1]})
        for services in ((service,), (fewer,), ()):
            changed = CONFIGURATION.model_copy(update={"services": services, "callers": ()})
            after = next_document(before, changed, record(2))
            assert not isinstance(after, Failure)
            self.assertEqual(parse_document(after.body), parse_document(after.body, before))
        unchanged = parse_document(before.body, before)
        assert not isinstance(unchanged, Failure)
        self.assertIs(before.configuration.services[0], unchanged.configuration.services[0])

    def test_older_writer_preserves_unknown_keys(self) -> None:
        newer = with_extra_keys(document())
        rewritten = next_document(newer, CONFIGURATION, record(2))
        assert not isinstance(rewritten, Failure)
        raw = rewritten.raw()
        self.assertEqual([{"name": "q1"}], raw["quotas"])
        self.assertEqual("on", raw["services"][0]["cache"])
        replicas = raw["services"][0]["shards"][0]["replicas"]
        self.assertEqual(3, replicas[1]["weight"])
        self.assertNotIn("weight", replicas[0])
        self.assertEqual(2, raw["schema_version"])
        self.assertEqual(2, raw["revision"])

    def test_unknown_keys_stay_with_reordered_entries(self) -> None:
        newer = with_extra_keys(document())
        service = CONFIGURATION.services[0]
        reordered = service.model_copy(update={"shards": tuple(reversed(service.shards))})
        configuration = CONFIGURATION.model_copy(update={"services": (reordered,)})
        rewritten = next_document(newer, configuration, record(2))
        assert not isinstance(rewritten, Failure)
        shards = rewritten.raw()["services"][0]["shards"]
        self.assertEqual(3, shards[1]["replicas"][1]["weight"])

    def test_document_that_requires_a_newer_writer_is_not_written(self) -> None:
        raw = document().raw()
        raw["oldest_writer"] = 2
        restricted = parse_document(json.dumps(raw).encode())
        assert not isinstance(restricted, Failure)
        refused = next_document(restricted, CONFIGURATION, record(2))
        assert isinstance(refused, Failure)
        self.assertEqual(DocumentFailureKind.NEWER_WRITER_NEEDED, refused.kind)

    def test_audit_records_are_limited_to_the_newest(self) -> None:
        current = document()
        for revision in range(2, MAX_AUDIT_RECORDS + 12):
            following = next_document(current, CONFIGURATION, record(revision))
            assert not isinstance(following, Failure)
            current = following
        self.assertEqual(MAX_AUDIT_RECORDS, len(current.audit))
        self.assertEqual(MAX_AUDIT_RECORDS, len(current.raw()["audit"]))
        self.assertEqual(current.revision, current.audit[-1].revision)

    def test_malformed_documents_are_refused(self) -> None:
        for body in (b"", b"[]", b"{", b'{"revision": "x"}', b'{"audit": [1]}', b"\xff"):
            self.assertIsInstance(parse_document(body), Failure)

    def test_packed_body_unpacks_and_truncated_or_oversized_bodies_are_refused(self) -> None:
        body = document().body
        packed = pack_body(body)
        self.assertEqual(body, unpack_body(packed))
        self.assertIsInstance(unpack_body(packed[:-3]), Failure)
        self.assertIsInstance(unpack_body(b"nothing"), Failure)
        self.patch(document_module, "MAX_BODY_BYTES", len(body) - 1)
        self.assertIsInstance(unpack_body(packed), Failure)
