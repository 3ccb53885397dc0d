"""A digest of every event of a simulation, to show that one seed gives one run."""

from hashlib import blake2b

from ..model.answer import Answer
from ..model.failure import Failure
from ..ports.backend import AttemptFinished
from ..ports.caller import CallerRequest
from ..ports.machine import Event
from ..ports.peer import PeerReceived, SubRequestBatch, SubResultBatch

_DIGEST_BYTES = 16


class EventDigest:
    """Hashes events in the order in which they happen (BLAKE2b, 128 bits)."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=_DIGEST_BYTES)
        self.events = 0

    def record(self, now: float, place: str, event: Event) -> None:
        """Take in an event that reached ``place`` at virtual time ``now``."""
        self.events += 1
        self._hash.update(f"{now:.9f} {place} {describe(event)}\n".encode())

    def record_answer(self, now: float, answer: Answer) -> None:
        """Take in the answer that a caller got."""
        self.events += 1
        line = (
            f"{now:.9f} {answer.request_id} {answer.outcome.value} {answer.snapshot} "
            f"{answer.covered} {answer.missing} {len(answer.rows)} {answer.attempts}\n"
        )
        self._hash.update(line.encode())

    def hexdigest(self) -> str:
        """Return the digest of everything so far, in hexadecimal."""
        return self._hash.hexdigest()


def describe(event: Event) -> str:
    """Return a line that tells the event from others and is cheap for the frequent kinds."""
    if isinstance(event, AttemptFinished):
        result = event.result
        kind = result.kind.value if isinstance(result, Failure) else str(result.snapshot)
        return f"AttemptFinished {event.attempt_id} {kind}"
    if isinstance(event, PeerReceived):
        return f"PeerReceived {event.sender.node_id} {_describe_message(event)}"
    if isinstance(event, CallerRequest):
        request = event.request
        return f"CallerRequest {request.request_id} {request.kind} {request.body}"
    return repr(event)


def _describe_message(event: PeerReceived) -> str:
    message = event.message
    if isinstance(message, SubRequestBatch):
        return " ".join(entry.sub_request_id for entry in message.sub_requests)
    if isinstance(message, SubResultBatch):
        return " ".join(entry.sub_request_id for entry in message.results)
    return repr(message)
