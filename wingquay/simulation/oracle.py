"""The oracle: it sees everything that truly happens and checks what callers are told.

It knows nothing of how nodes decide. Simulated callers, back ends, nodes and the store tell it
what happened; it keeps the truth and counts violations of the invariants of the brief.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from ..model.answer import Answer, Outcome
from ..model.identifiers import AttemptId, NodeId, ReplicaId, RequestId
from ..model.request import QueryRequest
from ..ports.backend import StartAttempt
from .configuration_oracle import ConfigurationOracle
from .invariants import Invariant, Violations
from .oracle_truth import Truth

DRAIN_BOUND_SECONDS = 5.0
"""A leaving back end gets no new work later than this ("after a few seconds") from any node.

A node's seconds count from when the back end began to leave, or from when the node itself
started, woke up or was no longer cut off.
"""
ANSWER_GRACE_SECONDS = 0.1
"""Beyond deadline and network latency, an answer may take this long."""


@dataclass(slots=True, eq=False)
class Submission:
    """One sending of a request to one node; a caller that repeats itself makes several.

    Parameters
    ----------
    body
        Names the request: the same in all its submissions, different for any other.
    """

    request: QueryRequest
    body: str
    repeatable: bool
    node_id: NodeId
    arrived_at: float
    due_at: float
    answer: Answer | None = None
    answered_at: float | None = None
    broken: bool = False


class Oracle:
    """Keeps the truth and checks against it.

    Parameters
    ----------
    truth
        The contents of the back ends.
    """

    def __init__(self, truth: Truth) -> None:
        self.violations = Violations()
        self.submissions: dict[RequestId, Submission] = {}
        self.executions_by_body: Counter[str] = Counter()
        self.configuration = ConfigurationOracle(self.violations)
        self._truth = truth
        self._request_of_attempt: dict[AttemptId, str] = {}
        self._executions_by_trace: Counter[str] = Counter()
        self._leaving_since: dict[ReplicaId, float] = {}
        self._started_at: dict[NodeId, float] = defaultdict(float)
        self._frozen_until: dict[NodeId, float] = defaultdict(float)
        self._uninformed_until: dict[NodeId, float] = defaultdict(float)

    # -- callers -------------------------------------------------------------------------------

    def submitted(self, submission: Submission) -> None:
        """Take in that a caller sent a request."""
        self.submissions[submission.request.request_id] = submission
        # A paused process reads a request when it wakes up, and the deadline counts from then.
        read_at = max(submission.arrived_at, self._frozen_until[submission.node_id])
        submission.due_at += read_at - submission.arrived_at

    def connection_broken(self, request_id: RequestId) -> None:
        """Take in that the node died: the caller knows that it gets no answer."""
        self.submissions[request_id].broken = True

    def answered(self, answer: Answer, now: float) -> None:
        """Check an answer as the caller got it."""
        submission = self.submissions.get(answer.request_id)
        if submission is None:
            self._add(Invariant.OWN_ANSWER, now, f"answer to unknown {answer.request_id}")
            return
        if submission.answer is not None:
            self._add(Invariant.OWN_ANSWER, now, f"second answer to {answer.request_id}")
            return
        submission.answer = answer
        submission.answered_at = now
        self._check_time(submission, now)
        self._check_content(submission, answer, now)

    def _check_time(self, submission: Submission, now: float) -> None:
        due_at = max(submission.due_at, self._frozen_until[submission.node_id])
        if now > due_at + ANSWER_GRACE_SECONDS:
            late = now - submission.due_at
            what = f"{submission.request.request_id} {late:.3f} s after its deadline"
            self._add(Invariant.ANSWERED_BY_DEADLINE, now, what)

    def _check_content(self, submission: Submission, answer: Answer, now: float) -> None:
        name = answer.request_id
        if answer.outcome is Outcome.INVALID:
            self._add(Invariant.OWN_ANSWER, now, f"{name} is valid, said: {answer.reason}")
        elif answer.outcome is Outcome.REFUSED_NOT_RUN:
            # Submissions of one unrepeatable request are one request; those of a repeatable one
            # are as many requests, each of which only answers for itself (see ``finish``).
            if not submission.repeatable and self.executions_by_body[submission.body]:
                self._add(Invariant.NOT_RUN_MEANS_NOT_RUN, now, f"{name} had run")
        elif answer.outcome is Outcome.UNKNOWN:
            if submission.repeatable:
                self._add(Invariant.OWN_ANSWER, now, f"{name} is repeatable, said unknown")
        elif submission.repeatable:
            for invariant, what in self._truth.check_read(submission.request, answer):
                self._add(invariant, now, f"{name}: {what}")
        elif not self.executions_by_body[submission.body]:
            self._add(Invariant.OWN_ANSWER, now, f"{name} is said to be done and never ran")

    # -- back ends -----------------------------------------------------------------------------

    def attempt_arrived(self, attempt: StartAttempt, node_id: NodeId, now: float) -> None:
        """Check a request that arrived at a back end."""
        self._request_of_attempt[attempt.attempt_id] = attempt.traceparent or ""
        leaving_since = self._leaving_since.get(attempt.replica_id)
        if leaving_since is None:
            return
        told_from = max(
            leaving_since,
            self._started_at[node_id],
            self._uninformed_until[node_id],
            self._frozen_until[node_id],
        )
        if now > told_from + DRAIN_BOUND_SECONDS:
            seconds = now - leaving_since
            what = f"{attempt.replica_id} got work {seconds:.3f} s after it began to leave"
            self._add(Invariant.DRAINING_GETS_NO_NEW_WORK, now, what)

    def execution_began(self, attempt_id: AttemptId, body: str) -> None:
        """Take in that a back end began to work on an attempt."""
        self.executions_by_body[body] += 1
        trace = self._request_of_attempt.get(attempt_id, "")
        self._executions_by_trace[trace_id(trace)] += 1

    def unrepeatable_executed(self, body: str, now: float) -> None:
        """Check an unrepeatable request that a back end began to work on."""
        if self.executions_by_body[body] > 1:
            count = self.executions_by_body[body]
            self._add(Invariant.AT_MOST_ONCE, now, f"{body} ran {count} times")

    def replica_leaving(self, replica_id: ReplicaId, now: float) -> None:
        """Take in that a back end began to drain."""
        self._leaving_since.setdefault(replica_id, now)

    def replica_returned(self, replica_id: ReplicaId) -> None:
        """Take in that a back end serves again."""
        self._leaving_since.pop(replica_id, None)

    # -- nodes ---------------------------------------------------------------------------------

    def node_started(self, node_id: NodeId, now: float) -> None:
        """Take in that a process starts: what it must know it learns from now on."""
        self._started_at[node_id] = now

    def frozen(self, node_id: NodeId, until: float) -> None:
        """Take in that a node is paused until then: it can neither learn nor answer."""
        self._frozen_until[node_id] = max(self._frozen_until[node_id], until)
        self.configuration.node_frozen(node_id, until)

    def cut_off(self, node_id: NodeId, until: float) -> None:
        """Take in that a node hears nothing of other zones until then; it must still answer."""
        self._uninformed_until[node_id] = max(self._uninformed_until[node_id], until)
        self.configuration.node_uninformed(node_id, until)

    def healed(self, now: float) -> None:
        """Take in that no node is cut off any more."""
        for node_id, until in self._uninformed_until.items():
            self._uninformed_until[node_id] = min(until, now)
        self.configuration.healed(now)

    def node_exited(self, node_id: NodeId, cut: int, now: float) -> None:
        """Check the end of a planned stop, which left ``cut`` pieces of work unfinished."""
        if cut:
            what = f"{node_id} cut {cut} requests off"
            self._add(Invariant.PLANNED_STOP_CUTS_NOTHING, now, what)

    # -- the end -------------------------------------------------------------------------------

    def finish(self, now: float) -> None:
        """Check what only shows at the end."""
        for submission in self.submissions.values():
            name = submission.request.request_id
            if submission.answer is None:
                due_at = max(submission.due_at, self._frozen_until[submission.node_id])
                if not submission.broken and now > due_at + ANSWER_GRACE_SECONDS:
                    self._add(Invariant.ANSWERED_BY_DEADLINE, now, f"{name} was never answered")
            elif submission.answer.outcome is Outcome.REFUSED_NOT_RUN:
                trace = trace_id(submission.request.traceparent or "")
                if trace and self._executions_by_trace[trace]:
                    what = f"{name} ran although it was refused"
                    self._add(Invariant.NOT_RUN_MEANS_NOT_RUN, now, what)

    def _add(self, invariant: Invariant, now: float, what: str) -> None:
        self.violations.add(invariant, now, what)


def trace_id(traceparent: str) -> str:
    """Return the trace id of a W3C ``traceparent``, or an empty string."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) > 1 else ""
