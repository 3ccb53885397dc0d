"""What truly ran on the back ends, for an oracle to compare with what was answered."""

from collections import Counter
from dataclasses import dataclass

from ...model.identifiers import AttemptId, ReplicaId, ServiceName
from .backend_messages import BackendExchange


@dataclass(frozen=True, slots=True)
class RecordedWrite:
    """One execution of an unrepeatable request, such as a survey edit."""

    service: ServiceName
    replica_id: ReplicaId
    attempt_id: AttemptId
    body: str
    at_seconds: float


class ExecutionLedger:
    """Executions by attempt and by request body; shared by the replicas of one rehearsal.

    A load generator that gives each request a body of its own can look up how often any back
    end ran it, and so check "at most once" and "not run".
    """

    def __init__(self) -> None:
        self.executions_by_attempt: Counter[AttemptId] = Counter()
        self.executions_by_body: Counter[str] = Counter()
        self.writes: list[RecordedWrite] = []
        self.execution_count = 0
        self.busy_seconds = 0.0

    def record(self, exchange: BackendExchange, replica_id: ReplicaId, at_seconds: float) -> None:
        """Record that a replica began to work on an exchange; a write takes effect then."""
        self.record_execution(exchange.attempt_id, exchange.body)
        if exchange.is_write:
            write = RecordedWrite(
                exchange.service, replica_id, exchange.attempt_id, exchange.body, at_seconds
            )
            self.record_write(write)

    def record_execution(self, attempt_id: AttemptId, body: str) -> None:
        """Count the start of work on an attempt."""
        self.execution_count += 1
        self.executions_by_attempt[attempt_id] += 1
        if body:
            self.executions_by_body[body] += 1

    def record_write(self, write: RecordedWrite) -> None:
        """Keep a write, in the order in which the writes took effect."""
        self.writes.append(write)

    def record_busy(self, seconds: float) -> None:
        """Add slot time spent, whether or not the work was of use to anybody."""
        self.busy_seconds += seconds

    def has_run(self, attempt_id: AttemptId) -> bool:
        """Whether any back end began to work on the attempt."""
        return self.executions_by_attempt[attempt_id] > 0
