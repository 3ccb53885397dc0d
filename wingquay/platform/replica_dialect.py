"""Requests to replicas and their answers, as the platform writes them."""

from ..adapters.replica_client import UnderstoodAnswer
from ..adapters.replica_connection import RawAnswer
from ..ports.forwarding import Headers, ReplicaAnswer, ReportedLoad, SendToReplica
from .names import (
    DEADLINE_MS,
    EXPECTED_REPLICA,
    NOT_RUN,
    REPORTED_LOAD,
    REQUEST_ID,
    SIGNATURE,
    TENANT,
)

MILLISECONDS_PER_SECOND = 1000.0
STATUS_OTHER_REPLICA = 421
LOAD_FIELDS = 3
"""Whole numbers that every report of load has: running, waiting, slots."""
USUAL_WORK = 100.0
"""The figure of work, in the field after these, that stands for the usual time."""

_REQUEST_ID_KEY = REQUEST_ID.lower()
_NOT_RUN_KEY = NOT_RUN.lower()
_SIGNATURE_KEY = SIGNATURE.lower()
_LOAD_KEY = REPORTED_LOAD.lower()
_ENCODING_KEY = b"content-encoding"


class PlatformReplicaDialect:
    """Writes requests and understands answers."""

    def own_headers(self, action: SendToReplica, waited_seconds: float) -> Headers:
        """Return the headers that this node sets: the time left, the replica's id, who calls."""
        remaining_seconds = action.remaining_seconds - waited_seconds
        remaining_ms = max(1, int(remaining_seconds * MILLISECONDS_PER_SECOND))
        headers = (
            (DEADLINE_MS, b"%d" % remaining_ms),
            (EXPECTED_REPLICA, action.replica.replica_id.encode()),
        )
        return (*headers, (TENANT, action.tenant.encode())) if action.tenant else headers

    def belongs(self, request_id: str, answer: RawAnswer) -> bool:
        """Whether an answer carries the id back, or is a failure that carries none."""
        given = _find(answer, _REQUEST_ID_KEY)
        if given is None:
            return not 200 <= answer.status < 300 or _find(answer, _SIGNATURE_KEY) is None
        return given.decode("latin-1") == request_id

    def understand(self, answer: RawAnswer) -> UnderstoodAnswer:
        """Return an answer in the terms of the port."""
        signature = _find(answer, _SIGNATURE_KEY)
        # Without an id it may belong to another request, so it is not believed to say "not run".
        is_named = _find(answer, _REQUEST_ID_KEY) is not None
        is_other_replica = is_named and answer.status == STATUS_OTHER_REPLICA
        not_run = is_named and _find(answer, _NOT_RUN_KEY) is not None
        understood = ReplicaAnswer(
            answer.status,
            tuple(answer.headers),
            answer.body,
            None if signature is None else signature.decode("latin-1"),
            not_run,
            is_other_replica,
        )
        is_encoded = _find(answer, _ENCODING_KEY) is not None
        has_run = not not_run and not is_other_replica
        is_malformed = is_encoded or (has_run and signature is None)
        load_text = _find(answer, _LOAD_KEY)
        load = _load(load_text)
        is_unreadable = load_text is not None and load is None
        return UnderstoodAnswer(understood, load, is_malformed, is_unreadable)


def _find(answer: RawAnswer, key: bytes) -> bytes | None:
    for name, text in answer.headers:
        if name == key:
            return text
    return None


def _load(text: bytes | None) -> ReportedLoad | None:
    """Return the load that a header tells; fields behind the known ones are passed over."""
    parts = [] if text is None else [part.strip() for part in text.split(b",")]
    known = parts[: LOAD_FIELDS + 1]
    if len(known) < LOAD_FIELDS or not all(part.isdigit() for part in known):
        return None
    running, waiting, slots = (int(part) for part in known[:LOAD_FIELDS])
    work_factor = int(known[LOAD_FIELDS]) / USUAL_WORK if len(known) > LOAD_FIELDS else 1.0
    return ReportedLoad(running, waiting, slots, work_factor)
